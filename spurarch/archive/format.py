"""The archive's file format: Avro object container files (specification 1.11), compressed by zstandard, with checksums.

A snapshot holds all records at one revision. A change log holds the changes that follow, one block per batch. The last
entry of a batch is an end mark: the batch holds all changes up to its revision. Each entry carries a CRC-32 over its
fields, since Avro's sync markers show where a block ends, but not whether its contents were altered.
"""

from __future__ import annotations

import enum
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO

import fastavro

from spurarch.errors import SpurarchError

SCHEMA_VERSION = 1
CODEC = "zstandard"
MAX_BLOCK_BYTES = 1 << 30  # large enough that a batch is one block, which is written completely or torn
META_SCHEMA, META_HISTORY, META_NUMBER, META_REVISION, META_KIND, META_COUNT = (
    "spurarch.schema",
    "spurarch.history",
    "spurarch.number",
    "spurarch.revision",
    "spurarch.kind",
    "spurarch.count",
)
SCHEMA: dict[str, Any] = {
    "type": "record",
    "name": "Entry",
    "namespace": "spurarch.archive",
    "fields": [
        {"name": "revision", "type": "long"},
        {"name": "key", "type": "string"},  # empty in an end mark
        {"name": "value", "type": ["null", "bytes"]},  # JSON; null if the key was deleted, and in an end mark
        {"name": "checksum", "type": "long"},
    ],
}
_PARSED_SCHEMA = fastavro.parse_schema(SCHEMA)


class FileKind(enum.Enum):
    """Kind of a file; the value is part of the file name and the header."""

    SNAPSHOT = "snapshot"
    LOG = "log"


class DamagedFileError(SpurarchError):
    """A file of the archive is damaged or inconsistent; the message names the file, and the block if one is damaged."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A change, a record of a snapshot, or an end mark, which has no key."""

    revision: int
    key: str
    value: bytes | None

    @property
    def is_end_mark(self) -> bool:
        """Whether this entry ends a batch, so that all changes up to `revision` precede it."""
        return not self.key

    def checksum(self) -> int:
        """Returns the CRC-32 over all fields and their lengths."""
        value = b"-" if self.value is None else b"%d:%s" % (len(self.value), self.value)
        return zlib.crc32(b"%d %d:%s %s" % (self.revision, len(self.key), self.key.encode(), value))


@dataclass(frozen=True, slots=True)
class FileHeader:
    """The header of a file.

    Attributes:
        kind: Snapshot or change log.
        history: Name of the history.
        history_number: Number of the history, from 1.
        revision: Revision of the snapshot; in a change log, the revision after which it begins.
        record_count: Number of records in the snapshot; 0 in a change log.
    """

    kind: FileKind
    history: str
    history_number: int
    revision: int
    record_count: int = 0

    def metadata(self) -> dict[str, str]:
        """Returns the header as Avro metadata."""
        return {
            META_SCHEMA: str(SCHEMA_VERSION),
            META_HISTORY: self.history,
            META_NUMBER: str(self.history_number),
            META_REVISION: str(self.revision),
            META_KIND: self.kind.value,
            META_COUNT: str(self.record_count),
        }


def end_mark(revision: int) -> Entry:
    """Returns the entry that ends a batch of all changes up to a revision."""
    return Entry(revision, "", None)


def _encode_entry(entry: Entry) -> dict[str, object]:
    return {"revision": entry.revision, "key": entry.key, "value": entry.value, "checksum": entry.checksum()}


def write_file(file: BinaryIO, header: FileHeader, entries: Iterable[Entry]) -> None:
    """Writes a whole file: its header, and blocks if there are entries."""
    fastavro.writer(file, _PARSED_SCHEMA, map(_encode_entry, entries), codec=CODEC, metadata=header.metadata())


def append_block(file: BinaryIO, entries: Iterable[Entry]) -> None:
    """Appends one block to a file opened for reading and appending."""
    fastavro.writer(file, _PARSED_SCHEMA, map(_encode_entry, entries), codec=CODEC, sync_interval=MAX_BLOCK_BYTES)


@dataclass(frozen=True, slots=True)
class Block:
    """A block of a file.

    Attributes:
        number: Index in the file, from 0.
        entries: Its entries.
        end_offset: Offset of the first byte after the block.
    """

    number: int
    entries: tuple[Entry, ...]
    end_offset: int


def read_header(path: Path) -> FileHeader:
    """Reads the header of a file; raises `DamagedFileError`."""
    with path.open("rb") as file:
        return _decode_header(path, _open_block_reader(path, file))


def read_blocks(path: Path) -> Iterator[Block]:
    """Yields all blocks of a file in order; raises `DamagedFileError` at the first damaged or torn block."""
    size = path.stat().st_size
    with path.open("rb") as file:
        reader = _open_block_reader(path, file)
        number = 0
        while file.tell() < size:
            yield _read_block(path, reader, number, file)
            number += 1


def _open_block_reader(path: Path, file: BinaryIO) -> Any:
    try:
        return fastavro.block_reader(file)
    except Exception as err:  # fastavro raises many exception types
        raise DamagedFileError(f"{path.name}: no readable header: {err}") from None


def _decode_header(path: Path, reader: Any) -> FileHeader:
    meta = reader.metadata
    try:
        version = int(meta[META_SCHEMA])
        if version > SCHEMA_VERSION:
            raise DamagedFileError(f"{path.name}: schema {version}, this version reads up to {SCHEMA_VERSION}")
        return FileHeader(
            FileKind(meta[META_KIND]),
            meta[META_HISTORY],
            int(meta[META_NUMBER]),
            int(meta[META_REVISION]),
            int(meta[META_COUNT]),
        )
    except (KeyError, ValueError):
        raise DamagedFileError(f"{path.name}: not a file of the archive") from None


def _read_block(path: Path, reader: Any, number: int, file: BinaryIO) -> Block:
    try:
        entries = tuple(_decode_entry(item) for item in next(reader))
    except StopIteration:
        raise DamagedFileError(f"{path.name}: block {number} is torn") from None
    except Exception as err:  # an altered block can raise any exception type in fastavro
        raise DamagedFileError(f"{path.name}: block {number}: {type(err).__name__} {err}".rstrip()) from None
    return Block(number, entries, file.tell())


def _decode_entry(item: dict[str, Any]) -> Entry:
    entry = Entry(item["revision"], item["key"], item["value"])
    if item["checksum"] != entry.checksum():
        raise ValueError(f"checksum of {entry.key or 'mark'} at {entry.revision}")
    return entry
