"""The state service: keys with versions, leases, transactions, watches and the published limits."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from typing import Any

from stand_ins.http import Answer, Request, Server

KEPT_CHANGES = 10_000
PAGE_ITEMS, PAGE_BYTES = 1000, 512 * 1024
MAX_TRANSACTION_BYTES = 64 * 1024
GUARDS_PER_CHANGE = 4
LATENCY_S = 0.003


class _Bucket:
    """Allows `rate` units per second, and bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate, self._level, self._at = rate, rate, time.monotonic()

    def take(self, amount: float) -> bool:
        now = time.monotonic()
        self._level = min(self.rate, self._level + (now - self._at) * self.rate)
        self._at = now
        if self._level < amount:
            return False
        self._level -= amount
        return True


class StateService:
    """The state service; every controller reaches it at an address of its own, so that one can be refused alone."""

    def __init__(self, rps: float, write_rps: float, value_bytes: int, txn_ops: int) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # value, version and lease
        self.leases: dict[int, tuple[float, float]] = {}  # time to live and expiry
        self.revision = 0
        self.changes: deque[tuple[int, dict[str, Any]]] = deque(maxlen=KEPT_CHANGES)
        self.oldest = 0  # a watch from before this revision gets 410
        self.refused: set[str] = set()  # names of the controllers that get 503
        self.servers: dict[str, Server] = {}
        self._requests, self._writes = _Bucket(rps), _Bucket(write_rps)
        self._value_bytes, self._txn_ops = value_bytes, txn_ops
        self._next_lease = 1
        self._changed = asyncio.Event()
        self.throttled = 0
        self.refusals: list[str] = []  # requests that got 400

    async def open(self, name: str) -> str:
        """Opens the address of one controller and returns it."""

        async def handle(request: Request) -> Answer:
            return await self._handle(name, request)

        self.servers[name] = Server("127.0.0.1", 0, handle)
        await self.servers[name].start()
        return self.servers[name].address

    async def run(self) -> None:
        """Ends leases until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if not self._down_for_all():
                self._expire()

    def _down_for_all(self) -> bool:
        return set(self.servers) <= self.refused

    def begin_outage(self) -> None:
        """Refuses all requests of all controllers."""
        self.refused = set(self.servers)

    def end_outage(self) -> None:
        """Serves all controllers again; all leases regain their full time."""
        now = time.monotonic()
        self.leases = {lease: (life, now + life) for lease, (life, _) in self.leases.items()}
        self.refused = set()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if now >= end]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        dropped = [key for key, (_, _, owner) in self.keys.items() if owner == lease]
        if dropped:
            self.revision += 1
            for key in dropped:
                del self.keys[key]
                self._add_change({"drop": key, "stamp": self.revision})
            self._wake()

    def _add_change(self, change: dict[str, Any]) -> None:
        if len(self.changes) == KEPT_CHANGES:
            self.oldest = self.changes[0][0]
        self.changes.append((self.revision, change))

    async def _handle(self, name: str, request: Request) -> Answer:
        await asyncio.sleep(LATENCY_S)
        if name in self.refused and request.path != "/watch":
            return 503, {"error": "trouble"}
        if name in self.refused:
            return 503, {"error": "trouble"}
        if not self._requests.take(1):
            self.throttled += 1
            return 429, {"error": "rate"}
        if request.path == "/txn":
            return self._transact(request)
        if request.path == "/watch":
            return await self._watch(name, request)
        if request.path.startswith("/grants"):
            return self._lease(request)
        if request.path == "/kv":
            return self._page(request)
        key = request.path.removeprefix("/kv/")
        if key not in self.keys:
            return 404, {"ledger": self.revision}
        value, version, lease = self.keys[key]
        return 200, {"key": key, "value": value, "stamp": version, "tether": lease}

    def _page(self, request: Request) -> Answer:
        prefix, after = request.query.get("prefix", ""), request.query.get("from", "")
        most = min(PAGE_ITEMS, int(request.query.get("most", PAGE_ITEMS)))
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        items, size = [], 0
        for key in names:
            value, version, lease = self.keys[key]
            item = {"key": key, "value": value, "stamp": version, "tether": lease}
            size += len(json.dumps(item))
            if len(items) >= most or (items and size > PAGE_BYTES):
                break
            items.append(item)
        return 200, {"items": items, "has_next": len(items) < len(names), "ledger": self.revision}

    def _lease(self, request: Request) -> Answer:
        parts = request.path.strip("/").split("/")
        now = time.monotonic()
        if len(parts) == 1:
            life = request.json()["life_ms"] / 1000
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self.leases[lease] = life, now + life
            return 200, {"tether": lease}
        lease = int(parts[1])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if request.method == "DELETE":
            self._end_lease(lease)
        else:
            life, _ = self.leases[lease]
            self.leases[lease] = life, now + life
        return 200, {}

    def _transact(self, request: Request) -> Answer:
        body = request.json()
        guards, changes = body["guards"], body.get("then", [])
        values = [len(json.dumps(change["value"], separators=(",", ":"))) for change in changes if "write" in change]
        if (
            len(request.body) > MAX_TRANSACTION_BYTES
            or len(changes) > self._txn_ops
            or len(guards) > GUARDS_PER_CHANGE * self._txn_ops
            or max(values, default=0) > self._value_bytes
        ):
            self.refusals.append(f"{len(changes)} changes, {len(guards)} guards, {len(request.body)} bytes")
            return 400, {"error": "too large"}
        if not self._writes.take(len(changes)):
            self.throttled += 1
            return 429, {"error": "rate"}
        if any(change.get("tether") is not None and change["tether"] not in self.leases for change in changes):
            return 400, {"error": "no such lease"}
        failed = [g["key"] for g in guards if self.keys.get(g["key"], (None, 0, None))[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "write" in change:
                self.keys[change["write"]] = change["value"], self.revision, change.get("tether")
                self._add_change({"write": change["write"], "value": change["value"], "stamp": self.revision})
            else:
                self.keys.pop(change["drop"], None)
                self._add_change({"drop": change["drop"], "stamp": self.revision})
        self._wake()
        return 200, {"ledger": self.revision}

    async def _watch(self, name: str, request: Request) -> Answer:
        after = int(request.query["from"])
        prefix = request.query.get("prefix", "")
        until = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if after < self.oldest:
                return 410, {"error": "too old"}
            news = []
            for revision, change in reversed(self.changes):
                if revision <= after:
                    break
                if (change.get("write") or change.get("drop", "")).startswith(prefix):
                    news.append(change)
            left = until - time.monotonic()
            if name not in self.refused and (news or left <= 0):
                return 200, {"ledger": self.revision, "news": news[::-1]}
            try:
                await asyncio.wait_for(self._changed.wait(), max(0.05, left))
            except TimeoutError:
                continue
