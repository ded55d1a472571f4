"""Reads copies of a lost history from this controller's memory, from peers, the archive and the state service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import msgspec
from msgspec import Struct

from spurarch.errors import SpurarchError
from spurarch.protocol import recovery_messages, wire
from spurarch.protocol.recovery_messages import EvidencePage, EvidenceRequest, StoredRecord
from spurarch.recovery.evidence import Source, SourceKind
from spurarch.storage import records
from spurarch.storage.cluster_state import ClusterState
from spurarch.storage.history import PACKED, HistoryRecord
from spurarch.storage.seeds import SEED
from spurarch.storage.store import Store
from spurarch.transport.http import NoAnswerError
from spurarch.transport.network import PeerClient, RequestClient

MAX_PAGE_RECORDS = 500
MAX_PAGE_BYTES = 400_000
CALL_TIMEOUT_S = 3.0
ARCHIVE_PAGE = 1000


class ArchiveHead(Struct):
    """The newest history of an archive server, with its archived revision and its number of records.

    `history` is None if the server has no history.
    """

    history: HistoryRecord | None
    revision: int
    records: int


class ArchivePage(Struct):
    """A page of the archive's records at one revision; `position` is that of the next page, 0 after the last."""

    revision: int
    records: list[StoredRecord]
    position: int


PATH_HEAD, PATH_RECORDS = "/archive/head", "/archive/records"
_head_decoder = msgspec.json.Decoder(ArchiveHead)
_page_decoder = msgspec.msgpack.Decoder(ArchivePage)


class PeerOutdatedError(SpurarchError):
    """A controller runs a version without recovery; the message is the controller's name."""


def stored_records(state: ClusterState) -> list[StoredRecord]:
    """Encodes all records of a copy in memory, except for member and leader records, for transfer to a controller."""
    out = [
        StoredRecord(key, entry.version, wire.encode(entry.record))
        for key, entry in state.entries.items()
        if not key.startswith((records.MEMBER, records.LEADER))
    ]
    out += [StoredRecord(records.FINAL + job, 0, wire.encode(final)) for job, final in state.finals.items()]
    return out


class RecordsPage(NamedTuple):
    """A page of a copy; `position` is that of the next page, 0 after the last."""

    records: list[StoredRecord]
    position: int


def page_of(stored: list[StoredRecord], position: int) -> RecordsPage:
    """Returns the records from a position on, at most as many as fit into a page."""
    out: list[StoredRecord] = []
    size = 0
    for record in stored[position : position + MAX_PAGE_RECORDS]:
        if out and size + len(record.value) > MAX_PAGE_BYTES:
            break
        out.append(record)
        size += len(record.value)
    next_position = position + len(out)
    return RecordsPage(out, next_position if next_position < len(stored) else 0)


def memory_source(node: str, state: ClusterState, since: int) -> Source:
    """Returns this controller's own copy, which has missed no change after the revision `since`."""
    source = Source(SourceKind.REPLICA, node, since, state.revision)
    for record in stored_records(state):
        source.add(record)
    return source


@dataclass(slots=True)
class PeerCopy:
    """A peer's copy, if it has one.

    `is_final` is False if the peer did not answer completely or may still change its copy. If it is True and `source`
    is None, the peer has no copy of the requested history.
    """

    is_final: bool
    source: Source | None = None


async def peer_copy(node: str, peer: PeerClient, sender: str, history: str) -> PeerCopy:
    """Requests a peer's copy of a history page by page; raises `PeerOutdatedError`."""
    source: Source | None = None
    position = 0
    while True:
        answer = await peer.call(recovery_messages.encode(EvidenceRequest(sender, history, position)), CALL_TIMEOUT_S)
        if answer is None:
            return PeerCopy(False)
        page = recovery_messages.decode(answer)
        if not isinstance(page, EvidencePage):
            raise PeerOutdatedError(node)
        if not page.closed or not page.loaded or page.history != history:
            return PeerCopy(page.closed)
        if source is None:
            source = Source(SourceKind.REPLICA, node, page.since, page.revision)
        for record in page.records:
            source.add(record)
        if not page.position:
            return PeerCopy(True, source)
        position = page.position


async def archive_head(client: RequestClient, timeout_s: float) -> ArchiveHead | None:
    """Returns the newest history of an archive server; None if it gives no usable answer within `timeout_s`."""
    try:
        status, body = await client.request("GET", PATH_HEAD, None, timeout_s)
        return _head_decoder.decode(body) if status == 200 else None
    except (NoAnswerError, msgspec.DecodeError):
        return None


async def archive_source(client: RequestClient, history: str, kind: SourceKind = SourceKind.ARCHIVE) -> Source | None:
    """Reads the archive of a history page by page; returns None if it can't be read completely at one revision."""
    source: Source | None = None
    position = 0
    while True:
        target = f"{PATH_RECORDS}?history={history}&position={position}"
        try:
            status, body = await client.request("GET", target, None, CALL_TIMEOUT_S)
            page = _page_decoder.decode(body) if status == 200 else None
        except (NoAnswerError, msgspec.DecodeError):
            return None
        if page is None or (source is not None and source.revision != page.revision):
            return None
        if source is None:
            source = Source(kind, "archive", 0, page.revision)
        for record in page.records:
            source.add(record)
        if not page.position:
            return source
        position = page.position


async def remaining_source(store: Store, history: HistoryRecord) -> Source:
    """Reads the records of a sealed history that are still in the state service; raises `StoreUnavailableError`."""
    source = Source(SourceKind.STATE_SERVICE, "state service", 0, 0)
    for prefix in (records.LIVE, records.FINAL, PACKED, SEED):
        after: str | None = None
        while True:
            page = await store.page(history.prefix + prefix, after)
            source.revision = max(source.revision, page.revision)
            for item in page.items:
                key = item.key[len(history.prefix) :]
                if not key.startswith((records.MEMBER, records.LEADER)):
                    source.add(StoredRecord(key, item.version, bytes(item.value)))
            if not page.more or not page.items:
                break
            after = page.items[-1].key
    return source
