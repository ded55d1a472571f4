"""Writes a history to the archive, and keeps the state that the files add up to."""

from __future__ import annotations

import logging
from pathlib import Path

from spurarch.archive.directory import ChangeLog, write_snapshot
from spurarch.archive.format import Entry
from spurarch.archive.state import ArchivedState

log = logging.getLogger(__name__)

SNAPSHOT_LOG_BYTES = 8 << 20  # of a change log, after which a new snapshot is written


class ArchiveWriter:
    """A snapshot and the change log that follows it; a new snapshot once the log is long. Methods raise `OSError`."""

    def __init__(self, root: Path) -> None:
        self._root = root
        self.snapshots = 0  # written so far

    def begin(self, state: ArchivedState) -> None:
        """Writes a snapshot and begins a change log after it."""
        write_snapshot(self._root, state)
        self._state, self._log = state, ChangeLog(self._root, state)
        self.snapshots += 1
        log.info("archive snapshot written records=%d revision=%d", len(state.records), state.revision)

    def append(self, entries: list[Entry], revision: int) -> None:
        """Writes changes that are complete up to a revision, then applies them to the state."""
        self._log.append(entries, revision)
        for entry in entries:
            self._state.apply(entry)
        self._state.revision = revision
        if self._log.bytes > SNAPSHOT_LOG_BYTES:
            self.begin(self._state)
