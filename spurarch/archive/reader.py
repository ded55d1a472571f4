"""Reads the records of a history from the archive's files: a snapshot and the change logs that follow it.

A history is everything that was written since the state service was last empty or rebuilt (see `storage.history`).
"""

from __future__ import annotations

import io
from collections.abc import Iterator
from pathlib import Path

import fastavro

from spurarch.archive.directory import ArchiveFile, EmptyArchiveError, list_files
from spurarch.archive.format import Block, DamagedFileError, FileKind, read_blocks
from spurarch.archive.state import ArchivedState

SYNC_MARKER_BYTES = 16


def read_log_blocks(path: Path) -> Iterator[Block]:
    """Yields the blocks of a change log, except a last block that was only partly written.

    Raises `DamagedFileError` if a completely written block is damaged, also if it is the last one.
    """
    blocks = read_blocks(path)
    while True:
        try:
            block = next(blocks, None)
        except DamagedFileError:
            if _is_last_block_torn(path):
                return
            raise
        if block is None:
            return
        yield block


def _is_last_block_torn(path: Path) -> bool:
    """Whether the first unreadable block was only partly written.

    That is so if no sync marker, which ends each block, follows the last readable block, or if even the header can't be
    read.
    """
    readable_end = 0
    try:
        for block in read_blocks(path):
            readable_end = block.end_offset
    except DamagedFileError:
        pass
    data = path.read_bytes()
    marker = _read_sync_marker(data)
    return marker is None or marker not in data[max(readable_end, data.find(marker) + len(marker)) :]


def _read_sync_marker(data: bytes) -> bytes | None:
    """Returns the sync marker, the bytes that end the header and each block; None if the header can't be read."""
    stream = io.BytesIO(data)
    try:
        reader = fastavro.block_reader(stream)
    except Exception:  # fastavro raises many exception types
        return None
    del reader
    return data[stream.tell() - SYNC_MARKER_BYTES : stream.tell()]


def read_state(directory: Path, revision: int | None = None) -> ArchivedState:
    """Reads the records of a history at its newest revision, or without the changes after `revision`.

    The state's revision is that of the snapshot or of the last batch that is included completely.

    Raises `EmptyArchiveError` if there is no snapshot, or none up to `revision`; `DamagedFileError` if a file is
    damaged, or if a change log begins after the state that the files before it give, as if one were missing.
    """
    complete = list_files(directory)
    snapshots = [
        f
        for f in complete
        if f.header.kind is FileKind.SNAPSHOT and (revision is None or f.header.revision <= revision)
    ]
    if not snapshots:
        raise EmptyArchiveError(f"{directory.name}: no snapshot up to revision {revision}")
    newest = snapshots[-1]
    state = ArchivedState(newest.header.history, newest.header.history_number, newest.header.revision)
    _load_snapshot(newest, state)
    for log in complete:
        if log.header.kind is FileKind.LOG and log.header.revision >= newest.header.revision:
            _check_same_history(newest, log)
            _replay(log, state, revision)
    return state


def _load_snapshot(snapshot: ArchiveFile, state: ArchivedState) -> None:
    for block in read_blocks(snapshot.path):
        for entry in block.entries:
            state.records[entry.key] = entry
    if len(state.records) != snapshot.header.record_count:
        raise DamagedFileError(
            f"{snapshot.path.name}: {len(state.records)} records of {snapshot.header.record_count}: a block is missing"
        )


def _check_same_history(snapshot: ArchiveFile, log: ArchiveFile) -> None:
    if log.header.history != snapshot.header.history:
        raise DamagedFileError(f"{log.path.name}: of history {log.header.history}, not {snapshot.header.history}")


def _replay(log: ArchiveFile, state: ArchivedState, revision: int | None) -> None:
    if log.header.revision > state.revision:
        raise DamagedFileError(f"{log.path.name}: begins after {log.header.revision}, what comes before is missing")
    for block in read_log_blocks(log.path):
        for entry in block.entries:
            if revision is None or entry.revision <= revision:
                state.apply(entry)


def verify(directory: Path) -> ArchivedState:
    """Checks every file of a history, also those that the newest state does not need; returns that state.

    Raises `EmptyArchiveError` or `DamagedFileError`, as `read_state` does.
    """
    for file in list_files(directory):
        for _ in read_log_blocks(file.path) if file.header.kind is FileKind.LOG else read_blocks(file.path):
            pass
    return read_state(directory)
