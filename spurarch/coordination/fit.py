"""Best fit, and the tables it reads. Pure: dense indices and numbers in, an index out.

The paper's rule for newcomers (IV-A, after its Best-Fit reference): the fullest machine that fits. Its 70% cap is on
*measured* use; bookings may fill a machine completely. Two refinements in the same spirit: a machine that already has
the image comes first, because a fetch costs more than any difference in fullness; and a smaller machine is taken
before a larger one of the same fullness, which keeps large gaps whole for large tasks.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

EPSILON = 1e-6


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
    by_priority: list[list[float]] = field(default_factory=lambda: [[0.0, 0.0, 0.0] for _ in range(4)])

    def take(self, need: Need) -> None:
        """Books a task."""
        self.free_cpus -= need.cpus
        self.free_gpus -= need.gpus
        self.free_memory_gb -= need.memory_gb
        self.tasks += 1
        self._book(need, 1)

    def give(self, need: Need) -> None:
        """Takes a booking back."""
        self.free_cpus += need.cpus
        self.free_gpus += need.gpus
        self.free_memory_gb += need.memory_gb
        self.tasks -= 1
        self._book(need, -1)

    def _book(self, need: Need, sign: int) -> None:
        used = self.by_priority[need.priority]
        used[0] += sign * need.cpus
        used[1] += sign * need.gpus
        used[2] += sign * need.memory_gb

    def copy(self) -> Room:
        """A table of its own for a plan to change."""
        return replace(self, by_priority=[list(used) for used in self.by_priority])

    def fits_by_preemption(self, need: Need) -> bool:
        """The task would fit if work of lower priority left."""
        lower = self.by_priority[need.priority + 1 :]
        return (
            need.cpus <= self.free_cpus + sum(u[0] for u in lower) + EPSILON
            and need.gpus <= self.free_gpus + sum(u[1] for u in lower) + EPSILON
            and need.memory_gb <= self.free_memory_gb + sum(u[2] for u in lower) + EPSILON
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


def best_fit(need: Need, rooms: Iterable[Room]) -> Room | None:
    """The machine for a newcomer, or None if none fits."""
    best: Room | None = None
    best_order: tuple[bool, float, float] | None = None
    for room in rooms:
        if not room.fits(need):
            continue
        fullness = 1.0 - (room.free_cpus - need.cpus) / room.cpus if room.cpus else 1.0
        order = (need.image not in room.images, -round(fullness, 6), room.cpus)
        if best_order is None or order < best_order:
            best, best_order = room, order
    return best


def all_fit(need: Need, rooms: Iterable[Room], count: int) -> bool:
    """Whether `count` such tasks fit at once."""
    trial = [room.copy() for room in rooms]
    for _ in range(count):
        room = best_fit(need, trial)
        if room is None:
            return False
        room.take(need)
    return True
