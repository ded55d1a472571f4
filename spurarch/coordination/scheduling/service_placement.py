"""Placement of services: replicas are placed one by one, and may preempt to start where their image is cached."""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.best_fit import best_fit
from spurarch.coordination.scheduling.moved_replicas import MovedReplicas
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.coordination.scheduling.priority_preemption import PriorityPreemption
from spurarch.coordination.scheduling.task_return import ReturnPolicy
from spurarch.storage.records import AllocationKey, TaskEntry, TaskKey

IMAGE_RESERVATION_S = 1.5  # how long a replica waits for preempted capacity on a machine that has its image


class ServicePlacement:
    """Places the replicas of services during one round."""

    def __init__(
        self,
        current_round: PlacementRound,
        priority_preemption: PriorityPreemption,
        moved_replicas: MovedReplicas,
        return_policy: ReturnPolicy,
    ) -> None:
        self._round, self._priority_preemption = current_round, priority_preemption
        self._moved_replicas, self._return_policy = moved_replicas, return_policy

    def place(self, allocation: AllocationKey, job: JobView) -> None:
        """Places the replicas of an allocation that fit; the others preempt, wait or are returned to the leader."""
        requirements, capacities = job.requirements, self._round.capacities
        unplaceable = capacities.is_unplaceable(requirements)
        for entry in self._round.partition.unassigned[allocation]:
            if self._round.use_claimed_capacity(allocation, job, entry):
                continue
            key = allocation.job, entry.index
            capacity = self._find_machine(key, requirements, unplaceable)
            if capacity is None:
                unplaceable = True  # all replicas of a job have the same requirements
                self._preempt_or_return(allocation, job, entry)
            elif not self._preempt_for_image(key, requirements, capacity):
                capacities.bookings.book(capacity, requirements)
                self._round.assign(allocation, entry, capacity)

    def _find_machine(self, key: TaskKey, requirements: Requirements, unplaceable: bool) -> MachineCapacity | None:
        """Returns the target of the replica's migration, else the best fit, else one reserved for gangs, or None."""
        capacities = self._round.capacities
        capacity = None
        if not unplaceable:
            capacity = self._moved_replicas.target(key, requirements) or best_fit(
                requirements, capacities.with_free_capacity
            )
        if capacity is None and capacities.reserved_for_gangs:
            capacity = best_fit(requirements, capacities.reserved_for_gangs)  # only arrays are kept off these machines
        return capacity

    def _preempt_for_image(self, key: TaskKey, requirements: Requirements, capacity: MachineCapacity) -> bool:
        """Preempts on a machine that has the replica's image if the machine that was found would have to fetch it.

        Returns whether it preempted. A replica waits for preempted capacity only once: one that already has a claim is
        placed on the machine that was found.
        """
        if not self._priority_preemption.runs_lower_priority_work(requirements.priority):
            return False
        if self._has_image(capacity, requirements) or self._round.placement_state.has_claim(key):
            return False
        with_image = [other for other in self._round.capacities.schedulable if self._has_image(other, requirements)]
        return self._priority_preemption.preempt_on_one_of(key, requirements, with_image, IMAGE_RESERVATION_S)

    def _has_image(self, capacity: MachineCapacity, requirements: Requirements) -> bool:
        return requirements.image in self._round.capacities.machine_of(capacity).cached_images

    def _preempt_or_return(self, allocation: AllocationKey, job: JobView, entry: TaskEntry) -> None:
        """Handles a replica that fits on no machine: it preempts, is returned to the leader or waits on."""
        key = allocation.job, entry.index
        self._round.waiting.add(key)
        waiting_since = self._round.placement_state.waiting_since(key, self._round.now)
        if self._priority_preemption.preempt_for_task(key, job.requirements):
            return
        if self._round.now - waiting_since <= self._return_policy.max_wait_s():
            return
        if self._return_policy.is_stuck(waiting_since) or self._return_policy.fits_elsewhere(job):
            self._round.return_to_leader(allocation, entry)
