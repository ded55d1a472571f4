"""HTTP/1.1 over curio sockets: one server loop and one pooled client, both driven by h11."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import lru_cache

import curio
import h11

from spurarch.transport import sockets

log = logging.getLogger(__name__)

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
READ_SIZE = 16384  # no more than a head may hold, so that h11 sees a long one as incomplete
IDLE_SERVER_S = 120.0
SLOW_REQUEST_S = 10.0
HEADS_KEPT = 2000


@dataclass(slots=True)
class Request:
    """A request as the server read it."""

    method: str
    target: str
    body: bytes


@dataclass(slots=True)
class Response:
    """What a handler answers: a JSON body and any extra headers."""

    status: int
    body: bytes = b"{}"
    headers: list[tuple[str, str]] = field(default_factory=list)


Handler = Callable[[Request], Awaitable[Response]]


class NoAnswerError(Exception):
    """No usable answer came. `sent` is false only if the request certainly never left this process."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


def _error(status: int, message: str) -> Response:
    return Response(status, b'{"error":"%s"}' % message.encode())


class HttpServer:
    """Serves one address. Connections over the bound are closed at once, so sockets stay under the limit."""

    def __init__(self, address: str, handler: Handler, max_connections: int) -> None:
        self._address = sockets.split_address(address)
        self._handler = handler
        self._max = max_connections

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        await sockets.serve(self._address, self._converse, self._max)

    async def _converse(self, sock: curio.io.Socket) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        while True:
            try:
                request = await self._read(conn, sock)
            except h11.RemoteProtocolError as err:
                await self._refuse(conn, sock, _error(err.error_status_hint, "malformed request"))
                return
            if request is None:
                return
            if isinstance(request, Response):
                await self._refuse(conn, sock, request)
                return
            try:
                response = await self._handler(request)
            except curio.CancelledError:
                raise
            except Exception:  # an unexpected error must not end the controller
                log.exception("request failed: %s %s", request.method, request.target)
                response = _error(500, "internal error")
            await sock.sendall(_render(conn, response, False))
            if conn.our_state is h11.MUST_CLOSE:
                return
            conn.start_next_cycle()

    async def _read(self, conn: h11.Connection, sock: curio.io.Socket) -> Request | Response | None:
        head: h11.Request | None = None
        parts: list[bytes] = []
        size = 0
        started = time.monotonic()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    await sock.sendall(conn.send(h11.InformationalResponse(status_code=100, headers=[])))
                limit = IDLE_SERVER_S
                if head is not None or conn.trailing_data[0]:
                    limit = max(0.1, started + SLOW_REQUEST_S - time.monotonic())
                data = await curio.timeout_after(limit, sock.recv, READ_SIZE)
                if head is None and not parts:
                    started = time.monotonic()
                conn.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY:
                    return _error(413, "body too large")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return Request(head.method.decode("ascii"), head.target.decode("latin-1"), b"".join(parts))
            else:
                return None

    @staticmethod
    async def _refuse(conn: h11.Connection, sock: curio.io.Socket, response: Response) -> None:
        if conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await sock.sendall(_render(conn, response, True))


@lru_cache(HEADS_KEPT)
def _response_head(status: int, length: int, headers: tuple[tuple[str, str], ...]) -> h11.Response:
    """The head of a response. Most are like one before, and to check the headers costs more than to send them."""
    fixed = [("Content-Type", "application/json"), ("Content-Length", str(length))]
    return h11.Response(status_code=status, headers=[*fixed, *headers])


def _render(conn: h11.Connection, response: Response, close: bool) -> bytes:
    headers = (*response.headers, ("Connection", "close")) if close else tuple(response.headers)
    out = conn.send(_response_head(response.status, len(response.body), headers)) or b""
    out += conn.send(h11.Data(data=response.body)) or b""
    return out + (conn.send(h11.EndOfMessage()) or b"")


class _Pooled:
    """One kept connection of a client."""

    __slots__ = ("conn", "idle_since", "sock")

    def __init__(self, sock: curio.io.Socket) -> None:
        self.sock = sock
        self.conn = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0


class HttpClient:
    """A client of one address with a few kept connections and a limit on every wait."""

    KEEP_S = 20.0

    def __init__(self, address: str, max_connections: int = 8, connect_s: float = 1.0) -> None:
        self._address = sockets.split_address(address)
        self._host = address
        self._connect_s = connect_s
        self._idle: list[_Pooled] = []
        self._slots = curio.Semaphore(max_connections)

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Sends one request and returns status and body, or raises NoAnswerError."""
        state = [False]
        try:
            async with curio.timeout_after(timeout_s), self._slots:
                return await self._exchange(method, target, body, state)
        except curio.TaskTimeout:
            raise NoAnswerError("timed out", state[0]) from None
        except (OSError, h11.ProtocolError) as err:
            raise NoAnswerError(repr(err), state[0]) from None

    async def _exchange(self, method: str, target: str, body: bytes | None, state: list[bool]) -> tuple[int, bytes]:
        link = await self._take()
        keep = False
        try:
            state[0] = True
            await link.sock.sendall(self._encode(link.conn, method, target, body))
            status, answer = await self._answer(link)
            if link.conn.our_state is h11.DONE and link.conn.their_state is h11.DONE:
                link.conn.start_next_cycle()
                keep = True
            return status, answer
        finally:
            if keep:
                link.idle_since = time.monotonic()
                self._idle.append(link)
            else:
                await link.sock.close()

    async def _take(self) -> _Pooled:
        now = time.monotonic()
        while self._idle:
            link = self._idle.pop()
            if now - link.idle_since < self.KEEP_S:
                return link
            await link.sock.close()
        return _Pooled(await sockets.connect(self._address, self._connect_s))

    def _encode(self, conn: h11.Connection, method: str, target: str, body: bytes | None) -> bytes:
        headers = [("Host", self._host)]
        if body is not None:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        out = conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            out += conn.send(h11.Data(data=body)) or b""
        return out + (conn.send(h11.EndOfMessage()) or b"")

    @staticmethod
    async def _answer(link: _Pooled) -> tuple[int, bytes]:
        status, parts = 0, []
        while True:
            event = link.conn.next_event()
            if event is h11.NEED_DATA:
                link.conn.receive_data(await link.sock.recv(READ_SIZE))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b"".join(parts)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before the answer")
