"""Which tasks of which job go to which part. Pure: the leader turns the plan into one transaction.

Admission is the quota: a task is charged to its team from here until its end is recorded, and `spread`, `together`
and the allowed zones are counted the same way. No holder needs a view of the whole to keep these rules.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from spurarch.bookkeeping import records
from spurarch.bookkeeping.records import AllotKey, TaskEntry
from spurarch.coordination.fit import EPSILON, Need, Room, all_fit, best_fit
from spurarch.coordination.view import FleetView, JobView
from spurarch.settings import Team


@dataclass(slots=True)
class Grant:
    """Tasks of one job for one part: new ones by index, and returned ones with the allotment they leave."""

    job: str
    zone: int
    entries: list[TaskEntry] = field(default_factory=list)
    moved: dict[AllotKey, set[int]] = field(default_factory=dict)


@dataclass(slots=True)
class Shortage:
    """Tasks that are allowed to run and fit nowhere."""

    need: Need
    count: int
    due: float | None
    service: bool
    job: str
    estimate_s: float


@dataclass(slots=True)
class Plan:
    """Outcome of one round."""

    grants: list[Grant] = field(default_factory=list)
    shortages: list[Shortage] = field(default_factory=list)
    next_job: str | None = None  # where the next round goes on, if the time ran out


class Admission:
    """One round of admission over the tables of the fleet."""

    def __init__(self, view: FleetView, teams: Iterable[Team], rooms: list[Room]) -> None:
        self.view = view
        self.rooms = rooms
        self.limits = {view.teams.index(t.name): t for t in teams}
        self.cpus = dict(view.cpus_used)
        self.gpus = dict(view.gpus_used)
        self.in_zone: dict[str, dict[int, int]] = {}
        self._demand: dict[int, float] = defaultdict(float)
        for ref, job in view.jobs.items():
            record = view.state.jobs.get(ref)
            if record is not None and not record.cancelled:
                self._demand[job.team] += (job.tasks - job.ended) * job.need.cpus

    def run(self, start: str | None, out_of_time: Callable[[], bool], most_tasks: int) -> Plan:
        """Goes through the jobs that have tasks to admit, from `start` on, until the time or the transaction is full."""
        plan = Plan()
        self._book_waiting()
        order = sorted(self._open_jobs(), key=self._rank)
        if start in order:
            at = order.index(start)
            urgent = [r for r in order[:at] if self.view.jobs[r].need.priority == 0]
            order = urgent + order[at:] + [r for r in order[:at] if r not in urgent]
        for ref in order:
            if most_tasks <= 0 or out_of_time():
                plan.next_job = ref
                break
            most_tasks -= self._admit(ref, plan, most_tasks)
        return plan

    def _book_waiting(self) -> None:
        """Room that admitted tasks will take is not given away twice."""
        by_zone: dict[int, list[Room]] = defaultdict(list)
        for room in self.rooms:
            by_zone[room.zone].append(room)
        for where, entries in self.view.waiting():
            job = self.view.jobs[where.job]
            for _ in entries:
                found = best_fit(job.need, by_zone[self.view.zones.index(where.zone)])
                if found is None:
                    break
                found.take(job.need)

    def _open_jobs(self) -> list[str]:
        out = []
        for ref, job in self.view.jobs.items():
            record = self.view.state.jobs.get(ref)
            if record is not None and not record.cancelled and job.charged + job.ended < job.tasks:
                out.append(ref)
        return out

    def _rank(self, ref: str) -> tuple[int, bool, float, float]:
        """Priority; then teams inside their guarantee, who need not wait on others; then the deadline."""
        job = self.view.jobs[ref]
        team = self.limits.get(job.team)
        inside = team is not None and 0 < self._demand[job.team] <= team.cpus + EPSILON
        return job.need.priority, not inside, job.due if job.due is not None else float("inf"), job.at

    def _allowance(self, job: JobView) -> int:
        """How many more tasks the team's limit allows."""
        team = self.limits.get(job.team)
        if team is None:
            return 0
        most = job.tasks
        if team.cpus_max > 0 and job.need.cpus > 0:
            most = min(most, int((team.cpus_max - self.cpus.get(job.team, 0.0) + EPSILON) / job.need.cpus))
        if team.gpus_max > 0 and job.need.gpus > 0:
            most = min(most, int((team.gpus_max - self.gpus.get(job.team, 0.0) + EPSILON) / job.need.gpus))
        return max(0, most)

    def _pending(self, ref: str, job: JobView) -> Iterable[tuple[TaskEntry, AllotKey | None]]:
        """Tasks to place: those that parts returned, then new ones in order of their index."""
        for where, record in self.view.state.allots.get(ref, {}).items():
            for entry in record.tasks:
                if entry.state == records.RETURNED:
                    yield TaskEntry(entry.index, records.FREE, entry.attempt), where
        first = self.view.state.admitted.get(ref)
        for index in range(first.next if first else 0, job.tasks):
            yield TaskEntry(index), None

    def _admit(self, ref: str, plan: Plan, most: int) -> int:
        job = self.view.jobs[ref]
        allowed = self._allowance(job)
        zones = self.in_zone.setdefault(ref, dict(job.in_zone))
        grants: dict[int, Grant] = {}
        placed = 0
        home = self._home(job, zones) if job.one_zone else None
        if job.gang and not self._gang_fits(ref, job, home, allowed):
            self._short(plan, ref, job, job.tasks - job.charged - job.ended)
            return 0
        for entry, source in self._pending(ref, job):
            if placed >= (allowed if job.gang else min(allowed, most)):
                break
            candidates = self._candidates(job, zones, home)
            room = best_fit(job.need, candidates) or self._by_preemption(job, candidates)
            if room is not None and job.service and job.need.image not in room.images:
                # Work of lower priority can leave faster than an image can be fetched.
                having = [r for r in candidates if job.need.image in r.images]
                room = self._by_preemption(job, having) or room
            if room is None:
                self._short(plan, ref, job, min(allowed, job.tasks - job.charged - job.ended) - placed)
                break
            room.take(job.need)
            zones[room.zone] = zones.get(room.zone, 0) + 1
            grant = grants.setdefault(room.zone, Grant(ref, room.zone))
            grant.entries.append(entry)
            if source is not None:
                grant.moved.setdefault(source, set()).add(entry.index)
            placed += 1
        self.cpus[job.team] = self.cpus.get(job.team, 0.0) + placed * job.need.cpus
        self.gpus[job.team] = self.gpus.get(job.team, 0.0) + placed * job.need.gpus
        plan.grants += grants.values()
        return placed

    def _gang_fits(self, ref: str, job: JobView, home: int | None, allowed: int) -> bool:
        """A gang starts once all its tasks fit in one part."""
        wanted = sum(1 for _ in self._pending(ref, job))
        if home is None or wanted > allowed:
            return False
        return all_fit(job.need, [r for r in self.rooms if r.zone == home], wanted)

    def _short(self, plan: Plan, ref: str, job: JobView, count: int) -> None:
        if count > 0:
            plan.shortages.append(Shortage(job.need, count, job.due, job.service, ref, job.estimate_s))

    def _candidates(self, job: JobView, zones: dict[int, int], home: int | None) -> list[Room]:
        rooms = self.rooms
        if job.one_zone:
            rooms = [r for r in rooms if r.zone == home]
        if job.spread_limit is not None:
            rooms = [r for r in rooms if zones.get(r.zone, 0) < job.spread_limit]
            if job.service:  # replicas spread across parts: the zone with the fewest first
                fewest = min((zones.get(r.zone, 0) for r in rooms if r.fits(job.need)), default=0)
                rooms = [r for r in rooms if zones.get(r.zone, 0) == fewest]
        return rooms

    @staticmethod
    def _by_preemption(job: JobView, candidates: list[Room]) -> Room | None:
        """The machine where the least work of lower priority would have to leave; its holder stops that work."""
        able = [room for room in candidates if room.fits_by_preemption(job.need)]
        return max(able, key=lambda room: (room.free_cpus, job.need.image in room.images), default=None)

    def _home(self, job: JobView, zones: dict[int, int]) -> int | None:
        """The part for a job of one zone: where its tasks are, or else the roomiest one."""
        held = [zone for zone, count in zones.items() if count > 0]
        if held:
            return held[0]
        room_for: dict[int, int] = defaultdict(int)
        for room in self.rooms:
            if room.fits(job.need):
                room_for[room.zone] += int((room.free_cpus + EPSILON) / job.need.cpus) if job.need.cpus > 0 else 1
        return max(room_for, key=lambda zone: room_for[zone], default=None)
