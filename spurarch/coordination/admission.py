"""Which tasks of which job go to which part. Pure: the leader turns the plan into one transaction.

Admission is the quota: a task is charged to its team from here until its end is recorded, and `spread`, `together`
and the allowed zones are counted the same way. No owner needs a view of the whole to keep these rules.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import islice

from spurarch.coordination.best_fit import EPSILON, PRIORITIES, Draft, Need, Room, all_fit, best_fit, fill
from spurarch.coordination.team_ledger import NOTHING, Charge
from spurarch.coordination.view import FleetView, JobView
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, TaskEntry

SPREAD_OVER = 2  # zones that a service's replicas are spread over, if there is room
MOST_PREEMPTED = 50  # tasks of a job for which others are stopped, in one round


@dataclass(slots=True)
class Grant:
    """Tasks of one job for one part: new ones by index, and returned ones with the allocation they leave."""

    job: str
    zone: int
    entries: list[TaskEntry] = field(default_factory=list)
    moved: dict[AllocationKey, set[int]] = field(default_factory=dict)


@dataclass(slots=True)
class Shortage:
    """Tasks that are allowed to run and fit nowhere."""

    need: Need
    count: int
    due: float | None
    service: bool
    job: str
    estimate_s: float
    gang: bool = False  # all of them, or none, and in one zone


@dataclass(slots=True)
class Plan:
    """Outcome of one round."""

    grants: list[Grant] = field(default_factory=list)
    shortages: list[Shortage] = field(default_factory=list)
    next_job: str | None = None  # where the next round goes on, if the time ran out


class Admission:
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
        ahead_s: float = 0.0,
        longest_wait_s: float = float("inf"),
        booting: Iterable[Room] = (),
        piece: int = 1,
    ) -> None:
        self.view, self.now, self.piece = view, now, piece
        closed = set(map(view.zones.index, view.dark()))
        self._coming: dict[int, list[Room]] = defaultdict(list)  # by zone, machines that boot
        for room in booting:
            if room.zone not in closed:
                self._coming[room.zone].append(room)
        self.longest_wait_s = longest_wait_s
        self._draft = Draft()
        self.rooms = [room for room in view.rooms.values() if room.open and room.zone not in closed]
        self._roomy: dict[int, list[Room]] = defaultdict(list)  # by zone, with some room left
        for room in self.rooms:
            if room.free_cpus > EPSILON:
                self._roomy[room.zone].append(room)
        self._planned: dict[int, Charge] = {}  # by team, beyond what is on record and under way
        self._queue: dict[int, float] = defaultdict(float)  # by zone, CPUs of admitted tasks that wait for room
        self._ahead: dict[int, float] = defaultdict(float)  # by zone, CPUs freed in `ahead_s`
        self._borrowed: dict[int, float] | None = None
        self._late = 0  # tasks of the job at hand that were given to machines that boot
        # What found nothing in this round, so that hundreds of like tasks don't look for it again: by zone, or None
        # for all zones.
        self._failed: list[tuple[Need, int | None]] = []
        self._able: dict[tuple[object, ...], set[int]] = {}
        self._warm_cpus: dict[int, dict[int, float]] = {}
        self._nothing_coming: list[tuple[Need, int | None]] = []
        self._nobody_to_stop: list[tuple[Need, int | None]] = []
        self._gangs_waiting: set[int] = set()  # zones where an admitted gang waits for room
        self._gang_failed: list[tuple[Need, int]] = []  # gangs, by member and size, that fit in no zone
        arrays = [job for job in view.jobs.values() if not job.service]
        for job in arrays:
            if job.assigned and ahead_s > 0:
                rate = ahead_s * job.need.cpus * job.assigned / max(1, job.charged) / max(job.estimate_s, 1.0)
                for zone, count in job.in_zone.items():
                    if zone not in closed:
                        self._ahead[zone] += count * rate

    def run(self, start: str | None, out_of_time: Callable[[], bool], most_grants: int) -> Plan:
        """Goes through the jobs that have tasks to admit, from `start` on, until the time is over.

        No more than `most_grants` come out, as many as can be recorded soon; the jobs after those are gone through all
        the same, so that machines are rented for all that wait and not only for what can be admitted now.
        """
        plan = Plan()
        try:
            self._book_waiting(plan)
            order = sorted(self._open_jobs(), key=self._rank)
            if start in order:
                at = order.index(start)
                urgent = [r for r in order[:at] if self.view.jobs[r].need.priority == 0]
                order = urgent + order[at:] + [r for r in order[:at] if self.view.jobs[r].need.priority != 0]
            for job_id in order:
                if out_of_time():
                    plan.next_job = job_id
                    break
                self._admit(job_id, plan, most_grants)
        finally:
            self._draft.undo()
        return plan

    def _book_waiting(self, plan: Plan) -> None:
        """Room that admitted tasks will take is not given away twice; those without any still need machines."""
        for allocation, job, count, tried in self.view.waiting():
            zone = self.view.zones.index(allocation.zone)
            hopeless = self._hopeless(job.need, zone)
            if not hopeless:
                count -= sum(n for _, n in fill(job.need, self._roomy[zone], count, self._draft))
            if count and job.gang:
                self._gangs_waiting.add(zone)
            if count:
                if not hopeless:
                    self._failed.append((job.need, zone))
                self._short(plan, job, count - tried)  # what fails wherever it is put needs no machine
                if self._coming[zone] and not self._hopeless(job.need, zone, self._nothing_coming):
                    count -= sum(n for _, n in fill(job.need, self._coming[zone], count, self._draft))
                    if count:
                        self._nothing_coming.append((job.need, zone))
                self._queue[zone] += count * job.need.cpus
        self._drop_full()

    def _drop_full(self) -> None:
        for zone, rooms in self._roomy.items():
            self._roomy[zone] = [room for room in rooms if room.free_cpus > EPSILON]
        for zone, rooms in self._coming.items():
            self._coming[zone] = [room for room in rooms if room.free_cpus > EPSILON]

    def _open_jobs(self) -> list[str]:
        out = []
        for job_id, job in self.view.jobs.items():
            if job.to_admit > 0:
                record = self.view.state.jobs.get(job_id)
                if record is not None and not record.cancelled:
                    out.append(job_id)
        return out

    def _rank(self, job_id: str) -> tuple[int, bool, float, float]:
        job = self.view.jobs[job_id]
        return self.view.rank(job, job.starving(self.now, self.longest_wait_s))

    def _allowance(self, job: JobView) -> int:
        """How many more tasks the team's limit allows."""
        ledger, beside = self.view.ledger, self._planned.get(job.team, NOTHING)
        reserved = ledger.reserved_for(job.job_id)
        if reserved is not NOTHING:
            beside = beside - reserved  # this plan stands in the place of the one under way
        return ledger.tasks_allowed(job.team, job.charge_each, job.tasks, beside)

    def _book(self, job: JobView, tasks: int) -> None:
        """Counts planned tasks towards their team; an admission of the job that is under way is planned again here."""
        planned = job.charge_each.times(tasks).beyond(self.view.ledger.reserved_for(job.job_id))
        self._planned[job.team] = self._planned.get(job.team, NOTHING) + planned

    def _pending(self, job: JobView) -> Iterable[tuple[TaskEntry, AllocationKey | None]]:
        """Tasks to place: those that parts returned, then new ones in order of their index."""
        if job.returned:
            for allocation, record in self.view.state.allocations.get(job.job_id, {}).items():
                for entry in record.tasks:
                    if entry.state == records.RETURNED:
                        yield TaskEntry(entry.index, records.FREE, entry.attempt), allocation
        for index in range(job.admitted, job.tasks):
            yield TaskEntry(index), None

    def _admit(self, job_id: str, plan: Plan, most_grants: int) -> None:
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
            home = self._home(job) if job.one_zone else None
            if job.one_zone and home is None:
                self._short(plan, job, allowed)
                return
            spread = job.spread_limit is not None or job.service
            zones = self._one_by_one(job, home, allowed) if spread else self._as_group(job, home, allowed)
        placed = sum(zones.values())
        self._short(plan, job, self._late + allowed - placed)
        self._book(job, placed)
        if len(plan.grants) + len(zones) > most_grants and plan.grants:
            return  # booked, so that nobody else counts on the room, and granted in a later round
        pending = iter(self._pending(job))
        for zone, number in zones.items():
            grant = Grant(job_id, zone)
            for entry, source in islice(pending, number):
                grant.entries.append(entry)
                if source is not None:
                    grant.moved.setdefault(source, set()).add(entry.index)
            plan.grants.append(grant)

    # Tasks without a wish to be apart: as a group

    def _as_group(self, job: JobView, home: int | None, count: int) -> dict[int, int]:
        """How many tasks go to which zone: by best fit where there is room, the rest ahead of time."""
        zones: dict[int, int] = {}
        if not self._hopeless(job.need, home):
            rooms = [r for zone, rs in self._roomy.items() if home is None or zone == home for r in rs]
            booked = fill(job.need, rooms, count, self._draft)
            for room, number in booked:
                zones[room.zone] = zones.get(room.zone, 0) + number
            self._drop_small_pieces(job, booked, zones, count)
            count -= sum(zones.values())
            if count:
                self._failed.append((job.need, home))
                self._drop_full()
        if count:
            for zone, number in self._ahead_of_time(job, home, count).items():
                zones[zone] = zones.get(zone, 0) + number
                count -= number
        if count and not self._hopeless(job.need, home, self._nothing_coming):
            rooms = [r for zone, rs in self._coming.items() if home is None or zone == home for r in rs]
            for room, number in fill(job.need, rooms, count, self._draft):
                zones[room.zone] = zones.get(room.zone, 0) + number
                count -= number
                self._late += number
            if count:
                self._nothing_coming.append((job.need, home))
        if count and home is None and job.need.cpus > 0:
            for zone, number in self._by_guarantee(job, count).items():
                zones[zone] = zones.get(zone, 0) + number
                count -= number
        if count and not zones and home is None:
            # For work of higher priority its owner stops work of lower priority.
            for _ in range(min(count, MOST_PREEMPTED)):
                found = self._stopping_room(job, list(self.view.zone_rooms))
                if found is None:
                    break
                self._draft.take(found, job.need)
                zones[found.zone] = zones.get(found.zone, 0) + 1
        return zones

    def _drop_small_pieces(
        self, job: JobView, booked: list[tuple[Room, int]], zones: dict[int, int], count: int
    ) -> None:
        """Leaves room for a few tasks alone until there is more of it.

        Every piece of a job costs changes of its own, at its admission, starts and ends. The rest of a job goes however
        small it is.
        """
        small = {zone for zone, number in zones.items() if number < min(self.piece, count)}
        for room, number in booked:
            if room.zone in small:
                self._draft.take(room, job.need, -number)
        for zone in small:
            del zones[zone]

    def _hopeless(self, need: Need, home: int | None, failed: list[tuple[Need, int | None]] | None = None) -> bool:
        """A task no larger and no choosier found nothing in this round."""
        return any(
            where in (None, home) and need.asks_no_less(other)
            for other, where in (self._failed if failed is None else failed)
        )

    def _zones_for(self, need: Need) -> set[int]:
        """Zones with a machine that could hold the task if it were empty."""
        if need.shape not in self._able:
            self._able[need.shape] = {r.zone for r in self.rooms if r.could_hold(need)}
        return self._able[need.shape]

    def _ahead_of_time(self, job: JobView, home: int | None, count: int) -> dict[int, int]:
        """Tasks for parts that will soon free room for them.

        First where most machines have their image, then the emptiest queue.
        """
        out: dict[int, int] = {}
        if job.need.cpus <= 0:
            return out
        starving = job.starving(self.now, self.longest_wait_s) and not job.charged
        able = self._zones_for(job.need) if self._ahead or starving else set()
        room = {z: self._ahead[z] - self._queue[z] for z in able if home is None or z == home}
        warm = self._warm(job.need.image)
        for zone in sorted(room, key=lambda z: (-warm.get(z, 0.0), -room[z])):
            number = min(count, int(room[zone] / job.need.cpus))
            if number >= min(count, self.piece) > 0:
                out[zone] = number
                count -= number
                self._queue[zone] += number * job.need.cpus
        if room and not out and starving:
            # Nothing frees enough room for so large a task by itself: its owner gathers it.
            out[max(room, key=lambda z: room[z])] = 1
        return out

    def _warm(self, image: int) -> dict[int, float]:
        """By zone, CPUs of machines that have the image: there its tasks start without a fetch."""
        if image not in self._warm_cpus:
            found: dict[int, float] = defaultdict(float)
            for room in self.rooms:
                if image in room.images:
                    found[room.zone] += room.cpus
            self._warm_cpus[image] = found
        return self._warm_cpus[image]

    def _by_guarantee(self, job: JobView, count: int) -> dict[int, int]:
        """A job inside its team's guarantee gets what other teams run beyond theirs: its owner stops that work."""
        out: dict[int, int] = {}
        if job.job_id not in self.view.guaranteed():
            return out
        if self._borrowed is None:
            self._borrowed = borrowed_cpus(self.view)
            for zone, queued in self._queue.items():
                self._borrowed[zone] = self._borrowed.get(zone, 0.0) - queued
        for zone in sorted(self._zones_for(job.need), key=lambda z: -self._borrowed.get(z, 0.0)):  # type: ignore[union-attr]
            number = min(count, int(self._borrowed.get(zone, 0.0) / job.need.cpus))
            if number > 0:
                out[zone] = number
                count -= number
                self._borrowed[zone] -= number * job.need.cpus
        return out

    # Replicas: one by one

    def _one_by_one(self, job: JobView, home: int | None, count: int) -> dict[int, int]:
        """Replicas spread over parts; each goes where the fewest are, to a machine that has the image if there is one."""
        in_zone = dict(job.in_zone)
        zones: dict[int, int] = {}
        for _ in range(count):
            room = self._replica_room(job, home, in_zone)
            if room is None:
                break
            self._draft.take(room, job.need)
            in_zone[room.zone] = in_zone.get(room.zone, 0) + 1
            zones[room.zone] = zones.get(room.zone, 0) + 1
        return zones

    def _replica_room(self, job: JobView, home: int | None, in_zone: dict[int, int]) -> Room | None:
        need, limit = job.need, job.spread_limit
        open_to = [
            z
            for z in self.view.zone_rooms
            if (home is None or z == home) and (limit is None or in_zone.get(z, 0) < limit)
        ]
        room: Room | None = None
        level: list[int] = []
        for level in _levels(open_to, in_zone):
            open_level = [z for z in level if not self._hopeless(need, z)]
            room = best_fit(need, (r for z in open_level for r in self._roomy[z]))
            if room is not None:
                break
            self._failed.extend((need, z) for z in open_level)
        if room is None:
            return self._stopping_room(job, open_to) or self._coming_room(job, open_to, in_zone)
        if need.image not in room.images:
            # Work of lower priority can leave faster than an image can be fetched.
            return (
                self._by_preemption(job, [r for r in self.rooms if r.zone in level and need.image in r.images]) or room
            )
        return room

    def _stopping_room(self, job: JobView, open_to: list[int]) -> Room | None:
        zones = [z for z in open_to if not self._hopeless(job.need, z, self._nobody_to_stop)]
        room = self._by_preemption(job, [r for r in self.rooms if r.zone in zones]) if zones else None
        if room is None:
            self._nobody_to_stop.extend((job.need, z) for z in zones)
        return room

    def _coming_room(self, job: JobView, open_to: list[int], in_zone: dict[int, int]) -> Room | None:
        """A machine that boots, in the zone with the fewest replicas."""
        for zones in _levels(open_to, in_zone):
            for zone in zones:
                if self._hopeless(job.need, zone, self._nothing_coming):
                    continue
                room = best_fit(job.need, self._coming[zone])
                if room is not None:
                    self._late += 1
                    return room
                self._nothing_coming.append((job.need, zone))
        return None

    # Gangs: all tasks in one zone, or none

    def _gang_zone(self, job: JobView) -> dict[int, int]:
        """The zone for all tasks of a gang that wait for admission, and how many they are; empty if there is none.

        A gang that fits nowhere yet may go ahead of time to a zone where none waits: its owner keeps room for it there.
        """
        count = job.to_admit
        if self._gang_hopeless(job.need, count):
            return {}
        zones = [zone for zone, number in job.in_zone.items() if number > 0]
        fits = {zone: rooms for zone in zones or self._roomy if all_fit(job.need, rooms := self._roomy[zone], count)}
        if fits:
            zone = max(fits, key=lambda z: (self._warm_fits(job, fits[z]), sum(r.free_cpus for r in fits[z]), -z))
            fill(job.need, self._roomy[zone], count, self._draft)
            return {zone: count}
        if zones:
            return {zones[0]: count}  # the others wait there already
        zone_ahead = self._gang_ahead(job, count)
        if zone_ahead is None:
            self._gang_failed.append((job.need, count))
            return {}
        self._gangs_waiting.add(zone_ahead)
        self._queue[zone_ahead] += count * job.need.cpus
        return {zone_ahead: count}

    def _gang_hopeless(self, need: Need, count: int) -> bool:
        """A gang no larger and no choosier found no zone in this round."""
        return any(count >= failed and need.asks_no_less(other) for other, failed in self._gang_failed)

    @staticmethod
    def _warm_fits(job: JobView, rooms: list[Room]) -> bool:
        """The gang could start without a fetch: the slowest machine sets the pace for all."""
        return all_fit(job.need, [room for room in rooms if job.need.image in room.images], job.to_admit)

    def _gang_ahead(self, job: JobView, count: int) -> int | None:
        """The zone that frees room soonest for its queue, among those where no gang waits yet."""
        able = [
            zone
            for zone in self._zones_for(job.need)
            if zone not in self._gangs_waiting
            and self._ahead.get(zone, 0.0) > 0
            and sum(room.slots_without_arrays(job.need, count) for room in self.rooms if room.zone == zone) >= count
        ]
        return max(able, key=lambda zone: (self._ahead[zone] - self._queue[zone], -zone), default=None)

    def _short(self, plan: Plan, job: JobView, count: int) -> None:
        if count > 0:
            plan.shortages.append(Shortage(job.need, count, job.due, job.service, job.job_id, job.estimate_s, job.gang))

    @staticmethod
    def _by_preemption(job: JobView, candidates: list[Room]) -> Room | None:
        """The machine where the least work of lower priority would have to leave; its owner stops that work."""
        if job.need.priority >= PRIORITIES - 1:
            return None
        able = [room for room in candidates if room.fits_by_preemption(job.need)]
        return max(able, key=lambda room: (room.free_cpus, job.need.image in room.images), default=None)

    def _home(self, job: JobView) -> int | None:
        """The part for a job of one zone: where its tasks are, or else the roomiest one."""
        zones = [zone for zone, count in job.in_zone.items() if count > 0]
        if zones:
            return zones[0]
        room_for: dict[int, int] = defaultdict(int)
        for zone, rooms in self._roomy.items():
            for room in rooms:
                if room.fits(job.need):
                    room_for[zone] += room.slots(job.need, job.tasks)
        if not room_for:
            return max(self._zones_for(job.need), key=lambda zone: self._ahead[zone] - self._queue[zone], default=None)
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
    for team, zones in view.running.items():
        beyond = view.beyond(team)
        total = sum(zones.values())
        if beyond > 0 and total > 0:
            for zone, cpus in zones.items():
                out[zone] += cpus * min(1.0, beyond / total)
    return out
