"""Room for replicas that the local search moves: kept from other tasks until the replica has left its old machine."""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.scheduling.placement_memory import TaskKey
from spurarch.coordination.scheduling.placement_round import PlacementRound


class MovedReplicas:
    """Reserves room on the targets of moves during one round."""

    def __init__(self, current_round: PlacementRound) -> None:
        self._round = current_round
        self._reserved: dict[TaskKey, MachineCapacity] = {}

    def target(self, key: TaskKey, requirements: Requirements) -> MachineCapacity | None:
        """The machine that the search chose for a moved replica, if it still fits there."""
        target = self._round.memory.move_targets.get(key)
        if target is None:
            return None
        return self._round.capacities.find_with_room(target.machine, requirements)

    def reserve(self) -> None:
        """Books the room of replicas that have been told to stop, or have stopped, on their way to another machine."""
        partition, view = self._round.partition, self._round.view
        for key in self._round.memory.move_targets:
            job = view.jobs.get(key[0])
            if job is None:
                continue
            capacity = self.target(key, job.requirements)
            attempt = partition.attempts.get(key)
            if capacity is not None and (attempt is None or attempt.stop_requested):
                self._round.capacities.bookings.book(capacity, job.requirements)
                self._reserved[key] = capacity

    def release(self, job: JobView) -> None:
        """Frees the room reserved for replicas of a job, since they are placed next."""
        for key in [key for key in self._reserved if key[0] == job.job_id]:
            self._round.capacities.bookings.book(self._reserved.pop(key), job.requirements, -1)
