"""What only the leader does: admission rounds, final states of jobs, scale out.

Every transaction guards the leader's record.
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
from spurarch.coordination.runtime.round_budget import RoundBudget, rest_s
from spurarch.coordination.scaling.scale_out import ScaleOut
from spurarch.storage.rate_limits import Urgency

log = logging.getLogger(__name__)

ROUND_PAUSE_S = 0.1
ROUND_REST_FACTOR = 8.0  # rest after a round, as a multiple of its duration
MIN_TASKS_PER_ZONE = 16  # of an array, while record changes are scarcest
FINALIZER_INTERVAL_S = 0.1
LOG_INTERVAL_S = 10.0


class Leader:
    """The leading controller's rounds; they do nothing while another one leads."""

    def __init__(self, context: LeaderContext) -> None:
        self.replica, self.membership, self.view = context.replica, context.membership, context.view
        self.deployment, self.tuning = context.deployment, context.tuning
        self._wakeup = self.replica.listen()
        self._writer = AdmissionWriter(
            self.replica, self.membership, self.view, self.deployment.state, context.notify_peers
        )
        self._finalizer = JobFinalizer(self.replica, self.view, self.deployment.state)
        self._scale_out = ScaleOut(context)
        self._next_job: str | None = None
        self._shortages: list[CapacityShortage] = []
        self._term: int | None = None  # under which this process leads
        self._audit = LedgerAudit(self.view)
        self._next_log = self._next_round = 0.0

    async def run(self) -> None:
        """Runs a round whenever records changed or the controller asks for one."""
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
        self._next_job, self._shortages = None, []
        self.view.update()
        self._audit.check_all()
        log.info("leader term confirmed term=%d revision=%d", term, self.replica.state.revision)

    async def _round(self, term: int) -> None:
        now = time.monotonic()
        if now < self._next_round:
            return
        share = self.deployment.limits.cpu
        budget = RoundBudget(self.tuning.budget_ms / 1000, share)
        self.view.update()
        self.view.ledger.release_resolved(self.replica.state.revision, term)
        scarcity = min(1.0, max(0.0, 1.0 - self.replica.store.rates.write_level()))
        admission = AdmissionPlanner(
            self.view,
            time.time(),
            self.tuning.ahead_s,
            self.tuning.longest_wait_s,
            self._scale_out.booting_capacity(now),
            max(1, round(MIN_TASKS_PER_ZONE * scarcity)),
        )
        plan = admission.run(self._next_job, budget.spent, self.deployment.state.txn_ops)
        # A share of the processor at most, however much there is to admit.
        ended = time.monotonic()
        self._next_round = ended + rest_s(ended - now, share, ROUND_REST_FACTOR, ROUND_PAUSE_S)
        self._record_shortages(plan)
        urgent = [grant for grant in plan.grants if not self.view.jobs[grant.job].array]
        arrays = [grant for grant in plan.grants if self.view.jobs[grant.job].array]
        planned = {grant.job: self._writer.record_versions(grant.job) for grant in plan.grants}
        await self._writer.admit(urgent, planned, Urgency.REPLICAS)
        await self._writer.admit_in_background(arrays, planned)

    def _record_shortages(self, plan: AdmissionPlan) -> None:
        """Collects the shortages of all rounds from the first job to the last: a spent budget requests no less."""
        self._shortages += plan.shortages
        if plan.next_job is None or not self._scale_out.shortages:
            self._scale_out.shortages = self._shortages
        if plan.next_job is None or self._next_job is None:
            self._shortages = [] if plan.next_job is None else plan.shortages
        self._next_job = plan.next_job

    async def run_scaling(self) -> None:
        """Runs scale out: prices on every controller, requests and the machine list while this one leads."""
        await self._scale_out.run()

    async def run_finalizer(self) -> None:
        """Runs the rounds that record final states of jobs.

        When record changes are scarce these wait for the rate limit, and admission must not wait with them.
        """
        while True:
            await curio.sleep(FINALIZER_INTERVAL_S)
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
            self._next_log = now + LOG_INTERVAL_S
            ledger = self.view.ledger
            log.info(
                "team quota totals term=%s revision=%d violations=%d %s",
                self._term,
                self.replica.state.revision,
                ledger.violations.count,
                ledger.summary(),
            )
