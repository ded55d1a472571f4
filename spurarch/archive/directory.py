"""The archive's directory: lists, creates, appends to and removes its files.

Each history has its own directory, `<number>-<name>`. A new file is written under a temporary name, synced and renamed,
and the directory is synced, so a file with its final name is complete. A change log grows by whole blocks, each of
which is synced before the revision that it covers is published. Readers ignore a torn last block of a log.
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
    end_mark,
    read_header,
    write_file,
)
from spurarch.archive.state import ArchivedState
from spurarch.errors import SpurarchError

LOCK_FILE = "lock"
FILE_SUFFIX, PARTIAL_SUFFIX = ".avro", ".partial"
REVISION_DIGITS = 16


class ArchiveBusyError(SpurarchError):
    """Another archiver process has locked the directory."""


class EmptyArchiveError(SpurarchError):
    """A directory has no matching history or snapshot; the message names the directory."""


@dataclass(frozen=True, slots=True)
class ArchiveFile:
    """Path and header of a file."""

    path: Path
    header: FileHeader


def sync_directory(path: Path) -> None:
    """Syncs a directory, so that created, renamed and removed files survive a crash of the machine."""
    handle = os.open(path, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


@contextmanager
def lock_archive(root: Path) -> Iterator[None]:
    """Locks an archive for this process; raises `ArchiveBusyError` if another process holds the lock."""
    root.mkdir(parents=True, exist_ok=True)
    with (root / LOCK_FILE).open("w") as file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            raise ArchiveBusyError(f"{root}: another archiver is at work") from None
        yield


def history_directory(root: Path, number: int, name: str) -> Path:
    """Returns the directory of a history's files."""
    return root / f"{number:06d}-{name}"


def list_history_directories(root: Path) -> list[Path]:
    """Returns the directories of all histories, oldest first."""
    return sorted(path for path in root.glob("[0-9]*-*") if path.is_dir())


def list_files(directory: Path) -> list[ArchiveFile]:
    """Returns all complete files of a history by revision, a snapshot before the change log that follows it.

    Raises `DamagedFileError` if a header can't be read.
    """
    complete = [ArchiveFile(path, read_header(path)) for path in directory.glob(f"*{FILE_SUFFIX}")]
    return sorted(complete, key=lambda f: (f.header.revision, f.header.kind is FileKind.LOG))


def _file_path(directory: Path, header: FileHeader) -> Path:
    return directory / f"{header.kind.value}-{header.revision:0{REVISION_DIGITS}d}{FILE_SUFFIX}"


def _create_file(directory: Path, header: FileHeader, entries: list[Entry]) -> Path:
    path = _file_path(directory, header)
    partial = path.with_suffix(PARTIAL_SUFFIX)
    with partial.open("wb") as file:
        write_file(file, header, entries)
        file.flush()
        os.fsync(file.fileno())
    partial.rename(path)
    sync_directory(directory)
    return path


def write_snapshot(root: Path, state: ArchivedState) -> Path:
    """Writes a snapshot of all records and returns its path; raises `OSError`."""
    directory = history_directory(root, state.history_number, state.history)
    directory.mkdir(parents=True, exist_ok=True)
    sync_directory(root)
    header = FileHeader(FileKind.SNAPSHOT, state.history, state.history_number, state.revision, len(state.records))
    return _create_file(directory, header, [state.records[key] for key in sorted(state.records)])


class ChangeLog:
    """A new change log that begins after the revision of `state`. Methods raise `OSError`."""

    def __init__(self, root: Path, state: ArchivedState) -> None:
        directory = history_directory(root, state.history_number, state.history)
        self.path = _create_file(
            directory, FileHeader(FileKind.LOG, state.history, state.history_number, state.revision), []
        )
        self.size_bytes = self.path.stat().st_size

    def append(self, entries: list[Entry], revision: int) -> None:
        """Appends all changes up to a revision and syncs them to disk; after an `OSError`, the log is unchanged."""
        try:
            with self.path.open("a+b") as file:
                append_block(file, [*entries, end_mark(revision)])
                file.flush()
                os.fsync(file.fileno())
        except OSError:
            os.truncate(self.path, self.size_bytes)  # if the disk is full, a part of the block may have been written
            raise
        self.size_bytes = self.path.stat().st_size


def prune(directory: Path, keep: int) -> list[Path]:
    """Removes all files older than the newest `keep` snapshots; returns the paths of the removed files."""
    complete = list_files(directory)
    snapshots = [f.header.revision for f in complete if f.header.kind is FileKind.SNAPSHOT]
    if len(snapshots) <= keep:
        return []
    oldest_kept = snapshots[-keep]
    removed = [f.path for f in complete if f.header.revision < oldest_kept]
    for path in removed:
        path.unlink()
    sync_directory(directory)
    return removed
