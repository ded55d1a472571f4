"""State machines of a task attempt and of a machine, as the partition's owner sees them. No I/O.

    ASSIGNED -> STARTING -> FETCHING -> (GATHERING ->) RUNNING -> (STOPPING ->) EXITED -> forgotten
        any of them -> GONE once it is proved that the machine no longer has the task

`TaskAttempt.transition` makes every change of an attempt's phase, `Machine.transition` every change of a machine's
state.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from spurarch.protocol import wire
from spurarch.storage.records import AllocationKey

CLOCK_DRIFT = 1.001  # between the clocks of a worker and of its owner, as a factor
LEASE_MARGIN_S = 0.5

TaskKey = tuple[str, int]  # job and index; plain, since every heartbeat makes and compares one for each of its tasks


class AttemptPhase(enum.IntEnum):
    """How far an attempt is on its machine."""

    ASSIGNED = 0  # on record; this process has sent no command
    STARTING = 1  # a start command was sent
    FETCHING = 2
    GATHERING = 3  # a member of a gang that waits for the others of its attempt
    RUNNING = 4
    STOPPING = 5
    EXITED = 6  # the worker reported its end, which is not on record yet
    GONE = 7  # proved to be off its machine, which is not on record yet


_AFTER_START = {
    AttemptPhase.FETCHING,
    AttemptPhase.GATHERING,
    AttemptPhase.RUNNING,
    AttemptPhase.STOPPING,
    AttemptPhase.EXITED,
    AttemptPhase.GONE,
}
_NEXT_PHASES = {
    AttemptPhase.ASSIGNED: {AttemptPhase.STARTING} | _AFTER_START,
    AttemptPhase.STARTING: _AFTER_START,
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
    """One attempt of a task, which the records assign to a machine.

    Attributes:
        incarnation: The worker's incarnation that it was assigned to.
        exit_reason: Why it ended, as the worker says; set in phase EXITED.
        stop_requested: It has to leave its machine.
        grace_s: How long it gets to checkpoint when it is told to stop.
        stop_acknowledged_at: When the worker confirmed that it was told to stop.
        start_sent_seq: The start reached the worker no later than its message with this number.
        terminated_at: When its end or absence was proved.
        job_cancelled_at: When its job was cancelled, as far as is known.
    """

    allocation: AllocationKey
    index: int
    number: int
    machine: str
    incarnation: int
    assigned_at: float
    phase: AttemptPhase = AttemptPhase.ASSIGNED
    exit_reason: str | None = None
    stop_requested: bool = False
    grace_s: float = 0.0
    stop_acknowledged_at: float | None = None
    start_sent_seq: int = -1
    running_at: float | None = None
    terminated_at: float = 0.0
    job_cancelled_at: float | None = None

    @property
    def key(self) -> TaskKey:
        """Job and index of its task."""
        return self.allocation.job, self.index

    def transition(self, phase: AttemptPhase, exit_reason: str | None = None) -> bool:
        """Changes the phase if that is a step an attempt can take; anything else is from an older message."""
        if phase not in _NEXT_PHASES[self.phase]:
            return False
        self.phase = phase
        if phase is AttemptPhase.EXITED:
            self.exit_reason = exit_reason
        return True


class MachineState(enum.Enum):
    """What is known of a machine."""

    UNCONFIRMED = "unconfirmed"  # on record, or sending heartbeats, but it has not yet shown a fencing token of ours
    ACTIVE = "active"
    LEASE_EXPIRED = "lease-expired"  # silent for so long that its worker's lease has certainly expired
    RELEASED = "released"  # the cloud confirmed its release


_NEXT_STATES = {
    MachineState.UNCONFIRMED: {MachineState.ACTIVE, MachineState.RELEASED},
    MachineState.ACTIVE: {MachineState.LEASE_EXPIRED, MachineState.RELEASED},
    MachineState.LEASE_EXPIRED: {MachineState.ACTIVE, MachineState.RELEASED},
    MachineState.RELEASED: set(),
}


@dataclass(slots=True)
class Machine:
    """A machine of a partition.

    Attributes:
        schedulable: On record as taking new tasks.
        incarnation: The newest of its worker that was seen.
        heartbeat_seq: Number of its newest message in that incarnation.
        expired_incarnation: The newest incarnation whose lease expired.
        token_counter: Low part of the fencing token that it is given now.
        first_token_counter: The first that it was given; no answer carried one as high before.
        acknowledged_counter: The highest that it has shown.
        token_offered_at: When it was first answered with `token_counter`, unless it has shown that since.
        acknowledged_at: When it last showed what only an answer of ours could have told it.
        responses_lost: Its heartbeats arrive, but it shows nothing of our answers.
        fence_token: Commands with fencing tokens below this may still arrive, unless the worker has seen it.
        highest_token_seen: The highest fencing token that it has shown.
        commands_in_flight: Direct commands without an answer yet.
        last_heartbeat_at: When its newest message was received.
        termination_notice_until: When the cloud takes it away, if it announced that.
        to_forget: Ended tasks that the worker need not list any more, with their attempts.
        unarchived: Of `to_forget`, revisions of the records that say so and have to be archived first.
        cached_images: Images of tasks that have run here.
        cancelled_task_since: Its lease expired with a task that was cancelled then; it may hang with it still.
        task_failures: Failures that were attributed to it.
        quarantined_until: It is given no tasks until then, since tasks failed here.
        backoff_until: It refused a task; too short a while to go on record.
        releasing: Its release is under way.
        draining: Consolidation lets its tasks end or move, and sends it no new ones.
        release_after: When its release may be tried again.
        next_command_at: When direct commands may be sent to it again.
        last_task_statuses: What its newest message listed, unless tasks were assigned since.
    """

    name: str
    zone: str
    type: str
    spot: bool
    addr: str
    first_seen: float
    schedulable: bool = True
    state: MachineState = MachineState.UNCONFIRMED
    incarnation: int = 0
    heartbeat_seq: int = -1
    expired_incarnation: int = -1
    token_counter: int = 1
    first_token_counter: int = 1
    acknowledged_counter: int = 0
    token_offered_at: float | None = None
    acknowledged_at: float | None = None
    responses_lost: bool = False
    fence_token: int = 0
    highest_token_seen: int = 0
    commands_in_flight: int = 0
    last_heartbeat_at: float | None = None
    termination_notice_until: float | None = None
    attempts: dict[TaskKey, TaskAttempt] = field(default_factory=dict)
    to_forget: dict[TaskKey, int] = field(default_factory=dict)
    unarchived: dict[TaskKey, int] = field(default_factory=dict)
    cached_images: set[int] = field(default_factory=set)
    idle_since: float | None = None
    cancelled_task_since: float | None = None
    task_failures: int = 0
    quarantined_until: float = 0.0
    backoff_until: float = 0.0
    releasing: bool = False
    draining: bool = False
    release_after: float = 0.0
    next_command_at: float = 0.0
    last_task_statuses: list[wire.TaskStatus] | None = None

    def transition(self, state: MachineState) -> bool:
        """Changes the state if that is a step a machine can take."""
        if state not in _NEXT_STATES[self.state]:
            return False
        self.state = state
        return True

    def has_seen(self, heartbeat: wire.Heartbeat) -> bool:
        """Whether this message of its worker, or a newer one, was applied before."""
        return (heartbeat.incarnation, heartbeat.seq) <= (self.incarnation, self.heartbeat_seq)

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
        """Since when a cancelled task may be on the machine, which has not shown that it left; None if none may."""
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
        """No command without an answer can act any more."""
        return self.commands_in_flight == 0 and self.highest_token_seen >= self.fence_token

    def is_schedulable(self, now: float) -> bool:
        """May be given new tasks: it can accept them, and is on record as schedulable."""
        return self.schedulable and now >= self.backoff_until and self.can_accept_tasks(now)

    def can_accept_tasks(self, now: float) -> bool:
        """Whether nothing known here speaks against new tasks."""
        return (
            self.state is MachineState.ACTIVE
            and not self.releasing
            and not self.draining
            and not self.responses_lost
            and self.termination_notice_until is None
            and now >= self.quarantined_until
        )

    def lease_expired(self, now: float, lease_s: float) -> bool:
        """Whether the worker's lease has expired for certain.

        Only this owner can renew it: the worker has shown our fencing token, and drops whatever carries a lower one. A
        renewal counts from the sending of a heartbeat, and every heartbeat that it has sent so far was sent before we
        received its newest message. Late copies of older ones therefore renew nothing, though they are answered.
        """
        return (
            self.state is MachineState.ACTIVE
            and self.last_heartbeat_at is not None
            and now - self.last_heartbeat_at > lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
        )


_OBSERVED = {
    wire.FETCHING: AttemptPhase.FETCHING,
    wire.GATHERING: AttemptPhase.GATHERING,
    wire.RUNNING: AttemptPhase.RUNNING,
    wire.CHECKPOINTING: AttemptPhase.STOPPING,
    wire.EXITED: AttemptPhase.EXITED,
}


def observed_phase(task: wire.TaskStatus) -> AttemptPhase | None:
    """The phase that a worker's message shows, or None for a state that this version does not know."""
    return _OBSERVED.get(task.state)
