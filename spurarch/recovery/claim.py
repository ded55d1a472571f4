"""The claim in the state service that lets only one controller rebuild records at a time.

The holder renews the claim with every transaction. Another controller may acquire it after a timeout. The timeout alone
doesn't exclude a late transaction of the previous holder. Therefore every transaction of a rebuild has two guards: the
version of the claim and, once the lost history is sealed (see `spurarch.storage.history`), the version of the rebuild's
own key `history/rebuild/<name>`. Leases of the state service can't be used instead, because a wiped service reuses the
numbers of leases.
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

HEARTBEAT_INTERVAL_S = 1.0
FINISHED = "opened"  # value of `ClaimRecord.step` after a completed rebuild
CLAIM_TIMEOUT_S = 5.0  # an unchanged claim expires after several missed heartbeats


class ClaimRecord(Struct):
    """The controller that rebuilds the records, and its progress.

    Attributes:
        node: Controller that holds the claim.
        process_incarnation: Incarnation of its process.
        name: Name of the history that the rebuild will open.
        heartbeat_number: Number of transactions of the rebuild so far, including the one that acquired the claim.
        epoch: Partition epoch of the new history; 0 until it is chosen.
        step: Step of the rebuild. `FINISHED` frees the claim, other values are only shown to operators.
    """

    node: str
    process_incarnation: str = field(name="boot")
    name: str
    heartbeat_number: int = field(name="beat")
    epoch: int = 0
    step: str = ""


class ClaimLostError(SpurarchError):
    """This process no longer holds the claim: another controller acquired it, or the state service lost it."""


_decoder = msgspec.json.Decoder(ClaimRecord)


class RebuildClaim:
    """One controller's view of the claim, and the transactions that it makes as the holder."""

    def __init__(self, store: Store, node: str, process_incarnation: str) -> None:
        self._store, self._node, self._process_incarnation = store, node, process_incarnation
        self.record: ClaimRecord | None = None  # as last read or written; None if there is no readable claim
        self._version = 0
        self._unchanged_since = 0.0

    @property
    def is_own(self) -> bool:
        """Whether this process holds the claim, by the last read or write."""
        return self.record is not None and self.record.process_incarnation == self._process_incarnation

    @property
    def version(self) -> int:
        """The revision of the last known change of the claim; 0 if there is no claim."""
        return self._version

    async def read(self) -> None:
        """Reads the claim from the state service; raises `StoreUnavailableError`."""
        item = await self._store.get(CLAIM)
        version = item.version if item is not None else 0
        if version != self._version or self.record is None:
            self._version, self._unchanged_since = version, time.monotonic()
        try:
            self.record = _decoder.decode(item.value) if item is not None else None
        except msgspec.DecodeError:
            self.record = None  # an unreadable claim may be overwritten

    async def acquire(self, name: str) -> bool:
        """Acquires the claim for a rebuild with this name; returns whether this process now holds it.

        Succeeds if, by the last `read`, the claim was free, expired or held by this process, and has not changed since.
        Call `read` before reading which history is open. A rebuild of another controller that ends between these reads
        changes the claim, so this call fails and the history that was just opened is not treated as the lost one.

        Raises `StoreUnavailableError`.
        """
        expired = time.monotonic() - self._unchanged_since > CLAIM_TIMEOUT_S
        free = self.record is None or self.record.step == FINISHED
        if not free and not self.is_own and not expired:
            return False
        record = ClaimRecord(self._node, self._process_incarnation, name, 1, 0, "sealing")
        return (await self._execute(record, [], [])).status is TransactionStatus.COMMITTED

    async def commit(
        self, guards: list[wire.Guard], changes: list[wire.Put | wire.Delete], step: str, epoch: int | None = None
    ) -> None:
        """Commits changes under the given guards, on condition that this process still holds the claim.

        The same transaction renews the claim and sets its step and, unless None, its epoch. Raises `ClaimLostError`,
        or `StoreUnavailableError` if the state service executed nothing or can't be read after a lost response.
        """
        record = self.record
        if record is None or record.process_incarnation != self._process_incarnation:
            raise ClaimLostError("this process does not hold the rebuild claim; the rebuild has to start again")
        new_record = ClaimRecord(
            self._node,
            self._process_incarnation,
            record.name,
            record.heartbeat_number + 1,
            record.epoch if epoch is None else epoch,
            step,
        )
        result = await self._execute(new_record, guards, changes)
        if result.status is TransactionStatus.NOT_EXECUTED:
            raise StoreUnavailableError(
                "the state service did not execute a transaction of the rebuild; the rebuild has to start again"
            )
        if result.status is not TransactionStatus.COMMITTED:
            raise ClaimLostError(
                f"{result.status.value}: rebuild transaction not committed; failed guards: {result.failed_keys}"
            )

    async def _execute(
        self, record: ClaimRecord, guards: list[wire.Guard], changes: list[wire.Put | wire.Delete]
    ) -> TransactionResult:
        claim_guard = wire.Guard(CLAIM, self._version)
        txn = wire.Txn([claim_guard, *guards], [wire.Put(CLAIM, record), *changes])
        result = await self._store.txn(txn, Urgency.MEMBERSHIP)
        if result.status is TransactionStatus.UNKNOWN:
            result = await self._resolve_unknown(record, result)
        if result.status is TransactionStatus.COMMITTED:
            self.record, self._version, self._unchanged_since = record, result.revision, time.monotonic()
        return result

    async def _resolve_unknown(self, record: ClaimRecord, result: TransactionResult) -> TransactionResult:
        """Checks whether a transaction without a response was executed, by whether the claim has the value it wrote.

        Returns `result` unchanged if not. The transaction may then still be executed later: it changes the version of
        the claim, so the guards of this controller's next transaction fail and `commit` raises `ClaimLostError`.
        """
        item = await self._store.get(CLAIM)
        if item is not None and _decoder.decode(item.value) == record:
            return TransactionResult(TransactionStatus.COMMITTED, item.version)
        return result
