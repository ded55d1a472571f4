"""`HistoryGuard` must detect that the state service lost data, and report no loss for outages or delayed responses."""

from __future__ import annotations

import msgspec
import pytest

from spurarch.protocol import wire
from spurarch.storage.errors import HistoryClosedError
from spurarch.storage.history import (
    ARCHIVED,
    CURRENT,
    ArchivedRecord,
    HistoryGuard,
    HistoryPhase,
    HistoryRecord,
    packed_key,
)
from spurarch.storage.transaction import TransactionResult, TransactionStatus


def open_guard(number: int = 1, revision: int = 50) -> HistoryGuard:
    guard = HistoryGuard()
    assert guard.open(HistoryRecord("aa", number), 3, revision, 10.0)
    return guard


def encode_raw(value: object) -> msgspec.Raw:
    return msgspec.Raw(wire.encode(value))


def test_a_guard_without_a_history_is_not_open() -> None:
    with pytest.raises(HistoryClosedError):
        HistoryGuard().check_open()


def test_a_response_with_a_revision_below_one_seen_before_its_request_is_a_loss() -> None:
    guard = open_guard()
    before = guard.check_open()
    with pytest.raises(HistoryClosedError):
        guard.check_revision(before, 49, 11.0)
    assert guard.phase is HistoryPhase.LOST


def test_a_delayed_response_with_a_lower_revision_is_no_loss() -> None:
    guard = open_guard()
    before = guard.check_open()
    guard.check_revision(before, 60, 11.0)  # response to a later request, received first
    guard.check_revision(before, 55, 11.1)
    assert guard.is_open
    assert guard.highest_revision == 60


def test_an_open_marker_at_another_revision_closes_the_history() -> None:
    guard = open_guard()
    guard.check_marker(3, 11.0)
    with pytest.raises(HistoryClosedError):
        guard.check_marker(4, 12.0)


def test_the_marker_needs_verification_after_two_seconds_without_a_read() -> None:
    guard = open_guard()
    assert not guard.needs_verification(11.9)
    assert guard.needs_verification(12.1)


def test_a_lost_history_cannot_be_reopened() -> None:
    guard = open_guard()
    assert guard.mark_lost("once")
    assert not guard.mark_lost("twice")
    assert not guard.open(HistoryRecord("bb", 2), 9, 90, 12.0)
    assert guard.reason == "once"


def test_a_guarded_transaction_compares_the_marker_and_prefixes_its_keys() -> None:
    txn = wire.Txn([wire.Guard("live/leader", 7)], [wire.Put("live/job/job-1", 1), wire.Delete("live/admitted/job-1")])
    first, later = open_guard(1).guarded_transaction(txn), open_guard(2).guarded_transaction(txn)
    assert [g.key for g in first.guards] == ["live/leader", "history/open/aa"]
    assert [c.key for c in first.then] == ["live/job/job-1", "live/admitted/job-1"]
    assert [g.key for g in later.guards] == ["h2.aa/live/leader", "history/open/aa"]
    assert [c.key for c in later.then] == ["h2.aa/live/job/job-1", "h2.aa/live/admitted/job-1"]


def test_a_transaction_conflict_on_the_marker_is_a_loss() -> None:
    guard = open_guard()
    result = guard.check_result(50, TransactionResult(TransactionStatus.CONFLICT, 51, ["history/open/aa"]), 11.0)
    assert result.status is TransactionStatus.CONFLICT
    assert guard.phase is HistoryPhase.LOST


def test_a_commit_is_not_confirmed_after_a_sign_of_loss() -> None:
    """The response to a committed transaction may arrive after the data loss was detected."""
    guard = open_guard()
    before = guard.check_open()
    guard.mark_lost("seen elsewhere")
    assert (
        guard.check_result(before, TransactionResult(TransactionStatus.COMMITTED, 51), 11.0).status
        is TransactionStatus.UNKNOWN
    )


def test_a_commit_at_a_lower_revision_is_not_confirmed() -> None:
    guard = open_guard()
    assert (
        guard.check_result(50, TransactionResult(TransactionStatus.COMMITTED, 4), 11.0).status
        is TransactionStatus.UNKNOWN
    )
    assert guard.phase is HistoryPhase.LOST


def test_an_unsuccessful_transaction_is_no_loss() -> None:
    guard = open_guard()
    for status in (
        TransactionStatus.NOT_EXECUTED,
        TransactionStatus.UNKNOWN,
        TransactionStatus.NO_LEASE,
        TransactionStatus.INVALID,
    ):
        assert guard.check_result(50, TransactionResult(status), 11.0).status is status
    assert guard.is_open


def test_changes_to_keys_outside_the_history_are_not_passed_on() -> None:
    guard = open_guard(2)
    assert guard.process_event(wire.Event(60, None, "live/job/job-1")) is None
    assert guard.process_event(wire.Event(60, "live/member/n0", None)) is None
    assert guard.process_event(wire.Event(60, "somebody/else", None)) is None
    assert guard.is_open
    own = guard.process_event(wire.Event(61, "h2.aa/live/job/job-1", None))
    assert own is not None
    assert own.put == "live/job/job-1"
    assert (
        open_guard(1).process_event(wire.Event(62, "h2.aa/live/job/job-1", None)) is not None
    )  # passed on, but no record has this key
    assert open_guard(1).logical("history/current") is None


def test_a_record_written_outside_the_history_prefix_is_a_loss() -> None:
    """After a rollback to an earlier history, the revision may be higher, since each history counts revisions anew.

    Only a write outside the prefix of the current history shows such a rollback.
    """
    guard = open_guard(2)
    assert guard.process_event(wire.Event(60, "live/job/job-1", None)) is None
    assert guard.phase is HistoryPhase.LOST


def test_deletion_of_the_open_marker_in_a_watch_is_a_loss() -> None:
    guard = open_guard()
    guard.process_event(wire.Event(60, None, "history/open/other"))
    assert guard.is_open
    guard.process_event(wire.Event(61, None, "history/open/aa"))
    assert guard.phase is HistoryPhase.LOST


def test_the_archived_revision_never_falls_and_ignores_other_histories() -> None:
    guard = open_guard()
    for name, revision, expected in (("aa", 40, 40), ("bb", 90, 40), ("aa", 30, 40), ("aa", 55, 55)):
        guard.process_event(wire.Event(60, ARCHIVED, None, encode_raw(ArchivedRecord(name, revision, "x"))))
        assert guard.archived_revision == expected
    guard.process_event(wire.Event(61, ARCHIVED, None, encode_raw({"nonsense": 1})))
    assert guard.is_open


def test_a_changed_history_record_in_a_watch_is_applied() -> None:
    guard = open_guard()
    guard.record.jobs_may_be_missing = True
    guard.process_event(wire.Event(60, CURRENT, None, encode_raw(HistoryRecord("aa", 1, jobs_may_be_missing=False))))
    assert not guard.record.jobs_may_be_missing


def test_packed_final_states_are_spread_over_all_records() -> None:
    keys = {packed_key(f"job-{n}", 8) for n in range(200)}
    assert keys == {f"packed/{n}" for n in range(8)}
