"""Writes a history to the archive, and keeps the state that the files contain."""

from __future__ import annotations

import logging
from pathlib import Path

from spurarch.archive.directory import ChangeLog, write_snapshot
from spurarch.archive.format import Entry
from spurarch.archive.state import ArchivedState

log = logging.getLogger(__name__)

MAX_LOG_BYTES = 8 << 20  # a larger change log is followed by a new snapshot


class ArchiveWriter:
    """Writes a snapshot and a change log; new ones once the log exceeds `MAX_LOG_BYTES`. Methods raise `OSError`."""

    def __init__(self, root: Path) -> None:
        self._root = root
        self.snapshot_count = 0

    def start_log(self, state: ArchivedState) -> None:
        """Writes a snapshot and starts a change log after it."""
        write_snapshot(self._root, state)
        self._state, self._log = state, ChangeLog(self._root, state)
        self.snapshot_count += 1
        log.info("archive snapshot written records=%d revision=%d", len(state.records), state.revision)

    def append(self, entries: list[Entry], revision: int) -> None:
        """Writes all changes up to a revision to disk, then applies them to the state."""
        self._log.append(entries, revision)
        for entry in entries:
            self._state.apply(entry)
        self._state.revision = revision
        if self._log.size_bytes > MAX_LOG_BYTES:
            self.start_log(self._state)
