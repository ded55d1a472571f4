"""The copy of the records: responses to this controller's commits, and watch events, may arrive in any order."""

from __future__ import annotations

import curio
import msgspec

from spurarch.protocol import wire
from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.records import AllocationKey, AllocationRecord, JobRecord, TaskEntry
from spurarch.storage.replica import Replica
from spurarch.storage.store import Store
from spurarch.storage.transaction import Write
from tests.sim.clock import Clock
from tests.test_scale import ImmediateStateService, submission

ALLOCATION = AllocationKey("a", "job-1", 0)
KEY = str(ALLOCATION)


def record(attempt: int) -> AllocationRecord:
    return AllocationRecord([TaskEntry(0, attempt=attempt)])


def test_an_own_commit_is_applied_before_its_watch_event_arrives() -> None:
    state = ClusterState()
    state.apply_commit([Write(KEY, record(1))], 5)
    assert state.version(KEY) == 5
    state.put(KEY, 5, record(1))
    state.advance(5)
    assert state.allocations["job-1"][ALLOCATION].tasks[0].attempt == 1


def test_a_commit_response_after_the_watch_events_does_not_restore_a_deleted_key() -> None:
    """This controller's write at 5 and another's deletion at 6 arrive by watch before the response to the write."""
    state = ClusterState()
    state.put(KEY, 5, record(1))
    state.delete(KEY, 6)
    state.advance(6)
    state.apply_commit([Write(KEY, record(1))], 5)
    assert state.version(KEY) == 0
    assert "job-1" not in state.allocations


def test_older_watch_events_do_not_restore_a_key_that_this_controller_deleted() -> None:
    state = ClusterState()
    state.put(KEY, 3, record(1))
    state.apply_commit([Write(KEY, None)], 9)
    state.put(KEY, 7, record(2))  # older than the deletion, from a delayed watch
    assert state.version(KEY) == 0
    state.put(KEY, 11, record(3))
    assert state.version(KEY) == 11


def test_a_long_watch_response_is_applied_in_steps_that_never_split_a_transaction() -> None:
    """After 90 s without the state service, a controller applied all missed changes in one step and stalled."""
    events = [
        wire.Event(
            put=f"{records.JOB}job-{n}",
            value=msgspec.Raw(msgspec.json.encode(JobRecord(submission(f"job-{n}", 1), 0.0))),
            version=1 + n // 3,
        )
        for n in range(3000)
    ]
    seen: list[int] = []
    clock = Clock()

    async def apply_and_observe() -> None:
        replica = Replica(Store(ImmediateStateService(), StateLimits(1000.0, 20.0, 8.0, 24), 1))

        async def observe() -> None:
            while len(seen) < 50:
                seen.append(len(replica.state.jobs))
                await curio.sleep(0)

        observer = await curio.spawn(observe)
        await replica._apply_changes(wire.Changes(1000, events))
        assert len(replica.state.jobs) == 3000
        await observer.join()

    clock.run(apply_and_observe)
    assert len(set(seen)) > 5
    assert all(n % 3 == 0 for n in seen)
