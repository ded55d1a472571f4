"""The last step of a rebuild: writes the rebuilt records under a prefix of their own, and opens the new history."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from spurarch.protocol import wire
from spurarch.recovery.rebuild_progress import RebuildContext, RebuildProgress, Step
from spurarch.recovery.rebuilt_records import RebuiltRecords
from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.history import (
    CURRENT,
    OPEN,
    PACKED,
    REBUILD,
    UNRESOLVED_PREFIX,
    HistoryRecord,
    OpenMarker,
    PackedFinals,
    packed_key,
)
from spurarch.storage.records import UNRESOLVED, FinalRecord, LeaderRecord, PartitionRecord
from spurarch.storage.seeds import SEED, SeedRecord, pack

SEEDED_ABOVE_S = 2.0  # of changes at the published rate: more records than that share values
PACKED_FINAL_BYTES = 60  # of one packed final state as JSON, with room for a long name


class HistoryWriter:
    """Writes a history that follows a lost one."""

    def __init__(self, context: RebuildContext, progress: RebuildProgress) -> None:
        self._limits, self._zones = context.deployment.state, context.deployment.zones
        self._progress = progress

    async def write(self, lost: HistoryRecord, rebuilt: RebuiltRecords) -> HistoryRecord:
        """Writes all records and opens the history; raises `ClaimLostError` or `StoreUnavailableError`."""
        packed = pack_finals(rebuilt.finals, self._limits.value_bytes)
        history = self._new_history(lost, len(packed), rebuilt.uncertain)
        contents = dict(self._contents(rebuilt, packed))
        if len(contents) > SEEDED_ABOVE_S * self._limits.write_rps:
            contents = _share_values(contents, self._limits)
            history.seeded = True
        puts = [wire.Put(history.prefix + key, value) for key, value in contents.items()]
        for batch in _batches(puts, self._limits.transaction_changes - 1):  # each also changes the claim
            await self._progress.commit(list(batch))
        await self._open(history)
        return history

    def _new_history(self, lost: HistoryRecord, packed: int, uncertain: bool) -> HistoryRecord:
        return HistoryRecord(
            self._progress.name,
            lost.number + 1,
            self._progress.epoch,
            packed,
            uncertain,
            lost.name,
            lost.archived_answers,
            lost.installation,
        )

    async def _open(self, history: HistoryRecord) -> None:
        marker = OPEN + history.name
        changes: list[wire.Put | wire.Delete] = [
            wire.Put(CURRENT, history),
            wire.Put(marker, OpenMarker(history.number)),
            wire.Delete(REBUILD + history.name),
            # A version that knows no history would lead in the first one's keys; this leader's record has no lease.
            wire.Put(records.LEADER, LeaderRecord("", "")),
        ]
        await self._progress.commit(changes, [wire.Guard(marker, 0)], Step.OPENED)

    def _contents(self, rebuilt: RebuiltRecords, packed: list[PackedFinals]) -> Iterator[tuple[str, object]]:
        """Keys and values of the new history, without its prefix."""
        for job, record in rebuilt.jobs.items():
            yield records.JOB + job, record
        for job, admitted in rebuilt.admitted.items():
            yield records.ADMISSION + job, admitted
        for key, allocation in rebuilt.allocations.items():
            yield str(key), allocation
        for job, final in rebuilt.finals.items():
            if final.state == UNRESOLVED:
                yield records.FINAL + job, final
        for unresolved in rebuilt.unresolved:
            yield UNRESOLVED_PREFIX + unresolved.job, unresolved
        for number, finals in enumerate(packed):
            yield f"{PACKED}{number}", finals
        for zone in self._zones:
            yield records.PARTITION + zone, PartitionRecord("", self._progress.epoch)


def pack_finals(finals: dict[str, FinalRecord], value_bytes: int) -> list[PackedFinals]:
    """Packs the final states that are certain into values of less than `value_bytes`, by the hash of the job id."""
    certain = {job: final for job, final in finals.items() if final.state != UNRESOLVED}
    count = -(-2 * PACKED_FINAL_BYTES * len(certain) // value_bytes)  # rounded up
    while count:
        packed = [PackedFinals({}) for _ in range(count)]
        for job, final in certain.items():
            number = int(packed_key(job, count)[len(PACKED) :])
            packed[number].jobs[job] = final.state, final.tasks
        if all(len(wire.encode(finals_of_value)) < value_bytes for finals_of_value in packed):
            return packed
        count *= 2
    return []


def _share_values(contents: dict[str, object], limits: StateLimits) -> dict[str, object]:
    """Puts many records in use into one value; partitions change owners at once, and keep keys of their own."""
    shared = [key for key in contents if key.startswith(records.LIVE) and not key.startswith(records.PARTITION)]
    seeds = [SeedRecord(key, msgspec.Raw(wire.encode(contents[key]))) for key in shared]
    seeded = set(shared)
    out = {key: value for key, value in contents.items() if key not in seeded}
    for number, shared_value in enumerate(pack(seeds, limits.transaction_changes, limits.value_bytes)):
        out[f"{SEED}{number}"] = shared_value
    return out


def _batches(puts: list[wire.Put], most_changes: int) -> Iterator[list[wire.Put]]:
    """Splits changes into transactions within the limits on their number and bytes."""
    batch: list[wire.Put] = []
    size = 0
    for put in puts:
        length = len(wire.encode(put))
        if batch and (len(batch) >= most_changes or size + length > records.TXN_BYTES):
            yield batch
            batch, size = [], 0
        batch.append(put)
        size += length
    if batch:
        yield batch
