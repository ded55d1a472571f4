"""Rate-limited client of the state service: one method for each call, with a timeout."""

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
from spurarch.transport.network import RequestClient

if TYPE_CHECKING:
    from spurarch.storage.history import HistoryGuard

log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.5  # without the time that the service may wait for changes
KEYS_PER_PAGE = 1000


@dataclass(slots=True)
class _KeyRead:
    """Result of reading one key.

    `item` is None if the key does not exist. `revision` is that of the key's last change. For a missing key, it is the
    service's current revision, or 0 without a `HistoryGuard`.
    """

    item: wire.Item | None
    revision: int


class Store:
    """Client of the state service.

    With a `HistoryGuard`, keys are translated to those of the current history (see `spurarch.storage.history`). Pages,
    watches, transactions and reads of missing keys are checked for signs that the service lost data. For a read of an
    existing key, only the history's marker is verified, if that is due. Without a guard, calls are sent unchanged.
    """

    def __init__(
        self, client: RequestClient, limits: StateLimits, controllers: int, history: HistoryGuard | None = None
    ) -> None:
        self._client = client
        self.limits = limits
        self.history = history  # None if recovery is disabled
        self.rates = StoreRates(limits, controllers)

    @property
    def trusted(self) -> bool:
        """Whether the records can be trusted: the history is open, or recovery is disabled."""
        return self.history is None or self.history.is_open

    async def _call(
        self, method: str, target: str, body: bytes | None, wait_s: float = 0.0, urgency: Urgency = Urgency.STARTS
    ) -> tuple[int, bytes]:
        await self.rates.wait_for_request(urgency)
        status, response_body = await self._client.request(method, target, body, CALL_TIMEOUT_S + wait_s)
        if status == 429:
            self.rates.record_throttled(transaction=target == wire.PATH_TXN)
        return status, response_body

    async def _read(self, target: str, wait_s: float = 0.0) -> tuple[int, bytes]:
        try:
            status, response_body = await self._call("GET", target, None, wait_s)
        except NoAnswerError as err:
            raise StoreUnavailableError(str(err)) from None
        if status in (429, 503):
            raise StoreUnavailableError(str(status))
        return status, response_body

    async def get(self, key: str) -> wire.Item | None:
        """Reads one key; returns None if it does not exist. Raises `StoreUnavailableError`."""
        history = self.history
        if history is None:
            return (await self._get(key)).item
        before = await self._begin_read(history)
        found = await self._get(history.physical(key))
        if found.item is not None:
            found.item.key = key
            return found.item
        # The caller possibly tells a user that a job does not exist, which the user takes as final. So the history has
        # to be verified as open now.
        history.check_revision(before, found.revision, time.monotonic())
        await self._verify(history)
        return None

    async def _get(self, key: str) -> _KeyRead:
        status, response_body = await self._read(f"{wire.PATH_KV}/{key}")
        if status == 404:
            return _KeyRead(None, _decode(wire.txn_decoder, response_body).revision if self.history is not None else 0)
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        item = _decode(wire.item_decoder, response_body)
        return _KeyRead(item, item.version)

    async def page(self, prefix: str, after: str | None) -> wire.Page:
        """Reads one page of the keys with a prefix, those after the key `after`. Raises `StoreUnavailableError`."""
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
        status, response_body = await self._read(
            f"{wire.PATH_KV}?{wire.query(prefix=prefix, after=after, limit=KEYS_PER_PAGE)}"
        )
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        return _decode(wire.page_decoder, response_body)

    async def watch(self, after: int, wait_ms: int) -> wire.Changes:
        """Reads all changes after a revision, waiting up to `wait_ms` milliseconds for the first one.

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
        status, response_body = await self._read(target, wait_ms / 1000)
        if status == 410:
            raise RevisionTooOldError
        if status != 200:
            raise StoreUnavailableError(f"the state service responded to a watch with status {status}")
        return _decode(wire.changes_decoder, response_body)

    async def _begin_read(self, history: HistoryGuard) -> int:
        """Returns the highest revision seen before the read, and verifies the history's marker if that is due.

        Raises `StoreUnavailableError`.
        """
        before = history.check_open()
        if history.needs_verification(time.monotonic()):
            await self._verify(history)
        return before

    async def _verify(self, history: HistoryGuard) -> None:
        """Reads the history's marker and marks the history as lost if the marker has changed.

        Raises `StoreUnavailableError`, which includes `HistoryClosedError`.
        """
        marker = await self._get(history.marker)
        history.check_marker(marker.revision if marker.item is not None else 0, time.monotonic())

    async def txn(self, txn: wire.Txn, urgency: Urgency = Urgency.STARTS) -> TransactionResult:
        """Sends a transaction once; the result covers every failure, `StoreUnavailableError` is never raised."""
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
        # A transaction that has passed the limit on changes takes precedence over reads, which are many and can wait.
        urgency = Urgency.MEMBERSHIP if urgency is Urgency.MEMBERSHIP else Urgency.USERS
        try:
            status, response_body = await self._call("POST", wire.PATH_TXN, wire.encode(txn), urgency=urgency)
        except NoAnswerError as err:
            return TransactionResult(TransactionStatus.UNKNOWN if err.may_be_sent else TransactionStatus.NOT_EXECUTED)
        return _transaction_result(status, response_body)

    async def grant(self, ttl_s: float) -> int | None:
        """Creates a lease that expires after `ttl_s` seconds; returns its id, or None if that failed.

        Raises `StoreUnavailableError` if the response can't be decoded.
        """
        try:
            status, response_body = await self._call(
                "POST", wire.PATH_GRANTS, wire.encode(wire.GrantRequest(int(ttl_s * 1000))), urgency=Urgency.MEMBERSHIP
            )
        except NoAnswerError:
            return None
        return _decode(wire.grant_decoder, response_body).lease if status == 200 else None

    async def extend(self, lease: int) -> bool | None:
        """Renews a lease; returns True if it was renewed, False if it has expired, None if the outcome is unknown."""
        target = f"{wire.PATH_GRANTS}/{lease}/{wire.PATH_EXTEND}"
        try:
            status, _ = await self._call("POST", target, b"{}", urgency=Urgency.MEMBERSHIP)
        except NoAnswerError:
            return None
        return True if status == 200 else False if status == 404 else None


def _decode(decoder: msgspec.json.Decoder[wire.T], response_body: bytes) -> wire.T:
    try:
        return decoder.decode(response_body)
    except msgspec.DecodeError as err:
        raise StoreUnavailableError(f"unreadable answer: {err}") from None


def _transaction_result(status: int, response_body: bytes) -> TransactionResult:
    try:
        if status == 200:
            return TransactionResult(TransactionStatus.COMMITTED, wire.txn_decoder.decode(response_body).revision)
        if status == 409:
            body = wire.txn_decoder.decode(response_body)
            return TransactionResult(TransactionStatus.CONFLICT, body.revision, body.failed)
    except msgspec.DecodeError:
        return TransactionResult(TransactionStatus.UNKNOWN)
    if status in (429, 503):
        return TransactionResult(TransactionStatus.NOT_EXECUTED)
    if status == 400 and b"lease" in response_body:
        return TransactionResult(TransactionStatus.NO_LEASE)
    log.error("state service refused transaction status=%d error=%s", status, response_body[:200])
    return TransactionResult(TransactionStatus.INVALID)
