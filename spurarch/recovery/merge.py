"""Makes one picture out of the evidence. Pure: the same evidence in any order, once or twice, gives the same picture.

The rules, from the strongest:
  1. A final standing beats everything known of its job. Two that differ leave the job in doubt.
  2. Among copies of one history, the change with the highest revision wins, and a copy that is complete at a revision
     proves that what it lacks was gone by then. A job that was alive in one copy, is gone in a newer one and has no final
     standing anywhere is over, nobody knows how: it is in doubt, unless it was cancelled.
  3. A worker's report that follows the token of this rebuilding is the whole truth of that worker: what it shows is
     there, what it lacks is not, and nothing sent to it earlier acts any more. An end beats an attempt, a higher attempt a
     lower one.
  4. A task that the records put on a worker that was not heard stays on it: only the ordinary proofs of its partition's
     owner free it.
  5. Where users are told only what is archived, a job that is over without a final standing in the archive is not over for
     anybody: it goes on, and its tasks that are done end at once.
  6. All other tasks that have not ended go back to the leader, who admits them anew within the limits of their teams.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from msgspec import Struct

from spurarch.protocol import wire
from spurarch.recovery.evidence import Evidence, Source, SourceKind, Versioned
from spurarch.storage import records
from spurarch.storage.records import (
    AdmissionRecord,
    AllocationKey,
    AllocationRecord,
    FinalRecord,
    JobRecord,
    PartitionRecord,
    TaskEntry,
)

STEP = 200  # reports or jobs
ATTEMPTS_UNSEEN = 1000  # attempts that may have been made without a trace, where records may be missing


_COPIES = {SourceKind.REPLICA, SourceKind.ARCHIVE}


class UnresolvedKind(enum.Enum):
    """What can't be known."""

    OUTCOME = "outcome"  # the job is over; whether done or cancelled is not on record
    CONFLICT = "conflict"  # two final standings
    UNKNOWN_JOB = "unknown job"  # a worker runs a task of a job that no record describes


class UnresolvedOutcome(Struct, frozen=True, order=True):
    """Something that an operator has to settle."""

    job: str
    kind: str  # of `DoubtKind`
    detail: str


@dataclass(slots=True)
class RebuiltRecords:
    """The records to begin the next history with."""

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    admitted: dict[str, AdmissionRecord] = field(default_factory=dict)
    allocations: dict[AllocationKey, AllocationRecord] = field(default_factory=dict)
    finals: dict[str, FinalRecord] = field(default_factory=dict)
    unresolved: list[UnresolvedOutcome] = field(default_factory=list)
    set_aside: int = 0  # records and reports that make no sense
    uncertain: bool = False  # jobs may have been accepted or ended of which there is no trace


@dataclass(frozen=True, slots=True)
class _Placement:
    """A task on a machine, as a record or a report has it."""

    attempt: int
    zone: str
    machine: str
    session: int


@dataclass(slots=True)
class _Task:
    """What is known of one task."""

    attempt: int = 0
    ended: bool = False
    zone: str = ""
    recorded: _Placement | None = None
    reported: _Placement | None = None


def merge(evidence: Evidence, tasks_per_record: int) -> RebuiltRecords:
    """The picture that the evidence gives."""
    merger = Merger(evidence, tasks_per_record)
    for _ in merger.steps():
        pass
    return merger.rebuilt


def alive_records(sources: Iterable[Source]) -> dict[str, Versioned]:
    """The records that were alive at the end of a history, by copies of it."""
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


def highest_epoch(sources: Iterable[Source]) -> int:
    """The highest partition epoch on any record."""
    return max(
        (
            found.record.epoch
            for source in sources
            for found in source.alive.values()
            if isinstance(found.record, PartitionRecord)
        ),
        default=0,
    )


def machines_on_record(sources: Iterable[Source]) -> set[str]:
    """Machines that some copy knows, whether by a record of their own or by a task on them."""
    out: set[str] = set()
    for source in sources:
        for key, found in source.alive.items():
            if key.startswith(records.MACHINE):
                out.add(records.parse_machine_key(key)[1])
            elif isinstance(found.record, AllocationRecord):
                out.update(entry.machine for entry in found.record.tasks if entry.state == records.ASSIGNED)
    return out


class Merger:
    """One merge, in steps between which whoever merges may answer others: a large fleet takes seconds."""

    def __init__(self, evidence: Evidence, tasks_per_record: int) -> None:
        self._evidence, self._tasks_per_record = evidence, tasks_per_record
        # What the state service still holds may have been written to since it was rolled back, and an ancestor counts
        # other revisions: these tell of jobs and final standings only, unless there is nothing else.
        copies = [source for source in evidence.sources if source.kind in _COPIES]
        self._copies = copies or evidence.sources
        self._alive = alive_records(self._copies)
        self._tasks: dict[str, dict[int, _Task]] = defaultdict(lambda: defaultdict(_Task))
        self._reopened: set[str] = set()  # jobs whose allocations are gone from the newest copy
        self.rebuilt = self._out = RebuiltRecords()

    def steps(self) -> Iterator[None]:
        """Makes the picture; it is whole at the end."""
        out = self._out
        out.set_aside = sum(source.unreadable for source in self._evidence.sources)
        out.uncertain = not self._finals_complete()
        self._take_finals()
        yield
        self._take_jobs()
        yield
        self._take_allocations()
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
        """Every controller gave its copy, and together with an archive they reach back to the beginning."""
        if self._evidence.uncertain:
            return False
        if self._archive_is_enough:
            return True
        archived = [s.revision for s in self._evidence.sources if s.kind is SourceKind.ARCHIVE]
        replicas = [s.since for s in self._evidence.sources if s.kind is SourceKind.REPLICA]
        return self._evidence.complete and bool(archived and replicas) and min(replicas) <= max(archived)

    @property
    def _archive_is_enough(self) -> bool:
        """Whatever any user was told is in the archive, which is here."""
        archived = any(source.kind is SourceKind.ARCHIVE for source in self._evidence.sources)
        return self._evidence.archived_answers and archived

    # Jobs

    def _take_finals(self) -> None:
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

    def _take_jobs(self) -> None:
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
                self._out.jobs[job] = record  # nobody was told that it is over
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

    def _take_allocations(self) -> None:
        for key, found in sorted(self._alive.items()):
            if isinstance(found.record, AllocationRecord):
                allocation = AllocationKey.parse(key)
                if allocation.job in self._out.jobs:
                    for entry in found.record.tasks:
                        self._take_entry(allocation, entry)

        for source in self._copies if self._reopened else ():
            for key, found in sorted(source.alive.items()):
                if isinstance(found.record, AllocationRecord) and AllocationKey.parse(key).job in self._reopened:
                    for entry in found.record.tasks:
                        self._take_entry(AllocationKey.parse(key), entry)

    def _take_entry(self, allocation: AllocationKey, entry: TaskEntry) -> None:
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
                self._note_unknown(job, heartbeat, seen)
            elif index >= record.spec.tasks:
                self._out.set_aside += 1
            else:
                self._take_seen(record, heartbeat, seen, self._tasks[job][index])

    def _take_seen(self, record: JobRecord, heartbeat: wire.Heartbeat, seen: wire.TaskStatus, task: _Task) -> None:
        task.attempt = max(task.attempt, seen.attempt)
        task.zone = task.zone or heartbeat.zone
        if seen.state != wire.EXITED:
            place = _Placement(seen.attempt, heartbeat.zone, heartbeat.machine, heartbeat.incarnation)
            task.reported = _higher(task.reported, place)
        elif seen.exit_reason == wire.REASON_DONE and record.spec.kind != wire.SERVICE:
            task.ended = True

    def _note_unknown(self, job: str, heartbeat: wire.Heartbeat, seen: wire.TaskStatus) -> None:
        """A task of a job that is over leaves by the ordinary way; one of a job that nobody knows is told as well."""
        if job not in self._out.finals and seen.state != wire.EXITED:
            self._mark_unresolved(job, UnresolvedKind.UNKNOWN_JOB, f"runs on {heartbeat.machine}", 0)

    def _placed(self, task: _Task) -> _Placement | None:
        """Where the task is, or may be."""
        place = _higher(task.recorded, task.reported)
        if place is not None and place is task.recorded and place.machine in self._evidence.heartbeats:
            return task.reported  # its machine was heard, and lacks it
        return place

    # Records

    def _write_job(self, job: str) -> None:
        record, tasks = self._out.jobs[job], self._tasks.get(job, {})
        admitted = max(tasks, default=-1) + 1
        by_zone: dict[str, list[TaskEntry]] = defaultdict(list)
        spare = next((task.zone for _, task in sorted(tasks.items()) if task.zone), "")
        attempt = max((task.attempt for task in tasks.values()), default=0)
        for index in range(admitted):
            task = tasks.get(index) or _Task()
            if record.spec.kind == wire.GANG:
                task.attempt = attempt  # one for all members
            place = None if task.ended else self._placed(task)
            zone = place.zone if place is not None else task.zone or spare
            by_zone[zone].append(self._entry(index, task, place))
        chunk = 0
        for zone, entries in sorted(by_zone.items()):
            for at in range(0, len(entries), self._tasks_per_record):
                allocation = AllocationKey(zone, job, chunk)
                self._out.allocations[allocation] = AllocationRecord(entries[at : at + self._tasks_per_record])
                chunk += 1
        if 0 < admitted < record.spec.tasks:  # one that is admitted as a whole needs no count
            self._out.admitted[job] = AdmissionRecord(admitted, chunk)

    def _entry(self, index: int, task: _Task, place: _Placement | None) -> TaskEntry:
        if task.ended:
            return TaskEntry(index, records.ENDED, task.attempt)
        if place is not None:
            return TaskEntry(index, records.ASSIGNED, place.attempt, place.machine, place.session)
        unseen = ATTEMPTS_UNSEEN if self._out.uncertain else 0
        return TaskEntry(index, records.RETURNED, task.attempt + unseen)


def _age(source: Source) -> tuple[bool, int, str, str]:
    """Older copies first."""
    return source.kind is not SourceKind.ANCESTOR, source.revision, source.kind.value, source.name


def _higher(one: _Placement | None, other: _Placement | None) -> _Placement | None:
    """The placement of the higher attempt; of equal ones that on the later session, then by name."""
    if one is None or other is None:
        return one or other
    if (one.attempt, one.session) != (other.attempt, other.session):
        return max(one, other, key=lambda place: (place.attempt, place.session))
    return min(one, other, key=lambda place: place.machine)
