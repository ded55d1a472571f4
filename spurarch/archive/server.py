"""Serves the archived records to controllers that rebuild the records of the state service."""

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
    """Serves the newest state, also after its history was sealed, and older histories from disk.

    `newest_state` returns the newest state, `read_history` the newest state of the named history; None if there is
    none.
    """

    def __init__(
        self, newest_state: Callable[[], ArchivedState | None], read_history: Callable[[str], ArchivedState | None]
    ) -> None:
        self._newest_state, self._read_history = newest_state, read_history
        self._served_records: list[StoredRecord] = []
        self._served_state: ArchivedState | None = None  # revision of `_served_records`; holds no records

    async def handle(self, request: Request) -> Response:
        """Handles an HTTP request."""
        url = urlsplit(request.target)
        if request.method != "GET":
            return _error_response(405, "use GET")
        state = self._newest_state()
        if url.path == PATH_HEAD:
            head = _head(state) if state is not None else ArchiveHead(None, 0, 0)
            return Response(200, msgspec.json.encode(head))
        if url.path == PATH_RECORDS:
            return self._records(state, {name: values[0] for name, values in parse_qs(url.query).items()})
        return _error_response(404, "no such path")

    def _records(self, newest: ArchivedState | None, query: dict[str, str]) -> Response:
        history, position = query.get("history", ""), query.get("position", "0")
        if not position.isdigit():
            return _error_response(400, "position: a count is expected")
        if newest is not None and newest.history == history:
            self._list_records(newest)
        elif self._served_state is None or self._served_state.history != history:
            older = self._read_history(history)
            if older is None:
                return _error_response(404, "history: not archived here")
            self._list_records(older)
        assert self._served_state is not None
        page = page_of(self._served_records, int(position))
        return Response(
            200, msgspec.msgpack.encode(ArchivePage(self._served_state.revision, page.records, page.position))
        )

    def _list_records(self, state: ArchivedState) -> None:
        """Lists the records of a state once, so that all its pages are consistent."""
        served = self._served_state
        if served is None or (state.history, state.revision) != (served.history, served.revision):
            self._served_records = [
                StoredRecord(key, e.revision, e.value or b"") for key, e in sorted(state.records.items())
            ]
            self._served_state = ArchivedState(state.history, state.history_number, state.revision)


def history_record(state: ArchivedState) -> HistoryRecord:
    """Returns the history record of a state; one with only name and number if the state contains none."""
    current = state.records.get(CURRENT)
    if current is None or current.value is None:
        return HistoryRecord(state.history, state.history_number)
    return decode_history(current.value)


def _head(state: ArchivedState) -> ArchiveHead:
    return ArchiveHead(history_record(state), state.revision, len(state.records))


def _error_response(status: int, message: str) -> Response:
    return Response(status, wire.encode(wire.ErrorBody(message)))
