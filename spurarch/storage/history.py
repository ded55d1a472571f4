"""The history of the state service's data that this controller works in, and detection of lost data.

A *history* is everything that was written since the state service was last empty or rebuilt. Each history has a random
name, and all but the first keep their records under a key prefix of their own. A transaction of an earlier history that
is executed late therefore changes no key that a controller still reads, even if revisions coincide. The marker key
`history/open/<name>` exists while the history may be written to. Every transaction guards it, so deleting the marker
seals the history.

If recovery is disabled, the client of the state service has no `HistoryGuard`, no key under `history/` is used, and no
record key has a prefix of a history.
"""

from __future__ import annotations

import enum
import re
import zlib
from collections.abc import Iterable

import msgspec
from msgspec import Struct, field

from spurarch.protocol import wire
from spurarch.storage.errors import HistoryClosedError
from spurarch.storage.records import FINAL, LEADER, LIVE, MEMBER
from spurarch.storage.seeds import SEED
from spurarch.storage.transaction import TransactionResult, TransactionStatus

HISTORY = "history/"
# Keys of the `HistoryRecord`, of the claim on a rebuild (see `spurarch.recovery.claim`) and of the `ArchivedRecord`.
CURRENT, CLAIM, ARCHIVED = "history/current", "history/claim", "history/archived"
OPEN, REBUILD = "history/open/", "history/rebuild/"  # prefixes of the keys of markers and of rebuilds in progress
PACKED = "packed/"  # prefix of the keys of `PackedFinals`, under the history's prefix
UNRESOLVED_PREFIX = "doubt/"  # unresolved job outcomes, under the history's prefix; read only by operators' commands
UNARCHIVED_PREFIXES = (MEMBER, LEADER)  # prefixes of records that are not archived: a later history has no use for them
MARKER_VALID_S = 2.0  # after this time without a verified response, the marker is read again before the next read


class HistoryRecord(Struct):
    """The current history.

    Attributes:
        name: Random name.
        number: 1 for the first history of an installation, one more for each that follows.
        epoch: Higher than any partition epoch that an earlier history can have assigned.
        packed_value_count: Number of keys that hold the packed final states of jobs of earlier histories.
        jobs_may_be_missing: Jobs that users were told are accepted may be missing from the records.
        parent: Name of the history from which this one was rebuilt.
        responses_await_archive: A job is reported to users as accepted, cancelled or terminal only after the archive
            holds this state.
        installation: Name that the operators gave to the owner of these records.
        seeded: The history was opened with records that share values, see `spurarch.storage.seeds`.
    """

    name: str
    number: int
    epoch: int = 0
    packed_value_count: int = field(name="packed", default=0)
    jobs_may_be_missing: bool = field(name="uncertain", default=False)
    parent: str = ""
    responses_await_archive: bool = field(name="archived_answers", default=False)
    installation: str = ""
    seeded: bool = False

    @property
    def prefix(self) -> str:
        """Prefix of this history's record keys in the state service; empty for the first history."""
        return "" if self.number == 1 else f"h{self.number}.{self.name}/"


class OpenMarker(Struct):
    """Value of the marker key, which exists while the history may be written to.

    Also the value of the key under `REBUILD`, which exists while a rebuild writes the history with this number.
    """

    number: int


class ArchivedRecord(Struct):
    """Progress of the archive: it holds all changes of the history `name` up to `revision`."""

    name: str
    revision: int
    archiver: str


class PackedFinals(Struct):
    """Final states of jobs of earlier histories: by job id, the state and the number of tasks."""

    jobs: dict[str, tuple[str, int]]


class HistoryPhase(enum.Enum):
    """Whether the records can be trusted."""

    UNKNOWN = "unknown"  # at start, until a history is opened or found lost
    OPEN = "open"
    LOST = "lost"  # data of the state service was lost, or is being rebuilt


_TRANSITIONS = {
    HistoryPhase.UNKNOWN: {HistoryPhase.OPEN, HistoryPhase.LOST},
    HistoryPhase.OPEN: {HistoryPhase.LOST},
    HistoryPhase.LOST: set(),  # final: the controller restarts in the next history
}


_HISTORY_PREFIX = re.compile(r"h[0-9]+\.[0-9a-f]+")  # of all histories except the first, whose keys have no prefix
_RECORD_PREFIXES = (LIVE, FINAL, PACKED, SEED, UNRESOLVED_PREFIX)

_record_decoder = msgspec.json.Decoder(HistoryRecord)
_archived_decoder = msgspec.json.Decoder(ArchivedRecord)
_packed_decoder = msgspec.json.Decoder(PackedFinals)


def decode_history(raw: msgspec.Raw | bytes) -> HistoryRecord:
    """Decodes the value of `CURRENT`. Raises `msgspec.DecodeError`."""
    return _record_decoder.decode(raw)


def decode_archived(raw: msgspec.Raw | bytes) -> ArchivedRecord:
    """Decodes the value of `ARCHIVED`. Raises `msgspec.DecodeError`."""
    return _archived_decoder.decode(raw)


def decode_packed(raw: msgspec.Raw | bytes) -> PackedFinals:
    """Decodes a value under `PACKED`. Raises `msgspec.DecodeError`."""
    return _packed_decoder.decode(raw)


def is_record_key(key: str) -> bool:
    """Returns whether a key belongs to a record of any history; other programs may use the same state service."""
    prefix, _, rest = key.partition("/")
    if _HISTORY_PREFIX.fullmatch(prefix):
        key = rest
    return key.startswith(_RECORD_PREFIXES)


def packed_key(job: str, records: int) -> str:
    """Returns the key that holds a job's packed final state, with `records` packed values in total."""
    return f"{PACKED}{zlib.crc32(job.encode()) % records}"


class HistoryGuard:
    """Detects that the state service lost data, and blocks every access to the records from then on.

    The service is strongly consistent. A response with a revision below one that was seen *before* its request was sent
    therefore proves that data was lost. A delayed response is compared with the revision seen when its request was
    sent, not when the response is processed.
    """

    def __init__(self) -> None:
        self.phase = HistoryPhase.UNKNOWN
        self.reason = "the history is not known yet"
        self.record = HistoryRecord("", 1)
        self.highest_revision = 0  # highest revision seen in a response
        self.recorded_revision = 0  # highest revision seen of a change that the archive has to hold
        self.archived_revision = 0  # revision up to which the archive has reported to hold all changes
        self.verified_at = float("-inf")  # when the history was last verified to be open, by the monotonic clock
        self._marker_version = 0  # revision at which the marker was written

    def advance(self, phase: HistoryPhase, reason: str) -> bool:
        """Changes the phase; returns False if the transition is not allowed."""
        if phase not in _TRANSITIONS[self.phase]:
            return False
        self.phase, self.reason = phase, reason
        return True

    def open(self, record: HistoryRecord, marker_version: int, revision: int, now: float) -> bool:
        """Opens a history whose marker was read at `now`; returns False if one was already opened or marked as lost."""
        if not self.advance(HistoryPhase.OPEN, "open"):
            return False
        self.record, self._marker_version = record, marker_version
        self.highest_revision = max(self.highest_revision, revision)
        self.verified_at = now
        return True

    def mark_lost(self, reason: str) -> bool:
        """Marks the history as lost; returns False if it was marked before."""
        return self.advance(HistoryPhase.LOST, reason)

    @property
    def is_open(self) -> bool:
        """Whether a history is open, so the records can be trusted."""
        return self.phase is HistoryPhase.OPEN

    @property
    def marker(self) -> str:
        """Key of this history's marker."""
        return OPEN + self.record.name

    def check_open(self) -> int:
        """Returns the highest revision seen, for `check_revision`. Raises `HistoryClosedError` unless open."""
        if self.phase is not HistoryPhase.OPEN:
            raise HistoryClosedError(self.reason)
        return self.highest_revision

    def check_revision(self, before: int, revision: int, now: float) -> None:
        """Checks the revision of a response; `before` is the result of `check_open` before the request was sent.

        Marks the history as lost if the revision is lower. Raises `HistoryClosedError` unless the history is open.
        """
        if revision < before:
            self.mark_lost(f"revision {revision} after {before}")
        self.check_open()
        self.highest_revision = max(self.highest_revision, revision)
        self.verified_at = now

    def check_marker(self, version: int, now: float) -> None:
        """Checks the revision `version` of the marker that was read, 0 if there is none.

        Marks the history as lost if the marker was deleted or replaced. Raises `HistoryClosedError` unless the history
        is open.
        """
        if version != self._marker_version:
            self.mark_lost(f"marker of history {self.record.name} at {version}, not {self._marker_version}")
        self.check_open()
        self.verified_at = now

    def record_change(self, keys: Iterable[str], revision: int) -> None:
        """Updates `recorded_revision` with the revision of a change, if any of the changed keys is archived."""
        if revision > self.recorded_revision and any(not key.startswith(UNARCHIVED_PREFIXES) for key in keys):
            self.recorded_revision = revision

    def needs_verification(self, now: float) -> bool:
        """Returns whether the marker has to be read again before a response can be trusted.

        In `MARKER_VALID_S` without a checked response, a new history may have begun and reached a higher revision.
        """
        return now - self.verified_at > MARKER_VALID_S

    def guarded_transaction(self, txn: wire.Txn) -> wire.Txn:
        """Translates a transaction to the state service's keys and adds a guard on the marker."""
        guards = [wire.Guard(self.physical(guard.key), guard.version) for guard in txn.guards]
        changes: list[wire.Put | wire.Delete] = []
        for change in txn.then:
            if isinstance(change, wire.Put):
                changes.append(wire.Put(self.physical(change.key), change.value, change.lease))
            else:
                changes.append(wire.Delete(self.physical(change.key)))
        return wire.Txn([*guards, wire.Guard(self.marker, self._marker_version)], changes)

    def check_result(self, before: int, result: TransactionResult, now: float) -> TransactionResult:
        """Checks the result of a transaction and translates its failed keys.

        Marks the history as lost if its marker was deleted or the revision is too low. If the history is lost, returns
        UNKNOWN instead of a commit, since the committed changes are possibly lost, and a conflict without failed keys.
        """
        if result.status is TransactionStatus.CONFLICT and self.marker in result.failed_keys:
            self.mark_lost(f"history {self.record.name} was sealed")
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
        """Returns the state service's key of a record, given the record's key without the history's prefix."""
        return self.record.prefix + key

    def logical(self, key: str) -> str | None:
        """Returns a record's key without the history's prefix; None if the key does not belong to this history."""
        prefix = self.record.prefix
        if not key.startswith(prefix) or key.startswith(HISTORY):
            return None
        return key[len(prefix) :]

    def process_event(self, event: wire.Event) -> wire.Event | None:
        """Translates the key of a change from a watch; returns None if the change is not of this history's records.

        Marks the history as lost if the change is a sign of lost data.
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
        """Marks the history as lost if a record of another history was written.

        After a reset to an earlier history the service may be at a *higher* revision than the one known here, since
        revisions are not continued across histories. Only the changes that follow then show the reset. Member and
        leader records are ignored: a controller that starts without recovery writes them without a prefix.
        """
        if is_record_key(key) and not key.startswith(UNARCHIVED_PREFIXES):
            self.mark_lost(f"{key} was written outside history {self.record.name}")

    def _process_history_event(self, event: wire.Event) -> None:
        if event.delete == self.marker:
            self.mark_lost(f"history {self.record.name} was sealed")
        elif event.put in (ARCHIVED, CURRENT):
            try:
                self._update(event)
            except msgspec.DecodeError:
                return

    def _update(self, event: wire.Event) -> None:
        if event.put == ARCHIVED:
            archived = decode_archived(event.value)
            if archived.name == self.record.name:
                self.archived_revision = max(self.archived_revision, archived.revision)
            return
        current = decode_history(event.value)
        if current.name == self.record.name:
            self.record = current  # an operator has cleared `jobs_may_be_missing`
