"""Records that a rebuilt history begins with, many in one value.

A rebuild writes one value for up to a transaction's worth of records, so that the history opens after a few hundred
changes instead of many thousands. Such records are read like others. Before one of them is first changed, or is a
condition of a change, one transaction writes all records of its value under their own keys and deletes the value.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct

if TYPE_CHECKING:
    from spurarch.storage.cluster_state import ClusterState
    from spurarch.storage.store import Store

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
    """Decodes a value under `SEED`; raises `msgspec.DecodeError`."""
    return _decoder.decode(raw)


class Seeds:
    """The values that have not been unpacked, by the keys of their records."""

    def __init__(self) -> None:
        self._packs: dict[str, PackedSeed] = {}
        self._pack_keys: dict[str, str] = {}  # by a record's key, that of the value that holds it

    def put(self, packed: PackedSeed) -> None:
        """Adds a value that was read."""
        self._packs[packed.key] = packed
        for record in packed.pack.records:
            self._pack_keys[record.key] = packed.key

    def drop(self, key: str) -> None:
        """Removes a value that was deleted: its records have keys of their own."""
        packed = self._packs.pop(key, None)
        for record in packed.pack.records if packed is not None else ():
            self._pack_keys.pop(record.key, None)

    def clear(self) -> None:
        """Removes all values, before they are read again."""
        self._packs.clear()
        self._pack_keys.clear()

    def holding(self, keys: Iterable[str]) -> list[PackedSeed]:
        """Returns the values that hold any of the records with these keys."""
        return [
            self._packs[name] for name in dict.fromkeys(self._pack_keys[key] for key in keys if key in self._pack_keys)
        ]


async def load_seeds(store: Store, state: ClusterState, seeds: Seeds, seen: set[str]) -> int:
    """Reads all shared values into `seeds` and their records into `state`, and adds the records' keys to `seen`.

    Returns the revision of the first page. Raises `StoreUnavailableError`.
    """
    seeds.clear()
    after: str | None = None
    first_revision: int | None = None
    while True:
        page = await store.page(SEED, after)
        first_revision = page.revision if first_revision is None else first_revision
        for item in page.items:
            packed = PackedSeed(item.key, item.version, decode_seed(item.value))
            seeds.put(packed)
            for record in packed.pack.records:
                seen.add(record.key)
                state.put_encoded(record.key, SEED_VERSION, record.value)
        if not page.more or not page.items:
            return first_revision
        after = page.items[-1].key


def pack(records: list[SeedRecord], most: int, value_bytes: int) -> list[SeedPack]:
    """Packs records into values of at most `value_bytes`.

    A value holds so few records that unpacking it, with its own deletion, makes at most `most` changes.
    """
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
