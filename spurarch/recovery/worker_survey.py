"""The third step of a rebuild: what runs on the workers, until no attempt can run that nobody knows of."""

from __future__ import annotations

import logging
import time

import curio

from spurarch.protocol import recovery_messages, wire
from spurarch.protocol.recovery_messages import HeartbeatsPage, HeartbeatsRequest
from spurarch.recovery.copy_gathering import GatheredCopies
from spurarch.recovery.evidence import Evidence, SourceKind, highest_epoch, machines_on_record
from spurarch.recovery.rebuild_progress import CALL_S, PAUSE_S, RebuildContext, RebuildProgress, RebuildRefusedError
from spurarch.storage.cloud import CloudError
from spurarch.storage.history import VERIFY_AFTER_S, HistoryRecord
from spurarch.transport.network import Calls

log = logging.getLogger(__name__)

OPEN_AFTER_LEAST_S = VERIFY_AFTER_S + 1.0  # so that no reader's gap can span the old history and a grown new one
HEARTBEATS_WAITED = 3.0  # heartbeat intervals, where waiting can only add knowledge
CLOCK_DRIFT, TIMEOUT_MARGIN_S = 1.001, 1.0


class WorkerSurvey:
    """Collects the heartbeats that show the rebuild's fencing token, from all controllers.

    A task is recorded before it is started. If every controller gave its copy, nothing can run that no copy has, and a
    worker that sends nothing is waited for only briefly. Otherwise it may run what only a controller that has ended
    knew of. The last controller that answered it has stopped so early that its lease expires within `cancel_s`.
    """

    def __init__(self, context: RebuildContext, progress: RebuildProgress) -> None:
        self._context, self._progress = context, progress
        self._positions: dict[str, int] = {}  # by controller, how many of its heartbeats were read

    async def collect(self, lost: HistoryRecord, copies: GatheredCopies) -> Evidence:
        """Returns the copies with the workers' newest heartbeats; raises `RebuildRefusedError` for a later epoch."""
        self._refuse_later_epoch(copies)
        evidence = Evidence(copies.sources, {}, copies.complete, lost.uncertain, lost.archived_answers)
        replicas = [source for source in copies.sources if source.kind is SourceKind.REPLICA]
        needed = machines_on_record(replicas if copies.complete else copies.sources)
        listed = copies.complete  # else the cloud may list machines that no copy has
        sealed_at = self._progress.sealed_at
        end_at = sealed_at + self._timeout_s(copies.complete)
        list_at = sealed_at + 2 * self._context.deployment.cloud.list_lag_s
        while time.monotonic() < end_at:
            await self._collect_heartbeats(evidence)
            now = time.monotonic()
            if not listed and now >= list_at:
                listed = await self._add_listed(needed)
            if listed and now - sealed_at >= OPEN_AFTER_LEAST_S and needed <= set(evidence.heartbeats):
                break
            await self._progress.renew_claim_if_due()
            await curio.sleep(PAUSE_S)
        await self._collect_heartbeats(evidence)
        return evidence

    def _timeout_s(self, complete: bool) -> float:
        workers = self._context.deployment.workers
        if complete:
            return OPEN_AFTER_LEAST_S + HEARTBEATS_WAITED * workers.heartbeat_interval_s
        return workers.cancel_s * CLOCK_DRIFT + TIMEOUT_MARGIN_S

    def _refuse_later_epoch(self, copies: GatheredCopies) -> None:
        collector, epoch = self._context.collector, highest_epoch(copies.sources)
        if epoch >= self._progress.epoch:
            collector.highest_epoch = max(collector.highest_epoch, epoch)
            raise RebuildRefusedError("a copy shows a later epoch: beginning anew above it")

    async def _collect_heartbeats(self, evidence: Evidence) -> None:
        """Adds the heartbeats that all controllers have received by now."""
        collector, own, epoch = self._context.collector, self._context.node, self._progress.epoch
        while self._add_page(evidence, own, *collector.page(epoch, self._positions.get(own, 0))):
            await curio.sleep(0)
        shown = collector.highest_epoch
        for node, peer in self._context.peers.items():
            shown = max(shown, await self._collect_from_peer(node, peer, evidence))
        if shown > epoch:
            raise RebuildRefusedError(f"a worker has shown epoch {shown}: beginning anew above it")

    async def _collect_from_peer(self, node: str, peer: Calls, evidence: Evidence) -> int:
        """Adds all heartbeats that a peer has by now; returns the highest epoch that a worker showed there."""
        while True:
            await self._progress.renew_claim_if_due()
            request = HeartbeatsRequest(self._context.node, self._progress.epoch, self._positions.get(node, 0))
            answer = await peer.call(recovery_messages.encode(request), CALL_S)
            page = recovery_messages.decode(answer) if answer is not None else None
            if not isinstance(page, HeartbeatsPage):
                return 0
            if not self._add_page(evidence, node, page.heartbeats, page.position):
                return page.highest_epoch

    def _add_page(self, evidence: Evidence, node: str, heartbeats: list[wire.Heartbeat], position: int) -> bool:
        """Adds a page of heartbeats; False if it was empty."""
        for heartbeat in heartbeats:
            evidence.add_heartbeat(heartbeat)
        self._positions[node] = position
        return bool(heartbeats)

    async def _add_listed(self, needed: set[str]) -> bool:
        """Adds the cloud's machines, which only a controller that has ended may have known; False if that failed."""
        try:
            machines = await self._context.cloud.machines()
        except CloudError as err:
            log.info("cloud machine list failed during rebuild error=%s", err)
            return False
        needed.update(machine.id for machine in machines if machine.state != wire.FAILED)
        return True
