"""Resource requirements of tasks, free capacity of machines, and bookings that can be undone.

Machines, zones, machine types and images are dense indices. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from spurarch.protocol.message_limits import MAX_TASKS_PER_MACHINE

EPSILON = 1e-6  # tolerance for rounding in sums of CPUs, GPUs and gigabytes
PRIORITIES = 4  # levels; 0 is the highest
RESOURCES = 4  # CPUs, GPUs, gigabytes of memory, and places for tasks


@dataclass(slots=True)
class Requirements:
    """Resources and placement constraints of one task; None in a constraint allows all types or zones."""

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
        """Resources and constraints without image and priority; tasks of equal shape fit on the same machines."""
        return self.cpus, self.gpus, self.memory_gb, self.spot, self.types, self.zones

    def requires_at_least(self, other: Requirements) -> bool:
        """Whether the other task certainly fits on every machine on which this task fits."""
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
    """Total and free resources of one machine, its booked tasks and its cached images.

    `free_tasks` is how many more tasks its worker's heartbeats can list. It is negative on a machine that an earlier
    version gave too many tasks. `used_by_priority` holds the booked CPUs, GPUs, gigabytes of memory and number of tasks
    for each priority. In the fleet view, `images` holds the images of the tasks assigned to the machine last; some may
    not be fetched completely yet.
    """

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
    free_tasks: int = MAX_TASKS_PER_MACHINE
    schedulable: bool = True
    used_by_priority: list[list[float]] = field(default_factory=lambda: [[0.0] * RESOURCES for _ in range(PRIORITIES)])

    def book(self, requirements: Requirements, count: int = 1) -> None:
        """Books `count` tasks; a negative count removes bookings."""
        cpus, gpus, memory = requirements.cpus * count, requirements.gpus * count, requirements.memory_gb * count
        self.free_cpus -= cpus
        self.free_gpus -= gpus
        self.free_memory_gb -= memory
        self.tasks += count
        self.free_tasks -= count
        used = self.used_by_priority[requirements.priority]
        used[0] += cpus
        used[1] += gpus
        used[2] += memory
        used[3] += count

    def unbook(self, requirements: Requirements, count: int = 1) -> None:
        """Removes the bookings of `count` tasks."""
        self.book(requirements, -count)

    def copy(self) -> MachineCapacity:
        """Returns a copy with its own bookings; the set of images is shared with the original."""
        return replace(self, used_by_priority=[list(used) for used in self.used_by_priority])

    def fits_by_preemption(self, requirements: Requirements) -> bool:
        """Whether the task would fit if all work of lower priority were preempted."""
        cpus, gpus, memory, tasks = self.free_cpus, self.free_gpus, self.free_memory_gb, float(self.free_tasks)
        for used in self.used_by_priority[requirements.priority + 1 :]:
            cpus += used[0]
            gpus += used[1]
            memory += used[2]
            tasks += used[3]
        return (
            tasks >= 1
            and requirements.cpus <= cpus + EPSILON
            and requirements.gpus <= gpus + EPSILON
            and requirements.memory_gb <= memory + EPSILON
            and self.satisfies_constraints(requirements)
        )

    @property
    def has_free_capacity(self) -> bool:
        """Whether it has free CPUs and can be given another task."""
        return self.free_cpus > EPSILON and self.free_tasks > 0

    def satisfies_constraints(self, requirements: Requirements) -> bool:
        """Whether machine type, spot and zone satisfy the task's constraints, regardless of free capacity."""
        return (
            (requirements.types is None or self.type in requirements.types)
            and (requirements.spot or not self.spot)
            and (requirements.zones is None or self.zone in requirements.zones)
        )

    def fits(self, requirements: Requirements) -> bool:
        """Whether the constraints allow the task here and the free capacity suffices."""
        return (
            self.free_tasks > 0
            and requirements.cpus <= self.free_cpus + EPSILON
            and requirements.memory_gb <= self.free_memory_gb + EPSILON
            and requirements.gpus <= self.free_gpus + EPSILON
            and self.satisfies_constraints(requirements)
        )

    def fits_when_empty(self, requirements: Requirements) -> bool:
        """Whether the task would fit if no other task ran here."""
        return (
            requirements.cpus <= self.cpus + EPSILON
            and requirements.memory_gb <= self.memory_gb + EPSILON
            and requirements.gpus <= self.gpus + EPSILON
            and self.satisfies_constraints(requirements)
        )

    def slots_after_preemption(self, requirements: Requirements, max_tasks: int) -> int:
        """Number of such tasks, up to `max_tasks`, that would fit once all work below the highest priority has ended.

        Work of the highest priority is assumed to run indefinitely.
        """
        lower = self.used_by_priority[1:]
        after_preemption = replace(
            self,
            free_cpus=self.free_cpus + sum(used[0] for used in lower),
            free_gpus=self.free_gpus + sum(used[1] for used in lower),
            free_memory_gb=self.free_memory_gb + sum(used[2] for used in lower),
            free_tasks=self.free_tasks + int(sum(used[3] for used in lower)),
        )
        return after_preemption.task_slots(requirements, max_tasks) if self.satisfies_constraints(requirements) else 0

    def task_slots(self, requirements: Requirements, max_tasks: int) -> int:
        """Number of such tasks that the free resources fit, up to `max_tasks`; does not check constraints."""
        count = float(min(max_tasks, self.free_tasks))
        if requirements.cpus > 0:
            count = min(count, (self.free_cpus + EPSILON) // requirements.cpus)
        if requirements.memory_gb > 0:
            count = min(count, (self.free_memory_gb + EPSILON) // requirements.memory_gb)
        if requirements.gpus > 0:
            count = min(count, (self.free_gpus + EPSILON) // requirements.gpus)
        return max(0, int(count))


# A task that its worker still lists although it uses no resources any more, or none that are known.
LISTED_TASK = Requirements(0.0, 0.0, 0.0, None, True, image=-1)


class TentativeBookings:
    """Bookings that a decision makes on shared tables and undoes at its end, which is cheaper than copying the tables.

    Code between the first booking and `undo` must not await: other tasks of the event loop would see the bookings.
    """

    __slots__ = ("_booked",)

    def __init__(self) -> None:
        self._booked: list[tuple[MachineCapacity, Requirements, int]] = []

    def book(self, capacity: MachineCapacity, requirements: Requirements, count: int = 1) -> None:
        """Books `count` tasks until `undo`; a negative count removes bookings until then."""
        capacity.book(requirements, count)
        self._booked.append((capacity, requirements, count))

    def undo(self) -> None:
        """Reverses all bookings, the latest first."""
        while self._booked:
            capacity, requirements, count = self._booked.pop()
            capacity.book(requirements, -count)
