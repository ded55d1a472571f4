"""Best fit, and the tables it reads. Pure: dense indices and numbers in, an index out.

The paper's rule for newcomers (IV-A, after its Best-Fit reference): the fullest machine that fits. Its 70% cap is on
*measured* use; bookings may fill a machine completely. Two refinements in the same spirit: a machine that already has
the image comes first, because a fetch costs more than any difference in fullness; and a smaller machine is taken
before a larger one of the same fullness, which keeps large gaps whole for large tasks.

Equal tasks are placed as a group: the machine that took one is fuller than before, so it stays the best fit until it
is full, and sorting once gives what one search for each task would give.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

EPSILON = 1e-6
PRIORITIES = 4


@dataclass(slots=True)
class Requirements:
    """What one task takes, and where it may run."""

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
        """What decides where a task can be, whatever its image and priority: like tasks have the same."""
        return self.cpus, self.gpus, self.memory_gb, self.spot, self.types, self.zones

    def requires_at_least(self, other: Requirements) -> bool:
        """Where there is nothing for the other task, there is nothing for this one."""
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
    """A machine as the decisions see it."""

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
        """A table of its own for a plan to change."""
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
        """How many such tasks would fit once all but the most urgent work, which runs on and on, has ended."""
        others = self.by_priority[1:]
        emptied = replace(
            self,
            free_cpus=self.free_cpus + sum(used[0] for used in others),
            free_gpus=self.free_gpus + sum(used[1] for used in others),
            free_memory_gb=self.free_memory_gb + sum(used[2] for used in others),
        )
        return emptied.task_slots(requirements, most) if self.allows(requirements) else 0

    def task_slots(self, requirements: Requirements, most: int) -> int:
        """How many such tasks fit, `most` at most."""
        count = float(most)
        if requirements.cpus > 0:
            count = min(count, (self.free_cpus + EPSILON) // requirements.cpus)
        if requirements.memory_gb > 0:
            count = min(count, (self.free_memory_gb + EPSILON) // requirements.memory_gb)
        if requirements.gpus > 0:
            count = min(count, (self.free_gpus + EPSILON) // requirements.gpus)
        return max(0, int(count))


class TentativeBookings:
    """Bookings that a plan makes on shared tables, undone when it is made: cheaper than a copy of every table.

    Nothing may wait between the first booking and the undoing.
    """

    __slots__ = ("_booked",)

    def __init__(self) -> None:
        self._booked: list[tuple[MachineCapacity, Requirements, int]] = []

    def book(self, capacity: MachineCapacity, requirements: Requirements, count: int = 1) -> None:
        """Books tasks, or takes bookings back with a negative count."""
        capacity.book(requirements, count)
        self._booked.append((capacity, requirements, count))

    def undo(self) -> None:
        """Leaves the tables as they were."""
        while self._booked:
            capacity, requirements, count = self._booked.pop()
            capacity.book(requirements, -count)


def fitting(requirements: Requirements, capacities: Iterable[MachineCapacity]) -> list[MachineCapacity]:
    """The machines where such a task may run and has room.

    Says what `Room.fits` says of each, in one expression: this is asked of every machine for every kind of task, and
    calls were most of what it cost.
    """
    cpus, gpus, memory = requirements.cpus - EPSILON, requirements.gpus - EPSILON, requirements.memory_gb - EPSILON
    types, zones, spot = requirements.types, requirements.zones, requirements.spot
    return [
        capacity
        for capacity in capacities
        if capacity.free_cpus >= cpus
        and capacity.free_memory_gb >= memory
        and capacity.free_gpus >= gpus
        and (spot or not capacity.spot)
        and (types is None or capacity.type in types)
        and (zones is None or capacity.zone in zones)
    ]


def _order(requirements: Requirements) -> Callable[[MachineCapacity], tuple[bool, float, float]]:
    """Best fit: machines with the image, then the fullest, then the smallest."""
    cpus, image = requirements.cpus, requirements.image

    def key(capacity: MachineCapacity) -> tuple[bool, float, float]:
        fullness = 1.0 - (capacity.free_cpus - cpus) / capacity.cpus if capacity.cpus else 1.0
        return image not in capacity.images, -round(fullness, 6), capacity.cpus

    return key


def best_fit(requirements: Requirements, capacities: Iterable[MachineCapacity]) -> MachineCapacity | None:
    """The machine for a newcomer, or None if none fits."""
    return min(fitting(requirements, capacities), key=_order(requirements), default=None)


def fill(
    requirements: Requirements, capacities: Iterable[MachineCapacity], count: int, bookings: TentativeBookings
) -> list[tuple[MachineCapacity, int]]:
    """Books up to `count` equal tasks by best fit; says how many went where."""
    out: list[tuple[MachineCapacity, int]] = []
    if count == 1:
        capacity = best_fit(requirements, capacities)
        if capacity is not None:
            bookings.book(capacity, requirements)
            out.append((capacity, 1))
        return out
    for capacity in sorted(fitting(requirements, capacities), key=_order(requirements)):
        if count <= 0:
            break
        taken = capacity.task_slots(requirements, count)
        bookings.book(capacity, requirements, taken)
        out.append((capacity, taken))
        count -= taken
    return out


def all_fit(requirements: Requirements, capacities: Iterable[MachineCapacity], count: int) -> bool:
    """Whether `count` such tasks fit at once."""
    for capacity in capacities:
        if count <= 0:
            break
        if capacity.fits(requirements):
            count -= capacity.task_slots(requirements, count)
    return count <= 0


def machine_to_reserve(requirements: Requirements, capacities: Iterable[MachineCapacity]) -> MachineCapacity | None:
    """The machine to keep free of newcomers so that room for a large task gathers: the one with the most of it.

    As its tasks end it stays the one with the most room, so the choice lasts from round to round.
    """
    able = (capacity for capacity in capacities if capacity.fits_when_empty(requirements))
    return max(able, key=lambda capacity: (capacity.free_cpus, -capacity.machine), default=None)


def machines_to_reserve(
    requirements: Requirements, capacities: Iterable[MachineCapacity], count: int
) -> list[MachineCapacity]:
    """Machines to keep free of newcomers so that room for `count` tasks gathers on them; none if it never would.

    Those with the image come first, then those with the most room already: fewer tasks have to end there.
    """
    able = sorted(
        (capacity for capacity in capacities if capacity.allows(requirements)),
        key=lambda capacity: (
            requirements.image not in capacity.images,
            -capacity.task_slots(requirements, count),
            -capacity.cpus,
            capacity.machine,
        ),
    )
    out: list[MachineCapacity] = []
    for capacity in able:
        slots = capacity.slots_after_preemption(requirements, count)
        if slots:
            out.append(capacity)
            count -= slots
        if count <= 0:
            return out
    return []
