"""Distinguishes an isolated partition owner from an unreachable zone when most machines of a partition are silent."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.partition.machine import MachineState
from spurarch.coordination.partition.owned_partition import OwnedPartition

log = logging.getLogger(__name__)

# A single one may be due to a delayed duplicate of a heartbeat. Partitions with fewer than 8 machines need only one.
MIN_UNREGISTERED_MACHINES = 2
RECENT_HEARTBEAT_S = 2.0
MAX_EMPTY_UNREACHABLE_S = 60.0  # after this time without machines, a zone is no longer marked unreachable
# Time with most machines silent and no load messages from peers, after which a one-way partition is suspected.
MAX_SILENT_WITHOUT_PEERS_S = 6.0


class IsolationDetector:
    """Updates whether owned zones are isolated or unreachable, for the member record.

    If other controllers receive heartbeats from the silent workers, this controller is partitioned from the workers and
    another controller should own the partition. If no other controller receives any, the zone is unreachable and the
    partition keeps its owner, the only controller that received the latest heartbeats and can tell when the leases have
    expired. A new owner would have to wait longer, or release all machines.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    def update(
        self, owned: OwnedPartition, unregistered_machines_by_peer: Mapping[str, Mapping[str, int]], now: float
    ) -> None:
        """Updates the reachability of an owned zone.

        `unregistered_machines_by_peer` holds, by peer and zone, the number of workers that send heartbeats to that peer
        though it does not own their partition. Peers without a recent load message are missing from it.
        """
        partition, zone = owned.partition, owned.partition.zone
        if not owned.mostly_silent:
            owned.mostly_silent_since = None
        elif owned.mostly_silent_since is None:
            owned.mostly_silent_since = now
        if partition.machines:
            owned.last_populated_at = now
        if _has_recent_heartbeat(owned, now) or now - owned.last_populated_at > MAX_EMPTY_UNREACHABLE_S:
            # An unreachable zone stays marked for MAX_EMPTY_UNREACHABLE_S after the release of its last machine: no
            # heartbeats would arrive from newly requested machines either, and tasks admitted to it would be returned
            # repeatedly.
            partition.unreachable = False
        elif owned.mostly_silent_since is not None:
            self._classify_silence(owned, owned.mostly_silent_since, unregistered_machines_by_peer, now)
        self._membership.set_unreachable(zone, partition.unreachable)

    def _classify_silence(
        self,
        owned: OwnedPartition,
        silent_since: float,
        unregistered_machines_by_peer: Mapping[str, Mapping[str, int]],
        now: float,
    ) -> None:
        partition, zone = owned.partition, owned.partition.zone
        unregistered = sum(machines.get(zone, 0) for machines in unregistered_machines_by_peer.values())
        no_peer_loads = not unregistered_machines_by_peer and now - silent_since > MAX_SILENT_WITHOUT_PEERS_S
        if unregistered >= max(1, min(MIN_UNREGISTERED_MACHINES, len(partition.machines) // 4)) or (
            no_peer_loads and not partition.unreachable
        ):
            self._membership.mark_isolated(zone, now)
            log.warning("one-way partition suspected, requesting another owner partition=%s", zone)
        elif not partition.unreachable and unregistered_machines_by_peer:
            partition.unreachable = True
            log.warning("zone unreachable from all controllers partition=%s", zone)


def _has_recent_heartbeat(owned: OwnedPartition, now: float) -> bool:
    """Whether a heartbeat of any active machine arrived within RECENT_HEARTBEAT_S.

    One suffices: when a zone becomes reachable again, some workers contact other controllers before this one.
    """
    active = [machine for machine in owned.partition.machines.values() if machine.state is MachineState.ACTIVE]
    return any(now - (machine.last_heartbeat_at or 0.0) < RECENT_HEARTBEAT_S for machine in active)
