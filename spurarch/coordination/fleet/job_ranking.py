"""The order in which jobs are admitted and placed."""

from __future__ import annotations

from collections.abc import Mapping

from spurarch.coordination.fleet.guaranteed_jobs import GuaranteedJobs
from spurarch.coordination.fleet.job_view import JobView

JobRank = tuple[int, bool, float, float]  # a plain tuple for speed: each round sorts all waiting jobs by it
STARVING_PRIORITY = -1  # ranks a starving job before all priorities


class JobRanking:
    """Ranks jobs by priority, guarantee and deadline; of jobs with equal deadlines, the smallest ranks first."""

    def __init__(self, jobs: Mapping[str, JobView], guaranteed: GuaranteedJobs, size_weight: float) -> None:
        self._jobs, self._guaranteed, self._size_weight = jobs, guaranteed, size_weight
        self._allowance_per_cpu_second: float | None = None  # over the waiting jobs; None if outdated

    def invalidate(self) -> None:
        """Discards values computed from the jobs; called after jobs have changed."""
        self._allowance_per_cpu_second = None

    def rank(self, job: JobView, starving: bool) -> JobRank:
        """Returns the sort key of a job for admission and placement; the lowest key comes first.

        The key orders by priority, then jobs within their team's guarantee before others, then by deadline, then by
        submission. For a gang, the deadline is that of its start; otherwise `_size_delay_s` is added to it. Starving
        jobs rank before all others regardless of priority, so that a stream of more urgent jobs can't starve them.
        """
        if starving:
            return STARVING_PRIORITY, False, job.submitted_at, job.submitted_at
        if job.start_deadline is not None:
            deadline = job.start_deadline
        elif job.deadline is not None:
            deadline = job.deadline + self._size_delay_s(job)
        else:
            deadline = float("inf")
        beyond_guarantee = job.job_id not in self._guaranteed.job_ids()
        return job.requirements.priority, beyond_guarantee, deadline, job.submitted_at

    def _size_delay_s(self, job: JobView) -> float:
        """Seconds added to a job's deadline in the rank, proportional to its CPU seconds that have yet to start.

        Under overload, earliest deadline first makes nearly all jobs miss their deadlines by a little, since each job
        starts only when it is too late to meet its deadline. The delay favors small jobs, as in shortest job first: a
        few large jobs miss their deadlines instead of many jobs. A job of mean size is delayed by `size_weight` times
        the mean time between submission and deadline.
        """
        if self._allowance_per_cpu_second is None:
            self._allowance_per_cpu_second = self._compute_allowance()
        return self._size_weight * self._allowance_per_cpu_second * job.cpu_seconds_to_start

    def _compute_allowance(self) -> float:
        """Time from submission to deadline per CPU second that has yet to start, summed over the waiting jobs."""
        waiting = [
            job for job in self._jobs.values() if not job.service and job.deadline is not None and job.to_start > 0
        ]
        cpu_seconds = sum(job.cpu_seconds_to_start for job in waiting)
        allowance_s = sum(job.deadline - job.submitted_at for job in waiting if job.deadline is not None)
        return allowance_s / cpu_seconds if cpu_seconds > 0 else 0.0
