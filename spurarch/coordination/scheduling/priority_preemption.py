"""Preemption by priority: stops tasks of lower priority for tasks of higher priority that fit on no machine."""

from __future__ import annotations

from spurarch.coordination.fleet.capacity import MachineCapacity, Requirements, TentativeBookings
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.partition.machine import TaskAttempt
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.coordination.scheduling.preemption import PREEMPTION_RESERVATION_S, Preemption
from spurarch.storage.records import TaskKey

HIGHEST_PRIORITY = 0


class PriorityPreemption:
    """Finds and stops tasks of lower priority during one round; for one task, on the machine where the fewest stop."""

    def __init__(self, current_round: PlacementRound, preemption: Preemption) -> None:
        self._round, self._preemption = current_round, preemption
        self._has_lower_priority: dict[int, bool] = {}
        self._without_victims: list[Requirements] = []  # requirements for which no victims were found in this round

    def runs_lower_priority_work(self, priority: int) -> bool:
        """Returns whether a task of lower priority is booked on a schedulable machine of the partition.

        Computed once per round and priority. Computing it for every waiting job costs jobs times machines, which took
        a fifth of an owner's time in the first minute of a large fleet.
        """
        if priority not in self._has_lower_priority:
            schedulable = self._round.capacities.schedulable
            used = (used for capacity in schedulable for used in capacity.used_by_priority[priority + 1 :])
            self._has_lower_priority[priority] = any(tasks > 0 for *_, tasks in used)
        return self._has_lower_priority[priority]

    def preempt_for_task(self, key: TaskKey, requirements: Requirements) -> bool:
        """Preempts on any machine of the partition for a task and claims the capacity; returns False if none is found.

        Capacity only shrinks during a round. Requirements for which no victims were found are therefore not searched
        again, nor for tasks of the same or a lower priority that require at least as much: searching for every waiting
        replica took most of an owner's processor time while a large fleet started up.
        """
        if not self.runs_lower_priority_work(requirements.priority):
            return False
        if any(
            requirements.priority >= other.priority and requirements.requires_at_least(other)
            for other in self._without_victims
        ):
            return False
        if self.preempt_on_one_of(key, requirements, self._round.capacities.schedulable, PREEMPTION_RESERVATION_S):
            return True
        self._without_victims.append(requirements)
        return False

    def preempt_on_one_of(
        self, key: TaskKey, requirements: Requirements, capacities: list[MachineCapacity], reservation_s: float
    ) -> bool:
        """Preempts for a task on the given machine where the fewest tasks have to stop.

        Tasks of the lowest priority are stopped first and, among them, the tasks that started last. Gang members come
        after all other tasks, and are stopped only for tasks of the highest priority. Returns False if there is no
        machine on which stopping tasks would make the task fit.
        """
        victims: list[TaskAttempt] = []
        machine: MachineCapacity | None = None
        with_gangs = requirements.priority == HIGHEST_PRIORITY
        for capacity in capacities:
            if not capacity.fits_by_preemption(requirements):
                continue
            candidates = self._candidates(requirements, capacity, with_gangs)
            selected = self._preemption.select_victims(requirements, capacity, candidates)
            if selected and (machine is None or self._stopped_tasks(selected) < self._stopped_tasks(victims)):
                victims, machine = selected, capacity
                if self._stopped_tasks(victims) == 1:
                    break
        if machine is None:
            return False
        self._preemption.stop_for_task(key, requirements, victims, machine, reservation_s)
        return True

    def preempt_for_gang(self, job: JobView, members: int) -> list[MachineCapacity]:
        """Stops tasks of lower priority so that all members fit, and returns the machines for the members.

        Stops nothing and returns an empty list if the members would not all fit. Does not stop other gangs, since
        stopping one member stops them all.
        """
        requirements, remaining = job.requirements, members
        machines: list[MachineCapacity] = []
        victims: list[TaskAttempt] = []
        bookings = TentativeBookings()
        by_free_cpus = sorted(
            self._round.capacities.not_reserved_for_gangs(),
            key=lambda capacity: (-capacity.free_cpus, capacity.machine),
        )
        try:
            for capacity in by_free_cpus:
                selected = self._unbook_victims(bookings, requirements, capacity, remaining)
                slots = (
                    capacity.task_slots(requirements, remaining) if capacity.satisfies_constraints(requirements) else 0
                )
                if slots:
                    machines.append(capacity)
                    victims += selected
                    remaining -= slots
                if remaining <= 0:
                    break
        finally:
            bookings.undo()
        if remaining > 0:
            return []
        self._preemption.stop(victims)
        return machines

    def _unbook_victims(
        self, bookings: TentativeBookings, requirements: Requirements, capacity: MachineCapacity, tasks: int
    ) -> list[TaskAttempt]:
        """Unbooks attempts of lower priority until `tasks` tasks fit or all are unbooked; returns the unbooked ones."""
        victims: list[TaskAttempt] = []
        for attempt in self._candidates(requirements, capacity, with_gangs=False):
            if capacity.task_slots(requirements, tasks) >= tasks:
                break
            bookings.book(capacity, self._preemption.requirements_of(attempt), -1)
            victims.append(attempt)
        return victims

    def _candidates(self, requirements: Requirements, capacity: MachineCapacity, with_gangs: bool) -> list[TaskAttempt]:
        """Returns the attempts on a machine that are allowed to be stopped for the task, in the order to stop them.

        Gang members come last, since stopping one stops its whole gang.
        """
        preemption = self._preemption
        candidates = [
            attempt
            for attempt in self._round.capacities.machine_of(capacity).attempts.values()
            if preemption.is_stoppable(attempt)
            and self._priority(attempt) > requirements.priority
            and (with_gangs or not preemption.is_gang_member(attempt))
        ]
        candidates.sort(
            key=lambda attempt: (
                preemption.is_gang_member(attempt),
                -self._priority(attempt),
                -(attempt.running_at or self._round.now),
            )
        )
        return candidates

    def _priority(self, attempt: TaskAttempt) -> int:
        """Returns the attempt's priority; attempts of unknown jobs have the highest, so they are never stopped."""
        job = self._round.view.jobs.get(attempt.allocation.job)
        return job.requirements.priority if job else HIGHEST_PRIORITY

    def _stopped_tasks(self, attempts: list[TaskAttempt]) -> int:
        """Returns how many tasks stop with the attempts, including the other members of their gangs."""
        gang_sizes = {
            attempt.allocation.job: gang.size
            for attempt in attempts
            if (gang := self._round.partition.gangs.get(attempt.allocation.job)) is not None
        }
        return sum(gang_sizes.values()) + sum(attempt.allocation.job not in gang_sizes for attempt in attempts)
