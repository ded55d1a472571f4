"""Delays the retries of jobs after task failures, and quarantines machines to which failures are attributed. No I/O."""

from __future__ import annotations

import logging
from collections import defaultdict
from dataclasses import dataclass, field

from spurarch.coordination.partition.machine import Machine, TaskAttempt
from spurarch.protocol import wire

log = logging.getLogger(__name__)

FAILURES_BEFORE_QUARANTINE = 2
QUARANTINE_S = 30.0  # per failure attributed to the machine
FAULTY_JOB_MIN_MACHINES = 2  # a job without a completed task that fails on this many machines is faulty itself
REFUSAL_BACKOFF_S = 2.0
JOB_BACKOFF_S, MAX_JOB_BACKOFF_S, MAX_BACKOFF_DOUBLINGS = 0.25, 30.0, 8


@dataclass(slots=True)
class JobBackoff:
    """Delays the retries of a job's tasks after failures.

    Attributes:
        failures: Number of consecutive failures.
        not_before: Monotonic time in seconds of the next retry.
        has_completed_task: A task of the job has completed.
        machines: Machines on which its tasks failed.
        failures_by_machine: Number of its failures attributed to each machine.
    """

    failures: int = 0
    not_before: float = 0.0
    has_completed_task: bool = False
    machines: set[str] = field(default_factory=set)
    failures_by_machine: dict[str, int] = field(default_factory=dict)

    def record_failure(self, now: float) -> None:
        """Counts a failure and doubles the delay of the next retry, up to a limit."""
        self.failures += 1
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.not_before = now + min(MAX_JOB_BACKOFF_S, JOB_BACKOFF_S * 2**doublings)


class FailureAttribution:
    """Distinguishes faulty machines from faulty jobs in one partition."""

    def __init__(self, machines: dict[str, Machine]) -> None:
        self._machines = machines
        self.backoffs: dict[str, JobBackoff] = defaultdict(JobBackoff)

    def record_exit(self, machine: Machine, attempt: TaskAttempt, now: float) -> None:
        """Updates the job's backoff and the machine's backoff and quarantine by the exit reason of an attempt."""
        backoff = self.backoffs[attempt.allocation.job]
        if attempt.exit_reason == wire.REASON_ERROR:
            self._attribute_to_machine(machine, backoff)
            backoff.record_failure(now)
            log.info("task failed job=%s task=%d machine=%s attempt=%d", *attempt.key, machine.name, attempt.number)
            if machine.task_failures >= FAILURES_BEFORE_QUARANTINE:
                machine.quarantined_until = now + QUARANTINE_S * machine.task_failures
        elif attempt.exit_reason in (wire.REASON_NO_CAPACITY, wire.REASON_TASK_PRESENT):
            machine.backoff_until = now + REFUSAL_BACKOFF_S
        elif attempt.exit_reason == wire.REASON_UNKNOWN_TASK:
            backoff.record_failure(now)
        elif attempt.exit_reason == wire.REASON_DONE:
            backoff.failures, backoff.has_completed_task = 0, True
            machine.task_failures = 0

    def _attribute_to_machine(self, machine: Machine, backoff: JobBackoff) -> None:
        backoff.machines.add(machine.name)
        if backoff.has_completed_task or len(backoff.machines) < FAULTY_JOB_MIN_MACHINES:
            machine.task_failures += 1
            backoff.failures_by_machine[machine.name] = backoff.failures_by_machine.get(machine.name, 0) + 1
        else:
            self._clear_attributed_failures(backoff)

    def _clear_attributed_failures(self, backoff: JobBackoff) -> None:
        """Withdraws the job's failures from its machines: one that fails everywhere proves no machine faulty."""
        for name, failures in backoff.failures_by_machine.items():
            machine = self._machines.get(name)
            if machine is not None:
                machine.task_failures = max(0, machine.task_failures - failures)
                if machine.task_failures < FAILURES_BEFORE_QUARANTINE:
                    machine.quarantined_until = 0.0
        backoff.failures_by_machine.clear()
