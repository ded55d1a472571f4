"""Placement of the waiting tasks of a partition: one round at a time, in order of rank. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable
from itertools import groupby
from typing import NamedTuple

from spurarch.coordination.fleet.capacity import LISTED_TASK
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.partition.allocation_changes import is_uncancelled_job
from spurarch.coordination.partition.machine import AttemptPhase
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.scheduling.array_placement import ArrayPlacement
from spurarch.coordination.scheduling.gang_placement import GangPlacement
from spurarch.coordination.scheduling.guarantee_preemption import GuaranteePreemption
from spurarch.coordination.scheduling.moved_replicas import MovedReplicas
from spurarch.coordination.scheduling.placement_round import (
    AllocationEntries,
    PlacementResult,
    PlacementRound,
    PlacementSettings,
)
from spurarch.coordination.scheduling.placement_state import MoveTarget, PlacementState
from spurarch.coordination.scheduling.preemption import Preemption
from spurarch.coordination.scheduling.priority_preemption import PriorityPreemption
from spurarch.coordination.scheduling.service_placement import ServicePlacement
from spurarch.coordination.scheduling.task_return import ReturnPolicy
from spurarch.storage import records
from spurarch.storage.records import AllocationKey, TaskKey

PlaceAllocation = Callable[[AllocationKey, JobView], None]


class TaskPlacer:
    """Places the waiting tasks of one partition in successive rounds."""

    def __init__(
        self,
        longest_wait_s: float = float("inf"),
        guarantee_wait_s: float = 0.0,
        max_silence_s: float = float("inf"),
        max_updatable_tasks: float = float("inf"),
    ) -> None:
        self.pending_changes: AllocationEntries = {}  # decided in earlier rounds, not yet committed
        self.writes_scarce = False  # the rate limit of the state service leaves few writes
        self._settings = PlacementSettings(longest_wait_s, guarantee_wait_s, max_silence_s, max_updatable_tasks)
        self._placement_state = PlacementState()

    def reserve_move_target(self, key: TaskKey, machine: str, expires_at: float) -> None:
        """Records the target machine of a replica's migration until `expires_at`, in monotonic seconds.

        Rounds until then book capacity there once the replica is stopping or has stopped.
        """
        self._placement_state.move_targets[key] = MoveTarget(machine, expires_at)

    def run_round(
        self,
        partition: Partition,
        view: FleetView,
        now: float,
        out_of_time: Callable[[], bool],
        max_allocations: int,
        wall_time: float = 0.0,
    ) -> PlacementResult:
        """Runs one round.

        The round ends early when it is out of time or has changed `max_allocations` allocations. Its result is then
        marked as unfinished, and the next round continues with the remaining allocations.
        """
        placement_state = self._placement_state
        placement_state.expire(now, {allocation.job for allocation in partition.unassigned})
        current_round = PlacementRound(
            partition, view, self._settings, placement_state, self.pending_changes, self.writes_scarce, now, wall_time
        )
        try:
            _RankedPlacement(current_round).run(out_of_time, max_allocations)
        finally:
            current_round.capacities.bookings.undo()
        result = current_round.result
        if _has_assignments(result):
            placement_state.last_placed_at = now
        if not result.unfinished and not self.pending_changes:
            placement_state.keep_only(current_round.waiting, partition.unassigned)
        return result


def _has_assignments(result: PlacementResult) -> bool:
    return any(entry.state == records.ASSIGNED for entries in result.entries.values() for entry in entries.values())


class _PlacementStep(NamedTuple):
    """Allocations that are placed one after another, by the same function."""

    place: PlaceAllocation
    allocations: list[AllocationKey]


class _RankedPlacement:
    """Places the allocations of one round in order of rank."""

    def __init__(self, current_round: PlacementRound) -> None:
        self._round = current_round
        return_policy = ReturnPolicy(current_round)
        preemption = Preemption(current_round)
        priority_preemption = PriorityPreemption(current_round, preemption)
        guarantee_preemption = GuaranteePreemption(current_round, preemption)
        self._moved_replicas = MovedReplicas(current_round)
        self._arrays = ArrayPlacement(current_round, priority_preemption, guarantee_preemption, return_policy)
        self._services = ServicePlacement(current_round, priority_preemption, self._moved_replicas, return_policy)
        self._gangs = GangPlacement(current_round, priority_preemption, return_policy)

    def run(self, out_of_time: Callable[[], bool], max_allocations: int) -> None:
        """Places allocations until all are handled, time runs out or `max_allocations` of them have changed."""
        self._unbook_terminal_attempts()
        self._round.capacities.book_listed_tasks()
        self._moved_replicas.reserve()
        self._round.capacities.collect_with_free_capacity()
        self._book_pending_changes()
        self._gangs.apply_reservations()
        self._round.result.unwritable = self._unwritable()
        jobs = self._round.view.jobs
        ranks = {allocation: self._rank(allocation) for allocation in self._placeable()}
        by_rank = sorted(ranks, key=ranks.__getitem__)
        for _, same_priority in groupby(by_rank, key=lambda allocation: ranks[allocation][0][:2]):
            for step in self._steps(list(same_priority)):
                for allocation in step.allocations:
                    if len(self._round.result.entries) >= max_allocations or out_of_time():
                        self._round.result.unfinished = True
                        return
                    step.place(allocation, jobs[allocation.job])

    def _unbook_terminal_attempts(self) -> None:
        """Frees the capacity of terminal attempts at once, before their end is recorded.

        A worker lists an exited task until it is told to forget it, so only its resources are free.
        """
        capacities = self._round.capacities
        for allocation, attempts in self._round.partition.terminal_attempts.items():
            job = self._round.view.jobs.get(allocation.job)
            for attempt in attempts.values():
                capacity = capacities.by_name.get(attempt.machine)
                if job is not None and capacity is not None and not self._round.partition.state.runs_again(attempt):
                    capacities.bookings.book(capacity, job.requirements, -1)
                    if attempt.phase is AttemptPhase.EXITED:
                        capacities.bookings.book(capacity, LISTED_TASK)

    def _book_pending_changes(self) -> None:
        """Books the capacity of assignments that wait to be committed."""
        capacities = self._round.capacities
        for allocation, entries in self._round.pending_changes.items():
            job = self._round.view.jobs.get(allocation.job)
            for entry in entries.values():
                capacity = capacities.by_name.get(entry.machine)
                if entry.state == records.ASSIGNED and job is not None and capacity is not None:
                    capacities.bookings.book(capacity, job.requirements)

    def _unwritable(self) -> list[AllocationKey]:
        """Returns the allocations with waiting tasks whose record can't be updated."""
        partition, max_tasks = self._round.partition, self._round.settings.max_updatable_tasks
        recorded = self._round.view.state.zone_allocations[partition.zone]
        return [
            allocation
            for allocation in partition.unassigned
            if allocation in recorded and len(recorded[allocation].tasks) > max_tasks
        ]

    def _placeable(self) -> list[AllocationKey]:
        """Returns the allocations with waiting tasks that may be placed now.

        Arrays are skipped while `pending_changes`, such as starts of arrays and deletions of allocations, wait to be
        committed: no further arrays can be started until then, and their order may change. A gang is skipped as a whole
        if the record of some of its members can't be updated.
        """
        jobs, pending = self._round.view.jobs, self._round.pending_changes
        unwritable = set(self._round.result.unwritable)
        unwritable_gangs = {
            allocation.job for allocation in unwritable if allocation.job in jobs and jobs[allocation.job].gang
        }
        return [
            allocation
            for allocation in self._round.partition.unassigned
            if allocation.job in jobs
            and not (pending and jobs[allocation.job].array)
            and allocation not in pending
            and allocation not in unwritable
            and allocation.job not in unwritable_gangs
            and self._may_start(allocation.job)
        ]

    def _may_start(self, job_id: str) -> bool:
        """Returns whether the job has a record, is not cancelled and is not in backoff."""
        backoff = self._round.partition.backoffs.get(job_id)
        return is_uncancelled_job(self._round.view.state, job_id) and (
            backoff is None or backoff.not_before <= self._round.now
        )

    def _rank(self, allocation: AllocationKey) -> tuple[tuple[int, bool, float, float], str, int]:
        job = self._round.view.jobs[allocation.job]
        return self._round.view.ranking.rank(job, self._round.is_starving(job)), allocation.job, allocation.chunk

    def _steps(self, allocations: list[AllocationKey]) -> list[_PlacementStep]:
        """Splits allocations into steps, in the order in which they are placed.

        The allocations belong to starving jobs; or to jobs of one priority that are all within the guarantee of their
        team, or all beyond it.

        While tasks wait for capacity, a machine that becomes free should go to a task whose image it has: that task
        starts at once, whereas fetching an image leaves the capacity idle for seconds. A task whose wait is shorter
        than the fetch of its image therefore yields to tasks whose image is cached on the machine. All other tasks,
        which are services, gangs and arrays that have waited longer, are placed first.
        """
        jobs = self._round.view.jobs
        waiting_for_image: list[AllocationKey] = []
        others: list[AllocationKey] = []
        for allocation in allocations:
            waits = self._arrays.waits_for_image(allocation, jobs[allocation.job])
            (waiting_for_image if waits else others).append(allocation)
        return [
            _PlacementStep(self._place, others),
            _PlacementStep(self._arrays.place_where_image_is_cached, waiting_for_image),
            _PlacementStep(self._place, waiting_for_image),
        ]

    def _place(self, allocation: AllocationKey, job: JobView) -> None:
        self._moved_replicas.release(job)
        if job.service:
            self._services.place(allocation, job)
        elif job.gang:
            self._gangs.place(job)
        else:
            self._arrays.place(allocation, job)
