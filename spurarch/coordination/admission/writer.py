"""Commits admission plans in as few transactions as possible; drops what is outdated or exceeds a quota."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from spurarch.coordination.admission.job_admission import JobAdmission, JobAdmissionBuilder
from spurarch.coordination.admission.plan import AdmissionGrant
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.quota_ledger import QuotaReservation
from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.partition.allocation_changes import is_uncancelled_job
from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import (
    TransactionResult,
    TransactionSize,
    TransactionStatus,
    Write,
    transaction_limits,
)

log = logging.getLogger(__name__)

RecordVersions = dict[str, int]  # by key, the versions that a plan is based on; 0 for a record that did not exist


@dataclass(slots=True)
class _Batch:
    """Admissions that are committed in one transaction."""

    admissions: list[JobAdmission] = field(default_factory=list)
    _size: TransactionSize = field(default_factory=TransactionSize)

    @property
    def writes(self) -> list[Write]:
        """The record changes of all admissions in the batch."""
        return [write for admission in self.admissions for write in admission.writes]

    def can_add(self, admission: JobAdmission, limits: TransactionSize) -> bool:
        """Returns whether the batch stays within the limits with one more admission; an empty batch accepts any."""
        return not self.admissions or self._size.plus(admission.size).fits_in(limits)

    def add(self, admission: JobAdmission) -> None:
        """Adds the admission of one job."""
        self._size = self._size.plus(admission.size)
        self.admissions.append(admission)


class AdmissionWriter:
    """Commits grants in transactions that guard the leader's record and the job and admission records."""

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        view: FleetView,
        limits: StateLimits,
        notify_peers: Callable[[], Awaitable[None]],
    ) -> None:
        self._replica, self._membership, self._view = replica, membership, view
        self._notify_peers = notify_peers
        self._admitting_arrays = False  # whether a background curio task is running
        self._tasks_per_record = records.tasks_per_record(limits.value_bytes)
        self._limits = transaction_limits(limits)

    def record_versions(self, job_id: str) -> RecordVersions:
        """Returns the versions of the records that an admission of the job is based on.

        A plan may wait while an earlier plan is committed. If the earlier plan moved the same returned tasks, moving
        these tasks again would run them twice.
        """
        state = self._replica.state
        keys = [records.ADMISSION + job_id, *(str(allocation) for allocation in state.allocations.get(job_id, {}))]
        return {key: state.version(key) for key in keys}

    async def admit_in_background(
        self, grants: list[AdmissionGrant], planned_versions: dict[str, RecordVersions]
    ) -> None:
        """Admits arrays in a background curio task; does nothing if one is running already.

        Arrays may wait long for the rate limit, and service replicas and gangs must not wait behind them.
        """
        if grants and not self._admitting_arrays:
            self._admitting_arrays = True
            await curio.spawn(self._admit_arrays, grants, planned_versions, daemon=True)

    async def _admit_arrays(self, grants: list[AdmissionGrant], planned_versions: dict[str, RecordVersions]) -> None:
        try:
            await self.admit(grants, planned_versions, Urgency.STARTS)
        except curio.CancelledError:
            raise
        except Exception:  # must not end the controller
            log.exception("array admission failed")
        finally:
            self._admitting_arrays = False

    async def admit(
        self, grants: list[AdmissionGrant], planned_versions: dict[str, RecordVersions], urgency: Urgency
    ) -> None:
        """Commits the grants whose plan is still valid, in as few transactions as the limits allow."""
        grants_by_job: dict[str, list[AdmissionGrant]] = {}
        for grant in grants:
            grants_by_job.setdefault(grant.job, []).append(grant)
        batch = _Batch()
        for job_id, job_grants in grants_by_job.items():
            admission = self._valid_admission(job_id, job_grants, planned_versions[job_id])
            if admission is not None and not batch.can_add(admission, self._limits):
                await self._commit(batch, urgency)
                batch = _Batch()
                admission = self._valid_admission(job_id, job_grants, planned_versions[job_id])
            if admission is not None:
                batch.add(admission)
        if batch.admissions:
            await self._commit(batch, urgency)

    def _valid_admission(
        self, job_id: str, grants: list[AdmissionGrant], planned_versions: RecordVersions
    ) -> JobAdmission | None:
        """Returns the changes that admit the tasks of one job; None if its plan is outdated or can't be written."""
        if not is_uncancelled_job(self._replica.state, job_id) or not self._is_still_valid(
            job_id, grants, planned_versions
        ):
            log.debug("admission plan outdated job=%s planned=%d", job_id, sum(len(grant.entries) for grant in grants))
            return None
        admission = self._job_admission(job_id, grants)
        if not admission.writes:
            self._log_tasks_left_out(admission)
            return None
        return admission

    def _is_still_valid(self, job_id: str, grants: list[AdmissionGrant], planned_versions: RecordVersions) -> bool:
        """Returns whether the admission record and the allocations that tasks are moved out of are unchanged."""
        state = self._replica.state
        keys = {records.ADMISSION + job_id, *(str(source) for grant in grants for source in grant.moved_from)}
        return all(state.version(key) == planned_versions.get(key, 0) for key in keys)

    def _job_admission(self, job_id: str, grants: list[AdmissionGrant]) -> JobAdmission:
        builder = JobAdmissionBuilder(
            self._replica.state, self._view.zones, job_id, self._tasks_per_record, self._limits
        )
        for grant in grants:
            builder.add(grant)
        return builder.build()

    async def _commit(self, batch: _Batch, urgency: Urgency) -> None:
        """Commits the admissions that the quotas allow at present.

        Updating the view, checking the quotas and reserving happen without an `await` in between, so no other admission
        can use the same quota.
        """
        term = self._membership.confirmed_term
        if term is None:
            return
        self._view.update()
        reservations = self._reserve(batch, term)
        if not batch.admissions:
            return
        # The admission record is guarded even where it is not written: admitting a whole job at once writes none, but a
        # later admission of its returned tasks does. From then on, a delayed duplicate of the first transaction fails,
        # even if the allocations have changed or were deleted since.
        guards = {
            key
            for admission in batch.admissions
            for key in (records.JOB + admission.job, records.ADMISSION + admission.job)
        }
        result = await self._replica.commit(
            batch.writes, guards, urgency=urgency, pinned_versions={records.LEADER: term}
        )
        self._release_resolved(reservations, result)
        if result.status is TransactionStatus.COMMITTED:
            await self._notify_peers()
        elif result.status is not TransactionStatus.NOT_EXECUTED:
            log.info(
                "admission transaction not committed status=%s conflicts=%s", result.status.value, result.failed_keys
            )

    def _reserve(self, batch: _Batch, term: int) -> list[QuotaReservation]:
        """Reserves the charge of each admission in the batch; removes from it the admissions that now exceed a quota.

        A later round plans the removed admissions again.
        """
        ledger, within_quota, reservations = self._view.ledger, [], []
        for admission in batch.admissions:
            job = self._view.jobs[admission.job]
            reservation = ledger.reserve(admission.job, job.team, job.charge_per_task, admission.tasks, term)
            if admission.tasks:
                self._log_admission(admission, term, reservation is not None)
            self._log_tasks_left_out(admission)
            if reservation is None:
                continue
            within_quota.append(admission)
            reservations.append(reservation)
        batch.admissions = within_quota
        return reservations

    def _log_admission(self, admission: JobAdmission, term: int, admitted: bool) -> None:
        """Logs the decision and its quota totals, before the commit.

        Logs a refusal at debug level, since it can repeat in every round.
        """
        level = logging.INFO if admitted else logging.DEBUG
        event = "tasks admitted" if admitted else "admission refused by quota"
        if log.isEnabledFor(level):
            team = self._view.jobs[admission.job].team
            log.log(
                level,
                "%s count=%d job=%s term=%d revision=%d team=%s %s",
                event,
                admission.tasks,
                admission.job,
                term,
                self._replica.state.revision,
                self._view.teams.name(team),
                self._view.ledger.describe(team),
            )

    def _log_tasks_left_out(self, admission: JobAdmission) -> None:
        """Logs that a transaction admits fewer tasks than planned, with the changes that more of them would need."""
        if admission.left_out:
            log.info(
                "admission shortened job=%s admitted=%d changes=%d left_out=%d changes_needed=%d changes_allowed=%d",
                admission.job,
                admission.tasks,
                len(admission.writes),
                admission.left_out,
                admission.changes_needed,
                self._limits.changes,
            )

    def _release_resolved(self, reservations: list[QuotaReservation], result: TransactionResult) -> None:
        """Releases the reservations of a transaction once its outcome is known and visible in the copy of the records.

        After a conflict, the transaction may still have been executed: the conflict may be that of a retry after a lost
        response. The reservations are then kept until the copy has reached the revision of the conflict. If the outcome
        is unknown, they are kept until a later term. `QuotaLedger.release_resolved` releases the kept reservations.
        """
        self._view.update()
        outcome_known = result.status not in (TransactionStatus.CONFLICT, TransactionStatus.UNKNOWN)
        outcome_in_copy = (
            result.status is TransactionStatus.CONFLICT and result.revision <= self._replica.state.revision
        )
        for reservation in reservations:
            if outcome_known or outcome_in_copy:
                self._view.ledger.release(reservation)
            elif result.status is TransactionStatus.CONFLICT:
                reservation.resolved_by_revision = result.revision
