"""Compares the quota ledger with sums over the records: completely when a term begins, in small steps after that.

A term is one controller's time as leader (see `Membership.confirmed_term`).

The ledger is updated incrementally. A missed update would go unnoticed, and the team would exceed its quota by that
amount (docs/incidents/2026-12-02-team-limit.md). A difference is therefore logged with both sums and corrected, and
admission is suspended for the team until a complete pass finds no difference.
"""

from __future__ import annotations

from collections import defaultdict

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.fleet.quota_ledger import Charge
from spurarch.storage import records

PASS_INTERVAL_S = 10.0
ENTRIES_PER_STEP = 500  # task entries per step: takes well below a millisecond, ten times a second
CHARGED_STATES = {records.UNASSIGNED, records.ASSIGNED}


class LedgerAudit:
    """Checks the charges of all jobs in repeated passes; `passes` counts the completed ones."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._remaining_jobs: list[str] = []
        self._differing_teams: set[int] = set()  # in the current pass
        self._in_progress = False
        self._next_pass = 0.0
        self.passes = 0

    def check_all(self) -> None:
        """Runs one complete pass. The fleet view has to be up to date."""
        self._begin_pass()
        while self._remaining_jobs:
            self._check_job(self._remaining_jobs.pop())
        self._end_pass()

    def check_step(self, now: float) -> None:
        """Runs one step of a pass; begins the next pass if none is in progress and it is due.

        `now` is monotonic, in seconds. The fleet view has to be up to date.
        """
        if not self._in_progress:
            if now < self._next_pass:
                return
            self._next_pass = now + PASS_INTERVAL_S
            self._begin_pass()
        entries = 0
        while self._remaining_jobs and entries < ENTRIES_PER_STEP:
            entries += self._check_job(self._remaining_jobs.pop())
        if not self._remaining_jobs:
            self._end_pass()

    def _begin_pass(self) -> None:
        self._remaining_jobs = list(self._view.state.jobs)
        self._differing_teams = set()
        self._in_progress = True

    def _end_pass(self) -> None:
        """Checks the team totals, and resumes admission for teams without a difference in this pass.

        All jobs match their records by now, so the total of a team has to be the sum over its jobs.
        """
        self._check_totals()
        for team in self._view.ledger.suspended_teams:
            if team not in self._differing_teams:
                self._view.ledger.resume(team)
        self._in_progress = False
        self.passes += 1

    def _check_job(self, job_id: str) -> int:
        """Compares the charge of one job with its records and corrects it; returns 1 plus the number of its entries."""
        view = self._view
        allocations = view.state.allocations.get(job_id, {})
        entries = recorded = 0
        for record in allocations.values():
            entries += len(record.tasks)
            for entry in record.tasks:
                recorded += entry.state in CHARGED_STATES
        job = view.jobs.get(job_id)
        if job_id in view.state.jobs and (job is None or job.charged != recorded):
            self._correct_job(job_id, job, recorded)
        return 1 + entries

    def _correct_job(self, job_id: str, job: JobView | None, recorded: int) -> None:
        view = self._view
        charged = job.charged if job is not None else 0
        view.ledger.violations.record(
            f"job charge differs from its records job={job_id} charged={charged} recorded={recorded}"
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
                view.ledger.add_recorded(team, recorded - charged)
                self._differing_teams.add(team)
                view.ledger.suspend(team, "total differed from its jobs")
