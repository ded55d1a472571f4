"""The third step of a rebuild: collects workers' heartbeats, which show the attempts that still run."""

from __future__ import annotations

import logging
import time

import curio

from spurarch.protocol import recovery_messages, wire
from spurarch.protocol.recovery_messages import HeartbeatsPage, HeartbeatsRequest
from spurarch.recovery.copy_gathering import GatheredCopies
from spurarch.recovery.evidence import Evidence, SourceKind, highest_epoch, machines_on_record
from spurarch.recovery.rebuild_progress import (
    CALL_TIMEOUT_S,
    RETRY_INTERVAL_S,
    RebuildContext,
    RebuildProgress,
    RebuildRefusedError,
)
from spurarch.storage.cloud import CloudError
from spurarch.storage.history import MARKER_VALID_S, HistoryRecord
from spurarch.transport.network import PeerClient

log = logging.getLogger(__name__)

# A reader verifies the history's marker after `MARKER_VALID_S` without a read. The lost history stays sealed longer, so
# no unverified gap reaches into the new history, where a higher revision would hide the loss.
MIN_SEALED_S = MARKER_VALID_S + 1.0
HEARTBEAT_INTERVALS_WAITED = 3.0  # if every controller gave its copy; more heartbeats then only add details
TIMEOUT_MARGIN_S = 1.0


class WorkerSurvey:
    """Collects the heartbeats with the rebuild's fencing token from all controllers.

    An attempt is recorded before it is started. If every controller gave its copy, each running attempt is in a copy,
    and a silent worker is waited for only for a few heartbeat intervals. Otherwise a silent worker possibly runs
    attempts that were only in the copy of a stopped controller. The worker's lease expires at most `cancel_s` after the
    history was sealed, because a controller without access to current records stops answering heartbeats early enough.
    """

    def __init__(self, context: RebuildContext, progress: RebuildProgress) -> None:
        self._context, self._progress = context, progress
        self._positions: dict[str, int] = {}  # by controller, the position after the heartbeats read from it

    async def collect(self, lost_history: HistoryRecord, copies: GatheredCopies) -> Evidence:
        """Returns the copies with the workers' newest heartbeats.

        Raises `RebuildRefusedError` if a copy has the rebuild's epoch or a later one, or if a worker reported a later
        one; `ClaimLostError` or `StoreUnavailableError`.
        """
        self._refuse_later_epoch(copies)
        evidence = Evidence(
            copies.sources,
            {},
            copies.has_all_copies,
            lost_history.jobs_may_be_missing,
            lost_history.responses_await_archive,
        )
        replicas = [source for source in copies.sources if source.kind is SourceKind.REPLICA]
        awaited_machines = machines_on_record(replicas if copies.has_all_copies else copies.sources)
        cloud_listed = copies.has_all_copies  # otherwise the cloud may list machines that no copy has
        sealed_at = self._progress.sealed_at
        end_at = sealed_at + self._timeout_s(copies.has_all_copies)
        list_at = sealed_at + 2 * self._context.deployment.cloud.list_lag_s
        while time.monotonic() < end_at:
            await self._collect_heartbeats(evidence)
            now = time.monotonic()
            if not cloud_listed and now >= list_at:
                cloud_listed = await self._add_cloud_machines(awaited_machines)
            if cloud_listed and now - sealed_at >= MIN_SEALED_S and awaited_machines <= set(evidence.heartbeats):
                break
            await self._progress.renew_claim_if_due()
            await curio.sleep(RETRY_INTERVAL_S)
        await self._collect_heartbeats(evidence)
        return evidence

    def _timeout_s(self, has_all_copies: bool) -> float:
        workers = self._context.deployment.workers
        if has_all_copies:
            return MIN_SEALED_S + HEARTBEAT_INTERVALS_WAITED * workers.heartbeat_interval_s
        return workers.cancel_s * wire.MAX_CLOCK_RATE_RATIO + TIMEOUT_MARGIN_S

    def _refuse_later_epoch(self, copies: GatheredCopies) -> None:
        collector, epoch = self._context.collector, highest_epoch(copies.sources)
        if epoch >= self._progress.epoch:
            collector.highest_epoch = max(collector.highest_epoch, epoch)
            raise RebuildRefusedError(
                "a copy has the rebuild's partition epoch or a later one; the next rebuild chooses a higher one"
            )

    async def _collect_heartbeats(self, evidence: Evidence) -> None:
        """Adds the heartbeats that all controllers have received so far.

        Raises `RebuildRefusedError` if a worker reported a later epoch than the rebuild's.
        """
        collector, own_node, epoch = self._context.collector, self._context.node, self._progress.epoch
        while self._add_page(evidence, own_node, collector.page(epoch, self._positions.get(own_node, 0))):
            await curio.sleep(0)
        reported_epoch = collector.highest_epoch
        for node, peer in self._context.peers.items():
            reported_epoch = max(reported_epoch, await self._collect_from_peer(node, peer, evidence))
        if reported_epoch > epoch:
            raise RebuildRefusedError(
                f"a worker reported partition epoch {reported_epoch}; the next rebuild chooses a higher one"
            )

    async def _collect_from_peer(self, node: str, peer: PeerClient, evidence: Evidence) -> int:
        """Adds all heartbeats that a peer has received so far.

        Returns the highest other epoch that the peer has seen (see `HeartbeatsPage`); 0 if it does not answer.
        """
        while True:
            await self._progress.renew_claim_if_due()
            request = HeartbeatsRequest(self._context.node, self._progress.epoch, self._positions.get(node, 0))
            answer = await peer.call(recovery_messages.encode(request), CALL_TIMEOUT_S)
            page = recovery_messages.decode(answer) if answer is not None else None
            if not isinstance(page, HeartbeatsPage):
                return 0
            if not self._add_page(evidence, node, page):
                return page.highest_epoch

    def _add_page(self, evidence: Evidence, node: str, page: HeartbeatsPage) -> bool:
        """Adds a page of heartbeats; returns False if it was empty."""
        for heartbeat in page.heartbeats:
            evidence.add_heartbeat(heartbeat)
        self._positions[node] = page.position
        return bool(page.heartbeats)

    async def _add_cloud_machines(self, awaited_machines: set[str]) -> bool:
        """Adds the cloud's machines, some of which were possibly only in the copy of a stopped controller.

        Returns False if the cloud did not list its machines.
        """
        try:
            machines = await self._context.cloud.machines()
        except CloudError as err:
            log.info("cloud machine list failed during rebuild error=%s", err)
            return False
        awaited_machines.update(machine.id for machine in machines if machine.state != wire.FAILED)
        return True
