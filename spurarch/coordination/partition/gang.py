"""Gangs: jobs whose tasks run at the same time or not at all. No I/O and no clock.

All members of a gang are in one partition. They share the number of their attempt, by which workers find each other, so
a number is never used for two sets of machines. The partition owner therefore relies on three rules:

- It sends start commands only when the records assign *every* member under the same number. The next owner of the
  partition reads the same records, and repeats either all of these starts or none.
- The attempt has failed once a member has left its machine without completing, or has to be stopped: the owner stops
  the other members, and assigns the next number only when the records show that no member is assigned any more.
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
    """Progress of the newest attempt of a gang."""

    WAITING = "waiting"  # no member is assigned
    ASSIGNING = "assigning"  # the records assign some members; no start command of this attempt was sent
    STARTING = "starting"  # all members are assigned; they are started and fetch their image
    GATHERING = "gathering"  # a member waits for the other members
    RUNNING = "running"
    STOPPING = "stopping"  # the attempt has failed; its members are stopped
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
    """A member that has to be stopped, and the seconds that it gets to checkpoint."""

    member: TaskAttempt
    grace_s: float


class GangAttempt:
    """The newest attempt of one gang, built by the partition owner from records and heartbeats.

    Attributes:
        size: Number of members.
        checkpoint_grace_s: Seconds that members get to checkpoint when they are stopped; 0 if they never checkpoint.
        attempt: The highest attempt number that a record of the gang has held.
        members: The assigned members, by task index.
    """

    def __init__(self, job: str, size: int, checkpoint_grace_s: float) -> None:
        self.job, self.size = job, size
        self.checkpoint_grace_s = checkpoint_grace_s
        self.state = GangState.WAITING
        self.attempt = 0
        self.members: dict[int, TaskAttempt] = {}
        self._entries: dict[AllocationKey, list[TaskEntry]] = {}

    # Records and heartbeats

    def apply_record(self, allocation: AllocationKey, entries: list[TaskEntry] | None) -> None:
        """Applies one allocation record, or its removal."""
        if entries is None:
            self._entries.pop(allocation, None)
        else:
            self._entries[allocation] = entries
            self.attempt = max([self.attempt, *(entry.attempt for entry in entries)])

    def update_state(self) -> None:
        """Derives the state from the current records and members."""
        state = self._derived_state()
        if state is self.state:
            return
        if state not in _NEXT_STATES[self.state]:
            return  # derived from a member's older message; an attempt that has started never returns to earlier states
        log.debug("gang state changed job=%s attempt=%d state=%s", self.job, self.attempt, state.value)
        self.state = state

    def _derived_state(self) -> GangState:
        members = self.members.values()
        if self._completed():
            return GangState.ENDED
        if not members:
            return GangState.WAITING
        if self._has_failed():
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

    def _has_failed(self) -> bool:
        """Whether a member has left, is being stopped, or was assigned under another number than the others."""
        if any(member.stop_requested or member.phase >= AttemptPhase.STOPPING for member in self.members.values()):
            return True
        if any(member.number != self.attempt for member in self.members.values()):
            return True
        # An unassigned member with the newest number was assigned under it, and has left its machine.
        return any(e.state != records.ASSIGNED and e.attempt >= self.attempt for e in self._all_entries())

    def _all_entries(self) -> Iterable[TaskEntry]:
        for entries in self._entries.values():
            yield from entries

    # Decisions

    @property
    def startable(self) -> bool:
        """Whether members may be started: the records assign all of them under one number."""
        return self.state in _STARTABLE and len(self.members) == self.size

    def next_attempt(self) -> int | None:
        """Returns the attempt number for members that are assigned now, or None while none may be assigned."""
        if self.state is GangState.WAITING:
            return self.attempt + 1
        if self.state is GangState.ASSIGNING:
            return self.attempt
        return None

    def unassigned_members(self) -> list[tuple[AllocationKey, TaskEntry]]:
        """Returns the unassigned members."""
        return [
            (allocation, entry)  # a plain tuple; a typed pair takes four times as long, in every placement round
            for allocation, entries in self._entries.items()
            for entry in entries
            if entry.state == records.UNASSIGNED
        ]

    @property
    def all_members_present(self) -> bool:
        """Whether all members are in this partition, assigned or unassigned."""
        return len(self.members) + len(self.unassigned_members()) >= self.size

    def to_stop(self) -> list[TaskAttempt]:
        """Returns the members to stop because another one completed, is being stopped or left without completing."""
        unstopped = [m for m in self.members.values() if not m.stop_requested and m.phase < AttemptPhase.STOPPING]
        if self.state is GangState.STOPPING:
            return unstopped
        if self.state is GangState.ENDED:
            # Members that do not run were possibly never started; their completion is then never reported.
            return [member for member in unstopped if member.phase < AttemptPhase.RUNNING]
        return []

    def grace_s(self) -> float:
        """Returns the seconds that further members to be stopped get to checkpoint.

        That is the shortest grace period of the members whose stop was requested; 0 if there is none, or once a member
        has left, as members only checkpoint together.
        """
        if any(member.phase >= AttemptPhase.EXITED for member in self.members.values()):
            return 0.0
        requested = [member.grace_s for member in self.members.values() if member.stop_requested]
        return min(requested, default=0.0)


class Gangs:
    """The gangs of one partition, and those that changed since the last call of `members_to_stop`."""

    def __init__(self) -> None:
        self._attempts: dict[str, GangAttempt] = {}
        self._changed: dict[str, None] = {}

    def get(self, job: str) -> GangAttempt | None:
        """Returns the gang of a job, or None if the job is not a tracked gang."""
        return self._attempts.get(job)

    def track(self, job: str, size: int, checkpoint_grace_s: float = 0.0) -> GangAttempt:
        """Returns the gang of a job, adds it if it is new, and marks it as changed."""
        gang = self._attempts.get(job)
        if gang is None:
            gang = self._attempts[job] = GangAttempt(job, size, checkpoint_grace_s)
        self._changed[job] = None
        return gang

    def mark_changed(self, job: str) -> None:
        """Marks the job's gang as changed; does nothing for a job that is not a tracked gang."""
        if job in self._attempts:
            self._changed[job] = None

    def drop(self, job: str) -> None:
        """Stops tracking the gang of a job that ended, was cancelled or left the partition."""
        self._attempts.pop(job, None)
        self._changed.pop(job, None)

    def members_to_stop(self) -> list[MemberStop]:
        """Derives the states of changed gangs; returns the members that have to be stopped as a result."""
        out: list[MemberStop] = []
        while self._changed:
            gang = self._attempts[next(iter(self._changed))]
            del self._changed[gang.job]
            gang.update_state()
            grace_s = gang.grace_s()
            out += [MemberStop(member, grace_s) for member in gang.to_stop()]
        return out
