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


class AttemptPhase(enum.IntEnum):
    """Where a task stands on its machine."""

    ASSIGNED = 0  # recorded; no command has been sent by this process
    STARTING = 1  # a start command was sent
    FETCHING = 2
    GATHERING = 3  # a gang's task that waits for the others of its attempt
    RUNNING = 4
    STOPPING = 5
    EXITED = 6  # reported as ended; the end is not recorded yet
    GONE = 7  # proved to be off its machine; that is not recorded yet


_SEEN = {
    AttemptPhase.FETCHING,
    AttemptPhase.GATHERING,
    AttemptPhase.RUNNING,
    AttemptPhase.STOPPING,
    AttemptPhase.EXITED,
    AttemptPhase.GONE,
}
_NEXT = {
    AttemptPhase.ASSIGNED: {AttemptPhase.STARTING} | _SEEN,
    AttemptPhase.STARTING: _SEEN,
    AttemptPhase.FETCHING: {
        AttemptPhase.GATHERING,
        AttemptPhase.RUNNING,
        AttemptPhase.STOPPING,
        AttemptPhase.EXITED,
        AttemptPhase.GONE,
    },
    AttemptPhase.GATHERING: {AttemptPhase.RUNNING, AttemptPhase.STOPPING, AttemptPhase.EXITED, AttemptPhase.GONE},
    AttemptPhase.RUNNING: {AttemptPhase.FETCHING, AttemptPhase.STOPPING, AttemptPhase.EXITED, AttemptPhase.GONE},
    AttemptPhase.STOPPING: {AttemptPhase.EXITED, AttemptPhase.GONE},
    AttemptPhase.EXITED: set(),
    AttemptPhase.GONE: set(),
}


@dataclass(slots=True)
class TaskAttempt:
    """A task that the records assign to a machine."""

    allocation: AllocationKey
    index: int
    number: int
    machine: str
    incarnation: int
    assigned_at: float
    phase: AttemptPhase = AttemptPhase.ASSIGNED
    exit_reason: str | None = None
    stop_requested: bool = False  # it has to leave its machine
    grace_s: float = 0.0
    stop_acknowledged_at: float | None = None  # when the worker confirmed that it was told to save and leave
    start_sent_seq: int = -1  # the start was handed to the worker no later than its message with this number
    running_at: float | None = None
    terminated_at: float = 0.0  # when its end was proved
    job_cancelled_at: float | None = None  # its job was cancelled then, so far as is known

    @property
    def key(self) -> tuple[str, int]:
        """Job and index."""
        return self.allocation.job, self.index

    def transition(self, phase: AttemptPhase, why: str | None = None) -> bool:
        """Changes the phase if that is a step a task can take; anything else is old news."""
        if phase not in _NEXT[self.phase]:
            return False
        self.phase = phase
        if phase is AttemptPhase.EXITED:
            self.exit_reason = why
        return True


class MachineState(enum.Enum):
    """Where a machine stands."""

    UNCONFIRMED = "unknown"  # on record, or reporting, but it has not yet shown a token of ours
    ACTIVE = "known"
    LEASE_EXPIRED = "lost"  # silent for so long that its worker's lease has certainly run out
    RELEASED = "gone"  # the cloud confirmed its return


_MACHINE_NEXT = {
    MachineState.UNCONFIRMED: {MachineState.ACTIVE, MachineState.RELEASED},
    MachineState.ACTIVE: {MachineState.LEASE_EXPIRED, MachineState.RELEASED},
    MachineState.LEASE_EXPIRED: {MachineState.ACTIVE, MachineState.RELEASED},
    MachineState.RELEASED: set(),
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
    schedulable: bool = True  # takes new tasks
    state: MachineState = MachineState.UNCONFIRMED
    incarnation: int = 0
    heartbeat_seq: int = -1
    expired_incarnation: int = -1
    token_counter: int = 1  # low part of the token that this machine is given
    first_token_counter: int = 1  # the first of them that it was given: no answer ever carried one as high before
    acknowledged_counter: int = 0  # the highest of them that it has shown
    token_offered_at: float | None = None  # when it was first answered with `counter`, if it has not shown that yet
    token_offered_seq: tuple[int, int] = (0, 0)  # its newest message then
    acknowledged_at: float | None = None  # it last showed what only an answer of ours could have told it
    responses_lost: bool = False  # its reports arrive, but it shows nothing of our answers
    fence_token: int = 0  # commands with tokens below this may still arrive late unless the worker has seen it
    highest_token_seen: int = 0
    commands_in_flight: int = 0  # direct commands without an answer yet
    last_heartbeat_at: float | None = None  # receipt of its newest message
    termination_notice_until: float | None = None
    attempts: dict[tuple[str, int], TaskAttempt] = field(default_factory=dict)
    to_forget: dict[tuple[str, int], int] = field(default_factory=dict)
    unarchived: dict[tuple[str, int], int] = field(default_factory=dict)  # of `forget`, revisions of the records
    cached_images: set[int] = field(default_factory=set)  # seen in use here: a task with this image has run
    idle_since: float | None = None
    cancelled_task_since: float | None = (
        None  # it fell silent with a task that was cancelled then, and may hang with it still
    )
    task_failures: int = 0
    quarantined_until: float = 0.0
    backoff_until: float = 0.0  # it refused a task; too short a while to go on record
    releasing: bool = False
    draining: bool = False  # consolidation lets its tasks end or move, and sends it no new ones
    release_after: float = 0.0
    next_command_at: float = 0.0
    last_task_statuses: list[wire.TaskStatus] | None = (
        None  # what the newest report showed, unless tasks were assigned since
    )

    def transition(self, state: MachineState) -> bool:
        """Changes the standing if that is a step a machine can take."""
        if state not in _MACHINE_NEXT[self.state]:
            return False
        self.state = state
        return True

    def acknowledge(self, fencing_token: int, counter: int, now: float) -> None:
        """The worker showed a fencing token; one that is higher than those before proves that our answers arrive."""
        self.highest_token_seen = max(self.highest_token_seen, fencing_token)
        if counter > self.acknowledged_counter:
            self.acknowledged_counter = counter
            self.acknowledged_at = now
            if self.acknowledged_counter >= self.token_counter:
                self.token_offered_at = None
                self.responses_lost = False

    def overdue_since(self) -> float | None:
        """Since when a cancelled task may be on the machine without having shown that it left; None if there is none."""
        times = [
            attempt.job_cancelled_at
            for attempt in self.attempts.values()
            if attempt.job_cancelled_at is not None and attempt.phase < AttemptPhase.EXITED
        ]
        if self.cancelled_task_since is not None:
            times.append(self.cancelled_task_since)
        return min(times, default=None)

    @property
    def fenced(self) -> bool:
        """No command that went unanswered can act any more."""
        return self.commands_in_flight == 0 and self.highest_token_seen >= self.fence_token

    def is_schedulable(self, now: float) -> bool:
        """May take new tasks: it is willing, and on record as that."""
        return self.schedulable and now >= self.backoff_until and self.can_accept_tasks(now)

    def can_accept_tasks(self, now: float) -> bool:
        """Nothing speaks against new tasks."""
        return (
            self.state is MachineState.ACTIVE
            and not self.releasing
            and not self.draining
            and not self.responses_lost
            and self.termination_notice_until is None
            and now >= self.quarantined_until
        )

    def lease_expired(self, now: float, lease_s: float) -> bool:
        """The worker's lease has run out for certain.

        Only we can renew it: it has shown our token, and drops whatever carries a lower one. A renewal counts from the
        sending of a report, and every report that it has sent so far was sent before we received its newest message.
        Late copies of older ones therefore renew nothing, though they are answered, and don't count.
        """
        return (
            self.state is MachineState.ACTIVE
            and self.last_heartbeat_at is not None
            and now - self.last_heartbeat_at > lease_s * DRIFT + LEASE_MARGIN_S
        )


_OBSERVED = {
    wire.FETCHING: AttemptPhase.FETCHING,
    wire.GATHERING: AttemptPhase.GATHERING,
    wire.RUNNING: AttemptPhase.RUNNING,
    wire.CHECKPOINTING: AttemptPhase.STOPPING,
    wire.EXITED: AttemptPhase.EXITED,
}


def observed_phase(task: wire.TaskStatus) -> AttemptPhase | None:
    """The phase that a report shows, or None for a state that this version does not know."""
    return _OBSERVED.get(task.state)
