"""Carries out a plan of admissions: which records it writes, in which transactions, and whether it still stands."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import curio

from spurarch.coordination.admission.plan import AdmissionGrant
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.fleet.quota_ledger import QuotaReservation
from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.partition.allocation_changes import is_live
from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import AdmissionRecord, AllocationKey, AllocationRecord, TaskEntry
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import TransactionResult, TransactionStatus, Write

log = logging.getLogger(__name__)


@dataclass(slots=True)
class JobAdmission:
    """The records that the admission of one job writes."""

    job: str
    tasks: int  # that its team is charged with from then on
    writes: list[Write]

    @property
    def length(self) -> int:
        """About how many bytes they take."""
        return sum(records.change_bytes(write.record) for write in self.writes)


@dataclass(slots=True)
class _Batch:
    """Admissions that go out in one transaction."""

    changes: list[JobAdmission] = field(default_factory=list)

    @property
    def writes(self) -> list[Write]:
        """All records that it writes."""
        return [write for change in self.changes for write in change.writes]

    def takes(self, change: JobAdmission, most_changes: int) -> bool:
        """Whether there is room for one more job."""
        changes = len(self.writes) + len(change.writes)
        length = sum(other.length for other in self.changes) + change.length
        return not self.changes or (changes <= most_changes and length <= records.TXN_BYTES)

    def add(self, change: JobAdmission) -> None:
        """Takes a job in."""
        self.changes.append(change)


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
        self.replica, self.membership, self.view = replica, membership, view
        self._notify_peers = notify_peers
        self._admitting = False  # arrays, in a transaction that is under way
        self._record_tasks = records.tasks_per_record(limits.value_bytes)
        self._most_changes = limits.transaction_changes

    def as_planned(self, job_id: str) -> dict[str, int]:
        """Versions of what an admission of the job is decided by.

        A plan may wait while an earlier one is carried out: tasks that this one moved are somewhere else by then, and
        moving them again would run them twice.
        """
        state = self.replica.state
        keys = [records.ADMISSION + job_id, *(str(allocation) for allocation in state.allocations.get(job_id, {}))]
        return {key: state.version(key) for key in keys}

    async def admit_beside(self, grants: list[AdmissionGrant], planned: dict[str, dict[str, int]]) -> None:
        """Admits arrays beside the rounds.

        They may stand in line for long, and replicas and gangs must not wait with them.
        """
        if grants and not self._admitting:
            self._admitting = True
            await curio.spawn(self._admit_arrays, grants, planned, daemon=True)

    async def _admit_arrays(self, grants: list[AdmissionGrant], planned: dict[str, dict[str, int]]) -> None:
        try:
            await self.admit(grants, planned, Urgency.STARTS)
        except curio.CancelledError:
            raise
        except Exception:  # must not end the controller
            log.exception("array admission failed")
        finally:
            self._admitting = False

    async def admit(self, grants: list[AdmissionGrant], planned: dict[str, dict[str, int]], urgency: Urgency) -> None:
        """Carries out grants whose plan still stands, in as few transactions as the limits allow."""
        by_job: dict[str, list[AdmissionGrant]] = {}
        for grant in grants:
            by_job.setdefault(grant.job, []).append(grant)
        batch = _Batch()
        for job_id, mine in by_job.items():
            change = self._change(job_id, mine, planned[job_id])
            if change is not None and not batch.takes(change, self._most_changes):
                await self._commit(batch, urgency)
                batch = _Batch()
                change = self._change(job_id, mine, planned[job_id])
            if change is not None:
                batch.add(change)
        if batch.changes:
            await self._commit(batch, urgency)

    def _change(self, job_id: str, grants: list[AdmissionGrant], planned: dict[str, int]) -> JobAdmission | None:
        """What the admission of one job writes; None if its plan does not stand any more."""
        if not is_live(self.replica.state, job_id) or not self._stands(job_id, grants, planned):
            return None
        return self._job_admission(job_id, grants)

    def _stands(self, job_id: str, grants: list[AdmissionGrant], planned: dict[str, int]) -> bool:
        """What the plan for a job was decided by has not changed: its count, and the allocations that lose tasks."""
        state = self.replica.state
        keys = {records.ADMISSION + job_id, *(str(source) for grant in grants for source in grant.moved)}
        return all(state.version(key) == planned.get(key, 0) for key in keys)

    def _job_admission(self, job_id: str, grants: list[AdmissionGrant]) -> JobAdmission:
        """The job's count, its new allocations, and the old ones that lose tasks; as many as one transaction takes.

        A job that is admitted as a whole needs no count: its allocations stay until it is over, and a late repeat of
        the transaction that made them finds them there.
        """
        state = self.replica.state
        known = state.admissions.get(job_id)
        there = state.allocations.get(job_id, {})
        if known is None and there:
            known = AdmissionRecord(state.jobs[job_id].spec.tasks, max(allocation.chunk for allocation in there) + 1)
        chunks, first = (known.chunks, known.next) if known is not None else (0, 0)
        most = self._most_changes - 2
        allocations: list[tuple[AllocationKey, list[TaskEntry]]] = []
        moved: dict[AllocationKey, set[int]] = {}
        fresh: set[int] = set()
        for grant in grants:
            moved_here = {index for indices in grant.moved.values() for index in indices}
            for at in range(0, len(grant.entries), self._record_tasks):
                piece = grant.entries[at : at + self._record_tasks]
                sources = {s for s, indices in grant.moved.items() if any(e.index in indices for e in piece)}
                if len(allocations) + 1 + sum(map(self._pieces, sources | set(moved))) > most:
                    break
                allocation = AllocationKey(self.view.zones.name(grant.zone), job_id, chunks)
                chunks += 1
                allocations.append((allocation, piece))
                taken = {e.index for e in piece}
                fresh |= taken - moved_here
                for source in sources:
                    moved.setdefault(source, set()).update(taken & grant.moved[source])
        # New tasks are admitted in order: what did not fit into the transaction must not leave a hole.
        while first in fresh:
            fresh.discard(first)
            first += 1
        kept = [(allocation, [e for e in entries if e.index not in fresh]) for allocation, entries in allocations]
        tasks = sum(len(entries) for _, entries in kept)
        writes = [Write(str(allocation), AllocationRecord(entries)) for allocation, entries in kept if entries]
        if known is None and not moved and first == state.jobs[job_id].spec.tasks:
            return JobAdmission(job_id, tasks, writes)
        count = Write(records.ADMISSION + job_id, AdmissionRecord(first, chunks))
        return JobAdmission(job_id, tasks, [count, *writes, *self._shrunk(moved)])

    def _pieces(self, source: AllocationKey) -> int:
        """How many changes it takes at most to write a record again."""
        return records.pieces_of(self.replica.state.allocations[source.job][source], self._record_tasks)

    def _shrunk(self, moved: dict[AllocationKey, set[int]]) -> list[Write]:
        out: list[Write] = []
        for source, indices in moved.items():
            record = self.replica.state.allocations[source.job][source]
            left = [e for e in record.tasks if e.index not in indices]
            if left:
                out += [
                    Write(str(allocation), piece)
                    for allocation, piece in records.split(source, AllocationRecord(left), self._record_tasks)
                ]
            else:
                out.append(Write(str(source), None))
        return out

    async def _commit(self, batch: _Batch, urgency: Urgency) -> None:
        """Commits what the teams' limits allow at this moment; from here to the state service nothing else is decided."""
        term = self.membership.confirmed_term
        if term is None:
            return
        self.view.update()
        reservations = self._reserve(batch, term)
        if not batch.changes:
            return
        # The count is guarded also where it is not written: once there is one, a late repeat of the transaction that
        # admitted a job as a whole does nothing, whatever has become of its allocations.
        guards = {key for c in batch.changes for key in (records.JOB + c.job, records.ADMISSION + c.job)}
        result = await self.replica.commit(batch.writes, guards, urgency=urgency, pinned={records.LEADER: term})
        self._settle(reservations, result)
        if result.status is TransactionStatus.COMMITTED:
            await self._notify_peers()
        elif result.status is not TransactionStatus.NOT_EXECUTED:
            log.info("leader transaction not committed status=%s conflicts=%s", result.status.value, result.failed_keys)

    def _reserve(self, batch: _Batch, term: int) -> list[QuotaReservation]:
        """Charges the batch to its teams; what a limit does not allow any more leaves the batch, to be planned again."""
        ledger, kept, reservations = self.view.ledger, [], []
        for change in batch.changes:
            job = self.view.jobs[change.job]
            reservation = ledger.reserve(change.job, job.team, job.charge_per_task, change.tasks, term)
            self._log_admission(change, term, reservation is not None)
            if reservation is None:
                continue
            kept.append(change)
            reservations.append(reservation)
        batch.changes = kept
        return reservations

    def _log_admission(self, change: JobAdmission, term: int, admitted: bool) -> None:
        """By which totals it was decided. A refused one may be planned again in every round, so that is for debugging."""
        level = logging.INFO if admitted else logging.DEBUG
        event = "tasks admitted" if admitted else "admission refused by quota"
        if log.isEnabledFor(level):
            team = self.view.jobs[change.job].team
            log.log(
                level,
                "%s count=%d job=%s term=%d revision=%d team=%s %s",
                event,
                change.tasks,
                change.job,
                term,
                self.replica.state.revision,
                self.view.teams.name(team),
                self.view.ledger.describe(team),
            )

    def _settle(self, reservations: list[QuotaReservation], result: TransactionResult) -> None:
        """Releases reservations once the table shows what became of the transaction; until then they stand.

        A conflict may mean that an earlier copy of the transaction was carried out whose answer was lost.
        """
        self.view.update()
        certain = result.status not in (TransactionStatus.CONFLICT, TransactionStatus.UNKNOWN)
        shown = result.status is TransactionStatus.CONFLICT and result.revision <= self.replica.state.revision
        for reservation in reservations:
            if certain or shown:
                self.view.ledger.release(reservation)
            elif result.status is TransactionStatus.CONFLICT:
                reservation.resolved_by_revision = result.revision
