"""Common parts of preemption by priority and by guarantee: which attempts may be stopped, and how they are stopped."""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.partition.machine import AttemptPhase, TaskAttempt
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.coordination.scheduling.placement_state import Claim
from spurarch.storage.records import TaskKey

PREEMPTION_RESERVATION_S = 8.0  # how long preempted capacity is reserved for the task or gang that preempted


class Preemption:
    """Selects and stops attempts during one round."""

    def __init__(self, current_round: PlacementRound) -> None:
        self._round = current_round
        self._stopped: set[TaskKey] = set()

    def is_stoppable(self, attempt: TaskAttempt) -> bool:
        """Returns whether the attempt is not stopping yet and was not stopped in this round."""
        return not attempt.stop_requested and attempt.phase < AttemptPhase.STOPPING and attempt.key not in self._stopped

    def is_gang_member(self, attempt: TaskAttempt) -> bool:
        """Returns whether the attempt belongs to a gang, which stops as a whole."""
        return self._round.partition.gangs.get(attempt.allocation.job) is not None

    def requirements_of(self, attempt: TaskAttempt) -> Requirements:
        """Returns the requirements of the attempt's task."""
        return self._round.view.jobs[attempt.allocation.job].requirements

    def select_victims(
        self, requirements: Requirements, capacity: MachineCapacity, candidates: list[TaskAttempt]
    ) -> list[TaskAttempt]:
        """Returns the first candidates whose stop lets the task fit on the machine.

        Returns an empty list if the task would not fit after all of them have stopped.
        """
        bookings, victims = TentativeBookings(), []
        try:
            for attempt in candidates:
                if capacity.fits(requirements):
                    break
                bookings.book(capacity, self.requirements_of(attempt), -1)
                victims.append(attempt)
            return victims if capacity.fits(requirements) else []
        finally:
            bookings.undo()

    def stop(self, attempts: list[TaskAttempt]) -> None:
        """Stops attempts, without unbooking their capacity."""
        self._round.result.preempt += attempts
        self._stopped.update(attempt.key for attempt in attempts)

    def stop_for_task(
        self,
        key: TaskKey,
        requirements: Requirements,
        attempts: list[TaskAttempt],
        capacity: MachineCapacity,
        reservation_s: float,
    ) -> None:
        """Stops attempts on a machine and claims their capacity for a task, which is placed there once it fits."""
        current_round = self._round
        current_round.waiting.add(key)
        current_round.placement_state.claim(key, Claim(capacity.machine, current_round.now + reservation_s))
        self.stop(attempts)
        bookings = current_round.capacities.bookings
        for attempt in attempts:
            bookings.book(capacity, self.requirements_of(attempt), -1)
        bookings.book(capacity, requirements)  # no other task may use this capacity
