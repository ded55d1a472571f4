"""What the placement of a partition remembers from one round to the next."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from spurarch.storage.records import AllocationKey

TaskKey = tuple[str, int]  # job and index of the task


@dataclass(slots=True, frozen=True)
class MoveTarget:
    """The machine on which a replica that is being moved starts again."""

    machine: str
    until: float


@dataclass(slots=True, frozen=True)
class Claim:
    """A machine on which tasks were stopped to make room for a task."""

    machine: int
    until: float


@dataclass(slots=True, frozen=True)
class GangReservation:
    """Machines whose room is kept for a gang."""

    machines: frozenset[int]
    until: float


class PlacementMemory:
    """How long tasks have waited, and the room that is kept for some of them. All times are monotonic seconds."""

    def __init__(self) -> None:
        self.last_placed_at = float("-inf")  # when a task last found room
        self.move_targets: dict[TaskKey, MoveTarget] = {}
        self.gang_reservations: dict[str, GangReservation] = {}  # by job
        self._tasks_waiting_since: dict[TaskKey, float] = {}
        self._allocations_waiting_since: dict[AllocationKey, float] = {}
        self._claims: dict[TaskKey, Claim] = {}

    def expire(self, now: float, waiting_jobs: Collection[str]) -> None:
        """Drops move targets and reservations whose time is over, and reservations of jobs that no longer wait."""
        self.move_targets = {key: target for key, target in self.move_targets.items() if target.until > now}
        self.gang_reservations = {
            job_id: reservation
            for job_id, reservation in self.gang_reservations.items()
            if reservation.until > now and job_id in waiting_jobs
        }

    def keep_only(self, tasks: Collection[TaskKey], allocations: Collection[AllocationKey]) -> None:
        """Forgets all tasks and allocations but these, which still wait."""
        self._tasks_waiting_since = {key: since for key, since in self._tasks_waiting_since.items() if key in tasks}
        self._allocations_waiting_since = {
            allocation: since
            for allocation, since in self._allocations_waiting_since.items()
            if allocation in allocations
        }
        self._claims = {key: claim for key, claim in self._claims.items() if key in tasks}

    def allocation_waiting_since(self, allocation: AllocationKey, now: float) -> float:
        """When tasks of the allocation were first found waiting."""
        return self._allocations_waiting_since.setdefault(allocation, now)

    def waiting_since(self, key: TaskKey, now: float) -> float:
        """When the task was first found without room."""
        return self._tasks_waiting_since.setdefault(key, now)

    def claim(self, key: TaskKey, claim: Claim) -> None:
        """Records that room is being freed for the task."""
        self._claims[key] = claim

    def claimed_machine(self, key: TaskKey, now: float) -> int | None:
        """The machine where room is being freed for the task."""
        claim = self._claims.get(key)
        return claim.machine if claim is not None and claim.until > now else None

    def has_claim(self, key: TaskKey) -> bool:
        """Room is being freed for the task, or was until its claim expired."""
        return key in self._claims
