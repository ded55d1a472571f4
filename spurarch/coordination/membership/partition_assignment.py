"""The leader's assignment of partitions to controllers. Loaded by a controller once it leads."""

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

SETTLED_AFTER_S = 4.0
ASSIGNMENT_TIMEOUT_S = 2.0


def assign_partitions(
    zones: list[str],
    partitions: dict[str, PartitionRecord],
    members: dict[str, MemberRecord],
    settled: set[str],
    gangs: bool = False,
) -> dict[str, str]:
    """The partitions, by zone, that should change their owner, and the new owners' nodes.

    A partition is a whole zone. It goes to a controller in its own zone if there is one, so that a zone cut off from
    the others keeps working; else to the living controller with the fewest partitions. `settled` are members that have
    lived long enough to take a partition from an owner that is alive. A member that seems not to receive the heartbeats
    of a zone is passed over for that zone, and gives it up, as long as there is another. While `gangs` are on record,
    members of a version that does not start their tasks together own nothing.
    """
    if gangs:
        members = {node: member for node, member in members.items() if member.starts_gangs}
    assignment = _Assignment(zones, partitions, members, settled)
    new_owners = {zone: assignment.new_owner(zone) for zone in zones}
    return {zone: node for zone, node in new_owners.items() if node is not None}


class _Assignment:
    """One pass over the zones. The owned partitions are counted as they will be after the changes made so far."""

    def __init__(
        self,
        zones: list[str],
        partitions: dict[str, PartitionRecord],
        members: dict[str, MemberRecord],
        settled: set[str],
    ) -> None:
        self._partitions, self._members, self._settled = partitions, members, settled
        self._owned_count = dict.fromkeys(members, 0)
        for zone in zones:
            owner = self._living_owner(zone)
            if owner is not None:
                self._owned_count[owner] += 1

    def _living_owner(self, zone: str) -> str | None:
        partition = self._partitions.get(zone)
        return partition.node if partition is not None and partition.node in self._members else None

    def new_owner(self, zone: str) -> str | None:
        """The member that should take over the zone's partition; None if it stays where it is."""
        owner = self._living_owner(zone)
        hearing = [member for member in self._members.values() if zone not in member.isolated_zones]
        if not hearing and owner is not None:
            return None
        candidates = hearing or list(self._members.values())
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
            if owner in local or choice not in self._settled or not (local or uneven):
                return None
            self._owned_count[owner] -= 1
        self._owned_count[choice] += 1
        return choice


class _FirstSeen(NamedTuple):
    """A member's process, and when it was first seen, by the monotonic clock."""

    process_incarnation: str
    seen_at: float


class PartitionAssigner:
    """Assigns partitions on behalf of the leader."""

    def __init__(self, replica: Replica, zones: list[str]) -> None:
        self._replica, self._zones = replica, zones
        self._first_seen: dict[str, _FirstSeen] = {}

    async def assign(self, gangs: bool) -> None:
        """Records new owners where partitions should change hands; `gangs`: there are some on record."""
        state = self._replica.state
        settled = self._settled_members(time.monotonic())
        for zone, node in assign_partitions(self._zones, state.partitions, state.members, settled, gangs).items():
            partition = state.partitions.get(zone)
            record = PartitionRecord(node, partition.epoch + 1 if partition else 1)
            log.info("partition assigned partition=%s node=%s epoch=%d", zone, node, record.epoch)
            await self._replica.commit(
                [Write(records.PARTITION + zone, record)],
                guards=[records.LEADER],
                give_up_s=ASSIGNMENT_TIMEOUT_S,
                urgency=Urgency.MEMBERSHIP,
            )

    def _settled_members(self, now: float) -> set[str]:
        members = self._replica.state.members
        for node, member in members.items():
            seen = self._first_seen.get(node)
            if seen is None or seen.process_incarnation != member.process_incarnation:
                self._first_seen[node] = _FirstSeen(member.process_incarnation, now)
        return {
            node for node, seen in self._first_seen.items() if node in members and now - seen.seen_at >= SETTLED_AFTER_S
        }
