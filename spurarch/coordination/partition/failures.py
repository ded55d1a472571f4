"""Attributes failures of tasks to machines or to jobs, which are left alone for a while. No I/O."""

from __future__ import annotations

import logging
from collections import defaultdict
from dataclasses import dataclass, field

from spurarch.coordination.partition.machine import Machine, TaskAttempt
from spurarch.protocol import wire

log = logging.getLogger(__name__)

FAILURES_BEFORE_QUARANTINE = 2
QUARANTINE_S = 30.0  # for each failure that was attributed to the machine
FAULTY_JOB_MACHINES = 2  # a job without a success that fails on so many is faulty itself
REFUSAL_BACKOFF_S = 2.0
JOB_BACKOFF_S, MAX_JOB_BACKOFF_S, MAX_BACKOFF_DOUBLINGS = 0.25, 30.0, 8


@dataclass(slots=True)
class JobBackoff:
    """When a job's tasks may be tried again after failures.

    Attributes:
        failures: Failures in a row.
        not_before: Monotonic time of the next try.
        has_completed_task: A task of the job has completed once.
        machines: Machines on which it failed.
        failures_by_machine: Failures of it that were attributed to a machine.
    """

    failures: int = 0
    not_before: float = 0.0
    has_completed_task: bool = False
    machines: set[str] = field(default_factory=set)
    failures_by_machine: dict[str, int] = field(default_factory=dict)

    def record_failure(self, now: float) -> None:
        """One more failure: the next try waits longer."""
        self.failures += 1
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.not_before = now + min(MAX_JOB_BACKOFF_S, JOB_BACKOFF_S * 2**doublings)


class FailureAttribution:
    """Tells faulty machines from faulty jobs, in one partition."""

    def __init__(self, machines: dict[str, Machine]) -> None:
        self._machines = machines
        self.backoffs: dict[str, JobBackoff] = defaultdict(JobBackoff)

    def record_exit(self, machine: Machine, attempt: TaskAttempt, now: float) -> None:
        """Updates backoffs and quarantines from the reason that a task ended with."""
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
        if backoff.has_completed_task or len(backoff.machines) < FAULTY_JOB_MACHINES:
            machine.task_failures += 1
            backoff.failures_by_machine[machine.name] = backoff.failures_by_machine.get(machine.name, 0) + 1
        else:
            self._clear_attributed_failures(backoff)

    def _clear_attributed_failures(self, backoff: JobBackoff) -> None:
        """A job that fails wherever it is placed proves nothing about machines, nor did its earlier failures."""
        for name, failures in backoff.failures_by_machine.items():
            machine = self._machines.get(name)
            if machine is not None:
                machine.task_failures = max(0, machine.task_failures - failures)
                if machine.task_failures < FAILURES_BEFORE_QUARANTINE:
                    machine.quarantined_until = 0.0
        backoff.failures_by_machine.clear()
