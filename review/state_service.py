"""A stand-in of the state service, written from PROTOCOL: keys, transactions, leases, watches and limits."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import Any

KEPT_CHANGES = 10_000
PAGE_ITEMS, PAGE_BYTES = 1000, 512 * 1024
Answer = tuple[int, Any]


class Bucket:
    """A limit per second that allows bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, amount: float) -> bool:
        """Takes an amount; returns False if the limit is exceeded."""
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateService:
    """The store; `handle` answers its HTTP requests."""

    def __init__(self, limits: dict[str, float]) -> None:
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.value_bytes, self.txn_ops = limits["value_kb"] * 1024, int(limits["txn_ops"])
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # value, revision of the last change, lease
        self.leases: dict[int, tuple[float, float]] = {}  # time to live, end
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.ledger = 0
        self.refused: list[str] = []  # malformed or too large requests
        self._changed = asyncio.Condition()
        self._last_lease = 0

    async def run(self) -> None:
        """Ends leases in time until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if now >= end]:
                await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, (_, _, owner) in self.keys.items() if owner == lease]
        if keys:
            await self._apply([{"drop": key} for key in keys])

    async def handle(self, method: str, path: str, query: dict[str, str], body: bytes) -> Answer:
        """Answers one request."""
        if not self.requests.take(1):
            return 429, {"error": "rate"}
        parts = path.strip("/").split("/")
        if method == "GET" and path == "/watch":
            return await self._watch(query)
        if method == "GET" and path == "/kv":
            return self._page(query)
        if method == "GET" and parts[0] == "kv":
            return self._get(path[len("/kv/") :])
        if method == "POST" and path == "/txn":
            return await self._txn(body)
        if parts[0] == "grants":
            return await self._grants(method, parts[1:], body)
        return 400, {"error": "malformed"}

    def _get(self, key: str) -> Answer:
        found = self.keys.get(key)
        if found is None:
            return 404, {"ledger": self.ledger}
        return 200, {"key": key, "value": found[0], "stamp": found[1], "tether": found[2]}

    def _page(self, query: dict[str, str]) -> Answer:
        prefix, after, most = query.get("prefix", ""), query.get("from", ""), int(query.get("most", PAGE_ITEMS))
        keys = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        items: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            item = {"key": key, "value": self.keys[key][0], "stamp": self.keys[key][1]}
            size += len(json.dumps(item))
            if len(items) >= min(most, PAGE_ITEMS) or (items and size > PAGE_BYTES):
                return 200, {"items": items, "has_next": True, "ledger": self.ledger}
            items.append(item)
        return 200, {"items": items, "has_next": False, "ledger": self.ledger}

    async def _txn(self, body: bytes) -> Answer:
        txn = json.loads(body)
        guards, then = txn.get("guards", []), txn.get("then", [])
        if not self.writes.take(len(then)):
            return 429, {"error": "rate"}
        sizes = [len(json.dumps(change.get("value", 0), separators=(",", ":"))) for change in then]
        if (
            len(then) > self.txn_ops
            or len(guards) > 4 * self.txn_ops
            or len(body) > 64 * 1024
            or max(sizes, default=0) > self.value_bytes
        ):
            self.refused.append(f"transaction with {len(then)} changes, {len(guards)} guards, {len(body)} bytes")
            return 400, {"error": "too large"}
        if any(change.get("tether") is not None and change["tether"] not in self.leases for change in then):
            return 400, {"error": "no such lease"}
        failed = [g["key"] for g in guards if self._version(g["key"]) != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        return 200, {"ledger": await self._apply(then) if then else self.ledger}

    def _version(self, key: str) -> int:
        return self.keys[key][1] if key in self.keys else 0

    async def _apply(self, changes: list[dict[str, Any]]) -> int:
        """Makes changes under one revision and returns it."""
        self.ledger += 1
        stamp = self.ledger
        for change in changes:
            if "write" in change:
                self.keys[change["write"]] = change["value"], stamp, change.get("tether")
                event = {"write": change["write"], "value": change["value"], "stamp": stamp}
            else:
                self.keys.pop(change["drop"], None)
                event = {"drop": change["drop"], "stamp": stamp}
            self.changes.append((stamp, event))
        del self.changes[:-KEPT_CHANGES]
        async with self._changed:
            self._changed.notify_all()
        return stamp

    async def _grants(self, method: str, parts: list[str], body: bytes) -> Answer:
        if method == "POST" and not parts:
            life_s = json.loads(body)["life_ms"] / 1000
            self._last_lease += 1
            self.leases[self._last_lease] = life_s, time.monotonic() + life_s
            return 200, {"tether": self._last_lease}
        lease = int(parts[0])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            await self._end_lease(lease)
        else:
            self.leases[lease] = self.leases[lease][0], time.monotonic() + self.leases[lease][0]
        return 200, {"tether": lease}

    async def _watch(self, query: dict[str, str]) -> Answer:
        prefix, start = query.get("prefix", ""), int(query.get("from", 0))
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        async with self._changed:
            while True:
                if len(self.changes) == KEPT_CHANGES and start < self.changes[0][0] - 1:
                    return 410, {"error": "too old"}
                news = self._changes_after(start, prefix)
                left = until - time.monotonic()
                if news or left <= 0:
                    return 200, {"ledger": self.ledger, "news": news}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left)

    def _changes_after(self, start: int, prefix: str) -> list[dict[str, Any]]:
        news: list[dict[str, Any]] = []
        for stamp, event in reversed(self.changes):
            if stamp <= start:
                break
            if (event.get("write") or event["drop"]).startswith(prefix):
                news.append(event)
        return news[::-1]
