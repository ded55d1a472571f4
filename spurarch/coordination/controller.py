"""One controller: its tasks, its routes and the back channel."""

from __future__ import annotations

import logging
import os
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Protocol

import curio
import msgspec

from spurarch.coordination.api.jobs import JobApi, error
from spurarch.coordination.fleet.fleet_view import FleetView
from spurarch.coordination.membership.membership import Membership, rate_shares
from spurarch.coordination.membership.store_reachability import StoreReachability
from spurarch.coordination.partition.command_sender import direct_connections
from spurarch.coordination.partition.owned_partition import OwnerContext
from spurarch.coordination.partition.owner import PartitionOwner
from spurarch.coordination.runtime.event_loop_lag import EventLoopLag
from spurarch.coordination.runtime.stall_detector import CHECK_INTERVAL_S, StallDetector
from spurarch.protocol import peer_messages, wire
from spurarch.settings import Platform, Tuning
from spurarch.storage import records
from spurarch.storage.cloud import Cloud
from spurarch.storage.rate_limits import borrowed_share
from spurarch.storage.replica import Replica
from spurarch.storage.store import Store, StoreUnavailableError
from spurarch.transport.http import Request, Response
from spurarch.transport.network import Calls, Network

if TYPE_CHECKING:
    from spurarch.coordination.leader import Leader
    from spurarch.coordination.partition.state import ArchiveCoverage
    from spurarch.storage.history import HistoryGuard

log = logging.getLogger(__name__)

CUT_AFTER_S = 1.5
PING_S = 1.0
AGAIN_S = 0.5
ROUNDS_AFTER_S = 0.2  # after the claim
SHARE_S, SHARE_LEAST_S = 1.0, 0.2
CLOUD_LEADER = 0.6  # of the cloud's rate: rentals and lists; the others only return machines
SOCKETS_RESERVED = 100  # the state service, the cloud, peers, and some to spare
LATE_S = 5.0  # users have gone by then, and may have been told more elsewhere


class Recovery(Protocol):
    """Notices that the state service lost its data, and has it rebuilt."""

    @property
    def closed(self) -> bool:
        """The records may not be believed."""

    async def open_history(self) -> bool:
        """Finds the history of records that is in force; False if there is a sign of loss."""

    async def run(self) -> None:
        """Ends when the controller has to begin anew in another history."""

    def observe(self, heartbeat: wire.Heartbeat) -> None:
        """Looks at a worker's report for signs of loss."""

    async def on_heartbeat(self, heartbeat: wire.Heartbeat) -> Response:
        """Answers a heartbeat while the records may not be believed."""

    def on_frame(self, frame: bytes) -> bytes | None:
        """Answers a peer's message of recovery; None if it is another."""


class Extension(Protocol):
    """What a controller with recovery is given: the parts that lie in lower layers, and the service above it."""

    @property
    def guard(self) -> HistoryGuard:
        """Watches for signs of loss."""

    @property
    def coverage(self) -> ArchiveCoverage:
        """Tells what the archive covers."""

    def attach(self, controller: Controller) -> Recovery:
        """Makes the service for a controller."""


class Controller:
    """Wires the layers together and runs until it is killed, or has to begin anew after a recovery."""

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
        deployment = platform.deployment
        self.process_incarnation = (
            process_incarnation or os.urandom(8).hex()
        )  # names this process; no other ever has the same
        external = platform.external
        limits = deployment.state
        guard = extension.guard if extension is not None else None
        self.store = Store(network.client(external.state, 24), limits, deployment.count, guard)
        self.cloud = Cloud(network.client(external.cloud, 6), deployment.cloud.rps, deployment.count)
        self.replica = Replica(self.store)
        self.membership = Membership(
            self.replica,
            platform.node,
            self.process_incarnation,
            platform.area,
            deployment.zones,
            tuning.member_ttl_s,
            version,
        )
        workers = deployment.workers
        self.reachability = StoreReachability([p.node for p in platform.peers], workers.cancel_s, workers.lease_s)
        self.stall_detector = StallDetector()
        self._lag = EventLoopLag()
        self.view = FleetView(self.replica.state, deployment.teams, tuning.size_weight, deployment.objectives)
        self.owner = PartitionOwner(
            OwnerContext(
                self.replica,
                self.membership,
                self.view,
                self.cloud,
                self.reachability,
                self.stall_detector,
                self._lag,
                deployment,
                tuning,
                network,
                extension.coverage if extension is not None else None,
            )
        )
        self.job_api = JobApi(
            self.replica,
            self.view,
            deployment,
            [platform.node, *(p.node for p in platform.peers)],
            self._notify_peers,
            self._notify_cancelled,
        )
        self._started_at = time.monotonic()
        self.peers = {p.node: network.back_client(p.address) for p in platform.peers}
        self._peer_notification = curio.Event()
        self._loads: dict[str, tuple[peer_messages.Load, float]] = {}
        self._recovery = extension.attach(self) if extension is not None else None

    async def run(self) -> None:
        """Serves until cancelled."""
        platform = self.platform
        sockets = platform.deployment.limits.sockets
        most = max(16, sockets - direct_connections(sockets) - SOCKETS_RESERVED)
        tasks = [
            self.network.server(platform.listen, self.handle, most).run,
            self.network.back_server(platform.back, self.on_frame, 32).run,
            self.membership.run_lease,
            self._start,
            self.replica.run_sync,
            self.owner.run,
            self._maintain_freshness,
            self._run_timer,
            self._send_notifications,
            self._share_rates,
        ]
        log.info("controller starting node=%s incarnation=%s", platform.node, self.process_incarnation)
        async with curio.TaskGroup(wait=any) as group:
            for task in tasks:
                await group.spawn(self._guarded, task)
            moved = await group.spawn(self._guarded, self._recovery.run) if self._recovery is not None else None
            async for done in group:
                if done is moved and not done.exception:
                    await group.cancel_remaining()
                    return
                if done.exception and not isinstance(done.exception, curio.CancelledError):
                    log.error("controller task ended error=%r", done.exception)
                    raise done.exception

    @staticmethod
    async def _guarded(task: Callable[[], Awaitable[None]]) -> None:
        """Contains an unexpected error: the rest goes on, and the task begins again. A taken address ends the process."""
        while True:
            try:
                await task()
                return
            except (curio.CancelledError, OSError):
                raise
            except Exception:
                log.exception("controller task failed, restarting it name=%s", getattr(task, "__qualname__", task))
                await curio.sleep(AGAIN_S)

    async def _start(self) -> None:
        """Claims first, so that workers are answered before everything else has been read."""
        if self._recovery is not None and not await self._recovery.open_history():
            await curio.Event().wait()  # until another history is open, in which this controller begins anew
        while True:
            try:
                await self.replica.load_ownership()
                await self.membership.claim()
                break
            except StoreUnavailableError as err:
                log.info("start waits for the state service error=%s", err)
                await curio.sleep(0.2)
        async with curio.TaskGroup(wait=any) as group:
            for task in (self.replica.run_watch, self.membership.run, self._run_leader):
                await group.spawn(self._guarded, task)

    async def _run_leader(self) -> None:
        """The leader's rounds. They are loaded a little after the claim: reports that have come by then go first."""
        await curio.sleep(ROUNDS_AFTER_S)
        leader = self._leader()
        async with curio.TaskGroup(wait=any) as group:
            for task in (leader.run, leader.run_finalizer, leader.run_scaling):
                await group.spawn(self._guarded, task)

    def _leader(self) -> Leader:
        from spurarch.coordination.leader import Leader

        return Leader(
            self.replica,
            self.membership,
            self.view,
            self.cloud,
            self.stall_detector,
            self.platform.deployment,
            self.tuning,
            self.process_incarnation,
            self._notify_peers,
        )

    # Requests

    async def handle(self, request: Request) -> Response:
        """Answers a request, unless this took so long that the answer is old."""
        started = time.monotonic()
        response = await self._route(request)
        if time.monotonic() - started > LATE_S:
            return error(503, "too late to answer")
        return response

    async def _route(self, request: Request) -> Response:
        path = request.target.split("?", 1)[0]
        if path == wire.PATH_HEARTBEAT:
            return await self._heartbeat(request) if request.method == "POST" else error(405, "use POST")
        if path == wire.PATH_HEALTH:
            return self._health() if request.method == "GET" else error(405, "use GET")
        if path == wire.PATH_JOBS:
            return await self.job_api.submit(request.body) if request.method == "POST" else error(405, "use POST")
        if path.startswith(wire.PATH_JOBS + "/"):
            job_id, _, rest = path[len(wire.PATH_JOBS) + 1 :].partition("/")
            if not rest:
                return await self.job_api.get(job_id) if request.method == "GET" else error(405, "use GET")
            if rest == wire.PATH_CANCEL:
                return await self.job_api.cancel(job_id) if request.method == "POST" else error(405, "use POST")
        return error(404, "no such path")

    async def _heartbeat(self, request: Request) -> Response:
        try:
            heartbeat = wire.heartbeat_decoder.decode(request.body)
        except (msgspec.DecodeError, UnicodeDecodeError) as err:
            return error(400, str(err))
        if self._recovery is not None:
            self._recovery.observe(heartbeat)
            if self._recovery.closed:
                return await self._recovery.on_heartbeat(heartbeat)
        return await self.owner.on_heartbeat(heartbeat, time.monotonic())

    def _health(self) -> Response:
        """Healthy unless a peer could serve users and this controller can't."""
        now = time.monotonic()
        if not self.replica.loaded:
            return error(503, "starting")
        if now - self.replica.synced_at > 3.0 and now - self.reachability.peer_reached_store_at < 3.0:
            return error(503, "cut from the state service")
        return Response(200)

    # Back channel

    async def on_frame(self, frame: bytes) -> bytes:
        """Answers a peer."""
        if self._recovery is not None and (answer := self._recovery.on_frame(frame)) is not None:
            return answer
        hint = peer_messages.decode(frame)
        if isinstance(hint, peer_messages.Load):
            self._record_peer_throttling(hint)
            self._loads[hint.node] = hint, time.monotonic()
            self.owner.scale_in.on_peer_load(hint.node, dict(hint.unregistered_machines), hint.released_machines)
            return peer_messages.encode(peer_messages.StateChanged())
        if isinstance(hint, peer_messages.StateChanged):
            await curio.spawn(self._sync, daemon=True)
        if isinstance(hint, peer_messages.Ping):
            return peer_messages.encode(await self._pong())
        if isinstance(hint, peer_messages.JobsCancelled):
            self.reachability.record_cancelled(hint.jobs, time.monotonic())
            await self.replica.notify()
        return peer_messages.encode(peer_messages.StateChanged())

    def _record_peer_throttling(self, load: peer_messages.Load) -> None:
        """The state service has lowered its rate if a peer's changes are refused; only where that is announced."""
        before = self._loads.get(load.node)
        announced = self.platform.deployment.state.next is not None
        if announced and before is not None and load.throttled_writes > before[0].throttled_writes:
            self.store.record_peer_throttled()

    async def _pong(self) -> peer_messages.Pong:
        """What this controller knows, whether or not it reaches the state service: a peer may go on by it."""
        reaches = self.replica.loaded and await self.replica.sync(0.8)
        state, now = self.replica.state, time.monotonic()
        cancelled = {job_id for job_id, job in state.jobs.items() if job.cancelled} | set(
            self.reachability.cancelled_by_peers
        )
        parts = [(zone, p.node, p.epoch) for zone, p in state.partitions.items()]
        read = self.replica.synced_at
        age_s, up_s = now - read if read > float("-inf") else -1.0, now - self._started_at
        if not self.store.trusted:
            # Peers must not go on by the word of one that waits for the records to be rebuilt: how long an owner that
            # is cut off may answer its workers bounds how long the rebuilding has to wait for them.
            age_s, up_s = -1.0, 0.0
        return peer_messages.Pong(
            self.platform.node, self.process_incarnation, reaches, sorted(cancelled), parts, age_s, up_s
        )

    async def _notify_cancelled(self, job_id: str) -> None:
        """Peers may be cut from the state service at this moment, and the service down in the next."""
        frame = peer_messages.encode(peer_messages.JobsCancelled([job_id]))
        for client in self.peers.values():
            await curio.spawn(client.call, frame, 0.5, daemon=True)

    async def _sync(self) -> None:
        await self.replica.sync()

    async def _run_timer(self) -> None:
        """Notices when this process stood still, and wakes whatever has something to do now and then.

        One timer for all: a limit on each wait for news costs more than most of what is done on waking.
        """
        while True:
            resumed_at = self.stall_detector.resumed_at
            if self.stall_detector.check(time.monotonic()) != resumed_at:
                log.warning("process stall detected, reading the state service before commands resume")
                await curio.spawn(self._sync, daemon=True)
            await self.replica.notify()
            due = time.monotonic() + CHECK_INTERVAL_S
            await curio.sleep(CHECK_INTERVAL_S)
            self._lag.record(time.monotonic() - due)

    async def _notify_peers(self) -> None:
        await self._peer_notification.set()

    async def _send_notifications(self) -> None:
        while True:
            await self._peer_notification.wait()
            self._peer_notification.clear()
            for client in self.peers.values():
                await curio.spawn(client.call, peer_messages.encode(peer_messages.StateChanged()), 0.5, daemon=True)
            await curio.sleep(0.02)

    async def _share_rates(self) -> None:
        """Takes the share of the state service's rates that this controller's duties ask for, and what others lend."""
        node, state = self.platform.node, self.replica.state
        nodes = [node, *self.peers]
        while True:
            leader = state.leader.node if state.leader is not None else None
            shares = rate_shares(nodes, [partition.node for partition in state.partitions.values()], leader)
            now = time.monotonic()
            recent = {n: load for n, (load, at) in self._loads.items() if now - at < 3 * SHARE_S}
            total = self.platform.deployment.state.write_rps
            mine = peer_messages.Load(
                node,
                *self.store.recent_writes(),
                self.owner.unregistered_machines(now),
                self.owner.scale_in.released_unrecorded(),
                self.store.throttled_writes,
            )
            self.owner.scale_in.unregistered_by_peer = {
                n: dict(load.unregistered_machines) for n, load in recent.items()
            }
            recent[node] = mine
            writes = borrowed_share(
                node,
                {n: w for n, (_, w) in shares.items()},
                {n: load.writes / total for n, load in recent.items()},
                {n for n, load in recent.items() if load.backlogged},
            )
            self.store.set_shares(shares[node][0], writes)
            self.cloud.set_share(CLOUD_LEADER if node == leader else (1 - CLOUD_LEADER) / max(1, len(nodes) - 1))
            frame = peer_messages.encode(mine)
            for client in self.peers.values():
                await curio.spawn(client.call, frame, 0.5, daemon=True)
            await curio.sleep(SHARE_LEAST_S)
            await curio.ignore_after(SHARE_S - SHARE_LEAST_S, self.owner.unregistered_machine_found.wait)
            self.owner.unregistered_machine_found.clear()

    async def _maintain_freshness(self) -> None:
        """Reads the state service at least every second, and asks the peers while it can't be read."""
        while True:
            await curio.sleep(0.5)
            now = time.monotonic()
            if now - self.replica.synced_at <= 0.8 or await self.replica.sync(0.8):
                self.reachability.discard_confirmed(self.replica.synced_at)
                continue
            if time.monotonic() - self.replica.synced_at > CUT_AFTER_S:
                frame = peer_messages.encode(peer_messages.Ping(self.platform.node))
                for node, client in self.peers.items():
                    await curio.spawn(self._ping, node, client, frame, daemon=True)
                await curio.sleep(PING_S - 0.5)

    async def _ping(self, node: str, client: Calls, frame: bytes) -> None:
        sent = time.monotonic()
        answer = await client.call(frame, 2.0)
        hint = peer_messages.decode(answer) if answer is not None else None
        if isinstance(hint, peer_messages.Pong):
            self.reachability.on_pong(node, sent, time.monotonic(), hint, self.replica.synced_at)
            await self.replica.notify()
