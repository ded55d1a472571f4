"""The order in which jobs are admitted and placed."""

from __future__ import annotations

from collections.abc import Mapping

from spurarch.coordination.fleet.guaranteed_jobs import GuaranteedJobs
from spurarch.coordination.fleet.job_view import JobView

JobRank = tuple[int, bool, float, float]  # a plain tuple, since all waiting jobs are sorted by it in each round
STARVING = -1  # in place of a priority


class JobRanking:
    """Ranks jobs by priority, guarantee, and deadline; small jobs come before large ones of the same deadline."""

    def __init__(self, jobs: Mapping[str, JobView], guaranteed: GuaranteedJobs, size_weight: float) -> None:
        self._jobs, self._guaranteed, self._size_weight = jobs, guaranteed, size_weight
        self._allowance_per_cpu_second: float | None = None  # seconds until the deadline, over the jobs that wait

    def invalidate(self) -> None:
        """The jobs have changed."""
        self._allowance_per_cpu_second = None

    def rank(self, job: JobView, starving: bool) -> JobRank:
        """The job's place in the order of admission and of placing; the lowest comes first.

        Priority; then jobs within their team's guarantee, who need not wait for others; then the deadline.

        A job of which nothing has run for the longest wait goes before all others of whatever priority: nobody is to
        starve behind a stream of jobs that are more urgent.
        """
        if starving:
            return STARVING, False, job.submitted_at, job.submitted_at
        if job.start_deadline is not None:
            deadline = job.start_deadline
        elif job.deadline is not None:
            deadline = job.deadline + self._size_delay_s(job)
        else:
            deadline = float("inf")
        beyond_guarantee = job.job_id not in self._guaranteed.job_ids()
        return job.requirements.priority, beyond_guarantee, deadline, job.submitted_at

    def _size_delay_s(self, job: JobView) -> float:
        """How much later than by its deadline a job comes in the order, by how much of it has yet to start.

        When more is asked than can be done, order by deadline alone makes nearly everybody late by a little: whoever
        comes next has waited until it is too late. So the small go first, as in shortest-job-first, and a few of the
        large are late instead of many jobs. A job of mean size comes `size_weight` of the usual allowance later.
        """
        if self._allowance_per_cpu_second is None:
            self._allowance_per_cpu_second = self._compute_allowance()
        return self._size_weight * self._allowance_per_cpu_second * job.work_left

    def _compute_allowance(self) -> float:
        waiting = [
            job for job in self._jobs.values() if not job.service and job.deadline is not None and job.to_start > 0
        ]
        work = sum(job.work_left for job in waiting)
        allowance_s = sum(job.deadline - job.submitted_at for job in waiting if job.deadline is not None)
        return allowance_s / work if work > 0 else 0.0
