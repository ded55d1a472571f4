"""The state of one placement round, shared by the modules that place arrays, services and gangs."""

from __future__ import annotations

from dataclasses import dataclass, field

from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.partition.machine import TaskAttempt
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.scheduling.placement_memory import PlacementMemory, TaskKey
from spurarch.coordination.scheduling.round_capacities import RoundCapacities
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, TaskEntry

AllocationEntries = dict[AllocationKey, dict[int, TaskEntry]]  # entries by index of the task


@dataclass(slots=True, frozen=True)
class PlacementSettings:
    """How long jobs, guaranteed resources and silent machines are waited for, in seconds."""

    longest_wait_s: float  # a job of which nothing has run for longer goes before all others
    guarantee_wait_s: float  # a task within its team's guarantee waits so long before it preempts
    max_silence_s: float  # a machine without a heartbeat for longer takes no tasks


@dataclass(slots=True)
class PlacementResult:
    """Outcome of one round: entries to write, attempts to preempt, and whether the round was cut off."""

    entries: AllocationEntries = field(default_factory=dict)
    preempt: list[TaskAttempt] = field(default_factory=list)
    unfinished: bool = False


@dataclass(slots=True, eq=False)
class PlacementRound:
    """One round of a partition: what it reads, and what it has decided so far."""

    partition: Partition
    view: FleetView
    settings: PlacementSettings
    memory: PlacementMemory
    pending_changes: AllocationEntries  # decided in earlier rounds, not yet committed
    writes_scarce: bool  # the rate limit of the state service leaves few writes
    now: float
    wall_time: float
    result: PlacementResult = field(default_factory=PlacementResult)
    waiting: set[TaskKey] = field(default_factory=set)  # tasks that this round left without room
    capacities: RoundCapacities = field(init=False)

    def __post_init__(self) -> None:
        """Collects the machines that take tasks."""
        self.capacities = RoundCapacities(self.partition, self.view, self.now, self.settings.max_silence_s)

    def unplaced(self, allocation: AllocationKey) -> list[TaskEntry]:
        """Tasks of the allocation that wait and have not been placed in this round."""
        placed = self.result.entries.get(allocation, {})
        return [entry for entry in self.partition.unassigned[allocation] if entry.index not in placed]

    def is_starving(self, job: JobView) -> bool:
        """Nothing of the job has run for the longest wait."""
        return job.is_starving(self.wall_time, self.settings.longest_wait_s)

    def assign(
        self, allocation: AllocationKey, entry: TaskEntry, capacity: MachineCapacity, attempt: int | None = None
    ) -> None:
        """Assigns a task to a machine, as its next attempt or as that of its gang."""
        machine = self.capacities.machine_of(capacity)
        number = entry.attempt + 1 if attempt is None else attempt
        assigned = TaskEntry(entry.index, records.ASSIGNED, number, machine.name, machine.incarnation)
        self.result.entries.setdefault(allocation, {})[entry.index] = assigned

    def return_to_leader(self, allocation: AllocationKey, entry: TaskEntry) -> None:
        """Gives a task back to the leader, which admits it to another partition."""
        returned = TaskEntry(entry.index, records.RETURNED, entry.attempt)
        self.result.entries.setdefault(allocation, {})[entry.index] = returned

    def use_claimed_room(self, allocation: AllocationKey, job: JobView, entry: TaskEntry) -> bool:
        """Assigns a task to the machine where room is being freed for it, or keeps that room until it is free.

        Returns False for a task without such a machine.
        """
        key = allocation.job, entry.index
        machine = self.memory.claimed_machine(key, self.now)
        capacity = self.capacities.find(machine) if machine is not None else None
        if capacity is None:
            return False
        if capacity.fits(job.requirements):
            self.assign(allocation, entry, capacity)
        else:
            self.waiting.add(key)
        # Without this, tasks of lower rank in the queue would take the room the moment it is free.
        self.capacities.bookings.book(capacity, job.requirements)
        return True
