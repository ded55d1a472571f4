"""Serves the archive's newest point to whoever rebuilds the records."""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec

from spurarch.archive.directory import Point
from spurarch.protocol import wire
from spurarch.protocol.recovery_messages import StoredRecord
from spurarch.recovery.copies import PATH_HEAD, PATH_RECORDS, ArchiveHead, ArchivePage, page_of
from spurarch.storage.history import CURRENT, HistoryRecord, decode_history
from spurarch.transport.http import Request, Response


class ArchiveServer:
    """Answers for the newest point, also after its history is over, and for earlier histories from disk."""

    def __init__(self, newest: Callable[[], Point | None], earlier: Callable[[str], Point | None]) -> None:
        self._newest, self._earlier = newest, earlier
        self._stored: list[StoredRecord] = []
        self._kept: Point | None = None  # what `_stored` holds, without the records

    async def handle(self, request: Request) -> Response:
        """Answers a request."""
        url = urlsplit(request.target)
        if request.method != "GET":
            return _error(405, "use GET")
        point = self._newest()
        if url.path == PATH_HEAD:
            head = _head(point) if point is not None else ArchiveHead(None, 0, 0)
            return Response(200, msgspec.json.encode(head))
        if url.path == PATH_RECORDS:
            return self._records(point, {name: values[0] for name, values in parse_qs(url.query).items()})
        return _error(404, "no such path")

    def _records(self, newest: Point | None, query: dict[str, str]) -> Response:
        history, position = query.get("history", ""), query.get("position", "0")
        if not position.isdigit():
            return _error(400, "position: a count is expected")
        if newest is not None and newest.history == history:
            self._keep(newest)
        elif self._kept is None or self._kept.history != history:
            earlier = self._earlier(history)
            if earlier is None:
                return _error(404, "history: not archived here")
            self._keep(earlier)
        assert self._kept is not None
        records, following = page_of(self._stored, int(position))
        return Response(200, msgspec.msgpack.encode(ArchivePage(self._kept.revision, records, following)))

    def _keep(self, point: Point) -> None:
        """Pages of one point belong together: they are cut from one list."""
        kept = point.history, point.revision
        if self._kept is None or kept != (self._kept.history, self._kept.revision):
            self._stored = [StoredRecord(key, e.revision, e.value or b"") for key, e in sorted(point.records.items())]
            self._kept = Point(point.history, point.number, point.revision)


def history_of(point: Point) -> HistoryRecord:
    """The record of the history whose records these are."""
    current = point.records.get(CURRENT)
    if current is None or current.value is None:
        return HistoryRecord(point.history, point.number)
    return decode_history(current.value)


def _head(point: Point) -> ArchiveHead:
    return ArchiveHead(history_of(point), point.revision, len(point.records))


def _error(status: int, message: str) -> Response:
    return Response(status, wire.encode(wire.ErrorBody(message)))
