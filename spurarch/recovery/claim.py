"""Only one controller rebuilds at a time: a claim in the state service, with a heartbeat.

Time decides when another controller takes over, versions decide whether that is safe: every transaction of a rebuild
has the version of the claim and a key named after the rebuild as conditions. Leases of the state service are of no use
here, since their numbers start again in a service that was wiped.
"""

from __future__ import annotations

import time

import msgspec
from msgspec import Struct, field

from spurarch.errors import SpurarchError
from spurarch.protocol import wire
from spurarch.storage.errors import StoreUnavailableError
from spurarch.storage.history import CLAIM
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.store import Store
from spurarch.storage.transaction import TransactionResult, TransactionStatus

HEARTBEAT_S = 1.0
FINISHED = "opened"  # the step of a rebuild that has ended
EXPIRED_AFTER_S = 5.0  # several heartbeats: a claim that does not change for so long may be taken over


class ClaimRecord(Struct):
    """Which controller rebuilds. `epoch` is 0 until it is chosen; `step` is only shown to operators."""

    node: str
    process_incarnation: str = field(name="boot")
    name: str  # of the next history
    heartbeat_number: int = field(name="beat")
    epoch: int = 0
    step: str = ""


class ClaimLostError(SpurarchError):
    """Another controller rebuilds, or the state service lost its data once more."""


_decoder = msgspec.json.Decoder(ClaimRecord)


class RebuildClaim:
    """The claim, as one controller sees it."""

    def __init__(self, store: Store, node: str, process_incarnation: str) -> None:
        self._store, self._node, self._process_incarnation = store, node, process_incarnation
        self.record: ClaimRecord | None = None  # of the controller that has the claim
        self._version = 0
        self._unchanged_since = 0.0

    @property
    def mine(self) -> bool:
        """Whether this process has the claim."""
        return self.record is not None and self.record.process_incarnation == self._process_incarnation

    @property
    def version(self) -> int:
        """The revision of the claim's last change."""
        return self._version

    async def read(self) -> None:
        """Reads the claim. Raises `StoreUnavailableError`."""
        item = await self._store.get(CLAIM)
        version = item.version if item is not None else 0
        if version != self._version or self.record is None:
            self._version, self._unchanged_since = version, time.monotonic()
        try:
            self.record = _decoder.decode(item.value) if item is not None else None
        except msgspec.DecodeError:
            self.record = None  # unreadable: it may be overwritten

    async def acquire(self, name: str) -> bool:
        """Acquires the claim if it is free or has expired, by the last `read`; False if another controller has it.

        That read has to come before the one that shows which history is open: a rebuild that ends between the two
        changes the claim, and its history must not be taken for the lost one.
        """
        expired = time.monotonic() - self._unchanged_since > EXPIRED_AFTER_S
        free = self.record is None or self.record.step == FINISHED
        if not free and not self.mine and not expired:
            return False
        record = ClaimRecord(self._node, self._process_incarnation, name, 1, 0, "sealing")
        return (await self._write(record, [], [])).status is TransactionStatus.COMMITTED

    async def commit(
        self, guards: list[wire.Guard], changes: list[wire.Put | wire.Delete], step: str, epoch: int | None = None
    ) -> None:
        """Makes changes while this process has the claim.

        Raises `ClaimLostError`, or `StoreUnavailableError` if certainly nothing was changed.
        """
        record = self.record
        if record is None or record.process_incarnation != self._process_incarnation:
            raise ClaimLostError("the claim is not ours")
        after = ClaimRecord(
            self._node,
            self._process_incarnation,
            record.name,
            record.heartbeat_number + 1,
            record.epoch if epoch is None else epoch,
            step,
        )
        result = await self._write(after, guards, changes)
        if result.status is TransactionStatus.NOT_EXECUTED:
            raise StoreUnavailableError("the state service refused a change of the rebuilding")
        if result.status is not TransactionStatus.COMMITTED:
            raise ClaimLostError(f"{result.status.value} {result.failed_keys}")

    async def _write(
        self, record: ClaimRecord, guards: list[wire.Guard], changes: list[wire.Put | wire.Delete]
    ) -> TransactionResult:
        own = wire.Guard(CLAIM, self._version)
        txn = wire.Txn([own, *guards], [wire.Put(CLAIM, record), *changes])
        result = await self._store.txn(txn, Urgency.MEMBERSHIP)
        if result.status is TransactionStatus.UNKNOWN:
            result = await self._resolve_unknown(record, result)
        if result.status is TransactionStatus.COMMITTED:
            self.record, self._version, self._unchanged_since = record, result.revision, time.monotonic()
        return result

    async def _resolve_unknown(self, record: ClaimRecord, result: TransactionResult) -> TransactionResult:
        """Finds out whether a transaction with a lost response was executed: then the claim that it wrote is there.

        If it is not, it may still be executed later. The next transaction's conditions then fail, and the claim is
        lost.
        """
        item = await self._store.get(CLAIM)
        if item is not None and _decoder.decode(item.value) == record:
            return TransactionResult(TransactionStatus.COMMITTED, item.version)
        return result
