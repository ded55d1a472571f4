"""The whole fleet as the records show it: room on every machine, use by every team, tasks that wait in each part.

Kept up to date from changed records only. The leader admits by it and each holder places by it; both work on its
dense-index tables and never on names.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from spurarch.bookkeeping import records
from spurarch.bookkeeping.records import AllotKey, AllotRecord, TaskEntry
from spurarch.bookkeeping.replica import State
from spurarch.coordination.fit import Need, Room
from spurarch.protocol import wire
from spurarch.protocol.names import Names

IMAGES_KEPT = 32


@dataclass(slots=True)
class JobView:
    """What the decisions need of one job."""

    need: Need
    team: int
    service: bool
    gang: bool
    tasks: int
    spread_limit: int | None
    one_zone: bool
    due: float | None
    at: float
    estimate_s: float
    in_zone: dict[int, int] = field(default_factory=lambda: defaultdict(int))  # tasks not over, by zone
    charged: int = 0
    ended: int = 0
    assigned: int = 0


@dataclass(slots=True)
class _Booked:
    """What one allotment added to the tables."""

    zone: int
    on: list[int] = field(default_factory=list)
    free: int = 0
    ended: int = 0


class FleetView:
    """Tables of machines, jobs and teams."""

    def __init__(self, state: State, teams: Iterable[str]) -> None:
        self.state = state
        self.zones, self.types, self.teams = Names(), Names(), Names()
        self.images, self.machines = Names(), Names()
        self.rooms: dict[int, Room] = {}
        self.jobs: dict[str, JobView] = {}
        self.cpus_used: dict[int, float] = defaultdict(float)
        self.gpus_used: dict[int, float] = defaultdict(float)
        self.offers: dict[str, wire.MachineType] = {}
        self._booked: dict[AllotKey, _Booked] = {}
        self._cached: dict[int, dict[int, None]] = defaultdict(dict)
        self._dirty = state.subscribe()
        for team in teams:
            self.teams.index(team)

    def set_offers(self, offers: list[wire.MachineType]) -> None:
        """Takes the cloud's price list; machines of types unknown until now become usable."""
        fresh = any(offer.name not in self.offers for offer in offers)
        self.offers = {offer.name: offer for offer in offers}
        if fresh:
            self._dirty.update(key for key in self.state.entries if key.startswith(records.MACHINE))

    def update(self) -> None:
        """Follows the records."""
        keys = set(self._dirty)
        self._dirty.clear()
        for key in keys:
            if key.startswith(records.JOB):
                self._take_job(key[len(records.JOB) :])
        for key in keys:
            if key.startswith(records.MACHINE):
                self._take_machine(*records.parse_machine_key(key))
        for key in keys:
            if key.startswith(records.ALLOT):
                self._take_allot(AllotKey.parse(key))
        # Only now: the bookings of a job that is over have to be undone with its need still known.
        for ref in [r for r in self.jobs if r not in self.state.jobs and r not in self.state.allots]:
            del self.jobs[ref]

    def _take_job(self, ref: str) -> None:
        record = self.state.jobs.get(ref)
        if record is not None and ref not in self.jobs:
            self.jobs[ref] = self._job_view(record)

    def _job_view(self, record: records.JobRecord) -> JobView:
        """The decisions' view of a job."""
        spec = record.spec
        need = Need(
            spec.cpus,
            spec.gpus,
            spec.memory_gb,
            frozenset(map(self.types.index, spec.types)) if spec.types is not None else None,
            spec.spot,
            self.images.index(spec.image),
            wire.PRIORITIES[spec.priority],
            frozenset([self.zones.index(spec.zone)]) if spec.zone is not None else None,
        )
        return JobView(
            need,
            self.teams.index(spec.team),
            spec.kind == wire.SERVICE,
            spec.kind == wire.GANG,
            spec.tasks,
            (spec.tasks + 1) // 2 if spec.spread else None,
            spec.one_zone or spec.kind == wire.GANG,
            record.at + spec.deadline_s if spec.deadline_s is not None else None,
            record.at,
            spec.estimate_s,
        )

    def _take_machine(self, zone: str, name: str) -> None:
        machine = self.machines.index(name)
        record = self.state.machines[zone].get(name)
        offer = self.offers.get(record.type) if record else None
        if record is None or offer is None:
            self.rooms.pop(machine, None)
            if record is None:
                self._cached.pop(machine, None)
            return
        room = self.rooms.get(machine)
        if room is None:
            room = Room(
                machine, self.zones.index(zone), self.types.index(record.type), record.spot,
                offer.cpus, offer.gpus, offer.memory_gb, offer.cpus, offer.gpus, offer.memory_gb,
                set(self._cached[machine]),
            )  # fmt: skip
            self.rooms[machine] = room
            for where, booked in self._booked.items():
                for index in booked.on:
                    if index == machine:
                        room.take(self.jobs[where.job].need)
        room.open = record.open

    def _take_allot(self, where: AllotKey) -> None:
        job = self.jobs.get(where.job)
        if job is None:
            return  # over; its allotments hold nothing that still runs
        old = self._booked.pop(where, None)
        if old is not None:
            self._count(job, old, -1)
        record = self.state.allots.get(where.job, {}).get(where)
        if record is not None:
            self._booked[where] = new = self._sum(where, record)
            self._count(job, new, 1)

    def _sum(self, where: AllotKey, record: AllotRecord) -> _Booked:
        booked = _Booked(self.zones.index(where.zone))
        for entry in record.tasks:
            if entry.state == records.ASSIGNED:
                booked.on.append(self.machines.index(entry.machine))
            elif entry.state == records.FREE:
                booked.free += 1
            elif entry.state == records.ENDED:
                booked.ended += 1
        return booked

    def _count(self, job: JobView, booked: _Booked, sign: int) -> None:
        charged = len(booked.on) + booked.free
        job.in_zone[booked.zone] += sign * charged
        job.charged += sign * charged
        job.ended += sign * booked.ended
        job.assigned += sign * len(booked.on)
        self.cpus_used[job.team] += sign * charged * job.need.cpus
        self.gpus_used[job.team] += sign * charged * job.need.gpus
        for machine in booked.on:
            room = self.rooms.get(machine)
            if room is not None:
                if sign > 0:
                    room.take(job.need)
                else:
                    room.give(job.need)
            if sign > 0:
                self._remember_image(machine, job.need.image)

    def _remember_image(self, machine: int, image: int) -> None:
        cached = self._cached[machine]
        cached.pop(image, None)
        cached[image] = None
        if len(cached) > IMAGES_KEPT:
            del cached[next(iter(cached))]
        room = self.rooms.get(machine)
        if room is not None:
            room.images = set(cached)

    def copies(self, zone: int | None = None) -> list[Room]:
        """Open machines, as tables that a plan may change."""
        return [r.copy() for r in self.rooms.values() if r.open and (zone is None or r.zone == zone)]

    def waiting(self) -> Iterable[tuple[AllotKey, list[TaskEntry]]]:
        """Admitted tasks that no machine has yet."""
        for where, booked in self._booked.items():
            if booked.free:
                record = self.state.allots[where.job][where]
                yield where, [e for e in record.tasks if e.state == records.FREE]
