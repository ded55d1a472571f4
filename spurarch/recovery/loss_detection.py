"""Detects lost records: workers then report later epochs of their partitions than the partition records have."""

from __future__ import annotations

from dataclasses import dataclass

from spurarch.coordination.partition.state import TOKEN_BITS
from spurarch.protocol import wire
from spurarch.storage.history import HistoryGuard
from spurarch.storage.replica import Replica

MIN_WORKERS = 2  # that have to report unrecorded epochs, since a single worker may be faulty
MAX_TRACKED_WORKERS = 100


@dataclass(frozen=True, slots=True)
class _UnrecordedEpoch:
    """A partition epoch that a worker reported and that is later than the one in the partition's record."""

    zone: str
    epoch: int


class LossDetector:
    """Compares the partition epochs in heartbeats with those in the partition records."""

    def __init__(self, guard: HistoryGuard, replica: Replica) -> None:
        self._guard, self._replica = guard, replica
        self._unrecorded: dict[str, _UnrecordedEpoch] = {}  # by machine

    def observe(self, heartbeat: wire.Heartbeat) -> None:
        """Stores the epoch in a heartbeat, for `check`, if its partition has an earlier one on record."""
        partition = self._replica.state.partitions.get(heartbeat.zone)
        reported_epoch = heartbeat.fencing_token >> TOKEN_BITS
        if partition is not None and reported_epoch > partition.epoch and len(self._unrecorded) < MAX_TRACKED_WORKERS:
            self._unrecorded[heartbeat.machine] = _UnrecordedEpoch(heartbeat.zone, reported_epoch)

    async def check(self) -> None:
        """Marks the history as lost if `MIN_WORKERS` or more reported, since the last call, epochs that no record has.

        Brings the copy of the records up to date before it decides. Forgets the reported epochs in any case, also if
        too few workers reported any or the copy can't be brought up to date.
        """
        if not self._unrecorded:
            return
        unrecorded, self._unrecorded = self._unrecorded, {}
        if len(unrecorded) < MIN_WORKERS or not await self._replica.sync():
            return
        partitions = self._replica.state.partitions
        unexplained = [
            entry
            for entry in unrecorded.values()
            if entry.zone in partitions and entry.epoch > partitions[entry.zone].epoch
        ]
        if len(unexplained) >= MIN_WORKERS:
            self._guard.mark_lost(f"{len(unexplained)} workers show epochs that are not on record")
