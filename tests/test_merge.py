"""Merging evidence of a lost history must not depend on the order of the evidence, nor state more than it proves."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from spurarch.protocol import wire
from spurarch.protocol.recovery_messages import StoredRecord
from spurarch.recovery.evidence import Evidence, Source, SourceKind, highest_epoch
from spurarch.recovery.merge import merge
from spurarch.recovery.rebuilt_records import RebuiltRecords, UnresolvedKind
from spurarch.storage import records
from spurarch.storage.records import (
    ASSIGNED,
    ENDED,
    RETURNED,
    UNASSIGNED,
    UNRESOLVED,
    AllocationRecord,
    FinalRecord,
    JobRecord,
    TaskEntry,
)

CHUNK = 4


def spec(job: str, tasks: int = 3, kind: str = wire.BATCH) -> wire.Submission:
    return wire.Submission(
        job, "c", "t", kind, "high", tasks, 1.0, 0.0, 1.0, "i", 0.1, False, False, False, 5.0, 0.0, 0.0
    )


def job_key(job: str) -> str:
    return records.JOB + job


def source(kind: SourceKind, name: str, revision: int, content: dict[str, tuple[int, Any]], since: int = 0) -> Source:
    out = Source(kind, name, since, revision)
    for key, (version, record) in content.items():
        out.add(StoredRecord(key, version, wire.encode(record)))
    return out


def report(machine: str, *tasks: tuple[str, int, str, str | None], session: int = 1, seq: int = 9) -> wire.Heartbeat:
    seen = [wire.TaskStatus(task, attempt, state, why) for task, attempt, state, why in tasks]
    return wire.Heartbeat(machine, "10.1.0.1:1", "small", "a", session, seq, 1 << 50, seen)


def entries(rebuilt: RebuiltRecords, job: str) -> dict[int, TaskEntry]:
    return {
        e.index: e for allocation, record in rebuilt.allocations.items() if allocation.job == job for e in record.tasks
    }


def evidence(*sources: Source, heartbeats: Iterable[wire.Heartbeat] = (), complete: bool = True) -> Evidence:
    out = Evidence(list(sources), {}, complete)
    for one in heartbeats:
        out.add_heartbeat(one)
    return out


LIVE_RECORDS = {
    job_key("job-1"): (5, JobRecord(spec("job-1"), 1.0)),
    "live/allot/a/job-1/0": (
        8,
        AllocationRecord(
            [TaskEntry(0, ASSIGNED, 1, "vm-1", 1), TaskEntry(1, ENDED, 1, "vm-1", 1), TaskEntry(2, UNASSIGNED, 2)]
        ),
    ),
}


def test_a_task_in_its_workers_heartbeat_stays_assigned() -> None:
    rebuilt = merge(
        evidence(
            source(SourceKind.REPLICA, "n0", 9, LIVE_RECORDS),
            heartbeats=[report("vm-1", ("job-1/0", 1, "running", None))],
        ),
        CHUNK,
    )
    assert entries(rebuilt, "job-1")[0] == TaskEntry(0, ASSIGNED, 1, "vm-1", 1)


def test_a_task_missing_from_its_workers_heartbeat_is_returned_to_the_leader() -> None:
    rebuilt = merge(evidence(source(SourceKind.REPLICA, "n0", 9, LIVE_RECORDS), heartbeats=[report("vm-1")]), CHUNK)
    assert entries(rebuilt, "job-1")[0].state == RETURNED


def test_a_task_on_a_worker_without_a_heartbeat_stays_assigned() -> None:
    rebuilt = merge(evidence(source(SourceKind.REPLICA, "n0", 9, LIVE_RECORDS)), CHUNK)
    assert entries(rebuilt, "job-1")[0] == TaskEntry(0, ASSIGNED, 1, "vm-1", 1)


def test_unassigned_tasks_are_returned_to_the_leader_for_admission() -> None:
    rebuilt = merge(evidence(source(SourceKind.REPLICA, "n0", 9, LIVE_RECORDS)), CHUNK)
    assert entries(rebuilt, "job-1")[2].state == RETURNED


def test_a_task_that_only_a_heartbeat_shows_as_done_ends() -> None:
    seen = report("vm-1", ("job-1/0", 1, wire.EXITED, wire.REASON_DONE))
    rebuilt = merge(evidence(source(SourceKind.ARCHIVE, "archive", 9, LIVE_RECORDS), heartbeats=[seen]), CHUNK)
    assert entries(rebuilt, "job-1")[0].state == ENDED


def test_an_attempt_that_only_a_heartbeat_shows_is_assigned() -> None:
    seen = report("vm-7", ("job-1/2", 3, "running", None), session=4)
    rebuilt = merge(evidence(source(SourceKind.ARCHIVE, "archive", 9, LIVE_RECORDS), heartbeats=[seen]), CHUNK)
    assert entries(rebuilt, "job-1")[2] == TaskEntry(2, ASSIGNED, 3, "vm-7", 4)


def test_a_service_task_that_exited_is_returned_to_the_leader() -> None:
    live = {job_key("job-1"): (5, JobRecord(spec("job-1", 1, wire.SERVICE), 1.0))}
    seen = report("vm-1", ("job-1/0", 1, wire.EXITED, wire.REASON_DONE))
    rebuilt = merge(evidence(source(SourceKind.REPLICA, "n0", 9, live), heartbeats=[seen]), CHUNK)
    assert entries(rebuilt, "job-1")[0].state == RETURNED


def test_the_newest_copy_overrides_an_older_one_and_proves_deletions() -> None:
    older = source(SourceKind.ARCHIVE, "archive", 6, {job_key("job-1"): LIVE_RECORDS[job_key("job-1")]})
    newer = source(SourceKind.REPLICA, "n0", 20, {"final/job-1": (0, FinalRecord(wire.DONE, 3))}, since=4)
    rebuilt = merge(evidence(older, newer), CHUNK)
    assert rebuilt.finals == {"job-1": FinalRecord(wire.DONE, 3)}
    assert rebuilt.jobs == {}
    assert not rebuilt.jobs_may_be_missing


def test_a_job_deleted_without_a_final_record_has_an_unresolved_outcome() -> None:
    older = source(SourceKind.ARCHIVE, "archive", 6, LIVE_RECORDS)
    newer = source(SourceKind.REPLICA, "n0", 20, {}, since=15)
    rebuilt = merge(evidence(older, newer), CHUNK)
    assert rebuilt.finals["job-1"].state == UNRESOLVED
    assert [d.kind for d in rebuilt.unresolved] == [UnresolvedKind.OUTCOME.value]
    assert rebuilt.jobs_may_be_missing


def test_a_deleted_job_that_was_cancelled_has_no_unresolved_outcome() -> None:
    live = {job_key("job-1"): (5, JobRecord(spec("job-1"), 1.0, True, 2.0))}
    rebuilt = merge(
        evidence(source(SourceKind.ARCHIVE, "archive", 6, live), source(SourceKind.REPLICA, "n0", 20, {}, since=15)),
        CHUNK,
    )
    assert rebuilt.jobs["job-1"].cancelled
    assert rebuilt.unresolved == []


def test_a_cancellation_in_any_copy_applies() -> None:
    cancelled = {job_key("job-1"): (5, JobRecord(spec("job-1"), 1.0, True, 2.0))}
    replica = source(SourceKind.REPLICA, "n0", 9, LIVE_RECORDS)
    remains = source(SourceKind.STATE_SERVICE, "state service", 12, cancelled)
    assert merge(evidence(replica, remains), CHUNK).jobs["job-1"].cancelled


def test_conflicting_final_states_leave_the_outcome_unresolved() -> None:
    one = source(SourceKind.REPLICA, "n0", 9, {"final/job-1": (0, FinalRecord(wire.DONE, 1))})
    other = source(SourceKind.STATE_SERVICE, "state service", 9, {"final/job-1": (0, FinalRecord(wire.CANCELLED, 1))})
    rebuilt = merge(evidence(one, other), CHUNK)
    assert rebuilt.finals["job-1"].state == UNRESOLVED
    assert rebuilt.unresolved[0].kind == UnresolvedKind.CONFLICT.value


def test_a_running_task_of_an_unknown_job_is_listed_as_unresolved() -> None:
    rebuilt = merge(
        evidence(
            source(SourceKind.ARCHIVE, "archive", 9, LIVE_RECORDS),
            heartbeats=[report("vm-2", ("job-9/0", 1, "running", None))],
        ),
        CHUNK,
    )
    assert [(d.job, d.kind) for d in rebuilt.unresolved] == [("job-9", UnresolvedKind.UNKNOWN_JOB.value)]
    assert "job-9" not in rebuilt.jobs


def test_all_members_of_a_gang_get_the_same_attempt() -> None:
    live = {
        job_key("job-1"): (5, JobRecord(spec("job-1", 2, wire.GANG), 1.0)),
        "live/allot/a/job-1/0": (8, AllocationRecord([TaskEntry(0, UNASSIGNED, 2), TaskEntry(1, UNASSIGNED, 4)])),
    }
    rebuilt = merge(evidence(source(SourceKind.REPLICA, "n0", 9, live)), CHUNK)
    assert len({e.attempt for e in entries(rebuilt, "job-1").values()}) == 1


def test_attempts_rise_above_unrecorded_ones_if_a_copy_is_missing() -> None:
    copies = source(SourceKind.REPLICA, "n0", 9, LIVE_RECORDS), source(SourceKind.ARCHIVE, "archive", 9, LIVE_RECORDS)
    certain, uncertain = merge(evidence(*copies), CHUNK), merge(evidence(*copies, complete=False), CHUNK)
    assert (certain.jobs_may_be_missing, uncertain.jobs_may_be_missing) == (False, True)
    assert entries(certain, "job-1")[2].attempt == 2
    assert entries(uncertain, "job-1")[2].attempt > 100


def test_invalid_evidence_is_counted_and_ignored() -> None:
    copy = source(SourceKind.ARCHIVE, "archive", 9, LIVE_RECORDS)
    copy.add(StoredRecord("live/job/job-2", 3, b'{"no":"job"}'))
    copy.add(StoredRecord("live/allot/a/job-2/0", 3, b"\xff"))
    copy.add(StoredRecord("something/else", 3, b"1"))
    rebuilt = merge(
        evidence(copy, heartbeats=[report("vm-1", ("nonsense", 1, "running", None), ("job-1/77", 1, "running", None))]),
        CHUNK,
    )
    assert rebuilt.ignored_entries == 4
    assert set(rebuilt.jobs) == {"job-1"}


def test_the_highest_epoch_of_all_copies_is_returned() -> None:
    copies = [
        source(SourceKind.REPLICA, f"n{e}", 9, {"live/part/a": (3, records.PartitionRecord("n0", e))})
        for e in (4, 9, 2)
    ]
    assert highest_epoch(copies) == 9


# Random histories, with copies taken at different revisions and merged in any order

JOBS = ["job-1", "job-2"]
MACHINES = ["vm-1", "vm-2"]


class Timeline:
    """A random history of valid record changes; a copy is its state at a revision."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.revision = 0
        self.keys: dict[str, tuple[int, Any]] = {}
        self.states: list[dict[str, tuple[int, Any]]] = [{}]

    def _commit(self, **changes: Any) -> None:
        self.revision += 1
        for key, record in changes.items():
            if record is None:
                self.keys.pop(key, None)
            else:
                self.keys[key] = self.revision, record
        self.states.append(dict(self.keys))

    def step(self) -> None:
        """Makes one random change."""
        job = self.random.choice(JOBS)
        key, where = job_key(job), f"live/allot/a/{job}/0"
        if records.FINAL + job in self.keys:
            return
        if key not in self.keys:
            self._commit(**{key: JobRecord(spec(job), 1.0)})
        elif where not in self.keys:
            self._commit(**{where: AllocationRecord([TaskEntry(i, UNASSIGNED) for i in range(3)])})
        elif self.random.random() < 0.08:
            self._commit(**{key: JobRecord(spec(job), 1.0, True, 2.0)})
        else:
            self._move_task(job, key, where)

    def _move_task(self, job: str, key: str, where: str) -> None:
        tasks: list[TaskEntry] = list(self.keys[where][1].tasks)
        at = self.random.randrange(3)
        task = tasks[at]
        if task.state == UNASSIGNED:
            tasks[at] = TaskEntry(at, ASSIGNED, task.attempt + 1, self.random.choice(MACHINES), 1)
        elif task.state == ASSIGNED:
            tasks[at] = TaskEntry(at, self.random.choice([ENDED, UNASSIGNED]), task.attempt)
        if all(t.state == ENDED for t in tasks):
            state = wire.CANCELLED if self.keys[key][1].cancelled else wire.DONE
            self._commit(**{key: None, where: None, records.FINAL + job: FinalRecord(state, 3)})
        else:
            self._commit(**{where: AllocationRecord(tasks)})

    def copy(self, kind: SourceKind, name: str, revision: int) -> Source:
        """Returns a copy of the records at a revision."""
        return source(kind, name, revision, self.states[revision])

    def worker_reports(self) -> list[wire.Heartbeat]:
        """Returns a heartbeat of each worker that lists exactly the tasks assigned to it by the newest records."""
        shown: dict[str, list[tuple[str, int, str, str | None]]] = {name: [] for name in MACHINES}
        for key, (_, record) in self.keys.items():
            if isinstance(record, AllocationRecord):
                job = records.AllocationKey.parse(key).job
                for t in record.tasks:
                    if t.state == ASSIGNED:
                        shown[t.machine].append((f"{job}/{t.index}", t.attempt, "running", None))
        return [report(name, *tasks) for name, tasks in shown.items()]


def plain(rebuilt: RebuiltRecords) -> bytes:
    """Encodes rebuilt records independently of their order, for comparison."""
    allocations = {str(allocation): record for allocation, record in sorted(rebuilt.allocations.items())}
    jobs, finals = dict(sorted(rebuilt.jobs.items())), dict(sorted(rebuilt.finals.items()))
    return msgspec.json.encode(
        [jobs, allocations, finals, rebuilt.unresolved, rebuilt.jobs_may_be_missing, rebuilt.ignored_entries]
    )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), steps=st.integers(5, 60), data=st.data())
def test_order_and_repetition_of_evidence_change_nothing(seed: int, steps: int, data: st.DataObject) -> None:
    timeline = Timeline(seed)
    for _ in range(steps):
        timeline.step()
    cuts = data.draw(st.lists(st.integers(0, timeline.revision), min_size=1, max_size=4))
    sources = [timeline.copy(SourceKind.REPLICA, f"n{i}", cut) for i, cut in enumerate(cuts)]
    sources.append(timeline.copy(SourceKind.ARCHIVE, "archive", data.draw(st.integers(0, timeline.revision))))
    heartbeats = timeline.worker_reports()
    expected = plain(merge(evidence(*sources, heartbeats=heartbeats), CHUNK))
    shuffled = data.draw(st.permutations([*sources, *sources[:1]]))
    again = data.draw(st.permutations([*heartbeats, *heartbeats]))
    assert plain(merge(evidence(*shuffled, heartbeats=again), CHUNK)) == expected


@settings(max_examples=150, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), steps=st.integers(5, 80), archived=st.floats(0, 1))
def test_what_the_newest_copy_and_the_workers_know_is_kept(seed: int, steps: int, archived: float) -> None:
    timeline = Timeline(seed)
    for _ in range(steps):
        timeline.step()
    archive = timeline.copy(SourceKind.ARCHIVE, "archive", int(archived * timeline.revision))
    newest = timeline.copy(SourceKind.REPLICA, "n0", timeline.revision)
    rebuilt = merge(evidence(archive, newest, heartbeats=timeline.worker_reports()), CHUNK)
    assert rebuilt.unresolved == []
    for key, (_, record) in timeline.keys.items():
        if isinstance(record, FinalRecord):
            assert rebuilt.finals[key[len(records.FINAL) :]] == record
        elif isinstance(record, JobRecord):
            assert rebuilt.jobs[record.spec.id] == record
        elif isinstance(record, AllocationRecord):
            found = entries(rebuilt, records.AllocationKey.parse(key).job)
            for entry in record.tasks:
                expected = RETURNED if entry.state == UNASSIGNED else entry.state
                assert (found[entry.index].state, found[entry.index].machine) == (
                    expected,
                    entry.machine if expected == ASSIGNED else "",
                )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), steps=st.integers(5, 80), archived=st.floats(0, 1))
def test_an_old_archive_alone_loses_no_end_and_frees_nothing_that_runs(seed: int, steps: int, archived: float) -> None:
    """Jobs may have ended after the snapshot, so tasks in heartbeats stay assigned and the result is uncertain."""
    timeline = Timeline(seed)
    for _ in range(steps):
        timeline.step()
    archive = timeline.copy(SourceKind.ARCHIVE, "archive", int(archived * timeline.revision))
    heartbeats = timeline.worker_reports()
    rebuilt = merge(evidence(archive, heartbeats=heartbeats, complete=False), CHUNK)
    assert rebuilt.jobs_may_be_missing
    running = {t.task: r.machine for r in heartbeats for t in r.tasks}
    for job in rebuilt.jobs:
        for entry in entries(rebuilt, job).values():
            machine = running.get(f"{job}/{entry.index}")
            if machine is not None and entry.state != ENDED:
                assert (entry.state, entry.machine) == (ASSIGNED, machine)


@pytest.mark.parametrize("state", [UNASSIGNED, RETURNED])
def test_merging_rebuilt_records_again_keeps_all_task_states(state: int) -> None:
    """A rebuilt history may be lost too: merging its own records must give the same task states."""
    live = {
        job_key("job-1"): (5, JobRecord(spec("job-1"), 1.0)),
        "live/allot/a/job-1/0": (
            8,
            AllocationRecord([TaskEntry(0, state, 3), TaskEntry(1, ENDED, 1), TaskEntry(2, state, 2)]),
        ),
    }
    once = merge(evidence(source(SourceKind.REPLICA, "n0", 9, live)), CHUNK)
    content: dict[str, tuple[int, Any]] = {
        str(allocation): (9, record) for allocation, record in once.allocations.items()
    }
    content |= {job_key(job): (9, record) for job, record in once.jobs.items()}
    twice = merge(evidence(source(SourceKind.REPLICA, "n0", 9, content)), CHUNK)
    assert {i: e.state for i, e in entries(twice, "job-1").items()} == {
        i: e.state for i, e in entries(once, "job-1").items()
    }


class Rebuilding(RuleBasedStateMachine):
    """Changes, copies, heartbeats and merges in any order: a certain final state never changes in a later merge."""

    def __init__(self) -> None:
        super().__init__()
        self.timeline = Timeline(7)
        self.evidence = Evidence([], {}, True)
        self.finals: dict[str, FinalRecord] = {}
        self.ended: set[tuple[str, int]] = set()

    @rule(steps=st.integers(1, 12))
    def change(self, steps: int) -> None:
        """Makes changes to the history."""
        for _ in range(steps):
            self.timeline.step()

    @rule(seed=st.integers(0, 1000))
    def shuffle(self, seed: int) -> None:
        """Reseeds the random choices of later changes."""
        self.timeline.random.seed(seed)

    @rule(kind=st.sampled_from([SourceKind.REPLICA, SourceKind.ARCHIVE]), back=st.integers(0, 20))
    def copy(self, kind: SourceKind, back: int) -> None:
        """Adds a copy, up to 20 revisions old, to the evidence."""
        revision = max(0, self.timeline.revision - back)
        self.evidence.sources.append(self.timeline.copy(kind, f"{kind.value}{len(self.evidence.sources)}", revision))

    @rule()
    def hear(self) -> None:
        """Adds a heartbeat of each worker to the evidence, as collected after the history was sealed."""
        for one in self.timeline.worker_reports():
            self.evidence.add_heartbeat(one)

    @rule()
    def merge(self) -> None:
        """Merges the evidence collected so far."""
        rebuilt = merge(self.evidence, CHUNK)
        assert plain(merge(self.evidence, CHUNK)) == plain(rebuilt)
        for job, final in rebuilt.finals.items():
            if final.state != UNRESOLVED:
                assert self.finals.setdefault(job, final) == final
        for job, final in self.finals.items():
            assert rebuilt.finals[job] == final
        for job in rebuilt.jobs:
            assert job not in rebuilt.finals
            states = entries(rebuilt, job)
            assert sorted(states) == list(range(len(states)))
            assert all(entry.machine for entry in states.values() if entry.state == ASSIGNED)

    @invariant()
    def true_finals_only(self) -> None:
        """Every certain final state is the one in the history."""
        for job, final in self.finals.items():
            assert self.timeline.keys[records.FINAL + job][1] == final


TestRebuilding = Rebuilding.TestCase
TestRebuilding.settings = settings(max_examples=60, stateful_step_count=25, deadline=None, derandomize=True)
