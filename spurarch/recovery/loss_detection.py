"""Notices lost records by workers that show partition epochs which are not on record."""

from __future__ import annotations

from dataclasses import dataclass

from spurarch.coordination.partition.state import TOKEN_BITS
from spurarch.protocol import wire
from spurarch.storage.history import HistoryGuard
from spurarch.storage.replica import Replica

WORKERS_LEAST = 2  # a single worker may be faulty
WORKERS_KEPT = 100


@dataclass(frozen=True, slots=True)
class _UnrecordedEpoch:
    """A worker showed an epoch of its partition that is not on record here."""

    zone: str
    epoch: int


class LossDetector:
    """Compares the epochs in heartbeats with those on record."""

    def __init__(self, guard: HistoryGuard, replica: Replica) -> None:
        self._guard, self._replica = guard, replica
        self._unrecorded: dict[str, _UnrecordedEpoch] = {}  # by machine

    def observe(self, heartbeat: wire.Heartbeat) -> None:
        """Remembers a worker that shows a later epoch than its partition has on record."""
        partition = self._replica.state.partitions.get(heartbeat.zone)
        shown = heartbeat.fencing_token >> TOKEN_BITS
        if partition is not None and shown > partition.epoch and len(self._unrecorded) < WORKERS_KEPT:
            self._unrecorded[heartbeat.machine] = _UnrecordedEpoch(heartbeat.zone, shown)

    async def check(self) -> None:
        """Reports a loss if a copy that was brought up to date still lacks the epochs of several workers."""
        if not self._unrecorded:
            return
        unrecorded, self._unrecorded = self._unrecorded, {}
        if len(unrecorded) < WORKERS_LEAST or not await self._replica.sync():
            return
        partitions = self._replica.state.partitions
        unexplained = [
            seen for seen in unrecorded.values() if seen.zone in partitions and seen.epoch > partitions[seen.zone].epoch
        ]
        if len(unexplained) >= WORKERS_LEAST:
            self._guard.lose(f"{len(unexplained)} workers show epochs that are not on record")
