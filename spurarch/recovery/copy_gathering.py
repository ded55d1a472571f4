"""The second step of a rebuild: copies of the lost history from all who have one."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass, field

import curio

from spurarch.protocol import recovery_messages
from spurarch.recovery import copies
from spurarch.recovery.evidence import Source, SourceKind
from spurarch.recovery.rebuild_progress import CALL_S, PAUSE_S, RebuildContext, RebuildProgress, RebuildRefusedError
from spurarch.storage import records
from spurarch.storage.history import HistoryRecord
from spurarch.storage.records import MemberRecord

log = logging.getLogger(__name__)

PEERS_TIMEOUT_S = 8.0  # for a peer that does not answer, or has not noticed the loss
ARCHIVE_TIMEOUT_S = 30.0  # for an archive, where not every controller gave its copy


@dataclass(slots=True)
class GatheredCopies:
    """Copies of the lost history. `complete` says that every controller gave one."""

    sources: list[Source] = field(default_factory=list)
    complete: bool = False


@dataclass(slots=True)
class _PeerCopies:
    """What the peers answered: their copies, and the controllers whose version takes part in recovery."""

    sources: list[Source]
    given_by: set[str]
    taking_part: set[str]


class CopyGathering:
    """Asks this controller, its peers, the archive and the state service for what they hold of a lost history."""

    def __init__(self, context: RebuildContext, progress: RebuildProgress) -> None:
        self._context, self._progress = context, progress

    async def gather(self, lost: HistoryRecord) -> GatheredCopies:
        """Returns all copies of the lost history; raises `RebuildRefusedError` if there is none."""
        context, gathered = self._context, GatheredCopies()
        own = context.own_copy()
        if own is not None:
            gathered.sources.append(own)
        peers = await self._ask_peers(lost.name)
        gathered.sources += peers.sources
        gathered.complete = own is not None and peers.given_by == set(context.peers)
        archived = await self._archived_copy(lost, gathered.complete)
        if archived is not None:
            gathered.sources.append(archived)
        remains = await copies.remaining_source(context.store, lost)
        if remains.alive or remains.finals:
            gathered.sources.append(remains)
        if not gathered.sources:
            raise RebuildRefusedError("no copy of the records is left: neither a controller's nor an archive")
        await self._refuse_outdated_members(peers.taking_part)
        return gathered

    async def _ask_peers(self, history: str) -> _PeerCopies:
        """Waits for every peer's copy for a while, since nobody else may know what a peer has confirmed."""
        context, waiting = self._context, dict(self._context.peers)
        sources: list[Source] = []
        given_by: set[str] = set()
        deadline = time.monotonic() + PEERS_TIMEOUT_S
        while waiting and time.monotonic() < deadline:
            for node, peer in list(waiting.items()):
                try:
                    copy = await copies.peer_copy(node, peer, context.node, history)
                except copies.PeerOutdatedError:
                    raise _outdated(node) from None
                if copy.final:
                    del waiting[node]
                if copy.source is not None:
                    given_by.add(node)
                    sources.append(copy.source)
                await self._progress.renew_claim_if_due()
            await curio.sleep(PAUSE_S)
        return _PeerCopies(sources, given_by, {context.node, *context.peers} - set(waiting))

    async def _archived_copy(self, lost: HistoryRecord, complete: bool) -> Source | None:
        """The archive of the lost history or, if it was lost before it was archived, that of its parent."""
        if self._context.archive is None:
            return None
        deadline = time.monotonic() + (PEERS_TIMEOUT_S if complete else ARCHIVE_TIMEOUT_S)
        while time.monotonic() < deadline:
            source = await copies.archive_source(self._context.archive, lost.name)
            if source is not None:
                return source
            await self._progress.renew_claim_if_due()
            await curio.sleep(PAUSE_S)
        log.warning("archive unavailable for rebuild history=%s", lost.name)
        if not lost.parent:
            return None
        # The parent's archive has the final states of the jobs that were terminal before the lost history began.
        return await copies.archive_source(self._context.archive, lost.parent, SourceKind.ANCESTOR)

    async def _refuse_outdated_members(self, taking_part: set[str]) -> None:
        """Refuses while a version without recovery runs: it would join the empty state service, and lead."""
        page = await self._context.store.page(records.MEMBER, None)
        for item in page.items:
            member = records.decode(item.key, item.value)
            if (
                isinstance(member, MemberRecord)
                and member.node not in taking_part
                and await self._is_outdated(member.node)
            ):
                raise _outdated(member.node)

    async def _is_outdated(self, node: str) -> bool:
        peer = self._context.peers.get(node)
        if peer is None:
            return True
        request = recovery_messages.encode(recovery_messages.RevisionRequest(self._context.node))
        answer = await peer.call(request, CALL_S)
        return answer is None or recovery_messages.decode(answer) is None


def _outdated(node: str) -> RebuildRefusedError:
    return RebuildRefusedError(f"controller {node} runs a version that knows no recovery")
