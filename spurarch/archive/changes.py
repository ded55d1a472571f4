"""Translates changes in the state service into archive entries."""

from __future__ import annotations

from spurarch.archive.format import Entry
from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.storage.history import (
    CURRENT,
    HISTORY,
    OPEN,
    PACKED,
    UNARCHIVED_PREFIXES,
    HistoryRecord,
    decode_history,
    is_record_key,
)
from spurarch.storage.records import FINAL, LIVE
from spurarch.storage.seeds import SEED

ARCHIVED_PREFIXES = (LIVE, FINAL, PACKED, SEED)  # except keys that start with a prefix in `UNARCHIVED_PREFIXES`


class HistoryEndedError(SpurarchError):
    """The history that is being archived has ended; the message is the reason.

    Attributes:
        data_rolled_back: The state service returned data older than what was read from it before.
    """

    def __init__(self, reason: str, data_rolled_back: bool = False) -> None:
        super().__init__(reason)
        self.data_rolled_back = data_rolled_back


def to_archive_entries(history: HistoryRecord, changes: wire.Changes) -> list[Entry]:
    """Returns the changes to a history's archived records and its history record, by ascending revision.

    Raises `HistoryEndedError` if a change shows that the history has ended.
    """
    entries = []
    for event in sorted(changes.events, key=lambda event: event.version):
        key = event.put or event.delete or ""
        if event.delete == OPEN + history.name:
            raise HistoryEndedError("its marker was deleted")
        if event.put == CURRENT and decode_history(event.value).name == history.name:
            entries.append(Entry(event.version, CURRENT, bytes(event.value)))
        if key.startswith(HISTORY):
            continue
        if not key.startswith(history.prefix):
            if event.put is None or key.startswith(UNARCHIVED_PREFIXES) or not is_record_key(key):
                continue
            raise HistoryEndedError(f"{key} was written outside the history")
        key = key[len(history.prefix) :]
        if key.startswith(ARCHIVED_PREFIXES) and not key.startswith(UNARCHIVED_PREFIXES):
            entries.append(Entry(event.version, key, bytes(event.value) if event.put else None))
    return entries
