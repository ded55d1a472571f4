"""Records final states of jobs: completed ones, and cancelled ones whose tasks have all left their machines."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.protocol import wire
from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import AllocationKey, FinalRecord
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import (
    BYTES_PER_CHANGE,
    BYTES_PER_GUARD,
    TransactionSize,
    TransactionStatus,
    Write,
    guard_size,
    transaction_limits,
)

log = logging.getLogger(__name__)

MAX_JOBS_PER_ROUND = 200


@dataclass(slots=True)
class _FinalBatch:
    """Final states that are recorded in one transaction, and the allocations that it guards."""

    job_ids: list[str] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    guards: list[str] = field(default_factory=list)
    size: TransactionSize = field(default_factory=TransactionSize)

    def add(self, other: _FinalBatch) -> None:
        """Adds the final states of another batch."""
        self.job_ids += other.job_ids
        self.writes += other.writes
        self.guards += other.guards
        self.size = self.size.plus(other.size)


class JobFinalizer:
    """Records final states of jobs and deletes their other records, as far as the limits allow.

    Only the leader may do so: each transaction guards the leader's record.
    """

    def __init__(self, replica: Replica, view: FleetView, limits: StateLimits) -> None:
        self._replica, self._view = replica, view
        self._changed_keys = replica.state.subscribe()
        self._changed_jobs: dict[str, None] = {}
        self._limits = transaction_limits(limits)

    def begin_term(self) -> None:
        """Marks all jobs for a check, at the beginning of a term (see `Membership.confirmed_term`)."""
        self._changed_keys.clear()
        self._changed_jobs = dict.fromkeys(self._replica.state.jobs)

    def discard_changes(self) -> None:
        """Discards changed keys while another controller leads, so that they don't accumulate.

        Nothing is missed: a new leader checks all jobs.
        """
        self._changed_keys.clear()

    async def finalize_jobs(self) -> None:
        """Records the final states of completed jobs, and of cancelled ones whose tasks have all left their machines.

        Checks only jobs with changed records, at most `MAX_JOBS_PER_ROUND`, and commits several final states in one
        transaction. A job is checked again in the next round until its record is deleted, so that failed transactions
        are repeated.
        """
        for key in self._changed_keys:
            if key.startswith(records.JOB):
                self._changed_jobs[key[len(records.JOB) :]] = None
            elif key.startswith(records.ALLOCATION):
                self._changed_jobs[AllocationKey.parse(key).job] = None
        self._changed_keys.clear()
        batch = _FinalBatch()
        for job_id in list(self._changed_jobs)[:MAX_JOBS_PER_ROUND]:
            job_batch = self._final_batch(job_id)
            if job_batch is None:
                del self._changed_jobs[job_id]
                continue
            if batch.job_ids and not batch.size.plus(job_batch.size).fits_in(self._limits):
                await self._commit(batch)
                batch, job_batch = _FinalBatch(), self._final_batch(job_id)
            if job_batch is not None:
                batch.add(job_batch)
        if batch.job_ids:
            await self._commit(batch)

    async def _commit(self, batch: _FinalBatch) -> None:
        result = await self._replica.commit(batch.writes, [records.LEADER, *batch.guards])
        if result.status is TransactionStatus.INVALID and len(batch.job_ids) > 1:
            for job_id in batch.job_ids:  # one by one, so that a job whose write is invalid does not block the others
                job_batch = self._final_batch(job_id)
                if job_batch is not None:
                    await self._commit(job_batch)
        log.debug("final job states committed count=%d status=%s", len(batch.job_ids), result.status.value)

    def final_record(self, job_id: str) -> FinalRecord | None:
        """Returns the final record of a job; None if the job has not ended, or has no job record."""
        state = self._replica.state
        record = state.jobs.get(job_id)
        if record is None:
            return None
        allocations = state.allocations.get(job_id, {})
        if record.cancelled:
            return None if allocations else FinalRecord(wire.CANCELLED, record.spec.tasks)
        self._view.update()
        job = self._view.jobs.get(job_id)
        if job is None or job.ended < (1 if job.gang else record.spec.tasks):
            return None
        entries = [entry for allocation in allocations.values() for entry in allocation.tasks]
        ended = sum(entry.state == records.ENDED for entry in entries)
        if job.gang and ended and not any(entry.state == records.ASSIGNED for entry in entries):
            return FinalRecord(wire.DONE, record.spec.tasks)  # members complete together, also unassigned ones
        return FinalRecord(wire.DONE, record.spec.tasks) if ended >= record.spec.tasks else None

    def _final_batch(self, job_id: str) -> _FinalBatch | None:
        """Returns the changes that record a job's final state, and the allocations to guard within the limits.

        Returns None if the job has no final state yet. Allocations that are deleted need no other guard.
        """
        final = self.final_record(job_id)
        if final is None:
            return None
        state = self._replica.state
        writes = [Write(records.FINAL + job_id, final), Write(records.JOB + job_id, None)]
        if job_id in state.admissions:
            writes.append(Write(records.ADMISSION + job_id, None))
        # Partition owners later delete the allocations that don't fit in this transaction. While the rate limit leaves
        # no changes to spare, they delete all of them.
        allocations = [str(key) for key in state.allocations.get(job_id, {})]
        deleted = 0
        if self._replica.store.rates.can_write_now(Urgency.CLEANUP):
            max_writes = min(self._limits.changes, self._limits.request_bytes // BYTES_PER_CHANGE)
            deleted = min(len(allocations), max_writes - len(writes))
        writes += [Write(key, None) for key in allocations[:deleted]]
        size = TransactionSize(len(writes), 0, len(writes) * BYTES_PER_CHANGE)
        max_guards = min(self._limits.guards, (self._limits.request_bytes - size.request_bytes) // BYTES_PER_GUARD)
        guards = allocations[deleted : deleted + max_guards]
        return _FinalBatch([job_id], writes, guards, size.plus(guard_size(len(guards))))
