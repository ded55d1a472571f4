"""Preemption by guarantee: stops tasks of teams beyond their guaranteed quota for jobs within that of their team."""

from __future__ import annotations

from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.partition.machine import TaskAttempt
from spurarch.coordination.scheduling.placement_round import PlacementRound
from spurarch.coordination.scheduling.preemption import PREEMPTION_RESERVATION_S, Preemption
from spurarch.storage.records import TaskKey


class GuaranteePreemption:
    """Stops tasks that teams run beyond their guarantees during one round."""

    def __init__(self, current_round: PlacementRound, preemption: Preemption) -> None:
        self._round, self._preemption = current_round, preemption
        self._stopped_cpus: dict[int, float] = {}  # by team, stopped in this round
        self._candidates: list[TaskAttempt] | None = None

    def preempt_for_task(self, key: TaskKey, job: JobView) -> bool:
        """Stops one task that another team runs beyond its guarantee, for a job within its own team's guarantee.

        Returns whether a task was stopped. This is the protocol's second preemption rule, besides preemption by
        priority. Of the tasks whose stop makes the task fit, the one that started last is stopped; service replicas and
        gang members are never stopped. By the records and the stops of this round, no team falls below its guarantee.
        Stops in earlier rounds and in other partitions count only once the ends of the tasks are recorded.
        """
        if self._candidates is None:
            self._candidates = self._collect_candidates()
        view, preemption = self._round.view, self._preemption
        for attempt in reversed(self._candidates):
            victim = view.jobs[attempt.allocation.job]
            capacity = self._round.capacities.by_name.get(attempt.machine)
            if victim.team == job.team or victim.service or capacity is None:
                continue
            if self._borrowed_cpus(victim.team) < victim.requirements.cpus:
                continue
            if not preemption.is_stoppable(attempt):
                continue
            if not preemption.select_victims(job.requirements, capacity, [attempt]):
                continue
            self._stopped_cpus[victim.team] = self._stopped_cpus.get(victim.team, 0.0) + victim.requirements.cpus
            preemption.stop_for_task(key, job.requirements, [attempt], capacity, PREEMPTION_RESERVATION_S)
            return True
        return False

    def _borrowed_cpus(self, team: int) -> float:
        """Returns the CPUs that a team still borrows after the tasks stopped here in this round have ended."""
        return self._round.view.borrowed_cpus(team) - self._stopped_cpus.get(team, 0.0)

    def _collect_candidates(self) -> list[TaskAttempt]:
        """Returns the attempts of jobs beyond their team's guarantee, in the order in which they started to run."""
        view, preemption = self._round.view, self._preemption
        attempts = [
            attempt
            for attempt in self._round.partition.attempts.values()
            if preemption.is_stoppable(attempt)
            and attempt.allocation.job in view.jobs
            and not preemption.is_gang_member(attempt)
            and attempt.allocation.job not in view.jobs_within_guarantee()
        ]
        return sorted(attempts, key=lambda attempt: attempt.running_at or self._round.now)
