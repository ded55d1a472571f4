"""Compares the ledger of teams with a fresh sum over the records: in full as a term begins, a little of it at a time after.

The ledger is kept by increments. One that is missed is never noticed by itself, and the team passes its limit by as much
(docs/incidents/2026-12-02-team-limit.md). So what differs is logged with both sums and booked anew, and its team is
admitted nothing until a whole pass finds that all is equal.
"""

from __future__ import annotations

from collections import defaultdict

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.job_view import JobView
from spurarch.coordination.fleet.quota_ledger import Charge
from spurarch.storage import records

PASS_EVERY_S = 10.0
ENTRIES_AT_ONCE = 500  # of tasks on record: well below a millisecond, ten times a second
CHARGED = {records.FREE, records.ASSIGNED}


class LedgerAudit:
    """Passes over all jobs, again and again."""

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._left: list[str] = []
        self._differed: set[int] = set()  # teams, in the pass that is under way
        self._under_way = False
        self._next_pass = 0.0
        self.passes = 0

    def check_all(self) -> None:
        """One whole pass. The view has to be up to date."""
        self._begin()
        while self._left:
            self._check_job(self._left.pop())
        self._end()

    def check_some(self, now: float) -> None:
        """Goes on with the pass for a little while, or begins one if that is due. The view has to be up to date."""
        if not self._under_way:
            if now < self._next_pass:
                return
            self._next_pass = now + PASS_EVERY_S
            self._begin()
        entries = 0
        while self._left and entries < ENTRIES_AT_ONCE:
            entries += self._check_job(self._left.pop())
        if not self._left:
            self._end()

    def _begin(self) -> None:
        self._left = list(self._view.state.jobs)
        self._differed = set()
        self._under_way = True

    def _end(self) -> None:
        """The jobs are equal by now; what the teams are charged with has to be their sum."""
        self._check_totals()
        for team in self._view.ledger.suspended:
            if team not in self._differed:
                self._view.ledger.resume(team)
        self._under_way = False
        self.passes += 1

    def _check_job(self, job_id: str) -> int:
        """Compares one job with its records; how many entries that took."""
        view = self._view
        allocations = view.state.allocations.get(job_id, {})
        entries = charged = 0
        for record in allocations.values():
            entries += len(record.tasks)
            for entry in record.tasks:
                charged += entry.state in CHARGED
        job = view.jobs.get(job_id)
        if job_id in view.state.jobs and (job is None or job.charged != charged):
            self._differs(job_id, job, charged)
        return 1 + entries

    def _differs(self, job_id: str, job: JobView | None, charged: int) -> None:
        view = self._view
        booked = job.charged if job is not None else 0
        view.ledger.violations.record(
            f"job charge differs from its records job={job_id} charged={booked} recorded={charged}"
        )
        view.rebook_job(job_id)
        team = view.jobs[job_id].team
        self._differed.add(team)
        view.ledger.suspend(team, "charges differed from the records")

    def _check_totals(self) -> None:
        view = self._view
        cpus, gpus = defaultdict[int, int](int), defaultdict[int, int](int)
        for job in view.jobs.values():
            cpus[job.team] += job.charge_per_task.cpus * job.charged
            gpus[job.team] += job.charge_per_task.gpus * job.charged
        for team in view.quotas:
            fresh, kept = Charge(cpus[team], gpus[team]), view.ledger.recorded(team)
            if fresh != kept:
                view.ledger.violations.record(
                    f"team total differs from its jobs team={view.quotas[team].name} charged={kept} recorded={fresh}"
                )
                view.ledger.adjust(team, fresh - kept)
                self._differed.add(team)
                view.ledger.suspend(team, "total differed from its jobs")
