"""Best fit: which machine a new task is placed on. Pure functions over the tables of `fleet.capacity`.

The fullest machine that fits is chosen. Two refinements: a machine that has the image comes first, because fetching
an image costs more than any difference in fullness; and of two machines of the same fullness the smaller one comes
first, which keeps large gaps whole for large tasks. Bookings may fill a machine completely: the cap of 70% in the
paper that this rule is taken from (IV-A) is on measured use.

Equal tasks are placed as a group: the machine that took one is fuller than before, so it stays the best fit until it
is full, and sorting once gives what one search for each task would give.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from spurarch.coordination.fleet.capacity import EPSILON, MachineCapacity, Requirements, TentativeBookings


def fitting(requirements: Requirements, capacities: Iterable[MachineCapacity]) -> list[MachineCapacity]:
    """The machines where such a task may run and has room.

    The same as `MachineCapacity.fits` of each, in one expression: it runs for every machine and every kind of task,
    and the calls were most of its cost.
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


def _best_fit_key(requirements: Requirements) -> Callable[[MachineCapacity], tuple[bool, float, float]]:
    """Sort key: machines with the image first, then the fullest, then the smallest."""
    cpus, image = requirements.cpus, requirements.image

    def key(capacity: MachineCapacity) -> tuple[bool, float, float]:
        fullness = 1.0 - (capacity.free_cpus - cpus) / capacity.cpus if capacity.cpus else 1.0
        return image not in capacity.images, -round(fullness, 6), capacity.cpus

    return key


def best_fit(requirements: Requirements, capacities: Iterable[MachineCapacity]) -> MachineCapacity | None:
    """The machine for a new task, or None if it fits nowhere."""
    return min(fitting(requirements, capacities), key=_best_fit_key(requirements), default=None)


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
    for capacity in sorted(fitting(requirements, capacities), key=_best_fit_key(requirements)):
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
