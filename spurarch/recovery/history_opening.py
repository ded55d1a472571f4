"""Finds the history of records that is in force when a controller starts, or a sign that it was lost."""

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
from spurarch.transport.network import Calls, Requests

log = logging.getLogger(__name__)

RETRY_S = 0.25
OTHER_INSTALLATION_PAUSE_S = 3.0
CALL_S = 0.5


@dataclass(frozen=True, slots=True)
class _SeenElsewhere:
    """What other controllers and the archive have seen of histories."""

    answers: list[RevisionAnswer]
    head: ArchiveHead | None

    def newest_revision(self, history: str) -> int:
        """The newest revision of a history that anybody has seen; 0 if nobody knows it."""
        seen = [answer.revision for answer in self.answers if answer.history == history]
        if self.head is not None and self.head.history is not None and self.head.history.name == history:
            seen.append(self.head.revision)
        return max(seen, default=0)


class HistoryOpening:
    """Opens the guard of a controller that starts, or tells it that records were lost.

    `store` has no guard. `installation` is the operators' name for the owner of the records.
    """

    def __init__(
        self,
        node: str,
        installation: str,
        guard: HistoryGuard,
        store: Store,
        peers: dict[str, Calls],
        archive: Requests | None,
    ) -> None:
        self._node, self._installation = node, installation
        self._guard, self._store = guard, store
        self._peers, self._archive = peers, archive

    async def run(self) -> bool:
        """Waits until the history is known; False if there is a sign of loss."""
        logged = False
        while self._guard.phase is HistoryPhase.UNKNOWN:
            try:
                await self._check_store()
            except StoreUnavailableError as err:
                log.info("start waits for the state service error=%s", err)
            if self._guard.phase is HistoryPhase.UNKNOWN:
                if not logged:
                    log.info("no history yet, a new installation needs `spurarch recovery init`")
                    logged = True
                await curio.sleep(RETRY_S)
        return self._guard.is_open

    async def _check_store(self) -> None:
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
            await curio.sleep(OTHER_INSTALLATION_PAUSE_S)
            return
        marker = await self._store.get(OPEN + history.name)
        if marker is None:
            self._report_loss(history, f"history {history.name} was sealed")
            return
        newest = (await self._ask_others()).newest_revision(history.name)
        page = await self._store.page(CURRENT, None)  # read later, so its revision is no lower, unless data was lost
        if newest > page.revision:
            self._report_loss(history, f"revision {page.revision}, where {newest} was seen")
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
            self._report_loss(archived, f"no history, the archive has {archived.name}")
            return
        for answer in others.answers:
            if answer.history:
                lost = HistoryRecord(answer.history, answer.number)
                self._report_loss(lost, f"no history, {answer.node} has seen {answer.history}")
                return

    def _report_loss(self, history: HistoryRecord, reason: str) -> None:
        """A history is lost that this process never worked in."""
        if self._guard.lose(reason):
            self._guard.record = history

    async def _ask_others(self) -> _SeenElsewhere:
        """Asks all other controllers and the archive at once, with a short timeout.

        Workers are not answered meanwhile, and their leases go on running.
        """
        request = recovery_messages.encode(RevisionRequest(self._node))
        async with curio.TaskGroup() as group:
            asked = [await group.spawn(peer.call, request, CALL_S) for peer in self._peers.values()]
            head = await group.spawn(self._archive_head)
        answers = [recovery_messages.decode(task.result) for task in asked if task.result is not None]
        return _SeenElsewhere([answer for answer in answers if isinstance(answer, RevisionAnswer)], head.result)

    async def _archive_head(self) -> ArchiveHead | None:
        return await copies.archive_head(self._archive, CALL_S) if self._archive is not None else None
