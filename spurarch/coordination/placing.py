"""What a holder decides for its part each round: newcomers by best fit, whom to preempt, what to give back. Pure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from spurarch.bookkeeping import records
from spurarch.bookkeeping.records import AllotKey, TaskEntry
from spurarch.coordination.fit import Need, Room, all_fit, best_fit
from spurarch.coordination.machine import Phase, TaskRun
from spurarch.coordination.part import Part, live
from spurarch.coordination.view import FleetView, JobView

GIVE_BACK_S = 1.0
PREEMPT_WAIT_S = 8.0
IMAGE_WAIT_S = 1.5


@dataclass(slots=True)
class Placement:
    """Outcome of one round."""

    entries: dict[AllotKey, dict[int, TaskEntry]] = field(default_factory=dict)
    preempt: list[TaskRun] = field(default_factory=list)
    unfinished: bool = False


class Placer:
    """Places the free tasks of one part. Remembers only since when a task has waited and whom it waits for."""

    def __init__(self) -> None:
        self._since: dict[tuple[str, int], float] = {}
        self._claims: dict[tuple[str, int], float] = {}
        self.targets: dict[tuple[str, int], tuple[str, float]] = {}  # where a moved task goes, and until when

    def _target(self, key: tuple[str, int], need: Need, view: FleetView, rooms: list[Room]) -> Room | None:
        """The machine that the search chose for a moved task, if it still fits there."""
        target = self.targets.get(key)
        if target is None:
            return None
        return next((r for r in rooms if view.machines.name(r.machine) == target[0] and r.fits(need)), None)

    def run(self, part: Part, view: FleetView, now: float, out_of_time: Callable[[], bool], most: int) -> Placement:
        """One round; what the time or `most` changed allotments cut off comes first in the next."""
        result = Placement()
        self.targets = {k: t for k, t in self.targets.items() if t[1] > now}
        zone = view.zones.index(part.zone)
        rooms = self._rooms(part, view, zone, now)
        reserved = self._reserve(part, view, rooms)
        waiting: set[tuple[str, int]] = set()
        order = sorted((w for w in part.free if w.job in view.jobs), key=lambda w: _rank(view.jobs[w.job], w))
        for where in order:
            if len(result.entries) >= most or out_of_time():
                result.unfinished = True
                break
            if not live(view.state, where.job) or part.trouble[where.job].not_before > now:
                continue
            for key in [k for k in reserved if k[0] == where.job]:
                reserved.pop(key).give(view.jobs[where.job].need)
            self._place(part, view, where, rooms, now, result, waiting)
        if not result.unfinished:
            self._since = {k: t for k, t in self._since.items() if k in waiting}
            self._claims = {k: t for k, t in self._claims.items() if k in waiting}
        return result

    def _reserve(self, part: Part, view: FleetView, rooms: list[Room]) -> dict[tuple[str, int], Room]:
        """Keeps the room that moved tasks are on their way to from other newcomers."""
        out = {}
        for key in self.targets:
            job = view.jobs.get(key[0])
            room = self._target(key, job.need, view, rooms) if job is not None else None
            placed = part.runs.get(key)
            if job is not None and room is not None and (placed is None or placed.stop):
                room.take(job.need)
                out[key] = room
        return out

    @staticmethod
    def _rooms(part: Part, view: FleetView, zone: int, now: float) -> list[Room]:
        usable = []
        for room in view.copies(zone):
            machine = part.machines.get(view.machines.name(room.machine))
            if machine is not None and machine.usable(now):
                usable.append(room)
        return usable

    def _place(
        self, part: Part, view: FleetView, where: AllotKey, rooms: list[Room], now: float,
        result: Placement, waiting: set[tuple[str, int]],
    ) -> None:  # fmt: skip
        job = view.jobs[where.job]
        # A gang starts as a whole or not at all.
        full = job.gang and not all_fit(job.need, rooms, len(part.free[where]))
        for entry in part.free[where]:
            key = where.job, entry.index
            room = None if full else self._target(key, job.need, view, rooms) or best_fit(job.need, rooms)
            if room is not None and job.service and not self._has_image(part, view, room, job.need):
                if self._claims.get(key, 0.0) > now:
                    waiting.add(key)
                    continue  # its place is being freed
                having = [r for r in rooms if self._has_image(part, view, r, job.need)]
                victims = self._victims(part, view, job.need, having, now) if key not in self._claims else []
                if victims:
                    self._claims[key] = now + IMAGE_WAIT_S
                    result.preempt += victims
                    waiting.add(key)
                    continue
            if room is not None:
                machine = part.machines[view.machines.name(room.machine)]
                room.take(job.need)
                self._set(result, where, TaskEntry(
                    entry.index, records.ASSIGNED, entry.attempt + 1, machine.name, machine.session
                ))  # fmt: skip
                continue
            full = True  # all tasks of a job need the same
            waiting.add(key)
            since = self._since.setdefault(key, now)
            if key in self._claims and self._claims[key] > now:
                continue
            victims = self._victims(part, view, job.need, rooms, now)
            if victims:
                self._claims[key] = now + PREEMPT_WAIT_S
                result.preempt += victims
            elif now - since > GIVE_BACK_S:
                self._set(result, where, TaskEntry(entry.index, records.RETURNED, entry.attempt))

    @staticmethod
    def _has_image(part: Part, view: FleetView, room: Room, need: Need) -> bool:
        return need.image in part.machines[view.machines.name(room.machine)].images

    @staticmethod
    def _set(result: Placement, where: AllotKey, entry: TaskEntry) -> None:
        result.entries.setdefault(where, {})[entry.index] = entry

    @staticmethod
    def _victims(part: Part, view: FleetView, need: Need, rooms: list[Room], now: float) -> list[TaskRun]:
        """The youngest tasks of lower priority on the machine that loses the fewest of them."""
        best: list[TaskRun] = []
        best_room: Room | None = None
        for room in rooms:
            if not room.fits_by_preemption(need):
                continue
            machine = part.machines[view.machines.name(room.machine)]
            lower = [
                run for run in machine.runs.values()
                if not run.stop and run.phase < Phase.STOPPING and _priority(view, run) > need.priority
            ]  # fmt: skip
            lower.sort(key=lambda run: (-_priority(view, run), -(run.running_at or now)))
            chosen: list[TaskRun] = []
            trial = room.copy()
            for run in lower:
                if trial.fits(need):
                    break
                trial.give(view.jobs[run.where.job].need)
                chosen.append(run)
            if trial.fits(need) and chosen and (best_room is None or len(chosen) < len(best)):
                best, best_room = chosen, room
        if best_room is not None:
            for run in best:
                best_room.give(view.jobs[run.where.job].need)
            best_room.take(need)  # nobody else may count on this room
        return best


def _priority(view: FleetView, run: TaskRun) -> int:
    job = view.jobs.get(run.where.job)
    return job.need.priority if job else 0


def _rank(job: JobView, where: AllotKey) -> tuple[int, float, float, str, int]:
    return job.need.priority, job.due if job.due is not None else float("inf"), job.at, where.job, where.chunk
