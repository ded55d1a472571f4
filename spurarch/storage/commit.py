"""Commits changes of records by compare-and-swap against the versions in the local copy."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

import curio

from spurarch.protocol import wire
from spurarch.settings import StateLimits
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.store import Store
from spurarch.storage.transaction import TransactionResult, TransactionStatus, Write

if TYPE_CHECKING:
    from spurarch.storage.history import HistoryGuard
    from spurarch.storage.seeds import PackedSeed

log = logging.getLogger(__name__)

RETRY_UNKNOWN_S = 0.1  # after an attempt whose outcome is unknown
RETRY_REFUSED_S = 0.3  # after the service refused to execute a retry of such an attempt


class Committer:
    """Runs transactions and applies those that commit to the local copy of the records.

    `sync` brings the copy up to date and returns whether it succeeded; `notify` wakes the listeners to changes.
    """

    def __init__(
        self,
        store: Store,
        state: ClusterState,
        sync: Callable[[], Awaitable[bool]],
        notify: Callable[[], Awaitable[None]],
    ) -> None:
        self._store, self._state = store, state
        self._sync, self._notify = sync, notify
        self._oversize_reported: set[str] = set()  # keys of shared values

    async def commit(
        self,
        writes: list[Write],
        guards: Iterable[str],
        absent_keys: Iterable[str],
        timeout_s: float | None,
        urgency: Urgency,
        pinned_versions: dict[str, int] | None,
    ) -> TransactionResult:
        """Commits writes; see `Replica.commit`."""
        guards = list(guards)
        failure = await self._unpack_seeds([*guards, *(write.key for write in writes)], urgency)
        if failure is not None:
            return failure
        versions = {key: self._state.version(key) for key in guards}
        versions.update((write.key, self._state.version(write.key)) for write in writes)
        versions.update((key, 0) for key in absent_keys)
        versions.update(pinned_versions or {})
        result = await self._run(_transaction(versions, writes), timeout_s, urgency)
        if result.status is TransactionStatus.COMMITTED:
            self._state.apply_commit(writes, result.revision)
            await self._notify()
        elif result.status is TransactionStatus.CONFLICT:
            if await self._sync() and self._store.history is not None:
                self._check_conflict(self._store.history, versions, result.failed_keys)
        return result

    async def _run(self, txn: wire.Txn, timeout_s: float | None, urgency: Urgency) -> TransactionResult:
        """Sends a transaction, again while its outcome is unknown; returns UNKNOWN after `timeout_s` seconds."""
        started = time.monotonic()
        outcome_unknown = False
        while True:
            result = await self._store.txn(txn, urgency)
            if result.status in (TransactionStatus.COMMITTED, TransactionStatus.CONFLICT):
                return result
            if result.status is TransactionStatus.UNKNOWN:
                outcome_unknown = True
            elif not outcome_unknown:
                return result
            if timeout_s is not None and time.monotonic() - started > timeout_s:
                return TransactionResult(TransactionStatus.UNKNOWN)
            await curio.sleep(RETRY_UNKNOWN_S if result.status is TransactionStatus.UNKNOWN else RETRY_REFUSED_S)

    async def _unpack_seeds(self, keys: list[str], urgency: Urgency) -> TransactionResult | None:
        """Unpacks the shared values that hold any of these keys; returns the result that was no commit, or None."""
        if self._state.seeds is None:
            return None
        while packs := self._state.seeds.holding(keys):
            result = await self._unpack(packs[0], urgency)
            if result.status is not TransactionStatus.COMMITTED:
                return result
        return None

    async def _unpack(self, packed: PackedSeed, urgency: Urgency) -> TransactionResult:
        """Writes the records of a shared value under their own keys and deletes the value.

        Under limits that were lowered since the rebuild, it writes as many of the records as a transaction may hold,
        and the value with the others. The guards fail if another controller has unpacked the value since it was read.
        So no newer record is replaced.
        """
        from spurarch.storage.seeds import PackedSeed, split_pack

        assert self._state.seeds is not None
        limits = self._store.limits
        unpacked, rest = split_pack(packed.pack, limits.transaction_changes)
        if rest.records and len(wire.encode(rest)) > limits.value_bytes:
            self._report_oversize(packed, limits)
            return TransactionResult(TransactionStatus.INVALID)
        txn = wire.Txn(
            [wire.Guard(packed.key, packed.version), *(wire.Guard(record.key, 0) for record in unpacked)],
            [
                *(wire.Put(record.key, record.value) for record in unpacked),
                wire.Put(packed.key, rest) if rest.records else wire.Delete(packed.key),
            ],
        )
        result = await self._store.txn(txn, urgency)
        if result.status is TransactionStatus.COMMITTED:
            self._state.seeds.drop(packed.key)
            if rest.records:
                self._state.seeds.put(PackedSeed(packed.key, result.revision, rest))
            for record in unpacked:
                self._state.put_encoded(record.key, result.revision, record.value)
        elif result.status is not TransactionStatus.NOT_EXECUTED:
            await self._sync()  # another controller may have unpacked it, or this one without receiving the response
        return result

    def _report_oversize(self, packed: PackedSeed, limits: StateLimits) -> None:
        """Logs, once for each shared value, that it can't be unpacked within the limits."""
        if packed.key not in self._oversize_reported:
            self._oversize_reported.add(packed.key)
            log.warning(
                "shared value too large to be unpacked record=%s records=%d bytes=%d changes_allowed=%d"
                " value_bytes_allowed=%d",
                packed.key,
                len(packed.pack.records),
                len(wire.encode(packed.pack)),
                limits.transaction_changes,
                limits.value_bytes,
            )

    def _check_conflict(self, history: HistoryGuard, sent: dict[str, int], failed: list[str]) -> None:
        """Marks the history as lost if a guard failed although the local copy still has the guarded version.

        `sent` are the guarded versions by key, `failed` the keys whose guards failed. The copy was brought up to date
        after the conflict, so without data loss it holds the change that made the guard fail.
        """
        for key in failed:
            if key.startswith(records.LIVE) and sent.get(key, -1) == self._state.version(key):
                history.mark_lost(f"record {key} is not at {sent[key]}, and no change says why")


def _transaction(versions: dict[str, int], writes: list[Write]) -> wire.Txn:
    return wire.Txn(
        [wire.Guard(key, version) for key, version in versions.items()],
        [wire.Delete(w.key) if w.record is None else wire.Put(w.key, w.record, w.lease) for w in writes],
    )
