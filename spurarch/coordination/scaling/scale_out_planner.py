"""Plans how many machines of which kind to request in which zone. No I/O."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import islice

from spurarch.coordination.admission.plan import CapacityShortage
from spurarch.coordination.fleet.capacity import EPSILON, MachineCapacity, Requirements
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.protocol import wire
from spurarch.protocol.message_limits import MAX_TASKS_PER_MACHINE

MAX_MACHINES_PER_ORDER = 50
MAX_MACHINES_PER_PLAN = 400
WAVE_DURATION_FACTOR = 1.2  # of the estimated run time: estimates are often wrong, and images must be fetched
LATE_WAVES, MAX_WAVES = 2, 4  # the former for tasks that miss their deadline with any number of machines


@dataclass(slots=True, frozen=True)
class MachineKind:
    """A kind of machine that can be requested: type, zone, and spot or on demand."""

    type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class ScaleOutOrder:
    """Machines of one kind to request."""

    kind: MachineKind
    count: int


def empty_capacity(view: FleetView, offer: wire.MachineType, kind: MachineKind) -> MachineCapacity:
    """Returns the capacity of an empty machine of a kind; its machine index is -1."""
    return MachineCapacity(
        -1,
        view.zones.index(kind.zone),
        view.types.index(kind.type),
        kind.spot,
        offer.cpus,
        offer.gpus,
        offer.memory_gb,
        offer.cpus,
        offer.gpus,
        offer.memory_gb,
    )


class FreedCapacityEstimate:
    """Estimate of the capacity that running jobs other than services free while a requested machine boots.

    A task that is to start on freed CPUs also needs a machine that can be given another task.

    Many running tasks end before a requested machine is ready, so machines are requested only for tasks that can't
    start on the capacity freed by then. Only `share` of the estimate is used, because run time estimates are often
    wrong and jobs submitted later need the same capacity.
    """

    def __init__(self, view: FleetView, share: float) -> None:
        self._boot_time_s = max((offer.boot_s for offer in view.machine_types.values()), default=0.0)
        self._freed_cpus_per_s = share * sum(
            job.assigned * job.requirements.cpus / max(job.estimate_s, 1.0)
            for job in view.jobs.values()
            if not job.service
        )
        self._reserved_cpus = 0.0
        freed_tasks_per_s = share * sum(
            job.assigned / max(job.estimate_s, 1.0) for job in view.jobs.values() if not job.service
        )
        free_tasks = sum(max(0, capacity.free_tasks) for capacity in view.capacities.values() if capacity.schedulable)
        self._unreserved_tasks = free_tasks + int(freed_tasks_per_s * self._boot_time_s)

    def reserve(self, shortage: CapacityShortage) -> int:
        """Reserves freed capacity for tasks of a shortage; returns how many of them need no requested machine."""
        if shortage.service or shortage.requirements.cpus <= 0:
            return 0
        freed = self._freed_cpus_per_s * self._boot_time_s
        count = min(
            shortage.count,
            int(max(0.0, freed - self._reserved_cpus) / shortage.requirements.cpus),
            self._unreserved_tasks,
        )
        self._reserved_cpus += count * shortage.requirements.cpus
        self._unreserved_tasks -= count
        return count


def plan_scale_out(
    view: FleetView,
    shortages: Iterable[CapacityShortage],
    booting: Iterable[MachineKind],
    exhausted: set[MachineKind],
    zones: list[str],
    freed: FreedCapacityEstimate,
    now: float,
) -> list[ScaleOutOrder]:
    """Returns orders, at the lowest price per task, for tasks that fit on neither ready nor booting machines.

    Nothing is ordered for tasks that are expected to start on capacity freed while a machine boots, or for the later
    waves of `_reduce_to_one_wave`.

    `exhausted` are kinds for which the cloud recently had no capacity; `zones` are those in which machines may be
    requested; `now` is in Unix seconds.
    """
    plan = _ScaleOutPlan(view, booting, exhausted, zones)
    boot_s = max((offer.boot_s for offer in view.machine_types.values()), default=0.0)
    for shortage in _merge_equal_shortages(_reduce_to_one_wave(shortage, now, boot_s) for shortage in shortages):
        plan.add(shortage, shortage.count - freed.reserve(shortage))
    return plan.orders()


class _ScaleOutPlan:
    """A plan being built: free capacity of booting and ordered machines, the orders, and machine counts by zone."""

    def __init__(
        self, view: FleetView, booting: Iterable[MachineKind], exhausted: set[MachineKind], zones: list[str]
    ) -> None:
        self._view, self._exhausted, self._zones = view, exhausted, zones
        types = view.machine_types
        self._capacities = [empty_capacity(view, types[kind.type], kind) for kind in booting if kind.type in types]
        self._ordered: dict[MachineKind, int] = defaultdict(int)
        self._machines_by_zone: dict[int, int] = defaultdict(int)
        for zone, capacities in view.capacities_by_zone.items():
            self._machines_by_zone[zone] += len(capacities)
        for capacity in self._capacities:
            self._machines_by_zone[capacity.zone] += 1

    def add(self, shortage: CapacityShortage, count: int) -> None:
        """Books `count` tasks on booting and ordered machines, and orders machines for the rest."""
        zones = self._zones
        if shortage.gang and count > 0:
            zones = self._zone_of_gang(shortage.requirements, count)
        count = self._book_on_pending(shortage, count, zones)
        self._order_machines(shortage.requirements, count, zones)

    def orders(self) -> list[ScaleOutOrder]:
        """Returns the orders by kind, each limited to MAX_MACHINES_PER_ORDER."""
        return [ScaleOutOrder(kind, min(count, MAX_MACHINES_PER_ORDER)) for kind, count in self._ordered.items()]

    def _zone_of_gang(self, requirements: Requirements, count: int) -> list[str]:
        """Returns the zone with the most free slots in which fitting machines can be requested, or an empty list."""
        by_free_slots = _zones_by_free_slots(self._view, requirements, count, self._capacities, self._zones)
        available = (zone for zone in by_free_slots if self._cheapest_kind(requirements, count, [zone]) is not None)
        return list(islice(available, 1))

    def _book_on_pending(self, shortage: CapacityShortage, count: int, zones: list[str]) -> int:
        """Books tasks on booting and already ordered machines; returns how many tasks remain."""
        for capacity in self._capacities:
            if count <= 0:
                break
            if shortage.gang and self._view.zones.name(capacity.zone) not in zones:
                continue
            if capacity.fits(shortage.requirements):
                booked = capacity.task_slots(shortage.requirements, count)
                capacity.book(shortage.requirements, booked)
                count -= booked
        self._capacities = [capacity for capacity in self._capacities if capacity.has_free_capacity]
        return count

    def _order_machines(self, requirements: Requirements, count: int, zones: list[str]) -> None:
        """Orders the cheapest machines for `count` tasks, as far as offers and MAX_MACHINES_PER_PLAN allow."""
        while count > 0:
            kind = self._cheapest_kind(requirements, count, zones)
            if kind is None or sum(self._ordered.values()) >= MAX_MACHINES_PER_PLAN:
                break
            self._ordered[kind] += 1
            capacity = empty_capacity(self._view, self._view.machine_types[kind.type], kind)
            self._machines_by_zone[capacity.zone] += 1
            booked = capacity.task_slots(requirements, count)
            capacity.book(requirements, booked)
            count -= booked
            if capacity.has_free_capacity:
                self._capacities.append(capacity)

    def _cheapest_kind(self, requirements: Requirements, count: int, zones: list[str]) -> MachineKind | None:
        return _cheapest(self._view, requirements, count, self._exhausted, zones, self._machines_by_zone)


def _zones_by_free_slots(
    view: FleetView, requirements: Requirements, count: int, booting: list[MachineCapacity], zones: list[str]
) -> list[str]:
    """Returns the zones by free slots for tasks of a gang, the zone that needs the fewest new machines first."""

    def free_slots(zone: str) -> int:
        index = view.zones.index(zone)
        ready = view.capacities_by_zone[index].values()
        booting_in_zone = (capacity for capacity in booting if capacity.zone == index)
        return sum(
            capacity.task_slots(requirements, count)
            for capacity in (*ready, *booting_in_zone)
            if capacity.fits(requirements)
        )

    return sorted(zones, key=lambda zone: (-free_slots(zone), zone))


def _reduce_to_one_wave(shortage: CapacityShortage, now: float, boot_s: float) -> CapacityShortage:
    """Reduces the count to the tasks of one wave, if later waves on the same machines still meet the deadline.

    Tasks that miss the deadline in any case run in LATE_WAVES, since a machine for each gains nothing.
    """
    if shortage.service or shortage.gang or shortage.deadline is None:
        return shortage
    remaining_s, wave_s = shortage.deadline - now - boot_s, WAVE_DURATION_FACTOR * max(shortage.estimate_s, 1.0)
    waves = LATE_WAVES if remaining_s < wave_s else min(MAX_WAVES, int(remaining_s / wave_s))
    return replace(shortage, count=math.ceil(shortage.count / waves))


def _merge_equal_shortages(shortages: Iterable[CapacityShortage]) -> list[CapacityShortage]:
    """Returns shortages in order of urgency; merges those of equal tasks, since there may be hundreds of small jobs."""
    merged: dict[tuple[object, ...], CapacityShortage] = {}
    for s in sorted(
        shortages, key=lambda s: (s.requirements.priority, s.deadline if s.deadline is not None else math.inf)
    ):
        # Shortages of gangs are not merged, since each gang must fit into one zone as a whole.
        key = (*s.requirements.shape, s.requirements.priority, s.service, s.job if s.gang else None)
        if key in merged:
            merged[key] = replace(merged[key], count=merged[key].count + s.count)
        else:
            merged[key] = s
    return list(merged.values())


def _cheapest(
    view: FleetView,
    requirements: Requirements,
    count: int,
    exhausted: set[MachineKind],
    zones: list[str],
    machines_by_zone: dict[int, int],
) -> MachineKind | None:
    """Returns the kind with the lowest price per task, among equals in the zone with the fewest machines.

    Returns None if no kind that is available in `zones` fits the task.
    """
    best: tuple[float, int, str] | None = None
    cheapest: MachineKind | None = None
    for offer in view.machine_types.values():
        slots = _tasks_per_machine(requirements, offer)
        type_index = view.types.index(offer.name)
        if slots == 0 or (requirements.types is not None and type_index not in requirements.types):
            continue
        for zone in offer.zones:
            zone_index = view.zones.index(zone)
            if zone not in zones or (requirements.zones is not None and zone_index not in requirements.zones):
                continue
            for spot in (True, False):
                kind = MachineKind(offer.name, zone, spot)
                if kind in exhausted or (spot and not requirements.spot):
                    continue
                price = (offer.spot_price if spot else offer.price) / min(slots, count)
                rank = (price, machines_by_zone[zone_index], zone)
                if best is None or rank < best:
                    best, cheapest = rank, kind
    return cheapest


def _tasks_per_machine(requirements: Requirements, offer: wire.MachineType) -> int:
    slots = [
        int((available + EPSILON) / required)
        for required, available in (
            (requirements.cpus, offer.cpus),
            (requirements.gpus, offer.gpus),
            (requirements.memory_gb, offer.memory_gb),
        )
        if required > 0
    ]
    return min([MAX_TASKS_PER_MACHINE, *slots])
