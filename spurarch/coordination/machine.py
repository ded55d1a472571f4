"""The life of a task on a machine, and of a machine, as the owner of a part sees them. No I/O.

    ASSIGNED -> STARTING -> FETCHING -> (GATHERING ->) RUNNING -> (STOPPING ->) EXITED -> forgotten
        any of them -> GONE once it is proved that the machine no longer has the task

`TaskAttempt.advance` makes every change of a task's phase and `Machine.advance` every change of a machine's.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from spurarch.protocol import wire
from spurarch.storage.records import AllocationKey

DRIFT = 1.001
LEASE_MARGIN_S = 0.5


class Phase(enum.IntEnum):
    """Where a task stands on its machine."""

    ASSIGNED = 0  # recorded; no command has been sent by this process
    STARTING = 1  # a start command was sent
    FETCHING = 2
    GATHERING = 3  # a gang's task that waits for the others of its attempt
    RUNNING = 4
    STOPPING = 5
    EXITED = 6  # reported as ended; the end is not recorded yet
    GONE = 7  # proved to be off its machine; that is not recorded yet


_SEEN = {Phase.FETCHING, Phase.GATHERING, Phase.RUNNING, Phase.STOPPING, Phase.EXITED, Phase.GONE}
_NEXT = {
    Phase.ASSIGNED: {Phase.STARTING} | _SEEN,
    Phase.STARTING: _SEEN,
    Phase.FETCHING: {Phase.GATHERING, Phase.RUNNING, Phase.STOPPING, Phase.EXITED, Phase.GONE},
    Phase.GATHERING: {Phase.RUNNING, Phase.STOPPING, Phase.EXITED, Phase.GONE},
    Phase.RUNNING: {Phase.FETCHING, Phase.STOPPING, Phase.EXITED, Phase.GONE},
    Phase.STOPPING: {Phase.EXITED, Phase.GONE},
    Phase.EXITED: set(),
    Phase.GONE: set(),
}


@dataclass(slots=True)
class TaskAttempt:
    """A task that the records assign to a machine."""

    where: AllocationKey
    index: int
    attempt: int
    machine: str
    session: int
    since: float
    phase: Phase = Phase.ASSIGNED
    why: str | None = None
    stop: bool = False  # it has to leave its machine
    grace_s: float = 0.0
    stop_heard_at: float | None = None  # when the worker confirmed that it was told to save and leave
    sent_seq: int = -1  # the start was handed to the worker no later than its message with this number
    running_at: float | None = None
    over_at: float = 0.0  # when its end was proved
    revoked_at: float | None = None  # its job was cancelled then, so far as is known

    @property
    def key(self) -> tuple[str, int]:
        """Job and index."""
        return self.where.job, self.index

    def advance(self, phase: Phase, why: str | None = None) -> bool:
        """Changes the phase if that is a step a task can take; anything else is old news."""
        if phase not in _NEXT[self.phase]:
            return False
        self.phase = phase
        if phase is Phase.EXITED:
            self.why = why
        return True


class Standing(enum.Enum):
    """Where a machine stands."""

    UNKNOWN = "unknown"  # on record, or reporting, but it has not yet shown a token of ours
    KNOWN = "known"
    LOST = "lost"  # silent for so long that its worker's lease has certainly run out
    GONE = "gone"  # the cloud confirmed its return


_MACHINE_NEXT = {
    Standing.UNKNOWN: {Standing.KNOWN, Standing.GONE},
    Standing.KNOWN: {Standing.LOST, Standing.GONE},
    Standing.LOST: {Standing.KNOWN, Standing.GONE},
    Standing.GONE: set(),
}


@dataclass(slots=True)
class Machine:
    """A machine of a part."""

    name: str
    zone: str
    type: str
    spot: bool
    addr: str
    first_seen: float
    open: bool = True  # takes new tasks
    standing: Standing = Standing.UNKNOWN
    session: int = 0
    seq: int = -1
    lost_session: int = -1
    counter: int = 1  # low part of the token that this machine is given
    birth: int = 1  # the first of them that it was given: no answer ever carried one as high before
    shown: int = 0  # the highest of them that it has shown
    asked_at: float | None = None  # when it was first answered with `counter`, if it has not shown that yet
    asked_seq: tuple[int, int] = (0, 0)  # its newest message then
    confirmed_at: float | None = None  # it last showed what only an answer of ours could have told it
    deaf: bool = False  # its reports arrive, but it shows nothing of our answers
    fence: int = 0  # commands with tokens below this may still arrive late unless the worker has seen it
    token_seen: int = 0
    in_flight: int = 0  # direct commands without an answer yet
    heard_at: float | None = None  # receipt of its newest message
    notice_until: float | None = None
    runs: dict[tuple[str, int], TaskAttempt] = field(default_factory=dict)
    forget: dict[tuple[str, int], int] = field(default_factory=dict)
    unarchived: dict[tuple[str, int], int] = field(default_factory=dict)  # of `forget`, revisions of the records
    images: set[int] = field(default_factory=set)  # seen in use here: a task with this image has run
    idle_since: float | None = None
    revoked_at: float | None = None  # it fell silent with a task that was cancelled then, and may hang with it still
    failures: int = 0
    avoid_until: float = 0.0
    pause_until: float = 0.0  # it refused a task; too short a while to go on record
    returning: bool = False
    emptying: bool = False  # consolidation lets its tasks end or move, and sends it no new ones
    return_after: float = 0.0
    direct_after: float = 0.0
    tasks_seen: list[wire.TaskStatus] | None = None  # what the newest report showed, unless tasks were assigned since

    def advance(self, standing: Standing) -> bool:
        """Changes the standing if that is a step a machine can take."""
        if standing not in _MACHINE_NEXT[self.standing]:
            return False
        self.standing = standing
        return True

    @property
    def fenced(self) -> bool:
        """No command that went unanswered can act any more."""
        return self.in_flight == 0 and self.token_seen >= self.fence

    def usable(self, now: float) -> bool:
        """May take new tasks: it is willing, and on record as that."""
        return self.open and now >= self.pause_until and self.willing(now)

    def willing(self, now: float) -> bool:
        """Nothing speaks against new tasks."""
        return (
            self.standing is Standing.KNOWN
            and not self.returning
            and not self.emptying
            and not self.deaf
            and self.notice_until is None
            and now >= self.avoid_until
        )

    def lease_out(self, now: float, lease_s: float) -> bool:
        """The worker's lease has run out for certain.

        Only we can renew it: it has shown our token, and drops whatever carries a lower one. A renewal counts from the
        sending of a report, and every report that it has sent so far was sent before we received its newest message.
        Late copies of older ones therefore renew nothing, though they are answered, and don't count.
        """
        return (
            self.standing is Standing.KNOWN
            and self.heard_at is not None
            and now - self.heard_at > lease_s * DRIFT + LEASE_MARGIN_S
        )


_OBSERVED = {
    wire.FETCHING: Phase.FETCHING,
    wire.GATHERING: Phase.GATHERING,
    wire.RUNNING: Phase.RUNNING,
    wire.CHECKPOINTING: Phase.STOPPING,
    wire.EXITED: Phase.EXITED,
}


def observed_phase(task: wire.TaskStatus) -> Phase | None:
    """The phase that a report shows, or None for a state that this version does not know."""
    return _OBSERVED.get(task.state)
