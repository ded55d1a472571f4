"""Assignment of partitions to controllers by the leader. Imported when a controller becomes the leader."""

from __future__ import annotations

import logging
import time
from typing import NamedTuple

from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import MemberRecord, PartitionRecord
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import Write

log = logging.getLogger(__name__)

STABLE_AFTER_S = 4.0  # as a member without a restart, as seen by the assigner, before taking one from a live owner
ASSIGNMENT_TIMEOUT_S = 2.0


def assign_partitions(
    zones: list[str],
    partitions: dict[str, PartitionRecord],
    members: dict[str, MemberRecord],
    stable_members: set[str],
    gangs: bool = False,
) -> dict[str, str]:
    """Returns the new owner's node, by zone, of each partition that needs a new owner.

    A partition comprises a whole zone. It is assigned to a controller in the same zone if there is one, so that a zone
    partitioned from the others keeps working; otherwise to the live controller with the fewest partitions. Only
    `stable_members`, which have been members long enough, take a partition from a live owner that receives the zone's
    heartbeats. A member that doesn't receive a zone's heartbeats doesn't get its partition, and has to hand it over, as
    long as another member receives the heartbeats. `gangs` is whether records of gangs exist; if so, members whose
    version doesn't start a gang's tasks together own no partitions.
    """
    if gangs:
        members = {node: member for node, member in members.items() if member.starts_gangs}
    assignment = _Assignment(zones, partitions, members, stable_members)
    new_owners = {zone: assignment.new_owner(zone) for zone in zones}
    return {zone: node for zone, node in new_owners.items() if node is not None}


class _Assignment:
    """One pass over the zones.

    Counts of owned partitions include the changes decided so far, except that an owner that has to hand over a zone
    from which it receives no heartbeats keeps its count.
    """

    def __init__(
        self,
        zones: list[str],
        partitions: dict[str, PartitionRecord],
        members: dict[str, MemberRecord],
        stable_members: set[str],
    ) -> None:
        self._partitions, self._members, self._stable_members = partitions, members, stable_members
        self._owned_count = dict.fromkeys(members, 0)
        for zone in zones:
            owner = self._living_owner(zone)
            if owner is not None:
                self._owned_count[owner] += 1

    def _living_owner(self, zone: str) -> str | None:
        partition = self._partitions.get(zone)
        return partition.node if partition is not None and partition.node in self._members else None

    def new_owner(self, zone: str) -> str | None:
        """Returns the member that should take over the zone's partition, and counts the partition for that member.

        Returns None if the owner stays, or if there is no member to choose.
        """
        owner = self._living_owner(zone)
        receiving = [member for member in self._members.values() if zone not in member.isolated_zones]
        if not receiving and owner is not None:
            return None
        candidates = receiving or list(self._members.values())
        local = [member.node for member in candidates if member.area == zone]
        choice = min(
            local or [member.node for member in candidates],
            key=lambda node: (self._owned_count[node], node),
            default=None,
        )
        if choice is None or choice == owner:
            return None
        if owner is not None and zone not in self._members[owner].isolated_zones:
            uneven = self._owned_count[owner] > self._owned_count[choice] + 1
            if owner in local or choice not in self._stable_members or not (local or uneven):
                return None
            self._owned_count[owner] -= 1
        self._owned_count[choice] += 1
        return choice


class _FirstSeen(NamedTuple):
    """A member's process, and the monotonic time at which this process first saw it as a member."""

    process_incarnation: str
    seen_at: float


class PartitionAssigner:
    """Assigns partitions while this controller leads."""

    def __init__(self, replica: Replica, zones: list[str]) -> None:
        self._replica, self._zones = replica, zones
        self._first_seen: dict[str, _FirstSeen] = {}

    async def assign(self, gangs: bool) -> None:
        """Writes the records of partitions that need a new owner; `gangs`: whether records of gangs exist."""
        state = self._replica.state
        stable_members = self._find_stable_members(time.monotonic())
        for zone, node in assign_partitions(
            self._zones, state.partitions, state.members, stable_members, gangs
        ).items():
            partition = state.partitions.get(zone)
            record = PartitionRecord(node, partition.epoch + 1 if partition else 1)
            log.info("partition assigned partition=%s node=%s epoch=%d", zone, node, record.epoch)
            await self._replica.commit(
                [Write(records.PARTITION + zone, record)],
                guards=[records.LEADER],
                timeout_s=ASSIGNMENT_TIMEOUT_S,
                urgency=Urgency.MEMBERSHIP,
            )

    def _find_stable_members(self, now: float) -> set[str]:
        members = self._replica.state.members
        for node, member in members.items():
            seen = self._first_seen.get(node)
            if seen is None or seen.process_incarnation != member.process_incarnation:
                self._first_seen[node] = _FirstSeen(member.process_incarnation, now)
        return {
            node for node, seen in self._first_seen.items() if node in members and now - seen.seen_at >= STABLE_AFTER_S
        }
