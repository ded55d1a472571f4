"""Attempts that are known to have ended, to detect a worker that runs one of them again. No I/O.

An ended attempt must not run again: its task may run on another machine by then. A worker starts an attempt again if a
start command reaches it after the worker has forgotten the attempt. Detection does not prevent that, but shows the
assumption that was wrong: how the end was proved, and what made the worker forget the attempt.
"""

from __future__ import annotations

import enum

from msgspec import Struct

MAX_ENDED_ATTEMPTS = 2000  # of a partition, the newest; a start command that arrives late does so within minutes


class EndProof(enum.Enum):
    """How the end of an attempt was proved."""

    EXIT_REPORTED = "exit-reported"
    NOT_LISTED = "not-listed"  # by a heartbeat with a token for which the worker rejects the start command
    INCARNATION_ENDED = "incarnation-ended"
    LEASE_EXPIRED = "lease-expired"
    MACHINE_RELEASED = "machine-released"


class CommandPath(enum.Enum):
    """How a command reaches a worker."""

    DIRECT = "direct"  # a request to the worker's own address
    HEARTBEAT_RESPONSE = "heartbeat-response"


class SentCommand(Struct, frozen=True):
    """How a command was sent, and the fencing token of the message that carried it."""

    path: CommandPath
    fencing_token: int


class EndedAttempt(Struct):
    """What is known of an ended attempt.

    Attributes:
        proof: How its end was proved.
        start: The newest message of this owner with its start command; None if this owner sent none.
        forget: The first message of this owner that told the worker to forget it, if any.
        job_cancelled_at: When its job was cancelled, in seconds of the monotonic clock; None if it was not.
        reported: A worker has reported it as running again.
    """

    proof: EndProof
    start: SentCommand | None = None
    forget: SentCommand | None = None
    job_cancelled_at: float | None = None
    reported: bool = False

    def description(self) -> str:
        """Returns the key-value pairs of a log line."""
        return f"proof={self.proof.value} {_described('start', self.start)} {_described('forget', self.forget)}"


def _described(command: str, sent: SentCommand | None) -> str:
    path, token = (sent.path.value, sent.fencing_token) if sent is not None else ("none", 0)
    return f"{command}_path={path} {command}_token={token}"


class EndedAttempts:
    """The newest ended attempts of a partition, by machine, name of the task and attempt number."""

    def __init__(self) -> None:
        self._attempts: dict[tuple[str, str, int], EndedAttempt] = {}

    def add(self, machine: str, task: str, number: int, ended: EndedAttempt) -> None:
        """Adds an attempt whose end has been proved."""
        self._attempts[machine, task, number] = ended
        if len(self._attempts) > MAX_ENDED_ATTEMPTS:
            del self._attempts[next(iter(self._attempts))]

    def forget_planned(self, machine: str, task: str, number: int, sent: SentCommand) -> None:
        """Notes that the worker is told to forget the attempt."""
        ended = self._attempts.get((machine, task, number))
        if ended is not None and ended.forget is None:
            ended.forget = sent

    def get(self, machine: str, task: str, number: int) -> EndedAttempt | None:
        """Returns an attempt; None if it is not known to have ended."""
        return self._attempts.get((machine, task, number))
