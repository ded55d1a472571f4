"""How workers run the tasks of gangs, written from the published page on coupled tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.sim.fleet import SimTask, Worker, World


@dataclass
class SimGang:
    """One attempt of a gang, over all the workers that have a member of it."""

    job: str
    attempt: int
    members: dict[int, tuple[Worker, SimTask]] = field(default_factory=dict)
    began: float | None = None  # when the last member had its image
    resumed_at: float = 0.0  # progress that was saved before
    lost_at: float | None = None  # when a member of the running gang was gone
    halted_at: float | None = None  # the first stop
    told: set[int] = field(default_factory=set)  # members that were told to save, with enough time for it


class SimGangs:
    """All attempts of all gangs."""

    def __init__(self, world: World, wait_s: float, peer_s: float) -> None:
        self.world, self.wait_s, self.peer_s = world, wait_s, peer_s
        self.attempts: dict[tuple[str, int], SimGang] = {}
        self.saved: dict[str, float] = {}  # by job, progress that a new attempt continues from
        self.starts: dict[str, int] = {}  # by job, attempts that ran
        self.orderly: dict[str, int] = {}  # by job, attempts that saved their progress when they were stopped

    def gather(self, worker: Worker, task: SimTask) -> None:
        """A member has its image; the last one starts them all."""
        job, index = task.name.split("/")
        gang = self.attempts.setdefault((job, task.attempt), SimGang(job, task.attempt))
        task.state, task.gathers_since = "gathering", self.world.clock.now
        gang.members[int(index)] = worker, task
        self._drop_lost(gang)
        if len(gang.members) == self.world.jobs[job]["legs"] and gang.began is None:
            gang.began, gang.resumed_at = self.world.clock.now, self.saved.get(job, 0.0)
            self.starts[job] = self.starts.get(job, 0) + 1
            for member, held in gang.members.values():
                held.state, member.news = "running", True

    @staticmethod
    def _drop_lost(gang: SimGang) -> None:
        for index, (worker, task) in list(gang.members.items()):
            if worker.tasks.get(task.name) is not task or task.state == "ended" or not worker.up:
                del gang.members[index]

    def halt(self, task: SimTask, leeway_s: float) -> None:
        """A member is told to leave."""
        job, index = task.name.split("/")
        gang, now, spec = self.attempts.get((job, task.attempt)), self.world.clock.now, self.world.jobs[job]
        saves = spec["waypoint_s"] > 0 and leeway_s >= spec["stow_s"]
        if gang is None or task.state != "running" or not saves or gang.lost_at is not None:
            task.state, task.why = "ended", "halted"
            return
        if gang.halted_at is None:
            self._checkpoint(gang, now)
            gang.halted_at = now
        if now - gang.halted_at <= self.peer_s:
            gang.told.add(int(index))

    def step(self, worker: Worker, task: SimTask) -> None:
        """What time does to a member."""
        now, job = self.world.clock.now, task.name.split("/")[0]
        gang = self.attempts[job, task.attempt]
        if task.state == "gathering":
            if now - task.gathers_since > self.wait_s:
                self._end(worker, task, "incomplete")
            return
        assert gang.began is not None
        end = gang.began + self.world.run_of(job, 0) - gang.resumed_at
        if gang.halted_at is not None:
            self._save(gang, worker, task)
        elif now >= end and self._lost_at(gang) is None:
            self._end(worker, task, "done")
        elif (lost := self._lost_at(gang)) is not None and now - lost >= self.peer_s:
            self._checkpoint(gang, lost)
            self._end(worker, task, "peers")

    def _lost_at(self, gang: SimGang) -> float | None:
        """Since when a member is gone or hangs; one that completed is neither."""
        for worker, task in gang.members.values():
            gone = not worker.up or worker.tasks.get(task.name) is not task
            hangs = worker.hang_until - self.world.clock.now > self.peer_s
            left = task.state == "ended" and task.why != "done"
            if (gone and task.why != "done") or hangs or left:
                gang.lost_at = gang.lost_at or self.world.clock.now
        return gang.lost_at

    def _save(self, gang: SimGang, worker: Worker, task: SimTask) -> None:
        assert gang.halted_at is not None
        now, spec = self.world.clock.now, self.world.jobs[gang.job]
        all_told = len(gang.told) == spec["legs"]
        if all_told and now >= gang.halted_at + spec["stow_s"]:
            if task.why is None:
                self._end(worker, task, "halted")
                task.saved = True
                if gang.attempt not in self.world.saved_attempts.setdefault(gang.job, set()):
                    self.world.saved_attempts[gang.job].add(gang.attempt)
                    self.saved[gang.job] = self._progress(gang, gang.halted_at)
                    self.orderly[gang.job] = self.orderly.get(gang.job, 0) + 1
        elif now >= gang.halted_at + self.peer_s and not all_told:
            self._end(worker, task, "peers")

    def _progress(self, gang: SimGang, at: float) -> float:
        assert gang.began is not None
        return gang.resumed_at + at - gang.began

    def _checkpoint(self, gang: SimGang, at: float) -> None:
        """Progress falls back to the last multiple of the interval."""
        every = self.world.jobs[gang.job]["waypoint_s"]
        if every > 0:
            kept = self._progress(gang, at) // every * every
            self.saved[gang.job] = max(self.saved.get(gang.job, 0.0), kept)

    @staticmethod
    def _end(worker: Worker, task: SimTask, why: str) -> None:
        task.state, task.why, worker.news = "ended", why, True
