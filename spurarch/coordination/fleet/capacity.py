"""What a task requires, what a machine has free, and bookings that can be undone.

Decisions work on these tables, whose machines, zones, types and images are dense indices. They make no input or output.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

EPSILON = 1e-6
PRIORITIES = 4


@dataclass(slots=True)
class Requirements:
    """The resources that one task requires, and where it may run."""

    cpus: float
    gpus: float
    memory_gb: float
    types: frozenset[int] | None
    spot: bool
    image: int
    priority: int = 0
    zones: frozenset[int] | None = None

    @property
    def shape(self) -> tuple[object, ...]:
        """Resources and constraints without image and priority: tasks of equal shape fit on the same machines."""
        return self.cpus, self.gpus, self.memory_gb, self.spot, self.types, self.zones

    def requires_at_least(self, other: Requirements) -> bool:
        """A machine on which this task fits would also fit the other one."""
        return (
            other.cpus <= self.cpus
            and other.memory_gb <= self.memory_gb
            and other.gpus <= self.gpus
            and other.types in (None, self.types)
            and other.zones in (None, self.zones)
            and (other.spot or not self.spot)
        )


@dataclass(slots=True)
class MachineCapacity:
    """One machine: what it has, what of that is free, and the images that it has cached."""

    machine: int
    zone: int
    type: int
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    free_cpus: float
    free_gpus: float
    free_memory_gb: float
    images: set[int] = field(default_factory=set)
    tasks: int = 0
    schedulable: bool = True
    by_priority: list[list[float]] = field(default_factory=lambda: [[0.0, 0.0, 0.0] for _ in range(PRIORITIES)])

    def book(self, requirements: Requirements, count: int = 1) -> None:
        """Books tasks; a negative count takes bookings back."""
        cpus, gpus, memory = requirements.cpus * count, requirements.gpus * count, requirements.memory_gb * count
        self.free_cpus -= cpus
        self.free_gpus -= gpus
        self.free_memory_gb -= memory
        self.tasks += count
        used = self.by_priority[requirements.priority]
        used[0] += cpus
        used[1] += gpus
        used[2] += memory

    def unbook(self, requirements: Requirements, count: int = 1) -> None:
        """Takes bookings back."""
        self.book(requirements, -count)

    def copy(self) -> MachineCapacity:
        """Copy whose bookings may be changed; the set of images is shared."""
        return replace(self, by_priority=[list(used) for used in self.by_priority])

    def fits_by_preemption(self, requirements: Requirements) -> bool:
        """The task would fit if work of lower priority left."""
        cpus, gpus, memory = self.free_cpus, self.free_gpus, self.free_memory_gb
        for used in self.by_priority[requirements.priority + 1 :]:
            cpus += used[0]
            gpus += used[1]
            memory += used[2]
        return (
            requirements.cpus <= cpus + EPSILON
            and requirements.gpus <= gpus + EPSILON
            and requirements.memory_gb <= memory + EPSILON
            and self.allows(requirements)
        )

    def allows(self, requirements: Requirements) -> bool:
        """The task may run on this kind of machine, full or not."""
        return (
            (requirements.types is None or self.type in requirements.types)
            and (requirements.spot or not self.spot)
            and (requirements.zones is None or self.zone in requirements.zones)
        )

    def fits(self, requirements: Requirements) -> bool:
        """The task may run here and there is room."""
        return (
            requirements.cpus <= self.free_cpus + EPSILON
            and requirements.memory_gb <= self.free_memory_gb + EPSILON
            and requirements.gpus <= self.free_gpus + EPSILON
            and self.allows(requirements)
        )

    def fits_when_empty(self, requirements: Requirements) -> bool:
        """The task would fit here if the machine were empty."""
        return (
            requirements.cpus <= self.cpus + EPSILON
            and requirements.memory_gb <= self.memory_gb + EPSILON
            and requirements.gpus <= self.gpus + EPSILON
            and self.allows(requirements)
        )

    def slots_after_preemption(self, requirements: Requirements, most: int) -> int:
        """Number of such tasks, `most` at most, that would fit once all work below the highest priority has ended.

        Work of the highest priority is taken to run without end.
        """
        others = self.by_priority[1:]
        emptied = replace(
            self,
            free_cpus=self.free_cpus + sum(used[0] for used in others),
            free_gpus=self.free_gpus + sum(used[1] for used in others),
            free_memory_gb=self.free_memory_gb + sum(used[2] for used in others),
        )
        return emptied.task_slots(requirements, most) if self.allows(requirements) else 0

    def task_slots(self, requirements: Requirements, most: int) -> int:
        """Number of such tasks that fit by their resources, `most` at most."""
        count = float(most)
        if requirements.cpus > 0:
            count = min(count, (self.free_cpus + EPSILON) // requirements.cpus)
        if requirements.memory_gb > 0:
            count = min(count, (self.free_memory_gb + EPSILON) // requirements.memory_gb)
        if requirements.gpus > 0:
            count = min(count, (self.free_gpus + EPSILON) // requirements.gpus)
        return max(0, int(count))


class TentativeBookings:
    """Bookings that a decision makes on shared tables and undoes at its end: cheaper than a copy of every table.

    The code between the first booking and `undo` must not await anything.
    """

    __slots__ = ("_booked",)

    def __init__(self) -> None:
        self._booked: list[tuple[MachineCapacity, Requirements, int]] = []

    def book(self, capacity: MachineCapacity, requirements: Requirements, count: int = 1) -> None:
        """Books tasks, or takes bookings back with a negative count."""
        capacity.book(requirements, count)
        self._booked.append((capacity, requirements, count))

    def undo(self) -> None:
        """Takes all bookings back, the last one first."""
        while self._booked:
            capacity, requirements, count = self._booked.pop()
            capacity.book(requirements, -count)
