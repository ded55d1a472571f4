"""Records that a rebuilt history begins with, many in one value.

A rebuilding writes one value for up to a transaction's worth of records, so that the history opens after a few hundred
changes instead of many thousands. Such records are read like others. Before one of them is first changed, or is a condition
of a change, all records of its value are written under their own keys, and the value goes, in one transaction.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import Struct

SEED = "seed/"
SEED_VERSION = 1  # of a record that has no key of its own yet: below that of any key


class SeedRecord(Struct, array_like=True):
    """One record: its key, and its value as JSON."""

    key: str
    value: msgspec.Raw


class SeedPack(Struct):
    """The records of one value."""

    records: list[SeedRecord]


class PackedSeed(Struct):
    """A value that has not been unpacked yet, and its version."""

    key: str
    version: int
    pack: SeedPack


_decoder = msgspec.json.Decoder(SeedPack)


def decode_seed(raw: msgspec.Raw | bytes) -> SeedPack:
    """A value under `SEED`."""
    return _decoder.decode(raw)


class Seeds:
    """The values that have not been unpacked, by the keys of their records."""

    def __init__(self) -> None:
        self._packs: dict[str, PackedSeed] = {}
        self._of: dict[str, str] = {}  # by a record's key, that of the value that holds it

    def put(self, packed: PackedSeed) -> None:
        """A value was read."""
        self._packs[packed.key] = packed
        for record in packed.pack.records:
            self._of[record.key] = packed.key

    def drop(self, key: str) -> None:
        """A value is gone: its records have keys of their own."""
        packed = self._packs.pop(key, None)
        for record in packed.pack.records if packed is not None else ():
            self._of.pop(record.key, None)

    def clear(self) -> None:
        """Everything is read anew."""
        self._packs.clear()
        self._of.clear()

    def holding(self, keys: Iterable[str]) -> list[PackedSeed]:
        """The values that hold any of these records."""
        return [self._packs[name] for name in dict.fromkeys(self._of[key] for key in keys if key in self._of)]


def pack(records: list[SeedRecord], most: int, value_bytes: int) -> list[SeedPack]:
    """Records by values, each within the limits on values and, with its own deletion, on changes in a transaction."""
    out: list[SeedPack] = []
    size = 0
    for record in records:
        length = len(msgspec.json.encode(record)) + 1
        if not out or len(out[-1].records) >= most - 1 or size + length > value_bytes - 64:
            out.append(SeedPack([]))
            size = 0
        out[-1].records.append(record)
        size += length
    return out
