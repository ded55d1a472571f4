"""One controller: creates the components of all layers, connects them, and runs their tasks."""

from __future__ import annotations

import logging
import os
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import curio

from spurarch.coordination.api.jobs import JobApi
from spurarch.coordination.api.routes import RequestRouter
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.membership.membership import Membership
from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.coordination.partition.command_sender import direct_connections
from spurarch.coordination.partition.owned_partition import OwnerContext
from spurarch.coordination.partition.owner import PartitionOwner
from spurarch.coordination.peers import PeerMessageHandler, PeerNotifier
from spurarch.coordination.rate_sharing import RateSharing
from spurarch.coordination.runtime.event_loop_lag import EventLoopLag
from spurarch.coordination.runtime.stall_detector import ProcessTimer, StallDetector
from spurarch.settings import Platform, Tuning
from spurarch.storage import records
from spurarch.storage.cloud import Cloud
from spurarch.storage.errors import StoreUnavailableError
from spurarch.storage.replica import Replica
from spurarch.storage.store import Store
from spurarch.transport.http import Request, Response
from spurarch.transport.network import Network

if TYPE_CHECKING:
    from spurarch.coordination.extension import Extension
    from spurarch.coordination.leader import Leader
    from spurarch.coordination.partition.state import ArchiveCoverage

log = logging.getLogger(__name__)

TASK_RESTART_DELAY_S = 0.5
CLAIM_RETRY_S = 0.2
LEADER_DELAY_S = 0.2  # after the first claim of partitions
FRESHNESS_DELAY_S = 0.5  # after the start of the controller
STORE_CONNECTIONS, CLOUD_CONNECTIONS, PEER_CONNECTIONS = 24, 6, 32
MIN_PUBLIC_CONNECTIONS = 16
SOCKETS_RESERVED = 100  # for the state service, the cloud and peers, with a margin


class Controller:
    """A controller, which runs until it is killed or has to be restarted in another history of the records.

    Histories are defined in `spurarch.storage.history`. `process_incarnation` identifies this process and is unique
    among all processes of all controllers; None generates it at random. `version` is the program version that the
    member record announces. `extension` adds recovery.
    """

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        network: Network | None = None,
        process_incarnation: str | None = None,
        version: int = records.PROGRAM_VERSION,
        extension: Extension | None = None,
    ) -> None:
        self.platform, self.tuning = platform, tuning
        self.network = network = network or Network()
        self.process_incarnation = process_incarnation or os.urandom(8).hex()
        node, deployment, external = platform.node, platform.deployment, platform.external
        guard = extension.guard if extension is not None else None
        self.store = Store(network.client(external.state, STORE_CONNECTIONS), deployment.state, deployment.count, guard)
        self.cloud = Cloud(network.client(external.cloud, CLOUD_CONNECTIONS), deployment.cloud.rps, deployment.count)
        self.replica = Replica(self.store)
        self.membership = self._create_membership(version)
        workers = deployment.workers
        self.reachability = StoreReachability([peer.node for peer in platform.peers], workers.cancel_s, workers.lease_s)
        self.stall_detector = StallDetector()
        lag = EventLoopLag()
        self.view = FleetView(self.replica.state, deployment.teams, tuning.size_weight, deployment.objectives)
        coverage = extension.coverage if extension is not None else None
        self.owner = self._create_owner(lag, coverage)
        self.peers = {peer.node: network.peer_client(peer.address) for peer in platform.peers}
        self._notifier = PeerNotifier(self.peers)
        self.job_api = self._create_job_api()
        self._rate_sharing = RateSharing(node, self.peers, self.replica, self.cloud, self.owner, deployment.state)
        self._peer_messages = PeerMessageHandler(
            node, self.process_incarnation, self.replica, self.reachability, self._rate_sharing
        )
        self._timer = ProcessTimer(self.stall_detector, lag, self.replica)
        self._recovery = extension.attach(self) if extension is not None else None
        self._router = RequestRouter(self.job_api, self.owner, self.replica, self.reachability, self._recovery)

    def _create_membership(self, version: int) -> Membership:
        return Membership(
            self.replica,
            self.platform.node,
            self.process_incarnation,
            self.platform.area,
            self.platform.deployment.zones,
            self.tuning.member_ttl_s,
            version,
        )

    def _create_job_api(self) -> JobApi:
        return JobApi(
            self.replica,
            self.view,
            self.platform.deployment,
            [self.platform.node, *(peer.node for peer in self.platform.peers)],
            self._notifier.notify_state_changed,
            self._notifier.notify_cancelled,
        )

    def _create_owner(self, lag: EventLoopLag, coverage: ArchiveCoverage | None) -> PartitionOwner:
        context = OwnerContext(
            self.replica,
            self.membership,
            self.view,
            self.cloud,
            self.reachability,
            self.stall_detector,
            lag,
            self.platform.deployment,
            self.tuning,
            self.network,
            coverage,
        )
        return PartitionOwner(context)

    async def run(self) -> None:
        """Runs all tasks until cancelled, or until recovery requires a restart.

        Raises:
            OSError: An address to listen on can't be bound.
        """
        platform = self.platform
        sockets = platform.deployment.limits.sockets
        connections = max(MIN_PUBLIC_CONNECTIONS, sockets - direct_connections(sockets) - SOCKETS_RESERVED)
        tasks = [
            self.network.server(platform.listen, self.handle, connections).run,
            self.network.peer_server(platform.peer_listen, self.on_frame, PEER_CONNECTIONS).run,
            self.membership.lease.run,
            self._start,
            self.replica.run_sync,
            self.owner.run,
            self._run_freshness_monitor,
            self._timer.run,
            self._notifier.run,
            self._rate_sharing.run,
        ]
        log.info("controller starting node=%s incarnation=%s", platform.node, self.process_incarnation)
        async with curio.TaskGroup(wait=any) as group:
            for task in tasks:
                await group.spawn(self._restart_on_error, task)
            recovery = (
                await group.spawn(self._restart_on_error, self._recovery.run) if self._recovery is not None else None
            )
            async for ended in group:
                if ended is recovery and not ended.exception:
                    await group.cancel_remaining()
                    return
                if ended.exception and not isinstance(ended.exception, curio.CancelledError):
                    log.error("controller task ended error=%r", ended.exception)
                    raise ended.exception

    async def handle(self, request: Request) -> Response:
        """Answers an HTTP request of a user, a worker or the platform."""
        return await self._router.handle(request)

    async def on_frame(self, frame: bytes) -> bytes:
        """Answers a message of a peer controller."""
        if self._recovery is not None and (response := self._recovery.on_frame(frame)) is not None:
            return response
        return await self._peer_messages.on_frame(frame)

    @staticmethod
    async def _restart_on_error(task: Callable[[], Awaitable[None]]) -> None:
        """Runs a task, and restarts it after an unexpected error; the other tasks continue.

        An OSError isn't handled and ends the process: it is raised when an address to listen on is already in use.
        """
        while True:
            try:
                await task()
                return
            except (curio.CancelledError, OSError):
                raise
            except Exception:
                log.exception("controller task failed, restarting it name=%s", getattr(task, "__qualname__", task))
                await curio.sleep(TASK_RESTART_DELAY_S)

    async def _run_all(self, *tasks: Callable[[], Awaitable[None]]) -> None:
        """Runs tasks that don't normally end, until one of them does."""
        async with curio.TaskGroup(wait=any) as group:
            for task in tasks:
                await group.spawn(self._restart_on_error, task)

    async def _start(self) -> None:
        """Claims partitions before the other records are read, so that workers are answered as early as possible."""
        if self._recovery is not None and not await self._recovery.open_history():
            # Waits until cancelled: `Recovery.run` returns, which ends `run`, once another history is open.
            await curio.Event().wait()
        while True:
            try:
                await self.replica.load_ownership()
                await self.membership.claim()
                break
            except StoreUnavailableError as err:
                log.info("state service unavailable, retrying partition claims error=%s", err)
                await curio.sleep(CLAIM_RETRY_S)
        await self._run_all(self.replica.run_watch, self.membership.run, self._run_leader)

    # The first responses to workers don't need the following modules, which are therefore imported later.

    async def _run_leader(self) -> None:
        await curio.sleep(LEADER_DELAY_S)
        leader = self._create_leader()
        await self._run_all(leader.run, leader.run_finalizer, leader.run_scaling)

    async def _run_freshness_monitor(self) -> None:
        await curio.sleep(FRESHNESS_DELAY_S)
        from spurarch.coordination.membership.freshness import FreshnessMonitor

        await FreshnessMonitor(self.platform.node, self.replica, self.reachability, self.peers).run()

    def _create_leader(self) -> Leader:
        from spurarch.coordination.leader import Leader
        from spurarch.coordination.leader_context import LeaderContext

        context = LeaderContext(
            self.replica,
            self.membership,
            self.view,
            self.cloud,
            self.stall_detector,
            self.platform.deployment,
            self.tuning,
            self.process_incarnation,
            self._notifier.notify_state_changed,
        )
        return Leader(context)
