"""Keeps one controller from acting on records that were lost, and takes part in rebuilding them.

    WATCHING -> CLOSED -> (REBUILDING ->) MOVED

While WATCHING, the history is in force as far as is known. While CLOSED, no records are read or written, and whoever
gets the claim goes on to REBUILDING. Once another history is open, the controller has MOVED: it starts again in that
history, as after a restart.
"""

from __future__ import annotations

import enum
import logging
import os
import time
from dataclasses import dataclass

import curio

from spurarch.coordination.membership.permissions import Permissions
from spurarch.coordination.partition.owner import PartitionOwner
from spurarch.protocol import wire
from spurarch.recovery import copies
from spurarch.recovery.claim import ClaimLostError, RebuildClaim
from spurarch.recovery.evidence import Source
from spurarch.recovery.heartbeat_collector import HeartbeatCollector
from spurarch.recovery.history_opening import HistoryOpening
from spurarch.recovery.loss_detection import LossDetector
from spurarch.recovery.peer_responder import PeerResponder
from spurarch.recovery.rebuild import Rebuild
from spurarch.recovery.rebuild_progress import RebuildContext, RebuildRefusedError
from spurarch.settings import Platform, Tuning
from spurarch.storage.cloud import Cloud
from spurarch.storage.errors import StoreUnavailableError
from spurarch.storage.history import CURRENT, OPEN, HistoryGuard, HistoryPhase, HistoryRecord, decode_history
from spurarch.storage.replica import Replica
from spurarch.storage.store import Store
from spurarch.transport.http_messages import Response
from spurarch.transport.network import Calls, Network

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
REFUSED_PAUSE_S = 3.0
REBUILD_SHARE = 0.9  # of the state service's rates, which nobody else uses meanwhile
CONNECTIONS = 2


class ServicePhase(enum.Enum):
    """What recovery does in this controller."""

    WATCHING = "watching"
    CLOSED = "closed"
    REBUILDING = "rebuilding"
    MOVED = "moved"


_NEXT = {
    ServicePhase.WATCHING: {ServicePhase.CLOSED},
    ServicePhase.CLOSED: {ServicePhase.REBUILDING, ServicePhase.MOVED},
    ServicePhase.REBUILDING: {ServicePhase.CLOSED, ServicePhase.MOVED},
    ServicePhase.MOVED: set(),
}


@dataclass(frozen=True, slots=True)
class RecoveryContext:
    """The parts of a controller that recovery works with."""

    platform: Platform
    tuning: Tuning
    network: Network
    process_incarnation: str
    guard: HistoryGuard
    replica: Replica
    owner: PartitionOwner
    permissions: Permissions
    cloud: Cloud
    peers: dict[str, Calls]


class RecoveryService:
    """Recovery, as one controller takes part in it."""

    def __init__(self, context: RecoveryContext) -> None:
        platform, tuning, permissions = context.platform, context.tuning, context.permissions
        deployment = platform.deployment
        client = context.network.client(platform.external.state, CONNECTIONS)
        self._store = Store(client, deployment.state, deployment.count)
        archive = context.network.client(tuning.archive_address, CONNECTIONS) if tuning.archive_address else None
        self._node, self._guard = platform.node, context.guard
        self._replica, self._owner = context.replica, context.owner
        self._claim = RebuildClaim(self._store, platform.node, context.process_incarnation)
        self.collector = HeartbeatCollector(
            permissions.may_answer, lambda job: permissions.time_since_cancellation(job) is not None
        )
        self._rebuild_context = RebuildContext(
            platform.node,
            deployment,
            self._store,
            context.cloud,
            context.peers,
            archive,
            self.collector,
            self._own_copy,
        )
        self._opening = HistoryOpening(
            platform.node, tuning.installation, context.guard, self._store, context.peers, archive
        )
        self._loss_detector = LossDetector(context.guard, context.replica)
        self._responder = PeerResponder(
            platform.node, context.process_incarnation, context.guard, context.replica, self.collector
        )
        self.phase = ServicePhase.WATCHING

    def _advance(self, phase: ServicePhase) -> None:
        if phase not in _NEXT[self.phase]:
            raise RuntimeError(f"{self.phase} -> {phase}")
        log.info("recovery phase changed phase=%s", phase.value)
        self.phase = phase

    @property
    def closed(self) -> bool:
        """Whether the records must not be trusted."""
        return self._guard.phase is HistoryPhase.LOST

    @property
    def _moved(self) -> bool:
        return self.phase is ServicePhase.MOVED

    async def open_history(self) -> bool:
        """Waits until the history in force is known; False if there is a sign of loss."""
        return await self._opening.run()

    async def run(self) -> None:
        """Watches for loss and rebuilds; returns when this controller has to start again in another history."""
        while not self.closed:
            await curio.sleep(CHECK_INTERVAL_S)
            await self._loss_detector.check()
        log.warning("state service data lost reason=%s", self._guard.reason)
        self._advance(ServicePhase.CLOSED)
        self._store.rates.set_shares(REBUILD_SHARE, REBUILD_SHARE)
        reached = True  # only to log an outage once
        while not self._moved:
            try:
                await self._move_or_rebuild()
                reached = True
            except StoreUnavailableError as err:
                log.log(logging.INFO if reached else logging.DEBUG, "rebuild waits for the state service error=%s", err)
                reached = False
            if not self._moved:
                await curio.sleep(CHECK_INTERVAL_S)

    async def _move_or_rebuild(self) -> None:
        """Moves if another history is open; rebuilds if no other controller does."""
        await self._claim.read()
        item = await self._store.get(CURRENT)
        current = decode_history(item.value) if item is not None else None
        if current is not None and current.name != self._guard.record.name:
            marker = await self._store.get(OPEN + current.name)
            if marker is not None and (self._lost is None or current.number > self._lost.number):
                self._advance(ServicePhase.MOVED)
                return
        name = os.urandom(6).hex()
        if await self._claim.acquire(name):
            await self._rebuild(name)
        elif self._claim.record is not None:
            self.collector.begin(self._claim.record.epoch)

    @property
    def _lost(self) -> HistoryRecord | None:
        """The history that this controller worked in, if it knew one."""
        return self._guard.record if self._guard.record.name else None

    async def _rebuild(self, name: str) -> None:
        self._advance(ServicePhase.REBUILDING)
        try:
            history = await Rebuild(self._rebuild_context, self._claim, name, self._lost).run()
        except (ClaimLostError, RebuildRefusedError, StoreUnavailableError) as err:
            log.warning("rebuild abandoned history=%s error=%s", name, err)
            self._advance(ServicePhase.CLOSED)
            await curio.sleep(REFUSED_PAUSE_S if isinstance(err, RebuildRefusedError) else CHECK_INTERVAL_S)
            return
        log.warning("history opened number=%d history=%s", history.number, history.name)
        self._advance(ServicePhase.MOVED)

    def _own_copy(self) -> Source | None:
        if self._lost is None or not self._replica.loaded:
            return None
        return copies.memory_source(self._node, self._replica.state, self._replica.loaded_revision)

    def observe(self, heartbeat: wire.Heartbeat) -> None:
        """Looks for a sign of loss in a heartbeat."""
        self._loss_detector.observe(heartbeat)

    async def on_heartbeat(self, heartbeat: wire.Heartbeat) -> Response:
        """Answers a heartbeat while the records must not be trusted: HTTP status and body."""
        if self.collector.epoch:
            return self.collector.on_heartbeat(heartbeat)
        self.collector.on_heartbeat(heartbeat)  # for the epoch that it shows
        return await self._owner.on_heartbeat(heartbeat, time.monotonic())

    def on_frame(self, frame: bytes) -> bytes | None:
        """Answers a peer's message; None if it is no message of recovery."""
        return self._responder.on_frame(frame)
