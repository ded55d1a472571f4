"""Result of one round of admission planning: tasks granted to partitions, and capacity shortages."""

from __future__ import annotations

from dataclasses import dataclass, field

from spurarch.coordination.fleet.capacity import Requirements
from spurarch.storage.records import AllocationKey, TaskEntry


@dataclass(slots=True)
class AdmissionGrant:
    """Tasks of one job that are admitted to one partition.

    `entries` holds new tasks and tasks that a partition returned. `moved_from` holds, by allocation, the indices of the
    returned tasks that are moved out of it.
    """

    job: str
    zone: int
    entries: list[TaskEntry] = field(default_factory=list)
    moved_from: dict[AllocationKey, set[int]] = field(default_factory=dict)


@dataclass(slots=True)
class CapacityShortage:
    """Tasks that the quota allows and that don't fit on ready machines.

    Tasks booked on booting machines are included; tasks that the same round admits ahead of time or by preemption are
    not.
    """

    requirements: Requirements
    count: int
    deadline: float | None
    service: bool
    job: str
    estimate_s: float
    gang: bool = False  # all tasks start together in one zone, or none starts


@dataclass(slots=True)
class AdmissionPlan:
    """The plan of one round."""

    grants: list[AdmissionGrant] = field(default_factory=list)
    shortages: list[CapacityShortage] = field(default_factory=list)
    next_job: str | None = None  # where the next round continues; None if this round planned all jobs
    unwritable: list[AllocationKey] = field(default_factory=list)  # too large to be updated, with returned tasks


@dataclass(slots=True)
class ZoneAssignment:
    """How many tasks of one job are assigned to each zone."""

    tasks_by_zone: dict[int, int] = field(default_factory=dict)
    on_booting_machines: int = 0  # how many of the tasks are booked on booting machines

    @property
    def tasks(self) -> int:
        """Number of tasks that are assigned to any zone."""
        return sum(self.tasks_by_zone.values())

    def add(self, zone: int, count: int) -> None:
        """Assigns `count` more tasks to a zone."""
        self.tasks_by_zone[zone] = self.tasks_by_zone.get(zone, 0) + count
