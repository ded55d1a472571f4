"""State that the placement of a partition keeps between rounds."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from spurarch.storage.records import AllocationKey, TaskKey


@dataclass(slots=True, frozen=True)
class MoveTarget:
    """The machine to which a service replica is migrated, by name."""

    machine: str
    expires_at: float


@dataclass(slots=True, frozen=True)
class Claim:
    """Capacity reserved for a task on the machine where other tasks were preempted for it."""

    machine: int
    expires_at: float


@dataclass(slots=True, frozen=True)
class GangReservation:
    """Machines reserved for a gang."""

    machines: frozenset[int]
    expires_at: float


class PlacementState:
    """Since when tasks have waited, and capacity reserved for some of them. All times are monotonic seconds."""

    def __init__(self) -> None:
        self.last_placed_at = float("-inf")  # when a task was last assigned to a machine
        self.move_targets: dict[TaskKey, MoveTarget] = {}
        self.gang_reservations: dict[str, GangReservation] = {}  # by job
        self._tasks_waiting_since: dict[TaskKey, float] = {}
        self._allocations_waiting_since: dict[AllocationKey, float] = {}
        self._claims: dict[TaskKey, Claim] = {}

    def expire(self, now: float, waiting_jobs: Collection[str]) -> None:
        """Drops expired move targets and gang reservations, and reservations of jobs that no longer wait."""
        self.move_targets = {key: target for key, target in self.move_targets.items() if target.expires_at > now}
        self.gang_reservations = {
            job_id: reservation
            for job_id, reservation in self.gang_reservations.items()
            if reservation.expires_at > now and job_id in waiting_jobs
        }

    def keep_only(self, tasks: Collection[TaskKey], allocations: Collection[AllocationKey]) -> None:
        """Drops waiting times and claims of all tasks and allocations except the given ones, which still wait."""
        self._tasks_waiting_since = {key: since for key, since in self._tasks_waiting_since.items() if key in tasks}
        self._allocations_waiting_since = {
            allocation: since
            for allocation, since in self._allocations_waiting_since.items()
            if allocation in allocations
        }
        self._claims = {key: claim for key, claim in self._claims.items() if key in tasks}

    def allocation_waiting_since(self, allocation: AllocationKey, now: float) -> float:
        """Returns when tasks of the allocation were first found waiting; records `now` on the first call."""
        return self._allocations_waiting_since.setdefault(allocation, now)

    def waiting_since(self, key: TaskKey, now: float) -> float:
        """Returns when the task was first found to fit on no machine; records `now` on the first call."""
        return self._tasks_waiting_since.setdefault(key, now)

    def claim(self, key: TaskKey, claim: Claim) -> None:
        """Records the claim of a task, in place of an earlier one."""
        self._claims[key] = claim

    def claimed_machine(self, key: TaskKey, now: float) -> int | None:
        """Returns the machine that the task has a claim on, or None without a claim or after it has expired."""
        claim = self._claims.get(key)
        return claim.machine if claim is not None and claim.expires_at > now else None

    def has_claim(self, key: TaskKey) -> bool:
        """Returns whether the task has a claim, expired or not."""
        return key in self._claims
