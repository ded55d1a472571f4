"""Messages between controllers: notifications to the peers, and responses to their messages.

The loss of a message does no harm: its content is also in the state service's records, or is sent again.
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
from spurarch.transport.network import PeerClient, broadcast

NOTIFICATION_INTERVAL_S = 0.02  # changes within this interval share one notification
PONG_SYNC_TIMEOUT_S = 0.8  # of the read of the state service that precedes a pong


class PeerNotifier:
    """Notifies the peers of changes to the records and of cancellations."""

    def __init__(self, clients: Mapping[str, PeerClient]) -> None:
        self._clients = clients
        self._state_changed = curio.Event()

    async def notify_state_changed(self) -> None:
        """Schedules a notification that records were changed, so that the peers read the changes."""
        await self._state_changed.set()

    async def notify_cancelled(self, job_id: str) -> None:
        """Sends a cancellation to the peers, before it is confirmed to the user.

        The peers can't always read the cancellation from the state service: they can be partitioned from the service,
        or an outage of the service can follow.
        """
        await broadcast(self._clients.values(), peer_messages.encode(peer_messages.JobsCancelled([job_id])))

    async def run(self) -> None:
        """Sends the scheduled notifications until cancelled."""
        while True:
            await self._state_changed.wait()
            self._state_changed.clear()
            await broadcast(self._clients.values(), peer_messages.encode(peer_messages.StateChanged()))
            await curio.sleep(NOTIFICATION_INTERVAL_S)


class PeerMessageHandler:
    """Answers messages of peers, except recovery messages."""

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
        """Applies a peer's message and returns the response frame; an unreadable message is only acknowledged."""
        response: PeerMessage = peer_messages.StateChanged()  # the common acknowledgement
        match peer_messages.decode(frame):
            case peer_messages.Load() as load:
                self._rate_sharing.on_peer_load(load, time.monotonic())
            case peer_messages.StateChanged():
                await curio.spawn(self._replica.sync, daemon=True)
            case peer_messages.Ping():
                response = await self._pong()
            case peer_messages.JobsCancelled(jobs):
                self._reachability.record_cancelled(jobs, time.monotonic())
                await self._replica.notify()
        return peer_messages.encode(response)

    async def _pong(self) -> Pong:
        """Tries to read the state service; returns a pong with all known cancellations, and partition owners on record.

        The pong is sent even if this controller can't reach the state service, since a peer can use it as an
        attestation of freshness.
        """
        replica = self._replica
        reached = replica.loaded and await replica.sync(PONG_SYNC_TIMEOUT_S)
        state, now = replica.state, time.monotonic()
        cancelled = {job_id for job_id, job in state.jobs.items() if job.cancelled}
        cancelled |= set(self._reachability.reported_cancellations)
        partitions = [(zone, partition.node, partition.epoch) for zone, partition in state.partitions.items()]
        has_synced = replica.synced_at > float("-inf")
        copy_age_s, uptime_s = now - replica.synced_at if has_synced else -1.0, now - self._started_at
        if not replica.store.trusted:
            # A controller that waits for the records to be rebuilt must not attest to freshness: the rebuild has to
            # wait for as long as an owner partitioned from the state service may answer its workers.
            copy_age_s, uptime_s = -1.0, 0.0
        return Pong(self._node, self._process_incarnation, reached, sorted(cancelled), partitions, copy_age_s, uptime_s)
