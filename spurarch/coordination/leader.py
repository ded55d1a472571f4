"""Work that only the leader does: admission rounds, final states of jobs, the audit of the quota ledger, and scale out.

Every transaction guards the leader's record, so it fails once another controller leads. A *term* is the time for which
a process leads, identified by the version of the leader record (see `Membership.confirmed_term`).
"""

from __future__ import annotations

import logging
import time

import curio

from spurarch.coordination.admission.job_finalizer import JobFinalizer
from spurarch.coordination.admission.ledger_audit import LedgerAudit
from spurarch.coordination.admission.plan import AdmissionPlan, CapacityShortage
from spurarch.coordination.admission.planner import AdmissionPlanner
from spurarch.coordination.admission.writer import AdmissionWriter
from spurarch.coordination.leader_context import LeaderContext
from spurarch.coordination.runtime.round_budget import RoundBudget, pause_after_round_s
from spurarch.coordination.scaling.scale_out import ScaleOut
from spurarch.coordination.unwritable_allocations import UnwritableAllocations
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.transaction import max_updatable_tasks

log = logging.getLogger(__name__)

MIN_ROUND_PAUSE_S = 0.1
ROUND_PAUSE_FACTOR = 8.0  # pause after a round, as a multiple of its processor time
# Fewest tasks of an array to assign to a zone while record changes are scarcest; falls to 1 while they are plentiful.
MIN_TASKS_PER_ZONE = 16
FINALIZER_INTERVAL_S = 0.1
LOG_INTERVAL_S = 10.0


class Leader:
    """Runs the leader's rounds; they do nothing while another controller leads."""

    def __init__(self, context: LeaderContext) -> None:
        self.replica, self.membership, self.view = context.replica, context.membership, context.view
        self.deployment, self.tuning = context.deployment, context.tuning
        self._wakeup = self.replica.listen()
        self._writer = AdmissionWriter(
            self.replica, self.membership, self.view, self.deployment.state, context.notify_peers
        )
        self._finalizer = JobFinalizer(self.replica, self.view, self.deployment.state)
        self._scale_out = ScaleOut(context)
        self._unwritable = UnwritableAllocations(self.replica.state, self.deployment.state)
        self._next_job: str | None = None
        self._shortages: list[CapacityShortage] = []
        self._term: int | None = None  # under which this process leads; None if it does not lead
        self._audit = LedgerAudit(self.view)
        self._next_log_at = self._next_round_at = 0.0

    async def run(self) -> None:
        """Runs rounds after the replica's listeners are woken, by changed records or a timer, until cancelled."""
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
        """Runs a round if this process leads and its copy of the records includes the beginning of its term."""
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
        await self._run_round(term)

    def _begin_term(self, term: int) -> None:
        self._term = term
        self._scale_out.begin_term(term)
        self._finalizer.begin_term()
        self._next_job, self._shortages = None, []
        self.view.update()
        self._audit.check_all()
        log.info("leader term confirmed term=%d revision=%d", term, self.replica.state.revision)

    async def _run_round(self, term: int) -> None:
        now = time.monotonic()
        if now < self._next_round_at:
            return
        cpu_share = self.deployment.limits.cpu
        budget = RoundBudget(self.tuning.budget_ms / 1000, cpu_share)
        self.view.update()
        self.view.ledger.release_resolved(self.replica.state.revision, term)
        write_scarcity = min(1.0, max(0.0, 1.0 - self.replica.store.rates.unused_write_share()))
        planner = AdmissionPlanner(
            self.view,
            time.time(),
            self.tuning.ahead_s,
            self.tuning.longest_wait_s,
            self._scale_out.booting_capacity(now),
            max(1, round(MIN_TASKS_PER_ZONE * write_scarcity)),
            max_updatable_tasks(self.deployment.state),
        )
        plan = planner.run(self._next_job, budget.spent, self.deployment.state.txn_ops)
        self._unwritable.report(plan.unwritable)
        # The pause keeps rounds within a share of the processor, however much there is to admit.
        ended = time.monotonic()
        self._next_round_at = ended + pause_after_round_s(ended - now, cpu_share, ROUND_PAUSE_FACTOR, MIN_ROUND_PAUSE_S)
        self._record_shortages(plan)
        service_and_gang_grants = [grant for grant in plan.grants if not self.view.jobs[grant.job].array]
        array_grants = [grant for grant in plan.grants if self.view.jobs[grant.job].array]
        planned_versions = {grant.job: self._writer.record_versions(grant.job) for grant in plan.grants}
        await self._writer.admit(service_and_gang_grants, planned_versions, Urgency.REPLICAS)
        await self._writer.admit_in_background(array_grants, planned_versions)

    def _record_shortages(self, plan: AdmissionPlan) -> None:
        """Collects the shortages of all rounds that together plan every job.

        Otherwise fewer machines would be requested when the time budget ends a round before the last job.
        """
        self._shortages += plan.shortages
        if plan.next_job is None or not self._scale_out.shortages:
            self._scale_out.shortages = self._shortages
        if plan.next_job is None or self._next_job is None:
            self._shortages = [] if plan.next_job is None else plan.shortages
        self._next_job = plan.next_job

    async def run_scaling(self) -> None:
        """Runs scale out until cancelled: requests and lists machines while this controller leads.

        Machine types and prices are kept up to date on every controller.
        """
        await self._scale_out.run()

    async def run_finalizer(self) -> None:
        """Runs the rounds that record final states of jobs and audit the quota ledger, until cancelled.

        They are separate from admission rounds: when record changes are scarce, final states wait for the rate limit,
        and admission must not wait behind them.
        """
        while True:
            await curio.sleep(FINALIZER_INTERVAL_S)
            try:
                if self._term is not None and self.membership.confirmed_term == self._term:
                    self.view.update()
                    self._audit.check_step(time.monotonic())
                    self._log_quota_totals(time.monotonic())
                    await self._finalizer.finalize_jobs()
            except curio.CancelledError:
                raise
            except Exception:  # a failure in one round must not end the controller
                log.exception("job finalizer round failed")

    def _log_quota_totals(self, now: float) -> None:
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_INTERVAL_S
            ledger = self.view.ledger
            log.info(
                "team quota totals term=%s revision=%d violations=%d %s",
                self._term,
                self.replica.state.revision,
                ledger.violations.count,
                ledger.summary(),
            )
