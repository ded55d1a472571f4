"""Follows the state service: first a consistent snapshot, then every change.

    CONNECTING -> READING -> FOLLOWING -> (READING again, when changes were missed)
        any of them -> SEALED once the history that is followed has ended

The pages of a snapshot are read at different revisions. Replaying every change since the first page's revision makes
them consistent: a change that a page already holds gives the same result when it is applied again.
"""

from __future__ import annotations

import enum
import logging
import os
import time
from dataclasses import dataclass
from pathlib import Path

import curio

from spurarch.archive.changes import PREFIXES, HistoryEndedError, record_entries
from spurarch.archive.format import Entry
from spurarch.archive.progress import ProgressPublisher
from spurarch.archive.state import ArchivedState
from spurarch.archive.writer import ArchiveWriter
from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.storage.errors import RevisionTooOldError, StoreUnavailableError
from spurarch.storage.history import CURRENT, OPEN, UNARCHIVED, VERIFY_AFTER_S, HistoryRecord, decode_history
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.store import Store

log = logging.getLogger(__name__)

WATCH_MS = 2000
BATCH_S = 0.1  # how long changes are gathered, since each batch costs a sync of the disk
RETRY_S = 0.5


class FollowerPhase(enum.Enum):
    """What the archiver does."""

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


class OtherInstallationError(SpurarchError):
    """The state service or the archive belongs to another installation than the one that was named."""


@dataclass(frozen=True, slots=True)
class _FollowedHistory:
    """The history that is followed, the revision of its marker, and its own record, which is archived, too."""

    record: HistoryRecord
    marker_version: int
    entry: Entry

    @property
    def marker(self) -> str:
        return OPEN + self.record.name


class Follower:
    """Keeps an archive of the history in force, and stops at any sign that it has ended.

    `earlier` is the newest state that an earlier archiver left. `installation` is the operators' name for the owner of
    the records.
    """

    def __init__(self, store: Store, root: Path, earlier: ArchivedState | None = None, installation: str = "") -> None:
        self._store, self._earlier, self._installation = store, earlier, installation
        self.phase = FollowerPhase.CONNECTING
        self.state: ArchivedState | None = earlier  # the newest that is on disk
        self._writer = ArchiveWriter(root)
        self._publisher = ProgressPublisher(store, os.urandom(6).hex())
        self._history: _FollowedHistory | None = None
        self._revision = 0  # up to which changes were read, of all keys
        self._verified_at = 0.0

    @property
    def snapshots(self) -> int:
        """Number of snapshots written since the start."""
        return self._writer.snapshots

    def _advance(self, phase: FollowerPhase) -> None:
        if phase is self.phase:
            return
        if phase not in _NEXT[self.phase]:
            raise RuntimeError(f"{self.phase} -> {phase}")
        log.info("archive phase changed phase=%s", phase.value)
        self.phase = phase

    async def run(self) -> None:
        """Follows until cancelled.

        Raises `RivalArchiverError` if another archiver runs, `OtherInstallationError`, or `OSError` if the disk fails.
        """
        rival_refused = False
        while True:
            try:
                if not rival_refused:  # the state service may be unreachable at the start
                    await self._publisher.refuse_rival()
                    rival_refused = True
                await self._step()
            except RevisionTooOldError:
                log.warning("archive missed changes, reading all records again")
                self._advance(FollowerPhase.READING)
            except StoreUnavailableError as err:
                log.info("archive cannot reach the state service error=%s", err)
                await curio.sleep(RETRY_S)

    async def _step(self) -> None:
        history = self._history
        if history is None or self.phase in (FollowerPhase.CONNECTING, FollowerPhase.SEALED):
            await self._connect()
            return
        try:
            if self.phase is FollowerPhase.READING:
                await self._read(history)
            else:
                await self._follow(history)
        except HistoryEndedError as err:
            self._seal(history, str(err))
            if err.data_went_back:
                await self._delete_marker(history)

    async def _connect(self) -> None:
        """Finds the history in force; after one was sealed, the next."""
        item = await self._store.get(CURRENT)
        record = decode_history(item.value) if item is not None else None
        if item is None or record is None or (self._history and record.number <= self._history.record.number):
            await curio.sleep(RETRY_S)
            return
        marker = await self._store.get(OPEN + record.name)
        if marker is None:
            await curio.sleep(RETRY_S)
            return
        if record.installation != self._installation:
            raise OtherInstallationError(f"the state service holds installation {record.installation!r}")
        self._history = _FollowedHistory(record, marker.version, Entry(item.version, CURRENT, bytes(item.value)))
        self._revision = 0
        if self._earlier is not None and self._earlier.history == record.name:
            self._revision = self._earlier.revision  # data that went back since then must not be followed
        self._advance(FollowerPhase.READING)

    async def _read(self, history: _FollowedHistory) -> None:
        """Reads a consistent snapshot: all pages, and the changes since the first of them."""
        record = history.record
        state = ArchivedState(record.name, record.number, 0)
        state.apply(history.entry)
        first_revision: int | None = None
        for prefix in PREFIXES:
            first_revision = await self._read_prefix(record, prefix, state, first_revision)
        assert first_revision is not None
        changes = await self._store.watch(first_revision, 0)
        for entry in record_entries(record, changes):
            state.apply(entry)
        state.revision = changes.revision
        if await self._store.get(history.marker) is None:
            raise HistoryEndedError("its marker is gone")
        self._writer.begin(state)
        self.state, self._revision = state, changes.revision
        self._advance(FollowerPhase.FOLLOWING)

    async def _read_prefix(
        self, record: HistoryRecord, prefix: str, state: ArchivedState, first_revision: int | None
    ) -> int:
        """Reads the records under a prefix; returns the revision of the first page of all."""
        after: str | None = None
        while True:
            page = await self._store.page(record.prefix + prefix, after)
            first_revision = page.revision if first_revision is None else first_revision
            known = max(first_revision, self._revision)
            if page.revision < known:
                raise HistoryEndedError(f"revision {page.revision} after {known}", data_went_back=True)
            for item in page.items:
                key = item.key[len(record.prefix) :]
                if not key.startswith(UNARCHIVED):
                    state.apply(Entry(item.version, key, bytes(item.value)))
            if not page.more or not page.items:
                return first_revision
            after = page.items[-1].key

    async def _follow(self, history: _FollowedHistory) -> None:
        """Waits for changes, writes them, and publishes what is on disk."""
        assert self.state is not None
        wait_ms = WATCH_MS
        if not self._publisher.covers(self.state.revision):
            wait_ms = int(1000 * self._publisher.seconds_left(time.monotonic()))
        changes = await self._store.watch(self._revision, wait_ms)
        if changes.revision < self._revision:
            raise HistoryEndedError(f"revision {changes.revision} after {self._revision}", data_went_back=True)
        await self._verify_marker(history)
        entries = record_entries(history.record, changes)
        if entries:
            self._writer.append(entries, changes.revision)
        self._revision = changes.revision
        # Only after records have changed, since publishing changes the state service as well.
        if not await self._publisher.publish(history.record.name, history.marker_version, self.state.revision):
            self._seal(history, "its marker is gone")
        await curio.sleep(BATCH_S)

    async def _verify_marker(self, history: _FollowedHistory) -> None:
        """Reads the marker at intervals: data may have gone back to an earlier history with a higher revision."""
        now = time.monotonic()
        if now - self._verified_at < VERIFY_AFTER_S:
            return
        marker = await self._store.get(history.marker)
        self._verified_at = now
        if marker is None or marker.version != history.marker_version:
            raise HistoryEndedError("its marker is gone, or another one")

    def _seal(self, history: _FollowedHistory, reason: str) -> None:
        """Ends this history's archive."""
        log.warning("archive history sealed history=%s reason=%s", history.record.name, reason)
        self._publisher.reset()
        self._advance(FollowerPhase.SEALED)

    async def _delete_marker(self, history: _FollowedHistory) -> None:
        """Seals the history in a state service whose data went back, so that no controller works in it."""
        marker = await self._store.get(history.marker)
        if marker is not None:
            delete = wire.Txn([wire.Guard(history.marker, marker.version)], [wire.Delete(history.marker)])
            await self._store.txn(delete, Urgency.MEMBERSHIP)
