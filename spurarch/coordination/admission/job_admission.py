"""Builds the record changes that admit tasks of one job.

These are its admission record, its new allocations, and the allocations that returned tasks are moved out of. A
transaction may hold fewer changes than all planned tasks need. It then admits as many of them as fit, and later rounds
the others.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import groupby

import msgspec

from spurarch.coordination.admission.plan import AdmissionGrant
from spurarch.coordination.fleet.interner import StringInterner
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AdmissionRecord, AllocationKey, AllocationRecord, TaskEntry
from spurarch.storage.transaction import (
    BYTES_PER_CHANGE,
    TransactionSize,
    Write,
    change_size,
    guard_size,
)

GUARDS_PER_JOB = 2  # its job record and its admission record
ADMISSION_RECORD_SIZE = TransactionSize(1, 0, BYTES_PER_CHANGE)

TasksOfSource = tuple[AllocationKey | None, list[TaskEntry]]  # None: tasks that were never admitted


@dataclass(slots=True)
class JobAdmission:
    """Record changes that admit tasks of one job.

    Attributes:
        job: Id of the job.
        tasks: Number of tasks that are admitted, and so charged to the job's team. 0 if the transaction only splits a
            record that is too large to be updated together with an admission.
        writes: The changes; empty if none of the planned tasks can be admitted.
        size: Upper bound of the size of the changes and of the job's guards in a transaction.
        left_out: Number of planned tasks that are not admitted.
        changes_needed: Number of changes with the first tasks that did not fit; 0 if all fitted.
    """

    job: str
    tasks: int
    writes: list[Write]
    size: TransactionSize
    left_out: int = 0
    changes_needed: int = 0


class JobAdmissionBuilder:
    """Collects allocations of one job, as many as fit in one transaction."""

    def __init__(
        self, state: ClusterState, zones: StringInterner, job_id: str, tasks_per_record: int, limits: TransactionSize
    ) -> None:
        self._state, self._zones, self._job_id = state, zones, job_id
        self._tasks_per_record, self._limits = tasks_per_record, limits
        self._admission_record = self._current_admission_record()
        self._next_chunk = self._admission_record.chunks if self._admission_record is not None else 0
        self._allocations: list[tuple[AllocationKey, list[TaskEntry]]] = []
        self._moved_from: dict[AllocationKey, set[int]] = {}  # indices of tasks, by the allocation they leave
        self._new_tasks: set[int] = set()
        self._size = guard_size(GUARDS_PER_JOB)  # without the admission record, which not every admission writes
        self._planned_tasks = 0
        self._changes_needed = 0
        self._sources_left_out: dict[AllocationKey, None] = {}

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
        """Adds the tasks of a grant as far as they fit in the transaction.

        Tasks that return from one allocation may fit where those from a larger one, which takes more changes to
        update, do not.
        """
        self._planned_tasks += len(grant.entries)
        zone = self._zones.name(grant.zone)
        open_entries: list[TaskEntry] = []  # of the last allocation, if it has room for more tasks of this grant
        for source, entries in _by_source(grant):
            added = 0
            while added < len(entries):
                room = self._tasks_per_record - len(open_entries) if open_entries else 0
                piece = entries[added : added + (room or self._tasks_per_record)]
                if not self._reserve(source, piece, new_allocation=not room):
                    break
                if not room:
                    open_entries = self._add_allocation(zone)
                self._add_tasks(source, piece, open_entries)
                added += len(piece)

    def _reserve(self, source: AllocationKey | None, entries: list[TaskEntry], new_allocation: bool) -> bool:
        """Adds the size of the changes that admit the tasks, unless they exceed the limits; returns whether it did."""
        size = self._size.plus(TransactionSize(0, 0, len(msgspec.json.encode(entries))))
        if new_allocation:
            size = size.plus(TransactionSize(1, 0, BYTES_PER_CHANGE))
        if source is not None and source not in self._moved_from:
            size = size.plus(self._size_of_source(source))
        if not size.plus(ADMISSION_RECORD_SIZE).fits_in(self._limits):
            self._changes_needed = self._changes_needed or size.plus(ADMISSION_RECORD_SIZE).changes
            if source is not None:
                self._sources_left_out[source] = None
            return False
        self._size = size
        return True

    def _size_of_source(self, source: AllocationKey) -> TransactionSize:
        """Returns an upper bound of the size of the changes that move tasks out of an allocation.

        A record that was written under a higher size limit is split when it is updated.
        """
        record = self._state.allocations[source.job][source]
        changes = records.count_split_records(record, self._tasks_per_record)
        return change_size(record).plus(TransactionSize(changes - 1, 0, (changes - 1) * BYTES_PER_CHANGE))

    def _add_allocation(self, zone: str) -> list[TaskEntry]:
        """Adds an allocation without tasks; returns the list of its tasks."""
        recorded = self._state.allocations.get(self._job_id, {})
        while (key := AllocationKey(zone, self._job_id, self._next_chunk)) in recorded:
            self._next_chunk += 1
        self._next_chunk += 1
        entries: list[TaskEntry] = []
        self._allocations.append((key, entries))
        return entries

    def _add_tasks(self, source: AllocationKey | None, entries: list[TaskEntry], to: list[TaskEntry]) -> None:
        to += entries
        indices = {entry.index for entry in entries}
        if source is None:
            self._new_tasks |= indices
        else:
            self._moved_from.setdefault(source, set()).update(indices)

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
        if not tasks:
            return self._split_only()
        writes = [Write(str(key), AllocationRecord(entries)) for key, entries in kept_allocations if entries]
        whole_job = (
            self._admission_record is None
            and not self._moved_from
            and admitted == self._state.jobs[self._job_id].spec.tasks
        )
        size = self._size
        if not whole_job:
            size = size.plus(ADMISSION_RECORD_SIZE)
            admission_write = Write(records.ADMISSION + self._job_id, AdmissionRecord(admitted, self._next_chunk))
            writes = [admission_write, *writes, *self._source_writes()]
        left_out = self._planned_tasks - tasks
        return JobAdmission(self._job_id, tasks, writes, size, left_out, self._changes_needed)

    def _split_only(self) -> JobAdmission:
        """Returns the changes that split one of the records whose tasks were left out; no changes if there is none.

        Such a record was written under a higher size limit. Its pieces can then be updated by one change each.
        """
        for source in self._sources_left_out:
            size = guard_size(GUARDS_PER_JOB).plus(self._size_of_source(source))
            if size.fits_in(self._limits):
                record = self._state.allocations[source.job][source]
                writes = self._split_writes(source, record, set(self._state.allocations[source.job]))
                return JobAdmission(self._job_id, 0, writes, size, self._planned_tasks, self._changes_needed)
        return JobAdmission(self._job_id, 0, [], TransactionSize(), self._planned_tasks, self._changes_needed)

    def _source_writes(self) -> list[Write]:
        """Returns the changes to allocations from which tasks are moved; those without other tasks are deleted."""
        writes: list[Write] = []
        used = {*self._state.allocations.get(self._job_id, {}), *(key for key, _ in self._allocations)}
        for source, indices in self._moved_from.items():
            record = self._state.allocations[source.job][source]
            remaining = [entry for entry in record.tasks if entry.index not in indices]
            if remaining:
                writes += self._split_writes(source, AllocationRecord(remaining), used)
            else:
                writes.append(Write(str(source), None))
        return writes

    def _split_writes(self, source: AllocationKey, record: AllocationRecord, used: set[AllocationKey]) -> list[Write]:
        """Returns the writes of a record, split if it is too large, and adds the keys of its pieces to `used`."""
        pieces = records.split(source, record, self._tasks_per_record, used)
        used.update(key for key, _ in pieces)
        return [Write(str(key), piece) for key, piece in pieces]


def _by_source(grant: AdmissionGrant) -> Iterable[TasksOfSource]:
    """Yields the tasks of a grant in order, those that are moved out of the same allocation together."""
    if not grant.moved_from:
        yield None, grant.entries
        return
    sources = {index: source for source, indices in grant.moved_from.items() for index in indices}
    for source, entries in groupby(grant.entries, key=lambda entry: sources.get(entry.index)):
        yield source, list(entries)
