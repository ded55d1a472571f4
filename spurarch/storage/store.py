"""Client of the state service: one method for each call, with a timeout, within the published rates."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from spurarch.protocol import wire
from spurarch.settings import StateLimits
from spurarch.storage.errors import RevisionTooOldError, StoreUnavailableError
from spurarch.storage.rate_limits import StoreRates, Urgency
from spurarch.storage.transaction import TransactionResult, TransactionStatus
from spurarch.transport.http import NoAnswerError
from spurarch.transport.network import Requests

if TYPE_CHECKING:
    from spurarch.storage.history import HistoryGuard

log = logging.getLogger(__name__)

CALL_S = 1.5
PAGE_KEYS = 1000


@dataclass(slots=True)
class _KeyRead:
    """The value of a key and the revision of its last change; if the key does not exist, the service's revision."""

    item: wire.Item | None
    revision: int


class Store:
    """The state service, as one controller sees it.

    With a `HistoryGuard`, every read and transaction is checked for signs that the service's data was lost, and keys
    are translated to those of the history in force. Without one, calls are passed on as they are.
    """

    def __init__(
        self, client: Requests, limits: StateLimits, controllers: int, history: HistoryGuard | None = None
    ) -> None:
        self._client = client
        self.history = history  # only where lost data is to be noticed and rebuilt
        self.rates = StoreRates(limits, controllers)

    @property
    def trusted(self) -> bool:
        """Whether there is no sign that the service's data was lost."""
        return self.history is None or self.history.is_open

    @property
    def reserved_guards(self) -> int:
        """Number of conditions that are added to every transaction here."""
        return 0 if self.history is None else 1

    async def _call(
        self, method: str, target: str, body: bytes | None, wait_s: float = 0.0, urgency: Urgency = Urgency.STARTS
    ) -> tuple[int, bytes]:
        await self.rates.wait_for_request(urgency)
        status, answer = await self._client.request(method, target, body, CALL_S + wait_s)
        if status == 429:
            self.rates.record_throttled(transaction=target == wire.PATH_TXN)
        return status, answer

    async def _read(self, target: str, wait_s: float = 0.0) -> tuple[int, bytes]:
        try:
            status, answer = await self._call("GET", target, None, wait_s)
        except NoAnswerError as err:
            raise StoreUnavailableError(str(err)) from None
        if status in (429, 503):
            raise StoreUnavailableError(str(status))
        return status, answer

    async def get(self, key: str) -> wire.Item | None:
        """Reads one key; None if it does not exist. Raises `StoreUnavailableError`."""
        history = self.history
        if history is None:
            return (await self._get(key)).item
        before = await self._begin_read(history)
        found = await self._get(history.physical(key))
        if found.item is not None:
            found.item.key = key
            return found.item
        # A user may be told for good that the key does not exist: the history has to be in force at this moment.
        history.check_revision(before, found.revision, time.monotonic())
        await self._verify(history)
        return None

    async def _get(self, key: str) -> _KeyRead:
        status, answer = await self._read(f"{wire.PATH_KV}/{key}")
        if status == 404:
            return _KeyRead(None, _decode(wire.txn_decoder, answer).revision if self.history is not None else 0)
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        item = _decode(wire.item_decoder, answer)
        return _KeyRead(item, item.version)

    async def page(self, prefix: str, after: str | None) -> wire.Page:
        """Reads a page of the keys with a prefix, from the one that follows `after`. Raises `StoreUnavailableError`."""
        history = self.history
        if history is None:
            return await self._page(prefix, after)
        before = await self._begin_read(history)
        page = await self._page(history.physical(prefix), None if after is None else history.physical(after))
        history.check_revision(before, page.revision, time.monotonic())
        for item in page.items:
            item.key = history.logical(item.key) or item.key
            history.record_change((item.key,), item.version)
        return page

    async def _page(self, prefix: str, after: str | None) -> wire.Page:
        status, answer = await self._read(f"{wire.PATH_KV}?{wire.query(prefix=prefix, after=after, limit=PAGE_KEYS)}")
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        return _decode(wire.page_decoder, answer)

    async def watch(self, after: int, wait_ms: int) -> wire.Changes:
        """Reads every change after a revision, waiting up to `wait_ms` milliseconds for the first.

        Raises `RevisionTooOldError` or `StoreUnavailableError`.
        """
        history = self.history
        if history is None:
            return await self._watch(after, wait_ms)
        before = await self._begin_read(history)
        changes = await self._watch(after, wait_ms)
        history.check_revision(before, changes.revision, time.monotonic())
        events = [history.process_event(event) for event in changes.events]
        history.check_open()
        return wire.Changes(changes.revision, [event for event in events if event is not None])

    async def _watch(self, after: int, wait_ms: int) -> wire.Changes:
        target = f"{wire.PATH_WATCH}?{wire.query(prefix='', after=after, wait_ms=wait_ms)}"
        status, answer = await self._read(target, wait_ms / 1000)
        if status == 410:
            raise RevisionTooOldError
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        return _decode(wire.changes_decoder, answer)

    async def _begin_read(self, history: HistoryGuard) -> int:
        """The highest revision seen before the read; the history's marker is verified first if that is due."""
        before = history.check_open()
        if history.needs_verification(time.monotonic()):
            await self._verify(history)
        return before

    async def _verify(self, history: HistoryGuard) -> None:
        """Reads the marker of the history and checks that it is the one in force."""
        marker = await self._get(history.marker)
        history.check_marker(marker.revision if marker.item is not None else 0, time.monotonic())

    async def txn(self, txn: wire.Txn, urgency: Urgency = Urgency.STARTS) -> TransactionResult:
        """Runs a transaction once; never raises `StoreUnavailableError`."""
        history = self.history
        if history is None:
            return await self._txn(txn, urgency)
        try:
            before = history.check_open()
        except StoreUnavailableError:
            return TransactionResult(TransactionStatus.NOT_EXECUTED)
        result = history.check_result(
            before, await self._txn(history.guarded_transaction(txn), urgency), time.monotonic()
        )
        if result.status is TransactionStatus.COMMITTED:
            history.record_change((change.key for change in txn.then), result.revision)
        return result

    async def _txn(self, txn: wire.Txn, urgency: Urgency) -> TransactionResult:
        await self.rates.wait_for_writes(len(txn.then), urgency)
        # A transaction that got past the rate of changes goes before reads, which are many and can wait.
        urgency = Urgency.MEMBERSHIP if urgency is Urgency.MEMBERSHIP else Urgency.USERS
        try:
            status, answer = await self._call("POST", wire.PATH_TXN, wire.encode(txn), urgency=urgency)
        except NoAnswerError as err:
            return TransactionResult(TransactionStatus.UNKNOWN if err.sent else TransactionStatus.NOT_EXECUTED)
        return _transaction_result(status, answer)

    async def grant(self, ttl_s: float) -> int | None:
        """Obtains a lease of `ttl_s` seconds; None if that failed."""
        try:
            status, answer = await self._call(
                "POST", wire.PATH_GRANTS, wire.encode(wire.GrantRequest(int(ttl_s * 1000))), urgency=Urgency.MEMBERSHIP
            )
        except NoAnswerError:
            return None
        return _decode(wire.grant_decoder, answer).lease if status == 200 else None

    async def extend(self, lease: int) -> bool | None:
        """Renews a lease: True, False if it has expired, None if the outcome is not known."""
        target = f"{wire.PATH_GRANTS}/{lease}/{wire.PATH_EXTEND}"
        try:
            status, _ = await self._call("POST", target, b"{}", urgency=Urgency.MEMBERSHIP)
        except NoAnswerError:
            return None
        return True if status == 200 else False if status == 404 else None


def _decode(decoder: msgspec.json.Decoder[wire.T], answer: bytes) -> wire.T:
    try:
        return decoder.decode(answer)
    except msgspec.DecodeError as err:
        raise StoreUnavailableError(f"unreadable answer: {err}") from None


def _transaction_result(status: int, answer: bytes) -> TransactionResult:
    try:
        if status == 200:
            return TransactionResult(TransactionStatus.COMMITTED, wire.txn_decoder.decode(answer).revision)
        if status == 409:
            body = wire.txn_decoder.decode(answer)
            return TransactionResult(TransactionStatus.CONFLICT, body.revision, body.failed)
    except msgspec.DecodeError:
        return TransactionResult(TransactionStatus.UNKNOWN)
    if status in (429, 503):
        return TransactionResult(TransactionStatus.NOT_EXECUTED)
    if status == 400 and b"lease" in answer:
        return TransactionResult(TransactionStatus.NO_LEASE)
    log.error("state service refused transaction status=%d error=%s", status, answer[:200])
    return TransactionResult(TransactionStatus.INVALID)
