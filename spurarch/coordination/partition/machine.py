"""State machines of task attempts and machines, as tracked by the partition owner. No I/O.

    ASSIGNED -> STARTING -> FETCHING -> (GATHERING ->) RUNNING -> (STOPPING ->) EXITED
        any phase before EXITED -> GONE once it is proved that the task is no longer on the machine

Phases can be skipped, since the worker's messages need not arrive in time. A running task whose worker reports it as
fetching returns to FETCHING. An attempt is removed once the records no longer assign it, which is usually after its
exit or absence has been recorded.

Every change of an attempt's phase is checked by `TaskAttempt.transition`, which `PartitionState.transition` calls, and
every change of a machine's state by `Machine.transition`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from msgspec import Struct

from spurarch.coordination.partition.ended_attempts import CommandPath
from spurarch.protocol import wire
from spurarch.storage.records import AllocationKey, TaskKey

LEASE_MARGIN_S = 0.5


class AttemptPhase(enum.IntEnum):
    """Progress of an attempt on its machine."""

    ASSIGNED = 0  # by the allocation record; this process has neither sent a start command nor requested a stop
    STARTING = 1  # a start was sent, or a stop was requested and an earlier owner or process can have sent a start
    FETCHING = 2
    GATHERING = 3  # a gang member that waits for the other members of its attempt
    RUNNING = 4
    STOPPING = 5
    EXITED = 6  # the worker reported the exit; the allocation record still assigns the task
    GONE = 7  # proved to be no longer on its machine; the allocation record still assigns the task


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
    """One attempt of a task, assigned to a machine by the allocation records.

    Times are in seconds of the monotonic clock.

    Attributes:
        incarnation: The incarnation of the worker that it was assigned to.
        exit_reason: Why it exited, as reported by the worker; set in phase EXITED.
        stop_requested: It has to be stopped.
        grace_s: Seconds that it gets to checkpoint when it is stopped.
        assigned_at: When this owner first read the assignment, not when the assignment was decided.
        stop_acknowledged_at: When the worker's response to direct commands confirmed a stop command.
        running_at: When its phase last became RUNNING, by a message of the worker.
        start_token_counter: At least as high as the token counter of every message that carried a start command for it.
        start_path: How this owner sent its newest start command; None if it sent none.
        terminated_at: When its exit or absence was proved.
        job_cancelled_at: When its job was cancelled; None if no cancellation has been observed.
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
    start_token_counter: int = 0
    start_path: CommandPath | None = None
    running_at: float | None = None
    terminated_at: float = 0.0
    job_cancelled_at: float | None = None

    @property
    def key(self) -> TaskKey:
        """Job and index of the task."""
        return self.allocation.job, self.index

    def transition(self, phase: AttemptPhase, exit_reason: str | None = None) -> bool:
        """Changes the phase; returns False if it cannot follow the current one, as when an older message arrives."""
        if phase not in _NEXT_PHASES[self.phase]:
            return False
        self.phase = phase
        if phase is AttemptPhase.EXITED:
            self.exit_reason = exit_reason
        return True


class ExitedAttempt(Struct):
    """An attempt that its worker still lists as exited; `start_token_counter` is as in `TaskAttempt`."""

    task: str
    number: int
    start_token_counter: int


def rejects_start(token_counter: int, start_token_counter: int) -> bool:
    """Whether a worker that has received one token rejects a start command that was sent with another.

    A worker executes direct commands, however late or often they arrive, while it has received no higher token, and it
    drops a heartbeat response with a lower token. So a higher token is the only proof that a start command cannot take
    effect any more. An answer to the command proves nothing, as a copy of the command can still arrive; nor does the
    absence of unanswered commands, or any length of time. Commands to an earlier incarnation are always rejected.

    A worker may be told to forget an attempt by a message whose token rejects the attempt's start, since it compares
    the token before it executes the commands. A worker's message that carries such a token and does not list the
    attempt proves that the attempt is not on the machine and never will be.

    Args:
        token_counter: Counter of the fencing token that the worker has received.
        start_token_counter: Counter of the newest message that carried the start command.
    """
    return token_counter > start_token_counter


class MachineState(enum.Enum):
    """State of a machine, as established by this owner."""

    UNCONFIRMED = "unconfirmed"  # recorded or sending heartbeats, but has acknowledged no fencing token of this owner
    ACTIVE = "active"
    LEASE_EXPIRED = "lease-expired"  # no heartbeat for long enough that its worker's lease must have expired
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

    Times are in seconds of the monotonic clock.

    Attributes:
        schedulable: The machine record allows new tasks.
        incarnation: The newest incarnation of its worker.
        heartbeat_seq: Sequence number of the newest message applied from that incarnation.
        expired_incarnation: The newest incarnation whose lease expired.
        token_counter: Low bits of the fencing token that responses and commands to it carry now.
        first_token_counter: The first `token_counter` issued to it; all earlier messages of this owner carried lower
            ones.
        acknowledged_token_counter: The highest counter that it has acknowledged, by a message that carries it.
        token_offered_at: Since when an acknowledgement of the counter in heartbeat responses is awaited, to find out
            whether the responses arrive; None while none is awaited. A counter that is raised only to have the worker
            reject start commands doesn't set it.
        token_acknowledged_at: When it last acknowledged a higher counter, which only this owner can have sent to it.
        responses_lost: Its heartbeats arrive, but it does not acknowledge the token in the heartbeat responses.
        start_token_counter: The highest counter of a message to it that carried a start command.
        commands_in_flight: Requests with direct commands that have no response yet.
        last_heartbeat_at: When its newest message was received.
        termination_notice_until: When the cloud terminates the machine; None without a termination notice.
        exits_to_forget: Exited attempts that the worker need not list any more, by task.
        unarchived_exits: By task of `exits_to_forget`, the revision that has to be archived before the worker may
            forget the exit.
        cached_images: Images of tasks that have run on it.
        unrecorded_tasks: The tasks of its newest message that are on the machine although no record assigns them to it,
            or although their end was proved; exits in `exits_to_forget` are left out.
        unrecorded_cancellation_at: Earliest cancellation of such a task.
        unconfirmed_cancellation_at: Earliest cancellation of a task that was on it when its lease expired; a hung
            machine possibly still runs the task.
        task_failures: Number of task failures attributed to it.
        quarantined_until: Until then it is assigned no tasks because tasks failed on it.
        backoff_until: Until then it is assigned no tasks because it refused one; too short to be recorded.
        releasing: Its release is in progress.
        draining: Consolidation empties it: its tasks end or are migrated, and it is assigned no new ones.
        release_after: When its release may be tried again.
        next_command_at: When direct commands may be sent to it again.
        last_task_statuses: Task statuses of its newest message; None if its attempts have changed since.
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
    acknowledged_token_counter: int = 0
    token_offered_at: float | None = None
    token_acknowledged_at: float | None = None
    responses_lost: bool = False
    start_token_counter: int = 0
    commands_in_flight: int = 0
    last_heartbeat_at: float | None = None
    termination_notice_until: float | None = None
    attempts: dict[TaskKey, TaskAttempt] = field(default_factory=dict)
    exits_to_forget: dict[TaskKey, ExitedAttempt] = field(default_factory=dict)
    unarchived_exits: dict[TaskKey, int] = field(default_factory=dict)
    unrecorded_tasks: list[wire.TaskStatus] = field(default_factory=list)
    unrecorded_cancellation_at: float | None = None
    cached_images: set[int] = field(default_factory=set)
    idle_since: float | None = None
    unconfirmed_cancellation_at: float | None = None
    task_failures: int = 0
    quarantined_until: float = 0.0
    backoff_until: float = 0.0
    releasing: bool = False
    draining: bool = False
    release_after: float = 0.0
    next_command_at: float = 0.0
    last_task_statuses: list[wire.TaskStatus] | None = None

    def transition(self, state: MachineState) -> bool:
        """Changes the state; returns False if it cannot follow the current one."""
        if state not in _NEXT_STATES[self.state]:
            return False
        self.state = state
        return True

    def has_applied(self, heartbeat: wire.Heartbeat) -> bool:
        """Whether this message of the worker, or a newer one, has been applied."""
        return (heartbeat.incarnation, heartbeat.seq) <= (self.incarnation, self.heartbeat_seq)

    def acknowledge(self, counter: int, now: float) -> None:
        """Records the token counter of a worker's message.

        A higher counter than before proves that the worker received a heartbeat response or direct commands with it.
        """
        if counter > self.acknowledged_token_counter:
            self.acknowledged_token_counter = counter
            self.token_acknowledged_at = now
            if self.acknowledged_token_counter >= self.token_counter:
                self.token_offered_at = None
                self.responses_lost = False

    def earliest_cancellation_at(self) -> float | None:
        """Returns when the earliest cancelled task that can still run here was cancelled; None without such a task."""
        times = [
            attempt.job_cancelled_at
            for attempt in self.attempts.values()
            if attempt.job_cancelled_at is not None and attempt.phase < AttemptPhase.EXITED
        ]
        without_attempt = (self.unconfirmed_cancellation_at, self.unrecorded_cancellation_at)
        times += [cancelled_at for cancelled_at in without_attempt if cancelled_at is not None]
        return min(times, default=None)

    @property
    def is_empty(self) -> bool:
        """Whether it has no tasks, neither by the records nor by its newest message."""
        return not self.attempts and not self.unrecorded_tasks

    @property
    def listed_without_record(self) -> int:
        """How many tasks its newest message lists that no record assigns to it: exits, and unrecorded tasks."""
        return len(self.exits_to_forget) + len(self.unrecorded_tasks)

    def lists_unrecorded(self, task: wire.TaskStatus) -> bool:
        """Whether a task that its worker lists is not, or no longer, assigned to it.

        That includes an attempt that runs although its end was proved: the message is newer than the proof.
        """
        key = wire.split_task(task.task)
        attempt = self.attempts.get(key) if key else None
        if attempt is None or attempt.number != task.attempt:
            return True
        return attempt.phase >= AttemptPhase.EXITED and task.state != wire.EXITED

    def start_planned(self, attempt: TaskAttempt, path: CommandPath) -> None:
        """Notes that a message with the current token carries a start command for the attempt."""
        attempt.start_path = path
        attempt.start_token_counter = self.start_token_counter = self.token_counter

    def is_schedulable(self, now: float) -> bool:
        """Whether it may be assigned new tasks.

        That is so if it can accept them, its record has it as schedulable, and it hasn't refused a task recently.
        """
        return self.schedulable and now >= self.backoff_until and self.can_accept_tasks(now)

    def can_accept_tasks(self, now: float) -> bool:
        """Whether it is active, receives responses, and is not quarantined, draining, terminating or being released."""
        return (
            self.state is MachineState.ACTIVE
            and not self.releasing
            and not self.draining
            and not self.responses_lost
            and self.termination_notice_until is None
            and now >= self.quarantined_until
        )

    def lease_expired(self, now: float, lease_s: float) -> bool:
        """Whether the lease of an active machine's worker must have expired.

        Only this owner can renew the lease: the worker has acknowledged this owner's fencing token and rejects lower
        ones. A renewal counts from the time at which the worker sent the heartbeat, and everything received so far was
        sent before `last_heartbeat_at`. Responses to late copies of older heartbeats therefore renew nothing.
        """
        return (
            self.state is MachineState.ACTIVE
            and self.last_heartbeat_at is not None
            and now - self.last_heartbeat_at > lease_s * wire.MAX_CLOCK_RATE_RATIO + LEASE_MARGIN_S
        )


_PHASES_BY_REPORTED_STATE = {
    wire.FETCHING: AttemptPhase.FETCHING,
    wire.GATHERING: AttemptPhase.GATHERING,
    wire.RUNNING: AttemptPhase.RUNNING,
    wire.CHECKPOINTING: AttemptPhase.STOPPING,
    wire.EXITED: AttemptPhase.EXITED,
}


def reported_phase(task: wire.TaskStatus) -> AttemptPhase | None:
    """Returns the phase for the task state that a worker reported, or None for an unknown state of a newer worker."""
    return _PHASES_BY_REPORTED_STATE.get(task.state)
