"""Archives the current history of the state service: first a consistent snapshot, then every change.

    CONNECTING -> READING -> FOLLOWING -> READING, if changes were missed
    READING, FOLLOWING -> SEALED, once the history has ended
    SEALED -> READING, once the next history is open

A history is everything that was written since the state service was last empty or rebuilt (see `storage.history`).
SEALED means here that archiving the history has ended; its marker possibly still exists.

The pages of a snapshot are read at different revisions. Replaying every change since the first page's revision makes
them consistent: applying a change that a page already contains has no effect.
"""

from __future__ import annotations

import enum
import logging
import os
import time
from dataclasses import dataclass
from pathlib import Path

import curio

from spurarch.archive.changes import ARCHIVED_PREFIXES, HistoryEndedError, to_archive_entries
from spurarch.archive.format import Entry
from spurarch.archive.progress import ProgressPublisher
from spurarch.archive.state import ArchivedState
from spurarch.archive.writer import ArchiveWriter
from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.storage.errors import RevisionTooOldError, StoreUnavailableError
from spurarch.storage.history import CURRENT, MARKER_VALID_S, OPEN, UNARCHIVED_PREFIXES, HistoryRecord, decode_history
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.store import Store

log = logging.getLogger(__name__)

WATCH_TIMEOUT_MS = 2000
BATCH_INTERVAL_S = 0.1  # time between batches of changes, each of which costs an fsync
RETRY_INTERVAL_S = 0.5


class FollowerPhase(enum.Enum):
    """Phase of the archiver."""

    CONNECTING = "connecting"
    READING = "reading"
    FOLLOWING = "following"
    SEALED = "sealed"


_ALLOWED_TRANSITIONS = {
    FollowerPhase.CONNECTING: {FollowerPhase.READING},
    FollowerPhase.READING: {FollowerPhase.FOLLOWING, FollowerPhase.CONNECTING, FollowerPhase.SEALED},
    FollowerPhase.FOLLOWING: {FollowerPhase.READING, FollowerPhase.SEALED},
    FollowerPhase.SEALED: {FollowerPhase.READING},
}


class OtherInstallationError(SpurarchError):
    """The records in the state service or the archive belong to another installation than the configured one."""


@dataclass(frozen=True, slots=True)
class _FollowedHistory:
    """The history that is being archived.

    Attributes:
        record: The history's record.
        marker_version: Revision of its open marker.
        entry: Archive entry of the history's record.
    """

    record: HistoryRecord
    marker_version: int
    entry: Entry

    @property
    def marker_key(self) -> str:
        """Key of the open marker in the state service."""
        return OPEN + self.record.name


class Follower:
    """Archives the current history, and stops at any sign that the history has ended.

    `previous_state` is the newest state on disk from before this process, None if there is none. `installation` is the
    operators' name for the owner of the records.
    """

    def __init__(
        self, store: Store, root: Path, previous_state: ArchivedState | None = None, installation: str = ""
    ) -> None:
        self._store, self._previous_state, self._installation = store, previous_state, installation
        self.phase = FollowerPhase.CONNECTING
        self.state: ArchivedState | None = previous_state  # newest state on disk
        self._writer = ArchiveWriter(root)
        self._publisher = ProgressPublisher(store, os.urandom(6).hex())
        self._history: _FollowedHistory | None = None
        self._read_revision = 0  # changes of all keys have been read up to this revision
        self._verified_at = 0.0

    @property
    def snapshot_count(self) -> int:
        """Number of snapshots written since this process started."""
        return self._writer.snapshot_count

    def _set_phase(self, phase: FollowerPhase) -> None:
        if phase is self.phase:
            return
        if phase not in _ALLOWED_TRANSITIONS[self.phase]:
            raise RuntimeError(f"{self.phase} can't be followed by {phase}")
        log.info("archive phase changed phase=%s", phase.value)
        self.phase = phase

    async def run(self) -> None:
        """Archives until cancelled, one history after the other.

        Raises `RivalArchiverError` if another archiver is running, `OtherInstallationError` if the records belong to
        another installation, or `OSError` if writing to disk fails.
        """
        rival_checked = False
        while True:
            try:
                if not rival_checked:  # retried while the state service is unreachable
                    await self._publisher.check_no_rival()
                    rival_checked = True
                await self._step()
            except RevisionTooOldError:
                log.warning("archive missed changes, reading all records again")
                self._set_phase(FollowerPhase.READING)
            except StoreUnavailableError as err:
                log.info("archive cannot reach the state service error=%s", err)
                await curio.sleep(RETRY_INTERVAL_S)

    async def _step(self) -> None:
        history = self._history
        if history is None or self.phase in (FollowerPhase.CONNECTING, FollowerPhase.SEALED):
            await self._find_history()
            return
        try:
            if self.phase is FollowerPhase.READING:
                await self._read_snapshot(history)
            else:
                await self._follow_changes(history)
        except HistoryEndedError as err:
            self._seal(history, str(err))
            if err.data_rolled_back:
                await self._delete_marker(history)

    async def _find_history(self) -> None:
        """Finds the current history, which must be newer than a sealed one; waits `RETRY_INTERVAL_S` if there is none.

        Raises `OtherInstallationError`.
        """
        item = await self._store.get(CURRENT)
        record = decode_history(item.value) if item is not None else None
        if item is None or record is None or (self._history and record.number <= self._history.record.number):
            await curio.sleep(RETRY_INTERVAL_S)
            return
        marker = await self._store.get(OPEN + record.name)
        if marker is None:
            await curio.sleep(RETRY_INTERVAL_S)
            return
        if record.installation != self._installation:
            raise OtherInstallationError(f"the state service holds installation {record.installation!r}")
        self._history = _FollowedHistory(record, marker.version, Entry(item.version, CURRENT, bytes(item.value)))
        self._read_revision = 0
        if self._previous_state is not None and self._previous_state.history == record.name:
            self._read_revision = self._previous_state.revision  # detects a rollback that happened since then
        self._set_phase(FollowerPhase.READING)

    async def _read_snapshot(self, history: _FollowedHistory) -> None:
        """Reads all pages and the changes since the first page, writes a consistent snapshot and starts a change log.

        Raises `HistoryEndedError`.
        """
        record = history.record
        state = ArchivedState(record.name, record.number, 0)
        state.apply(history.entry)
        first_revision: int | None = None
        for prefix in ARCHIVED_PREFIXES:
            first_revision = await self._read_prefix(record, prefix, state, first_revision)
        assert first_revision is not None
        changes = await self._store.watch(first_revision, 0)
        for entry in to_archive_entries(record, changes):
            state.apply(entry)
        state.revision = changes.revision
        if await self._store.get(history.marker_key) is None:
            raise HistoryEndedError("its marker is gone")
        self._writer.start_log(state)
        self.state, self._read_revision = state, changes.revision
        self._set_phase(FollowerPhase.FOLLOWING)

    async def _read_prefix(
        self, record: HistoryRecord, prefix: str, state: ArchivedState, first_revision: int | None
    ) -> int:
        """Reads the records under a prefix into `state`; returns the revision of the snapshot's first page.

        `first_revision` is that revision, None before the first page has been read. Raises `HistoryEndedError`.
        """
        after: str | None = None
        while True:
            page = await self._store.page(record.prefix + prefix, after)
            first_revision = page.revision if first_revision is None else first_revision
            highest_read = max(first_revision, self._read_revision)
            if page.revision < highest_read:
                raise HistoryEndedError(f"revision {page.revision} read after {highest_read}", data_rolled_back=True)
            for item in page.items:
                key = item.key[len(record.prefix) :]
                if not key.startswith(UNARCHIVED_PREFIXES):
                    state.apply(Entry(item.version, key, bytes(item.value)))
            if not page.more or not page.items:
                return first_revision
            after = page.items[-1].key

    async def _follow_changes(self, history: _FollowedHistory) -> None:
        """Waits for changes, writes them to disk and publishes the archived revision. Raises `HistoryEndedError`."""
        assert self.state is not None
        wait_ms = WATCH_TIMEOUT_MS
        if not self._publisher.is_published(self.state.revision):
            wait_ms = int(1000 * self._publisher.seconds_until_due(time.monotonic()))
        changes = await self._store.watch(self._read_revision, wait_ms)
        if changes.revision < self._read_revision:
            raise HistoryEndedError(
                f"revision {changes.revision} read after {self._read_revision}", data_rolled_back=True
            )
        await self._verify_marker(history)
        entries = to_archive_entries(history.record, changes)
        if entries:
            self._writer.append(entries, changes.revision)
        self._read_revision = changes.revision
        # Only archived changes raise `state.revision`, so a publication, itself a change, does not cause the next one.
        if not await self._publisher.publish(history.record.name, history.marker_version, self.state.revision):
            self._seal(history, "its marker is gone")
        await curio.sleep(BATCH_INTERVAL_S)

    async def _verify_marker(self, history: _FollowedHistory) -> None:
        """Checks the open marker every `MARKER_VALID_S` seconds; raises `HistoryEndedError` if it is gone or replaced.

        Revisions don't show every rollback of the state service: after one to an earlier history, they may be higher.
        """
        now = time.monotonic()
        if now - self._verified_at < MARKER_VALID_S:
            return
        marker = await self._store.get(history.marker_key)
        self._verified_at = now
        if marker is None or marker.version != history.marker_version:
            raise HistoryEndedError("its marker is gone or was replaced")

    def _seal(self, history: _FollowedHistory, reason: str) -> None:
        """Stops archiving the history; its files stay readable."""
        log.warning("archive history sealed history=%s reason=%s", history.record.name, reason)
        self._publisher.reset()
        self._set_phase(FollowerPhase.SEALED)

    async def _delete_marker(self, history: _FollowedHistory) -> None:
        """Seals the history in a state service that was rolled back, so that no controller works in it."""
        marker = await self._store.get(history.marker_key)
        if marker is not None:
            delete = wire.Txn([wire.Guard(history.marker_key, marker.version)], [wire.Delete(history.marker_key)])
            await self._store.txn(delete, Urgency.MEMBERSHIP)
