"""Records final states of jobs: completed ones, and cancelled ones whose tasks have all left their machines."""

from __future__ import annotations

import logging

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.protocol import wire
from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import AllocationKey, FinalRecord
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import TransactionStatus, Write

log = logging.getLogger(__name__)

MAX_JOBS_PER_ROUND = 200


class JobFinalizer:
    """Records final states of jobs and deletes their other records, as far as the limits allow.

    Only the leader may do so: each transaction guards the leader's record.
    """

    def __init__(self, replica: Replica, view: FleetView, limits: StateLimits) -> None:
        self._replica, self._view = replica, view
        self._changed_keys = replica.state.subscribe()
        self._changed_jobs: dict[str, None] = {}
        self._max_changes = limits.transaction_changes
        reserved = 1 + replica.store.reserved_guards  # for the leader's record, and the guards that the store adds
        self._max_guards = limits.transaction_guards - self._max_changes - reserved

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
        batch: list[Write] = []
        guards: set[str] = set()
        job_ids: list[str] = []
        for job_id in list(self._changed_jobs)[:MAX_JOBS_PER_ROUND]:
            final = self.final_record(job_id)
            if final is None:
                del self._changed_jobs[job_id]
                continue
            writes, job_guards = self._final_writes(job_id, final)
            too_many = len(batch) + len(writes) > self._max_changes or len(guards) + len(job_guards) > self._max_guards
            if batch and too_many:
                await self._commit_final_states(batch, guards, job_ids)
                batch, guards, job_ids = [], set(), []
                final = self.final_record(job_id)
                if final is None:
                    continue
                writes, job_guards = self._final_writes(job_id, final)
            batch += writes
            guards |= job_guards
            job_ids.append(job_id)
        if batch:
            await self._commit_final_states(batch, guards, job_ids)

    async def _commit_final_states(self, writes: list[Write], guards: set[str], job_ids: list[str]) -> None:
        result = await self._replica.commit(writes, [records.LEADER, *guards])
        if result.status is TransactionStatus.INVALID and len(job_ids) > 1:
            for job_id in job_ids:  # one by one, so that a job whose write is invalid does not block the others
                final = self.final_record(job_id)
                if final is not None:
                    job_writes, job_guards = self._final_writes(job_id, final)
                    await self._commit_final_states(job_writes, job_guards, [job_id])
        log.debug("final job states committed count=%d status=%s", len(job_ids), result.status.value)

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

    def _final_writes(self, job_id: str, final: FinalRecord) -> tuple[list[Write], set[str]]:
        """Returns the changes that record a final state, and the allocations to guard, as far as the limits allow."""
        state = self._replica.state
        writes = [Write(records.FINAL + job_id, final), Write(records.JOB + job_id, None)]
        if job_id in state.admissions:
            writes.append(Write(records.ADMISSION + job_id, None))
        # Partition owners later delete the allocations that don't fit in this transaction. While the rate limit leaves
        # no changes to spare, they delete all of them.
        allocations = [str(key) for key in state.allocations.get(job_id, {})]
        if self._replica.store.rates.can_write_now(Urgency.CLEANUP):
            writes += [Write(key, None) for key in allocations[: self._max_changes - len(writes)]]
        return writes, set(allocations[: self._max_guards])
