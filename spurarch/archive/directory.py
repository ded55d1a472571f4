"""The archive's directory: which files there are, and how they are created, appended to and removed.

Every history has a directory of its own, `<number>-<name>`. A file gets its name once it is complete: it is written
under another name, synced and renamed, and the directory is synced. A change log grows by whole blocks, each of which
is synced before the revision that it covers is published. A torn last block of a log is ignored.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from spurarch.archive.format import (
    Entry,
    FileHeader,
    FileKind,
    append_block,
    mark,
    read_header,
    write_file,
)
from spurarch.archive.state import ArchivedState
from spurarch.errors import SpurarchError

LOCK = "lock"
SUFFIX, PARTIAL = ".avro", ".partial"
REVISION_DIGITS = 16


class ArchiveBusyError(SpurarchError):
    """Another archiver writes to the directory."""


class EmptyArchiveError(SpurarchError):
    """There is nothing to read; the message names the directory."""


@dataclass(frozen=True, slots=True)
class ArchiveFile:
    """A file and what its header says."""

    path: Path
    header: FileHeader


def sync_directory(path: Path) -> None:
    """Syncs a directory, so that its names survive a crash of the machine."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


@contextmanager
def locked(root: Path) -> Iterator[None]:
    """Locks a directory for one archiver; raises `ArchiveBusyError` if another has locked it."""
    root.mkdir(parents=True, exist_ok=True)
    with (root / LOCK).open("w") as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise ArchiveBusyError(f"{root}: another archiver is at work") from None
        yield


def history_directory(root: Path, number: int, name: str) -> Path:
    """The directory of a history's files."""
    return root / f"{number:06d}-{name}"


def histories(root: Path) -> list[Path]:
    """The directories of all histories, oldest first."""
    return sorted(path for path in root.glob("[0-9]*-*") if path.is_dir())


def files(directory: Path) -> list[ArchiveFile]:
    """All complete files of a history, by revision, a snapshot before the log that follows it.

    Raises `DamagedFileError` for a header that can't be read.
    """
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


def write_snapshot(root: Path, state: ArchivedState) -> Path:
    """Writes a snapshot of all records; raises `OSError`."""
    directory = history_directory(root, state.number, state.history)
    directory.mkdir(parents=True, exist_ok=True)
    sync_directory(root)
    header = FileHeader(FileKind.SNAPSHOT, state.history, state.number, state.revision, len(state.records))
    return _create(directory, header, [state.records[key] for key in sorted(state.records)])


class ChangeLog:
    """A change log that is appended to, from the revision of `state` on."""

    def __init__(self, root: Path, state: ArchivedState) -> None:
        directory = history_directory(root, state.number, state.history)
        self.path = _create(directory, FileHeader(FileKind.LOG, state.history, state.number, state.revision), [])
        self.bytes = self.path.stat().st_size

    def append(self, entries: list[Entry], revision: int) -> None:
        """Appends all changes up to a revision; they are on disk when this returns, or none is after an `OSError`."""
        try:
            with self.path.open("a+b") as file:
                append_block(file, [*entries, mark(revision)])
                file.flush()
                os.fsync(file.fileno())
        except OSError:
            os.truncate(self.path, self.bytes)  # a full disk may hold a part of the block
            raise
        self.bytes = self.path.stat().st_size


def prune(directory: Path, keep: int) -> list[Path]:
    """Removes the files before the newest `keep` snapshots; returns their paths."""
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
