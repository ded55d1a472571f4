"""Preemption by priority: work of lower priority is stopped for work of higher priority that has no room."""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import EPSILON, MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.partition.machine import TaskAttempt
from spurarch.coordination.scheduling.placement_memory import TaskKey
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.coordination.scheduling.preemption import PREEMPT_WAIT_S, Preemption

HIGHEST_PRIORITY = 0


class PriorityPreemption:
    """Finds during one round the work of lower priority that costs least to stop."""

    def __init__(self, current_round: PlacementRound, preemption: Preemption) -> None:
        self._round, self._preemption = current_round, preemption
        self._has_lower_priority: dict[int, bool] = {}
        self._without_victims: list[Requirements] = []

    def runs_lower_priority_work(self, priority: int) -> bool:
        """Something of lower priority runs in the partition.

        Asked once a round: to ask for every job that waits is jobs times machines, and took a fifth of an owner's time
        in the first minute of a large fleet.
        """
        if priority not in self._has_lower_priority:
            schedulable = self._round.capacities.schedulable
            used = (used for capacity in schedulable for used in capacity.by_priority[priority + 1 :])
            self._has_lower_priority[priority] = any(cpus > EPSILON for cpus, *_ in used)
        return self._has_lower_priority[priority]

    def make_room_on_any_machine(self, key: TaskKey, requirements: Requirements) -> bool:
        """Stops work on any machine of the partition to make room for a task; False if that is not possible.

        Room only shrinks in the course of a round, so what found nobody to stop is not looked for again by tasks that
        require no less: to do so for every replica that waits took most of an owner's processor time while a large
        fleet came up.
        """
        if not self.runs_lower_priority_work(requirements.priority):
            return False
        if any(
            requirements.priority >= other.priority and requirements.requires_at_least(other)
            for other in self._without_victims
        ):
            return False
        if self.make_room(key, requirements, self._round.capacities.schedulable, PREEMPT_WAIT_S):
            return True
        self._without_victims.append(requirements)
        return False

    def make_room(
        self, key: TaskKey, requirements: Requirements, capacities: list[MachineCapacity], wait_s: float
    ) -> bool:
        """Stops the youngest tasks of lower priority on that one of the machines which loses the fewest of them."""
        fewest: list[TaskAttempt] = []
        machine: MachineCapacity | None = None
        with_gangs = requirements.priority == HIGHEST_PRIORITY
        for capacity in capacities:
            if not capacity.fits_by_preemption(requirements):
                continue
            candidates = self._candidates(requirements, capacity, with_gangs)
            victims = self._preemption.victims(requirements, capacity, candidates)
            if victims and (machine is None or self._tasks_lost(victims) < self._tasks_lost(fewest)):
                fewest, machine = victims, capacity
                if self._tasks_lost(fewest) == 1:
                    break
        if machine is None:
            return False
        self._preemption.stop_for_task(key, requirements, fewest, machine, wait_s)
        return True

    def make_room_for_gang(self, job: JobView, members: int) -> list[MachineCapacity]:
        """Stops work of lower priority so that all members fit, and returns their machines.

        Stops nothing and returns no machines if that is not enough. Other gangs are left alone: to stop one member
        costs all of them.
        """
        requirements, left = job.requirements, members
        machines: list[MachineCapacity] = []
        victims: list[TaskAttempt] = []
        trial = TentativeBookings()
        by_free_cpus = sorted(
            self._round.capacities.not_kept_for_gangs(),
            key=lambda capacity: (-capacity.free_cpus, capacity.machine),
        )
        try:
            for capacity in by_free_cpus:
                chosen = self._stop_on_trial(trial, requirements, capacity, left)
                slots = capacity.task_slots(requirements, left) if capacity.allows(requirements) else 0
                if slots:
                    machines.append(capacity)
                    victims += chosen
                    left -= slots
                if left <= 0:
                    break
        finally:
            trial.undo()
        if left > 0:
            return []
        self._preemption.stop(victims)
        return machines

    def _stop_on_trial(
        self, trial: TentativeBookings, requirements: Requirements, capacity: MachineCapacity, tasks: int
    ) -> list[TaskAttempt]:
        """Takes back bookings of lower priority on a machine until so many tasks fit, or none is left."""
        chosen: list[TaskAttempt] = []
        for attempt in self._candidates(requirements, capacity, with_gangs=False):
            if capacity.task_slots(requirements, tasks) >= tasks:
                break
            trial.book(capacity, self._preemption.requirements_of(attempt), -1)
            chosen.append(attempt)
        return chosen

    def _candidates(self, requirements: Requirements, capacity: MachineCapacity, with_gangs: bool) -> list[TaskAttempt]:
        """Attempts on a machine that may be stopped for work of a higher priority, in the order to stop them in.

        Members of gangs come last: each takes its whole gang with it.
        """
        preemption = self._preemption
        lower = [
            attempt
            for attempt in self._round.capacities.machine_of(capacity).attempts.values()
            if preemption.is_stoppable(attempt)
            and self._priority(attempt) > requirements.priority
            and (with_gangs or not preemption.is_gang_member(attempt))
        ]
        lower.sort(
            key=lambda attempt: (
                preemption.is_gang_member(attempt),
                -self._priority(attempt),
                -(attempt.running_at or self._round.now),
            )
        )
        return lower

    def _priority(self, attempt: TaskAttempt) -> int:
        """The attempt's priority; that of a job that is not known is the highest, so that it is never stopped."""
        job = self._round.view.jobs.get(attempt.allocation.job)
        return job.requirements.priority if job else HIGHEST_PRIORITY

    def _tasks_lost(self, attempts: list[TaskAttempt]) -> int:
        """How many tasks would stop with these, members of their gangs included."""
        gang_sizes = {
            attempt.allocation.job: gang.size
            for attempt in attempts
            if (gang := self._round.partition.gangs.get(attempt.allocation.job)) is not None
        }
        return sum(gang_sizes.values()) + sum(attempt.allocation.job not in gang_sizes for attempt in attempts)
