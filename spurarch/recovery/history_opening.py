"""Finds the current history when a controller starts, or detects that its records were lost."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass

import curio

from spurarch.protocol import recovery_messages
from spurarch.protocol.recovery_messages import RevisionAnswer, RevisionRequest
from spurarch.recovery import copies
from spurarch.recovery.copies import ArchiveHead
from spurarch.storage.errors import StoreUnavailableError
from spurarch.storage.history import CURRENT, OPEN, HistoryGuard, HistoryPhase, HistoryRecord, decode_history
from spurarch.storage.store import Store
from spurarch.transport.network import PeerClient, RequestClient

log = logging.getLogger(__name__)

STORE_RETRY_S = 0.25  # also while there is no history yet
OTHER_INSTALLATION_RETRY_S = 3.0
CALL_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class _ReportedRevisions:
    """The revisions that other controllers and the archive report, with their histories."""

    answers: list[RevisionAnswer]
    head: ArchiveHead | None

    def newest_revision(self, history: str) -> int:
        """Returns the newest revision reported for a history; 0 if none was reported."""
        revisions = [answer.revision for answer in self.answers if answer.history == history]
        if self.head is not None and self.head.history is not None and self.head.history.name == history:
            revisions.append(self.head.revision)
        return max(revisions, default=0)


class HistoryOpening:
    """Opens the history guard of a controller that starts, or marks the history as lost in the guard.

    `store` is a client without a history guard. `installation` is the name that operators gave to the installation
    that owns the records; a state service or an archive of another installation is not used.
    """

    def __init__(
        self,
        node: str,
        installation: str,
        guard: HistoryGuard,
        store: Store,
        peers: dict[str, PeerClient],
        archive: RequestClient | None,
    ) -> None:
        self._node, self._installation = node, installation
        self._guard, self._store = guard, store
        self._peers, self._archive = peers, archive

    async def run(self) -> bool:
        """Waits until the current history is found and opens it in the guard.

        If there is a sign of data loss, marks the history as lost in the guard and returns False.
        """
        init_hint_logged = False
        while self._guard.phase is HistoryPhase.UNKNOWN:
            try:
                await self._check_store()
            except StoreUnavailableError as err:
                log.info("start waits for the state service error=%s", err)
            if self._guard.phase is HistoryPhase.UNKNOWN:
                if not init_hint_logged:
                    log.info("no history yet, a new installation needs `spurarch recovery init`")
                    init_hint_logged = True
                await curio.sleep(STORE_RETRY_S)
        return self._guard.is_open

    async def _check_store(self) -> None:
        item = await self._store.get(CURRENT)
        if item is None:
            await self._check_empty_store()
            return
        history = decode_history(item.value)
        if history.installation != self._installation:
            log.error(
                "state service belongs to another installation installation=%r expected=%r",
                history.installation,
                self._installation,
            )
            await curio.sleep(OTHER_INSTALLATION_RETRY_S)
            return
        marker = await self._store.get(OPEN + history.name)
        if marker is None:
            self._declare_lost(history, f"history {history.name} was sealed")
            return
        newest_reported = (await self._request_revisions()).newest_revision(history.name)
        page = await self._store.page(CURRENT, None)  # read after the reports, so a lower revision shows a data loss
        if newest_reported > page.revision:
            self._declare_lost(history, f"revision {page.revision}, where {newest_reported} was seen")
            return
        self._guard.open(history, marker.version, page.revision, time.monotonic())

    async def _check_empty_store(self) -> None:
        """Reports a loss if the archive or a peer has seen a history, because the state service was then wiped."""
        reported = await self._request_revisions()
        archived = reported.head.history if reported.head is not None else None
        if archived is not None and archived.installation != self._installation:
            log.error(
                "archive belongs to another installation installation=%r expected=%r",
                archived.installation,
                self._installation,
            )
        elif archived is not None:
            self._declare_lost(archived, f"no history, the archive has {archived.name}")
            return
        for answer in reported.answers:
            if answer.history:
                lost = HistoryRecord(answer.history, answer.number)
                self._declare_lost(lost, f"no history, {answer.node} has seen {answer.history}")
                return

    def _declare_lost(self, history: HistoryRecord, reason: str) -> None:
        """Marks a history that this process never worked in as lost, and keeps its record in the guard."""
        if self._guard.mark_lost(reason):
            self._guard.record = history

    async def _request_revisions(self) -> _ReportedRevisions:
        """Queries all other controllers and the archive concurrently.

        The timeout is short because this controller doesn't answer workers yet, so their leases aren't renewed.
        """
        request = recovery_messages.encode(RevisionRequest(self._node))
        async with curio.TaskGroup() as group:
            calls = [await group.spawn(peer.call, request, CALL_TIMEOUT_S) for peer in self._peers.values()]
            head = await group.spawn(self._archive_head)
        answers = [recovery_messages.decode(task.result) for task in calls if task.result is not None]
        return _ReportedRevisions([answer for answer in answers if isinstance(answer, RevisionAnswer)], head.result)

    async def _archive_head(self) -> ArchiveHead | None:
        return await copies.archive_head(self._archive, CALL_TIMEOUT_S) if self._archive is not None else None
