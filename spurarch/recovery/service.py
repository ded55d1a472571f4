"""Keeps one controller from acting on records that were lost, and has them rebuilt.

    WATCHING -> CLOSED -> (REBUILDING ->) MOVED

While WATCHING, the history is in force as far as can be told. CLOSED, nothing is read or written; whoever gets the claim
goes on to REBUILDING. Once another history is open, the controller has MOVED and begins anew in it, as after a restart.
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
from spurarch.coordination.partition.state import TOKEN_BITS
from spurarch.protocol import recovery_messages, wire
from spurarch.protocol.recovery_messages import (
    EvidencePage,
    EvidenceRequest,
    HeartbeatsPage,
    HeartbeatsRequest,
    RevisionAnswer,
    RevisionRequest,
    StoredRecord,
)
from spurarch.recovery import copies
from spurarch.recovery.claim import ClaimLostError, RebuildClaim
from spurarch.recovery.copies import ArchiveHead
from spurarch.recovery.evidence import Source
from spurarch.recovery.heartbeat_collector import HeartbeatCollector
from spurarch.recovery.rebuild import RebuildContext, Rebuilding, RebuildRefusedError
from spurarch.settings import Platform, Tuning
from spurarch.storage.cloud import Cloud
from spurarch.storage.history import CURRENT, OPEN, HistoryGuard, HistoryPhase, HistoryRecord, decode_history
from spurarch.storage.replica import Replica
from spurarch.storage.store import Store, StoreUnavailableError
from spurarch.transport.http_messages import Response
from spurarch.transport.network import Calls, Network

log = logging.getLogger(__name__)

LOOK_S = 0.25
REFUSED_PAUSE_S = 3.0
SUSPICIOUS_LEAST = 2
SUSPICIOUS_KEPT = 100
CALL_S = 0.5
REBUILD_SHARE = 0.9  # of the state service's rates, which nobody else uses meanwhile
CONNECTIONS = 2


class ServicePhase(enum.Enum):
    """Where this controller stands."""

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
class _Suspicion:
    """A worker showed an epoch of its partition that is not on record here."""

    zone: str
    epoch: int


@dataclass(frozen=True, slots=True)
class _Others:
    """What other controllers and the archive have seen."""

    answers: list[RevisionAnswer]
    head: ArchiveHead | None


class RecoveryService:
    """Recovery, as one controller takes part in it."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        network: Network,
        guard: HistoryGuard,
        replica: Replica,
        owner: PartitionOwner,
        permissions: Permissions,
        cloud: Cloud,
        peers: dict[str, Calls],
        process_incarnation: str,
    ) -> None:
        self._node, self._process_incarnation, self._guard, self._replica, self._owner = (
            platform.node,
            process_incarnation,
            guard,
            replica,
            owner,
        )
        self._peers, self._installation = peers, tuning.installation
        deployment = platform.deployment
        self._store = Store(network.client(platform.external.state, CONNECTIONS), deployment.state, deployment.count)
        self._archive = network.client(tuning.archive_address, CONNECTIONS) if tuning.archive_address else None
        self._claim = RebuildClaim(self._store, platform.node, process_incarnation)
        self.collector = HeartbeatCollector(
            permissions.may_answer, lambda job: permissions.time_since_cancellation(job) is not None
        )
        self._context = RebuildContext(
            platform.node, deployment, self._store, cloud, peers, self._archive, self.collector, self._own_source
        )
        self.phase = ServicePhase.WATCHING
        self._stored: list[StoredRecord] | None = None
        self._suspicious: dict[str, _Suspicion] = {}  # by worker

    def _advance(self, phase: ServicePhase) -> None:
        if phase not in _NEXT[self.phase]:
            raise RuntimeError(f"{self.phase} -> {phase}")
        log.info("recovery phase changed phase=%s", phase.value)
        self.phase = phase

    @property
    def closed(self) -> bool:
        """The records may not be believed."""
        return self._guard.phase is HistoryPhase.LOST

    @property
    def _moved(self) -> bool:
        return self.phase is ServicePhase.MOVED

    # Starting

    async def open_history(self) -> bool:
        """Finds the history in force; False as soon as there is a sign of loss."""
        told = False
        while self._guard.phase is HistoryPhase.UNKNOWN:
            try:
                await self._look_for_history()
            except StoreUnavailableError as err:
                log.info("start waits for the state service error=%s", err)
            if self._guard.phase is HistoryPhase.UNKNOWN:
                if not told:
                    log.info("no history yet, a new installation needs `spurarch recovery init`")
                    told = True
                await curio.sleep(LOOK_S)
        return self._guard.is_open

    async def _look_for_history(self) -> None:
        item = await self._store.get(CURRENT)
        if item is None:
            await self._check_empty_store()
            return
        history = decode_history(item.value)
        if history.installation != self._installation:
            log.error(
                "state service holds another installation installation=%r expected=%r",
                history.installation,
                self._installation,
            )
            await curio.sleep(REFUSED_PAUSE_S)
            return
        marker = await self._store.get(OPEN + history.name)
        if marker is None:
            self._lose_known(history, f"history {history.name} was sealed")
            return
        newest = await self._newest_known(history.name)
        page = await self._store.page(CURRENT, None)  # read later, so it shows no less, unless data was lost
        if newest > page.revision:
            self._lose_known(history, f"revision {page.revision}, where {newest} was seen")
            return
        self._guard.open(history, marker.version, page.revision, time.monotonic())

    async def _check_empty_store(self) -> None:
        """An empty state service is either new or was wiped: an archive or another controller knows which."""
        others = await self._ask_others()
        archived = others.head.history if others.head is not None else None
        if archived is not None and archived.installation != self._installation:
            log.error(
                "archive holds another installation installation=%r expected=%r",
                archived.installation,
                self._installation,
            )
        elif archived is not None:
            self._lose_known(archived, f"no history, the archive has {archived.name}")
            return
        for answer in others.answers:
            if answer.history:
                self._lose_known(
                    HistoryRecord(answer.history, answer.number), f"no history, {answer.node} has seen {answer.history}"
                )
                return

    def _lose_known(self, history: HistoryRecord, reason: str) -> None:
        """A history is lost that this process never worked in."""
        if self._guard.lose(reason):
            self._guard.record = history

    async def _newest_known(self, history: str) -> int:
        """The newest revision of a history that the archive or another controller has seen."""
        others = await self._ask_others()
        seen = [answer.revision for answer in others.answers if answer.history == history]
        if others.head is not None and others.head.history is not None and others.head.history.name == history:
            seen.append(others.head.revision)
        return max(seen, default=0)

    async def _ask_others(self) -> _Others:
        """What other controllers and the archive have seen, asked at once; who does not answer soon says nothing.

        Workers wait meanwhile, whose leases go on running.
        """
        request = recovery_messages.encode(RevisionRequest(self._node))
        async with curio.TaskGroup() as group:
            asked = [await group.spawn(peer.call, request, CALL_S) for peer in self._peers.values()]
            head = await group.spawn(self._archive_head)
        answers = [recovery_messages.decode(task.result) for task in asked if task.result is not None]
        return _Others([answer for answer in answers if isinstance(answer, RevisionAnswer)], head.result)

    async def _archive_head(self) -> ArchiveHead | None:
        return await copies.archive_head(self._archive, CALL_S) if self._archive is not None else None

    # Watching

    async def run(self) -> None:
        """Ends when this controller has to begin anew in another history."""
        while not self.closed:
            await curio.sleep(LOOK_S)
            if self._suspicious:
                await self._judge_suspicions()
        log.warning("state service data lost reason=%s", self._guard.reason)
        self._advance(ServicePhase.CLOSED)
        self._store.set_shares(REBUILD_SHARE, REBUILD_SHARE)
        reached = True  # only to log an outage once
        while not self._moved:
            try:
                await self._look_while_closed()
                reached = True
            except StoreUnavailableError as err:
                log.log(logging.INFO if reached else logging.DEBUG, "rebuild waits for the state service error=%s", err)
                reached = False
            if not self._moved:
                await curio.sleep(LOOK_S)

    async def _look_while_closed(self) -> None:
        """Moves on if another history is open; rebuilds if nobody does."""
        await self._claim.read()
        item = await self._store.get(CURRENT)
        current = decode_history(item.value) if item is not None else None
        if current is not None and current.name != self._guard.record.name:
            marker = await self._store.get(OPEN + current.name)
            if marker is not None and (self._lost is None or current.number > self._lost.number):
                self._advance(ServicePhase.MOVED)
                return
        name = os.urandom(6).hex()
        if await self._claim.take(name):
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
            history = await Rebuilding(self._context, self._claim, name, self._lost).run()
        except (ClaimLostError, RebuildRefusedError, StoreUnavailableError) as err:
            log.warning("rebuild abandoned history=%s error=%s", name, err)
            self._advance(ServicePhase.CLOSED)
            await curio.sleep(REFUSED_PAUSE_S if isinstance(err, RebuildRefusedError) else LOOK_S)
            return
        log.warning("history opened number=%d history=%s", history.number, history.name)
        self._advance(ServicePhase.MOVED)

    def _own_source(self) -> Source | None:
        if self._lost is None or not self._replica.loaded:
            return None
        return copies.memory_source(self._node, self._replica.state, self._replica.loaded_revision)

    # Requests

    def observe(self, heartbeat: wire.Heartbeat) -> None:
        """Workers that show a later epoch than their partition has on record have seen a history that is gone."""
        part = self._replica.state.partitions.get(heartbeat.zone)
        shown = heartbeat.fencing_token >> TOKEN_BITS
        if part is not None and shown > part.epoch and len(self._suspicious) < SUSPICIOUS_KEPT:
            self._suspicious[heartbeat.machine] = _Suspicion(heartbeat.zone, shown)

    async def _judge_suspicions(self) -> None:
        """A copy that was merely late shows the epochs after the next read. A single worker may be out of order."""
        suspicious, self._suspicious = self._suspicious, {}
        if len(suspicious) < SUSPICIOUS_LEAST or not await self._replica.sync():
            return
        parts = self._replica.state.partitions
        unexplained = [s for s in suspicious.values() if s.zone in parts and s.epoch > parts[s.zone].epoch]
        if len(unexplained) >= SUSPICIOUS_LEAST:
            self._guard.lose(f"{len(unexplained)} workers show epochs that are not on record")

    async def on_heartbeat(self, heartbeat: wire.Heartbeat) -> Response:
        """Answers a heartbeat while the history is closed."""
        if self.collector.epoch:
            return self.collector.on_heartbeat(heartbeat)
        self.collector.on_heartbeat(heartbeat)  # for the epoch that it shows
        return await self._owner.on_heartbeat(heartbeat, time.monotonic())

    def on_frame(self, frame: bytes) -> bytes | None:
        """Answers a peer; None if the frame is nothing of recovery's."""
        message = recovery_messages.decode(frame)
        if isinstance(message, RevisionRequest):
            record = self._guard.record
            return recovery_messages.encode(RevisionAnswer(self._node, record.name, record.number, self._guard.highest))
        if isinstance(message, EvidenceRequest):
            return recovery_messages.encode(self._evidence_page(message))
        if isinstance(message, HeartbeatsRequest):
            heartbeats, position = self.collector.page(message.epoch, message.after)
            return recovery_messages.encode(HeartbeatsPage(heartbeats, position, self.collector.highest_epoch))
        return None

    def _evidence_page(self, request: EvidenceRequest) -> EvidencePage:
        """A copy that may still change is no evidence yet: its history's marker is looked at before the next read."""
        replica, record = self._replica, self._guard.record
        page = EvidencePage(
            self._node,
            self._process_incarnation,
            record.name,
            self.closed,
            replica.loaded,
            replica.loaded_revision,
            replica.state.revision,
            [],
            0,
        )
        if not self.closed:
            self._guard.verified_at = float("-inf")
            return page
        if self._stored is None:
            self._stored = copies.stored_records(replica.state)
        page.records, page.position = copies.page_of(self._stored, request.position)
        return page
