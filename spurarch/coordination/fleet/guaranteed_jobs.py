"""Jobs whose resources are covered by the guarantee of their team."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from spurarch.coordination.fleet.capacity import EPSILON
from spurarch.coordination.fleet.job_view import JobView
from spurarch.settings import Team


class GuaranteedJobs:
    """Jobs that fit within their team's guarantee together with all unfinished jobs that the team submitted earlier.

    The result is cached until the number of unfinished tasks of a job changes.
    """

    def __init__(self, jobs: Mapping[str, JobView], teams: Mapping[int, Team]) -> None:
        self._jobs, self._teams = jobs, teams
        self._unfinished_tasks: dict[str, int] = {}  # by job
        self._job_ids: set[str] | None = None

    def set_unfinished_tasks(self, job_id: str, tasks: int) -> None:
        """Sets the number of tasks of a job that have not ended; 0 for a cancelled job."""
        if tasks != self._unfinished_tasks.get(job_id, 0):
            self._unfinished_tasks[job_id] = tasks
            self._job_ids = None

    def remove(self, job_id: str) -> None:
        """Removes a job whose record was deleted; it must have no unfinished tasks."""
        self._unfinished_tasks.pop(job_id, None)

    def job_ids(self) -> set[str]:
        """Returns the ids of the jobs within their team's guarantee."""
        if self._job_ids is None:
            self._job_ids = self._compute()
        return self._job_ids

    def _compute(self) -> set[str]:
        job_ids: set[str] = set()
        cpus: dict[int, float] = defaultdict(float)
        gpus: dict[int, float] = defaultdict(float)
        unfinished = (self._jobs[job_id] for job_id, tasks in self._unfinished_tasks.items() if tasks)
        for job in sorted(unfinished, key=lambda job: job.submitted_at):
            team = self._teams.get(job.team)
            if team is None:
                continue
            tasks = self._unfinished_tasks[job.job_id]
            cpus[job.team] += tasks * job.requirements.cpus
            gpus[job.team] += tasks * job.requirements.gpus
            cpus_guaranteed = cpus[job.team] <= team.guaranteed_cpus + EPSILON
            gpus_guaranteed = gpus[job.team] <= team.guaranteed_gpus + EPSILON or job.requirements.gpus == 0
            if cpus_guaranteed and gpus_guaranteed:
                job_ids.add(job.job_id)
        return job_ids
