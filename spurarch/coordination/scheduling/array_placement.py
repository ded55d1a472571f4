"""Placing arrays: tasks that are equal and independent of each other are placed as a group."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from spurarch.coordination.fleet.capacity import MachineCapacity
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.best_fit import fill, machine_to_reserve
from spurarch.coordination.scheduling.guarantee_preemption import GuaranteePreemption
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.coordination.scheduling.priority_preemption import PriorityPreemption
from spurarch.coordination.scheduling.task_return import ReturnPolicy
from spurarch.storage.records import AllocationKey, TaskEntry

MAX_RESERVED_MACHINES = 4  # kept free for starving arrays at a time


class ArrayPlacement:
    """Places the tasks of arrays during one round."""

    def __init__(
        self,
        current_round: PlacementRound,
        by_priority: PriorityPreemption,
        by_guarantee: GuaranteePreemption,
        returns: ReturnPolicy,
    ) -> None:
        self._round, self._returns = current_round, returns
        self._by_priority, self._by_guarantee = by_priority, by_guarantee
        self._reserved_machines = 0

    def place(self, allocation: AllocationKey, job: JobView) -> None:
        """Places as many tasks of an allocation as find room; the rest preempts, waits or is given back."""
        capacities = self._round.capacities
        waiting = self._round.unplaced(allocation)
        no_room = capacities.has_no_room_for(job.requirements)
        if not no_room:
            waiting = self._fill(allocation, job, waiting, capacities.with_room)
            capacities.drop_full_machines()
        if not waiting:
            return
        if not no_room:
            capacities.record_no_room(job.requirements)
        if self._round.is_starving(job):
            self._reserve_machine(job)
        self._keep_waiting(allocation, job, waiting)

    def place_where_image_is_cached(self, allocation: AllocationKey, job: JobView) -> None:
        """Places as many tasks of an allocation as find room on machines that have its image."""
        image = job.requirements.image
        cached = [capacity for capacity in self._round.capacities.with_room if image in capacity.images]
        self._fill(allocation, job, self._round.unplaced(allocation), cached)

    def waits_for_image(self, allocation: AllocationKey, job: JobView) -> bool:
        """The tasks have waited for less than it takes to fetch their image."""
        if not job.array:
            return False
        since = self._round.memory.allocation_waiting_since(allocation, self._round.now)
        return self._round.now - since < self._round.view.image_fetch_s(job)

    def _fill(
        self, allocation: AllocationKey, job: JobView, waiting: list[TaskEntry], machines: Iterable[MachineCapacity]
    ) -> list[TaskEntry]:
        """Assigns tasks by best fit, and returns those that found no room."""
        entries = iter(waiting)
        for capacity, count in fill(job.requirements, machines, len(waiting), self._round.capacities.bookings):
            for entry in islice(entries, count):
                self._round.assign(allocation, entry, capacity)
        return list(entries)

    def _reserve_machine(self, job: JobView) -> None:
        """Keeps a machine free of other tasks until one of these fits: small tasks must not starve a large one."""
        if self._reserved_machines >= MAX_RESERVED_MACHINES:
            return
        capacity = machine_to_reserve(job.requirements, self._round.capacities.schedulable)
        if capacity is not None:
            self._reserved_machines += 1
            self._round.capacities.close(capacity)

    def _keep_waiting(self, allocation: AllocationKey, job: JobView, waiting: list[TaskEntry]) -> None:
        """Tasks without room: some get room by preemption, some are given back, and the rest waits.

        Hundreds of tasks may wait for many rounds, so what is the same for all of them is asked once.
        """
        current_round, memory, returns = self._round, self._round.memory, self._returns
        job_id, now, max_wait_s = job.job_id, current_round.now, returns.max_wait_s()
        within_guarantee = job_id in current_round.view.jobs_within_guarantee()
        may_preempt = self._by_priority.runs_lower_priority_work(job.requirements.priority)
        may_be_stuck, may_fit_elsewhere = returns.is_stuck(float("-inf")), True
        for entry in waiting:
            key = job_id, entry.index
            current_round.waiting.add(key)
            since = memory.waiting_since(key, now)
            waited_s = now - since
            if memory.has_claim(key) and current_round.use_claimed_room(allocation, job, entry):
                continue
            if may_preempt and self._by_priority.make_room_on_any_machine(key, job.requirements):
                continue
            may_preempt = False  # what found nobody to stop once finds nobody in the rest of the round
            if (
                within_guarantee
                and waited_s > current_round.settings.guarantee_wait_s
                and self._by_guarantee.make_room(key, job)
            ):
                continue
            if waited_s <= max_wait_s:
                continue
            if may_be_stuck and returns.is_stuck(since):
                current_round.return_to_leader(allocation, entry)
                continue
            may_fit_elsewhere = may_fit_elsewhere and returns.fits_elsewhere(job)  # slots there only get fewer
            if may_fit_elsewhere:
                current_round.return_to_leader(allocation, entry)
