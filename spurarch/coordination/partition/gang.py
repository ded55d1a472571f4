"""Gangs: jobs whose tasks run at the same time or not at all. Pure: no I/O, and no clock of its own.

A gang lives in one partition. All members of an attempt share its number, and workers find each other by it, so a number
is never used for two sets of machines. Three things follow for the owner of the partition:

- A member is told to start only when the records show *every* member assigned under the same number. Whoever owns the
  partition next sees the same records and repeats the same starts, or none.
- Once a member has left without completing, the attempt is over: the others are told to leave, and the next number is
  given out only when the records show that none of them is assigned any more.
- Members complete together, so one that is reported or recorded as completed proves that all are.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Iterable

from spurarch.coordination.partition.machine import AttemptPhase, TaskAttempt
from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, TaskEntry

log = logging.getLogger(__name__)


class GangState(enum.Enum):
    """Where a gang stands."""

    WAITING = "waiting"  # no member has a machine
    ASSIGNING = "assigning"  # some members have one on record; none of this attempt was ever told to start
    STARTING = "starting"  # all have one; they are told to start and fetch their image
    GATHERING = "gathering"  # a member waits for the others
    RUNNING = "running"
    STOPPING = "stopping"  # the attempt is over; its members leave their machines
    ENDED = "ended"  # a member has completed, which proves that all have


_NEXT = {
    GangState.WAITING: set(GangState),
    GangState.ASSIGNING: set(GangState),
    GangState.STARTING: {
        GangState.GATHERING,
        GangState.RUNNING,
        GangState.STOPPING,
        GangState.WAITING,
        GangState.ENDED,
    },
    GangState.GATHERING: {GangState.RUNNING, GangState.STOPPING, GangState.WAITING, GangState.ENDED},
    GangState.RUNNING: {GangState.STOPPING, GangState.WAITING, GangState.ENDED},
    GangState.STOPPING: {GangState.WAITING, GangState.ENDED},
    GangState.ENDED: set(),
}
_STARTABLE = {GangState.STARTING, GangState.GATHERING, GangState.RUNNING}


class GangAttempt:
    """The newest attempt of one gang, as its partition's owner knows it from records and reports."""

    def __init__(self, job: str, size: int, checkpoint_grace_s: float) -> None:
        self.job, self.size = job, size
        self.checkpoint_grace_s = (
            checkpoint_grace_s  # how long members get to save when they are told to leave; 0: they never save
        )
        self.state = GangState.WAITING
        self.attempt = 0  # the highest number on record
        self.members: dict[int, TaskAttempt] = {}  # by index, those with a machine
        self._entries: dict[AllocationKey, list[TaskEntry]] = {}

    # Records and reports coming in

    def apply_record(self, allocation: AllocationKey, entries: list[TaskEntry] | None) -> None:
        """Takes one allocation record in, or its removal."""
        if entries is None:
            self._entries.pop(allocation, None)
        else:
            self._entries[allocation] = entries
            self.attempt = max([self.attempt, *(entry.attempt for entry in entries)])

    def update_state(self) -> None:
        """Works the state out again after records or members have changed."""
        state = self._observed()
        if state is self.state:
            return
        if state not in _NEXT[self.state]:
            return  # an older report of a member; the gang itself never goes back
        log.debug("gang state changed job=%s attempt=%d state=%s", self.job, self.attempt, state.value)
        self.state = state

    def _observed(self) -> GangState:
        members = self.members.values()
        if self._completed():
            return GangState.ENDED
        if not members:
            return GangState.WAITING
        if self._is_broken():
            return GangState.STOPPING
        if len(self.members) < self.size:
            return GangState.ASSIGNING
        phases = {member.phase for member in members}
        if AttemptPhase.RUNNING in phases:
            return GangState.RUNNING
        if AttemptPhase.GATHERING in phases:
            return GangState.GATHERING
        return GangState.STARTING

    def _completed(self) -> bool:
        if any(member.exit_reason == wire.REASON_DONE for member in self.members.values()):
            return True
        return any(entry.state == records.ENDED for entry in self._all_entries())

    def _is_broken(self) -> bool:
        """A member has left, is leaving, or was started under another number than the rest."""
        if any(member.stop_requested or member.phase >= AttemptPhase.STOPPING for member in self.members.values()):
            return True
        if any(member.number != self.attempt for member in self.members.values()):
            return True
        # One that is free under the newest number has been on a machine under it, and left.
        return any(e.state != records.ASSIGNED and e.attempt >= self.attempt for e in self._all_entries())

    def _all_entries(self) -> Iterable[TaskEntry]:
        for entries in self._entries.values():
            yield from entries

    # What follows

    @property
    def startable(self) -> bool:
        """Members may be told to start: all of them are on record under one number."""
        return self.state in _STARTABLE and len(self.members) == self.size

    def next_attempt(self) -> int | None:
        """The number for members that are given machines now, or None while none may be."""
        if self.state is GangState.WAITING:
            return self.attempt + 1
        if self.state is GangState.ASSIGNING:
            return self.attempt
        return None

    def waiting(self) -> list[tuple[AllocationKey, TaskEntry]]:
        """Members without a machine."""
        return [(w, e) for w, entries in self._entries.items() for e in entries if e.state == records.FREE]

    @property
    def whole(self) -> bool:
        """Every member is in this partition, with a machine or waiting for one."""
        return len(self.members) + len(self.waiting()) >= self.size

    def to_stop(self) -> list[TaskAttempt]:
        """Members that have to be told to leave because of what became of the others."""
        staying = [m for m in self.members.values() if not m.stop_requested and m.phase < AttemptPhase.STOPPING]
        if self.state is GangState.STOPPING:
            return staying
        if self.state is GangState.ENDED:
            # These can't be found to have completed by waiting: nobody may ever have started them here.
            return [member for member in staying if member.phase < AttemptPhase.RUNNING]
        return []

    def grace_s(self) -> float:
        """How long members get to save. All save or none does, so there is nothing to save once one has left."""
        if any(member.phase >= AttemptPhase.EXITED for member in self.members.values()):
            return 0.0
        asked = [member.grace_s for member in self.members.values() if member.stop_requested]
        return min(asked, default=0.0)


class Gangs:
    """The gangs of one partition. What happened to their members is noted here and settled once for each event."""

    def __init__(self) -> None:
        self._attempts: dict[str, GangAttempt] = {}
        self._changed: dict[str, None] = {}

    def get(self, job: str) -> GangAttempt | None:
        """A gang by its job."""
        return self._attempts.get(job)

    def track(self, job: str, size: int, checkpoint_grace_s: float = 0.0) -> GangAttempt:
        """A gang, new or known; whoever asks is about to change it."""
        gang = self._attempts.get(job)
        if gang is None:
            gang = self._attempts[job] = GangAttempt(job, size, checkpoint_grace_s)
        self._changed[job] = None
        return gang

    def mark_changed(self, job: str) -> None:
        """Something happened to a task; if it is a gang's, the gang has to be settled."""
        if job in self._attempts:
            self._changed[job] = None

    def drop(self, job: str) -> None:
        """The job is over or has left the partition."""
        self._attempts.pop(job, None)
        self._changed.pop(job, None)

    def members_to_stop(self) -> list[tuple[TaskAttempt, float]]:
        """Settles what has changed; returns members to be stopped, and how long each gets to save."""
        out: list[tuple[TaskAttempt, float]] = []
        while self._changed:
            gang = self._attempts[next(iter(self._changed))]
            del self._changed[gang.job]
            gang.update_state()
            grace_s = gang.grace_s()
            out += [(member, grace_s) for member in gang.to_stop()]
        return out
