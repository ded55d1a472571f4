"""Tables of one partition, as its owner knows it from records and heartbeats. No I/O, and no clock of its own.

Each method keeps several tables consistent; `PartitionState.transition` makes every change of an attempt's phase.
Whatever has to be recorded, sent or cleaned up is collected where it arises, so that no heartbeat, changed record or
round walks the whole partition.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct, field

from spurarch.coordination.partition.gang import Gangs
from spurarch.coordination.partition.machine import AttemptPhase, Machine, TaskAttempt, TaskKey
from spurarch.coordination.runtime.invariants import InvariantViolations
from spurarch.protocol import wire
from spurarch.storage.records import AllocationKey, TaskEntry

TOKEN_BITS = 36  # low bits of a fencing token, a counter; the bits above hold the epoch
RELEASED_MACHINES_KEPT = 20_000  # names: several times a fleet


class ArchiveCoverage(Protocol):
    """Tells up to which revision the records are in the archive."""

    def recorded(self) -> int:
        """A revision that holds all that is on record here now."""

    def covers(self, revision: int) -> bool:
        """Whether the archive holds all changes up to a revision, or is not to be waited for."""


def _not_cancelled(_job: str) -> float | None:
    return None


def _always() -> bool:
    return True


class PartitionContext(Struct, frozen=True):
    """What a partition has to ask its controller for.

    Attributes:
        image_of: The number of a job's image, or None if the job is not known.
        time_since_cancellation: Seconds since a job was cancelled, or None if it is not known to be cancelled.
        may_start: Whether the records can be trusted enough to start tasks.
        coverage: Where ends have to be archived before workers may forget them; None without an archive.
        violations: Counts invariants that did not hold.
    """

    image_of: Callable[[str], int | None]
    time_since_cancellation: Callable[[str], float | None] = _not_cancelled
    may_start: Callable[[], bool] = _always
    coverage: ArchiveCoverage | None = None
    violations: InvariantViolations = field(default_factory=InvariantViolations)


class PartitionState:
    """Machines, attempts and pending work of one partition in one epoch of its ownership."""

    def __init__(self, zone: str, epoch: int, now: float) -> None:
        self.zone, self.epoch = zone, epoch
        self.lowest_token = epoch << TOKEN_BITS  # the lowest fencing token of this epoch
        self.highest_token_counter = 0  # the highest that any machine was given
        self.claimed_at = self.now = now
        self.capacity_added_at = now  # when a machine last became active
        self.unreachable = False  # no controller receives heartbeats from the zone
        self.records_read = False  # the partition's records have been read since it was claimed
        self.scheduling_triggers = 0  # machines that became active and tasks that left: capacity may be free
        self.machines: dict[str, Machine] = {}
        self.attempts: dict[TaskKey, TaskAttempt] = {}
        self.attempts_by_allocation: dict[AllocationKey, dict[int, TaskAttempt]] = {}
        self.allocations_by_job: dict[str, set[AllocationKey]] = defaultdict(set)
        self.unassigned: dict[AllocationKey, list[TaskEntry]] = {}
        self.gangs = Gangs()
        self.terminal_attempts: dict[AllocationKey, dict[int, TaskAttempt]] = defaultdict(dict)  # not on record yet
        self.allocations_to_restart: set[AllocationKey] = set()  # with a terminal attempt that did not complete
        self.orphaned_allocations: set[AllocationKey] = set()  # may be left from a job that is over
        self.machines_needing_commands: dict[str, None] = {}
        self.machines_with_cancelled_tasks: dict[str, None] = {}
        self.released_machines: dict[str, None] = {}

    # Machines

    def fencing_token(self, machine: Machine) -> int:
        """The fencing token that answers and commands to the machine carry now."""
        return self.lowest_token + machine.token_counter

    def next_token_counter(self) -> int:
        """A counter never given to any machine before: a heartbeat that shows it follows an answer that carried it."""
        self.highest_token_counter += 1
        return self.highest_token_counter

    def add_machine(self, name: str, machine_type: str, spot: bool, addr: str, schedulable: bool = True) -> Machine:
        """A machine that is on record or sent a heartbeat for the first time."""
        machine = Machine(name, self.zone, machine_type, spot, addr, self.now, schedulable=schedulable)
        machine.first_token_counter = machine.token_counter = self.next_token_counter()
        self.machines[name] = machine
        return machine

    def remember_released(self, name: str) -> None:
        """Keeps a machine's name: what it sent or what was recorded of it before its release may still come."""
        self.released_machines[name] = None
        if len(self.released_machines) > RELEASED_MACHINES_KEPT:
            del self.released_machines[next(iter(self.released_machines))]

    # Attempts

    def transition(self, attempt: TaskAttempt, phase: AttemptPhase, exit_reason: str | None = None) -> bool:
        """Changes an attempt's phase if it can take that step; terminal attempts are kept to be recorded."""
        if not attempt.transition(phase, exit_reason):
            return False
        if phase in (AttemptPhase.EXITED, AttemptPhase.GONE):
            attempt.terminated_at = self.now
            self.scheduling_triggers += 1
            self.terminal_attempts[attempt.allocation][attempt.index] = attempt
            if phase is AttemptPhase.GONE or exit_reason != wire.REASON_DONE:
                self.allocations_to_restart.add(attempt.allocation)
        self.gangs.mark_changed(attempt.allocation.job)
        return True

    def add_attempt(self, attempt: TaskAttempt, machine: Machine) -> None:
        """An attempt that the records assign to the machine."""
        self.attempts_by_allocation[attempt.allocation][attempt.index] = attempt
        self.attempts[attempt.key] = machine.attempts[attempt.key] = attempt
        gang = self.gangs.get(attempt.allocation.job)
        if gang is not None:
            gang.members[attempt.index] = attempt
        machine.idle_since = None
        machine.last_task_statuses = None
        self.machines_needing_commands[machine.name] = None

    def move_attempt(self, attempt: TaskAttempt, allocation: AllocationKey) -> None:
        """Keeps an attempt, with its phase, under another allocation of the same job."""
        for table in (self.attempts_by_allocation, self.terminal_attempts):
            if table.get(attempt.allocation, {}).pop(attempt.index, None) is attempt:
                table.setdefault(allocation, {})[attempt.index] = attempt
        self._drop_if_empty(attempt.allocation)
        self.allocations_by_job[allocation.job].add(allocation)
        if attempt.phase >= AttemptPhase.EXITED and attempt.exit_reason != wire.REASON_DONE:
            self.allocations_to_restart.add(allocation)
        attempt.allocation = allocation

    def remove_attempt(self, attempt: TaskAttempt) -> None:
        """Drops an attempt that the records no longer assign."""
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
        self._drop_if_empty(attempt.allocation)
        machine = self.machines.get(attempt.machine)
        if machine is not None and machine.attempts.get(attempt.key) is attempt:
            del machine.attempts[attempt.key]

    def _drop_if_empty(self, allocation: AllocationKey) -> None:
        if not self.terminal_attempts.get(allocation, True):
            del self.terminal_attempts[allocation]
            self.allocations_to_restart.discard(allocation)

    # Allocations

    def attempts_of(self, allocation: AllocationKey) -> dict[int, TaskAttempt]:
        """The table of an allocation's attempts by task index, new or known."""
        attempts = self.attempts_by_allocation.get(allocation)
        if attempts is None:
            attempts = self.attempts_by_allocation[allocation] = {}
            self.allocations_by_job[allocation.job].add(allocation)
        return attempts

    def remove_allocation(self, allocation: AllocationKey) -> None:
        """Drops an allocation whose record was deleted."""
        self.attempts_by_allocation.pop(allocation, None)
        self.allocations_by_job[allocation.job].discard(allocation)
        if not self.allocations_by_job[allocation.job]:
            del self.allocations_by_job[allocation.job]
            self.gangs.drop(allocation.job)
