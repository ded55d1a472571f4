"""The picture that evidence gives: the same in any order, and never more than the evidence says."""

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
    FREE,
    RETURNED,
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


LIVE = {
    job_key("job-1"): (5, JobRecord(spec("job-1"), 1.0)),
    "live/allot/a/job-1/0": (
        8,
        AllocationRecord(
            [TaskEntry(0, ASSIGNED, 1, "vm-1", 1), TaskEntry(1, ENDED, 1, "vm-1", 1), TaskEntry(2, FREE, 2)]
        ),
    ),
}


def test_a_task_that_its_worker_shows_stays_there() -> None:
    rebuilt = merge(
        evidence(
            source(SourceKind.REPLICA, "n0", 9, LIVE), heartbeats=[report("vm-1", ("job-1/0", 1, "running", None))]
        ),
        CHUNK,
    )
    assert entries(rebuilt, "job-1")[0] == TaskEntry(0, ASSIGNED, 1, "vm-1", 1)


def test_a_task_that_its_worker_lacks_goes_back_to_the_leader() -> None:
    rebuilt = merge(evidence(source(SourceKind.REPLICA, "n0", 9, LIVE), heartbeats=[report("vm-1")]), CHUNK)
    assert entries(rebuilt, "job-1")[0].state == RETURNED


def test_a_task_on_a_worker_that_was_not_heard_stays_on_it() -> None:
    rebuilt = merge(evidence(source(SourceKind.REPLICA, "n0", 9, LIVE)), CHUNK)
    assert entries(rebuilt, "job-1")[0] == TaskEntry(0, ASSIGNED, 1, "vm-1", 1)


def test_free_tasks_go_back_to_the_leader_who_keeps_the_limits_of_teams() -> None:
    rebuilt = merge(evidence(source(SourceKind.REPLICA, "n0", 9, LIVE)), CHUNK)
    assert entries(rebuilt, "job-1")[2].state == RETURNED


def test_an_end_that_only_a_worker_knows_counts() -> None:
    seen = report("vm-1", ("job-1/0", 1, wire.EXITED, wire.REASON_DONE))
    rebuilt = merge(evidence(source(SourceKind.ARCHIVE, "archive", 9, LIVE), heartbeats=[seen]), CHUNK)
    assert entries(rebuilt, "job-1")[0].state == ENDED


def test_an_attempt_that_only_a_worker_knows_counts() -> None:
    seen = report("vm-7", ("job-1/2", 3, "running", None), session=4)
    rebuilt = merge(evidence(source(SourceKind.ARCHIVE, "archive", 9, LIVE), heartbeats=[seen]), CHUNK)
    assert entries(rebuilt, "job-1")[2] == TaskEntry(2, ASSIGNED, 3, "vm-7", 4)


def test_a_service_does_not_end_by_itself() -> None:
    live = {job_key("job-1"): (5, JobRecord(spec("job-1", 1, wire.SERVICE), 1.0))}
    seen = report("vm-1", ("job-1/0", 1, wire.EXITED, wire.REASON_DONE))
    rebuilt = merge(evidence(source(SourceKind.REPLICA, "n0", 9, live), heartbeats=[seen]), CHUNK)
    assert entries(rebuilt, "job-1")[0].state == RETURNED


def test_the_newest_copy_decides_and_proves_what_is_gone() -> None:
    older = source(SourceKind.ARCHIVE, "archive", 6, {job_key("job-1"): LIVE[job_key("job-1")]})
    newer = source(SourceKind.REPLICA, "n0", 20, {"final/job-1": (0, FinalRecord(wire.DONE, 3))}, since=4)
    rebuilt = merge(evidence(older, newer), CHUNK)
    assert rebuilt.finals == {"job-1": FinalRecord(wire.DONE, 3)}
    assert rebuilt.jobs == {}
    assert not rebuilt.uncertain


def test_a_job_that_is_over_nobody_knows_how_is_in_doubt() -> None:
    older = source(SourceKind.ARCHIVE, "archive", 6, LIVE)
    newer = source(SourceKind.REPLICA, "n0", 20, {}, since=15)
    rebuilt = merge(evidence(older, newer), CHUNK)
    assert rebuilt.finals["job-1"].state == UNRESOLVED
    assert [d.kind for d in rebuilt.unresolved] == [UnresolvedKind.OUTCOME.value]
    assert rebuilt.uncertain


def test_a_cancelled_job_can_only_have_ended_as_cancelled() -> None:
    live = {job_key("job-1"): (5, JobRecord(spec("job-1"), 1.0, True, 2.0))}
    rebuilt = merge(
        evidence(source(SourceKind.ARCHIVE, "archive", 6, live), source(SourceKind.REPLICA, "n0", 20, {}, since=15)),
        CHUNK,
    )
    assert rebuilt.jobs["job-1"].cancelled
    assert rebuilt.unresolved == []


def test_a_cancellation_in_any_copy_counts() -> None:
    cancelled = {job_key("job-1"): (5, JobRecord(spec("job-1"), 1.0, True, 2.0))}
    lost = source(SourceKind.REPLICA, "n0", 9, LIVE)
    remains = source(SourceKind.REMAINS, "state service", 12, cancelled)
    assert merge(evidence(lost, remains), CHUNK).jobs["job-1"].cancelled


def test_two_final_standings_are_in_doubt() -> None:
    one = source(SourceKind.REPLICA, "n0", 9, {"final/job-1": (0, FinalRecord(wire.DONE, 1))})
    other = source(SourceKind.REMAINS, "state service", 9, {"final/job-1": (0, FinalRecord(wire.CANCELLED, 1))})
    rebuilt = merge(evidence(one, other), CHUNK)
    assert rebuilt.finals["job-1"].state == UNRESOLVED
    assert rebuilt.unresolved[0].kind == UnresolvedKind.CONFLICT.value


def test_a_task_of_a_job_that_nobody_knows_is_told() -> None:
    rebuilt = merge(
        evidence(
            source(SourceKind.ARCHIVE, "archive", 9, LIVE), heartbeats=[report("vm-2", ("job-9/0", 1, "running", None))]
        ),
        CHUNK,
    )
    assert [(d.job, d.kind) for d in rebuilt.unresolved] == [("job-9", UnresolvedKind.UNKNOWN_JOB.value)]
    assert "job-9" not in rebuilt.jobs


def test_members_of_a_gang_have_one_attempt_number() -> None:
    live = {
        job_key("job-1"): (5, JobRecord(spec("job-1", 2, wire.GANG), 1.0)),
        "live/allot/a/job-1/0": (8, AllocationRecord([TaskEntry(0, FREE, 2), TaskEntry(1, FREE, 4)])),
    }
    rebuilt = merge(evidence(source(SourceKind.REPLICA, "n0", 9, live)), CHUNK)
    assert len({e.attempt for e in entries(rebuilt, "job-1").values()}) == 1


def test_attempts_rise_above_those_without_a_trace() -> None:
    copies = source(SourceKind.REPLICA, "n0", 9, LIVE), source(SourceKind.ARCHIVE, "archive", 9, LIVE)
    certain, uncertain = merge(evidence(*copies), CHUNK), merge(evidence(*copies, complete=False), CHUNK)
    assert (certain.uncertain, uncertain.uncertain) == (False, True)
    assert entries(certain, "job-1")[2].attempt == 2
    assert entries(uncertain, "job-1")[2].attempt > 100


def test_nonsense_is_set_aside_and_counted() -> None:
    copy = source(SourceKind.ARCHIVE, "archive", 9, LIVE)
    copy.add(StoredRecord("live/job/job-2", 3, b'{"no":"job"}'))
    copy.add(StoredRecord("live/allot/a/job-2/0", 3, b"\xff"))
    copy.add(StoredRecord("something/else", 3, b"1"))
    rebuilt = merge(
        evidence(copy, heartbeats=[report("vm-1", ("nonsense", 1, "running", None), ("job-1/77", 1, "running", None))]),
        CHUNK,
    )
    assert rebuilt.set_aside == 4
    assert set(rebuilt.jobs) == {"job-1"}


def test_the_highest_epoch_is_found_in_any_copy() -> None:
    copies = [
        source(SourceKind.REPLICA, f"n{e}", 9, {"live/part/a": (3, records.PartitionRecord("n0", e))})
        for e in (4, 9, 2)
    ]
    assert highest_epoch(copies) == 9


# A history as it may have gone, seen by copies at different moments, in any order.

JOBS = ["job-1", "job-2"]
MACHINES = ["vm-1", "vm-2"]


class Timeline:
    """A small history that obeys the rules of records: the copies are its states at some revisions."""

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
        """One more change."""
        job = self.random.choice(JOBS)
        key, where = job_key(job), f"live/allot/a/{job}/0"
        if records.FINAL + job in self.keys:
            return
        if key not in self.keys:
            self._commit(**{key: JobRecord(spec(job), 1.0)})
        elif where not in self.keys:
            self._commit(**{where: AllocationRecord([TaskEntry(i, FREE) for i in range(3)])})
        elif self.random.random() < 0.08:
            self._commit(**{key: JobRecord(spec(job), 1.0, True, 2.0)})
        else:
            self._move_task(job, key, where)

    def _move_task(self, job: str, key: str, where: str) -> None:
        tasks: list[TaskEntry] = list(self.keys[where][1].tasks)
        at = self.random.randrange(3)
        task = tasks[at]
        if task.state == FREE:
            tasks[at] = TaskEntry(at, ASSIGNED, task.attempt + 1, self.random.choice(MACHINES), 1)
        elif task.state == ASSIGNED:
            tasks[at] = TaskEntry(at, self.random.choice([ENDED, FREE]), task.attempt)
        if all(t.state == ENDED for t in tasks):
            state = wire.CANCELLED if self.keys[key][1].cancelled else wire.DONE
            self._commit(**{key: None, where: None, records.FINAL + job: FinalRecord(state, 3)})
        else:
            self._commit(**{where: AllocationRecord(tasks)})

    def copy(self, kind: SourceKind, name: str, revision: int) -> Source:
        """The records as they were at a revision."""
        return source(kind, name, revision, self.states[revision])

    def worker_reports(self) -> list[wire.Heartbeat]:
        """Workers show exactly what the newest records put on them."""
        shown: dict[str, list[tuple[str, int, str, str | None]]] = {name: [] for name in MACHINES}
        for key, (_, record) in self.keys.items():
            if isinstance(record, AllocationRecord):
                job = records.AllocationKey.parse(key).job
                for t in record.tasks:
                    if t.state == ASSIGNED:
                        shown[t.machine].append((f"{job}/{t.index}", t.attempt, "running", None))
        return [report(name, *tasks) for name, tasks in shown.items()]


def plain(rebuilt: RebuiltRecords) -> bytes:
    """A picture in a form that can be compared."""
    allocations = {str(allocation): record for allocation, record in sorted(rebuilt.allocations.items())}
    jobs, finals = dict(sorted(rebuilt.jobs.items())), dict(sorted(rebuilt.finals.items()))
    return msgspec.json.encode([jobs, allocations, finals, rebuilt.unresolved, rebuilt.uncertain, rebuilt.set_aside])


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
                expected = RETURNED if entry.state == FREE else entry.state
                assert (found[entry.index].state, found[entry.index].machine) == (
                    expected,
                    entry.machine if expected == ASSIGNED else "",
                )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000), steps=st.integers(5, 80), archived=st.floats(0, 1))
def test_an_old_archive_alone_loses_no_end_and_frees_nothing_that_runs(seed: int, steps: int, archived: float) -> None:
    """The snapshot is older than jobs that finished after it: what workers know decides, nothing is guessed."""
    timeline = Timeline(seed)
    for _ in range(steps):
        timeline.step()
    archive = timeline.copy(SourceKind.ARCHIVE, "archive", int(archived * timeline.revision))
    heartbeats = timeline.worker_reports()
    rebuilt = merge(evidence(archive, heartbeats=heartbeats, complete=False), CHUNK)
    assert rebuilt.uncertain
    running = {t.task: r.machine for r in heartbeats for t in r.tasks}
    for job in rebuilt.jobs:
        for entry in entries(rebuilt, job).values():
            machine = running.get(f"{job}/{entry.index}")
            if machine is not None and entry.state != ENDED:
                assert (entry.state, entry.machine) == (ASSIGNED, machine)


@pytest.mark.parametrize("state", [FREE, RETURNED])
def test_a_picture_is_evidence_for_the_next_loss(state: int) -> None:
    """A rebuilt history may be lost as well: merging its own records changes nothing that matters."""
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
    """Changes, copies, reports and merges in any order: a picture never takes back what an earlier one was sure of."""

    def __init__(self) -> None:
        super().__init__()
        self.timeline = Timeline(7)
        self.evidence = Evidence([], {}, True)
        self.finals: dict[str, FinalRecord] = {}
        self.ended: set[tuple[str, int]] = set()

    @rule(steps=st.integers(1, 12))
    def change(self, steps: int) -> None:
        """The history goes on."""
        for _ in range(steps):
            self.timeline.step()

    @rule(seed=st.integers(0, 1000))
    def shuffle(self, seed: int) -> None:
        """Other random choices from here on."""
        self.timeline.random.seed(seed)

    @rule(kind=st.sampled_from([SourceKind.REPLICA, SourceKind.ARCHIVE]), back=st.integers(0, 20))
    def copy(self, kind: SourceKind, back: int) -> None:
        """A copy comes to hand, perhaps an old one."""
        revision = max(0, self.timeline.revision - back)
        self.evidence.sources.append(self.timeline.copy(kind, f"{kind.value}{len(self.evidence.sources)}", revision))

    @rule()
    def hear(self) -> None:
        """Workers report, and then nothing changes any more: reports count only in a sealed history."""
        for one in self.timeline.worker_reports():
            self.evidence.add_heartbeat(one)

    @rule()
    def merge(self) -> None:
        """The picture of the moment."""
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
        """No final standing is made up."""
        for job, final in self.finals.items():
            assert self.timeline.keys[records.FINAL + job][1] == final


TestRebuilding = Rebuilding.TestCase
TestRebuilding.settings = settings(max_examples=60, stateful_step_count=25, deadline=None, derandomize=True)
