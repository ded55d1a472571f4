"""Follows the state service: a consistent snapshot first, then every change.

    CONNECTING -> READING -> FOLLOWING -> (READING again, when changes were missed)
        any of them -> SEALED once the history that is followed is over

Pages of a reading are answered at different revisions. They become one by replaying, from the revision of the first page,
every change since: whatever a page holds that is newer is brought about once more, and comes out the same.
"""

from __future__ import annotations

import enum
import logging
import os
import time
from dataclasses import dataclass
from pathlib import Path

import curio

from spurarch.archive.directory import ChangeLog, Point, write_snapshot
from spurarch.archive.format import Entry
from spurarch.protocol import wire
from spurarch.storage.errors import RevisionTooOldError, StoreUnavailableError
from spurarch.storage.history import (
    ARCHIVED,
    CURRENT,
    HISTORY,
    OPEN,
    PACKED,
    UNARCHIVED,
    VERIFY_AFTER_S,
    ArchivedRecord,
    HistoryRecord,
    decode_archived,
    decode_history,
    is_record_key,
)
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import FINAL, LIVE
from spurarch.storage.seeds import SEED
from spurarch.storage.store import Store
from spurarch.storage.transaction import TransactionStatus

log = logging.getLogger(__name__)

WATCH_MS = 2000
BATCH_S = 0.1  # changes are gathered for so long: a sync of the disk each
PUBLISH_S = 0.5  # a change of the state service each, while records change
RIVAL_LOOK_S = 1.5  # another archiver that publishes within this is at work
AGAIN_S = 0.5
SNAPSHOT_LOG_BYTES = 8 << 20  # of changes, after which a new snapshot begins
PREFIXES = (LIVE, FINAL, PACKED, SEED)


class FollowerPhase(enum.Enum):
    """Where the archiver stands."""

    CONNECTING = "connecting"
    READING = "reading"
    FOLLOWING = "following"
    SEALED = "sealed"


_NEXT = {
    FollowerPhase.CONNECTING: {FollowerPhase.READING},
    FollowerPhase.READING: {FollowerPhase.FOLLOWING, FollowerPhase.CONNECTING, FollowerPhase.SEALED},
    FollowerPhase.FOLLOWING: {FollowerPhase.READING, FollowerPhase.SEALED},
    FollowerPhase.SEALED: {FollowerPhase.READING},
}


class RivalArchiverError(Exception):
    """Another archiver has published its progress a moment ago."""


class OtherInstallationError(Exception):
    """State service and archive are not those of the installation that is meant."""


@dataclass(slots=True)
class FollowerCounts:
    """What was done since the start."""

    snapshots: int = 0
    batches: int = 0
    changes: int = 0
    bytes_logged: int = 0
    published: int = 0


class Follower:
    """Keeps an archive of the history in force, and stops at any sign that it is over."""

    def __init__(self, store: Store, root: Path, earlier: Point | None = None, installation: str = "") -> None:
        self._store, self._root, self._earlier, self._installation = store, root, earlier, installation
        self.name = os.urandom(6).hex()  # of this archiver's process
        self.phase = FollowerPhase.CONNECTING
        self.point: Point | None = earlier
        self.counts = FollowerCounts()
        self._history: HistoryRecord | None = None
        self._current: Entry | None = None  # its own record, which is archived like the others
        self._log: ChangeLog | None = None
        self._revision = 0  # followed so far, with what is no record of the history
        self._published, self._publish_at = 0, 0.0
        self._marker_version = 0
        self._verified_at = 0.0

    def _advance(self, phase: FollowerPhase) -> None:
        if phase is self.phase:
            return
        if phase not in _NEXT[self.phase]:
            raise RuntimeError(f"{self.phase} -> {phase}")
        log.info("archive phase changed phase=%s", phase.value)
        self.phase = phase

    async def run(self) -> None:
        """Follows until cancelled; raises if another archiver is at work, or the disk fails."""
        yielded = False
        while True:
            try:
                if not yielded:  # the state service may be out as this starts
                    await self._yield_to_rival()
                    yielded = True
                await self._step()
            except RevisionTooOldError:
                log.warning("archive missed changes, reading all records again")
                self._advance(FollowerPhase.READING)
            except StoreUnavailableError as err:
                log.info("archive cannot reach the state service error=%s", err)
                await curio.sleep(AGAIN_S)

    async def _step(self) -> None:
        if self.phase in (FollowerPhase.CONNECTING, FollowerPhase.SEALED):
            await self._connect()
        elif self.phase is FollowerPhase.READING:
            await self._read()
        else:
            await self._follow()

    async def _yield_to_rival(self) -> None:
        """Two archivers at once would both be right, but each would tell of its own progress only."""
        first = await self._store.get(ARCHIVED)
        if first is None:
            return
        await curio.sleep(RIVAL_LOOK_S)
        again = await self._store.get(ARCHIVED)
        if again is not None and again.version != first.version:
            raise RivalArchiverError(f"archiver {decode_archived(again.value).archiver} is at work")

    # Reading

    async def _connect(self) -> None:
        """Finds the history in force; after one was sealed, the next."""
        item = await self._store.get(CURRENT)
        history = decode_history(item.value) if item is not None else None
        if history is None or (self._history is not None and history.number <= self._history.number):
            await curio.sleep(AGAIN_S)
            return
        marker = await self._store.get(OPEN + history.name)
        if marker is None:
            await curio.sleep(AGAIN_S)
            return
        if history.installation != self._installation:
            raise OtherInstallationError(f"the state service holds installation {history.installation!r}")
        self._marker_version = marker.version
        self._history, self._log, self._revision = history, None, 0
        self._current = Entry(item.version, CURRENT, bytes(item.value)) if item is not None else None
        if self._earlier is not None and self._earlier.history == history.name:
            self._revision = self._earlier.revision  # a state service that has gone back since is not followed
        self._advance(FollowerPhase.READING)

    async def _read(self) -> None:
        """A consistent snapshot: pages, and the changes since the first of them."""
        assert self._history is not None
        history = self._history
        point = Point(history.name, history.number, 0)
        if self._current is not None:
            point.apply(self._current)
        first: int | None = None
        for prefix in PREFIXES:
            after: str | None = None
            while True:
                page = await self._store.page(history.prefix + prefix, after)
                first = page.revision if first is None else first
                if page.revision < max(first, self._revision):
                    await self._seal_in_store(f"revision {page.revision} after {max(first, self._revision)}")
                    return
                for item in page.items:
                    self._take(point, Entry(item.version, item.key[len(history.prefix) :], bytes(item.value)))
                if not page.more or not page.items:
                    break
                after = page.items[-1].key
        assert first is not None
        changes = await self._store.watch(first, 0)
        entries = self._entries(changes)
        if entries is None:
            return
        for entry in entries:
            self._take(point, entry)
        point.revision = changes.revision
        if await self._store.get(OPEN + history.name) is None:
            self._seal("its marker is gone")
            return
        self._begin_log(point, changes.revision)
        self._advance(FollowerPhase.FOLLOWING)

    def _begin_log(self, point: Point, revision: int) -> None:
        write_snapshot(self._root, point)
        self._log = ChangeLog(self._root, point)
        self.point, self._revision = point, revision
        self.counts.snapshots += 1
        log.info("archive snapshot written records=%d revision=%d", len(point.records), point.revision)

    # Following

    async def _follow(self) -> None:
        started = time.monotonic()
        wait_ms = WATCH_MS if self._covered else int(1000 * max(0.0, self._publish_at - started))
        changes = await self._store.watch(self._revision, wait_ms)
        if changes.revision < self._revision:
            await self._seal_in_store(f"revision {changes.revision} after {self._revision}")
            return
        if not await self._still_open():
            return
        entries = self._entries(changes)
        if entries is None:
            return
        if entries:
            self._append(entries, changes.revision)
        self._revision = changes.revision
        await self._publish()
        await curio.sleep(BATCH_S)

    def _entries(self, changes: wire.Changes) -> list[Entry] | None:
        """The changes of the history's records, in order; None once it is over."""
        assert self._history is not None
        prefix, out = self._history.prefix, []
        for event in sorted(changes.events, key=lambda e: e.version):
            key = event.put or event.delete or ""
            if event.delete == OPEN + self._history.name:
                self._seal("its marker was deleted")
                return None
            if event.put == CURRENT and decode_history(event.value).name == self._history.name:
                out.append(Entry(event.version, CURRENT, bytes(event.value)))
            if key.startswith(HISTORY):
                continue
            if not key.startswith(prefix):
                if event.put is None or key.startswith(UNARCHIVED) or not is_record_key(key):
                    continue
                self._seal(f"{key} was written outside it")
                return None
            key = key[len(prefix) :]
            if key.startswith(PREFIXES) and not key.startswith(UNARCHIVED):
                out.append(Entry(event.version, key, bytes(event.value) if event.put else None))
        return out

    @staticmethod
    def _take(point: Point, entry: Entry) -> None:
        if not entry.key.startswith(UNARCHIVED):
            point.apply(entry)

    def _append(self, entries: list[Entry], revision: int) -> None:
        assert self.point is not None
        assert self._log is not None
        before = self._log.bytes
        self._log.append(entries, revision)
        for entry in entries:
            self.point.apply(entry)
        self.point.revision = revision
        self.counts.batches += 1
        self.counts.changes += len(entries)
        self.counts.bytes_logged += self._log.bytes - before
        if self._log.bytes > SNAPSHOT_LOG_BYTES:
            self._begin_log(self.point, self._revision)

    async def _still_open(self) -> bool:
        """Looks at the marker now and then: data may have gone back to an earlier history with a higher revision."""
        assert self._history is not None
        now = time.monotonic()
        if now - self._verified_at < VERIFY_AFTER_S:
            return True
        marker = await self._store.get(OPEN + self._history.name)
        self._verified_at = now
        if marker is not None and marker.version == self._marker_version:
            return True
        self._seal("its marker is gone, or another one")
        return False

    async def _publish(self) -> None:
        """Tells the owners of partitions what is on disk; only after records have changed, since telling is a change."""
        assert self.point is not None
        assert self._history is not None
        if self._covered or time.monotonic() < self._publish_at:
            return
        self._publish_at = time.monotonic() + PUBLISH_S
        revision = self.point.revision
        record = ArchivedRecord(self._history.name, revision, self.name)
        guard = wire.Guard(OPEN + self._history.name, self._marker_version)
        result = await self._store.txn(wire.Txn([guard], [wire.Put(ARCHIVED, record)]), Urgency.USERS)
        if result.status is TransactionStatus.COMMITTED:
            self._published = revision
            self.counts.published += 1
        elif result.status is TransactionStatus.CONFLICT:
            self._seal("its marker is gone")

    @property
    def _covered(self) -> bool:
        """What is on disk has been published."""
        return self.point is not None and self.point.revision <= self._published

    # The end

    def _seal(self, reason: str) -> None:
        """Nothing more is taken into this history's archive."""
        assert self._history is not None
        log.warning("archive history sealed history=%s reason=%s", self._history.name, reason)
        self._published, self._publish_at = 0, 0.0
        self._advance(FollowerPhase.SEALED)

    async def _seal_in_store(self, reason: str) -> None:
        """A state service that went back: nobody may go on in the history that it shows, not even who just started."""
        assert self._history is not None
        self._seal(reason)
        key = OPEN + self._history.name
        marker = await self._store.get(key)
        if marker is not None:
            await self._store.txn(wire.Txn([wire.Guard(key, marker.version)], [wire.Delete(key)]), Urgency.MEMBERSHIP)
