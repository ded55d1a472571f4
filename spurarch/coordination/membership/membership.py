"""Membership of this controller, leader election, and claims of the partitions assigned to this controller.

Leases in the state service determine *when* another controller takes over. Safety depends on epochs only: every change
of a partition's owner raises the partition's epoch, and every transaction of an owner is guarded by the version of the
partition's record.
"""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import curio

from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import LeaderRecord, MemberRecord, PartitionRecord
from spurarch.storage.replica import Replica
from spurarch.storage.store import Store
from spurarch.storage.transaction import TransactionResult, TransactionStatus, Write

if TYPE_CHECKING:
    from spurarch.coordination.membership.partition_assignment import PartitionAssigner

log = logging.getLogger(__name__)

ISOLATION_S = 60.0  # for which another owner is preferred for a zone whose heartbeats don't arrive here
ROUND_INTERVAL_S = 0.05
COMMIT_TIMEOUT_S = 2.0
GRANT_RETRY_S = 0.2
RENEWALS_PER_TTL = 4


def gangs_supported(members: dict[str, MemberRecord]) -> bool:
    """Whether every member's version starts a gang as a whole, so that any future leader or partition owner does."""
    return bool(members) and all(member.starts_gangs for member in members.values())


class MemberLease:
    """The lease in the state service that this controller's member record is attached to.

    Attributes:
        id: The id of the lease, or None while there is none.
    """

    def __init__(self, store: Store, node: str, ttl_s: float) -> None:
        self._store, self._node, self._ttl_s = store, node, ttl_s
        self.id: int | None = None

    def mark_expired(self) -> None:
        """Discards the id of an expired lease, so that `run` obtains a new one."""
        self.id = None

    async def run(self) -> None:
        """Obtains and renews the lease until cancelled."""
        while True:
            if self.id is None:
                self.id = await self._store.grant(self._ttl_s)
                if self.id is None:
                    await curio.sleep(GRANT_RETRY_S)
                    continue
            await curio.sleep(self._ttl_s / RENEWALS_PER_TTL)
            lease = self.id  # None if a commit found the lease expired during the sleep
            if lease is not None and await self._store.extend(lease) is False:
                log.info("membership lease expired node=%s", self._node)
                self.mark_expired()


class Membership:
    """Maintains this controller's membership, takes part in leader elections, and claims assigned partitions.

    `area` is the zone in which this controller runs. `version` is the program version of its process, by which other
    members determine what the process supports.
    """

    def __init__(
        self,
        replica: Replica,
        node: str,
        process_incarnation: str,
        area: str,
        zones: list[str],
        ttl_s: float,
        version: int = records.PROGRAM_VERSION,
    ) -> None:
        self._replica, self.node, self._process_incarnation, self._area = replica, node, process_incarnation, area
        self._zones, self._version = zones, version
        self._wakeup = replica.listen()
        self.lease = MemberLease(replica.store, node, ttl_s)
        self._isolated_until: dict[str, float] = {}  # by zone
        self._unreachable_zones: set[str] = set()
        self._assigner: PartitionAssigner | None = None

    @property
    def leading(self) -> bool:
        """Whether this process is the leader by the copy of the records."""
        leader = self._replica.state.leader
        return (
            leader is not None and leader.node == self.node and leader.process_incarnation == self._process_incarnation
        )

    @property
    def confirmed_term(self) -> int | None:
        """The term in which this process leads, or None if it doesn't lead or its copy of the records isn't complete.

        The term is the version of the leader record. The copy is complete if it holds all changes made before the term.
        An incomplete copy can already contain the leader record: pages of records are read one after the other, and
        transactions of this process are applied to the copy at once. A leader that admits by an incomplete copy exceeds
        quotas (docs/incidents/2026-12-02-team-limit.md).
        """
        state = self._replica.state
        term = state.version(records.LEADER)
        return term if self.leading and self._replica.consistent and state.revision >= term else None

    def owned_record(self, zone: str) -> PartitionRecord | None:
        """The record of the zone's partition if this process owns it, else None."""
        partition = self._replica.state.partitions.get(zone)
        if partition is None or partition.node != self.node:
            return None
        return partition if partition.process_incarnation == self._process_incarnation else None

    def mark_isolated(self, zone: str, now: float) -> None:
        """Marks a zone whose heartbeats don't seem to arrive here; another owner is preferred for `ISOLATION_S`."""
        self._isolated_until[zone] = now + ISOLATION_S

    def set_unreachable(self, zone: str, unreachable: bool) -> None:
        """Sets whether no controller receives heartbeats of an owned zone, which then gets no tasks or machines."""
        if unreachable:
            self._unreachable_zones.add(zone)
        else:
            self._unreachable_zones.discard(zone)

    async def run(self) -> None:
        """Keeps membership, leadership and partition claims up to date until cancelled."""
        while True:
            try:
                await self._update()
            except curio.CancelledError:
                raise
            except Exception:  # an unexpected error must not end the controller
                log.exception("membership round failed")
            await self._wakeup.wait()
            self._wakeup.clear()
            await curio.sleep(ROUND_INTERVAL_S)

    async def _update(self) -> None:
        if self._replica.store.trusted:
            await self.claim()
        if self._replica.loaded and self._replica.store.trusted:
            await self._join()
            await self._elect()
            if self.leading:
                await self._assign()

    async def claim(self) -> None:
        """Claims every partition that is assigned to this controller but not yet claimed by this process.

        A claim raises the partition's epoch. A restarted process claims at once, so that its fencing tokens are higher
        than those of all messages that its predecessor sent.
        """
        for zone, partition in list(self._replica.state.partitions.items()):
            if partition.node == self.node and partition.process_incarnation != self._process_incarnation:
                record = PartitionRecord(self.node, partition.epoch + 1, self._process_incarnation)
                result = await self._commit(Write(records.PARTITION + zone, record))
                if result.status is TransactionStatus.COMMITTED:
                    log.info("partition claimed partition=%s epoch=%d", zone, record.epoch)

    async def _join(self) -> None:
        """Writes this controller's member record if it is missing or outdated."""
        now = time.monotonic()
        isolated = sorted(zone for zone, until in self._isolated_until.items() if until > now)
        unreachable = sorted(zone for zone in self._unreachable_zones if self.owned_record(zone) is not None)
        record = MemberRecord(self.node, self._process_incarnation, self._area, isolated, unreachable, self._version)
        if self.lease.id is not None and self._replica.state.members.get(self.node) != record:
            await self._commit_with_lease(records.MEMBER + self.node, record)

    async def _elect(self) -> None:
        """Makes this controller the leader if it is a member and the leadership is vacant."""
        member = self._replica.state.members.get(self.node)
        joined = member is not None and member.process_incarnation == self._process_incarnation
        if not joined or self.lease.id is None or not self._leadership_is_vacant():
            return
        result = await self._commit_with_lease(records.LEADER, LeaderRecord(self.node, self._process_incarnation))
        if result.status is TransactionStatus.COMMITTED:
            log.info("leadership acquired term=%d revision=%d", result.revision, self._replica.state.revision)

    def _leadership_is_vacant(self) -> bool:
        """Whether there is no leader, or one that has to be replaced.

        A leader has to be replaced if it is an earlier process of this controller, or, while there are records of
        gangs, if its version would start a gang's tasks one by one.
        """
        leader = self._replica.state.leader
        if leader is None:
            return True
        if leader.node == self.node and leader.process_incarnation != self._process_incarnation:
            return True
        member = self._replica.state.members.get(leader.node)
        return self._gangs_on_record() and member is not None and not member.starts_gangs

    def _gangs_on_record(self) -> bool:
        """Whether records of gangs exist and this process's version supports gangs."""
        return self._version >= records.GANG_VERSION and self._replica.state.gang_count > 0

    async def _assign(self) -> None:
        if self._assigner is None:
            from spurarch.coordination.membership.partition_assignment import PartitionAssigner

            self._assigner = PartitionAssigner(self._replica, self._zones)
        await self._assigner.assign(self._gangs_on_record())

    async def _commit_with_lease(self, key: str, record: MemberRecord | LeaderRecord) -> TransactionResult:
        """Writes a record that the state service deletes when the member lease expires."""
        result = await self._commit(Write(key, record, self.lease.id))
        if result.status is TransactionStatus.NO_LEASE:
            self.lease.mark_expired()
        return result

    async def _commit(self, write: Write) -> TransactionResult:
        return await self._replica.commit([write], timeout_s=COMMIT_TIMEOUT_S, urgency=Urgency.MEMBERSHIP)
