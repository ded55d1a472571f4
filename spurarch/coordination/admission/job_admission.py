"""Builds the record changes that admit tasks of one job.

These are its admission record, its new allocations, and the allocations that returned tasks are moved out of.
"""

from __future__ import annotations

from dataclasses import dataclass

from spurarch.coordination.admission.plan import AdmissionGrant
from spurarch.coordination.fleet.interner import StringInterner
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AdmissionRecord, AllocationKey, AllocationRecord, TaskEntry
from spurarch.storage.transaction import Write

RESERVED_CHANGES = 2  # per transaction: one for the admission record, and one spare


@dataclass(slots=True)
class JobAdmission:
    """Record changes that admit tasks of one job."""

    job: str
    tasks: int  # charged to the job's team by this admission
    writes: list[Write]
    left_out: int = 0  # tasks of the plan that did not fit in the transaction
    changes_needed: int = 0  # by the first tasks that did not fit, together with those before them; 0 if all fitted

    @property
    def max_bytes(self) -> int:
        """Upper bound of the encoded size of the changes in a request."""
        return sum(records.change_bytes(write.record) for write in self.writes)


class JobAdmissionBuilder:
    """Collects allocations of one job, as many as fit in one transaction."""

    def __init__(
        self, state: ClusterState, zones: StringInterner, job_id: str, tasks_per_record: int, max_changes: int
    ) -> None:
        self._state, self._zones, self._job_id = state, zones, job_id
        self._tasks_per_record = tasks_per_record
        self._max_changes = max_changes - RESERVED_CHANGES
        self._admission_record = self._current_admission_record()
        self._next_chunk = self._admission_record.chunks if self._admission_record is not None else 0
        self._allocations: list[tuple[AllocationKey, list[TaskEntry]]] = []
        self._moved_from: dict[AllocationKey, set[int]] = {}  # indices of tasks, by the allocation they leave
        self._new_tasks: set[int] = set()
        self._planned = 0  # tasks of all grants
        self._changes_needed = 0

    def _current_admission_record(self) -> AdmissionRecord | None:
        """Returns the job's admission record; None if no task of the job was admitted yet.

        A job that was admitted as a whole has no such record; the one that it would have is returned.
        """
        admission_record = self._state.admissions.get(self._job_id)
        allocations = self._state.allocations.get(self._job_id, {})
        if admission_record is None and allocations:
            tasks = self._state.jobs[self._job_id].spec.tasks
            return AdmissionRecord(tasks, max(allocation.chunk for allocation in allocations) + 1)
        return admission_record

    def add(self, grant: AdmissionGrant) -> None:
        """Adds the tasks of a grant, up to the first allocation that would exceed the limit of changes."""
        self._planned += len(grant.entries)
        moved_indices = {index for indices in grant.moved_from.values() for index in indices}
        for start in range(0, len(grant.entries), self._tasks_per_record):
            entries = grant.entries[start : start + self._tasks_per_record]
            indices = {entry.index for entry in entries}
            sources = {source for source, moved in grant.moved_from.items() if not moved.isdisjoint(indices)}
            source_changes = sum(map(self._changes_to_rewrite, sources | set(self._moved_from)))
            changes = len(self._allocations) + 1 + source_changes
            if changes > self._max_changes:
                self._changes_needed = self._changes_needed or changes + RESERVED_CHANGES
                break
            self._allocations.append((self._next_key(self._zones.name(grant.zone)), entries))
            self._new_tasks |= indices - moved_indices
            for source in sources:
                self._moved_from.setdefault(source, set()).update(indices & grant.moved_from[source])

    def build(self) -> JobAdmission:
        """Returns the record changes of the admission.

        The admission record holds only the number of admitted tasks, which are those with the lowest indices. If some
        new tasks did not fit in the transaction, those with higher indices are therefore left out as well.

        A job that is admitted as a whole needs no admission record: its allocations exist until it has ended, so a
        delayed duplicate of the transaction that created them fails.
        """
        admitted = self._admission_record.next if self._admission_record is not None else 0
        tasks_after_gap = set(self._new_tasks)
        while admitted in tasks_after_gap:
            tasks_after_gap.discard(admitted)
            admitted += 1
        kept_allocations = [
            (key, [entry for entry in entries if entry.index not in tasks_after_gap])
            for key, entries in self._allocations
        ]
        tasks = sum(len(entries) for _, entries in kept_allocations)
        writes = [Write(str(key), AllocationRecord(entries)) for key, entries in kept_allocations if entries]
        if (
            self._admission_record is None
            and not self._moved_from
            and admitted == self._state.jobs[self._job_id].spec.tasks
        ):
            return JobAdmission(self._job_id, tasks, writes, self._planned - tasks, self._changes_needed)
        admission_write = Write(records.ADMISSION + self._job_id, AdmissionRecord(admitted, self._next_chunk))
        return JobAdmission(
            self._job_id,
            tasks,
            [admission_write, *writes, *self._source_writes()],
            self._planned - tasks,
            self._changes_needed,
        )

    def _next_key(self, zone: str) -> AllocationKey:
        """Returns a key for a new allocation that no record has."""
        recorded = self._state.allocations.get(self._job_id, {})
        while (key := AllocationKey(zone, self._job_id, self._next_chunk)) in recorded:
            self._next_chunk += 1
        self._next_chunk += 1
        return key

    def _changes_to_rewrite(self, source: AllocationKey) -> int:
        """Returns an upper bound of the changes that rewrite an allocation from which tasks are moved.

        A record that was written under a higher size limit is split when it is rewritten.
        """
        return records.count_split_records(self._state.allocations[source.job][source], self._tasks_per_record)

    def _source_writes(self) -> list[Write]:
        """Returns the changes to allocations from which tasks are moved; those without other tasks are deleted."""
        writes: list[Write] = []
        used = {*self._state.allocations.get(self._job_id, {}), *(key for key, _ in self._allocations)}
        for source, indices in self._moved_from.items():
            record = self._state.allocations[source.job][source]
            remaining = [entry for entry in record.tasks if entry.index not in indices]
            if remaining:
                pieces = records.split(source, AllocationRecord(remaining), self._tasks_per_record, used)
                used.update(key for key, _ in pieces)
                writes += [Write(str(key), piece) for key, piece in pieces]
            else:
                writes.append(Write(str(source), None))
        return writes
