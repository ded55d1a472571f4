"""How many machines of which kind to request in which zone. Decides only."""

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

MAX_MACHINES_PER_ORDER = 50
MAX_MACHINES_PER_PLAN = 400
WAVE_SLACK = 1.2  # estimates are often wrong, and images are fetched
LATE_WAVES, MAX_WAVES = 2, 4


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
    """An empty machine of a kind, as the decisions see one."""
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
    """Capacity that running arrays free before a requested machine could help.

    A machine takes its boot time to become ready, and by then much of what runs now has ended. So only tasks that can't
    start on what is freed meanwhile are worth a machine. `share` says how far that is trusted: estimates are often
    wrong, and jobs that are submitted later need the same capacity.
    """

    def __init__(self, view: FleetView, share: float) -> None:
        self._boot_time_s = max((offer.boot_s for offer in view.machine_types.values()), default=0.0)
        self._rate = share * sum(
            job.assigned * job.requirements.cpus / max(job.estimate_s, 1.0)
            for job in view.jobs.values()
            if not job.service
        )
        self._claimed = 0.0

    def absorb(self, shortage: CapacityShortage) -> int:
        """How many of these tasks need no machine of their own."""
        if shortage.service or shortage.requirements.cpus <= 0:
            return 0
        freed = self._rate * self._boot_time_s
        count = min(shortage.count, int(max(0.0, freed - self._claimed) / shortage.requirements.cpus))
        self._claimed += count * shortage.requirements.cpus
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
    """Orders for the tasks that fit neither on ready nor on booting machines, at the lowest price per task."""
    plan = _ScaleOutPlan(view, booting, exhausted, zones)
    boot_s = max((offer.boot_s for offer in view.machine_types.values()), default=0.0)
    for shortage in _merge_equal(_count_by_waves(shortage, now, boot_s) for shortage in shortages):
        plan.add(shortage, shortage.count - freed.absorb(shortage))
    return plan.orders()


class _ScaleOutPlan:
    """A plan under way: capacity that is booting or ordered, what is left of it, and machines by zone."""

    def __init__(
        self, view: FleetView, booting: Iterable[MachineKind], exhausted: set[MachineKind], zones: list[str]
    ) -> None:
        self._view, self._exhausted, self._zones = view, exhausted, zones
        types = view.machine_types
        self._capacities = [empty_capacity(view, types[kind.type], kind) for kind in booting if kind.type in types]
        self._ordered: dict[MachineKind, int] = defaultdict(int)
        self._machines_by_zone: dict[int, int] = defaultdict(int)
        for zone, there in view.capacities_by_zone.items():
            self._machines_by_zone[zone] += len(there)
        for capacity in self._capacities:
            self._machines_by_zone[capacity.zone] += 1

    def add(self, shortage: CapacityShortage, count: int) -> None:
        """Finds capacity for so many tasks: on what is booting or ordered, and then on further machines."""
        zones = self._zones
        if shortage.gang and count > 0:
            zones = self._zone_of_gang(shortage.requirements, count)
        count = self._fill_known(shortage, count, zones)
        self._order_machines(shortage.requirements, count, zones)

    def orders(self) -> list[ScaleOutOrder]:
        """The machines to request, by kind."""
        return [ScaleOutOrder(kind, min(count, MAX_MACHINES_PER_ORDER)) for kind, count in self._ordered.items()]

    def _zone_of_gang(self, requirements: Requirements, count: int) -> list[str]:
        """The one zone for a gang, in which machines can be had for it; none if there is no such zone."""
        by_room = _zones_by_room(self._view, requirements, count, self._capacities, self._zones)
        available = (zone for zone in by_room if self._cheapest_kind(requirements, count, [zone]) is not None)
        return list(islice(available, 1))

    def _fill_known(self, shortage: CapacityShortage, count: int, zones: list[str]) -> int:
        """Books tasks on capacity that is booting or ordered already; returns how many are left."""
        for capacity in self._capacities:
            if count <= 0:
                break
            if shortage.gang and self._view.zones.name(capacity.zone) not in zones:
                continue
            if capacity.fits(shortage.requirements):
                taken = capacity.task_slots(shortage.requirements, count)
                capacity.book(shortage.requirements, taken)
                count -= taken
        self._capacities = [capacity for capacity in self._capacities if capacity.free_cpus > EPSILON]
        return count

    def _order_machines(self, requirements: Requirements, count: int, zones: list[str]) -> None:
        """Orders the cheapest machines for the rest, as far as there are any."""
        while count > 0:
            kind = self._cheapest_kind(requirements, count, zones)
            if kind is None or sum(self._ordered.values()) >= MAX_MACHINES_PER_PLAN:
                break
            self._ordered[kind] += 1
            capacity = empty_capacity(self._view, self._view.machine_types[kind.type], kind)
            self._machines_by_zone[capacity.zone] += 1
            taken = capacity.task_slots(requirements, count)
            capacity.book(requirements, taken)
            count -= taken
            if capacity.free_cpus > EPSILON:
                self._capacities.append(capacity)

    def _cheapest_kind(self, requirements: Requirements, count: int, zones: list[str]) -> MachineKind | None:
        return _cheapest(self._view, requirements, count, self._exhausted, zones, self._machines_by_zone)


def _zones_by_room(
    view: FleetView, requirements: Requirements, count: int, booting: list[MachineCapacity], zones: list[str]
) -> list[str]:
    """Zones in the order in which a gang should be given one: where the fewest machines have to be requested for it."""

    def room_in(zone: str) -> int:
        index = view.zones.index(zone)
        up = view.capacities_by_zone[index].values()
        coming = (capacity for capacity in booting if capacity.zone == index)
        return sum(
            capacity.task_slots(requirements, count) for capacity in (*up, *coming) if capacity.fits(requirements)
        )

    return sorted(zones, key=lambda zone: (-room_in(zone), zone))


def _count_by_waves(shortage: CapacityShortage, now: float, boot_s: float) -> CapacityShortage:
    """Counts only tasks that need a machine each: the others can run there after them and still meet the deadline.

    Tasks that are late whatever is requested gain nothing by a machine for every task.
    """
    if shortage.service or shortage.gang or shortage.deadline is None:
        return shortage
    left, each = shortage.deadline - now - boot_s, WAVE_SLACK * max(shortage.estimate_s, 1.0)
    waves = LATE_WAVES if left < each else min(MAX_WAVES, int(left / each))
    return replace(shortage, count=math.ceil(shortage.count / waves))


def _merge_equal(shortages: Iterable[CapacityShortage]) -> list[CapacityShortage]:
    """Shortages in order of urgency, those of equal tasks merged: there may be hundreds of small jobs."""
    out: dict[tuple[object, ...], CapacityShortage] = {}
    for s in sorted(
        shortages, key=lambda s: (s.requirements.priority, s.deadline if s.deadline is not None else math.inf)
    ):
        # Gangs stay apart from each other: each has to fit into one zone as a whole.
        key = (*s.requirements.shape, s.requirements.priority, s.service, s.job if s.gang else None)
        if key in out:
            out[key] = replace(out[key], count=out[key].count + s.count)
        else:
            out[key] = s
    return list(out.values())


def _cheapest(
    view: FleetView,
    requirements: Requirements,
    count: int,
    exhausted: set[MachineKind],
    zones: list[str],
    per_zone: dict[int, int],
) -> MachineKind | None:
    """The kind with the lowest price per task, in the zone with the fewest machines; None if there is none."""
    best: tuple[float, int, str] | None = None
    choice: MachineKind | None = None
    for offer in view.machine_types.values():
        fit = _tasks_per_machine(requirements, offer)
        type_index = view.types.index(offer.name)
        if fit == 0 or (requirements.types is not None and type_index not in requirements.types):
            continue
        for zone in offer.zones:
            zone_index = view.zones.index(zone)
            if zone not in zones or (requirements.zones is not None and zone_index not in requirements.zones):
                continue
            for spot in (True, False):
                kind = MachineKind(offer.name, zone, spot)
                if kind in exhausted or (spot and not requirements.spot):
                    continue
                price = (offer.spot_price if spot else offer.price) / min(fit, count)
                order = (price, per_zone[zone_index], zone)
                if best is None or order < best:
                    best, choice = order, kind
    return choice


def _tasks_per_machine(requirements: Requirements, offer: wire.MachineType) -> int:
    fits = [
        int((have + EPSILON) / take)
        for take, have in (
            (requirements.cpus, offer.cpus),
            (requirements.gpus, offer.gpus),
            (requirements.memory_gb, offer.memory_gb),
        )
        if take > 0
    ]
    return min(fits, default=1)
