"""Client of the state service: one method per call, every wait bounded, every rate kept."""

from __future__ import annotations

import enum
import logging
import time
from dataclasses import dataclass, field

import curio
import msgspec

from spurarch.bookkeeping.limits import TokenBucket
from spurarch.protocol import wire
from spurarch.transport.http import NoAnswer
from spurarch.transport.network import Requests

log = logging.getLogger(__name__)

CALL_S = 1.5
RATE_SHARE = 0.6


class Verdict(enum.Enum):
    """How a transaction ended."""

    DONE = "done"
    CONFLICT = "conflict"
    REFUSED = "refused"  # certainly not executed
    UNKNOWN = "unknown"  # may have been executed, or may be later
    NO_LEASE = "no lease"
    INVALID = "invalid"


@dataclass(slots=True)
class Outcome:
    """Result of a transaction."""

    verdict: Verdict
    revision: int = 0
    failed: list[str] = field(default_factory=list)


class Unavailable(Exception):
    """The state service did not serve a call."""


class TooOld(Exception):
    """A watch asked for changes that the service no longer has."""


class Store:
    """The state service, as one controller sees it.

    The published rates hold for all controllers together. Each takes a bit over its even share, since they are
    rarely busy at once, and backs off on 429.
    """

    def __init__(self, client: Requests, rps: float, write_rps: float, controllers: int) -> None:
        self._client = client
        share = RATE_SHARE if controllers > 1 else 0.9
        self._requests = TokenBucket(rps * share, rps * share)
        self._writes = TokenBucket(write_rps * share, write_rps * share)

    async def _call(
        self, method: str, target: str, body: bytes | None, wait_s: float = 0.0, urgent: bool = False
    ) -> tuple[int, bytes]:
        while delay := self._requests.delay(time.monotonic(), 1, urgent):
            await curio.sleep(delay)
        status, answer = await self._client.request(method, target, body, CALL_S + wait_s)
        if status == 429:
            log.info("state service: over the rate")
            self._requests.penalize(time.monotonic())
        return status, answer

    async def _read(self, target: str, wait_s: float = 0.0) -> tuple[int, bytes]:
        try:
            status, answer = await self._call("GET", target, None, wait_s)
        except NoAnswer as err:
            raise Unavailable(str(err)) from None
        if status in (429, 503):
            raise Unavailable(str(status))
        return status, answer

    async def get(self, key: str) -> wire.Item | None:
        """Reads one key."""
        status, answer = await self._read(f"{wire.PATH_KV}/{key}")
        if status == 404:
            return None
        if status != 200:
            raise Unavailable(f"status {status}")
        return _decode(wire.item_decoder, answer)

    async def page(self, prefix: str, after: str | None) -> wire.Page:
        """Reads a page of keys."""
        status, answer = await self._read(f"{wire.PATH_KV}?{wire.query(prefix=prefix, after=after, limit=1000)}")
        if status != 200:
            raise Unavailable(f"status {status}")
        return _decode(wire.page_decoder, answer)

    async def watch(self, after: int, wait_ms: int) -> wire.Changes:
        """Every change after a revision, waiting up to `wait_ms` for the first."""
        target = f"{wire.PATH_WATCH}?{wire.query(prefix='', after=after, wait_ms=wait_ms)}"
        status, answer = await self._read(target, wait_ms / 1000)
        if status == 410:
            raise TooOld
        if status != 200:
            raise Unavailable(f"status {status}")
        return _decode(wire.changes_decoder, answer)

    async def txn(self, txn: wire.Txn, urgent: bool = False) -> Outcome:
        """Runs a transaction."""
        while delay := self._writes.delay(time.monotonic(), len(txn.then), urgent):
            await curio.sleep(delay)
        try:
            status, answer = await self._call("POST", wire.PATH_TXN, wire.encode(txn), urgent=urgent)
        except NoAnswer as err:
            return Outcome(Verdict.UNKNOWN if err.sent else Verdict.REFUSED)
        try:
            if status == 200:
                return Outcome(Verdict.DONE, wire.txn_decoder.decode(answer).revision)
            if status == 409:
                body = wire.txn_decoder.decode(answer)
                return Outcome(Verdict.CONFLICT, body.revision, body.failed)
        except msgspec.DecodeError:
            return Outcome(Verdict.UNKNOWN)
        if status == 429:
            self._writes.penalize(time.monotonic())
            return Outcome(Verdict.REFUSED)
        if status == 503:
            return Outcome(Verdict.REFUSED)
        if status == 400 and b"lease" in answer:
            return Outcome(Verdict.NO_LEASE)
        log.error("state service refused a transaction: %d %s", status, answer[:200])
        return Outcome(Verdict.INVALID)

    async def grant(self, ttl_s: float) -> int | None:
        """Obtains a lease."""
        try:
            status, answer = await self._call(
                "POST", wire.PATH_GRANTS, wire.encode(wire.GrantRequest(int(ttl_s * 1000))), urgent=True
            )
        except NoAnswer:
            return None
        return _decode(wire.grant_decoder, answer).lease if status == 200 else None

    async def extend(self, lease: int) -> bool | None:
        """Renews a lease: True, False if it has ended, None if nobody can tell."""
        target = f"{wire.PATH_GRANTS}/{lease}/{wire.PATH_EXTEND}"
        try:
            status, _ = await self._call("POST", target, b"{}", urgent=True)
        except NoAnswer:
            return None
        return True if status == 200 else False if status == 404 else None


def _decode(decoder: msgspec.json.Decoder[wire.T], answer: bytes) -> wire.T:
    try:
        return decoder.decode(answer)
    except msgspec.DecodeError as err:
        raise Unavailable(f"unreadable answer: {err}") from None
