"""Commits a plan of admissions: in as few transactions as possible, and only what is still valid and within quota."""

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
from spurarch.coordination.partition.allocation_changes import is_live
from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import TransactionResult, TransactionStatus, Write

log = logging.getLogger(__name__)

RecordVersions = dict[str, int]  # by key, what a plan was decided by; 0 for a record that did not exist


@dataclass(slots=True)
class _Batch:
    """Admissions that are committed in one transaction."""

    admissions: list[JobAdmission] = field(default_factory=list)

    @property
    def writes(self) -> list[Write]:
        """All records that it writes."""
        return [write for admission in self.admissions for write in admission.writes]

    def has_room_for(self, admission: JobAdmission, max_changes: int) -> bool:
        """Whether there is room for one more job; a single one always has room."""
        changes = len(self.writes) + len(admission.writes)
        length = sum(other.length for other in self.admissions) + admission.length
        return not self.admissions or (changes <= max_changes and length <= records.TXN_BYTES)

    def add(self, admission: JobAdmission) -> None:
        """Adds the admission of a job."""
        self.admissions.append(admission)


class AdmissionWriter:
    """Turns grants into transactions that guard the leader's record, the jobs and their counts."""

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
        self._admitting_arrays = False  # in the background
        self._tasks_per_record = records.tasks_per_record(limits.value_bytes)
        self._max_changes = limits.transaction_changes

    def record_versions(self, job_id: str) -> RecordVersions:
        """Versions of the records by which an admission of the job is decided.

        A plan may wait while an earlier one is carried out: tasks that this one moved are somewhere else by then, and
        moving them again would run them twice.
        """
        state = self._replica.state
        keys = [records.ADMISSION + job_id, *(str(allocation) for allocation in state.allocations.get(job_id, {}))]
        return {key: state.version(key) for key in keys}

    async def admit_in_background(self, grants: list[AdmissionGrant], planned: dict[str, RecordVersions]) -> None:
        """Admits arrays in a task of its own, unless one is running.

        They may wait for the rate limit for long, and replicas and gangs must not wait with them.
        """
        if grants and not self._admitting_arrays:
            self._admitting_arrays = True
            await curio.spawn(self._admit_arrays, grants, planned, daemon=True)

    async def _admit_arrays(self, grants: list[AdmissionGrant], planned: dict[str, RecordVersions]) -> None:
        try:
            await self.admit(grants, planned, Urgency.STARTS)
        except curio.CancelledError:
            raise
        except Exception:  # must not end the controller
            log.exception("array admission failed")
        finally:
            self._admitting_arrays = False

    async def admit(self, grants: list[AdmissionGrant], planned: dict[str, RecordVersions], urgency: Urgency) -> None:
        """Commits grants whose plan is still valid, in as few transactions as the limits allow."""
        by_job: dict[str, list[AdmissionGrant]] = {}
        for grant in grants:
            by_job.setdefault(grant.job, []).append(grant)
        batch = _Batch()
        for job_id, job_grants in by_job.items():
            admission = self._valid_admission(job_id, job_grants, planned[job_id])
            if admission is not None and not batch.has_room_for(admission, self._max_changes):
                await self._commit(batch, urgency)
                batch = _Batch()
                admission = self._valid_admission(job_id, job_grants, planned[job_id])
            if admission is not None:
                batch.add(admission)
        if batch.admissions:
            await self._commit(batch, urgency)

    def _valid_admission(
        self, job_id: str, grants: list[AdmissionGrant], planned: RecordVersions
    ) -> JobAdmission | None:
        """What the admission of one job writes; None if its plan is not valid any more."""
        if not is_live(self._replica.state, job_id) or not self._is_still_valid(job_id, grants, planned):
            return None
        return self._job_admission(job_id, grants)

    def _is_still_valid(self, job_id: str, grants: list[AdmissionGrant], planned: RecordVersions) -> bool:
        """Whether the records that the plan was made by are unchanged: the count, and allocations that lose tasks."""
        state = self._replica.state
        keys = {records.ADMISSION + job_id, *(str(source) for grant in grants for source in grant.moved)}
        return all(state.version(key) == planned.get(key, 0) for key in keys)

    def _job_admission(self, job_id: str, grants: list[AdmissionGrant]) -> JobAdmission:
        builder = JobAdmissionBuilder(
            self._replica.state, self._view.zones, job_id, self._tasks_per_record, self._max_changes
        )
        for grant in grants:
            builder.add(grant)
        return builder.build()

    async def _commit(self, batch: _Batch, urgency: Urgency) -> None:
        """Commits what the quotas allow at this moment; nothing else is decided before the transaction is sent."""
        term = self._membership.confirmed_term
        if term is None:
            return
        self._view.update()
        reservations = self._reserve(batch, term)
        if not batch.admissions:
            return
        # The count is guarded also where it is not written: once there is one, a late repeat of the transaction that
        # admitted a job as a whole does nothing, whatever has become of its allocations.
        guards = {
            key
            for admission in batch.admissions
            for key in (records.JOB + admission.job, records.ADMISSION + admission.job)
        }
        result = await self._replica.commit(batch.writes, guards, urgency=urgency, pinned={records.LEADER: term})
        self._release_resolved(reservations, result)
        if result.status is TransactionStatus.COMMITTED:
            await self._notify_peers()
        elif result.status is not TransactionStatus.NOT_EXECUTED:
            log.info("leader transaction not committed status=%s conflicts=%s", result.status.value, result.failed_keys)

    def _reserve(self, batch: _Batch, term: int) -> list[QuotaReservation]:
        """Charges the batch to its teams; what a quota does not allow any more is left out, to be planned again."""
        ledger, kept, reservations = self._view.ledger, [], []
        for admission in batch.admissions:
            job = self._view.jobs[admission.job]
            reservation = ledger.reserve(admission.job, job.team, job.charge_per_task, admission.tasks, term)
            self._log_admission(admission, term, reservation is not None)
            if reservation is None:
                continue
            kept.append(admission)
            reservations.append(reservation)
        batch.admissions = kept
        return reservations

    def _log_admission(self, admission: JobAdmission, term: int, admitted: bool) -> None:
        """Logs the totals it was decided by; a refusal at debug level, since it may repeat in every round."""
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

    def _release_resolved(self, reservations: list[QuotaReservation], result: TransactionResult) -> None:
        """Releases reservations once the records show the outcome of the transaction; until then they are kept.

        A conflict may mean that an earlier copy of the transaction was carried out whose response was lost.
        """
        self._view.update()
        certain = result.status not in (TransactionStatus.CONFLICT, TransactionStatus.UNKNOWN)
        shown = result.status is TransactionStatus.CONFLICT and result.revision <= self._replica.state.revision
        for reservation in reservations:
            if certain or shown:
                self._view.ledger.release(reservation)
            elif result.status is TransactionStatus.CONFLICT:
                reservation.resolved_by_revision = result.revision
