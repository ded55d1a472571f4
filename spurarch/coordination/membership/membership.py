"""Which controllers live, which one leads, and which partitions this one owns.

Leases of the state service decide *when* another controller takes over. That this is safe rests on epochs alone: every
change of a partition's owner raises its epoch, and every transaction of an owner guards the version of the partition's
record.
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

ISOLATION_S = 60.0  # how long another controller should own a zone whose heartbeats don't come here
ROUND_INTERVAL_S = 0.05
COMMIT_TIMEOUT_S = 2.0
GRANT_RETRY_S = 0.2
RENEWALS_PER_TTL = 4


def gangs_supported(members: dict[str, MemberRecord]) -> bool:
    """Every living controller starts the tasks of a gang together, so whichever leads or owns a partition next will."""
    return bool(members) and all(member.starts_gangs for member in members.values())


class MemberLease:
    """The lease of the state service that keeps this controller's member record in existence."""

    def __init__(self, store: Store, node: str, ttl_s: float) -> None:
        self._store, self._node, self._ttl_s = store, node, ttl_s
        self.id: int | None = None

    def mark_expired(self) -> None:
        """The state service knows the lease no more: another one is needed."""
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
            lease = self.id  # a commit of the member record may have found it expired meanwhile
            if lease is not None and await self._store.extend(lease) is False:
                log.info("membership lease expired node=%s", self._node)
                self.mark_expired()


class Membership:
    """Keeps this controller a member, elects a leader, and claims the partitions that are assigned to it.

    `area` is the zone in which this controller runs; `version` says what its process can do.
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
        """This process is the leader on record."""
        leader = self._replica.state.leader
        return (
            leader is not None and leader.node == self.node and leader.process_incarnation == self._process_incarnation
        )

    @property
    def confirmed_term(self) -> int | None:
        """The term under which this process leads, by a copy that holds all that was recorded before it; else None.

        The term is the version of the leader's record. A copy may show that record and yet be older: pages are read one
        after the other, and the own transaction is known at once. A leader that admits by such a copy exceeds quotas
        (docs/incidents/2026-12-02-team-limit.md).
        """
        state = self._replica.state
        term = state.version(records.LEADER)
        return term if self.leading and self._replica.consistent and state.revision >= term else None

    def owned_record(self, zone: str) -> PartitionRecord | None:
        """The record of the zone's partition if this process owns it."""
        partition = self._replica.state.partitions.get(zone)
        if partition is None or partition.node != self.node:
            return None
        return partition if partition.process_incarnation == self._process_incarnation else None

    def mark_isolated(self, zone: str, now: float) -> None:
        """The heartbeats of a zone seem not to reach this controller: another one should own it for a while."""
        self._isolated_until[zone] = now + ISOLATION_S

    def set_unreachable(self, zone: str, unreachable: bool) -> None:
        """Whether no controller receives the heartbeats of a zone owned here, which then gets no tasks nor machines."""
        if unreachable:
            self._unreachable_zones.add(zone)
        else:
            self._unreachable_zones.discard(zone)

    async def run(self) -> None:
        """Keeps membership, leadership and claims up to date until cancelled."""
        while True:
            try:
                await self._update()
            except curio.CancelledError:
                raise
            except Exception:  # a failure here must not end the controller
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
        """Raises the epoch of every partition that is assigned to this controller and not yet claimed by this process.

        A process that starts again claims at once: what its predecessor sent carries lower fencing tokens from then on.
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
        """Makes this controller the leader if it is a member and there is no leader that can go on."""
        member = self._replica.state.members.get(self.node)
        joined = member is not None and member.process_incarnation == self._process_incarnation
        if not joined or self.lease.id is None or not self._leadership_is_vacant():
            return
        result = await self._commit_with_lease(records.LEADER, LeaderRecord(self.node, self._process_incarnation))
        if result.status is TransactionStatus.COMMITTED:
            log.info("leadership acquired term=%d revision=%d", result.revision, self._replica.state.revision)

    def _leadership_is_vacant(self) -> bool:
        """Nobody leads, or a predecessor of this process, or a version that would start a gang's tasks one by one."""
        leader = self._replica.state.leader
        if leader is None:
            return True
        if leader.node == self.node and leader.process_incarnation != self._process_incarnation:
            return True
        member = self._replica.state.members.get(leader.node)
        return self._gangs_on_record() and member is not None and not member.starts_gangs

    def _gangs_on_record(self) -> bool:
        """There are gangs on record, and this version knows what that means."""
        return self._version >= records.GANG_VERSION and self._replica.state.gangs > 0

    async def _assign(self) -> None:
        if self._assigner is None:
            from spurarch.coordination.membership.partition_assignment import PartitionAssigner

            self._assigner = PartitionAssigner(self._replica, self._zones)
        await self._assigner.assign(self._gangs_on_record())

    async def _commit_with_lease(self, key: str, record: MemberRecord | LeaderRecord) -> TransactionResult:
        """Writes a record that is deleted when the member lease expires."""
        result = await self._commit(Write(key, record, self.lease.id))
        if result.status is TransactionStatus.NO_LEASE:
            self.lease.mark_expired()
        return result

    async def _commit(self, write: Write) -> TransactionResult:
        return await self._replica.commit([write], give_up_s=COMMIT_TIMEOUT_S, urgency=Urgency.MEMBERSHIP)
