"""Answers other controllers that ask for what this one knows of a history."""

from __future__ import annotations

from spurarch.protocol import recovery_messages
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
from spurarch.recovery.heartbeat_collector import HeartbeatCollector
from spurarch.storage.history import HistoryGuard, HistoryPhase
from spurarch.storage.replica import Replica


class PeerResponder:
    """Serves the newest revision seen, pages of the copy of the records, and pages of collected heartbeats."""

    def __init__(
        self,
        node: str,
        process_incarnation: str,
        guard: HistoryGuard,
        replica: Replica,
        collector: HeartbeatCollector,
    ) -> None:
        self._node, self._process_incarnation = node, process_incarnation
        self._guard, self._replica, self._collector = guard, replica, collector
        self._stored: list[StoredRecord] | None = None  # the copy, once it can't change any more

    def on_frame(self, frame: bytes) -> bytes | None:
        """Answers a peer's message; None if it is no message of recovery."""
        message = recovery_messages.decode(frame)
        if isinstance(message, RevisionRequest):
            record = self._guard.record
            return recovery_messages.encode(RevisionAnswer(self._node, record.name, record.number, self._guard.highest))
        if isinstance(message, EvidenceRequest):
            return recovery_messages.encode(self._evidence_page(message))
        if isinstance(message, HeartbeatsRequest):
            heartbeats, position = self._collector.page(message.epoch, message.after)
            return recovery_messages.encode(HeartbeatsPage(heartbeats, position, self._collector.highest_epoch))
        return None

    def _evidence_page(self, request: EvidenceRequest) -> EvidencePage:
        """A page of the copy; it has no records while the copy may still change."""
        replica, record = self._replica, self._guard.record
        closed = self._guard.phase is HistoryPhase.LOST
        page = EvidencePage(
            self._node,
            self._process_incarnation,
            record.name,
            closed,
            replica.loaded,
            replica.loaded_revision,
            replica.state.revision,
            [],
            0,
        )
        if not closed:
            self._guard.verified_at = float("-inf")  # so that the history's marker is verified before the next read
            return page
        if self._stored is None:
            self._stored = copies.stored_records(replica.state)
        page.records, page.position = copies.page_of(self._stored, request.position)
        return page
