"""What failed tasks teach of their machines and of their jobs: whom to leave alone, and for how long. No I/O."""

from __future__ import annotations

import logging
from collections import defaultdict
from dataclasses import dataclass, field

from spurarch.coordination.partition.machine import Machine, TaskAttempt
from spurarch.protocol import wire

log = logging.getLogger(__name__)

FAULTS_BEFORE_PAUSE = 2
FAULT_PAUSE_S = 30.0
FAULTY_JOB_MACHINES = 2  # a job without a success that fails on so many is faulty itself
REFUSAL_PAUSE_S = 2.0
BACK_OFF_FIRST_S, BACK_OFF_MOST_S, BACK_OFF_DOUBLINGS = 0.25, 30.0, 8


@dataclass(slots=True)
class JobBackoff:
    """What a job's failures taught: when to try again."""

    failures: int = 0
    not_before: float = 0.0
    has_completed_task: bool = False  # a task of it has completed
    machines: set[str] = field(default_factory=set)  # where it failed
    failures_by_machine: dict[str, int] = field(default_factory=dict)  # failures of it that were put down to a machine

    def record_failure(self, now: float) -> None:
        """One more failure: the next try waits longer."""
        self.failures += 1
        self.not_before = now + min(BACK_OFF_MOST_S, BACK_OFF_FIRST_S * 2 ** min(self.failures, BACK_OFF_DOUBLINGS))


class FailureAttribution:
    """Tells faulty machines from faulty jobs, in one partition."""

    def __init__(self, machines: dict[str, Machine]) -> None:
        self._machines = machines
        self.backoffs: dict[str, JobBackoff] = defaultdict(JobBackoff)

    def record_exit(self, machine: Machine, attempt: TaskAttempt, now: float) -> None:
        """Learns from the way a task ended."""
        backoff = self.backoffs[attempt.allocation.job]
        if attempt.exit_reason == wire.REASON_ERROR:
            self._attribute_to_machine(machine, backoff)
            backoff.record_failure(now)
            log.info("task failed job=%s task=%d machine=%s attempt=%d", *attempt.key, machine.name, attempt.number)
            if machine.task_failures >= FAULTS_BEFORE_PAUSE:
                machine.quarantined_until = now + FAULT_PAUSE_S * machine.task_failures
        elif attempt.exit_reason in (wire.REASON_NO_CAPACITY, wire.REASON_TASK_PRESENT):
            machine.backoff_until = now + REFUSAL_PAUSE_S
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
        """A job that fails wherever it is put says nothing of the machines, nor did its failures before it showed."""
        for name, failures in backoff.failures_by_machine.items():
            machine = self._machines.get(name)
            if machine is not None:
                machine.task_failures = max(0, machine.task_failures - failures)
                if machine.task_failures < FAULTS_BEFORE_PAUSE:
                    machine.quarantined_until = 0.0
        backoff.failures_by_machine.clear()
