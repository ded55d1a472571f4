"""The local copy of the state service's records, whatever the order in which news arrive."""

from __future__ import annotations

from spurarch.bookkeeping.records import AllotKey, AllotRecord, TaskEntry
from spurarch.bookkeeping.replica import State, Write

WHERE = AllotKey("a", "job-1", 0)
KEY = str(WHERE)


def record(attempt: int) -> AllotRecord:
    return AllotRecord([TaskEntry(0, attempt=attempt)])


def test_own_commit_known_before_the_watch_brings_it() -> None:
    state = State()
    state.committed([Write(KEY, record(1))], 5)
    assert state.version(KEY) == 5
    state.put(KEY, 5, record(1))
    state.advance(5)
    assert state.allots["job-1"][WHERE].tasks[0].attempt == 1


def test_answer_after_the_watch_does_not_revive_a_deleted_key() -> None:
    """Our write at 5 and another controller's deletion at 6 arrive by watch before the answer to our write."""
    state = State()
    state.put(KEY, 5, record(1))
    state.drop(KEY, 6)
    state.advance(6)
    state.committed([Write(KEY, record(1))], 5)
    assert state.version(KEY) == 0
    assert "job-1" not in state.allots


def test_old_news_do_not_revive_what_we_deleted() -> None:
    state = State()
    state.put(KEY, 3, record(1))
    state.committed([Write(KEY, None)], 9)
    state.put(KEY, 7, record(2))  # older than the deletion, brought by a slower watch
    assert state.version(KEY) == 0
    state.put(KEY, 11, record(3))
    assert state.version(KEY) == 11
