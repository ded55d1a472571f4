"""A partition that this controller owns, with what its owner keeps beside it, and what owners work with."""

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

SILENT_HEARTBEATS = 2.5  # intervals without a heartbeat after which a machine counts as silent


class OwnerContext(Struct, frozen=True):
    """The parts of a controller that the owner of partitions works with.

    Attributes:
        lag: How late the event loop is; searches are put off meanwhile.
        coverage: Tells what the archive holds; None without an archive.
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
    """A partition and the times, flags and pending work of its owner.

    Attributes:
        changed_keys: Records that changed and are not applied to the partition yet.
        wakeup: Set when the partition's next round has something to do.
        last_populated_at: When the partition last had machines.
        provisional: The partition works by records that were read before its claim, to stop cancelled tasks only.
        mostly_silent: Most machines of the partition are silent.
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
        self.deleted_at = 0.0  # when allocations of jobs that are over were last deleted
        self.last_populated_at = partition.claimed_at
        self.is_running = False
        self.provisional = False
        self.mostly_silent = False
        self.mostly_silent_since: float | None = None

    @cached_property
    def placer(self) -> TaskPlacer:
        """Places new tasks here; loaded with the first round, since answers to workers don't need it."""
        from spurarch.coordination.scheduling.placement import TaskPlacer

        return TaskPlacer(self._tuning.longest_wait_s, self._tuning.guarantee_wait_s, self._silent_s)

    @cached_property
    def terminal_records(self) -> TerminalRecords:
        """Works out which ends have to be recorded; loaded with the first round."""
        from spurarch.coordination.partition.terminal_records import TerminalRecords

        return TerminalRecords(self.partition.state)
