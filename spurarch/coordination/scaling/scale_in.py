"""Silence, cuts and what goes back to the cloud: by whom an owner is not heard, and what follows."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.partition.machine import Machine, MachineState
from spurarch.coordination.partition.owned_partition import OwnedPartition
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.partition.state import RELEASED_MACHINES_KEPT
from spurarch.coordination.runtime.stall_detector import StallDetector
from spurarch.coordination.scaling.scale_in_candidates import (
    cut_off,
    idle_machines,
    orphaned_machines,
    overdue_machines,
    silent_machines,
)
from spurarch.settings import Deployment, Tuning
from spurarch.storage import records
from spurarch.storage.cloud import Cloud, CloudError, NoCapacityError
from spurarch.storage.records import MachineRecord
from spurarch.storage.replica import Replica
from spurarch.storage.transaction import TransactionStatus, Write

log = logging.getLogger(__name__)

RETURNS_S = 1.0
RETURN_AT_ONCE = 100
UNREGISTERED_MACHINES_LEAST = 2  # that many, since a single one may be a late copy of a report
BACK_S = 2.0
EMPTY_S = 60.0
BLIND_S = 6.0  # most of a part is silent, and no peer says what it hears: give the part away on suspicion
CUT_S = 6.0  # without a read of the state service: this is no passing slowness


class ScaleIn:
    """All returns of this controller, and what it makes of the silence of its machines."""

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        view: FleetView,
        cloud: Cloud,
        can: Permissions,
        stall_detector: StallDetector,
        deployment: Deployment,
        tuning: Tuning,
        owned: dict[str, OwnedPartition],
    ) -> None:
        self.replica, self.membership, self.view, self.cloud = replica, membership, view, cloud
        self.reachability, self._permissions, self._stall_detector = can.reachability, can, stall_detector
        self.deployment, self.tuning, self.owned = deployment, tuning, owned
        self.unregistered_by_peer: dict[str, dict[str, int]] = {}  # by peer and zone, workers that look for their owner
        self._next_orphans = 0.0
        self._orphans_under_way = False
        self._returned: dict[str, str] = {}  # machines that this process returned, and their zones

    async def watch_silence(self, owned: OwnedPartition, now: float) -> None:
        """Starts the return of machines that are silent, deaf, or were never seen by this owner."""
        if now < owned.next_silence_check or not self._permissions.records_are_fresh(now):
            return
        owned.next_silence_check = now + RETURNS_S
        workers, resumed_at = self.deployment.workers, self._stall_detector.resumed_at
        owned.mostly_silent = cut_off(owned.partition, workers, now, resumed_at)
        self._update_reachability(owned, now)
        found = silent_machines(
            owned.partition,
            self.tuning,
            workers,
            self.reachability.freshness_limit_s,
            now,
            owned.mostly_silent,
            resumed_at,
        )
        await self._start_release(owned, found, now, self._release_owned)

    async def watch_overdue(self, owned: OwnedPartition, now: float) -> None:
        """Returns machines whose cancelled tasks won't show that they left, whether or not the state service answers."""
        partition = owned.partition
        if (
            not partition.machines_with_cancelled_tasks
            or now < owned.next_overdue_check
            or not self._permissions.is_not_stalled(now)
            or self._permissions.superseded(partition.zone)
        ):
            return
        owned.next_overdue_check = now + RETURNS_S
        found = overdue_machines(
            partition, self.deployment.workers, now, owned.mostly_silent, self._stall_detector.resumed_at
        )
        await self._start_release(owned, found, now, self._return_overdue)

    async def watch_orphans(self, now: float) -> None:
        """The same for parts that nobody holds, in an outage: whoever lives may return such machines."""
        if (
            now < self._next_orphans
            or now - self.replica.synced_at < CUT_S
            or not self._permissions.is_not_stalled(now)
        ):
            return
        if not self.reachability.outage(now):
            return  # a controller that is alone would take everybody's machines for orphaned
        self._next_orphans = now + RETURNS_S
        zones = {
            zone
            for zone, partition in self.replica.state.partitions.items()
            if self.membership.owned_record(zone) is None
            and not self._permissions.superseded(zone)
            and not self.reachability.peer_responds(partition.node, now, partition.process_incarnation)
        }
        found = orphaned_machines(
            self.replica.state, zones, self._permissions.time_since_cancellation, self.deployment.workers
        )
        left = {name: zone for name, zone in found.items() if name not in self._returned}
        if left and not self._orphans_under_way:
            self._orphans_under_way = True
            await curio.spawn(self._return_orphans, dict(list(left.items())[:RETURN_AT_ONCE]), daemon=True)

    async def _return_orphans(self, zones: dict[str, str]) -> None:
        log.info("releasing unowned machines with cancelled tasks machines=%s", ",".join(zones))
        try:
            await self.cloud.release(list(zones), lambda: time.monotonic() - self.replica.synced_at > CUT_S)
            self._remember_released(zones)
        except (CloudError, NoCapacityError) as err:
            log.info("machine release failed count=%d error=%s", len(zones), err)
        finally:
            self._orphans_under_way = False

    def _remember_released(self, zones: dict[str, str]) -> None:
        self._returned.update(zones)
        while len(self._returned) > RELEASED_MACHINES_KEPT:
            del self._returned[next(iter(self._returned))]

    async def _return_overdue(self, owned: OwnedPartition, machines: list[Machine]) -> None:
        partition = owned.partition
        log.info("releasing machines with overdue cancelled tasks machines=%s", ",".join(m.name for m in machines))

        def still() -> bool:
            now = time.monotonic()
            return (
                self._permissions.owns(partition)
                and self._permissions.is_not_stalled(now)
                and any(m.overdue_since() is not None for m in machines)
            )

        try:
            await self._release(owned, machines, still)
        finally:
            self._reset_unreleased(machines)

    def released_unrecorded(self) -> list[str]:
        """Machines that this process returned and that are on record all the same.

        Their part went to another first, or a transaction that had put them there was carried out late. Their owner
        would take them for room, and wait.
        """
        on_record = self.replica.state.machines
        return [name for name, zone in self._returned.items() if name in on_record[zone]][:RETURN_AT_ONCE]

    async def release_idle(self, owned: OwnedPartition, now: float) -> None:
        """Starts the return of machines without work; in line with placing, which might give them some."""
        if now >= owned.next_idle_check and self._permissions.records_are_fresh(now) and not owned.mostly_silent:
            owned.next_idle_check = now + RETURNS_S
            await self._start_release(
                owned, idle_machines(owned.partition, self.view, self.tuning, now), now, self._release_owned
            )

    async def _start_release(
        self,
        owned: OwnedPartition,
        found: list[Machine],
        now: float,
        how: Callable[[OwnedPartition, list[Machine]], Awaitable[None]],
    ) -> None:
        machines = [m for m in found if m.release_after <= now][:RETURN_AT_ONCE]
        if machines:
            for machine in machines:
                machine.releasing = True
            await curio.spawn(how, owned, machines, daemon=True)

    def on_peer_load(self, node: str, strangers: dict[str, int], returned: list[str]) -> None:
        """A peer says which workers look for their owner there, and which machines it returned without a record."""
        self.unregistered_by_peer[node] = strangers
        for owned in self.owned.values():
            for name in returned:
                if name in owned.partition.machines:
                    owned.partition.on_released(name)
        for zone in strangers:
            if zone in self.owned:
                self.owned[zone].next_silence_check = 0.0  # what is left of those workers' leases is short

    def _update_reachability(self, owned: OwnedPartition, now: float) -> None:
        """Most machines of a part fell silent: whose fault is it?

        If others hear those workers, this controller is cut off from them, and another should take the part. If nobody
        does, the zone is: the part stays with the one who remembers its machines, since only that one can tell when
        their leases have run out (a new owner would have to wait for longer, or return them all).
        """
        partition, zone = owned.partition, owned.partition.zone
        if not owned.mostly_silent:
            owned.mostly_silent_since = None
        elif owned.mostly_silent_since is None:
            owned.mostly_silent_since = now
        # Once the zone is back, some of its workers come here, though others go to other controllers first.
        known = [m for m in partition.machines.values() if m.state is MachineState.ACTIVE]
        if partition.machines:
            owned.last_populated_at = now
        if any(now - (m.last_heartbeat_at or 0.0) < BACK_S for m in known) or now - owned.last_populated_at > EMPTY_S:
            # A dark zone whose machines have all been returned stays dark for a while: what is rented there would not be
            # heard either, and what is admitted for it would come back, again and again.
            partition.unreachable = False
        elif owned.mostly_silent_since is not None:
            elsewhere = sum(heard.get(zone, 0) for heard in self.unregistered_by_peer.values())
            blind = not self.unregistered_by_peer and now - owned.mostly_silent_since > BLIND_S
            if elsewhere >= max(1, min(UNREGISTERED_MACHINES_LEAST, len(partition.machines) // 4)) or (
                blind and not partition.unreachable
            ):
                self.membership.mark_isolated(zone, now)
                log.warning("one-way partition suspected, asking for another owner partition=%s", zone)
            elif not partition.unreachable and self.unregistered_by_peer:
                partition.unreachable = True
                log.warning("zone unreachable from all controllers partition=%s", zone)
        self.membership.set_unreachable(zone, partition.unreachable)

    async def _release_owned(self, owned: OwnedPartition, machines: list[Machine]) -> None:
        """Returns machines in one call: calls are few, and a wave of silent machines has many."""
        partition, asked = owned.partition, machines
        try:
            # A controller cut from the state service may have been deposed: to it, all machines of its old part look
            # silent while they report to the new owner, and returning them would end healthy work.
            if not await self.replica.sync() or not self._permissions.owns(partition):
                return
            idle = [m for m in machines if m.state is MachineState.ACTIVE and not m.attempts]
            if not await self._cordon(partition, idle):
                return
            if not self._permissions.owns(partition):
                return
            # A task may have been recorded onto one of them meanwhile.
            machines = [m for m in machines if m not in idle or not m.attempts]
            if not machines:
                return
            for machine in machines:
                state = "responses-lost" if machine.responses_lost else machine.state.value
                log.info("releasing machine machine=%s state=%s tasks=%d", machine.name, state, len(machine.attempts))
            # The line in front of the cloud may be long, and this process may stand still in it.
            await self._release(
                owned,
                machines,
                lambda: self._permissions.owns(partition) and self._permissions.records_are_fresh(time.monotonic()),
            )
        finally:
            self._reset_unreleased(asked)

    async def _release(self, owned: OwnedPartition, machines: list[Machine], still: Callable[[], bool]) -> None:
        """Has the cloud take machines back; its answer proves that everything on them is gone."""
        try:
            await self.cloud.release([m.name for m in machines], still)
        except (CloudError, NoCapacityError) as err:
            log.info("machine release failed count=%d error=%s", len(machines), err)
            return
        for machine in machines:
            owned.partition.on_released(machine.name)
        self._remember_released({machine.name: machine.zone for machine in machines})
        await owned.wakeup.set()

    @staticmethod
    def _reset_unreleased(machines: list[Machine]) -> None:
        """Whichever were not returned after all can be used, or returned, again.

        Also those that were left out because a task was recorded onto them meanwhile, which stayed closed for ever
        once.
        """
        for machine in machines:
            if machine.state is not MachineState.RELEASED:
                machine.release_after = time.monotonic() + RETURNS_S
                machine.releasing = False

    async def _cordon(self, partition: Partition, machines: list[Machine]) -> bool:
        """Closes machines on record first: no task may be assigned to them while the cloud takes them down."""
        writes = []
        for machine in machines:
            record = MachineRecord(machine.type, machine.spot, machine.addr, False)
            if self.replica.state.machines[partition.zone].get(machine.name) != record:
                writes.append(Write(records.machine_key(partition.zone, machine.name), record))
        most = self.deployment.state.transaction_changes
        for at in range(0, len(writes), most):
            result = await self.replica.commit(
                writes[at : at + most], [records.PARTITION + partition.zone], give_up_s=3.0
            )
            if result.status is not TransactionStatus.COMMITTED:
                return False
        return True
