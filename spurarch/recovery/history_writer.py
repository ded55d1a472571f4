"""The last step of a rebuild: writes the rebuilt records under the new history's prefix, and opens that history."""

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
from spurarch.storage.transaction import BYTES_PER_CHANGE, TransactionSize, transaction_limits

MAX_UNSHARED_WRITE_S = 2.0  # records share values if writing each under its own key takes longer at the published rate
PACKED_FINAL_BYTES = 60  # JSON of one packed final state, with a margin for a long job id


class HistoryWriter:
    """Writes the history that replaces a lost one."""

    def __init__(self, context: RebuildContext, progress: RebuildProgress) -> None:
        self._limits, self._zones = context.deployment.state, context.deployment.zones
        self._progress = progress

    async def write(self, lost_history: HistoryRecord, rebuilt: RebuiltRecords) -> HistoryRecord:
        """Writes all records, opens the new history and returns it.

        Raises `ClaimLostError` or `StoreUnavailableError`.
        """
        packed = pack_finals(rebuilt.finals, self._limits.value_bytes)
        history = self._new_history(lost_history, len(packed), rebuilt.jobs_may_be_missing)
        values_by_key = dict(self._keys_and_values(rebuilt, packed))
        if len(values_by_key) > MAX_UNSHARED_WRITE_S * self._limits.write_rps:
            values_by_key = _share_values(values_by_key, self._limits)
            history.seeded = True
        puts = [wire.Put(history.prefix + key, value) for key, value in values_by_key.items()]
        for batch in _batches(puts, transaction_limits(self._limits)):
            await self._progress.commit(list(batch))
        await self._open(history)
        return history

    def _new_history(
        self, lost_history: HistoryRecord, packed_value_count: int, jobs_may_be_missing: bool
    ) -> HistoryRecord:
        return HistoryRecord(
            self._progress.name,
            lost_history.number + 1,
            self._progress.epoch,
            packed_value_count,
            jobs_may_be_missing,
            lost_history.name,
            lost_history.responses_await_archive,
            lost_history.installation,
        )

    async def _open(self, history: HistoryRecord) -> None:
        marker = OPEN + history.name
        changes: list[wire.Put | wire.Delete] = [
            wire.Put(CURRENT, history),
            wire.Put(marker, OpenMarker(history.number)),
            wire.Delete(REBUILD + history.name),
            # A controller without recovery would become leader under the keys of the first history. This leader
            # record, which has no lease and so never expires, prevents that.
            wire.Put(records.LEADER, LeaderRecord("", "")),
        ]
        await self._progress.commit(changes, [wire.Guard(marker, 0)], Step.OPENED)

    def _keys_and_values(self, rebuilt: RebuiltRecords, packed: list[PackedFinals]) -> Iterator[tuple[str, object]]:
        """Yields the keys, without prefix, and the values of the new history's records."""
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
    """Packs the resolved final states into values of less than `value_bytes` by a hash of the job id.

    Returns no values if there are no resolved final states.
    """
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


def _share_values(values_by_key: dict[str, object], limits: StateLimits) -> dict[str, object]:
    """Returns the keys and values after packing records other than final ones into shared values.

    Partition records keep their own keys, because controllers change them as soon as the history is open.
    """
    shared = [key for key in values_by_key if key.startswith(records.LIVE) and not key.startswith(records.PARTITION)]
    seeds = [SeedRecord(key, msgspec.Raw(wire.encode(values_by_key[key]))) for key in shared]
    seeded = set(shared)
    out = {key: value for key, value in values_by_key.items() if key not in seeded}
    for number, shared_value in enumerate(pack(seeds, limits.transaction_changes, limits.value_bytes)):
        out[f"{SEED}{number}"] = shared_value
    return out


def _batches(puts: list[wire.Put], limits: TransactionSize) -> Iterator[list[wire.Put]]:
    """Yields one batch of changes for each transaction, which also has a change that renews the claim."""
    claim = TransactionSize(1, 0, BYTES_PER_CHANGE)
    batch: list[wire.Put] = []
    batch_size = claim
    for put in puts:
        size = TransactionSize(1, 0, len(wire.encode(put)) + 1)
        if batch and not batch_size.plus(size).fits_in(limits):
            yield batch
            batch, batch_size = [], claim
        batch.append(put)
        batch_size = batch_size.plus(size)
    if batch:
        yield batch
