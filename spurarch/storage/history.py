"""Which history of the state service's data this controller works in, and the signs that the data was lost.

A *history* is everything that was written since the state service was last empty or rebuilt. Each has a random name, and
all but the first keep their records under a key prefix of their own: a transaction of an earlier history, carried out
late, then changes nothing that anybody reads, even where revisions coincide. A marker `history/open/<name>` exists for
as long as a history may be written to; every transaction has it as a condition, so a history is sealed by deleting it.

Off (no `HistoryGuard` in the client of the state service), none of this is read, written or asked for.
"""

from __future__ import annotations

import enum
import re
import zlib
from collections.abc import Iterable

import msgspec
from msgspec import Struct

from spurarch.protocol import wire
from spurarch.storage.errors import HistoryClosedError
from spurarch.storage.records import FINAL, LEADER, LIVE, MEMBER
from spurarch.storage.seeds import SEED
from spurarch.storage.transaction import TransactionResult, TransactionStatus

HISTORY = "history/"
CURRENT, CLAIM, ARCHIVED = "history/current", "history/claim", "history/archived"
OPEN, REBUILD = "history/open/", "history/rebuild/"
PACKED = "packed/"
UNRESOLVED_PREFIX = "doubt/"  # records under a history's prefix that only operators read
UNARCHIVED = (MEMBER, LEADER)  # of no use once they are old
VERIFY_AFTER_S = 2.0  # without a read: the marker is read again before an answer is believed


class HistoryRecord(Struct):
    """The history that is in force.

    `epoch` lies above every partition epoch that an earlier history can have given. `packed` is the number of records
    that hold the final standings of earlier histories. If `seeded`, it began with records that share values. While `uncertain`, jobs may have been accepted that nobody knows.
    `parent` is the history that this one was rebuilt from. In one with `archived_answers`, users are told that a job is
    accepted, cancelled or over only once the archive holds the record of it. `installation` is the operators' name for
    whose records these are.
    """

    name: str
    number: int
    epoch: int = 0
    packed: int = 0
    uncertain: bool = False
    parent: str = ""
    archived_answers: bool = False
    installation: str = ""
    seeded: bool = False

    @property
    def prefix(self) -> str:
        """What stands before the keys of this history's records."""
        return "" if self.number == 1 else f"h{self.number}.{self.name}/"


class OpenMarker(Struct):
    """Exists while a history may be written to."""

    number: int


class ArchivedRecord(Struct):
    """All changes of a history up to a revision are in the archive."""

    name: str
    revision: int
    archiver: str


class PackedFinals(Struct):
    """Final standings of an earlier history: by job, state and number of tasks."""

    jobs: dict[str, tuple[str, int]]


class HistoryPhase(enum.Enum):
    """Whether the records may be believed."""

    UNKNOWN = "unknown"  # just started
    OPEN = "open"
    LOST = "lost"  # the data was lost, or is being rebuilt


_NEXT = {
    HistoryPhase.UNKNOWN: {HistoryPhase.OPEN, HistoryPhase.LOST},
    HistoryPhase.OPEN: {HistoryPhase.LOST},
    HistoryPhase.LOST: set(),  # a controller begins anew in the history that follows
}


_LATER_PREFIX = re.compile(r"h[0-9]+\.[0-9a-f]+")  # of histories after the first
_RECORDS = (LIVE, FINAL, PACKED, SEED, UNRESOLVED_PREFIX)

_record_decoder = msgspec.json.Decoder(HistoryRecord)
_archived_decoder = msgspec.json.Decoder(ArchivedRecord)
_packed_decoder = msgspec.json.Decoder(PackedFinals)


def decode_history(raw: msgspec.Raw | bytes) -> HistoryRecord:
    """The value of `CURRENT`."""
    return _record_decoder.decode(raw)


def decode_archived(raw: msgspec.Raw | bytes) -> ArchivedRecord:
    """The value of `ARCHIVED`."""
    return _archived_decoder.decode(raw)


def decode_packed(raw: msgspec.Raw | bytes) -> PackedFinals:
    """The value of a record of packed final standings."""
    return _packed_decoder.decode(raw)


def is_record_key(key: str) -> bool:
    """A key of some history's records; others may keep theirs in the same service."""
    prefix, _, rest = key.partition("/")
    if _LATER_PREFIX.fullmatch(prefix):
        key = rest
    return key.startswith(_RECORDS)


def packed_key(job: str, records: int) -> str:
    """The record that holds the final standing of a job of an earlier history."""
    return f"{PACKED}{zlib.crc32(job.encode()) % records}"


class HistoryGuard:
    """Fails closed on any sign that the state service's data was lost.

    The service is strongly consistent, so a revision below one that was seen *before* the request was sent can only
    mean that data was lost: an answer that merely travelled slowly is compared with what was known as it was asked for.
    """

    def __init__(self) -> None:
        self.phase = HistoryPhase.UNKNOWN
        self.reason = "the history is not known yet"
        self.record = HistoryRecord("", 1)
        self.highest = 0  # revision seen
        self.recorded = 0  # newest revision seen that changed what is archived
        self.archived = 0  # revision that the archive covers
        self.verified_at = float("-inf")  # the marker was in force then
        self._open_version = 0

    def advance(self, phase: HistoryPhase, reason: str) -> bool:
        """Changes the phase if that is a step that it can take."""
        if phase not in _NEXT[self.phase]:
            return False
        self.phase, self.reason = phase, reason
        return True

    def open(self, record: HistoryRecord, open_version: int, revision: int, now: float) -> bool:
        """The history is in force: its marker was read."""
        if not self.advance(HistoryPhase.OPEN, "open"):
            return False
        self.record, self._open_version = record, open_version
        self.highest = max(self.highest, revision)
        self.verified_at = now
        return True

    def lose(self, reason: str) -> bool:
        """There is a sign of loss; True if it is the first."""
        return self.advance(HistoryPhase.LOST, reason)

    @property
    def is_open(self) -> bool:
        """The records may be believed."""
        return self.phase is HistoryPhase.OPEN

    @property
    def marker(self) -> str:
        """Key that exists while this history is open."""
        return OPEN + self.record.name

    def check_open(self) -> int:
        """The highest revision seen so far, for `check_revision`; raises while the records may not be believed."""
        if self.phase is not HistoryPhase.OPEN:
            raise HistoryClosedError(self.reason)
        return self.highest

    def check_revision(self, before: int, revision: int, now: float) -> None:
        """An answer shows a revision; `before` is what `check_open` gave as the request was sent."""
        if revision < before:
            self.lose(f"revision {revision} after {before}")
        self.check_open()
        self.highest = max(self.highest, revision)
        self.verified_at = now

    def check_marker(self, version: int, now: float) -> None:
        """The marker was read, or is not there (0)."""
        if version != self._open_version:
            self.lose(f"marker of history {self.record.name} at {version}, not {self._open_version}")
        self.check_open()
        self.verified_at = now

    def note_recorded(self, keys: Iterable[str], revision: int) -> None:
        """Records have changed at a revision; the archive will cover it if it holds any of them."""
        if revision > self.recorded and any(not key.startswith(UNARCHIVED) for key in keys):
            self.recorded = revision

    def needs_verification(self, now: float) -> bool:
        """Nothing was read for so long that another history may have begun and grown past ours."""
        return now - self.verified_at > VERIFY_AFTER_S

    def bound(self, txn: wire.Txn) -> wire.Txn:
        """A transaction on this history's own keys, on condition that the history is open."""
        guards = [wire.Guard(self.physical(guard.key), guard.version) for guard in txn.guards]
        changes: list[wire.Put | wire.Delete] = []
        for change in txn.then:
            if isinstance(change, wire.Put):
                changes.append(wire.Put(self.physical(change.key), change.value, change.lease))
            else:
                changes.append(wire.Delete(self.physical(change.key)))
        return wire.Txn([*guards, wire.Guard(self.marker, self._open_version)], changes)

    def judge(self, before: int, result: TransactionResult, now: float) -> TransactionResult:
        """What the outcome of a transaction says: nothing is confirmed to anybody once there is a sign of loss."""
        if result.status is TransactionStatus.CONFLICT and self.marker in result.failed_keys:
            self.lose(f"history {self.record.name} was sealed")
        if result.status not in (TransactionStatus.COMMITTED, TransactionStatus.CONFLICT):
            return result
        try:
            self.check_revision(before, result.revision, now)
        except HistoryClosedError:
            return TransactionResult(
                TransactionStatus.UNKNOWN
                if result.status is TransactionStatus.COMMITTED
                else TransactionStatus.CONFLICT,
                result.revision,
            )
        failed = [self.logical(key) or key for key in result.failed_keys]
        return TransactionResult(result.status, result.revision, failed)

    def physical(self, key: str) -> str:
        """A record's key as the state service knows it."""
        return self.record.prefix + key

    def logical(self, key: str) -> str | None:
        """A key of the state service as the records' readers know it; None if it is not one of this history's."""
        prefix = self.record.prefix
        if not key.startswith(prefix) or key.startswith(HISTORY):
            return None
        return key[len(prefix) :]

    def take_event(self, event: wire.Event) -> wire.Event | None:
        """A change that a watch showed, as one of this history's records, or None if it is not."""
        key = event.put or event.delete or ""
        if key.startswith(HISTORY):
            self._take_own(event)
            return None
        logical = self.logical(key)
        if logical is None:
            if event.put is not None:
                self._judge_foreign(key)
            return None
        self.note_recorded((logical,), event.version)
        if event.put is not None:
            return wire.Event(event.version, logical, None, event.value)
        return wire.Event(event.version, None, logical)

    def _judge_foreign(self, key: str) -> None:
        """Nobody writes outside the history in force, but a controller without recovery that tries to join.

        Data that went back to an earlier history may have a *higher* revision, since each history counts anew. What is
        shown after ours is then of that history.
        """
        if is_record_key(key) and not key.startswith(UNARCHIVED):
            self.lose(f"{key} was written outside history {self.record.name}")

    def _take_own(self, event: wire.Event) -> None:
        if event.delete == self.marker:
            self.lose(f"history {self.record.name} was sealed")
        elif event.put in (ARCHIVED, CURRENT):
            try:
                self._apply_changes(event)
            except msgspec.DecodeError:
                return

    def _apply_changes(self, event: wire.Event) -> None:
        if event.put == ARCHIVED:
            archived = decode_archived(event.value)
            if archived.name == self.record.name:
                self.archived = max(self.archived, archived.revision)
            return
        current = decode_history(event.value)
        if current.name == self.record.name:
            self.record = current  # an operator has settled what was uncertain
