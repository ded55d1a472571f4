"""The second step of a rebuild: gathers all copies of the lost history."""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass, field

import curio

from spurarch.protocol import recovery_messages
from spurarch.recovery import copies
from spurarch.recovery.evidence import Source, SourceKind
from spurarch.recovery.rebuild_progress import (
    CALL_TIMEOUT_S,
    RETRY_INTERVAL_S,
    RebuildContext,
    RebuildProgress,
    RebuildRefusedError,
)
from spurarch.storage import records
from spurarch.storage.history import HistoryRecord
from spurarch.storage.records import MemberRecord

log = logging.getLogger(__name__)

# For peers that don't answer or have not detected the loss, and for the archive if every controller gave its copy.
PEERS_TIMEOUT_S = 8.0
ARCHIVE_TIMEOUT_S = 30.0  # for the archive, if not every controller gave its copy


@dataclass(slots=True)
class GatheredCopies:
    """Copies of the lost history. `has_all_copies` is True if every controller gave one."""

    sources: list[Source] = field(default_factory=list)
    has_all_copies: bool = False


@dataclass(slots=True)
class _PeerCopies:
    """The peers' copies.

    `nodes_with_recovery` are the controllers, with this one, that are confirmed to run a version with recovery.
    """

    sources: list[Source]
    nodes_with_copy: set[str]
    nodes_with_recovery: set[str]


class CopyGathering:
    """Gathers copies of a lost history from this controller, its peers, the archive and the state service."""

    def __init__(self, context: RebuildContext, progress: RebuildProgress) -> None:
        self._context, self._progress = context, progress

    async def gather(self, lost_history: HistoryRecord) -> GatheredCopies:
        """Returns all copies of the lost history.

        Raises `RebuildRefusedError` if there is none or a controller runs a version without recovery,
        `ClaimLostError` or `StoreUnavailableError`.
        """
        context, gathered = self._context, GatheredCopies()
        own_copy = context.own_copy()
        if own_copy is not None:
            gathered.sources.append(own_copy)
        peers = await self._request_peer_copies(lost_history.name)
        gathered.sources += peers.sources
        gathered.has_all_copies = own_copy is not None and peers.nodes_with_copy == set(context.peers)
        archived = await self._archived_copy(lost_history, gathered.has_all_copies)
        if archived is not None:
            gathered.sources.append(archived)
        remains = await copies.remaining_source(context.store, lost_history)
        if remains.live_records or remains.finals:
            gathered.sources.append(remains)
        if not gathered.sources:
            raise RebuildRefusedError(
                "found no copy of the lost records in a controller, the archive or the state service"
            )
        await self._refuse_outdated_members(peers.nodes_with_recovery)
        return gathered

    async def _request_peer_copies(self, history: str) -> _PeerCopies:
        """Requests every peer's copy for up to `PEERS_TIMEOUT_S`.

        A change that a peer has confirmed to a user is possibly in no other copy.
        """
        context, pending_peers = self._context, dict(self._context.peers)
        sources: list[Source] = []
        nodes_with_copy: set[str] = set()
        deadline = time.monotonic() + PEERS_TIMEOUT_S
        while pending_peers and time.monotonic() < deadline:
            for node, peer in list(pending_peers.items()):
                try:
                    copy = await copies.peer_copy(node, peer, context.node, history)
                except copies.PeerOutdatedError:
                    raise _outdated(node) from None
                if copy.is_final:
                    del pending_peers[node]
                if copy.source is not None:
                    nodes_with_copy.add(node)
                    sources.append(copy.source)
                await self._progress.renew_claim_if_due()
            await curio.sleep(RETRY_INTERVAL_S)
        return _PeerCopies(sources, nodes_with_copy, {context.node, *context.peers} - set(pending_peers))

    async def _archived_copy(self, lost_history: HistoryRecord, has_all_copies: bool) -> Source | None:
        """Returns the archived copy of the lost history, or that of its parent if the first can't be read in time.

        A history that was lost soon after it was opened may not have been archived yet. Returns None if no archive is
        configured or neither copy can be read.
        """
        if self._context.archive is None:
            return None
        deadline = time.monotonic() + (PEERS_TIMEOUT_S if has_all_copies else ARCHIVE_TIMEOUT_S)
        while time.monotonic() < deadline:
            source = await copies.archive_source(self._context.archive, lost_history.name)
            if source is not None:
                return source
            await self._progress.renew_claim_if_due()
            await curio.sleep(RETRY_INTERVAL_S)
        log.warning("archive unavailable for rebuild history=%s", lost_history.name)
        if not lost_history.parent:
            return None
        # The parent's archive has the final states of the jobs that were terminal before the lost history was opened.
        return await copies.archive_source(self._context.archive, lost_history.parent, SourceKind.ANCESTOR)

    async def _refuse_outdated_members(self, nodes_with_recovery: set[str]) -> None:
        """Raises `RebuildRefusedError` if a member runs a version without recovery.

        Such a controller would join the empty state service and become leader.
        """
        page = await self._context.store.page(records.MEMBER, None)
        for item in page.items:
            member = records.decode(item.key, item.value)
            if (
                isinstance(member, MemberRecord)
                and member.node not in nodes_with_recovery
                and await self._is_outdated(member.node)
            ):
                raise _outdated(member.node)

    async def _is_outdated(self, node: str) -> bool:
        """Whether a member is no configured peer, does not answer, or does not understand a recovery message."""
        peer = self._context.peers.get(node)
        if peer is None:
            return True
        request = recovery_messages.encode(recovery_messages.RevisionRequest(self._context.node))
        answer = await peer.call(request, CALL_TIMEOUT_S)
        return answer is None or recovery_messages.decode(answer) is None


def _outdated(node: str) -> RebuildRefusedError:
    return RebuildRefusedError(f"controller {node} runs a version that knows no recovery")
