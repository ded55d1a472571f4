"""Merges the evidence of a lost history into the records of the next one.

This is a pure function: the same evidence in any order, once or twice, gives the same records. Its rules, from the
strongest to the weakest:

  1. A final record overrides everything else about its job. Two that differ leave the outcome unresolved.
  2. Among copies of one history, the change with the highest revision wins, and a copy that is complete at a revision
     proves that a record which it lacks was deleted by then. A job that is in use in one copy, deleted in a newer one
     and has no final record anywhere is terminal with an unresolved outcome, unless it was cancelled.
  3. A worker's heartbeat that shows the rebuild's fencing token is complete for that worker: the attempts that it lists
     exist, others do not, and no command sent earlier has an effect. An end overrides an attempt, a higher attempt a
     lower one.
  4. A task that the records assign to a worker without such a heartbeat stays assigned to it: only the ordinary proofs
     of its partition's owner free it.
  5. Where users are told only what is archived, a terminal job without a final record in the archive is not terminal
     for any user: it goes on, and those of its tasks that are done end at once.
  6. All other tasks that have not ended go back to the leader, who admits them again within the quotas of their teams.
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

STEP = 200  # heartbeats or jobs between two pauses
ATTEMPTS_UNSEEN = 1000  # attempts that may have been started without a trace, where records may be missing


_COPIES = {SourceKind.REPLICA, SourceKind.ARCHIVE}


@dataclass(frozen=True, slots=True)
class _Placement:
    """An attempt of a task on a machine, by a record or a heartbeat."""

    attempt: int
    zone: str
    machine: str
    incarnation: int


@dataclass(slots=True)
class _Task:
    """What is known of one task: its highest attempt, and where records and heartbeats place it."""

    attempt: int = 0
    ended: bool = False
    zone: str = ""
    recorded: _Placement | None = None
    reported: _Placement | None = None


def merge(evidence: Evidence, tasks_per_record: int) -> RebuiltRecords:
    """Merges the evidence at once."""
    merger = Merger(evidence, tasks_per_record)
    for _ in merger.steps():
        pass
    return merger.rebuilt


def alive_records(sources: Iterable[Source]) -> dict[str, Versioned]:
    """The records in use at the end of a history, by copies of it."""
    copies = list(sources)
    newest: dict[str, Versioned] = {}
    for source in copies:
        for key, found in source.alive.items():
            if key not in newest or found.version > newest[key].version:
                newest[key] = found
    return {
        key: found
        for key, found in newest.items()
        if not any(key not in source.alive and source.revision >= found.version for source in copies)
    }


class Merger:
    """One merge, in steps between which the caller may do other work: a large fleet takes seconds."""

    def __init__(self, evidence: Evidence, tasks_per_record: int) -> None:
        self._evidence, self._tasks_per_record = evidence, tasks_per_record
        # The remains in the state service may have been written to since they were rolled back, and an ancestor counts
        # other revisions. Both are used for jobs and final records only, unless there is no other copy.
        copies = [source for source in evidence.sources if source.kind in _COPIES]
        self._copies = copies or evidence.sources
        self._alive = alive_records(self._copies)
        self._tasks: dict[str, dict[int, _Task]] = defaultdict(lambda: defaultdict(_Task))
        self._reopened: set[str] = set()  # jobs whose allocations are gone from the newest copy
        self.rebuilt = self._out = RebuiltRecords()

    def steps(self) -> Iterator[None]:
        """Does the merge, with a pause at each item; `rebuilt` is complete at the end."""
        out = self._out
        out.set_aside = sum(source.unreadable for source in self._evidence.sources)
        out.uncertain = not self._finals_complete()
        self._merge_finals()
        yield
        self._merge_jobs()
        yield
        self._merge_allocations()
        yield
        for number, (_, heartbeat) in enumerate(sorted(self._evidence.heartbeats.items())):
            self._apply_heartbeat(heartbeat)
            if number % STEP == STEP - 1:
                yield
        for number, job in enumerate(sorted(out.jobs)):
            self._write_job(job)
            if number % STEP == STEP - 1:
                yield
        out.unresolved = sorted(set(out.unresolved))

    def _finals_complete(self) -> bool:
        """Whether all final records are known: all controllers gave copies, which leave no gap after the archive."""
        if self._evidence.uncertain:
            return False
        if self._archive_is_enough:
            return True
        archived = [s.revision for s in self._evidence.sources if s.kind is SourceKind.ARCHIVE]
        replicas = [s.since for s in self._evidence.sources if s.kind is SourceKind.REPLICA]
        return self._evidence.complete and bool(archived and replicas) and min(replicas) <= max(archived)

    @property
    def _archive_is_enough(self) -> bool:
        """Whether the archive is here and holds whatever any user was told."""
        archived = any(source.kind is SourceKind.ARCHIVE for source in self._evidence.sources)
        return self._evidence.archived_answers and archived

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
        known: dict[str, JobRecord] = {}
        for source in sorted(self._evidence.sources, key=_age):
            for key, found in source.alive.items():
                if isinstance(found.record, JobRecord):
                    job = key[len(records.JOB) :]
                    known[job] = found.record
                    if found.record.cancelled:
                        cancelled[job] = found.record
        for job, record in known.items():
            if job in self._out.finals:
                continue
            newest = self._alive.get(records.JOB + job)
            if job in cancelled:
                # A cancellation is never taken back, so this job can only have ended as cancelled.
                self._out.jobs[job] = cancelled[job]
            elif newest is not None and isinstance(newest.record, JobRecord):
                self._out.jobs[job] = newest.record
            elif self._archive_is_enough:
                self._out.jobs[job] = record  # no user was told that it is terminal
                self._reopened.add(job)
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

        for source in self._copies if self._reopened else ():
            for key, found in sorted(source.alive.items()):
                if isinstance(found.record, AllocationRecord) and AllocationKey.parse(key).job in self._reopened:
                    for entry in found.record.tasks:
                        self._add_entry(AllocationKey.parse(key), entry)

    def _add_entry(self, allocation: AllocationKey, entry: TaskEntry) -> None:
        task = self._tasks[allocation.job][entry.index]
        task.ended = task.ended or entry.state == records.ENDED
        if entry.attempt >= task.attempt:
            task.attempt, task.zone = entry.attempt, allocation.zone
        if entry.state == records.ASSIGNED:
            place = _Placement(entry.attempt, allocation.zone, entry.machine, entry.incarnation)
            task.recorded = _higher(task.recorded, place)

    def _apply_heartbeat(self, heartbeat: wire.Heartbeat) -> None:
        for seen in heartbeat.tasks:
            key = wire.split_task(seen.task)
            if key is None:
                self._out.set_aside += 1
                continue
            job, index = key
            record = self._out.jobs.get(job)
            if record is None:
                self._mark_unknown_job(job, heartbeat, seen)
            elif index >= record.spec.tasks:
                self._out.set_aside += 1
            else:
                self._add_status(record, heartbeat, seen, self._tasks[job][index])

    def _add_status(self, record: JobRecord, heartbeat: wire.Heartbeat, seen: wire.TaskStatus, task: _Task) -> None:
        task.attempt = max(task.attempt, seen.attempt)
        task.zone = task.zone or heartbeat.zone
        if seen.state != wire.EXITED:
            place = _Placement(seen.attempt, heartbeat.zone, heartbeat.machine, heartbeat.incarnation)
            task.reported = _higher(task.reported, place)
        elif seen.exit_reason == wire.REASON_DONE and record.spec.kind != wire.SERVICE:
            task.ended = True

    def _mark_unknown_job(self, job: str, heartbeat: wire.Heartbeat, seen: wire.TaskStatus) -> None:
        """Marks a job without any record. A task of a terminal job is stopped later by its partition's owner."""
        if job not in self._out.finals and seen.state != wire.EXITED:
            self._mark_unresolved(job, UnresolvedKind.UNKNOWN_JOB, f"runs on {heartbeat.machine}", 0)

    def _placed(self, task: _Task) -> _Placement | None:
        """Where the task runs, or may run; None if it runs nowhere."""
        place = _higher(task.recorded, task.reported)
        if place is not None and place is task.recorded and place.machine in self._evidence.heartbeats:
            return task.reported  # its machine has sent a heartbeat without it
        return place

    # Records

    def _write_job(self, job: str) -> None:
        record, tasks = self._out.jobs[job], self._tasks.get(job, {})
        admitted = max(tasks, default=-1) + 1
        by_zone: dict[str, list[TaskEntry]] = defaultdict(list)
        any_zone = next((task.zone for _, task in sorted(tasks.items()) if task.zone), "")
        attempt = max((task.attempt for task in tasks.values()), default=0)
        for index in range(admitted):
            task = tasks.get(index) or _Task()
            if record.spec.kind == wire.GANG:
                task.attempt = attempt  # all members of a gang have the same
            place = None if task.ended else self._placed(task)
            zone = place.zone if place is not None else task.zone or any_zone
            by_zone[zone].append(self._entry(index, task, place))
        chunk = 0
        for zone, entries in sorted(by_zone.items()):
            for at in range(0, len(entries), self._tasks_per_record):
                allocation = AllocationKey(zone, job, chunk)
                self._out.allocations[allocation] = AllocationRecord(entries[at : at + self._tasks_per_record])
                chunk += 1
        if 0 < admitted < record.spec.tasks:  # a job that is admitted as a whole needs no record
            self._out.admitted[job] = AdmissionRecord(admitted, chunk)

    def _entry(self, index: int, task: _Task, place: _Placement | None) -> TaskEntry:
        if task.ended:
            return TaskEntry(index, records.ENDED, task.attempt)
        if place is not None:
            return TaskEntry(index, records.ASSIGNED, place.attempt, place.machine, place.incarnation)
        unseen = ATTEMPTS_UNSEEN if self._out.uncertain else 0
        return TaskEntry(index, records.RETURNED, task.attempt + unseen)


def _age(source: Source) -> tuple[bool, int, str, str]:
    """Sort key: older copies first."""
    return source.kind is not SourceKind.ANCESTOR, source.revision, source.kind.value, source.name


def _higher(one: _Placement | None, other: _Placement | None) -> _Placement | None:
    """The placement of the higher attempt; of equal ones, that on the later incarnation, then by the machine's name."""
    if one is None or other is None:
        return one or other
    if (one.attempt, one.incarnation) != (other.attempt, other.incarnation):
        return max(one, other, key=lambda place: (place.attempt, place.incarnation))
    return min(one, other, key=lambda place: place.machine)
