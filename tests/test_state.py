"""The local copy of the state service's records, whatever the order in which news arrive."""

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
from tests.test_scale import Answering, submission

WHERE = AllocationKey("a", "job-1", 0)
KEY = str(WHERE)


def record(attempt: int) -> AllocationRecord:
    return AllocationRecord([TaskEntry(0, attempt=attempt)])


def test_own_commit_known_before_the_watch_brings_it() -> None:
    state = ClusterState()
    state.apply_commit([Write(KEY, record(1))], 5)
    assert state.version(KEY) == 5
    state.put(KEY, 5, record(1))
    state.advance(5)
    assert state.allocations["job-1"][WHERE].tasks[0].attempt == 1


def test_answer_after_the_watch_does_not_revive_a_deleted_key() -> None:
    """Our write at 5 and another controller's deletion at 6 arrive by watch before the answer to our write."""
    state = ClusterState()
    state.put(KEY, 5, record(1))
    state.delete(KEY, 6)
    state.advance(6)
    state.apply_commit([Write(KEY, record(1))], 5)
    assert state.version(KEY) == 0
    assert "job-1" not in state.allocations


def test_old_changes_do_not_revive_what_we_deleted() -> None:
    state = ClusterState()
    state.put(KEY, 3, record(1))
    state.apply_commit([Write(KEY, None)], 9)
    state.put(KEY, 7, record(2))  # older than the deletion, brought by a slower watch
    assert state.version(KEY) == 0
    state.put(KEY, 11, record(3))
    assert state.version(KEY) == 11


def test_a_long_answer_is_taken_in_pieces_and_no_transaction_in_part() -> None:
    """After a cut of 90 s a controller found that it had stood still: it took all that had happened in one piece."""
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

    async def play() -> None:
        replica = Replica(Store(Answering(), StateLimits(1000.0, 20.0, 8.0, 24), 1))

        async def look() -> None:
            while len(seen) < 50:
                seen.append(len(replica.state.jobs))
                await curio.sleep(0)

        other = await curio.spawn(look)
        await replica._apply_changes(wire.Changes(1000, events))
        assert len(replica.state.jobs) == 3000
        await other.join()

    clock.run(play)
    assert len(set(seen)) > 5
    assert all(n % 3 == 0 for n in seen)
