"""Scale in: watches for machines to release, which are silent, overdue, orphaned or idle, and starts their release."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import curio
from msgspec import Struct

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.partition.machine import Machine
from spurarch.coordination.partition.owned_partition import OwnedPartition
from spurarch.coordination.runtime.stall_detector import StallDetector
from spurarch.coordination.scaling.idle_machines import idle_machines
from spurarch.coordination.scaling.isolation_detector import IsolationDetector
from spurarch.coordination.scaling.machine_releaser import MAX_RELEASED_AT_ONCE, MachineReleaser
from spurarch.coordination.scaling.overdue_machines import orphaned_machines, overdue_machines
from spurarch.coordination.scaling.silent_machines import (
    SilenceLimits,
    SilenceObservation,
    is_mostly_silent,
    silent_machines,
)
from spurarch.settings import Deployment, Tuning
from spurarch.storage.cloud import Cloud
from spurarch.storage.replica import Replica

CHECK_INTERVAL_S = 1.0
OUTAGE_S = 6.0  # without a read of the state service: this is no passing slowness


class ScaleInContext(Struct, frozen=True):
    """What scale in works with."""

    replica: Replica
    membership: Membership
    view: FleetView
    cloud: Cloud
    permissions: Permissions
    stall_detector: StallDetector
    deployment: Deployment
    tuning: Tuning


class ScaleIn:
    """All releases of machines by a partition owner."""

    def __init__(self, context: ScaleInContext, owned: dict[str, OwnedPartition]) -> None:
        self._replica, self._membership, self._view = context.replica, context.membership, context.view
        self._permissions, self._stall_detector = context.permissions, context.stall_detector
        self._reachability = context.permissions.reachability
        self._workers, self._tuning, self._owned = context.deployment.workers, context.tuning, owned
        self._releaser = MachineReleaser(
            context.replica, context.cloud, context.permissions, context.deployment.state.transaction_changes
        )
        self._isolation = IsolationDetector(context.membership)
        self.unregistered_by_peer: dict[str, dict[str, int]] = {}  # by peer and zone, workers that look for their owner
        self._next_orphan_check = 0.0
        self._releasing_orphans = False

    async def watch_silence(self, owned: OwnedPartition, now: float) -> None:
        """Starts the release of machines that are silent, whose responses are lost, or that never were confirmed."""
        if now < owned.next_silence_check or not self._permissions.records_are_fresh(now):
            return
        owned.next_silence_check = now + CHECK_INTERVAL_S
        observation = SilenceObservation(owned.partition, self._workers, now, self._stall_detector.resumed_at)
        owned.mostly_silent = is_mostly_silent(observation)
        self._isolation.update(owned, self.unregistered_by_peer, now)
        limits = SilenceLimits.of(self._tuning, self._workers, self._reachability.freshness_limit_s)
        found = silent_machines(observation, limits, owned.mostly_silent)
        await self._start_release(owned, found, now, self._releaser.release_owned)

    async def watch_overdue(self, owned: OwnedPartition, now: float) -> None:
        """Releases machines whose cancelled tasks are overdue, whether or not the state service answers."""
        partition = owned.partition
        if (
            not partition.machines_with_cancelled_tasks
            or now < owned.next_overdue_check
            or not self._permissions.is_not_stalled(now)
            or self._permissions.superseded(partition.zone)
        ):
            return
        owned.next_overdue_check = now + CHECK_INTERVAL_S
        found = overdue_machines(partition, self._workers, now, owned.mostly_silent, self._stall_detector.resumed_at)
        await self._start_release(owned, found, now, self._releaser.release_overdue)

    async def watch_orphans(self, now: float) -> None:
        """The same for partitions without an owner, in an outage: any live controller may release such machines."""
        if (
            now < self._next_orphan_check
            or now - self._replica.synced_at < OUTAGE_S
            or not self._permissions.is_not_stalled(now)
        ):
            return
        if not self._reachability.outage(now):
            return  # a controller that is alone would take the machines of all others for orphaned
        self._next_orphan_check = now + CHECK_INTERVAL_S
        found = orphaned_machines(
            self._replica.state, self._unowned_zones(now), self._permissions.time_since_cancellation, self._workers
        )
        orphans = {name: zone for name, zone in found.items() if not self._releaser.was_released(name)}
        if orphans and not self._releasing_orphans:
            self._releasing_orphans = True
            await curio.spawn(self._release_orphans, dict(list(orphans.items())[:MAX_RELEASED_AT_ONCE]), daemon=True)

    def _unowned_zones(self, now: float) -> set[str]:
        """Zones whose partition neither this controller nor a live peer owns."""
        return {
            zone
            for zone, partition in self._replica.state.partitions.items()
            if self._membership.owned_record(zone) is None
            and not self._permissions.superseded(zone)
            and not self._reachability.peer_responds(partition.node, now, partition.process_incarnation)
        }

    async def _release_orphans(self, zones: dict[str, str]) -> None:
        try:
            await self._releaser.release_orphaned(zones, lambda: time.monotonic() - self._replica.synced_at > OUTAGE_S)
        finally:
            self._releasing_orphans = False

    async def release_idle(self, owned: OwnedPartition, now: float) -> None:
        """Starts the release of idle machines; called in turn with placement, which might give them tasks."""
        if now >= owned.next_idle_check and self._permissions.records_are_fresh(now) and not owned.mostly_silent:
            owned.next_idle_check = now + CHECK_INTERVAL_S
            found = idle_machines(owned.partition, self._view, self._tuning, now)
            await self._start_release(owned, found, now, self._releaser.release_owned)

    async def _start_release(
        self,
        owned: OwnedPartition,
        found: list[Machine],
        now: float,
        release: Callable[[OwnedPartition, list[Machine]], Awaitable[None]],
    ) -> None:
        machines = [machine for machine in found if machine.release_after <= now][:MAX_RELEASED_AT_ONCE]
        if machines:
            for machine in machines:
                machine.releasing = True
            await curio.spawn(release, owned, machines, daemon=True)

    def released_unrecorded(self) -> list[str]:
        """Machines that this process released and that are on record all the same."""
        return self._releaser.released_unrecorded()

    def on_peer_load(self, node: str, unregistered_machines: dict[str, int], released_machines: list[str]) -> None:
        """Applies a peer's message: workers that look for their owner there, and machines it released unrecorded."""
        self.unregistered_by_peer[node] = unregistered_machines
        for owned in self._owned.values():
            for name in released_machines:
                if name in owned.partition.machines:
                    owned.partition.on_released(name)
        for zone in unregistered_machines:
            if zone in self._owned:
                self._owned[zone].next_silence_check = 0.0  # what is left of those workers' leases is short
