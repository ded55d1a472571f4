"""Compares the quota ledger with a fresh sum over the records: in full as a term begins, in small steps after that.

The ledger is updated by increments. A missed one is never noticed by itself, and the team exceeds its quota by as much
(docs/incidents/2026-12-02-team-limit.md). So a difference is logged with both sums and corrected, and the team is
admitted nothing until a whole pass finds no difference.
"""

from __future__ import annotations

from collections import defaultdict

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.fleet.quota_ledger import Charge
from spurarch.storage import records

PASS_INTERVAL_S = 10.0
ENTRIES_AT_ONCE = 500  # task entries in one step: well below a millisecond, ten times a second
CHARGED = {records.FREE, records.ASSIGNED}


class LedgerAudit:
    """Passes over all jobs, one after another; `passes` counts those that are complete."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._remaining_jobs: list[str] = []
        self._differing_teams: set[int] = set()  # in the current pass
        self._in_progress = False
        self._next_pass = 0.0
        self.passes = 0

    def check_all(self) -> None:
        """Makes one whole pass. The view has to be up to date."""
        self._begin()
        while self._remaining_jobs:
            self._check_job(self._remaining_jobs.pop())
        self._end()

    def check_some(self, now: float) -> None:
        """Makes one step of the pass, or begins the next one if its time has come. The view has to be up to date."""
        if not self._in_progress:
            if now < self._next_pass:
                return
            self._next_pass = now + PASS_INTERVAL_S
            self._begin()
        entries = 0
        while self._remaining_jobs and entries < ENTRIES_AT_ONCE:
            entries += self._check_job(self._remaining_jobs.pop())
        if not self._remaining_jobs:
            self._end()

    def _begin(self) -> None:
        self._remaining_jobs = list(self._view.state.jobs)
        self._differing_teams = set()
        self._in_progress = True

    def _end(self) -> None:
        """The jobs equal their records by now; what each team is charged with has to be the sum of its jobs."""
        self._check_totals()
        for team in self._view.ledger.suspended:
            if team not in self._differing_teams:
                self._view.ledger.resume(team)
        self._in_progress = False
        self.passes += 1

    def _check_job(self, job_id: str) -> int:
        """Compares one job with its records; returns the number of entries read."""
        view = self._view
        allocations = view.state.allocations.get(job_id, {})
        entries = charged = 0
        for record in allocations.values():
            entries += len(record.tasks)
            for entry in record.tasks:
                charged += entry.state in CHARGED
        job = view.jobs.get(job_id)
        if job_id in view.state.jobs and (job is None or job.charged != charged):
            self._correct_job(job_id, job, charged)
        return 1 + entries

    def _correct_job(self, job_id: str, job: JobView | None, charged: int) -> None:
        view = self._view
        booked = job.charged if job is not None else 0
        view.ledger.violations.record(
            f"job charge differs from its records job={job_id} charged={booked} recorded={charged}"
        )
        view.rebook_job(job_id)
        team = view.jobs[job_id].team
        self._differing_teams.add(team)
        view.ledger.suspend(team, "charges differed from the records")

    def _check_totals(self) -> None:
        view = self._view
        cpus, gpus = defaultdict[int, int](int), defaultdict[int, int](int)
        for job in view.jobs.values():
            cpus[job.team] += job.charge_per_task.cpus * job.charged
            gpus[job.team] += job.charge_per_task.gpus * job.charged
        for team in view.quotas:
            recorded, charged = Charge(cpus[team], gpus[team]), view.ledger.recorded(team)
            if recorded != charged:
                view.ledger.violations.record(
                    f"team total differs from its jobs team={view.quotas[team].name} "
                    f"charged={charged} recorded={recorded}"
                )
                view.ledger.adjust(team, recorded - charged)
                self._differing_teams.add(team)
                view.ledger.suspend(team, "total differed from its jobs")
