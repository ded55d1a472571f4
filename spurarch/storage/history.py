"""Which history of the state service's data this controller works in, and the signs that the data was lost.

A *history* is everything that was written since the state service was last empty or rebuilt. Each has a random name,
and all but the first keep their records under a key prefix of their own. A transaction of an earlier history that is
executed late then changes nothing that anybody reads, even where revisions coincide. A marker `history/open/<name>`
exists for as long as a history may be written to. Every transaction has it as a condition, so deleting the marker seals
the history.

Where recovery is off, the client of the state service has no `HistoryGuard` and none of this is read or written.
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
UNRESOLVED_PREFIX = "doubt/"  # unresolved outcomes, under a history's prefix; only operators read them
UNARCHIVED = (MEMBER, LEADER)  # prefixes of records that are of no use later
VERIFY_AFTER_S = 2.0  # without a read, the marker is read again before a response is trusted


class HistoryRecord(Struct):
    """The history that is in force.

    Attributes:
        name: Random name.
        number: 1 for the first history of an installation, one more for each that follows.
        epoch: Above every partition epoch that an earlier history can have given.
        packed: Number of records that hold the final states of jobs of earlier histories.
        uncertain: Jobs may have been accepted that are not on record.
        parent: Name of the history that this one was rebuilt from.
        archived_answers: Users are told that a job is accepted, cancelled or terminal only once the archive holds it.
        installation: The operators' name for the owner of these records.
        seeded: The history began with records that share values.
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
        """Prefix of the keys of this history's records in the state service."""
        return "" if self.number == 1 else f"h{self.number}.{self.name}/"


class OpenMarker(Struct):
    """Exists while a history may be written to."""

    number: int


class ArchivedRecord(Struct):
    """Says that the archive holds all changes of a history up to a revision."""

    name: str
    revision: int
    archiver: str


class PackedFinals(Struct):
    """Final states of jobs of an earlier history: by job id, the state and the number of tasks."""

    jobs: dict[str, tuple[str, int]]


class HistoryPhase(enum.Enum):
    """Whether the records may be trusted."""

    UNKNOWN = "unknown"  # just started
    OPEN = "open"
    LOST = "lost"  # the data was lost, or is being rebuilt


_NEXT = {
    HistoryPhase.UNKNOWN: {HistoryPhase.OPEN, HistoryPhase.LOST},
    HistoryPhase.OPEN: {HistoryPhase.LOST},
    HistoryPhase.LOST: set(),  # a controller starts again in the history that follows
}


_LATER_PREFIX = re.compile(r"h[0-9]+\.[0-9a-f]+")  # of histories after the first
_RECORDS = (LIVE, FINAL, PACKED, SEED, UNRESOLVED_PREFIX)

_record_decoder = msgspec.json.Decoder(HistoryRecord)
_archived_decoder = msgspec.json.Decoder(ArchivedRecord)
_packed_decoder = msgspec.json.Decoder(PackedFinals)


def decode_history(raw: msgspec.Raw | bytes) -> HistoryRecord:
    """Decodes the value of `CURRENT`; raises `msgspec.DecodeError`."""
    return _record_decoder.decode(raw)


def decode_archived(raw: msgspec.Raw | bytes) -> ArchivedRecord:
    """Decodes the value of `ARCHIVED`; raises `msgspec.DecodeError`."""
    return _archived_decoder.decode(raw)


def decode_packed(raw: msgspec.Raw | bytes) -> PackedFinals:
    """Decodes a record of packed final states; raises `msgspec.DecodeError`."""
    return _packed_decoder.decode(raw)


def is_record_key(key: str) -> bool:
    """Whether a key is of some history's records; other programs may keep keys in the same service."""
    prefix, _, rest = key.partition("/")
    if _LATER_PREFIX.fullmatch(prefix):
        key = rest
    return key.startswith(_RECORDS)


def packed_key(job: str, records: int) -> str:
    """Key of the record that holds the final state of a job of an earlier history."""
    return f"{PACKED}{zlib.crc32(job.encode()) % records}"


class HistoryGuard:
    """Fails closed on any sign that the state service's data was lost.

    The service is strongly consistent, so a revision below one that was seen *before* the request was sent can only
    mean that data was lost. A response that is merely delayed is compared with what was known when its request was
    sent.
    """

    def __init__(self) -> None:
        self.phase = HistoryPhase.UNKNOWN
        self.reason = "the history is not known yet"
        self.record = HistoryRecord("", 1)
        self.highest = 0  # revision seen
        self.recorded = 0  # newest revision seen that changed a record that is archived
        self.archived = 0  # revision up to which the archive holds all changes
        self.verified_at = float("-inf")  # monotonic clock; the marker was in force then
        self._open_version = 0  # revision of the marker

    def advance(self, phase: HistoryPhase, reason: str) -> bool:
        """Changes the phase if that transition is allowed; False if it is not."""
        if phase not in _NEXT[self.phase]:
            return False
        self.phase, self.reason = phase, reason
        return True

    def open(self, record: HistoryRecord, open_version: int, revision: int, now: float) -> bool:
        """Opens the history whose marker was read; False if this controller has another one already."""
        if not self.advance(HistoryPhase.OPEN, "open"):
            return False
        self.record, self._open_version = record, open_version
        self.highest = max(self.highest, revision)
        self.verified_at = now
        return True

    def lose(self, reason: str) -> bool:
        """Records a sign of loss; True if it is the first."""
        return self.advance(HistoryPhase.LOST, reason)

    @property
    def is_open(self) -> bool:
        """Whether the records may be trusted."""
        return self.phase is HistoryPhase.OPEN

    @property
    def marker(self) -> str:
        """Key that exists while this history is open."""
        return OPEN + self.record.name

    def check_open(self) -> int:
        """The highest revision seen so far, for `check_revision`; raises `HistoryClosedError` unless open."""
        if self.phase is not HistoryPhase.OPEN:
            raise HistoryClosedError(self.reason)
        return self.highest

    def check_revision(self, before: int, revision: int, now: float) -> None:
        """Checks the revision of a response; `before` is what `check_open` returned before the request.

        Raises `HistoryClosedError`.
        """
        if revision < before:
            self.lose(f"revision {revision} after {before}")
        self.check_open()
        self.highest = max(self.highest, revision)
        self.verified_at = now

    def check_marker(self, version: int, now: float) -> None:
        """Checks the revision of the marker that was read, 0 if there is none. Raises `HistoryClosedError`."""
        if version != self._open_version:
            self.lose(f"marker of history {self.record.name} at {version}, not {self._open_version}")
        self.check_open()
        self.verified_at = now

    def record_change(self, keys: Iterable[str], revision: int) -> None:
        """Remembers the revision of a change if the archive will hold any of the keys."""
        if revision > self.recorded and any(not key.startswith(UNARCHIVED) for key in keys):
            self.recorded = revision

    def needs_verification(self, now: float) -> bool:
        """Whether nothing was read for so long that another history may have begun and have a higher revision."""
        return now - self.verified_at > VERIFY_AFTER_S

    def guarded_transaction(self, txn: wire.Txn) -> wire.Txn:
        """Translates a transaction to this history's keys and adds the condition that the history is open."""
        guards = [wire.Guard(self.physical(guard.key), guard.version) for guard in txn.guards]
        changes: list[wire.Put | wire.Delete] = []
        for change in txn.then:
            if isinstance(change, wire.Put):
                changes.append(wire.Put(self.physical(change.key), change.value, change.lease))
            else:
                changes.append(wire.Delete(self.physical(change.key)))
        return wire.Txn([*guards, wire.Guard(self.marker, self._open_version)], changes)

    def check_result(self, before: int, result: TransactionResult, now: float) -> TransactionResult:
        """Checks the result of a transaction; once there is a sign of loss, a commit is not confirmed any more."""
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
        """Returns the key in the state service of a record's key."""
        return self.record.prefix + key

    def logical(self, key: str) -> str | None:
        """Returns the record's key of a key in the state service; None if it is not one of this history's."""
        prefix = self.record.prefix
        if not key.startswith(prefix) or key.startswith(HISTORY):
            return None
        return key[len(prefix) :]

    def process_event(self, event: wire.Event) -> wire.Event | None:
        """Translates a change from a watch to this history's keys; None if it is not of one of its records.

        Changes that are a sign of loss are noticed here.
        """
        key = event.put or event.delete or ""
        if key.startswith(HISTORY):
            self._process_history_event(event)
            return None
        logical = self.logical(key)
        if logical is None:
            if event.put is not None:
                self._check_foreign_write(key)
            return None
        self.record_change((logical,), event.version)
        if event.put is not None:
            return wire.Event(event.version, logical, None, event.value)
        return wire.Event(event.version, None, logical)

    def _check_foreign_write(self, key: str) -> None:
        """A write outside the history in force is a sign of loss, except by a controller without recovery that joins.

        Data that was reset to an earlier history may have a *higher* revision, since each history counts from its own
        start. The changes after the revision known here are then of that history.
        """
        if is_record_key(key) and not key.startswith(UNARCHIVED):
            self.lose(f"{key} was written outside history {self.record.name}")

    def _process_history_event(self, event: wire.Event) -> None:
        if event.delete == self.marker:
            self.lose(f"history {self.record.name} was sealed")
        elif event.put in (ARCHIVED, CURRENT):
            try:
                self._update(event)
            except msgspec.DecodeError:
                return

    def _update(self, event: wire.Event) -> None:
        if event.put == ARCHIVED:
            archived = decode_archived(event.value)
            if archived.name == self.record.name:
                self.archived = max(self.archived, archived.revision)
            return
        current = decode_history(event.value)
        if current.name == self.record.name:
            self.record = current  # an operator has declared that no job is missing
