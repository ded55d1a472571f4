"""The channel between controllers: what this one tells its peers, and how it answers theirs.

Every message may be lost without harm: what it says is on record, or is said again.
"""

from __future__ import annotations

import time
from collections.abc import Mapping

import curio

from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.coordination.rate_sharing import RateSharing
from spurarch.protocol import peer_messages
from spurarch.protocol.peer_messages import PeerMessage, Pong
from spurarch.storage.replica import Replica
from spurarch.transport.network import Calls, broadcast

NOTIFICATION_INTERVAL_S = 0.02  # changes within this time are announced together
PONG_SYNC_S = 0.8  # how long a read of the state service may delay the answer to a ping


class PeerNotifier:
    """Tells the peers of changes on record and of cancellations."""

    def __init__(self, clients: Mapping[str, Calls]) -> None:
        self._clients = clients
        self._state_changed = curio.Event()

    async def notify_state_changed(self) -> None:
        """Has the peers told soon that something was written that they will want to read."""
        await self._state_changed.set()

    async def notify_cancelled(self, job_id: str) -> None:
        """Tells the peers of a cancellation before its user is told.

        Peers may be cut off from the state service at this moment, and the service may be down in the next.
        """
        await broadcast(self._clients.values(), peer_messages.encode(peer_messages.JobsCancelled([job_id])))

    async def run(self) -> None:
        """Announces changes until cancelled."""
        while True:
            await self._state_changed.wait()
            self._state_changed.clear()
            await broadcast(self._clients.values(), peer_messages.encode(peer_messages.StateChanged()))
            await curio.sleep(NOTIFICATION_INTERVAL_S)


class PeerMessageHandler:
    """Answers the messages of peers, except those of a recovery."""

    def __init__(
        self,
        node: str,
        process_incarnation: str,
        replica: Replica,
        reachability: StoreReachability,
        rate_sharing: RateSharing,
    ) -> None:
        self._node, self._process_incarnation = node, process_incarnation
        self._replica, self._reachability, self._rate_sharing = replica, reachability, rate_sharing
        self._started_at = time.monotonic()

    async def on_frame(self, frame: bytes) -> bytes:
        """Applies a peer's message and returns the frame that answers it; unreadable ones are acknowledged too."""
        answer: PeerMessage = peer_messages.StateChanged()  # the common acknowledgement
        match peer_messages.decode(frame):
            case peer_messages.Load() as load:
                self._rate_sharing.on_peer_load(load, time.monotonic())
            case peer_messages.StateChanged():
                await curio.spawn(self._replica.sync, daemon=True)
            case peer_messages.Ping():
                answer = await self._pong()
            case peer_messages.JobsCancelled(jobs):
                self._reachability.record_cancelled(jobs, time.monotonic())
                await self._replica.notify()
        return peer_messages.encode(answer)

    async def _pong(self) -> Pong:
        """All that this controller knows, whether or not it reaches the state service: a peer may go on by it."""
        replica = self._replica
        reached = replica.loaded and await replica.sync(PONG_SYNC_S)
        state, now = replica.state, time.monotonic()
        cancelled = {job_id for job_id, job in state.jobs.items() if job.cancelled}
        cancelled |= set(self._reachability.cancelled_by_peers)
        partitions = [(zone, partition.node, partition.epoch) for zone, partition in state.partitions.items()]
        has_synced = replica.synced_at > float("-inf")
        copy_age_s, uptime_s = now - replica.synced_at if has_synced else -1.0, now - self._started_at
        if not replica.store.trusted:
            # Peers must not go on by the attestation of one that waits for the records to be rebuilt: how long an owner
            # that is cut off may answer its workers bounds how long the rebuilding has to wait for them.
            copy_age_s, uptime_s = -1.0, 0.0
        return Pong(self._node, self._process_incarnation, reached, sorted(cancelled), partitions, copy_age_s, uptime_s)
