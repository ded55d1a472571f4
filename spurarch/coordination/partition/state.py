"""In-memory tables of one partition, built by its owner from records and heartbeats. No I/O; callers set `now`.

Each method keeps several tables consistent, and every change of an attempt's phase goes through
`PartitionState.transition`. Work to do later (ends to record, commands to send, allocations to delete) is queued when
its cause occurs, so that no heartbeat, record change or round has to scan the whole partition.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct, field

from spurarch.coordination.partition.ended_attempts import EndedAttempt, EndedAttempts, EndProof, SentCommand
from spurarch.coordination.partition.gang import Gangs
from spurarch.coordination.partition.machine import AttemptPhase, Machine, TaskAttempt
from spurarch.coordination.partition.unrecorded_attempts import UnrecordedAttempts
from spurarch.coordination.runtime.invariants import InvariantViolations
from spurarch.protocol import wire
from spurarch.storage.records import AllocationKey, TaskEntry, TaskKey

TOKEN_BITS = 36  # low bits of a fencing token, which hold a counter; the higher bits hold the epoch
MAX_RELEASED_MACHINES = 20_000  # machine names; several times the number of machines in a fleet


class ArchiveCoverage(Protocol):
    """Reports up to which revision the archive holds all changes of records."""

    def recorded_revision(self) -> int:
        """Returns a revision that includes all records that this controller has now."""

    def covers(self, revision: int) -> bool:
        """Whether the archive holds all changes up to a revision, or need not be waited for."""


def _not_cancelled(_job: str) -> float | None:
    return None


def _always_allowed() -> bool:
    return True


class PartitionContext(Struct, frozen=True):
    """Information that a partition gets from its controller.

    Attributes:
        image_of: Returns the dense index of a job's image, or None if the job is unknown.
        time_since_cancellation: Returns the seconds since a job was cancelled, or None if no cancellation is known.
        may_start: Whether the records are reliable enough to start tasks.
        coverage: Coverage of the archive, which has to hold the end of a completed task before the worker is told to
            forget the task; None without an archive.
        violations: Counts violated invariants.
    """

    image_of: Callable[[str], int | None]
    time_since_cancellation: Callable[[str], float | None] = _not_cancelled
    may_start: Callable[[], bool] = _always_allowed
    coverage: ArchiveCoverage | None = None
    violations: InvariantViolations = field(default_factory=InvariantViolations)


class PartitionState:
    """Machines, attempts and pending work of one partition in one epoch of its ownership."""

    def __init__(self, zone: str, epoch: int, now: float) -> None:
        self.zone, self.epoch = zone, epoch
        self.lowest_token = epoch << TOKEN_BITS  # the lowest fencing token of this epoch
        self.highest_token_counter = 0  # the highest counter that was issued to any machine
        # `claimed_at` is when this state was created, which is soon after the partition was claimed.
        self.claimed_at = self.now = now
        self.capacity_added_at = now  # when a machine last became active
        self.unreachable = False  # no controller receives heartbeats from the zone
        self.records_read = False  # the partition's records were read after it was claimed
        self.scheduling_triggers = 0  # counts activated machines and ended attempts, which can free capacity
        self.machines: dict[str, Machine] = {}
        self.attempts: dict[TaskKey, TaskAttempt] = {}
        self.attempts_by_allocation: dict[AllocationKey, dict[int, TaskAttempt]] = {}
        self.allocations_by_job: dict[str, set[AllocationKey]] = defaultdict(set)
        self.unassigned: dict[AllocationKey, list[TaskEntry]] = {}
        self.gangs = Gangs()
        self.ended_attempts = EndedAttempts()
        self.unrecorded_attempts = UnrecordedAttempts()
        self.terminal_attempts: dict[AllocationKey, dict[int, TaskAttempt]] = defaultdict(dict)  # not recorded yet
        self.allocations_to_restart: set[AllocationKey] = set()  # with a terminal attempt of an incomplete task
        self.orphaned_allocations: set[AllocationKey] = set()  # of jobs whose record is missing or cancelled
        self.machines_needing_commands: dict[str, None] = {}
        self.machines_with_cancelled_tasks: dict[str, None] = {}
        self.released_machines: dict[str, None] = {}

    # Machines

    def fencing_token(self, machine: Machine) -> int:
        """Returns the fencing token that heartbeat responses and commands to the machine carry now."""
        return self.lowest_token + machine.token_counter

    def next_token_counter(self) -> int:
        """Issues and returns a new counter; a message that carries it proves that the worker got it from this owner."""
        self.highest_token_counter += 1
        return self.highest_token_counter

    def add_machine(self, name: str, machine_type: str, spot: bool, addr: str, schedulable: bool = True) -> Machine:
        """Adds and returns a machine that a record or a heartbeat names for the first time."""
        machine = Machine(name, self.zone, machine_type, spot, addr, self.now, schedulable=schedulable)
        machine.first_token_counter = machine.token_counter = self.next_token_counter()
        self.machines[name] = machine
        return machine

    def add_released_machine(self, name: str) -> None:
        """Keeps the name of a released machine, since late heartbeats and records of it can still arrive."""
        self.released_machines[name] = None
        if len(self.released_machines) > MAX_RELEASED_MACHINES:
            del self.released_machines[next(iter(self.released_machines))]

    def set_unrecorded_tasks(self, machine: Machine, tasks: list[wire.TaskStatus]) -> None:
        """Replaces the unrecorded tasks of a machine.

        Before the records are read, these are all tasks that it lists, which tells nothing about the attempts.
        """
        if tasks or machine.unrecorded_tasks:
            self.unrecorded_attempts.replace(machine.name, machine.unrecorded_tasks, tasks if self.records_read else ())
            machine.unrecorded_tasks = tasks

    # Attempts

    def runs_again(self, attempt: TaskAttempt) -> bool:
        """Whether an attempt whose end was proved runs by the newest message of its worker."""
        return self.unrecorded_attempts.runs_attempt(attempt.key, attempt.machine, attempt.number)

    def mark_gone(self, attempt: TaskAttempt, proof: EndProof) -> bool:
        """Changes an attempt's phase to GONE; returns False if it has ended already."""
        return self.transition(attempt, AttemptPhase.GONE, proof=proof)

    def transition(
        self,
        attempt: TaskAttempt,
        phase: AttemptPhase,
        exit_reason: str | None = None,
        proof: EndProof = EndProof.EXIT_REPORTED,
    ) -> bool:
        """Changes an attempt's phase; returns False for an invalid change.

        A terminal attempt is queued for recording, counts as a scheduling trigger, and is kept with the proof of its
        end. The attempt's gang is marked as changed.
        """
        if not attempt.transition(phase, exit_reason):
            return False
        if phase in (AttemptPhase.EXITED, AttemptPhase.GONE):
            attempt.terminated_at = self.now
            self._add_ended(attempt, proof)
            self.scheduling_triggers += 1
            self.terminal_attempts[attempt.allocation][attempt.index] = attempt
            if phase is AttemptPhase.GONE or exit_reason != wire.REASON_DONE:
                self.allocations_to_restart.add(attempt.allocation)
        self.gangs.mark_changed(attempt.allocation.job)
        return True

    def _add_ended(self, attempt: TaskAttempt, proof: EndProof) -> None:
        start = None
        if attempt.start_path is not None:
            start = SentCommand(attempt.start_path, self.lowest_token + attempt.start_token_counter)
        task = wire.task_name(*attempt.key)
        ended = EndedAttempt(proof, start, job_cancelled_at=attempt.job_cancelled_at)
        self.ended_attempts.add(attempt.machine, task, attempt.number, ended)

    def add_attempt(self, attempt: TaskAttempt, machine: Machine) -> None:
        """Adds an attempt that the records assign to the machine."""
        # This owner may have sent a start for it before, if the records did not assign it in between.
        attempt.start_token_counter = machine.start_token_counter
        self.unrecorded_attempts.discard(attempt.key, machine.name)
        self.attempts_by_allocation[attempt.allocation][attempt.index] = attempt
        self.attempts[attempt.key] = machine.attempts[attempt.key] = attempt
        gang = self.gangs.get(attempt.allocation.job)
        if gang is not None:
            gang.members[attempt.index] = attempt
        machine.idle_since = None
        machine.last_task_statuses = None
        self.machines_needing_commands[machine.name] = None

    def move_attempt(self, attempt: TaskAttempt, allocation: AllocationKey) -> None:
        """Moves an attempt, with its phase, to another allocation of the same job."""
        for table in (self.attempts_by_allocation, self.terminal_attempts):
            if table.get(attempt.allocation, {}).pop(attempt.index, None) is attempt:
                table.setdefault(allocation, {})[attempt.index] = attempt
        self._drop_terminal_attempts_if_empty(attempt.allocation)
        self.allocations_by_job[allocation.job].add(allocation)
        if attempt.phase >= AttemptPhase.EXITED and attempt.exit_reason != wire.REASON_DONE:
            self.allocations_to_restart.add(allocation)
        attempt.allocation = allocation

    def remove_attempt(self, attempt: TaskAttempt) -> None:
        """Removes an attempt that the records no longer assign."""
        if self.attempts.get(attempt.key) is attempt:
            del self.attempts[attempt.key]
        gang = self.gangs.get(attempt.allocation.job)
        if gang is not None and gang.members.get(attempt.index) is attempt:
            del gang.members[attempt.index]
            self.gangs.mark_changed(gang.job)
        for table in (self.attempts_by_allocation, self.terminal_attempts):
            attempts = table.get(attempt.allocation)
            if attempts is not None and attempts.get(attempt.index) is attempt:
                del attempts[attempt.index]
        self._drop_terminal_attempts_if_empty(attempt.allocation)
        machine = self.machines.get(attempt.machine)
        if machine is not None and machine.attempts.get(attempt.key) is attempt:
            del machine.attempts[attempt.key]
            machine.last_task_statuses = None

    def _drop_terminal_attempts_if_empty(self, allocation: AllocationKey) -> None:
        if not self.terminal_attempts.get(allocation, True):
            del self.terminal_attempts[allocation]
            self.allocations_to_restart.discard(allocation)

    # Allocations

    def attempts_of(self, allocation: AllocationKey) -> dict[int, TaskAttempt]:
        """Returns the attempts of an allocation by task index; adds an empty table for a new allocation."""
        attempts = self.attempts_by_allocation.get(allocation)
        if attempts is None:
            attempts = self.attempts_by_allocation[allocation] = {}
            self.allocations_by_job[allocation.job].add(allocation)
        return attempts

    def remove_allocation(self, allocation: AllocationKey) -> None:
        """Removes an allocation whose record was deleted, and the job's gang if it was the job's last one here."""
        self.attempts_by_allocation.pop(allocation, None)
        self.allocations_by_job[allocation.job].discard(allocation)
        if not self.allocations_by_job[allocation.job]:
            del self.allocations_by_job[allocation.job]
            self.gangs.drop(allocation.job)
