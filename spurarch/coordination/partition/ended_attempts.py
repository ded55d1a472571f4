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
    NOT_LISTED = "not-listed"  # by a heartbeat that the worker sent after the start command
    INCARNATION_ENDED = "incarnation-ended"
    LEASE_EXPIRED = "lease-expired"
    MACHINE_RELEASED = "machine-released"


class CommandPath(enum.Enum):
    """How a command reaches a worker."""

    DIRECT = "direct"  # a request to the worker's own address
    HEARTBEAT_RESPONSE = "heartbeat-response"


class EndedAttempt(Struct):
    """What is known of an ended attempt; `forgotten_by` is the path of the first command that forgets it, if any."""

    proof: EndProof
    forgotten_by: CommandPath | None = None


class EndedAttempts:
    """The newest ended attempts of a partition, by machine, name of the task and attempt number."""

    def __init__(self) -> None:
        self._attempts: dict[tuple[str, str, int], EndedAttempt] = {}

    def add(self, machine: str, task: str, number: int, proof: EndProof) -> None:
        """Adds an attempt whose end has been proved."""
        self._attempts[machine, task, number] = EndedAttempt(proof)
        if len(self._attempts) > MAX_ENDED_ATTEMPTS:
            del self._attempts[next(iter(self._attempts))]

    def forget_planned(self, machine: str, task: str, number: int, path: CommandPath) -> None:
        """Notes that the worker is told to forget the attempt."""
        ended = self._attempts.get((machine, task, number))
        if ended is not None and ended.forgotten_by is None:
            ended.forgotten_by = path

    def remove(self, machine: str, task: str, number: int) -> EndedAttempt | None:
        """Removes and returns an attempt; None if it is not known to have ended."""
        return self._attempts.pop((machine, task, number), None)
