"""The archive's directory: which files there are, how they come into being, and what they add up to.

Every history has a directory of its own, `<number>-<name>`. A file is complete before it gets its name: it is written
beside, synced, renamed, and the directory is synced. A change log grows by whole blocks, each synced before the revision
that it covers is told to anybody. A log whose last block is torn is cut back to the block before.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from spurarch.archive.format import (
    Block,
    DamagedFileError,
    Entry,
    FileHeader,
    FileKind,
    append_block,
    mark,
    read_blocks,
    read_header,
    write_file,
)

LOCK = "lock"
SUFFIX, PARTIAL = ".avro", ".partial"
REVISION_DIGITS = 16


class ArchiveBusyError(Exception):
    """Another archiver writes to the directory."""


class EmptyArchiveError(Exception):
    """There is nothing to read; the message says where."""


@dataclass(slots=True)
class Point:
    """All records of a history at one revision."""

    history: str
    number: int
    revision: int
    records: dict[str, Entry] = field(default_factory=dict)

    def apply(self, entry: Entry) -> None:
        """Takes in a change."""
        if entry.is_mark:
            self.revision = max(self.revision, entry.revision)
        elif entry.value is None:
            self.records.pop(entry.key, None)
        else:
            self.records[entry.key] = entry


@dataclass(frozen=True, slots=True)
class ArchiveFile:
    """A file and what its header says."""

    path: Path
    header: FileHeader


def sync_directory(path: Path) -> None:
    """Makes names in a directory outlive a crash of the machine."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


@contextmanager
def locked(root: Path) -> Iterator[None]:
    """Only one archiver writes to a directory."""
    root.mkdir(parents=True, exist_ok=True)
    with (root / LOCK).open("w") as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise ArchiveBusyError(f"{root}: another archiver is at work") from None
        yield


def history_directory(root: Path, number: int, name: str) -> Path:
    """Where a history's files are."""
    return root / f"{number:06d}-{name}"


def histories(root: Path) -> list[Path]:
    """The directories of all histories, oldest first."""
    return sorted(path for path in root.glob("[0-9]*-*") if path.is_dir())


def files(directory: Path) -> list[ArchiveFile]:
    """All complete files of a history, by revision, a snapshot before the log that follows it."""
    found = [ArchiveFile(path, read_header(path)) for path in directory.glob(f"*{SUFFIX}")]
    return sorted(found, key=lambda f: (f.header.revision, f.header.kind is FileKind.LOG))


def _path(directory: Path, header: FileHeader) -> Path:
    return directory / f"{header.kind.value}-{header.revision:0{REVISION_DIGITS}d}{SUFFIX}"


def _create(directory: Path, header: FileHeader, entries: list[Entry]) -> Path:
    path = _path(directory, header)
    partial = path.with_suffix(PARTIAL)
    with partial.open("wb") as file:
        write_file(file, header, entries)
        file.flush()
        os.fsync(file.fileno())
    partial.rename(path)
    sync_directory(directory)
    return path


def write_snapshot(root: Path, point: Point) -> Path:
    """Writes all records of a point."""
    directory = history_directory(root, point.number, point.history)
    directory.mkdir(parents=True, exist_ok=True)
    sync_directory(root)
    header = FileHeader(FileKind.SNAPSHOT, point.history, point.number, point.revision, len(point.records))
    return _create(directory, header, [point.records[key] for key in sorted(point.records)])


class ChangeLog:
    """A log that grows."""

    def __init__(self, root: Path, point: Point) -> None:
        directory = history_directory(root, point.number, point.history)
        self.path = _create(directory, FileHeader(FileKind.LOG, point.history, point.number, point.revision), [])
        self.bytes = self.path.stat().st_size

    def append(self, entries: list[Entry], revision: int) -> None:
        """Adds changes, complete up to a revision; they are on disk when this returns, or not at all."""
        try:
            with self.path.open("a+b") as file:
                append_block(file, [*entries, mark(revision)])
                file.flush()
                os.fsync(file.fileno())
        except OSError:
            os.truncate(self.path, self.bytes)  # a block that a full disk took only part of
            raise
        self.bytes = self.path.stat().st_size


def usable_blocks(path: Path) -> Iterator[Block]:
    """Blocks of a log up to its end or a torn last block; a damaged block that others follow is an error."""
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
    """The file ends before the block that can't be read does: no sync marker follows it."""
    end = 0
    try:
        for block in read_blocks(path):
            end = block.end
    except DamagedFileError:
        pass
    data = path.read_bytes()
    marker = _sync_marker(data)
    return marker is None or marker not in data[max(end, data.find(marker) + len(marker)) :]


def _sync_marker(data: bytes) -> bytes | None:
    """The sixteen bytes that end the header and each block."""
    import io

    import fastavro

    stream = io.BytesIO(data)
    try:
        reader = fastavro.block_reader(stream)
    except Exception:  # the library raises many kinds
        return None
    del reader
    return data[stream.tell() - 16 : stream.tell()]


def read_point(directory: Path, revision: int | None = None) -> Point:
    """The records of a history at its newest point, or the newest up to a revision."""
    found = files(directory)
    snapshots = [
        f for f in found if f.header.kind is FileKind.SNAPSHOT and (revision is None or f.header.revision <= revision)
    ]
    if not snapshots:
        raise EmptyArchiveError(f"{directory.name}: no snapshot up to revision {revision}")
    newest = snapshots[-1]
    point = Point(newest.header.history, newest.header.number, newest.header.revision)
    _load_snapshot(newest, point)
    for log in found:
        if log.header.kind is FileKind.LOG and log.header.revision >= newest.header.revision:
            _check_same(newest, log)
            _replay(log, point, revision)
    return point


def _load_snapshot(snapshot: ArchiveFile, point: Point) -> None:
    for block in read_blocks(snapshot.path):
        for entry in block.entries:
            point.records[entry.key] = entry
    if len(point.records) != snapshot.header.count:
        raise DamagedFileError(
            f"{snapshot.path.name}: {len(point.records)} records of {snapshot.header.count}: a block is missing"
        )


def _check_same(snapshot: ArchiveFile, log: ArchiveFile) -> None:
    if log.header.history != snapshot.header.history:
        raise DamagedFileError(f"{log.path.name}: of history {log.header.history}, not {snapshot.header.history}")


def _replay(log: ArchiveFile, point: Point, revision: int | None) -> None:
    if log.header.revision > point.revision:
        raise DamagedFileError(f"{log.path.name}: begins after {log.header.revision}, what comes before is missing")
    for block in usable_blocks(log.path):
        for entry in block.entries:
            if revision is None or entry.revision <= revision:
                point.apply(entry)


def verify(directory: Path) -> Point:
    """Reads every file of a history; the newest point, or an error that names file and block."""
    for file in files(directory):
        for _ in usable_blocks(file.path) if file.header.kind is FileKind.LOG else read_blocks(file.path):
            pass
    return read_point(directory)


def prune(directory: Path, keep: int) -> list[Path]:
    """Removes what lies before the newest `keep` snapshots; what was removed."""
    found = files(directory)
    snapshots = [f.header.revision for f in found if f.header.kind is FileKind.SNAPSHOT]
    if len(snapshots) <= keep:
        return []
    oldest = snapshots[-keep]
    removed = [f.path for f in found if f.header.revision < oldest]
    for path in removed:
        path.unlink()
    sync_directory(directory)
    return removed
