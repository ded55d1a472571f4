"""Signs that the state service lost its data, and what is none."""

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


def opened(number: int = 1, revision: int = 50) -> HistoryGuard:
    guard = HistoryGuard()
    assert guard.open(HistoryRecord("aa", number), 3, revision, 10.0)
    return guard


def raw(value: object) -> msgspec.Raw:
    return msgspec.Raw(wire.encode(value))


def test_nothing_is_believed_before_the_history_is_known() -> None:
    with pytest.raises(HistoryClosedError):
        HistoryGuard().check_open()


def test_a_revision_below_one_seen_before_the_request_is_a_loss() -> None:
    guard = opened()
    before = guard.check_open()
    with pytest.raises(HistoryClosedError):
        guard.check_revision(before, 49, 11.0)
    assert guard.phase is HistoryPhase.LOST


def test_an_answer_that_was_asked_for_earlier_may_be_older() -> None:
    guard = opened()
    before = guard.check_open()
    guard.check_revision(before, 60, 11.0)  # another request overtook it
    guard.check_revision(before, 55, 11.1)
    assert guard.is_open
    assert guard.highest == 60


def test_a_marker_at_another_version_is_another_life_of_the_service() -> None:
    guard = opened()
    guard.check_marker(3, 11.0)
    with pytest.raises(HistoryClosedError):
        guard.check_marker(4, 12.0)


def test_the_marker_is_read_again_after_a_pause_in_reading() -> None:
    guard = opened()
    assert not guard.needs_verification(11.9)
    assert guard.needs_verification(12.1)


def test_a_lost_history_never_opens_again() -> None:
    guard = opened()
    assert guard.lose("once")
    assert not guard.lose("twice")
    assert not guard.open(HistoryRecord("bb", 2), 9, 90, 12.0)
    assert guard.reason == "once"


def test_every_transaction_has_the_marker_as_a_condition_and_the_prefix_in_its_keys() -> None:
    txn = wire.Txn([wire.Guard("live/leader", 7)], [wire.Put("live/job/job-1", 1), wire.Delete("live/admitted/job-1")])
    first, later = opened(1).guarded_transaction(txn), opened(2).guarded_transaction(txn)
    assert [g.key for g in first.guards] == ["live/leader", "history/open/aa"]
    assert [c.key for c in first.then] == ["live/job/job-1", "live/admitted/job-1"]
    assert [g.key for g in later.guards] == ["h2.aa/live/leader", "history/open/aa"]
    assert [c.key for c in later.then] == ["h2.aa/live/job/job-1", "h2.aa/live/admitted/job-1"]


def test_a_transaction_of_a_sealed_history_is_a_loss() -> None:
    guard = opened()
    result = guard.check_result(50, TransactionResult(TransactionStatus.CONFLICT, 51, ["history/open/aa"]), 11.0)
    assert result.status is TransactionStatus.CONFLICT
    assert guard.phase is HistoryPhase.LOST


def test_nothing_is_confirmed_once_there_is_a_sign_of_loss() -> None:
    """The answer of a transaction that was carried out may come after the data was found to be lost."""
    guard = opened()
    before = guard.check_open()
    guard.lose("seen elsewhere")
    assert (
        guard.check_result(before, TransactionResult(TransactionStatus.COMMITTED, 51), 11.0).status
        is TransactionStatus.UNKNOWN
    )


def test_a_transaction_carried_out_at_a_lower_revision_is_not_confirmed() -> None:
    guard = opened()
    assert (
        guard.check_result(50, TransactionResult(TransactionStatus.COMMITTED, 4), 11.0).status
        is TransactionStatus.UNKNOWN
    )
    assert guard.phase is HistoryPhase.LOST


def test_an_outage_is_no_loss() -> None:
    guard = opened()
    for verdict in (
        TransactionStatus.NOT_EXECUTED,
        TransactionStatus.UNKNOWN,
        TransactionStatus.NO_LEASE,
        TransactionStatus.INVALID,
    ):
        assert guard.check_result(50, TransactionResult(verdict), 11.0).status is verdict
    assert guard.is_open


def test_changes_of_other_histories_are_not_shown() -> None:
    guard = opened(2)
    assert guard.process_event(wire.Event(60, None, "live/job/job-1")) is None
    assert guard.process_event(wire.Event(60, "live/member/n0", None)) is None
    assert guard.process_event(wire.Event(60, "somebody/else", None)) is None
    assert guard.is_open
    own = guard.process_event(wire.Event(61, "h2.aa/live/job/job-1", None))
    assert own is not None
    assert own.put == "live/job/job-1"
    assert opened(1).process_event(wire.Event(62, "h2.aa/live/job/job-1", None)) is not None  # no record has such a key
    assert opened(1).logical("history/current") is None


def test_data_that_went_back_to_an_earlier_history_may_have_a_higher_revision() -> None:
    """Each history counts anew: then only what is written outside the prefix tells."""
    guard = opened(2)
    assert guard.process_event(wire.Event(60, "live/job/job-1", None)) is None
    assert guard.phase is HistoryPhase.LOST


def test_a_sealed_marker_is_seen_by_watch() -> None:
    guard = opened()
    guard.process_event(wire.Event(60, None, "history/open/other"))
    assert guard.is_open
    guard.process_event(wire.Event(61, None, "history/open/aa"))
    assert guard.phase is HistoryPhase.LOST


def test_progress_of_the_archive_counts_for_this_history_only_and_never_falls() -> None:
    guard = opened()
    for name, revision, expected in (("aa", 40, 40), ("bb", 90, 40), ("aa", 30, 40), ("aa", 55, 55)):
        guard.process_event(wire.Event(60, ARCHIVED, None, raw(ArchivedRecord(name, revision, "x"))))
        assert guard.archived == expected
    guard.process_event(wire.Event(61, ARCHIVED, None, raw({"nonsense": 1})))
    assert guard.is_open


def test_what_an_operator_settles_is_learned() -> None:
    guard = opened()
    guard.record.uncertain = True
    guard.process_event(wire.Event(60, CURRENT, None, raw(HistoryRecord("aa", 1, uncertain=False))))
    assert not guard.record.uncertain


def test_final_standings_are_spread_over_their_records() -> None:
    keys = {packed_key(f"job-{n}", 8) for n in range(200)}
    assert keys == {f"packed/{n}" for n in range(8)}
