"""Keeps this controller's copy of the records fresh.

Reads the state service, and pings the peers for attestations of freshness while these reads fail.
"""

from __future__ import annotations

import time
from collections.abc import Mapping

import curio

from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.protocol import peer_messages
from spurarch.storage.replica import Replica
from spurarch.transport.network import PeerClient

CHECK_INTERVAL_S = 0.5
PING_INTERVAL_S = 1.0
PING_TIMEOUT_S = 2.0
MAX_COPY_AGE_S = 0.8  # an older copy is brought up to date; also the timeout of that read
PING_COPY_AGE_S = 1.5  # the peers are pinged while the copy is older


class FreshnessMonitor:
    """Keeps the copy of the records no older than about a second, and pings the peers while it can't be updated."""

    def __init__(
        self, node: str, replica: Replica, reachability: StoreReachability, clients: Mapping[str, PeerClient]
    ) -> None:
        self._node, self._replica, self._reachability, self._clients = node, replica, reachability, clients

    async def run(self) -> None:
        """Checks the age of the copy until cancelled."""
        while True:
            await self._check()
            await curio.sleep(CHECK_INTERVAL_S)

    async def _check(self) -> None:
        replica = self._replica
        if time.monotonic() - replica.synced_at <= MAX_COPY_AGE_S or await replica.sync(MAX_COPY_AGE_S):
            self._reachability.discard_synced_cancellations(replica.synced_at)
        elif time.monotonic() - replica.synced_at > PING_COPY_AGE_S:
            frame = peer_messages.encode(peer_messages.Ping(self._node))
            for node, client in self._clients.items():
                await curio.spawn(self._ping, node, client, frame, daemon=True)
            await curio.sleep(PING_INTERVAL_S - CHECK_INTERVAL_S)

    async def _ping(self, node: str, client: PeerClient, frame: bytes) -> None:
        sent_at = time.monotonic()
        response = await client.call(frame, PING_TIMEOUT_S)
        message = peer_messages.decode(response) if response is not None else None
        if isinstance(message, peer_messages.Pong):
            received_at = time.monotonic()
            self._reachability.on_pong(node, sent_at, received_at, message, self._replica.synced_at)
            await self._replica.notify()
