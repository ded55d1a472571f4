"""Publishes in the state service the revision up to which a history is archived."""

from __future__ import annotations

import time

import curio

from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.storage.history import ARCHIVED, OPEN, ArchivedRecord, decode_archived
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.store import Store
from spurarch.storage.transaction import TransactionStatus

PUBLISH_INTERVAL_S = 0.5  # limits the writes to the state service while records change
RIVAL_DETECTION_S = 1.5  # another archiver is running if it publishes within this time


class RivalArchiverError(SpurarchError):
    """Another archiver is running: it published its progress within `RIVAL_DETECTION_S` seconds."""


class ProgressPublisher:
    """Publishes the newest revision on disk, for one archiver process.

    Partition owners wait for it before workers may discard terminal attempts, and responses to users wait for it if
    `responses_await_archive` is set.
    """

    def __init__(self, store: Store, archiver_id: str) -> None:
        self._store, self._archiver_id = store, archiver_id
        self._published_revision, self._next_publish_at = 0, 0.0

    def reset(self) -> None:
        """Clears the progress, before another history is archived."""
        self._published_revision, self._next_publish_at = 0, 0.0

    def is_published(self, revision: int) -> bool:
        """Whether this or a higher revision was published."""
        return revision <= self._published_revision

    def seconds_until_due(self, now: float) -> float:
        """Returns the seconds until progress may be published again; `now` is a time of the monotonic clock."""
        return max(0.0, self._next_publish_at - now)

    async def publish(self, history: str, marker_version: int, revision: int) -> bool:
        """Publishes a revision if it is new and `PUBLISH_INTERVAL_S` has passed; False if the history was sealed.

        Returns True in all other cases, also if publishing failed; `is_published` shows whether it succeeded.
        """
        if self.is_published(revision) or time.monotonic() < self._next_publish_at:
            return True
        self._next_publish_at = time.monotonic() + PUBLISH_INTERVAL_S
        record = ArchivedRecord(history, revision, self._archiver_id)
        txn = wire.Txn([wire.Guard(OPEN + history, marker_version)], [wire.Put(ARCHIVED, record)])
        result = await self._store.txn(txn, Urgency.USERS)
        if result.status is TransactionStatus.COMMITTED:
            self._published_revision = revision
        return result.status is not TransactionStatus.CONFLICT

    async def check_no_rival(self) -> None:
        """Raises `RivalArchiverError` if another archiver is running: each would overwrite the other's progress."""
        first = await self._store.get(ARCHIVED)
        if first is None:
            return
        await curio.sleep(RIVAL_DETECTION_S)
        second = await self._store.get(ARCHIVED)
        if second is not None and second.version != first.version:
            raise RivalArchiverError(f"archiver {decode_archived(second.value).archiver} is at work")
