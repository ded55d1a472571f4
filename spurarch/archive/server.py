"""Serves the archived records to controllers that rebuild them."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec

from spurarch.archive.state import ArchivedState
from spurarch.protocol import wire
from spurarch.protocol.recovery_messages import StoredRecord
from spurarch.recovery.copies import PATH_HEAD, PATH_RECORDS, ArchiveHead, ArchivePage, page_of
from spurarch.storage.history import CURRENT, HistoryRecord, decode_history
from spurarch.transport.http import Request, Response


class ArchiveServer:
    """Serves the newest state, also after its history was sealed, and earlier histories from disk.

    `newest` returns the newest state, `earlier` that of a history by its name.
    """

    def __init__(
        self, newest: Callable[[], ArchivedState | None], earlier: Callable[[str], ArchivedState | None]
    ) -> None:
        self._newest, self._earlier = newest, earlier
        self._stored: list[StoredRecord] = []
        self._served: ArchivedState | None = None  # what `_stored` holds, without the records

    async def handle(self, request: Request) -> Response:
        """Answers an HTTP request."""
        url = urlsplit(request.target)
        if request.method != "GET":
            return _error(405, "use GET")
        state = self._newest()
        if url.path == PATH_HEAD:
            head = _head(state) if state is not None else ArchiveHead(None, 0, 0)
            return Response(200, msgspec.json.encode(head))
        if url.path == PATH_RECORDS:
            return self._records(state, {name: values[0] for name, values in parse_qs(url.query).items()})
        return _error(404, "no such path")

    def _records(self, newest: ArchivedState | None, query: dict[str, str]) -> Response:
        history, position = query.get("history", ""), query.get("position", "0")
        if not position.isdigit():
            return _error(400, "position: a count is expected")
        if newest is not None and newest.history == history:
            self._prepare(newest)
        elif self._served is None or self._served.history != history:
            earlier = self._earlier(history)
            if earlier is None:
                return _error(404, "history: not archived here")
            self._prepare(earlier)
        assert self._served is not None
        page = page_of(self._stored, int(position))
        return Response(200, msgspec.msgpack.encode(ArchivePage(self._served.revision, page.records, page.position)))

    def _prepare(self, state: ArchivedState) -> None:
        """Lists the records of a state, so that all its pages are cut from one list."""
        served = self._served
        if served is None or (state.history, state.revision) != (served.history, served.revision):
            self._stored = [StoredRecord(key, e.revision, e.value or b"") for key, e in sorted(state.records.items())]
            self._served = ArchivedState(state.history, state.number, state.revision)


def history_of(state: ArchivedState) -> HistoryRecord:
    """The record of the history that a state is of."""
    current = state.records.get(CURRENT)
    if current is None or current.value is None:
        return HistoryRecord(state.history, state.number)
    return decode_history(current.value)


def _head(state: ArchivedState) -> ArchiveHead:
    return ArchiveHead(history_of(state), state.revision, len(state.records))


def _error(status: int, message: str) -> Response:
    return Response(status, wire.encode(wire.ErrorBody(message)))
