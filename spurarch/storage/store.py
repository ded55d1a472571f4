"""Client of the state service: one method per call, every wait bounded, every rate kept."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio
import msgspec

from spurarch.protocol import wire
from spurarch.settings import StateLimits
from spurarch.storage.errors import RevisionTooOldError, StoreUnavailableError
from spurarch.storage.rate_limits import AdaptiveFactor, TokenBucket, Urgency
from spurarch.storage.transaction import TransactionResult, TransactionStatus
from spurarch.transport.http import NoAnswerError
from spurarch.transport.network import Requests

if TYPE_CHECKING:
    from spurarch.storage.history import HistoryGuard

log = logging.getLogger(__name__)

CALL_S = 1.5
RATE_SHARE = 0.95
BACK_OFF = 0.7
RECOVER = 0.05
RECOVER_BELOW_PUBLISHED = 0.02  # slower where the rate is known to fall for good
LOG_EVERY_S = 10.0
BACKLOG_LEVEL = 0.4  # level of the bucket of changes below which more are wanted


def _floor(published: float, lowest: float) -> float:
    """The least part of a published rate that the service will always allow; 0 if nothing is known of a lower one."""
    return lowest / published if lowest < published else 0.0


@dataclass(slots=True)
class _KeyRead:
    """What stands under a key, and the revision of its last change; without a key, that of the service."""

    item: wire.Item | None
    revision: int


class Store:
    """The state service, as one controller sees it.

    The published rates hold for all controllers together. Each takes the share that its duties ask for: an even split
    would starve the busy one, and shares that add up to more would get everybody refused. Which duties there are is on
    record, so the shares add up to one as long as the copies agree; a refusal lowers ours for a while.
    """

    def __init__(
        self, client: Requests, limits: StateLimits, controllers: int, history: HistoryGuard | None = None
    ) -> None:
        self._client = client
        self.history = history  # only where lost data is to be noticed and rebuilt
        rps, write_rps = limits.rps, limits.write_rps
        self._rps, self._write_rps = rps, write_rps
        even = RATE_SHARE / controllers
        self._requests = TokenBucket(rps * even, rps * even)
        self._writes = TokenBucket(write_rps * even, write_rps * even)
        self._queues = {urgency: curio.Lock() for urgency in Urgency}
        recovery = RECOVER if limits.next is None else RECOVER_BELOW_PUBLISHED
        self._request_factor = AdaptiveFactor(_floor(rps, limits.lowest_rps), BACK_OFF, recovery)
        self._write_factor = AdaptiveFactor(_floor(write_rps, limits.lowest_write_rps), BACK_OFF, recovery)
        self.throttled_writes = 0  # transactions refused for a rate since this process started
        self._logged_at = 0.0
        self._recent, self._recent_at = 0.0, 0.0
        self._made: list[float] = [0, 0, 0, 0.0]  # requests, changes, refusals, longest wait since the last line of log

    @property
    def trusted(self) -> bool:
        """Nothing says that the service's data was lost."""
        return self.history is None or self.history.is_open

    @property
    def reserved_guards(self) -> int:
        """Conditions that are added to every transaction here."""
        return 0 if self.history is None else 1

    def set_shares(self, requests: float, writes: float) -> None:
        """This controller's shares of the published rates."""
        now = time.monotonic()
        self._request_factor.recover()
        self._write_factor.recover()
        requests *= RATE_SHARE * self._request_factor.value
        writes *= RATE_SHARE * self._write_factor.value
        self._requests.set_rate(now, self._rps * requests, self._rps * requests)
        self._writes.set_rate(now, self._write_rps * writes, self._write_rps * writes)
        if now - self._logged_at >= LOG_EVERY_S:
            span = now - self._logged_at
            log.info(
                "state service usage requests_per_second=%.1f changes_per_second=%.1f allowed_changes_per_second=%.1f refused=%d longest_wait_seconds=%.2f",
                self._made[0] / span,
                self._made[1] / span,
                self._writes.rate,
                self._made[2],
                self._made[3],
            )
            self._logged_at, self._made = now, [0, 0, 0, 0.0]

    def recent_writes(self) -> tuple[float, bool]:
        """Changes a second since this was last asked, and whether more of them wait in line."""
        now = time.monotonic()
        rate = self._recent / max(0.1, now - self._recent_at)
        self._recent, self._recent_at = 0.0, now
        return rate, self._writes.level(now) < BACKLOG_LEVEL

    @property
    def request_rate(self) -> float:
        """Requests a second that this controller may make."""
        return self._requests.rate

    @property
    def write_rate(self) -> float:
        """Changes a second that this controller may make."""
        return self._writes.rate

    def write_level(self) -> float:
        """How much of a second's changes is left, as a share; small or negative while changes wait in line."""
        return self._writes.level(time.monotonic())

    def record_peer_throttled(self) -> None:
        """Another controller's changes were refused: the rate is one for all."""
        self._write_factor.decrease()

    def _record_throttled(self, target: str) -> None:
        log.info("state service rate limit exceeded")
        self._made[2] += 1
        self._request_factor.decrease()
        self._requests.penalize(time.monotonic())
        if target == wire.PATH_TXN:
            # Nothing tells which of the two rates was exceeded.
            self.throttled_writes += 1
            self._write_factor.decrease()

    async def _call(
        self, method: str, target: str, body: bytes | None, wait_s: float = 0.0, urgency: Urgency = Urgency.STARTS
    ) -> tuple[int, bytes]:
        while delay := self._requests.delay(time.monotonic(), 1, urgency):
            await curio.sleep(delay)
        self._made[0] += 1
        status, answer = await self._client.request(method, target, body, CALL_S + wait_s)
        if status == 429:
            self._record_throttled(target)
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
        """Reads one key."""
        history = self.history
        if history is None:
            return (await self._get(key)).item
        before = await self._begin_read(history)
        found = await self._get(history.physical(key))
        if found.item is not None:
            found.item.key = key
            return found.item
        # That something does not exist is told to users for good: the history has to be in force at this moment.
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
        """Reads a page of keys."""
        history = self.history
        if history is None:
            return await self._page(prefix, after)
        before = await self._begin_read(history)
        page = await self._page(history.physical(prefix), None if after is None else history.physical(after))
        history.check_revision(before, page.revision, time.monotonic())
        for item in page.items:
            item.key = history.logical(item.key) or item.key
            history.note_recorded((item.key,), item.version)
        return page

    async def _page(self, prefix: str, after: str | None) -> wire.Page:
        status, answer = await self._read(f"{wire.PATH_KV}?{wire.query(prefix=prefix, after=after, limit=1000)}")
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        return _decode(wire.page_decoder, answer)

    async def watch(self, after: int, wait_ms: int) -> wire.Changes:
        """Every change after a revision, waiting up to `wait_ms` for the first."""
        history = self.history
        if history is None:
            return await self._watch(after, wait_ms)
        before = await self._begin_read(history)
        changes = await self._watch(after, wait_ms)
        history.check_revision(before, changes.revision, time.monotonic())
        taken = [history.take_event(event) for event in changes.events]
        history.check_open()
        return wire.Changes(changes.revision, [event for event in taken if event is not None])

    async def _watch(self, after: int, wait_ms: int) -> wire.Changes:
        target = f"{wire.PATH_WATCH}?{wire.query(prefix='', after=after, wait_ms=wait_ms)}"
        status, answer = await self._read(target, wait_ms / 1000)
        if status == 410:
            raise RevisionTooOldError
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        return _decode(wire.changes_decoder, answer)

    async def _begin_read(self, history: HistoryGuard) -> int:
        """The highest revision seen before the read; the history's marker is read first if that is due."""
        before = history.check_open()
        if history.needs_verification(time.monotonic()):
            await self._verify(history)
        return before

    async def _verify(self, history: HistoryGuard) -> None:
        """Reads the marker of the history."""
        marker = await self._get(history.marker)
        history.check_marker(marker.revision if marker.item is not None else 0, time.monotonic())

    def can_write_now(self, urgency: Urgency) -> bool:
        """A transaction of this urgency would not have to wait in line."""
        return not self._queues[urgency].locked() and self._writes.level(time.monotonic()) >= urgency.value

    async def txn(self, txn: wire.Txn, urgency: Urgency = Urgency.STARTS) -> TransactionResult:
        """Runs a transaction."""
        history = self.history
        if history is None:
            return await self._txn(txn, urgency)
        try:
            before = history.check_open()
        except StoreUnavailableError:
            return TransactionResult(TransactionStatus.NOT_EXECUTED)
        result = history.judge(before, await self._txn(history.bound(txn), urgency), time.monotonic())
        if result.status is TransactionStatus.COMMITTED:
            history.note_recorded((change.key for change in txn.then), result.revision)
        return result

    async def _txn(self, txn: wire.Txn, urgency: Urgency) -> TransactionResult:
        started = time.monotonic()
        # In line: otherwise whoever asks more often would be served, and a large transaction of a part might never be.
        async with self._queues[urgency]:
            while delay := self._writes.delay(time.monotonic(), len(txn.then), urgency):
                await curio.sleep(delay)
        self._made[1] += len(txn.then)
        self._recent += len(txn.then)
        self._made[3] = max(self._made[3], time.monotonic() - started)
        try:
            # Whoever got past the rate of changes goes before reads, which are many and can wait.
            urgency = Urgency.MEMBERSHIP if urgency is Urgency.MEMBERSHIP else Urgency.USERS
            status, answer = await self._call("POST", wire.PATH_TXN, wire.encode(txn), urgency=urgency)
        except NoAnswerError as err:
            return TransactionResult(TransactionStatus.UNKNOWN if err.sent else TransactionStatus.NOT_EXECUTED)
        try:
            if status == 200:
                return TransactionResult(TransactionStatus.COMMITTED, wire.txn_decoder.decode(answer).revision)
            if status == 409:
                body = wire.txn_decoder.decode(answer)
                return TransactionResult(TransactionStatus.CONFLICT, body.revision, body.failed)
        except msgspec.DecodeError:
            return TransactionResult(TransactionStatus.UNKNOWN)
        if status == 429:
            self._writes.penalize(time.monotonic())
            return TransactionResult(TransactionStatus.NOT_EXECUTED)
        if status == 503:
            return TransactionResult(TransactionStatus.NOT_EXECUTED)
        if status == 400 and b"lease" in answer:
            return TransactionResult(TransactionStatus.NO_LEASE)
        log.error("state service refused transaction status=%d error=%s", status, answer[:200])
        return TransactionResult(TransactionStatus.INVALID)

    async def grant(self, ttl_s: float) -> int | None:
        """Obtains a lease."""
        try:
            status, answer = await self._call(
                "POST", wire.PATH_GRANTS, wire.encode(wire.GrantRequest(int(ttl_s * 1000))), urgency=Urgency.MEMBERSHIP
            )
        except NoAnswerError:
            return None
        return _decode(wire.grant_decoder, answer).lease if status == 200 else None

    async def extend(self, lease: int) -> bool | None:
        """Renews a lease: True, False if it has ended, None if nobody can tell."""
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
