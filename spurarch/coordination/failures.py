"""What failed tasks teach of their machines and of their jobs: whom to leave alone, and for how long. No I/O."""

from __future__ import annotations

import logging
from collections import defaultdict
from dataclasses import dataclass, field

from spurarch.coordination.machine import Machine, TaskAttempt
from spurarch.protocol import wire

log = logging.getLogger(__name__)

FAULTS_BEFORE_PAUSE = 2
FAULT_PAUSE_S = 30.0
MACHINES_BLAMED = 2  # a job without a success that fails on so many is faulty itself
REFUSAL_PAUSE_S = 2.0
BACK_OFF_FIRST_S, BACK_OFF_MOST_S, BACK_OFF_DOUBLINGS = 0.25, 30.0, 8


@dataclass(slots=True)
class JobBackoff:
    """What a job's failures taught: when to try again."""

    failures: int = 0
    not_before: float = 0.0
    good: bool = False  # a task of it has completed
    machines: set[str] = field(default_factory=set)  # where it failed
    blamed: dict[str, int] = field(default_factory=dict)  # failures of it that were put down to a machine

    def back_off(self, now: float) -> None:
        """One more failure: the next try waits longer."""
        self.failures += 1
        self.not_before = now + min(BACK_OFF_MOST_S, BACK_OFF_FIRST_S * 2 ** min(self.failures, BACK_OFF_DOUBLINGS))


class FailureJudge:
    """Tells faulty machines from faulty jobs, in one partition."""

    def __init__(self, machines: dict[str, Machine]) -> None:
        self._machines = machines
        self.backoffs: dict[str, JobBackoff] = defaultdict(JobBackoff)

    def judge(self, machine: Machine, attempt: TaskAttempt, now: float) -> None:
        """Learns from the way a task ended."""
        backoff = self.backoffs[attempt.where.job]
        if attempt.why == wire.REASON_ERROR:
            self._blame(machine, backoff)
            backoff.back_off(now)
            log.info("task %s/%d failed on %s (attempt %d)", *attempt.key, machine.name, attempt.attempt)
            if machine.failures >= FAULTS_BEFORE_PAUSE:
                machine.avoid_until = now + FAULT_PAUSE_S * machine.failures
        elif attempt.why in (wire.REASON_NO_CAPACITY, wire.REASON_TASK_PRESENT):
            machine.pause_until = now + REFUSAL_PAUSE_S
        elif attempt.why == wire.REASON_UNKNOWN_TASK:
            backoff.back_off(now)
        elif attempt.why == wire.REASON_DONE:
            backoff.failures, backoff.good = 0, True
            machine.failures = 0

    def _blame(self, machine: Machine, backoff: JobBackoff) -> None:
        backoff.machines.add(machine.name)
        if backoff.good or len(backoff.machines) < MACHINES_BLAMED:
            machine.failures += 1
            backoff.blamed[machine.name] = backoff.blamed.get(machine.name, 0) + 1
        else:
            self._forgive(backoff)

    def _forgive(self, backoff: JobBackoff) -> None:
        """A job that fails wherever it is put says nothing of the machines, nor did its failures before it showed."""
        for name, failures in backoff.blamed.items():
            machine = self._machines.get(name)
            if machine is not None:
                machine.failures = max(0, machine.failures - failures)
                if machine.failures < FAULTS_BEFORE_PAUSE:
                    machine.avoid_until = 0.0
        backoff.blamed.clear()
