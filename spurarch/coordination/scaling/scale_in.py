"""Scale in: finds machines that are silent, overdue, orphaned or idle, and starts their release."""

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
from spurarch.coordination.scaling.machine_releaser import MAX_MACHINES_PER_RELEASE, MachineReleaser
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
MIN_OUTAGE_S = 6.0  # without a successful read of the state service; shorter gaps may be mere slowness


class ScaleInContext(Struct, frozen=True):
    """Components and settings that scale in uses."""

    replica: Replica
    membership: Membership
    view: FleetView
    cloud: Cloud
    permissions: Permissions
    stall_detector: StallDetector
    deployment: Deployment
    tuning: Tuning


class ScaleIn:
    """Starts the releases of machines by a partition owner, and of orphaned machines by any controller."""

    def __init__(self, context: ScaleInContext, owned: dict[str, OwnedPartition]) -> None:
        self._replica, self._membership, self._view = context.replica, context.membership, context.view
        self._permissions, self._stall_detector = context.permissions, context.stall_detector
        self._reachability = context.permissions.reachability
        self._workers, self._tuning, self._owned = context.deployment.workers, context.tuning, owned
        self._releaser = MachineReleaser(
            context.replica, context.cloud, context.permissions, context.deployment.state.transaction_changes
        )
        self._isolation_detector = IsolationDetector(context.membership)
        # By peer and zone, the number of workers that send heartbeats to a peer that does not own their partition.
        self.unregistered_machines_by_peer: dict[str, dict[str, int]] = {}
        self._next_orphan_check = 0.0
        self._releasing_orphans = False

    async def release_silent(self, owned: OwnedPartition, now: float) -> None:
        """Starts the release of machines that are silent, receive no heartbeat responses, or were never confirmed.

        Also updates `owned.mostly_silent`, and whether the zone is isolated or unreachable.
        """
        if now < owned.next_silence_check or not self._permissions.records_are_fresh(now):
            return
        owned.next_silence_check = now + CHECK_INTERVAL_S
        observation = SilenceObservation(owned.partition, self._workers, now, self._stall_detector.resumed_at)
        owned.mostly_silent = is_mostly_silent(observation)
        self._isolation_detector.update(owned, self.unregistered_machines_by_peer, now)
        limits = SilenceLimits.of(self._tuning, self._workers, self._reachability.freshness_limit_s)
        found = silent_machines(observation, limits, owned.mostly_silent)
        await self._start_release(owned, found, now, self._releaser.release_owned)

    async def release_overdue(self, owned: OwnedPartition, now: float) -> None:
        """Starts the release of machines with overdue cancelled tasks, even if the state service is unreachable."""
        partition = owned.partition
        if (
            not partition.machines_with_cancelled_tasks
            or now < owned.next_overdue_check
            or not self._permissions.is_confirmed_since_stall(now)
            or self._permissions.is_owned_by_peer(partition.zone)
        ):
            return
        owned.next_overdue_check = now + CHECK_INTERVAL_S
        found = overdue_machines(partition, self._workers, now, owned.mostly_silent, self._stall_detector.resumed_at)
        await self._start_release(owned, found, now, self._releaser.release_overdue)

    async def release_orphaned(self, now: float) -> None:
        """Starts the release of machines with overdue cancelled tasks in partitions without an owner.

        Acts only during an outage of the state service, when any running controller may release such machines.
        """
        if (
            now < self._next_orphan_check
            or now - self._replica.synced_at < MIN_OUTAGE_S
            or not self._permissions.is_confirmed_since_stall(now)
        ):
            return
        if not self._reachability.outage(now):
            return  # an isolated controller would mistake the machines of all other controllers for orphaned ones
        self._next_orphan_check = now + CHECK_INTERVAL_S
        found = orphaned_machines(
            self._replica.state, self._unowned_zones(now), self._permissions.time_since_cancellation, self._workers
        )
        orphans = {name: zone for name, zone in found.items() if not self._releaser.was_released(name)}
        if orphans and not self._releasing_orphans:
            self._releasing_orphans = True
            await curio.spawn(
                self._release_orphans, dict(list(orphans.items())[:MAX_MACHINES_PER_RELEASE]), daemon=True
            )

    def _unowned_zones(self, now: float) -> set[str]:
        """Zones whose partition neither this controller nor a responding peer owns."""
        return {
            zone
            for zone, partition in self._replica.state.partitions.items()
            if self._membership.owned_record(zone) is None
            and not self._permissions.is_owned_by_peer(zone)
            and not self._reachability.peer_responds(partition.node, now, partition.process_incarnation)
        }

    async def _release_orphans(self, zones: dict[str, str]) -> None:
        try:
            await self._releaser.release_orphaned(
                zones, lambda: time.monotonic() - self._replica.synced_at > MIN_OUTAGE_S
            )
        finally:
            self._releasing_orphans = False

    async def release_idle(self, owned: OwnedPartition, now: float) -> None:
        """Starts the release of idle machines; called between placement rounds, which might assign tasks to them."""
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
        machines = [machine for machine in found if machine.release_after <= now][:MAX_MACHINES_PER_RELEASE]
        if machines:
            for machine in machines:
                machine.releasing = True
            await curio.spawn(release, owned, machines, daemon=True)

    def released_on_record(self) -> list[str]:
        """Machines that this process released and whose records still exist in the state service."""
        return self._releaser.released_on_record()

    def on_peer_load(self, node: str, unregistered_machines: dict[str, int], released_machines: list[str]) -> None:
        """Applies a peer's load message.

        `unregistered_machines` counts, by zone, workers that send heartbeats to the peer instead of their partition's
        owner; `released_machines` are names of machines that the peer released and whose records still exist. Marks
        these machines as released in owned partitions, and makes the next silence check of the counted zones due now.
        """
        self.unregistered_machines_by_peer[node] = unregistered_machines
        for owned in self._owned.values():
            for name in released_machines:
                if name in owned.partition.machines:
                    owned.partition.on_released(name)
        for zone in unregistered_machines:
            if zone in self._owned:
                self._owned[zone].next_silence_check = 0.0  # the leases of unregistered workers expire soon
