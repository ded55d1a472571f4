"""Gangs: jobs whose tasks run at the same time or not at all. Pure: no I/O, and no clock of its own.

A gang is in one partition. All members of an attempt share its number, and workers find each other by it, so a number
is never used for two sets of machines. Three things follow for the owner of the partition:

- A member is told to start only when the records show *every* member assigned under the same number. Whoever owns the
  partition next sees the same records and repeats the same starts, or none.
- Once a member has left without completing, the attempt has failed: the others are told to stop, and the next number is
  assigned only when the records show that none of them is assigned any more.
- Members complete together, so one that is reported or recorded as completed proves that all have.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Iterable
from typing import NamedTuple

from spurarch.coordination.partition.machine import AttemptPhase, TaskAttempt
from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, TaskEntry

log = logging.getLogger(__name__)


class GangState(enum.Enum):
    """How far the newest attempt of a gang is."""

    WAITING = "waiting"  # no member has a machine
    ASSIGNING = "assigning"  # some members have a machine on record; none of this attempt was ever told to start
    STARTING = "starting"  # all have a machine; they are told to start and fetch their image
    GATHERING = "gathering"  # a member waits for the others
    RUNNING = "running"
    STOPPING = "stopping"  # the attempt has failed; its members leave their machines
    ENDED = "ended"  # a member has completed, which proves that all have


_NEXT_STATES = {
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


class MemberStop(NamedTuple):
    """A member that has to leave its machine, and how many seconds it gets to checkpoint."""

    member: TaskAttempt
    grace_s: float


class GangAttempt:
    """The newest attempt of one gang, as its partition's owner knows it from records and heartbeats.

    Attributes:
        size: How many members the gang has.
        checkpoint_grace_s: Seconds that members get to checkpoint when they are told to stop; 0: they never do.
        attempt: The highest attempt number on record.
        members: By task index, the members with a machine.
    """

    def __init__(self, job: str, size: int, checkpoint_grace_s: float) -> None:
        self.job, self.size = job, size
        self.checkpoint_grace_s = checkpoint_grace_s
        self.state = GangState.WAITING
        self.attempt = 0
        self.members: dict[int, TaskAttempt] = {}
        self._entries: dict[AllocationKey, list[TaskEntry]] = {}

    # Records and heartbeats coming in

    def apply_record(self, allocation: AllocationKey, entries: list[TaskEntry] | None) -> None:
        """Applies one allocation record, or its removal."""
        if entries is None:
            self._entries.pop(allocation, None)
        else:
            self._entries[allocation] = entries
            self.attempt = max([self.attempt, *(entry.attempt for entry in entries)])

    def update_state(self) -> None:
        """Derives the state again after records or members have changed."""
        state = self._observed()
        if state is self.state:
            return
        if state not in _NEXT_STATES[self.state]:
            return  # from an older message of a member; the gang itself never goes back
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
        """Whether a member has left, is leaving, or was started under another number than the rest."""
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
        """Whether members may be told to start: all of them are on record under one number."""
        return self.state in _STARTABLE and len(self.members) == self.size

    def next_attempt(self) -> int | None:
        """The attempt number for members that are assigned now, or None while none may be."""
        if self.state is GangState.WAITING:
            return self.attempt + 1
        if self.state is GangState.ASSIGNING:
            return self.attempt
        return None

    def waiting(self) -> list[tuple[AllocationKey, TaskEntry]]:
        """Members without a machine."""
        return [
            (allocation, entry)  # a typed pair takes four times as long, in every placement round
            for allocation, entries in self._entries.items()
            for entry in entries
            if entry.state == records.FREE
        ]

    @property
    def whole(self) -> bool:
        """Whether every member is in this partition, with a machine or waiting for one."""
        return len(self.members) + len(self.waiting()) >= self.size

    def to_stop(self) -> list[TaskAttempt]:
        """Members that have to be told to stop because of what became of the others."""
        staying = [m for m in self.members.values() if not m.stop_requested and m.phase < AttemptPhase.STOPPING]
        if self.state is GangState.STOPPING:
            return staying
        if self.state is GangState.ENDED:
            # These can't be found to have completed by waiting: nobody may ever have started them here.
            return [member for member in staying if member.phase < AttemptPhase.RUNNING]
        return []

    def grace_s(self) -> float:
        """Seconds that members get to checkpoint. All do or none: there is nothing to keep once one has left."""
        if any(member.phase >= AttemptPhase.EXITED for member in self.members.values()):
            return 0.0
        requested = [member.grace_s for member in self.members.values() if member.stop_requested]
        return min(requested, default=0.0)


class Gangs:
    """The gangs of one partition, and which of them changed since members to stop were last asked for."""

    def __init__(self) -> None:
        self._attempts: dict[str, GangAttempt] = {}
        self._changed: dict[str, None] = {}

    def get(self, job: str) -> GangAttempt | None:
        """A gang by its job."""
        return self._attempts.get(job)

    def track(self, job: str, size: int, checkpoint_grace_s: float = 0.0) -> GangAttempt:
        """A gang, new or known, which counts as changed."""
        gang = self._attempts.get(job)
        if gang is None:
            gang = self._attempts[job] = GangAttempt(job, size, checkpoint_grace_s)
        self._changed[job] = None
        return gang

    def mark_changed(self, job: str) -> None:
        """A task of the job changed; if the job is a gang, its state is derived again."""
        if job in self._attempts:
            self._changed[job] = None

    def drop(self, job: str) -> None:
        """The job has ended, was cancelled, or has left the partition."""
        self._attempts.pop(job, None)
        self._changed.pop(job, None)

    def members_to_stop(self) -> list[MemberStop]:
        """Derives the states of changed gangs; returns the members that have to stop because of that."""
        out: list[MemberStop] = []
        while self._changed:
            gang = self._attempts[next(iter(self._changed))]
            del self._changed[gang.job]
            gang.update_state()
            grace_s = gang.grace_s()
            out += [MemberStop(member, grace_s) for member in gang.to_stop()]
        return out
