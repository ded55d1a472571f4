"""Shares of the published rates of the state service and the cloud, agreed among the controllers without a coordinator.

All controllers compute the same shares from the records of partition owners and of the leader. A controller lends
unused writes to peers that need more, according to the loads that the controllers send each other.
"""

from __future__ import annotations

import time
from collections.abc import Mapping

import curio
from msgspec import Struct

from spurarch.coordination.partition.owner import PartitionOwner
from spurarch.protocol import peer_messages
from spurarch.protocol.peer_messages import Load
from spurarch.settings import StateLimits
from spurarch.storage.cloud import Cloud
from spurarch.storage.rate_limits import borrowed_share
from spurarch.storage.replica import Replica
from spurarch.transport.network import PeerClient, broadcast

SHARING_INTERVAL_S, MIN_SHARING_INTERVAL_S = 1.0, 0.2
LOAD_VALID_S = 3 * SHARING_INTERVAL_S
LEADER_CLOUD_SHARE = 0.6  # the leader scales out and lists machines; the other controllers only release machines


class RateShares(Struct, frozen=True):
    """A controller's shares of the state service's rates, each between 0 and 1."""

    requests: float
    writes: float


def rate_shares(nodes: list[str], owners: list[str], leader: str | None) -> dict[str, RateShares]:
    """Returns the shares of all controllers by node; `owners` lists the owner's node of every partition.

    Shares depend on duties: all controllers serve users, partition owners also record started and ended tasks, and the
    leader also admits jobs. The shares add up to one as long as the controllers agree on the duties.
    """
    weights: dict[str, RateShares] = {}
    for node in nodes:
        partitions, is_leader = owners.count(node), node == leader
        weights[node] = RateShares(2.0 + partitions + is_leader, 2.0 + 4.0 * partitions + 6.0 * is_leader)
    requests = sum(weight.requests for weight in weights.values())
    writes = sum(weight.writes for weight in weights.values())
    return {node: RateShares(weight.requests / requests, weight.writes / writes) for node, weight in weights.items()}


class _ReceivedLoad(Struct, frozen=True):
    """A peer's latest load message, and the monotonic time of its receipt."""

    load: Load
    received_at: float


class RateSharing:
    """Keeps this controller's shares up to date, and sends its load to the peers."""

    def __init__(
        self,
        node: str,
        clients: Mapping[str, PeerClient],
        replica: Replica,
        cloud: Cloud,
        owner: PartitionOwner,
        limits: StateLimits,
    ) -> None:
        self._node, self._clients, self._limits = node, clients, limits
        self._replica, self._store, self._cloud, self._owner = replica, replica.store, cloud, owner
        self._peer_loads: dict[str, _ReceivedLoad] = {}

    def on_peer_load(self, load: Load, now: float) -> None:
        """Applies a peer's load message."""
        self._detect_peer_throttling(load)
        self._peer_loads[load.node] = _ReceivedLoad(load, now)
        self._owner.scale_in.on_peer_load(load.node, dict(load.unregistered_machines), load.released_machines)

    def _detect_peer_throttling(self, load: Load) -> None:
        """Infers that the state service lowered its rate, if it announced a lower one and refuses a peer's writes."""
        before = self._peer_loads.get(load.node)
        announced = self._limits.next is not None
        if announced and before is not None and load.throttled_writes > before.load.throttled_writes:
            self._store.rates.record_peer_throttled()

    async def run(self) -> None:
        """Updates the shares and sends this controller's load every second, until cancelled.

        Does so sooner if a heartbeat arrives from a zone that its owner reports as unreachable, as the owner learns of
        such heartbeats from the load.
        """
        found = self._owner.unregistered_machine_found
        while True:
            await self._update_shares()
            await curio.sleep(MIN_SHARING_INTERVAL_S)
            await curio.ignore_after(SHARING_INTERVAL_S - MIN_SHARING_INTERVAL_S, found.wait)
            found.clear()

    async def _update_shares(self) -> None:
        """Sets this controller's shares by its duties and the writes lent by peers, and sends its load to the peers."""
        leader = self._replica.state.leader
        leader_node = leader.node if leader is not None else None
        nodes = [self._node, *self._clients]
        owners = [partition.node for partition in self._replica.state.partitions.values()]
        shares = rate_shares(nodes, owners, leader_node)
        now = time.monotonic()
        loads = {
            node: received.load
            for node, received in self._peer_loads.items()
            if now - received.received_at < LOAD_VALID_S
        }
        own_load = self._own_load(now)
        self._owner.scale_in.unregistered_machines_by_peer = {
            node: dict(load.unregistered_machines) for node, load in loads.items()
        }
        loads[self._node] = own_load
        self._store.rates.set_shares(shares[self._node].requests, self._write_share(shares, loads))
        other_count = max(1, len(nodes) - 1)
        self._cloud.set_share(
            LEADER_CLOUD_SHARE if self._node == leader_node else (1 - LEADER_CLOUD_SHARE) / other_count
        )
        await broadcast(self._clients.values(), peer_messages.encode(own_load))

    def _own_load(self, now: float) -> Load:
        return Load(
            self._node,
            *self._store.rates.recent_writes(),
            self._owner.unregistered_machines(now),
            self._owner.scale_in.released_on_record(),
            self._store.rates.throttled_writes,
        )

    def _write_share(self, shares: Mapping[str, RateShares], loads: Mapping[str, Load]) -> float:
        return borrowed_share(
            self._node,
            {node: share.writes for node, share in shares.items()},
            {node: load.writes / self._limits.write_rps for node, load in loads.items()},
            {node for node, load in loads.items() if load.backlogged},
        )
