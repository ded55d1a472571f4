"""Answers recovery requests of peer controllers."""

from __future__ import annotations

from spurarch.protocol import recovery_messages
from spurarch.protocol.recovery_messages import (
    EvidencePage,
    EvidenceRequest,
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
    """Serves the newest revision seen, this controller's copy of the records, and the collected heartbeats."""

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
        self._stored_records: list[StoredRecord] | None = None  # of the copy, set when it can't change any more

    def on_frame(self, frame: bytes) -> bytes | None:
        """Answers a peer's recovery message; returns None for any other message."""
        message = recovery_messages.decode(frame)
        if isinstance(message, RevisionRequest):
            record = self._guard.record
            return recovery_messages.encode(
                RevisionAnswer(self._node, record.name, record.number, self._guard.highest_revision)
            )
        if isinstance(message, EvidenceRequest):
            return recovery_messages.encode(self._evidence_page(message))
        if isinstance(message, HeartbeatsRequest):
            return recovery_messages.encode(self._collector.page(message.epoch, message.after))
        return None

    def _evidence_page(self, request: EvidenceRequest) -> EvidencePage:
        """Returns a page of this controller's copy, whichever history the request names.

        Until this controller has detected the loss, its copy still changes, so the page has no records. Its next read
        then verifies the history's marker, so that the loss is detected soon.
        """
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
            self._guard.verified_at = float("-inf")  # so that the next read first verifies the history's marker
            return page
        if self._stored_records is None:
            self._stored_records = copies.stored_records(replica.state)
        stored = copies.page_of(self._stored_records, request.position)
        page.records, page.position = stored.records, stored.position
        return page
