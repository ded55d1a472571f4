"""Which tasks of which job go to which part. Pure: the leader turns the plan into one transaction.

Admission is the quota: a task is charged to its team from here until its end is recorded, and `spread`, `together`
and the allowed zones are counted the same way. No owner needs a view of the whole to keep these rules.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import islice

from spurarch.coordination.fleet.capacity import EPSILON, PRIORITIES, MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.fleet.quota_ledger import NO_CHARGE, Charge
from spurarch.coordination.scheduling.best_fit import all_fit, best_fit, fill
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, TaskEntry

SPREAD_OVER = 2  # zones that a service's replicas are spread over, if there is room
MOST_PREEMPTED = 50  # tasks of a job for which others are stopped, in one round


@dataclass(slots=True)
class AdmissionGrant:
    """Tasks of one job for one part: new ones by index, and returned ones with the allocation they leave."""

    job: str
    zone: int
    entries: list[TaskEntry] = field(default_factory=list)
    moved: dict[AllocationKey, set[int]] = field(default_factory=dict)


@dataclass(slots=True)
class CapacityShortage:
    """Tasks that are allowed to run and fit nowhere."""

    requirements: Requirements
    count: int
    deadline: float | None
    service: bool
    job: str
    estimate_s: float
    gang: bool = False  # all of them, or none, and in one zone


@dataclass(slots=True)
class AdmissionPlan:
    """Outcome of one round."""

    grants: list[AdmissionGrant] = field(default_factory=list)
    shortages: list[CapacityShortage] = field(default_factory=list)
    next_job: str | None = None  # where the next round goes on, if the time ran out


class AdmissionPlanner:
    """One round of admission over the tables of the fleet.

    The coarse tier of the paper (IV-A): it spreads jobs over the parts, and each part places on its own. Where nothing
    is free, a part is given tasks ahead of time, as many as it frees in `ahead_s` and as fit on machines that boot: the
    owner then starts them the moment room appears, many with one change of records, instead of one admission for
    every task that ends, when changes are scarcest.
    """

    def __init__(
        self,
        view: FleetView,
        now: float,
        admit_ahead_s: float = 0.0,
        longest_wait_s: float = float("inf"),
        booting: Iterable[MachineCapacity] = (),
        piece: int = 1,
    ) -> None:
        self.view, self.now, self.piece = view, now, piece
        closed = set(map(view.zones.index, view.unreachable_zones()))
        self._booting: dict[int, list[MachineCapacity]] = defaultdict(list)  # by zone, machines that boot
        for capacity in booting:
            if capacity.zone not in closed:
                self._booting[capacity.zone].append(capacity)
        self.longest_wait_s = longest_wait_s
        self._bookings = TentativeBookings()
        self.capacities = [
            capacity for capacity in view.capacities.values() if capacity.schedulable and capacity.zone not in closed
        ]
        self._with_room: dict[int, list[MachineCapacity]] = defaultdict(list)  # by zone, with some room left
        for capacity in self.capacities:
            if capacity.free_cpus > EPSILON:
                self._with_room[capacity.zone].append(capacity)
        self._planned: dict[int, Charge] = {}  # by team, beyond what is on record and under way
        self._queue: dict[int, float] = defaultdict(float)  # by zone, CPUs of admitted tasks that wait for room
        self._ahead: dict[int, float] = defaultdict(float)  # by zone, CPUs freed in `ahead_s`
        self._borrowed: dict[int, float] | None = None
        self._late = 0  # tasks of the job at hand that were given to machines that boot
        # What found nothing in this round, so that hundreds of like tasks don't look for it again: by zone, or None
        # for all zones.
        self._failed: list[tuple[Requirements, int | None]] = []
        self._zones_by_shape: dict[tuple[object, ...], set[int]] = {}
        self._warm_cpus: dict[int, dict[int, float]] = {}
        self._nothing_coming: list[tuple[Requirements, int | None]] = []
        self._nobody_to_stop: list[tuple[Requirements, int | None]] = []
        self._gangs_waiting: set[int] = set()  # zones where an admitted gang waits for room
        self._gang_failed: list[tuple[Requirements, int]] = []  # gangs, by member and size, that fit in no zone
        arrays = [job for job in view.jobs.values() if not job.service]
        for job in arrays:
            if job.assigned and admit_ahead_s > 0:
                rate = (
                    admit_ahead_s
                    * job.requirements.cpus
                    * job.assigned
                    / max(1, job.charged)
                    / max(job.estimate_s, 1.0)
                )
                for zone, count in job.tasks_by_zone.items():
                    if zone not in closed:
                        self._ahead[zone] += count * rate

    def run(self, start: str | None, out_of_time: Callable[[], bool], most_grants: int) -> AdmissionPlan:
        """Goes through the jobs that have tasks to admit, from `start` on, until the time is over.

        No more than `most_grants` come out, as many as can be recorded soon; the jobs after those are gone through all
        the same, so that machines are rented for all that wait and not only for what can be admitted now.
        """
        plan = AdmissionPlan()
        try:
            self._book_waiting(plan)
            order = sorted(self._jobs_to_admit(), key=self._rank)
            if start in order:
                at = order.index(start)
                urgent = [r for r in order[:at] if self.view.jobs[r].requirements.priority == 0]
                order = urgent + order[at:] + [r for r in order[:at] if self.view.jobs[r].requirements.priority != 0]
            for job_id in order:
                if out_of_time():
                    plan.next_job = job_id
                    break
                self._admit(job_id, plan, most_grants)
        finally:
            self._bookings.undo()
        return plan

    def _book_waiting(self, plan: AdmissionPlan) -> None:
        """Room that admitted tasks will take is not given away twice; those without any still need machines."""
        for allocation, job, count, tried in self.view.unassigned_tasks():
            zone = self.view.zones.index(allocation.zone)
            hopeless = self._known_not_to_fit(job.requirements, zone)
            if not hopeless:
                count -= sum(n for _, n in fill(job.requirements, self._with_room[zone], count, self._bookings))
            if count and job.gang:
                self._gangs_waiting.add(zone)
            if count:
                if not hopeless:
                    self._failed.append((job.requirements, zone))
                self._record_shortage(plan, job, count - tried)  # what fails wherever it is put needs no machine
                if self._booting[zone] and not self._known_not_to_fit(job.requirements, zone, self._nothing_coming):
                    count -= sum(n for _, n in fill(job.requirements, self._booting[zone], count, self._bookings))
                    if count:
                        self._nothing_coming.append((job.requirements, zone))
                self._queue[zone] += count * job.requirements.cpus
        self._drop_full()

    def _drop_full(self) -> None:
        for zone, capacities in self._with_room.items():
            self._with_room[zone] = [capacity for capacity in capacities if capacity.free_cpus > EPSILON]
        for zone, capacities in self._booting.items():
            self._booting[zone] = [capacity for capacity in capacities if capacity.free_cpus > EPSILON]

    def _jobs_to_admit(self) -> list[str]:
        out = []
        for job_id, job in self.view.jobs.items():
            if job.to_admit > 0:
                record = self.view.state.jobs.get(job_id)
                if record is not None and not record.cancelled:
                    out.append(job_id)
        return out

    def _rank(self, job_id: str) -> tuple[int, bool, float, float]:
        job = self.view.jobs[job_id]
        return self.view.ranking.rank(job, job.is_starving(self.now, self.longest_wait_s))

    def _allowance(self, job: JobView) -> int:
        """How many more tasks the team's limit allows."""
        ledger, beside = self.view.ledger, self._planned.get(job.team, NO_CHARGE)
        reserved = ledger.reserved_for(job.job_id)
        if reserved is not NO_CHARGE:
            beside = beside - reserved  # this plan stands in the place of the one under way
        return ledger.tasks_allowed(job.team, job.charge_per_task, job.tasks, beside)

    def _book(self, job: JobView, tasks: int) -> None:
        """Counts planned tasks towards their team; an admission of the job that is under way is planned again here."""
        planned = job.charge_per_task.times(tasks).excess_over(self.view.ledger.reserved_for(job.job_id))
        self._planned[job.team] = self._planned.get(job.team, NO_CHARGE) + planned

    def _pending(self, job: JobView) -> Iterable[tuple[TaskEntry, AllocationKey | None]]:
        """Tasks to place: those that parts returned, then new ones in order of their index."""
        if job.returned:
            for allocation, record in self.view.state.allocations.get(job.job_id, {}).items():
                for entry in record.tasks:
                    if entry.state == records.RETURNED:
                        yield TaskEntry(entry.index, records.FREE, entry.attempt), allocation
        for index in range(job.admitted, job.tasks):
            yield TaskEntry(index), None

    def _admit(self, job_id: str, plan: AdmissionPlan, most_grants: int) -> None:
        job = self.view.jobs[job_id]
        allowed = min(self._allowance(job), job.to_admit)
        if allowed <= 0:
            return
        self._late = 0
        if job.gang:
            zones = self._gang_zone(job) if allowed == job.to_admit else {}
            if not zones and allowed < job.to_admit:
                return  # the team's limit stands in the way, and machines would not help
        else:
            home = self._zone_for_single_zone_job(job) if job.one_zone else None
            if job.one_zone and home is None:
                self._record_shortage(plan, job, allowed)
                return
            spread = job.max_tasks_per_zone is not None or job.service
            zones = self._one_by_one(job, home, allowed) if spread else self._as_group(job, home, allowed)
        placed = sum(zones.values())
        self._record_shortage(plan, job, self._late + allowed - placed)
        self._book(job, placed)
        if len(plan.grants) + len(zones) > most_grants and plan.grants:
            return  # booked, so that nobody else counts on the room, and granted in a later round
        pending = iter(self._pending(job))
        for zone, number in zones.items():
            grant = AdmissionGrant(job_id, zone)
            for entry, source in islice(pending, number):
                grant.entries.append(entry)
                if source is not None:
                    grant.moved.setdefault(source, set()).add(entry.index)
            plan.grants.append(grant)

    # Tasks without a wish to be apart: as a group

    def _as_group(self, job: JobView, home: int | None, count: int) -> dict[int, int]:
        """How many tasks go to which zone: by best fit where there is room, the rest ahead of time."""
        zones: dict[int, int] = {}
        if not self._known_not_to_fit(job.requirements, home):
            capacities = [r for zone, rs in self._with_room.items() if home is None or zone == home for r in rs]
            booked = fill(job.requirements, capacities, count, self._bookings)
            for capacity, number in booked:
                zones[capacity.zone] = zones.get(capacity.zone, 0) + number
            self._drop_small_pieces(job, booked, zones, count)
            count -= sum(zones.values())
            if count:
                self._failed.append((job.requirements, home))
                self._drop_full()
        if count:
            for zone, number in self._ahead_of_time(job, home, count).items():
                zones[zone] = zones.get(zone, 0) + number
                count -= number
        if count and not self._known_not_to_fit(job.requirements, home, self._nothing_coming):
            capacities = [r for zone, rs in self._booting.items() if home is None or zone == home for r in rs]
            for capacity, number in fill(job.requirements, capacities, count, self._bookings):
                zones[capacity.zone] = zones.get(capacity.zone, 0) + number
                count -= number
                self._late += number
            if count:
                self._nothing_coming.append((job.requirements, home))
        if count and home is None and job.requirements.cpus > 0:
            for zone, number in self._by_guarantee(job, count).items():
                zones[zone] = zones.get(zone, 0) + number
                count -= number
        if count and not zones and home is None:
            # For work of higher priority its owner stops work of lower priority.
            for _ in range(min(count, MOST_PREEMPTED)):
                found = self._stopping_room(job, list(self.view.capacities_by_zone))
                if found is None:
                    break
                self._bookings.book(found, job.requirements)
                zones[found.zone] = zones.get(found.zone, 0) + 1
        return zones

    def _drop_small_pieces(
        self, job: JobView, booked: list[tuple[MachineCapacity, int]], zones: dict[int, int], count: int
    ) -> None:
        """Leaves room for a few tasks alone until there is more of it.

        Every piece of a job costs changes of its own, at its admission, starts and ends. The rest of a job goes however
        small it is.
        """
        small = {zone for zone, number in zones.items() if number < min(self.piece, count)}
        for capacity, number in booked:
            if capacity.zone in small:
                self._bookings.book(capacity, job.requirements, -number)
        for zone in small:
            del zones[zone]

    def _known_not_to_fit(
        self, requirements: Requirements, home: int | None, failed: list[tuple[Requirements, int | None]] | None = None
    ) -> bool:
        """A task no larger and no choosier found nothing in this round."""
        return any(
            where in (None, home) and requirements.requires_at_least(other)
            for other, where in (self._failed if failed is None else failed)
        )

    def _zones_for(self, requirements: Requirements) -> set[int]:
        """Zones with a machine that could hold the task if it were empty."""
        if requirements.shape not in self._zones_by_shape:
            self._zones_by_shape[requirements.shape] = {
                r.zone for r in self.capacities if r.fits_when_empty(requirements)
            }
        return self._zones_by_shape[requirements.shape]

    def _ahead_of_time(self, job: JobView, home: int | None, count: int) -> dict[int, int]:
        """Tasks for parts that will soon free room for them.

        First where most machines have their image, then the emptiest queue.
        """
        out: dict[int, int] = {}
        if job.requirements.cpus <= 0:
            return out
        starving = job.is_starving(self.now, self.longest_wait_s) and not job.charged
        able = self._zones_for(job.requirements) if self._ahead or starving else set()
        room = {z: self._ahead[z] - self._queue[z] for z in able if home is None or z == home}
        warm = self._cached_cpus_by_zone(job.requirements.image)
        for zone in sorted(room, key=lambda z: (-warm.get(z, 0.0), -room[z])):
            number = min(count, int(room[zone] / job.requirements.cpus))
            if number >= min(count, self.piece) > 0:
                out[zone] = number
                count -= number
                self._queue[zone] += number * job.requirements.cpus
        if room and not out and starving:
            # Nothing frees enough room for so large a task by itself: its owner gathers it.
            out[max(room, key=lambda z: room[z])] = 1
        return out

    def _cached_cpus_by_zone(self, image: int) -> dict[int, float]:
        """By zone, CPUs of machines that have the image: there its tasks start without a fetch."""
        if image not in self._warm_cpus:
            found: dict[int, float] = defaultdict(float)
            for capacity in self.capacities:
                if image in capacity.images:
                    found[capacity.zone] += capacity.cpus
            self._warm_cpus[image] = found
        return self._warm_cpus[image]

    def _by_guarantee(self, job: JobView, count: int) -> dict[int, int]:
        """A job inside its team's guarantee gets what other teams run beyond theirs: its owner stops that work."""
        out: dict[int, int] = {}
        if job.job_id not in self.view.jobs_within_guarantee():
            return out
        if self._borrowed is None:
            self._borrowed = borrowed_cpus(self.view)
            for zone, queued in self._queue.items():
                self._borrowed[zone] = self._borrowed.get(zone, 0.0) - queued
        for zone in sorted(self._zones_for(job.requirements), key=lambda z: -self._borrowed.get(z, 0.0)):  # type: ignore[union-attr]
            number = min(count, int(self._borrowed.get(zone, 0.0) / job.requirements.cpus))
            if number > 0:
                out[zone] = number
                count -= number
                self._borrowed[zone] -= number * job.requirements.cpus
        return out

    # Replicas: one by one

    def _one_by_one(self, job: JobView, home: int | None, count: int) -> dict[int, int]:
        """Replicas spread over parts; each goes where the fewest are, to a machine that has the image if there is one."""
        in_zone = dict(job.tasks_by_zone)
        zones: dict[int, int] = {}
        for _ in range(count):
            capacity = self._replica_room(job, home, in_zone)
            if capacity is None:
                break
            self._bookings.book(capacity, job.requirements)
            in_zone[capacity.zone] = in_zone.get(capacity.zone, 0) + 1
            zones[capacity.zone] = zones.get(capacity.zone, 0) + 1
        return zones

    def _replica_room(self, job: JobView, home: int | None, in_zone: dict[int, int]) -> MachineCapacity | None:
        requirements, limit = job.requirements, job.max_tasks_per_zone
        open_to = [
            z
            for z in self.view.capacities_by_zone
            if (home is None or z == home) and (limit is None or in_zone.get(z, 0) < limit)
        ]
        capacity: MachineCapacity | None = None
        level: list[int] = []
        for level in _levels(open_to, in_zone):
            open_level = [z for z in level if not self._known_not_to_fit(requirements, z)]
            capacity = best_fit(requirements, (r for z in open_level for r in self._with_room[z]))
            if capacity is not None:
                break
            self._failed.extend((requirements, z) for z in open_level)
        if capacity is None:
            return self._stopping_room(job, open_to) or self._coming_room(job, open_to, in_zone)
        if requirements.image not in capacity.images:
            # Work of lower priority can leave faster than an image can be fetched.
            return (
                self._by_preemption(
                    job, [r for r in self.capacities if r.zone in level and requirements.image in r.images]
                )
                or capacity
            )
        return capacity

    def _stopping_room(self, job: JobView, open_to: list[int]) -> MachineCapacity | None:
        zones = [z for z in open_to if not self._known_not_to_fit(job.requirements, z, self._nobody_to_stop)]
        capacity = self._by_preemption(job, [r for r in self.capacities if r.zone in zones]) if zones else None
        if capacity is None:
            self._nobody_to_stop.extend((job.requirements, z) for z in zones)
        return capacity

    def _coming_room(self, job: JobView, open_to: list[int], in_zone: dict[int, int]) -> MachineCapacity | None:
        """A machine that boots, in the zone with the fewest replicas."""
        for zones in _levels(open_to, in_zone):
            for zone in zones:
                if self._known_not_to_fit(job.requirements, zone, self._nothing_coming):
                    continue
                capacity = best_fit(job.requirements, self._booting[zone])
                if capacity is not None:
                    self._late += 1
                    return capacity
                self._nothing_coming.append((job.requirements, zone))
        return None

    # Gangs: all tasks in one zone, or none

    def _gang_zone(self, job: JobView) -> dict[int, int]:
        """The zone for all tasks of a gang that wait for admission, and how many they are; empty if there is none.

        A gang that fits nowhere yet may go ahead of time to a zone where none waits: its owner keeps room for it there.
        """
        count = job.to_admit
        if self._gang_hopeless(job.requirements, count):
            return {}
        zones = [zone for zone, number in job.tasks_by_zone.items() if number > 0]
        fits = {
            zone: capacities
            for zone in zones or self._with_room
            if all_fit(job.requirements, capacities := self._with_room[zone], count)
        }
        if fits:
            zone = max(fits, key=lambda z: (self._warm_fits(job, fits[z]), sum(r.free_cpus for r in fits[z]), -z))
            fill(job.requirements, self._with_room[zone], count, self._bookings)
            return {zone: count}
        if zones:
            return {zones[0]: count}  # the others wait there already
        zone_ahead = self._gang_ahead(job, count)
        if zone_ahead is None:
            self._gang_failed.append((job.requirements, count))
            return {}
        self._gangs_waiting.add(zone_ahead)
        self._queue[zone_ahead] += count * job.requirements.cpus
        return {zone_ahead: count}

    def _gang_hopeless(self, requirements: Requirements, count: int) -> bool:
        """A gang no larger and no choosier found no zone in this round."""
        return any(count >= failed and requirements.requires_at_least(other) for other, failed in self._gang_failed)

    @staticmethod
    def _warm_fits(job: JobView, capacities: list[MachineCapacity]) -> bool:
        """The gang could start without a fetch: the slowest machine sets the pace for all."""
        return all_fit(
            job.requirements,
            [capacity for capacity in capacities if job.requirements.image in capacity.images],
            job.to_admit,
        )

    def _gang_ahead(self, job: JobView, count: int) -> int | None:
        """The zone that frees room soonest for its queue, among those where no gang waits yet."""
        able = [
            zone
            for zone in self._zones_for(job.requirements)
            if zone not in self._gangs_waiting
            and self._ahead.get(zone, 0.0) > 0
            and sum(
                capacity.slots_after_preemption(job.requirements, count)
                for capacity in self.capacities
                if capacity.zone == zone
            )
            >= count
        ]
        return max(able, key=lambda zone: (self._ahead[zone] - self._queue[zone], -zone), default=None)

    def _record_shortage(self, plan: AdmissionPlan, job: JobView, count: int) -> None:
        if count > 0:
            plan.shortages.append(
                CapacityShortage(
                    job.requirements, count, job.deadline, job.service, job.job_id, job.estimate_s, job.gang
                )
            )

    @staticmethod
    def _by_preemption(job: JobView, candidates: list[MachineCapacity]) -> MachineCapacity | None:
        """The machine where the least work of lower priority would have to leave; its owner stops that work."""
        if job.requirements.priority >= PRIORITIES - 1:
            return None
        able = [capacity for capacity in candidates if capacity.fits_by_preemption(job.requirements)]
        return max(
            able, key=lambda capacity: (capacity.free_cpus, job.requirements.image in capacity.images), default=None
        )

    def _zone_for_single_zone_job(self, job: JobView) -> int | None:
        """The part for a job of one zone: where its tasks are, or else the roomiest one."""
        zones = [zone for zone, count in job.tasks_by_zone.items() if count > 0]
        if zones:
            return zones[0]
        room_for: dict[int, int] = defaultdict(int)
        for zone, capacities in self._with_room.items():
            for capacity in capacities:
                if capacity.fits(job.requirements):
                    room_for[zone] += capacity.task_slots(job.requirements, job.tasks)
        if not room_for:
            return max(
                self._zones_for(job.requirements), key=lambda zone: self._ahead[zone] - self._queue[zone], default=None
            )
        return max(room_for, key=lambda zone: room_for[zone], default=None)


def _levels(zones: list[int], in_zone: dict[int, int]) -> Iterable[list[int]]:
    """Zones in the order in which they should get a replica.

    Two zones first, evenly: half of a service's replicas may be in one. Every further zone would cost two more changes
    of records for each service, and changes are what a fleet of this size is shortest of.
    """
    used = [z for z in zones if in_zone.get(z, 0) > 0]
    if len(used) >= SPREAD_OVER:
        for number in sorted({in_zone[z] for z in used}):
            yield [z for z in used if in_zone[z] == number]
    elif used:
        yield [z for z in zones if z not in used]
        yield used
        return
    rest = [z for z in zones if z not in used]
    if rest:
        yield rest


def borrowed_cpus(view: FleetView) -> dict[int, float]:
    """By zone, what teams run beyond their guarantee and have to give back to teams that are inside theirs."""
    out: dict[int, float] = defaultdict(float)
    for team, zones in view.running_cpus.items():
        beyond = view.borrowed_cpus(team)
        total = sum(zones.values())
        if beyond > 0 and total > 0:
            for zone, cpus in zones.items():
                out[zone] += cpus * min(1.0, beyond / total)
    return out
