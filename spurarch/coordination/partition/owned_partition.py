"""A partition owned by this controller with its owner's working state, and the dependencies of an owner."""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING

import curio
from msgspec import Struct

from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.coordination.partition.partition import Partition
from spurarch.coordination.partition.state import ArchiveCoverage
from spurarch.coordination.runtime.event_loop_lag import EventLoopLag
from spurarch.coordination.runtime.stall_detector import StallDetector
from spurarch.settings import Deployment, Tuning
from spurarch.storage.cloud import Cloud
from spurarch.storage.replica import Replica
from spurarch.transport.network import Network

if TYPE_CHECKING:
    from spurarch.coordination.partition.terminal_records import TerminalRecords
    from spurarch.coordination.scheduling.placement import TaskPlacer

SILENT_HEARTBEATS = 2.5  # heartbeat intervals without a heartbeat after which a machine counts as silent


class OwnerContext(Struct, frozen=True):
    """Dependencies of a partition owner.

    Attributes:
        lag: Lag of the event loop; local searches are postponed while it is high.
        coverage: Which changes the archive holds; None without an archive.
    """

    replica: Replica
    membership: Membership
    view: FleetView
    cloud: Cloud
    reachability: StoreReachability
    stall_detector: StallDetector
    lag: EventLoopLag
    deployment: Deployment
    tuning: Tuning
    network: Network
    coverage: ArchiveCoverage | None = None

    @property
    def silent_s(self) -> float:
        """Seconds without a heartbeat after which a machine counts as silent."""
        return SILENT_HEARTBEATS * self.deployment.workers.heartbeat_interval_s


class OwnedPartition:
    """A partition, with the timers, flags and pending changes that its owner keeps. Times are monotonic, in seconds.

    Attributes:
        changed_keys: Keys of changed records that are not applied to the partition yet, in order.
        wakeup: Set when there is work for the partition's next round.
        last_deletion_at: When allocations of finished jobs were last deleted.
        last_populated_at: When the partition last had machines.
        provisional: The state comes from records read before the claim, and serves only to stop cancelled tasks.
        mostly_silent: Whether most machines of the partition are silent.
        mostly_silent_since: Since when most machines are silent; None if they aren't.
    """

    def __init__(self, partition: Partition, tuning: Tuning, silent_s: float) -> None:
        self.partition = partition
        self._tuning, self._silent_s = tuning, silent_s
        self.changed_keys: dict[str, None] = {}
        self.wakeup = curio.Event()
        self.next_search = 0.0
        self.next_tick = 0.0
        self.next_idle_check = 0.0
        self.next_silence_check = 0.0
        self.next_overdue_check = 0.0
        self.last_deletion_at = 0.0
        self.last_populated_at = partition.claimed_at
        self.is_running = False
        self.provisional = False
        self.mostly_silent = False
        self.mostly_silent_since: float | None = None

    @cached_property
    def placer(self) -> TaskPlacer:
        """Places waiting tasks. Imported by the first round, since answering workers doesn't need it."""
        from spurarch.coordination.scheduling.placement import TaskPlacer

        return TaskPlacer(self._tuning.longest_wait_s, self._tuning.guarantee_wait_s, self._silent_s)

    @cached_property
    def terminal_records(self) -> TerminalRecords:
        """Determines which ended tasks have to be recorded. Imported by the first round."""
        from spurarch.coordination.partition.terminal_records import TerminalRecords

        return TerminalRecords(self.partition.state)
