"""What only the leader does: rounds of admission, ending jobs, renting. Every transaction guards the leader's record."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio

from spurarch.coordination.admission import Admission, Plan, Shortage
from spurarch.coordination.admission_writer import AdmissionWriter
from spurarch.coordination.ledger_audit import LedgerAudit
from spurarch.coordination.membership import Membership
from spurarch.coordination.provisioning import Kind, Order, Turnover, plan_rentals, room_of
from spurarch.coordination.round_budget import RoundBudget, rest_s
from spurarch.coordination.stall_detector import StallDetector
from spurarch.coordination.view import FleetView
from spurarch.protocol import wire
from spurarch.settings import Deployment, Tuning
from spurarch.storage import records
from spurarch.storage.cloud import Cloud, CloudError, NoCapacityError
from spurarch.storage.limits import Urgency
from spurarch.storage.records import AllocationKey, FinalRecord
from spurarch.storage.replica import Replica, Write
from spurarch.storage.store import Verdict

log = logging.getLogger(__name__)

LIST_EVERY_S = 5.0
TYPES_EVERY_S = 60.0
NEVER_UP_FACTOR = 4.0
NEVER_UP_LEAST_S = 90.0
ROUND_PAUSE_S = 0.1
ROUND_REST = 8.0  # times the processor time of a round
PIECE = 16  # tasks: while changes are scarce, an array is admitted to a zone in no smaller pieces
ENDS_PAUSE_S = 0.1
LOG_EVERY_S = 10.0
FRESH_S = 3.0
MOST_ENDED = 200
SLOW_BOOT_S = 60.0  # a machine that takes longer may never come up


class Booting:
    """A machine that was rented and has not reported yet."""

    def __init__(self, kind: Kind, since: float) -> None:
        self.kind, self.since = kind, since


class Leader:
    """The leading controller's rounds; they do nothing while another one leads."""

    def __init__(
        self, replica: Replica, membership: Membership, view: FleetView, cloud: Cloud, stall_detector: StallDetector,
        deployment: Deployment, tuning: Tuning, boot: str, wake: Callable[[], Awaitable[None]],
    ) -> None:  # fmt: skip
        self.replica, self.membership, self.view, self.cloud = replica, membership, view, cloud
        self.deployment, self.tuning, self._boot, self._stall_detector = deployment, tuning, boot, stall_detector
        self._wakeup = replica.listen()
        self._admissions = AdmissionWriter(replica, membership, view, deployment.state, wake)
        self._next_job: str | None = None
        self.shortages: list[Shortage] = []
        self._shortages_so_far: list[Shortage] = []
        self.booting: dict[str, Booting] = {}
        self._closed: dict[Kind, float] = {}
        self._hires = 0
        self._term: int | None = None  # under which the rounds go on
        self._audit = LedgerAudit(view)
        self._next_log = 0.0
        self._listed = False
        self._changed_keys = replica.state.subscribe()
        self._ending: dict[str, None] = {}
        self._next_full = 0.0
        self._most_changes = deployment.state.transaction_changes
        self._most_guards = (
            deployment.state.transaction_guards - self._most_changes - 1 - replica.store.reserved_guards
        )  # beside written keys and leader

    async def run(self) -> None:
        """Rounds of the leader: on news, and every now and then."""
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            try:
                await self._lead()
            except curio.CancelledError:
                raise
            except Exception:  # a failure in one round must not end the controller
                log.exception("leader round failed")
            await curio.sleep(0.01)

    async def _lead(self) -> None:
        """One round, if this process leads and its copy of the records is as new as its term."""
        term = self.membership.confirmed_term
        if term is None and self.membership.leading and self.replica.loaded:
            await self.replica.sync()
            term = self.membership.confirmed_term
        if term is None or not self.view.offers:
            self._term, self._listed = None, False
            self._changed_keys.clear()  # a new leader looks at all jobs once
            return
        if self._term != term:
            self._begin_term(term)
        await self._round()

    def _begin_term(self, term: int) -> None:
        self._term = term
        self._changed_keys.clear()
        self._ending = dict.fromkeys(self.replica.state.jobs)
        self._next_job, self._shortages_so_far = None, []
        self.view.update()
        self._audit.check_all()
        log.info("term %d begins, by records of revision %d", term, self.replica.state.revision)

    async def _round(self) -> None:
        now = time.monotonic()
        if now < self._next_full:
            return
        share = self.deployment.limits.cpu
        budget = RoundBudget(self.tuning.budget_ms / 1000, share)
        self.view.update()
        if self._term is not None:
            self.view.ledger.release_shown(self.replica.state.revision, self._term)
        self._settle_booting()
        coming = [
            room_of(self.view, self.view.offers[b.kind.type], b.kind)
            for b in self.booting.values() if b.kind.type in self.view.offers and now - b.since < SLOW_BOOT_S
        ]  # fmt: skip
        scarce = min(1.0, max(0.0, 1.0 - self.replica.store.write_level()))
        admission = Admission(
            self.view, time.time(), self.tuning.ahead_s, self.tuning.longest_wait_s, coming,
            max(1, round(PIECE * scarce)),
        )  # fmt: skip
        plan = admission.run(self._next_job, budget.spent, self.deployment.state.txn_ops)
        # A share of the processor at most, however much there is to admit.
        ended = time.monotonic()
        self._next_full = ended + rest_s(ended - now, share, ROUND_REST, ROUND_PAUSE_S)
        self._note_shortages(plan)
        urgent = [grant for grant in plan.grants if not self.view.jobs[grant.job].array]
        arrays = [grant for grant in plan.grants if self.view.jobs[grant.job].array]
        planned = {grant.job: self._admissions.as_planned(grant.job) for grant in plan.grants}
        await self._admissions.admit(urgent, planned, Urgency.REPLICAS)
        await self._admissions.admit_beside(arrays, planned)

    def _note_shortages(self, plan: Plan) -> None:
        """What all rounds from the first job to the last found short, so that a plan cut off by time rents no less."""
        self._shortages_so_far += plan.shortages
        if plan.next_job is None or not self.shortages:
            self.shortages = self._shortages_so_far
        if plan.next_job is None or self._next_job is None:
            self._shortages_so_far = [] if plan.next_job is None else plan.shortages
        self._next_job = plan.next_job

    # Ends of jobs

    async def run_ends(self) -> None:
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
                    await self._end_jobs()
            except curio.CancelledError:
                raise
            except Exception:  # a failure in one round must not end the controller
                log.exception("ends of jobs failed")

    def _log_teams(self, now: float) -> None:
        if now >= self._next_log:
            self._next_log = now + LOG_EVERY_S
            ledger = self.view.ledger
            log.info(
                "teams: term %s, revision %d, %d violations: %s",
                self._term, self.replica.state.revision, ledger.violations.count, ledger.summary(),
            )  # fmt: skip

    async def _end_jobs(self) -> None:
        """Records the final standing of jobs whose tasks have all ended, and of cancelled ones that are off.

        Only jobs of which something changed are looked at, and several go out in one transaction.
        """
        for key in self._changed_keys:
            if key.startswith(records.JOB):
                self._ending[key[len(records.JOB) :]] = None
            elif key.startswith(records.ALLOT):
                self._ending[AllocationKey.parse(key).job] = None
        self._changed_keys.clear()
        batch: list[Write] = []
        guards: set[str] = set()
        refs: list[str] = []
        for ref in list(self._ending)[:MOST_ENDED]:
            final = self._final(ref)
            if final is None:
                del self._ending[ref]
                continue
            writes, more = self._final_writes(ref, final)
            too_many = len(batch) + len(writes) > self._most_changes or len(guards) + len(more) > self._most_guards
            if batch and too_many:
                await self._commit_ends(batch, guards, refs)
                batch, guards, refs = [], set(), []
                final = self._final(ref)
                if final is None:
                    continue
                writes, more = self._final_writes(ref, final)
            batch += writes
            guards |= more
            refs.append(ref)
        if batch:
            await self._commit_ends(batch, guards, refs)

    async def _commit_ends(self, writes: list[Write], guards: set[str], refs: list[str]) -> None:
        outcome = await self.replica.commit(writes, [records.LEADER, *guards])
        if outcome.verdict is Verdict.INVALID and len(refs) > 1:
            for ref in refs:  # one job that can't be ended must not keep the others from it
                final = self._final(ref)
                if final is not None:
                    alone, more = self._final_writes(ref, final)
                    await self._commit_ends(alone, more, [ref])
        log.debug("%d jobs end: %s", len(refs), outcome.verdict.value)

    def _final(self, ref: str) -> FinalRecord | None:
        """The standing of a job that is over, or None."""
        state = self.replica.state
        record = state.jobs.get(ref)
        if record is None:
            return None
        allocations = state.allocations.get(ref, {})
        if record.cancelled:
            return None if allocations else FinalRecord(wire.CANCELLED, record.spec.tasks)
        self.view.update()
        job = self.view.jobs.get(ref)
        if job is None or job.ended < (1 if job.gang else record.spec.tasks):
            return None
        entries = [entry for allocation in allocations.values() for entry in allocation.tasks]
        ended = sum(entry.state == records.ENDED for entry in entries)
        if job.gang and ended and not any(entry.state == records.ASSIGNED for entry in entries):
            return FinalRecord(wire.DONE, record.spec.tasks)  # members complete together, also those that were free
        return FinalRecord(wire.DONE, record.spec.tasks) if ended >= record.spec.tasks else None

    def _final_writes(self, ref: str, final: FinalRecord) -> tuple[list[Write], set[str]]:
        state, most = self.replica.state, self._most_changes
        writes = [Write(records.FINAL + ref, final), Write(records.JOB + ref, None)]
        if ref in state.admitted:
            writes.append(Write(records.ADMISSION + ref, None))
        # What does not fit goes with the owners' clean-up of jobs that are over; all of it while changes are scarce.
        rest = [str(key) for key in state.allocations.get(ref, {})]
        if self.replica.store.ready(Urgency.ENDS):
            writes += [Write(key, None) for key in rest[: most - len(writes)]]
        return writes, set(rest[: self._most_guards])

    # The cloud

    def _still(self) -> bool:
        """This process leads as far as a recent copy shows.

        One that stood still would rent a second time, or return machines that the next leader uses by now.
        """
        now = time.monotonic()
        fresh = now - self.replica.synced_at < FRESH_S and self._stall_detector.steady(now, self.replica.synced_at)
        return self.membership.leading and fresh and self.replica.store.trusted

    async def run_cloud(self) -> None:
        """Keeps types and prices known on every controller; the leader also lists and rents."""
        types_at = list_at = -1e9
        while True:
            now = time.monotonic()
            try:
                if now - types_at > TYPES_EVERY_S or not self.view.offers:
                    self.view.set_offers(await self.cloud.types())
                    types_at = now
                    await self.replica.ring()
                if self._term is not None and self._still():
                    if now - list_at > LIST_EVERY_S or not self._listed:
                        await self._list()
                        list_at = now
                    await self._rent()
            except (CloudError, NoCapacityError) as err:
                log.info("cloud: %s", err or "no capacity")
            except curio.CancelledError:
                raise
            except Exception:  # a failure here must not end the controller
                log.exception("cloud round failed")
            await curio.sleep(self.tuning.rent_pause_s if self.view.offers else 0.3)

    def _settle_booting(self) -> None:
        machines = self.replica.state.machines
        up = [name for name, booting in self.booting.items() if name in machines[booting.kind.zone]]
        for name in up:
            del self.booting[name]

    async def _list(self) -> None:
        """Finds machines that boot, and returns those that never come up or have failed unseen."""
        machines = await self.cloud.machines()
        now = time.monotonic()
        self._listed = True
        known = {name for zone in self.deployment.zones for name in self.replica.state.machines[zone]}
        useless = []
        for machine in machines:
            if machine.id in known:
                continue
            offer = self.view.offers.get(machine.type)
            patience = max(NEVER_UP_LEAST_S, NEVER_UP_FACTOR * (offer.boot_s if offer else 60.0))
            if machine.state == wire.FAILED or machine.age_s > patience:
                useless.append(machine.id)
                self.booting.pop(machine.id, None)
            elif machine.state == wire.BOOTING and machine.id not in self.booting:
                kind = Kind(machine.type, machine.zone, machine.spot)
                self.booting[machine.id] = Booting(kind, now - machine.age_s)
        self._settle_booting()
        for name, booting in list(self.booting.items()):
            if now - booting.since > NEVER_UP_LEAST_S * 2:
                del self.booting[name]
        if useless:
            log.info("returning machines that never came up: %s", " ".join(useless[:100]))
            await self.cloud.release(useless[:100], self._still)

    async def _rent(self) -> None:
        self._settle_booting()
        now = time.monotonic()
        self._closed = {kind: until for kind, until in self._closed.items() if until > now}
        dark = self.view.dark()
        orders = plan_rentals(
            self.view, self.shortages, [b.kind for b in self.booting.values() if b.kind.zone not in dark],
            set(self._closed), [zone for zone in self.deployment.zones if zone not in dark],
            Turnover(self.view, self.tuning.turnover_share), time.time(),
        )  # fmt: skip
        for order in orders:
            await self._hire(order)

    async def _hire(self, order: Order) -> None:
        self._hires += 1
        kind = order.kind
        # The process's own nonce keeps a name from ever being used again, by whichever controller.
        rental = wire.Rental(f"{self._boot}-{self._hires}", kind.type, kind.zone, kind.spot, order.count)
        for _ in range(3):
            try:
                names = await self.cloud.rent(rental, self._still)
                break
            except NoCapacityError:
                log.info("no capacity: %s", kind)
                self._closed[kind] = time.monotonic() + self.tuning.capacity_backoff_s
                return
            except CloudError as err:
                log.info("rental %s: %s", rental.request, err)
                if not err.unsure:
                    return
        else:
            return  # it may still be carried out: the machines then show in the list and in reports
        now = time.monotonic()
        log.info("rented %d of %d %s", len(names), order.count, kind)
        for name in names:
            self.booting[name] = Booting(kind, now)
        if len(names) < order.count:
            self._closed[kind] = now + self.tuning.capacity_backoff_s
