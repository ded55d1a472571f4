"""A partition that this controller owns, with timers and flags of its rounds, and the dependencies of its owner."""

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

# Heartbeat intervals without a heartbeat after which commands and placement treat a machine as silent. The release of
# silent machines has limits of its own, in `scaling.silent_machines`.
SILENT_HEARTBEATS = 2.5


class OwnerContext(Struct, frozen=True):
    """Dependencies of a partition owner.

    Attributes:
        lag: Lag of the event loop; while it is high, the local search, which migrates tasks, is postponed.
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
        """Seconds without a heartbeat after which commands and placement treat a machine as silent."""
        return SILENT_HEARTBEATS * self.deployment.workers.heartbeat_interval_s


class OwnedPartition:
    """A partition, with the timers, flags and pending changes that its owner keeps. Times are monotonic, in seconds.

    Attributes:
        changed_keys: Keys of changed records that are not applied to the partition yet, in order.
        wakeup: Set when there is work for the partition's next round.
        next_search: When the next local search is due; 0 before the first round.
        next_tick: When the partition's periodic work is due.
        next_idle_check: When idle machines are next looked for.
        next_silence_check: When silent machines are next looked for.
        next_overdue_check: When machines are next looked for that did not stop cancelled tasks in time.
        last_deletion_at: When allocations of finished jobs were last deleted.
        last_populated_at: When the partition last had machines.
        is_running: Whether the event-loop tasks that run rounds and send commands were started.
        provisional: Whether records that were read before the claim were applied, since newer ones could not be read;
            until they are, the partition's state is used only to stop cancelled tasks.
        mostly_silent: Whether most machines of the partition are silent, by `scaling.silent_machines.is_mostly_silent`,
            which has a threshold of its own.
        mostly_silent_since: Since when `mostly_silent` has been seen as set; None while most machines aren't silent.
    """

    def __init__(self, partition: Partition, tuning: Tuning, silent_s: float, max_updatable_tasks: int) -> None:
        self.partition = partition
        self._tuning, self._silent_s, self._max_updatable_tasks = tuning, silent_s, max_updatable_tasks
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
        """Places waiting tasks. Imported on first use, since a controller that starts has to answer workers first."""
        from spurarch.coordination.scheduling.placement import TaskPlacer

        return TaskPlacer(
            self._tuning.longest_wait_s, self._tuning.guarantee_wait_s, self._silent_s, self._max_updatable_tasks
        )

    @cached_property
    def terminal_records(self) -> TerminalRecords:
        """Determines which ended tasks have to be recorded. Imported on first use, like `placer`."""
        from spurarch.coordination.partition.terminal_records import TerminalRecords

        return TerminalRecords(self.partition.state)
