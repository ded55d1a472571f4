"""Decides, when most machines of a partition fall silent, whether its owner is cut off or its zone is unreachable."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.partition.machine import MachineState
from spurarch.coordination.partition.owned_partition import OwnedPartition

log = logging.getLogger(__name__)

UNREGISTERED_MACHINES_LEAST = 2  # a single one may be a late copy of a heartbeat
HEARTBEAT_RECENT_S = 2.0
EMPTY_S = 60.0  # after which a partition without machines is not taken for unreachable any more
NO_PEERS_S = 6.0  # mostly silent for so long, and no peer sends what it receives: give the partition up on suspicion


class IsolationDetector:
    """Keeps the state of a partition's reachability up to date and tells the membership.

    If other controllers receive heartbeats from those workers, this controller is cut off from them, and another should
    own the partition. If none does, the zone is cut off: the partition stays with the owner that knows its machines,
    since only that one can tell when their leases have expired. A new owner would have to wait for longer, or release
    them all.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    def update(self, owned: OwnedPartition, unregistered_by_peer: Mapping[str, Mapping[str, int]], now: float) -> None:
        """Decides anew; `unregistered_by_peer` counts, by peer and zone, workers that look for their owner there."""
        partition, zone = owned.partition, owned.partition.zone
        if not owned.mostly_silent:
            owned.mostly_silent_since = None
        elif owned.mostly_silent_since is None:
            owned.mostly_silent_since = now
        if partition.machines:
            owned.last_populated_at = now
        if _has_recent_heartbeat(owned, now) or now - owned.last_populated_at > EMPTY_S:
            # An unreachable zone whose machines have all been released stays unreachable for a while: machines that are
            # requested there would not be heard from either, and tasks admitted for it would come back again and again.
            partition.unreachable = False
        elif owned.mostly_silent_since is not None:
            self._judge_silence(owned, owned.mostly_silent_since, unregistered_by_peer, now)
        self._membership.set_unreachable(zone, partition.unreachable)

    def _judge_silence(
        self,
        owned: OwnedPartition,
        silent_since: float,
        unregistered_by_peer: Mapping[str, Mapping[str, int]],
        now: float,
    ) -> None:
        partition, zone = owned.partition, owned.partition.zone
        elsewhere = sum(machines.get(zone, 0) for machines in unregistered_by_peer.values())
        no_peers = not unregistered_by_peer and now - silent_since > NO_PEERS_S
        if elsewhere >= max(1, min(UNREGISTERED_MACHINES_LEAST, len(partition.machines) // 4)) or (
            no_peers and not partition.unreachable
        ):
            self._membership.mark_isolated(zone, now)
            log.warning("one-way partition suspected, asking for another owner partition=%s", zone)
        elif not partition.unreachable and unregistered_by_peer:
            partition.unreachable = True
            log.warning("zone unreachable from all controllers partition=%s", zone)


def _has_recent_heartbeat(owned: OwnedPartition, now: float) -> bool:
    """Once a zone is reachable again, some of its workers come here, though others go to other controllers first."""
    active = [machine for machine in owned.partition.machines.values() if machine.state is MachineState.ACTIVE]
    return any(now - (machine.last_heartbeat_at or 0.0) < HEARTBEAT_RECENT_S for machine in active)
