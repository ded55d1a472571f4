"""Reserves capacity for service replicas that the local search migrates.

The capacity on the target machine is reserved until the replica has left its original machine.
"""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.storage.records import TaskKey


class MovedReplicas:
    """Reserves capacity on the target machines of migrations during one round."""

    def __init__(self, current_round: PlacementRound) -> None:
        self._round = current_round
        self._reserved: dict[TaskKey, MachineCapacity] = {}

    def target(self, key: TaskKey, requirements: Requirements) -> MachineCapacity | None:
        """Returns the target machine of a replica's migration; None if it has none or does not fit there."""
        target = self._round.placement_state.move_targets.get(key)
        if target is None:
            return None
        return self._round.capacities.find_fitting(target.machine, requirements)

    def reserve(self) -> None:
        """Books capacity on target machines for replicas that are stopping or have left their original machine."""
        partition, view = self._round.partition, self._round.view
        for key in self._round.placement_state.move_targets:
            job = view.jobs.get(key[0])
            if job is None:
                continue
            capacity = self.target(key, job.requirements)
            attempt = partition.attempts.get(key)
            if capacity is not None and (attempt is None or attempt.stop_requested):
                self._round.capacities.bookings.book(capacity, job.requirements)
                self._reserved[key] = capacity

    def release(self, job: JobView) -> None:
        """Releases the capacity reserved for replicas of a job, which is placed next."""
        for key in [key for key in self._reserved if key[0] == job.job_id]:
            self._round.capacities.bookings.book(self._reserved.pop(key), job.requirements, -1)
