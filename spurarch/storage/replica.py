"""This controller's copy of what the state service keeps, and the one way to change it.

The copy is brought forward by watches. A watch answer covers every change between two revisions, so applying what is
newer than our own revision is exact, whichever of several watches answers first. `sync` gives a caller a copy at
least as new as its own request: a user who was told something by another controller is never told less here.
"""

from __future__ import annotations

import logging
import time
from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import zip_longest
from typing import TYPE_CHECKING

import curio
import msgspec

from spurarch.protocol import wire
from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import (
    AdmissionRecord,
    AllocationKey,
    AllocationRecord,
    FinalRecord,
    JobRecord,
    LeaderRecord,
    MachineRecord,
    MemberRecord,
    PartitionRecord,
    Record,
)
from spurarch.storage.store import (
    RevisionTooOldError,
    Store,
    StoreUnavailableError,
    TransactionResult,
    TransactionStatus,
)

if TYPE_CHECKING:
    from spurarch.storage.history import HistoryGuard
    from spurarch.storage.seeds import PackedSeed, Seeds

log = logging.getLogger(__name__)

FINALS_KEPT = 20_000
WATCH_MS = 4000
WATCH_PAUSE_S = 0.12
SYNC_PAUSE_S = 0.06
APPLY_AT_ONCE = 200  # changes
READS_SHARE = 0.4  # of the rate of requests, for watches and for reads on behalf of users alike


@dataclass(slots=True)
class VersionedRecord:
    """A record and the revision of its last change."""

    version: int
    record: Record


@dataclass(slots=True, frozen=True)
class Write:
    """A change to one key: a new record, or None to delete it."""

    key: str
    record: Record | None
    lease: int | None = None


class ClusterState:
    """The records, indexed the ways they are asked for. Pure bookkeeping without I/O."""

    def __init__(self) -> None:
        self.entries: dict[str, VersionedRecord] = {}
        self.jobs: dict[str, JobRecord] = {}
        self.admissions: dict[str, AdmissionRecord] = {}
        self.allocations: dict[str, dict[AllocationKey, AllocationRecord]] = defaultdict(dict)  # by job
        self.zone_allocations: dict[str, dict[AllocationKey, AllocationRecord]] = defaultdict(dict)
        self.partitions: dict[str, PartitionRecord] = {}
        self.members: dict[str, MemberRecord] = {}
        self.machines: dict[str, dict[str, MachineRecord]] = defaultdict(dict)  # by zone
        self.leader: LeaderRecord | None = None
        self.gangs = 0  # jobs whose tasks start together
        self.finals: OrderedDict[str, FinalRecord] = OrderedDict()
        self.revision = 0
        self.consistent_from = 0.0  # the revision from which on this is what the service held at one moment
        self.unreadable: dict[str, str | None] = {}  # by key; of jobs, the team if that much can be told
        self._deleted: dict[str, int] = {}
        self._subscribers: list[dict[str, None]] = []

    def subscribe(self) -> dict[str, None]:
        """Collects the keys that change, for its owner to empty; in order, so that equal news lead to equal decisions."""
        dirty: dict[str, None] = dict.fromkeys(self.entries)
        self._subscribers.append(dirty)
        return dirty

    @property
    def consistent(self) -> bool:
        """The records are those of one revision, and not of pages that were read one after the other."""
        return self.revision >= self.consistent_from

    def version(self, key: str) -> int:
        """The revision of a key's last change; 0 if it does not exist."""
        entry = self.entries.get(key)
        return entry.version if entry else 0

    def put(self, key: str, version: int, record: Record) -> None:
        """Takes in a record unless something newer is known."""
        if version <= self.version(key) or version <= self._deleted.get(key, 0):
            return
        if isinstance(record, FinalRecord):
            self.finals[key[len(records.FINAL) :]] = record
            while len(self.finals) > FINALS_KEPT:
                self.finals.popitem(last=False)
            return
        self.unreadable.pop(key, None)
        self.entries[key] = VersionedRecord(version, record)
        self._index(key, record)
        self._mark_changed(key)

    def record_unreadable(self, key: str, team: str | None) -> bool:
        """Notes that what stands under a key can't be read; whether that is new."""
        new = key not in self.unreadable
        self.unreadable[key] = team
        if new:
            self._mark_changed(key)
        return new

    def delete(self, key: str, version: int) -> None:
        """Takes in a deletion unless the key was written later."""
        if key in self.unreadable:
            del self.unreadable[key]
            self._mark_changed(key)
        entry = self.entries.get(key)
        if entry is not None and entry.version > version:
            return
        if version > self.revision:
            # A deletion of our own may be known before older news of the same key arrive by watch.
            self._deleted[key] = version
        if entry is not None:
            del self.entries[key]
            self._unindex(key, entry.record)
            self._mark_changed(key)

    def apply_commit(self, writes: list[Write], revision: int) -> None:
        """Takes in a transaction of our own.

        A watch may have brought it already, with what others did to the same keys since; taking it in again would
        bring back a key that another controller has deleted meanwhile, and every later transaction on it would fail.
        """
        if revision <= self.revision:
            return
        for write in writes:
            if write.record is None:
                self.delete(write.key, revision)
            else:
                self.put(write.key, revision, write.record)

    def advance(self, revision: int) -> None:
        """All changes up to a revision are in."""
        self.revision = max(self.revision, revision)
        if self._deleted:
            self._deleted = {k: v for k, v in self._deleted.items() if v > self.revision}

    def _mark_changed(self, key: str) -> None:
        for dirty in self._subscribers:
            dirty[key] = None

    def _index(self, key: str, record: Record) -> None:
        if isinstance(record, JobRecord):
            self.gangs += record.spec.kind == wire.GANG and record.spec.id not in self.jobs
            self.jobs[record.spec.id] = record
        elif isinstance(record, AdmissionRecord):
            self.admissions[key[len(records.ADMISSION) :]] = record
        elif isinstance(record, AllocationRecord):
            allocation = AllocationKey.parse(key)
            self.allocations[allocation.job][allocation] = record
            self.zone_allocations[allocation.zone][allocation] = record
        elif isinstance(record, PartitionRecord):
            self.partitions[key[len(records.PARTITION) :]] = record
        elif isinstance(record, MemberRecord):
            self.members[record.node] = record
        elif isinstance(record, LeaderRecord):
            self.leader = record
        elif isinstance(record, MachineRecord):
            zone, name = records.parse_machine_key(key)
            self.machines[zone][name] = record

    def _unindex(self, key: str, record: Record) -> None:
        if isinstance(record, JobRecord):
            self.gangs -= record.spec.kind == wire.GANG and record.spec.id in self.jobs
            self.jobs.pop(record.spec.id, None)
        elif isinstance(record, AdmissionRecord):
            self.admissions.pop(key[len(records.ADMISSION) :], None)
        elif isinstance(record, AllocationRecord):
            allocation = AllocationKey.parse(key)
            mine = self.allocations[allocation.job]
            mine.pop(allocation, None)
            if not mine:
                del self.allocations[allocation.job]
            self.zone_allocations[allocation.zone].pop(allocation, None)
        elif isinstance(record, PartitionRecord):
            self.partitions.pop(key[len(records.PARTITION) :], None)
        elif isinstance(record, MemberRecord):
            self.members.pop(record.node, None)
        elif isinstance(record, LeaderRecord):
            self.leader = None
        elif isinstance(record, MachineRecord):
            zone, name = records.parse_machine_key(key)
            self.machines[zone].pop(name, None)


class Replica:
    """Keeps a State up to date and commits changes to it."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.state = ClusterState()
        self.state.consistent_from = float("inf")
        self.loaded = False
        self.seeds: Seeds | None = None  # only in a rebuilt history
        self.loaded_revision = 0  # since which the copy has missed no change
        self.reachable = True  # only to log an outage once
        self.synced_at = float("-inf")  # the copy held everything that had been changed before this moment
        self._listeners: list[curio.Event] = []
        self._pending_sync: _SharedSync | None = None
        self._sync_requested = curio.Event()

    @property
    def consistent(self) -> bool:
        """The copy was read completely, and followed to a revision at which all of it was so at one moment."""
        return self.loaded and self.state.consistent

    def listen(self) -> curio.Event:
        """An event that is set whenever something may have changed; its owner clears it."""
        bell = curio.Event()
        self._listeners.append(bell)
        return bell

    async def notify(self) -> None:
        """Wakes all who listen."""
        for bell in self._listeners:
            await bell.set()

    async def load_ownership(self) -> None:
        """Reads what is needed to answer workers, before everything else."""
        for prefix in (records.PARTITION, records.MEMBER, records.LEADER):
            page = await self.store.page(prefix, None)
            for item in page.items:
                self._apply_value(item.key, item.version, item.value)

    async def load(self) -> None:
        """Reads everything that is alive; the watch then starts from the revision before the first page."""
        start = time.monotonic()
        self.state.consistent_from = float("inf")
        after: str | None = None
        first: int | None = None
        pages = 0
        seen: set[str] = set()
        history = self.store.history
        if history is not None:
            history.verified_at = float("-inf")  # changes were missed: the history may be another one by now
            if history.record.seeded:
                first = await self._load_seeds(seen)
        while True:
            page = await self.store.page(records.LIVE, after)
            pages += 1
            first = page.revision if first is None else first
            for item in page.items:
                seen.add(item.key)
                self._apply_value(item.key, item.version, item.value)
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        for key in set(self.state.entries) - seen:
            if self.state.version(key) <= first:
                self.state.delete(key, first)
        self.state.revision = self.loaded_revision = first
        self.state.consistent_from = max(first, page.revision)
        self.loaded = True
        log.info(
            "records read count=%d pages=%d seconds=%.2f first_revision=%d revision=%d",
            len(seen),
            pages,
            time.monotonic() - start,
            first,
            page.revision,
        )
        self.synced_at = max(self.synced_at, start)
        await self.notify()

    async def _load_seeds(self, seen: set[str]) -> int:
        """Reads the records that have no keys of their own yet; the revision of the first page."""
        from spurarch.storage.seeds import SEED, SEED_VERSION, PackedSeed, Seeds, decode_seed

        self.seeds = self.seeds or Seeds()
        self.seeds.clear()
        after: str | None = None
        first: int | None = None
        while True:
            page = await self.store.page(SEED, after)
            first = page.revision if first is None else first
            for item in page.items:
                packed = PackedSeed(item.key, item.version, decode_seed(item.value))
                self.seeds.put(packed)
                for record in packed.pack.records:
                    seen.add(record.key)
                    self._apply_value(record.key, SEED_VERSION, record.value)
            if not page.more or not page.items:
                return first
            after = page.items[-1].key

    def _apply_value(self, key: str, version: int, value: msgspec.Raw) -> None:
        try:
            record = records.decode(key, value)
        except msgspec.DecodeError as err:
            if self.state.record_unreadable(key, records.team_of(key, value)):
                log.error("unreadable record record=%s error=%s", key, err)
            return
        if record is not None:
            self.state.put(key, version, record)

    async def _apply(self, changes: wire.Changes) -> None:
        taken, events = 0, sorted(changes.events, key=lambda event: event.version)
        for event, following in zip_longest(events, events[1:]):
            if event.version <= self.state.revision:
                continue
            if event.put is not None:
                self._apply_value(event.put, event.version, event.value)
            elif event.delete is not None:
                self.state.delete(event.delete, event.version)
                if self.seeds is not None:
                    self.seeds.drop(event.delete)
            taken += 1
            if taken >= APPLY_AT_ONCE and following is not None and following.version != event.version:
                # The first answer after a cut holds all that happened meanwhile: taken in one piece, it would hold up
                # answers to workers and the renewal of membership. A transaction is never seen in part.
                taken = 0
                self.state.advance(event.version)
                await curio.sleep(0)
        self.state.advance(changes.revision)
        if changes.events:
            await self.notify()

    async def run_watch(self) -> None:
        """Follows changes in the background."""
        while True:
            try:
                if not self.loaded:
                    await self.load()
                sent = time.monotonic()
                await self._apply(await self.store.watch(self.state.revision, WATCH_MS))
                self.synced_at = max(self.synced_at, sent)
                self.reachable = True
                await curio.sleep(max(WATCH_PAUSE_S, 1 / (READS_SHARE * self.store.request_rate)))
            except RevisionTooOldError:
                log.info("watch revision compacted, reading all records again revision=%d", self.state.revision)
                self.loaded = False
            except StoreUnavailableError as err:
                log.log(logging.INFO if self.reachable else logging.DEBUG, "state service unreachable error=%s", err)
                self.reachable = False
                await curio.sleep(0.3)

    async def run_sync(self) -> None:
        """Serves all who wait for a fresh copy with one read."""
        while True:
            await self._sync_requested.wait()
            self._sync_requested.clear()
            batch, self._pending_sync = self._pending_sync, None
            if batch is None:
                continue
            try:
                started = time.monotonic()
                if not self.loaded:
                    raise StoreUnavailableError("not loaded")
                await self._apply(await self.store.watch(self.state.revision, 0))
                self.synced_at = max(self.synced_at, started)
                batch.succeeded = True
            except (StoreUnavailableError, RevisionTooOldError) as err:
                log.debug("freshness read failed error=%s", err)
            await batch.finished.set()
            await curio.sleep(max(SYNC_PAUSE_S, 1 / (READS_SHARE * self.store.request_rate)))

    async def sync(self, timeout_s: float = 1.5) -> bool:
        """Brings the copy up to what the service held when this was called; False if that can't be had."""
        if self._pending_sync is None:
            self._pending_sync = _SharedSync()
        batch = self._pending_sync
        await self._sync_requested.set()
        try:
            await curio.timeout_after(timeout_s, batch.finished.wait)
        except curio.TaskTimeout:
            return False
        return batch.succeeded

    async def read_final(self, job: str) -> FinalRecord | None:
        """The final standing of a job, from memory or from the service."""
        known = self.state.finals.get(job)
        if known is not None:
            return known
        item = await self.store.get(records.FINAL + job)
        if item is None:
            history = self.store.history
            return await self._read_packed(job, history.record.packed) if history is not None else None
        record = records.decode(item.key, item.value)
        if not isinstance(record, FinalRecord):
            return None
        self.state.put(item.key, item.version, record)
        return record

    async def _read_packed(self, job: str, packed: int) -> FinalRecord | None:
        """The final standing of a job that was over before the records were last rebuilt."""
        if not packed:
            return None
        from spurarch.storage.history import decode_packed, packed_key

        item = await self.store.get(packed_key(job, packed))
        found = decode_packed(item.value).jobs.get(job) if item is not None else None
        if found is None:
            return None
        record = FinalRecord(*found)
        self.state.put(records.FINAL + job, 1, record)
        return record

    async def commit(
        self,
        writes: list[Write],
        guards: Iterable[str] = (),
        absent: Iterable[str] = (),
        give_up_s: float | None = None,
        urgency: Urgency = Urgency.STARTS,
        pinned: dict[str, int] | None = None,
    ) -> TransactionResult:
        """Commits writes if every written or guarded key still has the version known here.

        `pinned` are further guards, with the versions that the caller decided by.

        A lost answer is settled by sending the same transaction again: whichever copy of it is executed first makes
        the other fail. So this returns UNKNOWN only when `give_up_s` has passed.
        """
        guards = list(guards)
        if self.seeds is not None:
            for packed in self.seeds.holding([*guards, *(write.key for write in writes)]):
                result = await self._unpack(packed, urgency)
                if result.status is not TransactionStatus.COMMITTED:
                    return result
        versions = {key: self.state.version(key) for key in guards}
        versions.update((write.key, self.state.version(write.key)) for write in writes)
        versions.update((key, 0) for key in absent)
        versions.update(pinned or {})
        txn = wire.Txn(
            [wire.Guard(key, version) for key, version in versions.items()],
            [wire.Delete(w.key) if w.record is None else wire.Put(w.key, w.record, w.lease) for w in writes],
        )
        started = time.monotonic()
        outcome_unknown = False
        while True:
            result = await self.store.txn(txn, urgency)
            if result.status is TransactionStatus.UNKNOWN:
                outcome_unknown = True
            elif result.status is TransactionStatus.COMMITTED:
                await self._apply_commit(writes, result.revision)
                return result
            elif result.status is TransactionStatus.CONFLICT:
                if await self.sync() and self.store.history is not None:
                    self._check_conflict(self.store.history, versions, result.failed_keys)
                return result
            elif not outcome_unknown:
                return result
            if give_up_s is not None and time.monotonic() - started > give_up_s:
                return TransactionResult(TransactionStatus.UNKNOWN)
            await curio.sleep(0.1 if result.status is TransactionStatus.UNKNOWN else 0.3)

    async def _unpack(self, packed: PackedSeed, urgency: Urgency) -> TransactionResult:
        """Writes the records of a value under their own keys; nobody else can have changed any of them meanwhile."""
        assert self.seeds is not None
        found = [record.key for record in packed.pack.records]
        txn = wire.Txn(
            [wire.Guard(packed.key, packed.version), *(wire.Guard(key, 0) for key in found)],
            [*(wire.Put(record.key, record.value) for record in packed.pack.records), wire.Delete(packed.key)],
        )
        result = await self.store.txn(txn, urgency)
        if result.status is TransactionStatus.COMMITTED:
            self.seeds.drop(packed.key)
            for record in packed.pack.records:
                self._apply_value(record.key, result.revision, record.value)
        elif result.status is not TransactionStatus.NOT_EXECUTED:
            await self.sync()  # another controller has unpacked it, or this one without an answer
        return result

    def _check_conflict(self, history: HistoryGuard, sent: dict[str, int], failed: list[str]) -> None:
        """A copy brought up to date explains why a condition failed; if it doesn't, records were lost one by one."""
        for key in failed:
            if key.startswith(records.LIVE) and sent.get(key, -1) == self.state.version(key):
                history.lose(f"record {key} is not at {sent[key]}, and no change says why")

    async def _apply_commit(self, writes: list[Write], revision: int) -> None:
        self.state.apply_commit(writes, revision)
        await self.notify()


class _SharedSync:
    """Callers that share one read."""

    def __init__(self) -> None:
        self.finished = curio.Event()
        self.succeeded = False
