"""Whatever the limits of the state service are, each round writes something or says why nothing can be written."""

from __future__ import annotations

import logging
from collections import Counter
from types import SimpleNamespace
from typing import Any

import curio
import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from spurarch.coordination.admission.job_finalizer import JobFinalizer
from spurarch.coordination.admission.planner import AdmissionPlanner
from spurarch.coordination.admission.writer import AdmissionWriter
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.unwritable_allocations import UnwritableAllocations
from spurarch.protocol import wire
from spurarch.settings import StateLimits, Team
from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import (
    AdmissionRecord,
    AllocationKey,
    AllocationRecord,
    FinalRecord,
    JobRecord,
    MachineRecord,
    TaskEntry,
)
from spurarch.storage.replica import Replica
from spurarch.storage.seeds import SEED_VERSION, PackedSeed, SeedPack, SeedRecord, Seeds, pack
from spurarch.storage.transaction import (
    TransactionStatus,
    Write,
    guard_size,
    max_updatable_tasks,
    max_update_size,
    transaction_limits,
)
from tests.sim.limited_store import LimitedStore
from tests.test_scale import submission

JOB = "job-1"
MACHINES, MACHINE_CPUS = 40, 1_000.0  # together they have room for all tasks of a test


class Admissions:
    """A leader that admits the tasks of one job under given limits; partition "a" has returned tasks of it."""

    def __init__(self, limits: StateLimits, sources: list[AllocationRecord], new_tasks: int) -> None:
        self.store = LimitedStore(limits)
        client: Any = self.store
        self.replica = Replica(client)
        self.view = FleetView(self.replica.state, [Team("t")])
        self.view.set_machine_types([wire.MachineType("big", MACHINE_CPUS, 0.0, MACHINE_CPUS, 1.0, 0.5, 30.0, ["b"])])
        self.limits = limits
        membership: Any = SimpleNamespace(confirmed_term=0)
        self.writer = AdmissionWriter(self.replica, membership, self.view, limits, self._notify)
        self.admitted = sum(len(source.tasks) for source in sources)
        self.tasks = self.admitted + new_tasks
        self._put(records.JOB + JOB, JobRecord(submission(JOB, self.tasks), 0.0))
        for number in range(1, MACHINES + 1):
            self._put(records.machine_key("b", f"vm-{number}"), MachineRecord("big", False, "10.1.0.1:9000"))
        if sources:
            self._put(records.ADMISSION + JOB, AdmissionRecord(self.admitted, len(sources)))
        for chunk, source in enumerate(sources):
            self._put(str(AllocationKey("a", JOB, chunk)), source)

    async def _notify(self) -> None:
        """No other controller waits for changes."""

    def _put(self, key: str, record: records.Record) -> None:
        self.store.revision += 1
        self.replica.state.put(key, self.store.revision, record)
        self.replica.state.advance(self.store.revision)

    @property
    def waiting(self) -> int:
        """Number of tasks that wait for admission."""
        self.view.update()
        return self.view.jobs[JOB].to_admit

    @property
    def allocations(self) -> int:
        """Number of allocation records of the job; a split adds some."""
        return len(self.replica.state.allocations[JOB])

    def run_round(self) -> list[AllocationKey]:
        """Plans and writes one round; returns the records that it could not plan to update."""
        self.view.update()
        planner = AdmissionPlanner(self.view, 1.0, max_updatable_tasks=max_updatable_tasks(self.limits))
        plan = planner.run(None, lambda: False, self.limits.txn_ops)
        versions = {grant.job: self.writer.record_versions(grant.job) for grant in plan.grants}
        curio.run(self.writer.admit, plan.grants, versions, Urgency.STARTS)
        self.replica.state.advance(self.store.revision)
        return plan.unwritable

    def entries(self) -> list[TaskEntry]:
        """Returns the entries of all allocations of the job."""
        return [entry for record in self.replica.state.allocations[JOB].values() for entry in record.tasks]


def sources_of(shapes: list[tuple[int, int]]) -> list[AllocationRecord]:
    """Allocations of a job, each with the given numbers of returned and of assigned tasks."""
    out, index = [], 0
    for returned, assigned in shapes:
        tasks = [TaskEntry(index + n, records.RETURNED, 1) for n in range(returned)]
        tasks += [TaskEntry(index + returned + n, records.ASSIGNED, 1, "vm-000001", 1) for n in range(assigned)]
        out.append(AllocationRecord(tasks))
        index += len(tasks)
    return out


limits_of_a_service = st.builds(
    StateLimits, st.just(100.0), st.just(100.0), st.sampled_from([0.25, 0.5, 1.0, 2.0, 8.0, 64.0]), st.integers(4, 200)
)


@settings(max_examples=100, deadline=None)
@given(
    limits_of_a_service,
    st.lists(st.tuples(st.integers(0, 40), st.integers(0, 60)), max_size=40).map(
        lambda shapes: [shape for shape in shapes if sum(shape)]
    ),
    st.sampled_from([0, 1, 30, 200]),
)
@example(StateLimits(100.0, 100.0, 16.0, 24), [(1, 0)] * 28, 0)  # review: an array admitted task by task
@example(StateLimits(100.0, 100.0, 2.0, 8), [(1, 0)] * 6, 0)
@example(StateLimits(100.0, 100.0, 64.0, 24), [(1, 99)] * 21, 0)  # the remaining tasks exceed the bytes of a request
@example(StateLimits(100.0, 100.0, 64.0, 200), [], 16000)  # the new tasks do
@example(StateLimits(100.0, 100.0, 2.0, 81), [], 3000)  # the new tasks are close to the bytes of a request
@example(StateLimits(100.0, 100.0, 1.0, 4), [(1, 40), (1, 0)], 0)  # a record has to be split before tasks leave it
@example(StateLimits(100.0, 100.0, 0.25, 4), [(1, 99), (1, 0)], 5)  # a record that can't be updated at all
@example(StateLimits(100.0, 100.0, 0.1, 250), [(1, 203), (1, 0)], 5)  # nor can this one, for its bytes
def test_each_round_admits_tasks_until_none_is_left_that_the_limits_allow(
    limits: StateLimits, shapes: list[tuple[int, int]], new_tasks: int
) -> None:
    """An array of tasks from many records was planned, and left out of its transaction, again and again."""
    admissions = Admissions(limits, sources_of(shapes), new_tasks)
    if not admissions.tasks:
        return
    stuck = sum(returned for returned, assigned in shapes if returned + assigned > max_updatable_tasks(limits))
    while admissions.waiting > stuck:
        waiting, allocations = admissions.waiting, admissions.allocations
        unwritable = admissions.run_round()
        assert admissions.store.refused == []
        assert admissions.waiting < waiting or admissions.allocations > allocations, f"{waiting} tasks still wait"
        assert bool(unwritable) == bool(stuck)
    entries = admissions.entries()
    assert Counter(entry.index for entry in entries) == Counter(range(admissions.tasks))
    assert sum(entry.state == records.RETURNED for entry in entries) == stuck
    before = len(admissions.store.committed)
    admissions.run_round()
    assert len(admissions.store.committed) == before


@given(limits_of_a_service, st.integers(1, 100_000))
def test_a_record_is_updatable_if_every_update_of_it_fits_in_a_transaction(limits: StateLimits, tasks: int) -> None:
    """Larger records than this were planned to be updated, although their update exceeded the bytes of a request."""
    tasks = min(tasks, max_updatable_tasks(limits))
    record = AllocationRecord([TaskEntry(index, records.ASSIGNED, 1, "vm-000001", 1) for index in range(tasks)])
    size = max_update_size(record, records.tasks_per_record(limits.value_bytes))
    assert size.plus(guard_size(2)).fits_in(transaction_limits(limits))
    assert max_updatable_tasks(limits) >= 4


def test_as_many_whole_jobs_are_admitted_together_as_a_transaction_has_changes() -> None:
    """A job that is admitted as a whole takes one change, since its admission record is not written."""
    admissions = Admissions(StateLimits(100.0, 100.0, 16.0, 24), [], 1)
    for number in range(2, 25):
        admissions._put(f"{records.JOB}job-{number}", JobRecord(submission(f"job-{number}", 1), 0.0))
    admissions.run_round()
    assert [len(txn.then) for txn in admissions.store.committed] == [24]


def test_tasks_move_out_of_small_records_while_a_larger_one_does_not_fit() -> None:
    limits = StateLimits(100.0, 100.0, 1.0, 8)  # 12 tasks in a record
    admissions = Admissions(limits, sources_of([(1, 90), (1, 0), (1, 0)]), 0)
    max_tasks = max_updatable_tasks(limits)
    assert max_tasks >= 91
    admissions.run_round()
    assert admissions.waiting == 1
    while admissions.waiting:
        admissions.run_round()
    assert admissions.store.refused == []


@pytest.mark.parametrize("changes", [4, 24, 200, 2000])
def test_the_final_state_of_a_job_with_many_allocations_fits_in_a_transaction(changes: int) -> None:
    """With many changes allowed, the guards of the allocations exceeded the bytes of a request."""
    limits = StateLimits(100.0, 100.0, 16.0, changes)
    ended = [AllocationRecord([TaskEntry(index, records.ENDED, 1)]) for index in range(3000)]
    admissions = Admissions(limits, ended, 0)
    admissions.view.update()
    finalizer = JobFinalizer(admissions.replica, admissions.view, limits)
    finalizer.begin_term()
    curio.run(finalizer.finalize_jobs)
    assert admissions.store.refused == []
    assert admissions.replica.state.finals == {JOB: FinalRecord(wire.DONE, 3000)}


def test_a_record_that_can_not_be_updated_is_reported_once_for_each_version(caplog: pytest.LogCaptureFixture) -> None:
    limits = StateLimits(100.0, 100.0, 0.25, 4)
    admissions = Admissions(limits, sources_of([(1, 99)]), 0)
    reports = UnwritableAllocations(admissions.replica.state, limits)
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            reports.report(admissions.run_round())
    assert [record.getMessage() for record in caplog.records] == [
        "allocation record too large to be updated job=job-1 partition=a record=live/allot/a/job-1/0 tasks=100"
        " changes_needed=34 changes_allowed=4"
    ]
    admissions._put(
        str(AllocationKey("a", JOB, 0)), AllocationRecord([TaskEntry(n, records.RETURNED) for n in range(99)])
    )
    with caplog.at_level(logging.WARNING):
        reports.report(admissions.run_round())
    assert len(caplog.records) == 2


def test_an_admission_does_not_overwrite_a_record_that_a_split_has_numbered() -> None:
    admissions = Admissions(StateLimits(100.0, 100.0, 16.0, 24), sources_of([(0, 1)]), 0)
    admissions._put(records.JOB + JOB, JobRecord(submission(JOB, 4), 0.0))
    admissions._put(records.ADMISSION + JOB, AdmissionRecord(3, records.FIRST_SPLIT_CHUNK + 1))
    taken = AllocationKey("b", JOB, records.FIRST_SPLIT_CHUNK + 1)
    admissions._put(str(taken), AllocationRecord([TaskEntry(1), TaskEntry(2)]))
    admissions.run_round()
    assert msgspec.json.encode(admissions.replica.state.allocations[JOB][taken]) == b'[[[1,0,0,"",0],[2,0,0,"",0]]]'
    assert sorted(entry.index for entry in admissions.entries()) == [0, 1, 2, 3]


def seeded_replica(limits: StateLimits, count: int) -> tuple[Replica, LimitedStore]:
    """A copy of the records of a rebuilt history: one shared value that holds jobs 0 to `count - 1`."""
    store = LimitedStore(limits)
    client: Any = store
    replica = Replica(client)
    jobs = {f"{records.JOB}job-{n}": JobRecord(submission(f"job-{n}", 1), 0.0) for n in range(count)}
    shared = [SeedRecord(key, msgspec.Raw(msgspec.json.encode(job))) for key, job in jobs.items()]
    replica.state.seeds = Seeds()
    replica.state.seeds.put(PackedSeed("seed/0", 7, SeedPack(shared)))
    for key, job in jobs.items():
        replica.state.put(key, SEED_VERSION, job)
    store.revision = 7
    return replica, store


@pytest.mark.parametrize("changes", [4, 8, 24])
def test_a_shared_value_is_unpacked_within_limits_that_were_lowered_since_the_rebuild(changes: int) -> None:
    """It was written by one transaction, which the state service refused whenever one of its records was to change."""
    replica, store = seeded_replica(StateLimits(100.0, 100.0, 16.0, changes), 23)
    follower, _ = seeded_replica(StateLimits(100.0, 100.0, 16.0, changes), 23)
    key = f"{records.JOB}job-22"
    result = curio.run(replica.commit, [Write(key, None)])
    assert result.status is TransactionStatus.COMMITTED
    assert store.refused == []
    written = [change.key for txn in store.committed for change in txn.then if change.key.startswith(records.JOB)]
    assert Counter(written) == Counter([*(f"{records.JOB}job-{n}" for n in range(23)), key])
    assert replica.state.version(key) == 0

    for revision, txn in enumerate(store.committed, start=8):
        for change in txn.then:
            if isinstance(change, wire.Put):
                value = msgspec.Raw(msgspec.json.encode(change.value))
                follower._apply_event(wire.Event(revision, change.key, value=value))
            else:
                follower._apply_event(wire.Event(revision, delete=change.key))
    assert follower.state.seeds is not None
    assert follower.state.seeds.holding([f"{records.JOB}job-{n}" for n in range(23)]) == []


def test_a_shared_value_that_can_not_be_unpacked_is_not_sent_and_is_reported_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    replica, store = seeded_replica(StateLimits(100.0, 100.0, 0.5, 4), 23)
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            result = curio.run(replica.commit, [Write(f"{records.JOB}job-1", None)])
            assert result.status is TransactionStatus.INVALID
    assert store.committed == []
    assert store.refused == []
    assert [record.getMessage().split(" record=")[0] for record in caplog.records] == [
        "shared value too large to be unpacked"
    ]


@given(st.integers(4, 400), st.sampled_from([2.0, 8.0, 16.0, 64.0]), st.lists(st.integers(1, 6000), max_size=80))
def test_every_shared_value_of_a_rebuild_can_be_unpacked_under_the_same_limits(
    changes: int, value_kb: float, sizes: list[int]
) -> None:
    limits = StateLimits(100.0, 100.0, value_kb, changes)
    shared = [
        SeedRecord(f"{records.JOB}job-{n}", msgspec.Raw(b'"' + b"x" * min(size, limits.value_bytes // 2) + b'"'))
        for n, size in enumerate(sizes)
    ]
    for packed in pack(shared, limits.transaction_changes, limits.value_bytes):
        store = LimitedStore(limits)
        txn = wire.Txn(
            [wire.Guard("h2.9f2c/seed/0", 1), *(wire.Guard(f"h2.9f2c/{record.key}", 0) for record in packed.records)],
            [
                *(wire.Put(f"h2.9f2c/{record.key}", record.value) for record in packed.records),
                wire.Delete("h2.9f2c/seed/0"),
            ],
        )
        assert curio.run(store.txn, txn).status is TransactionStatus.COMMITTED, store.refused
