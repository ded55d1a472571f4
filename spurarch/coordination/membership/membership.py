"""Which controllers live, which one leads, and which holds which part.

Leases of the state service decide *when* to take over; whether it is safe rests on epochs alone: every change of a
partition's owner raises its epoch, and every transaction of an owner guards the version of its part's record.
"""

from __future__ import annotations

import logging
import time

import curio

from spurarch.storage import records
from spurarch.storage.rate_limits import Urgency
from spurarch.storage.records import LeaderRecord, MemberRecord, PartitionRecord
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import TransactionStatus, Write

log = logging.getLogger(__name__)

SETTLED_AFTER_S = 4.0
ISOLATED_S = 60.0


def starts_gangs(member: MemberRecord) -> bool:
    """The member's version starts gangs as a whole; earlier ones would start their tasks one by one."""
    return member.version >= records.GANG_VERSION


def gangs_supported(members: dict[str, MemberRecord]) -> bool:
    """Every controller that lives starts gangs as a whole, so whichever leads or owns a partition next will."""
    return bool(members) and all(map(starts_gangs, members.values()))


def assign_partitions(
    zones: list[str],
    partitions: dict[str, PartitionRecord],
    members: dict[str, MemberRecord],
    settled: set[str],
    gangs: bool = False,
) -> dict[str, str]:
    """Parts that should change hands, and to whom.

    A part is a whole zone. It goes to a controller in its own zone if there is one, so that a zone cut off from the
    others keeps working; else to the living controller with the fewest parts. `settled` are members that have lived
    long enough to take a part from an owner that is alive. A member that seems not to hear a zone's workers is passed
    over for that zone, and gives it up, as long as there is another. While `gangs` are on record, members of a version
    that does not start them as a whole own nothing.
    """
    if gangs:
        members = {node: member for node, member in members.items() if starts_gangs(member)}
    load = dict.fromkeys(members, 0)
    for zone in zones:
        partition = partitions.get(zone)
        if partition is not None and partition.node in load:
            load[partition.node] += 1
    out: dict[str, str] = {}
    for zone in zones:
        partition = partitions.get(zone)
        able = [m for m in members.values() if zone not in m.isolated_zones]
        if not able and partition is not None and partition.node in members:
            continue
        able = able or list(members.values())
        home = [m.node for m in able if m.area == zone]
        choice = min(home or [m.node for m in able], key=lambda node: (load[node], node), default=None)
        if choice is None or (partition is not None and choice == partition.node):
            continue
        if partition is not None and partition.node in load and zone not in members[partition.node].isolated_zones:
            uneven = load[partition.node] > load[choice] + 1
            if partition.node in home or choice not in settled or not (home or uneven):
                continue
            load[partition.node] -= 1
        load[choice] += 1
        out[zone] = choice
    return out


def rate_shares(nodes: list[str], owners: list[str], leader: str | None) -> dict[str, tuple[float, float]]:
    """The controllers' shares of the state service's rates of requests and of changes, by what each has to do.

    Everybody serves users; owners record starts and ends, and the leader admits. The shares of all add up to one as
    long as they agree on who does what.
    """
    weights = {
        n: (2.0 + owners.count(n) + (n == leader), 2.0 + 4.0 * owners.count(n) + 6.0 * (n == leader)) for n in nodes
    }
    requests, writes = (sum(w[i] for w in weights.values()) for i in (0, 1))
    return {n: (w[0] / requests, w[1] / writes) for n, w in weights.items()}


class Membership:
    """Keeps this controller a member, elects a leader and claims the parts given to this controller."""

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
        self.replica, self.node, self.process_incarnation, self.area = replica, node, process_incarnation, area
        self.zones, self.ttl_s, self.version = zones, ttl_s, version
        self._wakeup = replica.listen()
        self._lease: int | None = None
        self._isolated_until: dict[str, float] = {}
        self._unreachable_zones: set[str] = set()
        self._members_first_seen: dict[str, tuple[str, float]] = {}

    @property
    def leading(self) -> bool:
        """This process is the leader on record."""
        leader = self.replica.state.leader
        return (
            leader is not None and leader.node == self.node and leader.process_incarnation == self.process_incarnation
        )

    @property
    def confirmed_term(self) -> int | None:
        """The term under which this process leads, by a copy that holds all that was recorded before it; None otherwise.

        The term is the version of the leader's record. A copy may show that record and yet be older: pages are read one
        after the other, and the own transaction is known at once. A leader that admits by such a copy passes limits
        (docs/incidents/2026-12-02-team-limit.md).
        """
        state = self.replica.state
        term = state.version(records.LEADER)
        return term if self.leading and self.replica.consistent and state.revision >= term else None

    def owned_record(self, zone: str) -> PartitionRecord | None:
        """The part's record if this process holds it."""
        partition = self.replica.state.partitions.get(zone)
        return (
            partition
            if partition is not None
            and partition.node == self.node
            and partition.process_incarnation == self.process_incarnation
            else None
        )

    def mark_isolated(self, zone: str, now: float) -> None:
        """This controller seems cut from the workers of a zone: another one should hold it for a while."""
        self._isolated_until[zone] = now + ISOLATED_S

    def set_unreachable(self, zone: str, unreachable: bool) -> None:
        """Nobody hears the workers of a zone that is held here: it takes no new tasks, and no machines."""
        if unreachable:
            self._unreachable_zones.add(zone)
        else:
            self._unreachable_zones.discard(zone)

    async def run_lease(self) -> None:
        """Obtains and renews the lease that says that this controller lives."""
        while True:
            if self._lease is None:
                self._lease = await self.replica.store.grant(self.ttl_s)
                if self._lease is None:
                    await curio.sleep(0.2)
                    continue
            await curio.sleep(self.ttl_s / 4)
            lease = self._lease  # the member's own write may have found it ended meanwhile
            if lease is not None and await self.replica.store.extend(lease) is False:
                log.info("membership lease expired node=%s", self.node)
                self._lease = None

    async def run(self) -> None:
        """Keeps membership, leadership and claims up to date."""
        while True:
            try:
                if self.replica.store.trusted:
                    await self.claim()
                if self.replica.loaded and self.replica.store.trusted:
                    await self._join()
                    await self._elect()
                    if self.leading:
                        await self._assign()
            except curio.CancelledError:
                raise
            except Exception:  # a failure here must not end the controller
                log.exception("membership round failed")
            await self._wakeup.wait()
            self._wakeup.clear()
            await curio.sleep(0.05)

    async def _join(self) -> None:
        member = self.replica.state.members.get(self.node)
        now = time.monotonic()
        unfit = sorted(zone for zone, until in self._isolated_until.items() if until > now)
        dark = sorted(zone for zone in self._unreachable_zones if self.owned_record(zone) is not None)
        record = MemberRecord(self.node, self.process_incarnation, self.area, unfit, dark, self.version)
        if self._lease is not None and member != record:
            result = await self.replica.commit(
                [Write(records.MEMBER + self.node, record, self._lease)], give_up_s=2.0, urgency=Urgency.MEMBERSHIP
            )
            if result.status is TransactionStatus.NO_LEASE:
                self._lease = None

    async def _elect(self) -> None:
        leader = self.replica.state.leader
        member = self.replica.state.members.get(self.node)
        if self._lease is None or member is None or member.process_incarnation != self.process_incarnation:
            return
        if (
            leader is None
            or (leader.node == self.node and leader.process_incarnation != self.process_incarnation)
            or self._outdated(leader)
        ):
            result = await self.replica.commit(
                [Write(records.LEADER, LeaderRecord(self.node, self.process_incarnation), self._lease)],
                give_up_s=2.0,
                urgency=Urgency.MEMBERSHIP,
            )
            if result.status is TransactionStatus.COMMITTED:
                log.info("leadership acquired term=%d revision=%d", result.revision, self.replica.state.revision)
            elif result.status is TransactionStatus.NO_LEASE:
                self._lease = None

    def _gangs(self) -> bool:
        """There are gangs on record, and this version knows what that means."""
        return self.version >= records.GANG_VERSION and self.replica.state.gangs > 0

    def _outdated(self, leader: LeaderRecord) -> bool:
        """The leader is of a version that would admit the tasks of a gang one by one, and there are gangs."""
        member = self.replica.state.members.get(leader.node)
        return self._gangs() and member is not None and not starts_gangs(member)

    async def _assign(self) -> None:
        state, now = self.replica.state, time.monotonic()
        for node, member in state.members.items():
            if self._members_first_seen.get(node, ("", 0.0))[0] != member.process_incarnation:
                self._members_first_seen[node] = member.process_incarnation, now
        settled = {
            n for n, (_, at) in self._members_first_seen.items() if n in state.members and now - at >= SETTLED_AFTER_S
        }
        for zone, node in assign_partitions(
            self.zones, state.partitions, state.members, settled, self._gangs()
        ).items():
            partition = state.partitions.get(zone)
            record = PartitionRecord(node, partition.epoch + 1 if partition else 1)
            log.info("partition assigned partition=%s node=%s epoch=%d", zone, node, record.epoch)
            await self.replica.commit(
                [Write(records.PARTITION + zone, record)],
                guards=[records.LEADER],
                give_up_s=2.0,
                urgency=Urgency.MEMBERSHIP,
            )

    async def claim(self) -> None:
        """Raises the epoch of every part that is given to this controller and not yet claimed by this process.

        A process that starts again claims at once: what its predecessor sent carries lower tokens from then on.
        """
        for zone, partition in list(self.replica.state.partitions.items()):
            if partition.node == self.node and partition.process_incarnation != self.process_incarnation:
                record = PartitionRecord(self.node, partition.epoch + 1, self.process_incarnation)
                result = await self.replica.commit(
                    [Write(records.PARTITION + zone, record)], give_up_s=2.0, urgency=Urgency.MEMBERSHIP
                )
                if result.status is TransactionStatus.COMMITTED:
                    log.info("partition claimed partition=%s epoch=%d", zone, record.epoch)
