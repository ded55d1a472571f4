"""Gang tasks on simulated workers, written from the published protocol for coupled tasks."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.sim.fleet import SimTask, Worker, World


@dataclass
class SimGang:
    """One attempt of a gang, with its members on all workers. Times are in seconds of virtual time."""

    job: str
    attempt: int
    members: dict[int, tuple[Worker, SimTask]] = field(default_factory=dict)
    started_at: float | None = None  # when the last member had its image
    resumed_at: float = 0.0  # saved progress from which the attempt continued, in seconds of run time
    lost_at: float | None = None  # when the running gang lost a member
    stopped_at: float | None = None  # when the first member was stopped
    saving: set[int] = field(default_factory=set)  # members that were stopped with enough time to save


class SimGangs:
    """All attempts of all gangs, and the progress that they saved."""

    def __init__(self, world: World, wait_s: float, peer_s: float) -> None:
        self.world, self.wait_s, self.peer_s = world, wait_s, peer_s
        self.attempts: dict[tuple[str, int], SimGang] = {}
        self.saved: dict[str, float] = {}  # by job: progress from which the next attempt continues
        self.starts: dict[str, int] = {}  # by job: number of attempts that ran
        self.orderly: dict[str, int] = {}  # by job: number of attempts that saved their progress when they were stopped

    def gather(self, worker: Worker, task: SimTask) -> None:
        """Adds a member that has its image; the last one starts all members."""
        job, index = task.name.split("/")
        gang = self.attempts.setdefault((job, task.attempt), SimGang(job, task.attempt))
        task.state, task.gathering_since = "gathering", self.world.clock.now
        gang.members[int(index)] = worker, task
        self._drop_lost(gang)
        if len(gang.members) == self.world.jobs[job]["legs"] and gang.started_at is None:
            gang.started_at, gang.resumed_at = self.world.clock.now, self.saved.get(job, 0.0)
            self.starts[job] = self.starts.get(job, 0) + 1
            for member_worker, member in gang.members.values():
                member.state, member_worker.changed = "running", True

    @staticmethod
    def _drop_lost(gang: SimGang) -> None:
        for index, (worker, task) in list(gang.members.items()):
            if worker.tasks.get(task.name) is not task or task.state == "ended" or not worker.up:
                del gang.members[index]

    def stop(self, task: SimTask, leeway_s: float) -> None:
        """Stops a member; it saves its progress first if `leeway_s` is long enough."""
        job, index = task.name.split("/")
        gang, now, spec = self.attempts.get((job, task.attempt)), self.world.clock.now, self.world.jobs[job]
        saves = spec["waypoint_s"] > 0 and leeway_s >= spec["stow_s"]
        if gang is None or task.state != "running" or not saves or gang.lost_at is not None:
            task.state, task.cause = "ended", "halted"
            return
        if gang.stopped_at is None:
            self._checkpoint(gang, now)
            gang.stopped_at = now
        if now - gang.stopped_at <= self.peer_s:
            gang.saving.add(int(index))

    def step(self, worker: Worker, task: SimTask) -> None:
        """Applies what has become due for a member: a timeout, the end of its run or of saving, the loss of a peer."""
        now, job = self.world.clock.now, task.name.split("/")[0]
        gang = self.attempts[job, task.attempt]
        if task.state == "gathering":
            if now - task.gathering_since > self.wait_s:
                self._end(worker, task, "incomplete")
            return
        assert gang.started_at is not None
        end = gang.started_at + self.world.run_time_s(job, 0) - gang.resumed_at
        if gang.stopped_at is not None:
            self._save(gang, worker, task)
        elif now >= end and self._lost_at(gang) is None:
            self._end(worker, task, "done")
        elif (lost := self._lost_at(gang)) is not None and now - lost >= self.peer_s:
            self._checkpoint(gang, lost)
            self._end(worker, task, "peers")

    def _lost_at(self, gang: SimGang) -> float | None:
        """Returns since when a member is gone or hangs, or None; a completed member counts as neither."""
        for worker, task in gang.members.values():
            is_gone = not worker.up or worker.tasks.get(task.name) is not task
            hangs = worker.hang_until - self.world.clock.now > self.peer_s
            has_ended = task.state == "ended" and task.cause != "done"
            if (is_gone and task.cause != "done") or hangs or has_ended:
                gang.lost_at = gang.lost_at or self.world.clock.now
        return gang.lost_at

    def _save(self, gang: SimGang, worker: Worker, task: SimTask) -> None:
        assert gang.stopped_at is not None
        now, spec = self.world.clock.now, self.world.jobs[gang.job]
        all_saving = len(gang.saving) == spec["legs"]
        if all_saving and now >= gang.stopped_at + spec["stow_s"]:
            if task.cause is None:
                self._end(worker, task, "halted")
                task.saved = True
                if gang.attempt not in self.world.saved_attempts.setdefault(gang.job, set()):
                    self.world.saved_attempts[gang.job].add(gang.attempt)
                    self.saved[gang.job] = self._progress(gang, gang.stopped_at)
                    self.orderly[gang.job] = self.orderly.get(gang.job, 0) + 1
        elif now >= gang.stopped_at + self.peer_s and not all_saving:
            self._end(worker, task, "peers")

    def _progress(self, gang: SimGang, at: float) -> float:
        assert gang.started_at is not None
        return gang.resumed_at + at - gang.started_at

    def _checkpoint(self, gang: SimGang, at: float) -> None:
        """Saves the progress up to the last checkpoint, a multiple of the checkpoint interval."""
        interval_s = self.world.jobs[gang.job]["waypoint_s"]
        if interval_s > 0:
            progress = self._progress(gang, at) // interval_s * interval_s
            self.saved[gang.job] = max(self.saved.get(gang.job, 0.0), progress)

    @staticmethod
    def _end(worker: Worker, task: SimTask, cause: str) -> None:
        task.state, task.cause, worker.changed = "ended", cause, True
