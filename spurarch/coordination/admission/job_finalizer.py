"""Final standings: jobs whose tasks have all ended, and cancelled ones that are off all machines."""

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

MOST_ENDED = 200  # jobs looked at in one round


class JobFinalizer:
    """Records final standings; only the leader may, and each transaction guards its record."""

    def __init__(self, replica: Replica, view: FleetView, limits: StateLimits) -> None:
        self._replica, self._view = replica, view
        self._changed_keys = replica.state.subscribe()
        self._jobs: dict[str, None] = {}  # of which something changed
        self._most_changes = limits.transaction_changes
        reserved = 1 + replica.store.reserved_guards  # the leader's record, and what the store adds
        self._most_guards = limits.transaction_guards - self._most_changes - reserved

    def begin_term(self) -> None:
        """Looks at all jobs once."""
        self._changed_keys.clear()
        self._jobs = dict.fromkeys(self._replica.state.jobs)

    def discard_changes(self) -> None:
        """Another one leads: the news would gather, and a new leader looks at all jobs in any case."""
        self._changed_keys.clear()

    async def finalize_jobs(self) -> None:
        """Records the final standing of jobs whose tasks have all ended, and of cancelled ones that are off.

        Only jobs of which something changed are looked at, and several go out in one transaction.
        """
        for key in self._changed_keys:
            if key.startswith(records.JOB):
                self._jobs[key[len(records.JOB) :]] = None
            elif key.startswith(records.ALLOCATION):
                self._jobs[AllocationKey.parse(key).job] = None
        self._changed_keys.clear()
        batch: list[Write] = []
        guards: set[str] = set()
        refs: list[str] = []
        for job_id in list(self._jobs)[:MOST_ENDED]:
            final = self.final_record(job_id)
            if final is None:
                del self._jobs[job_id]
                continue
            writes, more = self._final_writes(job_id, final)
            too_many = len(batch) + len(writes) > self._most_changes or len(guards) + len(more) > self._most_guards
            if batch and too_many:
                await self._commit_ends(batch, guards, refs)
                batch, guards, refs = [], set(), []
                final = self.final_record(job_id)
                if final is None:
                    continue
                writes, more = self._final_writes(job_id, final)
            batch += writes
            guards |= more
            refs.append(job_id)
        if batch:
            await self._commit_ends(batch, guards, refs)

    async def _commit_ends(self, writes: list[Write], guards: set[str], refs: list[str]) -> None:
        result = await self._replica.commit(writes, [records.LEADER, *guards])
        if result.status is TransactionStatus.INVALID and len(refs) > 1:
            for job_id in refs:  # one job that can't be ended must not keep the others from it
                final = self.final_record(job_id)
                if final is not None:
                    alone, more = self._final_writes(job_id, final)
                    await self._commit_ends(alone, more, [job_id])
        log.debug("job ends committed count=%d status=%s", len(refs), result.status.value)

    def final_record(self, job_id: str) -> FinalRecord | None:
        """The standing of a job that is over, or None."""
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
            return FinalRecord(wire.DONE, record.spec.tasks)  # members complete together, also those that were free
        return FinalRecord(wire.DONE, record.spec.tasks) if ended >= record.spec.tasks else None

    def _final_writes(self, job_id: str, final: FinalRecord) -> tuple[list[Write], set[str]]:
        state, most = self._replica.state, self._most_changes
        writes = [Write(records.FINAL + job_id, final), Write(records.JOB + job_id, None)]
        if job_id in state.admissions:
            writes.append(Write(records.ADMISSION + job_id, None))
        # What does not fit goes with the owners' clean-up of jobs that are over; all of it while changes are scarce.
        rest = [str(key) for key in state.allocations.get(job_id, {})]
        if self._replica.store.rates.can_write_now(Urgency.ENDS):
            writes += [Write(key, None) for key in rest[: most - len(writes)]]
        return writes, set(rest[: self._most_guards])
