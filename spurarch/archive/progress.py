"""Publishes in the state service how far a history is archived."""

from __future__ import annotations

import time

import curio

from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.storage.history import ARCHIVED, OPEN, ArchivedRecord, decode_archived
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.store import Store
from spurarch.storage.transaction import TransactionStatus

PUBLISH_INTERVAL_S = 0.5  # each is a change of the state service, while records change
RIVAL_WAIT_S = 1.5  # another archiver that publishes within this time is running


class RivalArchiverError(SpurarchError):
    """Another archiver has published its progress a moment ago."""


class ProgressPublisher:
    """Tells the partition owners which revision is on disk, in the name of one archiver process."""

    def __init__(self, store: Store, archiver: str) -> None:
        self._store, self._archiver = store, archiver
        self._published, self._next_at = 0, 0.0

    def reset(self) -> None:
        """Starts again with another history."""
        self._published, self._next_at = 0, 0.0

    def covers(self, revision: int) -> bool:
        """Whether the revision was published."""
        return revision <= self._published

    def seconds_left(self, now: float) -> float:
        """How long until progress may be published again."""
        return max(0.0, self._next_at - now)

    async def publish(self, history: str, marker_version: int, revision: int) -> bool:
        """Publishes a revision if it is new and the time has come; False if the history was sealed."""
        if self.covers(revision) or time.monotonic() < self._next_at:
            return True
        self._next_at = time.monotonic() + PUBLISH_INTERVAL_S
        record = ArchivedRecord(history, revision, self._archiver)
        txn = wire.Txn([wire.Guard(OPEN + history, marker_version)], [wire.Put(ARCHIVED, record)])
        result = await self._store.txn(txn, Urgency.USERS)
        if result.status is TransactionStatus.COMMITTED:
            self._published = revision
        return result.status is not TransactionStatus.CONFLICT

    async def refuse_rival(self) -> None:
        """Raises `RivalArchiverError` if another archiver runs: each would publish its own progress only."""
        first = await self._store.get(ARCHIVED)
        if first is None:
            return
        await curio.sleep(RIVAL_WAIT_S)
        again = await self._store.get(ARCHIVED)
        if again is not None and again.version != first.version:
            raise RivalArchiverError(f"archiver {decode_archived(again.value).archiver} is at work")
