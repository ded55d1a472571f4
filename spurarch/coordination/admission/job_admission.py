"""The records that the admission of one job writes: its count, new allocations, and old ones that lose tasks."""

from __future__ import annotations

from dataclasses import dataclass

from spurarch.coordination.admission.plan import AdmissionGrant
from spurarch.coordination.fleet.interner import StringInterner
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AdmissionRecord, AllocationKey, AllocationRecord, TaskEntry
from spurarch.storage.transaction import Write

RESERVED_CHANGES = 2  # of a transaction: the job's count, and one to spare


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


class JobAdmissionBuilder:
    """Collects the allocations of one job, as many as one transaction takes."""

    def __init__(
        self, state: ClusterState, zones: StringInterner, job_id: str, tasks_per_record: int, max_changes: int
    ) -> None:
        self._state, self._zones, self._job_id = state, zones, job_id
        self._tasks_per_record = tasks_per_record
        self._max_changes = max_changes - RESERVED_CHANGES
        self._recorded = self._recorded_count()
        self._next_chunk = self._recorded.chunks if self._recorded is not None else 0
        self._allocations: list[tuple[AllocationKey, list[TaskEntry]]] = []
        self._moved: dict[AllocationKey, set[int]] = {}  # by allocation that loses tasks, their indices
        self._new_tasks: set[int] = set()

    def _recorded_count(self) -> AdmissionRecord | None:
        """The job's count on record, or what it would be for a job that was admitted as a whole."""
        recorded = self._state.admissions.get(self._job_id)
        allocations = self._state.allocations.get(self._job_id, {})
        if recorded is None and allocations:
            tasks = self._state.jobs[self._job_id].spec.tasks
            return AdmissionRecord(tasks, max(allocation.chunk for allocation in allocations) + 1)
        return recorded

    def add(self, grant: AdmissionGrant) -> None:
        """Adds the tasks of a grant, except those that this transaction has no room for."""
        moved_here = {index for indices in grant.moved.values() for index in indices}
        for start in range(0, len(grant.entries), self._tasks_per_record):
            entries = grant.entries[start : start + self._tasks_per_record]
            indices = {entry.index for entry in entries}
            sources = {source for source, moved in grant.moved.items() if not moved.isdisjoint(indices)}
            rewritten = sum(map(self._changes_to_rewrite, sources | set(self._moved)))
            if len(self._allocations) + 1 + rewritten > self._max_changes:
                break
            key = AllocationKey(self._zones.name(grant.zone), self._job_id, self._next_chunk)
            self._next_chunk += 1
            self._allocations.append((key, entries))
            self._new_tasks |= indices - moved_here
            for source in sources:
                self._moved.setdefault(source, set()).update(indices & grant.moved[source])

    def build(self) -> JobAdmission:
        """The records to write.

        New tasks are admitted in order of their index: what did not fit into the transaction must not leave a gap.
        A job that is admitted as a whole needs no count: its allocations stay until it has ended, and a late repeat
        of the transaction that made them finds them there.
        """
        admitted = self._recorded.next if self._recorded is not None else 0
        after_gap = set(self._new_tasks)
        while admitted in after_gap:
            after_gap.discard(admitted)
            admitted += 1
        kept = [
            (key, [entry for entry in entries if entry.index not in after_gap]) for key, entries in self._allocations
        ]
        tasks = sum(len(entries) for _, entries in kept)
        writes = [Write(str(key), AllocationRecord(entries)) for key, entries in kept if entries]
        if self._recorded is None and not self._moved and admitted == self._state.jobs[self._job_id].spec.tasks:
            return JobAdmission(self._job_id, tasks, writes)
        count = Write(records.ADMISSION + self._job_id, AdmissionRecord(admitted, self._next_chunk))
        return JobAdmission(self._job_id, tasks, [count, *writes, *self._source_writes()])

    def _changes_to_rewrite(self, source: AllocationKey) -> int:
        """How many changes it takes at most to write an allocation again."""
        return records.pieces_of(self._state.allocations[source.job][source], self._tasks_per_record)

    def _source_writes(self) -> list[Write]:
        """The allocations that lose tasks, with the tasks that stay, or deleted."""
        writes: list[Write] = []
        for source, indices in self._moved.items():
            record = self._state.allocations[source.job][source]
            left = [entry for entry in record.tasks if entry.index not in indices]
            if left:
                writes += [
                    Write(str(key), piece)
                    for key, piece in records.split(source, AllocationRecord(left), self._tasks_per_record)
                ]
            else:
                writes.append(Write(str(source), None))
        return writes
