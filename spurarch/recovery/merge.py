"""Merges the evidence of a lost history into the records of the next one.

This is a pure function: the same evidence in any order, once or twice, gives the same records. Its rules, from the
strongest to the weakest:

  1. A final record overrides everything else about its job. Two that differ leave the outcome unresolved.
  2. Among copies of one history, the change with the highest revision wins, and a copy that is complete at a revision
     proves that a record which it lacks was deleted by then. A job that has a record in one copy, but none in a newer
     copy and no final record in any, is terminal with an unresolved outcome. If any copy has it as cancelled, it is
     kept as a cancelled job instead.
  3. A worker's heartbeat with the rebuild's fencing token is complete for that worker: the attempts that it lists
     exist, others do not, and no command sent earlier has an effect. The end of a task overrides any attempt, a higher
     attempt a lower one.
  4. A task that the records assign to a worker without such a heartbeat stays assigned to it. The partition owner frees
     it as usual, once there is proof that the attempt no longer runs.
  5. Where users are notified only of what is archived and a copy of the archive exists, a job that was deleted without
     a final record in any copy is not terminal for any user. Unlike under rule 2, it continues, and its tasks that were
     recorded as ended or reported as done end at once.
  6. All other tasks that have not ended are returned to the leader, which admits them again within their teams' quotas.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from spurarch.protocol import wire
from spurarch.recovery.evidence import Evidence, Source, SourceKind, Versioned
from spurarch.recovery.rebuilt_records import RebuiltRecords, UnresolvedKind, UnresolvedOutcome
from spurarch.storage import records
from spurarch.storage.records import (
    AdmissionRecord,
    AllocationKey,
    AllocationRecord,
    FinalRecord,
    JobRecord,
    TaskEntry,
)

ITEMS_PER_STEP = 200  # heartbeats or jobs processed between two yields to the caller
ATTEMPT_MARGIN = 1000  # upper bound of attempts that no record or heartbeat shows, where records may be missing


_COPY_KINDS = {SourceKind.REPLICA, SourceKind.ARCHIVE}


@dataclass(frozen=True, slots=True)
class _Placement:
    """An attempt of a task on a machine, according to a record or a heartbeat."""

    attempt: int
    zone: str
    machine: str
    incarnation: int


@dataclass(slots=True)
class _TaskEvidence:
    """Evidence on one task: its highest attempt, and its placements by records and by heartbeats.

    `zone` is the zone of the highest recorded attempt, else that of a heartbeat; empty if there is neither.
    """

    attempt: int = 0
    ended: bool = False
    zone: str = ""
    recorded: _Placement | None = None
    reported: _Placement | None = None


def merge(evidence: Evidence, tasks_per_record: int) -> RebuiltRecords:
    """Merges the evidence without yielding and returns the rebuilt records."""
    merger = Merger(evidence, tasks_per_record)
    for _ in merger.steps():
        pass
    return merger.rebuilt


def merge_live_records(sources: Iterable[Source]) -> dict[str, Versioned]:
    """Returns the records that were not deleted at the end of a history, by key, according to copies of it."""
    copies = list(sources)
    newest: dict[str, Versioned] = {}
    for source in copies:
        for key, found in source.live_records.items():
            if key not in newest or found.version > newest[key].version:
                newest[key] = found
    return {
        key: found
        for key, found in newest.items()
        if not any(key not in source.live_records and source.revision >= found.version for source in copies)
    }


class Merger:
    """One merge, in steps between which the caller may do other work, since a large fleet takes seconds."""

    def __init__(self, evidence: Evidence, tasks_per_record: int) -> None:
        self._evidence, self._tasks_per_record = evidence, tasks_per_record
        # What remains in the state service may have been changed after it was rolled back, and the revisions of an
        # ancestor history are not comparable. Both are used for jobs and final records only, unless no other copy
        # exists.
        copies = [source for source in evidence.sources if source.kind in _COPY_KINDS]
        self._copies = copies or evidence.sources
        self._alive = merge_live_records(self._copies)
        self._tasks: dict[str, dict[int, _TaskEvidence]] = defaultdict(lambda: defaultdict(_TaskEvidence))
        self._restored_jobs: set[str] = set()  # kept although the newest copy lacks them and their allocations
        self.rebuilt = self._out = RebuiltRecords()

    def steps(self) -> Iterator[None]:
        """Merges the evidence and yields after each step; `rebuilt` is complete once the iterator is exhausted."""
        out = self._out
        out.ignored_entries = sum(source.unreadable for source in self._evidence.sources)
        out.jobs_may_be_missing = not self._finals_complete()
        self._merge_finals()
        yield
        self._merge_jobs()
        yield
        self._merge_allocations()
        yield
        for number, (_, heartbeat) in enumerate(sorted(self._evidence.heartbeats.items())):
            self._apply_heartbeat(heartbeat)
            if number % ITEMS_PER_STEP == ITEMS_PER_STEP - 1:
                yield
        for number, job in enumerate(sorted(out.jobs)):
            self._write_job(job)
            if number % ITEMS_PER_STEP == ITEMS_PER_STEP - 1:
                yield
        out.unresolved = sorted(set(out.unresolved))

    def _finals_complete(self) -> bool:
        """Whether no final record can be missing.

        That holds if the archive is authoritative, or if all controllers gave copies that have missed no change since
        the archived revision. It never holds if the lost history may itself have lacked jobs.
        """
        if self._evidence.jobs_may_be_missing:
            return False
        if self._archive_is_authoritative:
            return True
        archived = [s.revision for s in self._evidence.sources if s.kind is SourceKind.ARCHIVE]
        replicas = [s.complete_since_revision for s in self._evidence.sources if s.kind is SourceKind.REPLICA]
        return self._evidence.has_all_copies and bool(archived and replicas) and min(replicas) <= max(archived)

    @property
    def _archive_is_authoritative(self) -> bool:
        """Whether there is a copy of the archive, and users were notified only of what the archive held."""
        archived = any(source.kind is SourceKind.ARCHIVE for source in self._evidence.sources)
        return self._evidence.responses_await_archive and archived

    # Jobs

    def _merge_finals(self) -> None:
        found: dict[str, dict[str, FinalRecord]] = defaultdict(dict)
        for source in self._evidence.sources:
            for job, final in source.finals.items():
                found[job][final.state] = final
        for job, states in found.items():
            certain = sorted(state for state in states if state != records.UNRESOLVED)
            if len(certain) == 1:
                self._out.finals[job] = states[certain[0]]
            elif certain:
                self._mark_unresolved(job, UnresolvedKind.CONFLICT, " and ".join(certain), states[certain[0]].tasks)
            else:
                self._mark_unresolved(job, UnresolvedKind.OUTCOME, "in doubt before", states[records.UNRESOLVED].tasks)

    def _merge_jobs(self) -> None:
        cancelled: dict[str, JobRecord] = {}
        job_records: dict[str, JobRecord] = {}
        for source in sorted(self._evidence.sources, key=_oldest_first):
            for key, found in source.live_records.items():
                if isinstance(found.record, JobRecord):
                    job = key[len(records.JOB) :]
                    job_records[job] = found.record
                    if found.record.cancelled:
                        cancelled[job] = found.record
        for job, record in job_records.items():
            if job in self._out.finals:
                continue
            newest = self._alive.get(records.JOB + job)
            if job in cancelled:
                # A cancellation is never revoked, so this job can only have ended as cancelled.
                self._out.jobs[job] = cancelled[job]
            elif newest is not None and isinstance(newest.record, JobRecord):
                self._out.jobs[job] = newest.record
            elif self._archive_is_authoritative:
                self._out.jobs[job] = record  # no user was notified that the job is terminal
                self._restored_jobs.add(job)
            else:
                self._mark_unresolved(
                    job, UnresolvedKind.OUTCOME, "alive in an older copy, gone in a newer one", record.spec.tasks
                )

    def _mark_unresolved(self, job: str, kind: UnresolvedKind, detail: str, tasks: int) -> None:
        self._out.unresolved.append(UnresolvedOutcome(job, kind.value, detail))
        if kind is not UnresolvedKind.UNKNOWN_JOB:
            self._out.finals[job] = FinalRecord(records.UNRESOLVED, tasks)

    # Tasks

    def _merge_allocations(self) -> None:
        for key, found in sorted(self._alive.items()):
            if isinstance(found.record, AllocationRecord):
                allocation = AllocationKey.parse(key)
                if allocation.job in self._out.jobs:
                    for entry in found.record.tasks:
                        self._add_entry(allocation, entry)

        for source in self._copies if self._restored_jobs else ():
            for key, found in sorted(source.live_records.items()):
                if isinstance(found.record, AllocationRecord) and AllocationKey.parse(key).job in self._restored_jobs:
                    for entry in found.record.tasks:
                        self._add_entry(AllocationKey.parse(key), entry)

    def _add_entry(self, allocation: AllocationKey, entry: TaskEntry) -> None:
        task = self._tasks[allocation.job][entry.index]
        task.ended = task.ended or entry.state == records.ENDED
        if entry.attempt >= task.attempt:
            task.attempt, task.zone = entry.attempt, allocation.zone
        if entry.state == records.ASSIGNED:
            place = _Placement(entry.attempt, allocation.zone, entry.machine, entry.incarnation)
            task.recorded = _higher_attempt(task.recorded, place)

    def _apply_heartbeat(self, heartbeat: wire.Heartbeat) -> None:
        for status in heartbeat.tasks:
            key = wire.split_task(status.task)
            if key is None:
                self._out.ignored_entries += 1
                continue
            job, index = key
            record = self._out.jobs.get(job)
            if record is None:
                self._mark_unknown_job(job, heartbeat, status)
            elif index >= record.spec.tasks:
                self._out.ignored_entries += 1
            else:
                self._add_status(record, heartbeat, status, self._tasks[job][index])

    def _add_status(
        self, record: JobRecord, heartbeat: wire.Heartbeat, status: wire.TaskStatus, task: _TaskEvidence
    ) -> None:
        task.attempt = max(task.attempt, status.attempt)
        task.zone = task.zone or heartbeat.zone
        if status.state != wire.EXITED:
            place = _Placement(status.attempt, heartbeat.zone, heartbeat.machine, heartbeat.incarnation)
            task.reported = _higher_attempt(task.reported, place)
        elif status.exit_reason == wire.REASON_DONE and record.spec.kind != wire.SERVICE:
            task.ended = True

    def _mark_unknown_job(self, job: str, heartbeat: wire.Heartbeat, status: wire.TaskStatus) -> None:
        """Adds a running job without any record to the unresolved outcomes, without a final record.

        Running tasks of terminal jobs are stopped later by the partition owner.
        """
        if job not in self._out.finals and status.state != wire.EXITED:
            self._mark_unresolved(job, UnresolvedKind.UNKNOWN_JOB, f"runs on {heartbeat.machine}", 0)

    def _current_placement(self, task: _TaskEvidence) -> _Placement | None:
        """Returns the placement under which the task runs or may run; None if it runs on no machine."""
        place = _higher_attempt(task.recorded, task.reported)
        if place is not None and place is task.recorded and place.machine in self._evidence.heartbeats:
            return task.reported  # the heartbeat of its machine does not list the recorded attempt
        return place

    # Records

    def _write_job(self, job: str) -> None:
        record, tasks = self._out.jobs[job], self._tasks.get(job, {})
        admitted = max(tasks, default=-1) + 1
        by_zone: dict[str, list[TaskEntry]] = defaultdict(list)
        any_zone = next((task.zone for _, task in sorted(tasks.items()) if task.zone), "")
        attempt = max((task.attempt for task in tasks.values()), default=0)
        for index in range(admitted):
            task = tasks.get(index) or _TaskEvidence()
            if record.spec.kind == wire.GANG:
                task.attempt = attempt  # all members of a gang have the same attempt
            place = None if task.ended else self._current_placement(task)
            zone = place.zone if place is not None else task.zone or any_zone
            by_zone[zone].append(self._task_entry(index, task, place))
        chunk = 0
        for zone, entries in sorted(by_zone.items()):
            for at in range(0, len(entries), self._tasks_per_record):
                allocation = AllocationKey(zone, job, chunk)
                self._out.allocations[allocation] = AllocationRecord(entries[at : at + self._tasks_per_record])
                chunk += 1
        if 0 < admitted < record.spec.tasks:  # a completely admitted job needs no admission record
            self._out.admitted[job] = AdmissionRecord(admitted, chunk)

    def _task_entry(self, index: int, task: _TaskEvidence, place: _Placement | None) -> TaskEntry:
        if task.ended:
            return TaskEntry(index, records.ENDED, task.attempt)
        if place is not None:
            return TaskEntry(index, records.ASSIGNED, place.attempt, place.machine, place.incarnation)
        margin = ATTEMPT_MARGIN if self._out.jobs_may_be_missing else 0
        return TaskEntry(index, records.RETURNED, task.attempt + margin)


def _oldest_first(source: Source) -> tuple[bool, int, str, str]:
    """Sort key of copies: those of an ancestor history first, then by revision."""
    return source.kind is not SourceKind.ANCESTOR, source.revision, source.kind.value, source.name


def _higher_attempt(one: _Placement | None, other: _Placement | None) -> _Placement | None:
    """Returns the placement of the higher attempt; of equal attempts, that of the later incarnation.

    If these are equal as well, the lower machine name decides. Returns None if both are None.
    """
    if one is None or other is None:
        return one or other
    if (one.attempt, one.incarnation) != (other.attempt, other.incarnation):
        return max(one, other, key=lambda place: (place.attempt, place.incarnation))
    return min(one, other, key=lambda place: place.machine)
