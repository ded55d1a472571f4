"""The archive's files: Avro object container files (specification 1.11), compressed by zstandard, with checksums.

A snapshot holds every record at one revision. A change log holds the changes that follow: a block for each batch, which
ends with a mark that says up to which revision the batch is complete. Every entry carries a CRC-32 over its fields,
since Avro's own sync markers tell where a block ends, but not whether its contents were altered.
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
BLOCK_BYTES_MOST = 1 << 30  # so that a batch is one block, and is torn as a whole
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
        {"name": "key", "type": "string"},  # empty in a mark
        {"name": "value", "type": ["null", "bytes"]},  # JSON; null: the key was deleted
        {"name": "checksum", "type": "long"},
    ],
}
_PARSED = fastavro.parse_schema(SCHEMA)


class FileKind(enum.Enum):
    """What a file holds."""

    SNAPSHOT = "snapshot"
    LOG = "log"


class DamagedFileError(SpurarchError):
    """A file of the archive can't be trusted; the message names file and block."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One change, one record of a snapshot, or a mark (no key)."""

    revision: int
    key: str
    value: bytes | None

    @property
    def is_mark(self) -> bool:
        """Whether this is a mark: all changes up to `revision` come before it."""
        return not self.key

    def checksum(self) -> int:
        """CRC-32 over all fields, with their lengths."""
        value = b"-" if self.value is None else b"%d:%s" % (len(self.value), self.value)
        return zlib.crc32(b"%d %d:%s %s" % (self.revision, len(self.key), self.key.encode(), value))


@dataclass(frozen=True, slots=True)
class FileHeader:
    """The header of a file: what it holds, of which history and from which revision."""

    kind: FileKind
    history: str
    number: int
    revision: int  # of a snapshot; of a log, the revision after which it begins
    count: int = 0  # of a snapshot: records in it

    def metadata(self) -> dict[str, str]:
        """The header as Avro metadata."""
        return {
            META_SCHEMA: str(SCHEMA_VERSION),
            META_HISTORY: self.history,
            META_NUMBER: str(self.number),
            META_REVISION: str(self.revision),
            META_KIND: self.kind.value,
            META_COUNT: str(self.count),
        }


def mark(revision: int) -> Entry:
    """The mark that ends a batch of all changes up to a revision."""
    return Entry(revision, "", None)


def _encode(entry: Entry) -> dict[str, object]:
    return {"revision": entry.revision, "key": entry.key, "value": entry.value, "checksum": entry.checksum()}


def write_file(file: BinaryIO, header: FileHeader, entries: Iterable[Entry]) -> None:
    """Writes a whole file: its header and, if there are entries, blocks of them."""
    fastavro.writer(file, _PARSED, map(_encode, entries), codec=CODEC, metadata=header.metadata())


def append_block(file: BinaryIO, entries: Iterable[Entry]) -> None:
    """Appends one block to a file opened for reading and appending."""
    fastavro.writer(file, _PARSED, map(_encode, entries), codec=CODEC, sync_interval=BLOCK_BYTES_MOST)


@dataclass(frozen=True, slots=True)
class Block:
    """Entries that were written together, and where in the file they end."""

    number: int
    entries: tuple[Entry, ...]
    end: int


def read_header(path: Path) -> FileHeader:
    """Reads the header of a file. Raises `DamagedFileError`."""
    with path.open("rb") as file:
        return _header(path, _open_blocks(path, file))


def read_blocks(path: Path) -> Iterator[Block]:
    """Reads all blocks of a file; raises `DamagedFileError`, which names the first block that can't be trusted."""
    size = path.stat().st_size
    with path.open("rb") as file:
        reader = _open_blocks(path, file)
        number = 0
        while file.tell() < size:
            yield _read_block(path, reader, number, file)
            number += 1


def _open_blocks(path: Path, file: BinaryIO) -> Any:
    try:
        return fastavro.block_reader(file)
    except Exception as err:  # the library raises many kinds
        raise DamagedFileError(f"{path.name}: no readable header: {err}") from None


def _header(path: Path, reader: Any) -> FileHeader:
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
        entries = tuple(_decode(item) for item in next(reader))
    except StopIteration:
        raise DamagedFileError(f"{path.name}: block {number} is torn") from None
    except Exception as err:  # whatever an altered block makes the decoder raise
        raise DamagedFileError(f"{path.name}: block {number}: {type(err).__name__} {err}".rstrip()) from None
    return Block(number, entries, file.tell())


def _decode(item: dict[str, Any]) -> Entry:
    entry = Entry(item["revision"], item["key"], item["value"])
    if item["checksum"] != entry.checksum():
        raise ValueError(f"checksum of {entry.key or 'mark'} at {entry.revision}")
    return entry
