"""What one round of admission decides: grants of tasks to partitions, and shortages of capacity."""

from __future__ import annotations

from dataclasses import dataclass, field

from spurarch.coordination.fleet.capacity import Requirements
from spurarch.storage.records import AllocationKey, TaskEntry


@dataclass(slots=True)
class AdmissionGrant:
    """Tasks of one job for one partition.

    `entries` holds new tasks and tasks that a partition returned; `moved` names the allocations that the returned ones
    leave, with the indices of those tasks.
    """

    job: str
    zone: int
    entries: list[TaskEntry] = field(default_factory=list)
    moved: dict[AllocationKey, set[int]] = field(default_factory=dict)


@dataclass(slots=True)
class CapacityShortage:
    """Tasks that the quota allows and that no machine, free or booting, has room for."""

    requirements: Requirements
    count: int
    deadline: float | None
    service: bool
    job: str
    estimate_s: float
    gang: bool = False  # all of the tasks start together in one zone, or none does


@dataclass(slots=True)
class AdmissionPlan:
    """Outcome of one round."""

    grants: list[AdmissionGrant] = field(default_factory=list)
    shortages: list[CapacityShortage] = field(default_factory=list)
    next_job: str | None = None  # the job at which the next round continues, if the time budget was spent


@dataclass(slots=True)
class ZoneAssignment:
    """Where tasks of one job go."""

    tasks_by_zone: dict[int, int] = field(default_factory=dict)
    on_booting_machines: int = 0  # how many of them wait for a machine that boots

    @property
    def tasks(self) -> int:
        """All tasks that go to some zone."""
        return sum(self.tasks_by_zone.values())

    def add(self, zone: int, count: int) -> None:
        """Assigns tasks to a zone."""
        self.tasks_by_zone[zone] = self.tasks_by_zone.get(zone, 0) + count
