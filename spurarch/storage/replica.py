"""This controller's local copy of the records in the state service, and commits of changes to them.

Watches keep the copy up to date. A watch response holds every change between two revisions. Applying only the changes
that are newer than the copy's revision therefore misses and repeats none, whichever of several watches responds first.
`Replica.sync` brings the copy up to the time of the call, so that it holds everything that another controller confirmed
to a user before that time.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable
from itertools import zip_longest

import curio
from msgspec import Struct

from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.commit import Committer
from spurarch.storage.errors import RevisionTooOldError, StoreUnavailableError
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import FinalRecord
from spurarch.storage.store import Store
from spurarch.storage.transaction import TransactionResult, Write

log = logging.getLogger(__name__)

WATCH_TIMEOUT_MS = 4000
WATCH_PAUSE_S = 0.12
SYNC_PAUSE_S = 0.06
UNREACHABLE_PAUSE_S = 0.3
MAX_CHANGES_AT_ONCE = 200  # applied before other tasks of the event loop run
READ_RATE_SHARE = 0.4  # part of the request rate that the watch may use, and the same part for `sync`


class Replica:
    """Keeps a `ClusterState` up to date and commits changes of its records."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.state = ClusterState()
        self.state.consistent_from_revision = float("inf")
        self.loaded = False
        self.loaded_revision = 0  # revision after which the copy has not missed a change
        self.synced_at = float("-inf")  # the copy holds all changes before this time, by the monotonic clock
        self._reachable = True  # so that an outage is logged once
        self._listeners: list[curio.Event] = []
        self._pending_sync: _SharedSync | None = None
        self._sync_requested = curio.Event()
        self._committer = Committer(store, self.state, self.sync, self.notify)

    @property
    def consistent(self) -> bool:
        """Whether the copy was completely read and all its records are of one revision."""
        return self.loaded and self.state.consistent

    def listen(self) -> curio.Event:
        """Returns an event that is set whenever records may have changed; the listener clears it."""
        changed = curio.Event()
        self._listeners.append(changed)
        return changed

    async def notify(self) -> None:
        """Sets the events of all listeners."""
        for changed in self._listeners:
            await changed.set()

    async def load_ownership(self) -> None:
        """Reads the partition, member and leader records; these suffice to respond to workers before `load` has run."""
        for prefix in (records.PARTITION, records.MEMBER, records.LEADER):
            page = await self.store.page(prefix, None)
            for item in page.items:
                self.state.put_encoded(item.key, item.version, item.value)

    async def load(self) -> None:
        """Reads all records in use and deletes from the copy those that no longer exist in the state service.

        The watch then starts at the revision of the first page. Raises `StoreUnavailableError`.
        """
        started = time.monotonic()
        self.state.consistent_from_revision = float("inf")
        seen: set[str] = set()
        pages = await self._read_pages(seen, await self._load_seeds(seen))
        first = pages.first_revision
        for key in set(self.state.entries) - seen:
            if self.state.version(key) <= first:
                self.state.delete(key, first)
        self.state.revision = self.loaded_revision = first
        self.state.consistent_from_revision = max(first, pages.last_revision)
        self.loaded = True
        log.info(
            "records read count=%d pages=%d seconds=%.2f first_revision=%d revision=%d",
            len(seen),
            pages.count,
            time.monotonic() - started,
            first,
            pages.last_revision,
        )
        self.synced_at = max(self.synced_at, started)
        await self.notify()

    async def _load_seeds(self, seen: set[str]) -> int | None:
        """Reads the records that share values (see `spurarch.storage.seeds`) and adds their keys to `seen`.

        Returns the revision of the first page; None without such records. Also makes the next read verify the marker.
        """
        history = self.store.history
        if history is None:
            return None
        # Forces a check of the marker: the history may have been sealed while changes were missed.
        history.verified_at = float("-inf")
        if not history.record.seeded:
            return None
        from spurarch.storage.seeds import Seeds, load_seeds

        self.state.seeds = self.state.seeds or Seeds()
        return await load_seeds(self.store, self.state, self.state.seeds, seen)

    async def _read_pages(self, seen: set[str], first_revision: int | None) -> _PagesRead:
        """Reads the records that have keys of their own; adds the keys to `seen`."""
        after: str | None = None
        count = 0
        while True:
            page = await self.store.page(records.LIVE, after)
            count += 1
            first_revision = page.revision if first_revision is None else first_revision
            for item in page.items:
                seen.add(item.key)
                self.state.put_encoded(item.key, item.version, item.value)
            if not page.more or not page.items:
                return _PagesRead(count, first_revision, page.revision)
            after = page.items[-1].key

    async def _apply_changes(self, changes: wire.Changes) -> None:
        applied, events = 0, sorted(changes.events, key=lambda event: event.version)
        for event, next_event in zip_longest(events, events[1:]):
            if event.version <= self.state.revision:
                continue
            self._apply_event(event)
            applied += 1
            if applied >= MAX_CHANGES_AT_ONCE and next_event is not None and next_event.version != event.version:
                # The first response after an outage holds all changes since. Applying them without a break would delay
                # heartbeat responses and renewals of the membership lease. A transaction is never split: its events
                # have the same version.
                applied = 0
                self.state.advance(event.version)
                await curio.sleep(0)
        self.state.advance(changes.revision)
        if changes.events:
            await self.notify()

    def _apply_event(self, event: wire.Event) -> None:
        if event.put is not None:
            self.state.put_encoded(event.put, event.version, event.value)
            if self.state.seeds is not None:
                self.state.seeds.put_encoded(event.put, event.version, event.value)
        elif event.delete is not None:
            self.state.delete(event.delete, event.version)
            if self.state.seeds is not None:
                self.state.seeds.drop(event.delete)

    async def run_watch(self) -> None:
        """Loads the records and watches their changes; runs until cancelled."""
        while True:
            try:
                if not self.loaded:
                    await self.load()
                sent = time.monotonic()
                await self._apply_changes(await self.store.watch(self.state.revision, WATCH_TIMEOUT_MS))
                self.synced_at = max(self.synced_at, sent)
                self._reachable = True
                await curio.sleep(max(WATCH_PAUSE_S, 1 / (READ_RATE_SHARE * self.store.rates.request_rate)))
            except RevisionTooOldError:
                log.info("watch revision compacted, reading all records again revision=%d", self.state.revision)
                self.loaded = False
            except StoreUnavailableError as err:
                log.log(logging.INFO if self._reachable else logging.DEBUG, "state service unreachable error=%s", err)
                self._reachable = False
                await curio.sleep(UNREACHABLE_PAUSE_S)

    async def run_sync(self) -> None:
        """Serves all callers of `sync` that wait at the same time with one read; runs until cancelled."""
        while True:
            await self._sync_requested.wait()
            self._sync_requested.clear()
            shared_sync, self._pending_sync = self._pending_sync, None
            if shared_sync is None:
                continue
            try:
                started = time.monotonic()
                if not self.loaded:
                    raise StoreUnavailableError("the records have not been loaded yet")
                await self._apply_changes(await self.store.watch(self.state.revision, 0))
                self.synced_at = max(self.synced_at, started)
                shared_sync.succeeded = True
            except (StoreUnavailableError, RevisionTooOldError) as err:
                log.debug("sync with state service failed error=%s", err)
            await shared_sync.finished.set()
            await curio.sleep(max(SYNC_PAUSE_S, 1 / (READ_RATE_SHARE * self.store.rates.request_rate)))

    async def sync(self, timeout_s: float = 1.5) -> bool:
        """Brings the copy up to the state service's revision at the time of the call.

        Returns False if the records are not loaded yet, or the service did not serve the read within `timeout_s`.
        """
        if self._pending_sync is None:
            self._pending_sync = _SharedSync()
        shared_sync = self._pending_sync
        await self._sync_requested.set()
        try:
            await curio.timeout_after(timeout_s, shared_sync.finished.wait)
        except curio.TaskTimeout:
            return False
        return shared_sync.succeeded

    async def read_final(self, job: str) -> FinalRecord | None:
        """Returns the final record of a job, from memory or from the state service; None if there is none.

        Keeps a record that it reads in memory. Raises `StoreUnavailableError`.
        """
        cached = self.state.finals.get(job)
        if cached is not None:
            return cached
        item = await self.store.get(records.FINAL + job)
        if item is None:
            history = self.store.history
            return await self._read_packed(job, history.record.packed_value_count) if history is not None else None
        record = records.decode(item.key, item.value)
        if not isinstance(record, FinalRecord):
            return None
        self.state.put(item.key, item.version, record)
        return record

    async def _read_packed(self, job: str, packed_value_count: int) -> FinalRecord | None:
        """Reads the final record of a job that ended in an earlier history and keeps it in memory; None if none exists.

        `packed_value_count` is the number of keys that hold such records.
        """
        if not packed_value_count:
            return None
        from spurarch.storage.history import decode_packed, packed_key

        item = await self.store.get(packed_key(job, packed_value_count))
        state_and_tasks = decode_packed(item.value).jobs.get(job) if item is not None else None
        if state_and_tasks is None:
            return None
        record = FinalRecord(*state_and_tasks)
        self.state.put(records.FINAL + job, 1, record)
        return record

    async def commit(
        self,
        writes: list[Write],
        guards: Iterable[str] = (),
        absent_keys: Iterable[str] = (),
        timeout_s: float | None = None,
        urgency: Urgency = Urgency.STARTS,
        pinned_versions: dict[str, int] | None = None,
    ) -> TransactionResult:
        """Commits writes if every written or guarded key still has the version that it has in the local copy.

        Keys in `absent_keys` must not exist. `pinned_versions` are the versions, by key, on which the caller based its
        decision: they are guards as well, and replace the copy's versions of the same keys.

        After a lost response, the same transaction is sent again; whichever request is executed first makes the guards
        of the other fail. So the result is UNKNOWN only after `timeout_s` seconds (None: no limit), or if a written or
        guarded record has to be unpacked first (see `spurarch.storage.seeds`) and the outcome of that is unknown.
        """
        return await self._committer.commit(writes, guards, absent_keys, timeout_s, urgency, pinned_versions)


class _PagesRead(Struct, frozen=True):
    """Number of pages read, and the revisions of the first and the last page."""

    count: int
    first_revision: int
    last_revision: int


class _SharedSync:
    """A read that several callers of `sync` wait for."""

    def __init__(self) -> None:
        self.finished = curio.Event()
        self.succeeded = False
