"""Placing services: replicas are placed one by one, and preempt for a machine that has their image."""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.best_fit import best_fit
from spurarch.coordination.scheduling.moved_replicas import MovedReplicas
from spurarch.coordination.scheduling.placement_memory import TaskKey
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.coordination.scheduling.priority_preemption import PriorityPreemption
from spurarch.coordination.scheduling.task_return import ReturnPolicy
from spurarch.storage.records import AllocationKey, TaskEntry

IMAGE_WAIT_S = 1.5  # for so long room on a machine that has the image is kept for a replica


class ServicePlacement:
    """Places the replicas of services during one round."""

    def __init__(
        self,
        current_round: PlacementRound,
        by_priority: PriorityPreemption,
        moved_replicas: MovedReplicas,
        returns: ReturnPolicy,
    ) -> None:
        self._round, self._by_priority = current_round, by_priority
        self._moved_replicas, self._returns = moved_replicas, returns

    def place(self, allocation: AllocationKey, job: JobView) -> None:
        """Places the replicas of an allocation that find room; the rest preempts, waits or is given back."""
        requirements, capacities = job.requirements, self._round.capacities
        no_room = capacities.has_no_room_for(requirements)
        for entry in self._round.partition.unassigned[allocation]:
            if self._round.use_claimed_room(allocation, job, entry):
                continue
            key = allocation.job, entry.index
            capacity = self._find_room(key, requirements, no_room)
            if capacity is None:
                no_room = True  # all replicas of a job require the same
                self._keep_waiting(allocation, job, entry)
            elif not self._preempt_for_image(key, requirements, capacity):
                capacities.bookings.book(capacity, requirements)
                self._round.assign(allocation, entry, capacity)

    def _find_room(self, key: TaskKey, requirements: Requirements, no_room: bool) -> MachineCapacity | None:
        """The machine for a replica: the target of its move, then the best fit, then one that is kept for gangs."""
        capacities = self._round.capacities
        capacity = None
        if not no_room:
            capacity = self._moved_replicas.target(key, requirements) or best_fit(requirements, capacities.with_room)
        if capacity is None and capacities.kept_for_gangs:
            capacity = best_fit(requirements, capacities.kept_for_gangs)  # they are kept from arrays only
        return capacity

    def _preempt_for_image(self, key: TaskKey, requirements: Requirements, capacity: MachineCapacity) -> bool:
        """Stops work of lower priority on a machine that has the image, if the one found would have to fetch it.

        A replica waits for that once: one that has a claim already takes the machine that it gets.
        """
        if not self._by_priority.runs_lower_priority_work(requirements.priority):
            return False
        if self._has_image(capacity, requirements) or self._round.memory.has_claim(key):
            return False
        having = [other for other in self._round.capacities.schedulable if self._has_image(other, requirements)]
        return self._by_priority.make_room(key, requirements, having, IMAGE_WAIT_S)

    def _has_image(self, capacity: MachineCapacity, requirements: Requirements) -> bool:
        return requirements.image in self._round.capacities.machine_of(capacity).cached_images

    def _keep_waiting(self, allocation: AllocationKey, job: JobView, entry: TaskEntry) -> None:
        """A replica without room preempts, waits or is given back."""
        key = allocation.job, entry.index
        self._round.waiting.add(key)
        since = self._round.memory.waiting_since(key, self._round.now)
        if self._by_priority.make_room_on_any_machine(key, job.requirements):
            return
        if self._round.now - since <= self._returns.max_wait_s():
            return
        if self._returns.is_stuck(since) or self._returns.fits_elsewhere(job):
            self._round.return_to_leader(allocation, entry)
