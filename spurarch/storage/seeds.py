"""Seeds: values that hold many of the records with which a rebuilt history begins.

A rebuild writes one value for as many records as one transaction can later unpack. So the history opens after a few
hundred changes instead of many thousands. A controller that loads the records treats those in seeds like all others.
Before a record in a seed is written or guarded for the first time, one transaction unpacks the seed: it writes all
records of the seed under their own keys and deletes the seed. If the limits of the state service were lowered since the
rebuild, several transactions unpack it, and each but the last one rewrites the seed with the remaining records.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct

from spurarch.storage.transaction import BYTES_PER_CHANGE, BYTES_PER_REQUEST, MAX_REQUEST_BYTES

if TYPE_CHECKING:
    from spurarch.storage.cluster_state import ClusterState
    from spurarch.storage.store import Store

log = logging.getLogger(__name__)

SEED = "seed/"
SEED_VERSION = 1  # version of a record without a key of its own; lower than the version of any stored key


class SeedRecord(Struct, array_like=True):
    """One record: its key and its JSON value."""

    key: str
    value: msgspec.Raw


class SeedPack(Struct):
    """The records that share one value."""

    records: list[SeedRecord]


class PackedSeed(Struct):
    """A shared value that has not been unpacked yet: its key, its version and its records."""

    key: str
    version: int
    pack: SeedPack


_decoder = msgspec.json.Decoder(SeedPack)


def decode_seed(raw: msgspec.Raw | bytes) -> SeedPack:
    """Decodes a value under `SEED`. Raises `msgspec.DecodeError`."""
    return _decoder.decode(raw)


class Seeds:
    """The shared values that have not been unpacked yet, indexed by the keys of their records."""

    def __init__(self) -> None:
        self._packs: dict[str, PackedSeed] = {}
        self._pack_keys: dict[str, str] = {}  # by record key, the key of its shared value

    def put(self, packed: PackedSeed) -> None:
        """Adds a shared value, or replaces an earlier version of it."""
        known = self._packs.get(packed.key)
        if known is not None and known.version >= packed.version:
            return
        self.drop(packed.key)
        self._packs[packed.key] = packed
        for record in packed.pack.records:
            self._pack_keys[record.key] = packed.key

    def put_encoded(self, key: str, version: int, value: msgspec.Raw) -> None:
        """Decodes and adds a shared value; logs one that can't be decoded, and does nothing for any other key."""
        if not key.startswith(SEED):
            return
        try:
            self.put(PackedSeed(key, version, decode_seed(value)))
        except msgspec.DecodeError as err:
            log.error("unreadable record record=%s error=%s", key, err)

    def drop(self, key: str) -> None:
        """Removes a shared value after it was unpacked and deleted; does nothing for any other key."""
        packed = self._packs.pop(key, None)
        for record in packed.pack.records if packed is not None else ():
            self._pack_keys.pop(record.key, None)

    def clear(self) -> None:
        """Removes all shared values, before they are read again."""
        self._packs.clear()
        self._pack_keys.clear()

    def holding(self, keys: Iterable[str]) -> list[PackedSeed]:
        """Returns the shared values that hold any of the records with these keys."""
        return [
            self._packs[pack_key]
            for pack_key in dict.fromkeys(self._pack_keys[key] for key in keys if key in self._pack_keys)
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


def pack(records: list[SeedRecord], max_changes: int, value_bytes: int) -> list[SeedPack]:
    """Packs records into values of at most `value_bytes`, each of which one transaction can unpack.

    Each value holds at most `max_changes - 1` records, so that unpacking it takes at most `max_changes` changes: one
    for each record, and the deletion of the value.
    """
    packs: list[SeedPack] = []
    pack_bytes = 0
    for record in records:
        record_bytes = len(msgspec.json.encode(record)) + 1
        request_bytes = pack_bytes + record_bytes + BYTES_PER_CHANGE * (len(packs[-1].records) + 2 if packs else 2)
        if (
            not packs
            or len(packs[-1].records) >= max_changes - 1
            or pack_bytes + record_bytes > value_bytes - 64
            or request_bytes > MAX_REQUEST_BYTES - BYTES_PER_REQUEST
        ):
            packs.append(SeedPack([]))
            pack_bytes = 0
        packs[-1].records.append(record)
        pack_bytes += record_bytes
    return packs


def split_pack(packed: SeedPack, max_changes: int) -> tuple[list[SeedRecord], SeedPack]:
    """Returns the records that one transaction can unpack, and the remaining ones, which keep the shared value."""
    count = min(len(packed.records), max_changes - 1)  # one change deletes the value or writes the remaining records
    return packed.records[:count], SeedPack(packed.records[count:])
