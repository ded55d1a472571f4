"""What only the leader does: rounds of admission, ending jobs, renting. Every transaction guards the leader's record."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio

from spurarch.coordination.admission.job_finalizer import JobFinalizer
from spurarch.coordination.admission.ledger_audit import LedgerAudit
from spurarch.coordination.admission.plan import AdmissionPlan, CapacityShortage
from spurarch.coordination.admission.planner import AdmissionPlanner
from spurarch.coordination.admission.writer import AdmissionWriter
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.runtime.round_budget import RoundBudget, rest_s
from spurarch.coordination.runtime.stall_detector import StallDetector
from spurarch.coordination.scaling.scale_out import ScaleOut
from spurarch.settings import Deployment, Tuning
from spurarch.storage.cloud import Cloud
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.replica import Replica

log = logging.getLogger(__name__)

ROUND_PAUSE_S = 0.1
ROUND_REST = 8.0  # times the processor time of a round
PIECE = 16  # tasks: while changes are scarce, an array is admitted to a zone in no smaller pieces
ENDS_PAUSE_S = 0.1
LOG_EVERY_S = 10.0


class Leader:
    """The leading controller's rounds; they do nothing while another one leads."""

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        view: FleetView,
        cloud: Cloud,
        stall_detector: StallDetector,
        deployment: Deployment,
        tuning: Tuning,
        process_incarnation: str,
        notify_peers: Callable[[], Awaitable[None]],
    ) -> None:
        self.replica, self.membership, self.view = replica, membership, view
        self.deployment, self.tuning = deployment, tuning
        self._wakeup = replica.listen()
        self._admissions = AdmissionWriter(replica, membership, view, deployment.state, notify_peers)
        self._finalizer = JobFinalizer(replica, view, deployment.state)
        self._scale_out = ScaleOut(
            replica, membership, view, cloud, stall_detector, deployment, tuning, process_incarnation
        )
        self._next_job: str | None = None
        self._shortages_so_far: list[CapacityShortage] = []
        self._term: int | None = None  # under which the rounds go on
        self._audit = LedgerAudit(view)
        self._next_log = self._next_full = 0.0

    async def run(self) -> None:
        """Rounds of the leader: on news, and every now and then."""
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            try:
                await self._run_if_leading()
            except curio.CancelledError:
                raise
            except Exception:  # a failure in one round must not end the controller
                log.exception("leader round failed")
            await curio.sleep(0.01)

    async def _run_if_leading(self) -> None:
        """One round, if this process leads and its copy of the records is as new as its term."""
        term = self.membership.confirmed_term
        if term is None and self.membership.leading and self.replica.loaded:
            await self.replica.sync()
            term = self.membership.confirmed_term
        if term is None or not self.view.machine_types:
            self._term = None
            self._scale_out.end_term()
            self._finalizer.discard_changes()
            return
        if self._term != term:
            self._begin_term(term)
        await self._round(term)

    def _begin_term(self, term: int) -> None:
        self._term = term
        self._scale_out.begin_term(term)
        self._finalizer.begin_term()
        self._next_job, self._shortages_so_far = None, []
        self.view.update()
        self._audit.check_all()
        log.info("leader term confirmed term=%d revision=%d", term, self.replica.state.revision)

    async def _round(self, term: int) -> None:
        now = time.monotonic()
        if now < self._next_full:
            return
        share = self.deployment.limits.cpu
        budget = RoundBudget(self.tuning.budget_ms / 1000, share)
        self.view.update()
        self.view.ledger.release_resolved(self.replica.state.revision, term)
        scarce = min(1.0, max(0.0, 1.0 - self.replica.store.rates.write_level()))
        admission = AdmissionPlanner(
            self.view,
            time.time(),
            self.tuning.ahead_s,
            self.tuning.longest_wait_s,
            self._scale_out.booting_capacity(now),
            max(1, round(PIECE * scarce)),
        )
        plan = admission.run(self._next_job, budget.spent, self.deployment.state.txn_ops)
        # A share of the processor at most, however much there is to admit.
        ended = time.monotonic()
        self._next_full = ended + rest_s(ended - now, share, ROUND_REST, ROUND_PAUSE_S)
        self._record_shortages(plan)
        urgent = [grant for grant in plan.grants if not self.view.jobs[grant.job].array]
        arrays = [grant for grant in plan.grants if self.view.jobs[grant.job].array]
        planned = {grant.job: self._admissions.as_planned(grant.job) for grant in plan.grants}
        await self._admissions.admit(urgent, planned, Urgency.REPLICAS)
        await self._admissions.admit_beside(arrays, planned)

    def _record_shortages(self, plan: AdmissionPlan) -> None:
        """What all rounds from the first job to the last found short, so that a plan cut off by time rents no less."""
        self._shortages_so_far += plan.shortages
        if plan.next_job is None or not self._scale_out.shortages:
            self._scale_out.shortages = self._shortages_so_far
        if plan.next_job is None or self._next_job is None:
            self._shortages_so_far = [] if plan.next_job is None else plan.shortages
        self._next_job = plan.next_job

    async def run_scaling(self) -> None:
        """Prices on every controller; rentals and the machine list while this one leads."""
        await self._scale_out.run()

    async def run_finalizer(self) -> None:
        """Ends of jobs have rounds of their own.

        When changes are short they wait in line, and admission must not wait with them.
        """
        while True:
            await curio.sleep(ENDS_PAUSE_S)
            try:
                if self._term is not None and self.membership.confirmed_term == self._term:
                    self.view.update()
                    self._audit.check_some(time.monotonic())
                    self._log_teams(time.monotonic())
                    await self._finalizer.finalize_jobs()
            except curio.CancelledError:
                raise
            except Exception:  # a failure in one round must not end the controller
                log.exception("job end round failed")

    def _log_teams(self, now: float) -> None:
        if now >= self._next_log:
            self._next_log = now + LOG_EVERY_S
            ledger = self.view.ledger
            log.info(
                "team quota totals term=%s revision=%d violations=%d %s",
                self._term,
                self.replica.state.revision,
                ledger.violations.count,
                ledger.summary(),
            )
