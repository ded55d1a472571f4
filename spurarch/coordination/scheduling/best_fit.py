"""Best-fit placement: chooses machines for new tasks. Pure functions over the tables of `fleet.capacity`.

Best fit chooses the fullest machine that fits, with two refinements. Machines that have the image come first, because
fetching an image costs more than any difference in fullness. Among machines of equal fullness the smaller one comes
first, so that large blocks of free capacity remain for large tasks. Bookings may use all of a machine: the 70% cap in
the paper that this rule is based on, `pMACH: Power and Migration Aware Container scHeduling` (section IV-A), applies to
measured use.

Equal tasks are placed as a group. A machine that received one of them is fuller than before and stays the best fit
until it is full, so sorting the machines once gives the same result as a search for each task.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from spurarch.coordination.fleet.capacity import EPSILON, MachineCapacity, Requirements, TentativeBookings


def fitting(requirements: Requirements, capacities: Iterable[MachineCapacity]) -> list[MachineCapacity]:
    """Returns the machines on which the task may run and has enough free capacity.

    Equivalent to `MachineCapacity.fits` for each machine, but written as one expression: this runs for every machine
    and every kind of task, and the method calls were most of its cost.
    """
    cpus, gpus, memory = requirements.cpus - EPSILON, requirements.gpus - EPSILON, requirements.memory_gb - EPSILON
    types, zones, spot = requirements.types, requirements.zones, requirements.spot
    return [
        capacity
        for capacity in capacities
        if capacity.free_tasks > 0
        and capacity.free_cpus >= cpus
        and capacity.free_memory_gb >= memory
        and capacity.free_gpus >= gpus
        and (spot or not capacity.spot)
        and (types is None or capacity.type in types)
        and (zones is None or capacity.zone in zones)
    ]


def _best_fit_key(requirements: Requirements) -> Callable[[MachineCapacity], tuple[bool, float, float]]:
    """Returns a sort key: machines with the image first, then the fullest, then the smallest."""
    cpus, image = requirements.cpus, requirements.image

    def key(capacity: MachineCapacity) -> tuple[bool, float, float]:
        fullness = 1.0 - (capacity.free_cpus - cpus) / capacity.cpus if capacity.cpus else 1.0
        return image not in capacity.images, -round(fullness, 6), capacity.cpus

    return key


def best_fit(requirements: Requirements, capacities: Iterable[MachineCapacity]) -> MachineCapacity | None:
    """Returns the best machine for a new task, or None if the task fits on none."""
    return min(fitting(requirements, capacities), key=_best_fit_key(requirements), default=None)


def book_by_best_fit(
    requirements: Requirements, capacities: Iterable[MachineCapacity], count: int, bookings: TentativeBookings
) -> list[tuple[MachineCapacity, int]]:
    """Books up to `count` equal tasks by best fit and returns each machine with its number of booked tasks."""
    placed: list[tuple[MachineCapacity, int]] = []
    if count == 1:
        capacity = best_fit(requirements, capacities)
        if capacity is not None:
            bookings.book(capacity, requirements)
            placed.append((capacity, 1))
        return placed
    for capacity in sorted(fitting(requirements, capacities), key=_best_fit_key(requirements)):
        if count <= 0:
            break
        slots = capacity.task_slots(requirements, count)
        bookings.book(capacity, requirements, slots)
        placed.append((capacity, slots))
        count -= slots
    return placed


def all_fit(requirements: Requirements, capacities: Iterable[MachineCapacity], count: int) -> bool:
    """Returns whether `count` such tasks fit on the machines at the same time."""
    for capacity in capacities:
        if count <= 0:
            break
        if capacity.fits(requirements):
            count -= capacity.task_slots(requirements, count)
    return count <= 0


def machine_to_reserve(requirements: Requirements, capacities: Iterable[MachineCapacity]) -> MachineCapacity | None:
    """Returns the machine to reserve for a large task, or None if the task would fit on none even when empty.

    New tasks are not placed on a reserved machine, so it frees capacity as its tasks end. The machine with the most
    free CPUs is chosen. It still has the most as its tasks end, so later rounds choose it again.
    """
    candidates = (capacity for capacity in capacities if capacity.fits_when_empty(requirements))
    return max(candidates, key=lambda capacity: (capacity.free_cpus, -capacity.machine), default=None)


def machines_to_reserve(
    requirements: Requirements, capacities: Iterable[MachineCapacity], count: int
) -> list[MachineCapacity]:
    """Returns machines to reserve until `count` tasks fit on them, or an empty list if they never would.

    New tasks are not placed on reserved machines, which free capacity as their tasks end. Machines that have the image
    come first, then those with the most free slots, where fewer running tasks have to end.
    """
    candidates = sorted(
        (capacity for capacity in capacities if capacity.satisfies_constraints(requirements)),
        key=lambda capacity: (
            requirements.image not in capacity.images,
            -capacity.task_slots(requirements, count),
            -capacity.cpus,
            capacity.machine,
        ),
    )
    reserved: list[MachineCapacity] = []
    for capacity in candidates:
        slots = capacity.slots_after_preemption(requirements, count)
        if slots:
            reserved.append(capacity)
            count -= slots
        if count <= 0:
            return reserved
    return []
