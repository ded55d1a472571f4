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
class Need:
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

    def asks_no_less(self, other: Need) -> bool:
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
class Room:
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
    open: bool = True
    by_priority: list[list[float]] = field(default_factory=lambda: [[0.0, 0.0, 0.0] for _ in range(PRIORITIES)])

    def take(self, need: Need, count: int = 1) -> None:
        """Books tasks; a negative count takes bookings back."""
        cpus, gpus, memory = need.cpus * count, need.gpus * count, need.memory_gb * count
        self.free_cpus -= cpus
        self.free_gpus -= gpus
        self.free_memory_gb -= memory
        self.tasks += count
        used = self.by_priority[need.priority]
        used[0] += cpus
        used[1] += gpus
        used[2] += memory

    def give(self, need: Need, count: int = 1) -> None:
        """Takes bookings back."""
        self.take(need, -count)

    def copy(self) -> Room:
        """A table of its own for a plan to change."""
        return replace(self, by_priority=[list(used) for used in self.by_priority])

    def fits_by_preemption(self, need: Need) -> bool:
        """The task would fit if work of lower priority left."""
        cpus, gpus, memory = self.free_cpus, self.free_gpus, self.free_memory_gb
        for used in self.by_priority[need.priority + 1 :]:
            cpus += used[0]
            gpus += used[1]
            memory += used[2]
        return (
            need.cpus <= cpus + EPSILON
            and need.gpus <= gpus + EPSILON
            and need.memory_gb <= memory + EPSILON
            and self.allows(need)
        )

    def allows(self, need: Need) -> bool:
        """The task may run on this kind of machine, full or not."""
        return (
            (need.types is None or self.type in need.types)
            and (need.spot or not self.spot)
            and (need.zones is None or self.zone in need.zones)
        )

    def fits(self, need: Need) -> bool:
        """The task may run here and there is room."""
        return (
            need.cpus <= self.free_cpus + EPSILON
            and need.memory_gb <= self.free_memory_gb + EPSILON
            and need.gpus <= self.free_gpus + EPSILON
            and self.allows(need)
        )

    def could_hold(self, need: Need) -> bool:
        """The task would fit here if the machine were empty."""
        return (
            need.cpus <= self.cpus + EPSILON
            and need.memory_gb <= self.memory_gb + EPSILON
            and need.gpus <= self.gpus + EPSILON
            and self.allows(need)
        )

    def slots_without_arrays(self, need: Need, most: int) -> int:
        """How many such tasks would fit once all but the most urgent work, which runs on and on, has ended."""
        others = self.by_priority[1:]
        emptied = replace(
            self,
            free_cpus=self.free_cpus + sum(used[0] for used in others),
            free_gpus=self.free_gpus + sum(used[1] for used in others),
            free_memory_gb=self.free_memory_gb + sum(used[2] for used in others),
        )
        return emptied.slots(need, most) if self.allows(need) else 0

    def slots(self, need: Need, most: int) -> int:
        """How many such tasks fit, `most` at most."""
        count = float(most)
        if need.cpus > 0:
            count = min(count, (self.free_cpus + EPSILON) // need.cpus)
        if need.memory_gb > 0:
            count = min(count, (self.free_memory_gb + EPSILON) // need.memory_gb)
        if need.gpus > 0:
            count = min(count, (self.free_gpus + EPSILON) // need.gpus)
        return max(0, int(count))


class Draft:
    """Bookings that a plan makes on shared tables, undone when it is made: cheaper than a copy of every table.

    Nothing may wait between the first booking and the undoing.
    """

    __slots__ = ("_booked",)

    def __init__(self) -> None:
        self._booked: list[tuple[Room, Need, int]] = []

    def take(self, room: Room, need: Need, count: int = 1) -> None:
        """Books tasks, or takes bookings back with a negative count."""
        room.take(need, count)
        self._booked.append((room, need, count))

    def undo(self) -> None:
        """Leaves the tables as they were."""
        while self._booked:
            room, need, count = self._booked.pop()
            room.take(need, -count)


def fitting(need: Need, rooms: Iterable[Room]) -> list[Room]:
    """The machines where such a task may run and has room.

    Says what `Room.fits` says of each, in one expression: this is asked of every machine for every kind of task, and
    calls were most of what it cost.
    """
    cpus, gpus, memory = need.cpus - EPSILON, need.gpus - EPSILON, need.memory_gb - EPSILON
    types, zones, spot = need.types, need.zones, need.spot
    return [
        room
        for room in rooms
        if room.free_cpus >= cpus
        and room.free_memory_gb >= memory
        and room.free_gpus >= gpus
        and (spot or not room.spot)
        and (types is None or room.type in types)
        and (zones is None or room.zone in zones)
    ]


def _order(need: Need) -> Callable[[Room], tuple[bool, float, float]]:
    """Best fit: machines with the image, then the fullest, then the smallest."""
    cpus, image = need.cpus, need.image

    def key(room: Room) -> tuple[bool, float, float]:
        fullness = 1.0 - (room.free_cpus - cpus) / room.cpus if room.cpus else 1.0
        return image not in room.images, -round(fullness, 6), room.cpus

    return key


def best_fit(need: Need, rooms: Iterable[Room]) -> Room | None:
    """The machine for a newcomer, or None if none fits."""
    return min(fitting(need, rooms), key=_order(need), default=None)


def fill(need: Need, rooms: Iterable[Room], count: int, draft: Draft) -> list[tuple[Room, int]]:
    """Books up to `count` equal tasks by best fit; says how many went where."""
    out: list[tuple[Room, int]] = []
    if count == 1:
        room = best_fit(need, rooms)
        if room is not None:
            draft.take(room, need)
            out.append((room, 1))
        return out
    for room in sorted(fitting(need, rooms), key=_order(need)):
        if count <= 0:
            break
        taken = room.slots(need, count)
        draft.take(room, need, taken)
        out.append((room, taken))
        count -= taken
    return out


def all_fit(need: Need, rooms: Iterable[Room], count: int) -> bool:
    """Whether `count` such tasks fit at once."""
    for room in rooms:
        if count <= 0:
            break
        if room.fits(need):
            count -= room.slots(need, count)
    return count <= 0


def gathering(need: Need, rooms: Iterable[Room]) -> Room | None:
    """The machine to keep free of newcomers so that room for a large task gathers: the one with the most of it.

    As its tasks end it stays the one with the most room, so the choice lasts from round to round.
    """
    able = (room for room in rooms if room.could_hold(need))
    return max(able, key=lambda room: (room.free_cpus, -room.machine), default=None)


def gathering_rooms(need: Need, rooms: Iterable[Room], count: int) -> list[Room]:
    """Machines to keep free of newcomers so that room for `count` tasks gathers on them; none if it never would.

    Those with the image come first, then those with the most room already: fewer tasks have to end there.
    """
    able = sorted(
        (room for room in rooms if room.allows(need)),
        key=lambda room: (need.image not in room.images, -room.slots(need, count), -room.cpus, room.machine),
    )
    out: list[Room] = []
    for room in able:
        slots = room.slots_without_arrays(need, count)
        if slots:
            out.append(room)
            count -= slots
        if count <= 0:
            return out
    return []
