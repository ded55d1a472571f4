"""What both kinds of preemption share: which attempts may be stopped, and what it takes to stop them."""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.partition.machine import AttemptPhase, TaskAttempt
from spurarch.coordination.scheduling.placement_memory import Claim, TaskKey
from spurarch.coordination.scheduling.placement_round import PlacementRound

PREEMPT_WAIT_S = 8.0  # for so long room is kept for the task that others are stopped for


class Preemption:
    """The attempts that one round stops."""

    def __init__(self, current_round: PlacementRound) -> None:
        self._round = current_round
        self._stopped: set[TaskKey] = set()

    def is_stoppable(self, attempt: TaskAttempt) -> bool:
        """The attempt neither stops already nor was chosen in this round."""
        return not attempt.stop_requested and attempt.phase < AttemptPhase.STOPPING and attempt.key not in self._stopped

    def is_gang_member(self, attempt: TaskAttempt) -> bool:
        """The attempt belongs to a gang, which stops as a whole."""
        return self._round.partition.gangs.get(attempt.allocation.job) is not None

    def requirements_of(self, attempt: TaskAttempt) -> Requirements:
        """What the attempt's job requires for each task."""
        return self._round.view.jobs[attempt.allocation.job].requirements

    def victims(
        self, requirements: Requirements, capacity: MachineCapacity, candidates: list[TaskAttempt]
    ) -> list[TaskAttempt]:
        """The first candidates that make room for the task by stopping; none if all of them are not enough."""
        trial, chosen = TentativeBookings(), []
        try:
            for attempt in candidates:
                if capacity.fits(requirements):
                    break
                trial.book(capacity, self.requirements_of(attempt), -1)
                chosen.append(attempt)
            return chosen if capacity.fits(requirements) else []
        finally:
            trial.undo()

    def stop(self, attempts: list[TaskAttempt]) -> None:
        """Stops attempts; what they have booked stays booked."""
        self._round.result.preempt += attempts
        self._stopped.update(attempt.key for attempt in attempts)

    def stop_for_task(
        self,
        key: TaskKey,
        requirements: Requirements,
        attempts: list[TaskAttempt],
        capacity: MachineCapacity,
        wait_s: float,
    ) -> None:
        """Stops attempts on a machine and claims the room for a task, which goes there once it is free."""
        current_round = self._round
        current_round.waiting.add(key)
        current_round.memory.claim(key, Claim(capacity.machine, current_round.now + wait_s))
        self.stop(attempts)
        bookings = current_round.capacities.bookings
        for attempt in attempts:
            bookings.book(capacity, self.requirements_of(attempt), -1)
        bookings.book(capacity, requirements)  # nobody else may count on this room
