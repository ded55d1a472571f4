"""Translates changes of the state service to entries of the archive."""

from __future__ import annotations

from spurarch.archive.format import Entry
from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.storage.history import (
    CURRENT,
    HISTORY,
    OPEN,
    PACKED,
    UNARCHIVED,
    HistoryRecord,
    decode_history,
    is_record_key,
)
from spurarch.storage.records import FINAL, LIVE
from spurarch.storage.seeds import SEED

PREFIXES = (LIVE, FINAL, PACKED, SEED)  # of the keys that are archived, without those in `UNARCHIVED`


class HistoryEndedError(SpurarchError):
    """The history must not be followed any more; the message says why.

    With `data_went_back`, the state service shows data that is older than what was read before.
    """

    def __init__(self, reason: str, data_went_back: bool = False) -> None:
        super().__init__(reason)
        self.data_went_back = data_went_back


def record_entries(history: HistoryRecord, changes: wire.Changes) -> list[Entry]:
    """The changes of a history's records, in order; raises `HistoryEndedError` if one shows that the history ended."""
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
            if event.put is None or key.startswith(UNARCHIVED) or not is_record_key(key):
                continue
            raise HistoryEndedError(f"{key} was written outside it")
        key = key[len(history.prefix) :]
        if key.startswith(PREFIXES) and not key.startswith(UNARCHIVED):
            entries.append(Entry(event.version, key, bytes(event.value) if event.put else None))
    return entries
