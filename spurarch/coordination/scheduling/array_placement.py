"""Placement of arrays: their tasks are equal and independent of each other, so they are placed as a group."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.best_fit import book_by_best_fit, machine_to_reserve
from spurarch.coordination.scheduling.guarantee_preemption import GuaranteePreemption
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.coordination.scheduling.priority_preemption import PriorityPreemption
from spurarch.coordination.scheduling.task_return import ReturnPolicy
from spurarch.storage.records import AllocationKey, TaskEntry

MAX_RESERVED_MACHINES = 4  # reserved for starving arrays in one round


class ArrayPlacement:
    """Places the tasks of arrays during one round."""

    def __init__(
        self,
        current_round: PlacementRound,
        priority_preemption: PriorityPreemption,
        guarantee_preemption: GuaranteePreemption,
        return_policy: ReturnPolicy,
    ) -> None:
        self._round, self._return_policy = current_round, return_policy
        self._priority_preemption, self._guarantee_preemption = priority_preemption, guarantee_preemption
        self._reserved_machines = 0

    def place(self, allocation: AllocationKey, job: JobView) -> None:
        """Places as many tasks of an allocation as fit; the others preempt, wait or are returned to the leader."""
        capacities = self._round.capacities
        waiting = self._round.unplaced(allocation)
        unplaceable = capacities.is_unplaceable(job.requirements)
        if not unplaceable:
            waiting = self._assign_by_best_fit(allocation, job, waiting, capacities.with_free_capacity)
            capacities.drop_full_machines()
        if not waiting:
            return
        if not unplaceable:
            capacities.record_unplaceable(job.requirements)
        if self._round.is_starving(job):
            self._reserve_machine(job)
        self._preempt_or_return(allocation, job, waiting)

    def place_where_image_is_cached(self, allocation: AllocationKey, job: JobView) -> None:
        """Places as many tasks of an allocation as fit on machines that have its image."""
        image = job.requirements.image
        cached = [capacity for capacity in self._round.capacities.with_free_capacity if image in capacity.images]
        self._assign_by_best_fit(allocation, job, self._round.unplaced(allocation), cached)

    def waits_for_image(self, allocation: AllocationKey, job: JobView) -> bool:
        """Returns whether the tasks are of an array and their wait is shorter than the fetch of their image.

        The first call for an allocation sets the time from which its wait is measured.
        """
        if not job.array:
            return False
        waiting_since = self._round.placement_state.allocation_waiting_since(allocation, self._round.now)
        return self._round.now - waiting_since < self._round.view.image_fetch_s(job)

    def _assign_by_best_fit(
        self, allocation: AllocationKey, job: JobView, waiting: list[TaskEntry], machines: Iterable[MachineCapacity]
    ) -> list[TaskEntry]:
        """Assigns tasks by best fit and returns those that did not fit."""
        entries = iter(waiting)
        for capacity, count in book_by_best_fit(
            job.requirements, machines, len(waiting), self._round.capacities.bookings
        ):
            for entry in islice(entries, count):
                self._round.assign(allocation, entry, capacity)
        return list(entries)

    def _reserve_machine(self, job: JobView) -> None:
        """Excludes a machine from the rest of the round, so that small tasks don't starve a large one.

        Later rounds choose the same machine again until a task of the job fits there.
        """
        if self._reserved_machines >= MAX_RESERVED_MACHINES:
            return
        capacity = machine_to_reserve(job.requirements, self._round.capacities.schedulable)
        if capacity is not None:
            self._reserved_machines += 1
            self._round.capacities.exclude(capacity)

    def _preempt_or_return(self, allocation: AllocationKey, job: JobView, waiting: list[TaskEntry]) -> None:
        """Handles tasks that fit on no machine: they use a claim, preempt, are returned to the leader or wait on.

        Hundreds of tasks may wait for many rounds, so conditions that are the same for all are evaluated once.
        """
        current_round, placement_state, return_policy = self._round, self._round.placement_state, self._return_policy
        job_id, now, max_wait_s = job.job_id, current_round.now, return_policy.max_wait_s()
        within_guarantee = job_id in current_round.view.jobs_within_guarantee()
        may_preempt = self._priority_preemption.runs_lower_priority_work(job.requirements.priority)
        may_be_stuck, may_fit_elsewhere = return_policy.is_stuck(float("-inf")), True
        for entry in waiting:
            key = job_id, entry.index
            current_round.waiting.add(key)
            waiting_since = placement_state.waiting_since(key, now)
            waited_s = now - waiting_since
            if placement_state.has_claim(key) and current_round.use_claimed_capacity(allocation, job, entry):
                continue
            if may_preempt and self._priority_preemption.preempt_for_task(key, job.requirements):
                continue
            may_preempt = False  # once no victims are found, none are found in the rest of the round
            if (
                within_guarantee
                and waited_s > current_round.settings.guarantee_wait_s
                and self._guarantee_preemption.preempt_for_task(key, job)
            ):
                continue
            if waited_s <= max_wait_s:
                continue
            if may_be_stuck and return_policy.is_stuck(waiting_since):
                current_round.return_to_leader(allocation, entry)
                continue
            # The number of slots elsewhere only decreases during a round.
            may_fit_elsewhere = may_fit_elsewhere and return_policy.fits_elsewhere(job)
            if may_fit_elsewhere:
                current_round.return_to_leader(allocation, entry)
