"""The recovery service of a controller: stops it from using lost records, and rebuilds them.

    WATCHING -> CLOSED -> (REBUILDING ->) MOVED

In WATCHING, no sign of data loss was detected. In CLOSED, the controller neither reads nor writes records; the one that
acquires the claim enters REBUILDING, and returns to CLOSED if its rebuild fails. In MOVED, another history is open: the
controller starts again in that history, as after a restart. For histories, see `spurarch.storage.history`.
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
from spurarch.transport.network import Network, PeerClient

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
REFUSED_RETRY_S = 3.0  # after a `RebuildRefusedError`
# Part of the state service's rate limits. All other controllers only poll the claim and the current history meanwhile.
REBUILD_RATE_SHARE = 0.9
CONNECTIONS = 2  # each to the state service and the archive server


class ServicePhase(enum.Enum):
    """State of the recovery service."""

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
    """The components of a controller that the recovery service uses."""

    platform: Platform
    tuning: Tuning
    network: Network
    process_incarnation: str
    guard: HistoryGuard
    replica: Replica
    owner: PartitionOwner
    permissions: Permissions
    cloud: Cloud
    peers: dict[str, PeerClient]


class RecoveryService:
    """Detects data loss and rebuilds the records, together with the recovery services of the other controllers."""

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
            raise RuntimeError(f"{self.phase} may not be followed by {phase}")
        log.info("recovery phase changed phase=%s", phase.value)
        self.phase = phase

    @property
    def records_untrusted(self) -> bool:
        """Whether the records of this controller's history were found to be lost."""
        return self._guard.phase is HistoryPhase.LOST

    @property
    def _has_moved(self) -> bool:
        return self.phase is ServicePhase.MOVED

    async def open_history(self) -> bool:
        """Waits until the current history is open in the guard; returns False if there is a sign of data loss."""
        return await self._opening.run()

    async def run(self) -> None:
        """Detects data loss and rebuilds; returns when this controller has to start again in another history."""
        while not self.records_untrusted:
            await curio.sleep(CHECK_INTERVAL_S)
            await self._loss_detector.check()
        log.warning("state service data lost reason=%s", self._guard.reason)
        self._advance(ServicePhase.CLOSED)
        self._store.rates.set_shares(REBUILD_RATE_SHARE, REBUILD_RATE_SHARE)
        store_reachable = True  # so that an outage is logged at INFO only once
        while not self._has_moved:
            try:
                await self._move_or_rebuild()
                store_reachable = True
            except StoreUnavailableError as err:
                log.log(
                    logging.INFO if store_reachable else logging.DEBUG,
                    "rebuild waits for the state service error=%s",
                    err,
                )
                store_reachable = False
            if not self._has_moved:
                await curio.sleep(CHECK_INTERVAL_S)

    async def _move_or_rebuild(self) -> None:
        """Enters MOVED if a later history is open; otherwise rebuilds if this controller can acquire the claim.

        While another controller rebuilds, collects heartbeats for its epoch. Raises `StoreUnavailableError`.
        """
        await self._claim.read()
        item = await self._store.get(CURRENT)
        current = decode_history(item.value) if item is not None else None
        if current is not None and current.name != self._guard.record.name:
            marker = await self._store.get(OPEN + current.name)
            if marker is not None and (self._own_history is None or current.number > self._own_history.number):
                self._advance(ServicePhase.MOVED)
                return
        name = os.urandom(6).hex()
        if await self._claim.acquire(name):
            await self._rebuild(name)
        elif self._claim.record is not None:
            self.collector.begin(self._claim.record.epoch)

    @property
    def _own_history(self) -> HistoryRecord | None:
        """The history that this controller last worked in or found lost at its start; None if it found none."""
        return self._guard.record if self._guard.record.name else None

    async def _rebuild(self, name: str) -> None:
        self._advance(ServicePhase.REBUILDING)
        try:
            history = await Rebuild(self._rebuild_context, self._claim, name, self._own_history).run()
        except (ClaimLostError, RebuildRefusedError, StoreUnavailableError) as err:
            log.warning("rebuild abandoned history=%s error=%s", name, err)
            self._advance(ServicePhase.CLOSED)
            await curio.sleep(REFUSED_RETRY_S if isinstance(err, RebuildRefusedError) else CHECK_INTERVAL_S)
            return
        log.warning("history opened number=%d history=%s", history.number, history.name)
        self._advance(ServicePhase.MOVED)

    def _own_copy(self) -> Source | None:
        """Returns the records in this controller's memory; None unless it completely read those of a history."""
        if self._own_history is None or not self._replica.loaded:
            return None
        return copies.memory_source(self._node, self._replica.state, self._replica.loaded_revision)

    def observe(self, heartbeat: wire.Heartbeat) -> None:
        """Passes a worker's heartbeat to the loss detector, which `run` asks for signs of data loss."""
        self._loss_detector.observe(heartbeat)

    async def on_heartbeat(self, heartbeat: wire.Heartbeat) -> Response:
        """Answers a heartbeat while the records are untrusted.

        The partition owner answers until a rebuild has chosen an epoch, after that the collector.
        """
        if self.collector.epoch:
            return self.collector.on_heartbeat(heartbeat)
        self.collector.on_heartbeat(heartbeat)  # updates `highest_epoch`; the response is not used
        return await self._owner.on_heartbeat(heartbeat, time.monotonic())

    def on_frame(self, frame: bytes) -> bytes | None:
        """Answers a peer's recovery message; returns None for any other message."""
        return self._responder.on_frame(frame)
