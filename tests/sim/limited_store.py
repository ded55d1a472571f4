"""A state service, without network or time, that refuses transactions beyond its published limits."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec

from spurarch.protocol import wire
from spurarch.settings import StateLimits
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.transaction import TransactionResult, TransactionStatus

MAX_REQUEST_BYTES = 64 * 1024


class LimitedStore:
    """Replaces `Store`: commits transactions within the limits; `refused` says what was wrong with the others."""

    def __init__(self, limits: StateLimits) -> None:
        self.history = None
        self.rates: Any = SimpleNamespace(can_write_now=lambda urgency: True)
        self.revision = 0
        self.committed: list[wire.Txn] = []
        self.refused: list[str] = []
        self.limits = limits

    async def txn(self, txn: wire.Txn, urgency: Urgency = Urgency.STARTS) -> TransactionResult:
        """Commits a transaction or refuses it; guards are taken to hold."""
        excess = self._excess(txn)
        if excess is not None:
            self.refused.append(excess)
            return TransactionResult(TransactionStatus.INVALID)
        self.revision += 1
        self.committed.append(txn)
        return TransactionResult(TransactionStatus.COMMITTED, self.revision)

    def _excess(self, txn: wire.Txn) -> str | None:
        max_changes = self.limits.transaction_changes
        if len(txn.then) > max_changes:
            return f"{len(txn.then)} changes"
        if len(txn.guards) > 4 * max_changes:
            return f"{len(txn.guards)} guards"
        request_bytes = len(wire.encode(txn))
        if request_bytes > MAX_REQUEST_BYTES:
            return f"{request_bytes} bytes"
        for change in txn.then:
            if isinstance(change, wire.Put) and len(msgspec.json.encode(change.value)) > self.limits.value_bytes:
                return f"value of {change.key}"
        return None
