"""The state of one placement round, shared by the modules that place arrays, services and gangs."""

from __future__ import annotations

from dataclasses import dataclass, field

from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.partition.machine import TaskAttempt
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.scheduling.placement_state import PlacementState
from spurarch.coordination.scheduling.round_capacities import RoundCapacities
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, TaskEntry, TaskKey

AllocationEntries = dict[AllocationKey, dict[int, TaskEntry]]  # entries by index of the task


@dataclass(slots=True, frozen=True)
class PlacementSettings:
    """Limits of placement; times are in seconds."""

    longest_wait_s: float  # a job that has waited longer without running any task is placed before all others
    guarantee_wait_s: float  # how long a task within its team's guarantee waits before it preempts
    max_silence_s: float  # a machine without a heartbeat for longer is given no tasks
    max_updatable_tasks: float  # a record with more tasks can't be updated, so none of its tasks is placed


@dataclass(slots=True)
class PlacementResult:
    """Outcome of one round.

    Attributes:
        entries: Changed entries of allocation records, to be written.
        preempt: Attempts to stop.
        unfinished: Whether the round ended before it had handled every allocation.
        unwritable: Allocations with waiting tasks that are not placed, since their record can't be updated.
    """

    entries: AllocationEntries = field(default_factory=dict)
    preempt: list[TaskAttempt] = field(default_factory=list)
    unfinished: bool = False
    unwritable: list[AllocationKey] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class PlacementRound:
    """One round of a partition: its inputs, and the decisions made so far."""

    partition: Partition
    view: FleetView
    settings: PlacementSettings
    placement_state: PlacementState
    pending_changes: AllocationEntries  # decided in earlier rounds, not yet committed
    writes_scarce: bool  # the rate limit of the state service leaves few writes
    now: float  # monotonic seconds
    wall_time: float  # Unix seconds
    result: PlacementResult = field(default_factory=PlacementResult)
    waiting: set[TaskKey] = field(default_factory=set)  # tasks that found no machine in this round
    capacities: RoundCapacities = field(init=False)

    def __post_init__(self) -> None:
        """Collects the machines that take tasks."""
        self.capacities = RoundCapacities(self.partition, self.view, self.now, self.settings.max_silence_s)

    def unplaced(self, allocation: AllocationKey) -> list[TaskEntry]:
        """Returns the waiting tasks of the allocation that have not been placed in this round."""
        placed = self.result.entries.get(allocation, {})
        return [entry for entry in self.partition.unassigned[allocation] if entry.index not in placed]

    def is_starving(self, job: JobView) -> bool:
        """Returns whether the job has waited for longer than `longest_wait_s` without running any task."""
        return job.is_starving(self.wall_time, self.settings.longest_wait_s)

    def assign(
        self, allocation: AllocationKey, entry: TaskEntry, capacity: MachineCapacity, attempt: int | None = None
    ) -> None:
        """Assigns a task to a machine, under the given attempt number or, if that is None, the task's next one."""
        machine = self.capacities.machine_of(capacity)
        number = entry.attempt + 1 if attempt is None else attempt
        assigned = TaskEntry(entry.index, records.ASSIGNED, number, machine.name, machine.incarnation)
        self.result.entries.setdefault(allocation, {})[entry.index] = assigned

    def return_to_leader(self, allocation: AllocationKey, entry: TaskEntry) -> None:
        """Returns a task to the leader, which admits it again, to this or another partition."""
        returned = TaskEntry(entry.index, records.RETURNED, entry.attempt)
        self.result.entries.setdefault(allocation, {})[entry.index] = returned

    def use_claimed_capacity(self, allocation: AllocationKey, job: JobView, entry: TaskEntry) -> bool:
        """Assigns a task to the machine that it has a claim on, if it fits there; books its capacity there in any case.

        Returns False if the task has no valid claim.
        """
        key = allocation.job, entry.index
        machine = self.placement_state.claimed_machine(key, self.now)
        capacity = self.capacities.find(machine) if machine is not None else None
        if capacity is None:
            return False
        if capacity.fits(job.requirements):
            self.assign(allocation, entry, capacity)
        else:
            self.waiting.add(key)
        # Without this booking, tasks of lower rank would take the capacity as soon as it is free.
        self.capacities.bookings.book(capacity, job.requirements)
        return True
