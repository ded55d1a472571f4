"""HTTP/1.1 over curio sockets: one server loop and one pooled client."""

from __future__ import annotations

import logging
import time

import curio

from spurarch.errors import SpurarchError
from spurarch.transport import sockets
from spurarch.transport.http_messages import (
    CONTINUE,
    Handler,
    MessageError,
    Request,
    RequestParser,
    Response,
    ResponseParser,
    error_response,
    render_request,
    render_response,
)

__all__ = ["Handler", "HttpClient", "HttpServer", "NoAnswerError", "Request", "Response"]

log = logging.getLogger(__name__)

READ_SIZE = 16384
ANSWER_READ_SIZE = 65536  # the state service's answers may be long
IDLE_SERVER_S = 120.0
SLOW_REQUEST_S = 10.0
FIRST_REQUEST_S = 2.0  # after this, a connection without a request gives way to a new one
SWEEP_S = 1.0


class NoAnswerError(SpurarchError):
    """No usable answer came to a request. `sent` is false only if the request certainly never left this process."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class _ServerLink:
    """One connection of the server, and until when its client may take to send more."""

    __slots__ = ("began", "idle", "parser", "read_by", "served", "sock", "task")

    def __init__(self, sock: curio.io.Socket, task: curio.Task) -> None:
        self.sock, self.task = sock, task
        self.parser = RequestParser()
        self.began = time.monotonic()
        self.served = False  # a request has come
        self.idle = False  # it has been answered, and nothing more has come
        self.read_by = float("inf")

    def in_vain(self, now: float) -> bool:
        """The client connected a while ago and has sent nothing yet."""
        return not self.served and not self.parser.started and now - self.began > FIRST_REQUEST_S


class HttpServer:
    """Serves one address.

    With more clients than connections, the one that has been idle for longest gives way to a new one, so that none is
    shut out: a fleet may have more workers than a controller has sockets.
    """

    def __init__(self, address: str, handler: Handler, max_connections: int) -> None:
        self._address = sockets.split_address(address)
        self._handler = handler
        self._max = max_connections
        self._links: dict[_ServerLink, None] = {}  # in the order of their latest requests

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        await curio.spawn(self._end_slow, daemon=True)
        await sockets.serve(self._address, self._converse, self._max, self._end_idlest)

    async def _end_idlest(self) -> None:
        """Ends a connection without a request first, so that a flood of those costs workers as little as may be."""
        now = time.monotonic()
        silent = (link for link in self._links if link.in_vain(now))
        idle = (link for link in self._links if link.idle)
        link = next(silent, None) or next(idle, None)
        if link is not None:
            await link.task.cancel()

    async def _end_slow(self) -> None:
        """Ends connections whose clients are late. One timer for all: a limit on each wait costs more than the wait."""
        while True:
            await curio.sleep(SWEEP_S)
            now = time.monotonic()
            for link in [link for link in self._links if link.read_by < now]:
                await link.task.cancel(blocking=False)

    async def _converse(self, sock: curio.io.Socket) -> None:
        link = _ServerLink(sock, await curio.current_task())
        self._links[link] = None
        try:
            while (request := await self._read(link)) is not None:
                response = await self._handle(request)
                await sock.sendall(render_response(response, link.parser.closing, request.method == "HEAD"))
                if link.parser.closing:
                    return
                link.idle = True
                self._links[link] = self._links.pop(link)
        except MessageError as err:
            await sock.sendall(render_response(err.response, close=True))
        finally:
            del self._links[link]

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except curio.CancelledError:
            raise
        except Exception:  # an unexpected error must not end the controller
            log.exception("request failed method=%s target=%s", request.method, request.target)
            return error_response(500, "internal error")

    async def _read(self, link: _ServerLink) -> Request | None:
        """The next request, or None if the client has closed the connection."""
        parser, sock = link.parser, link.sock
        request = parser.next_request()
        if request is not None:
            link.idle = False
            return request
        link.read_by = time.monotonic() + (IDLE_SERVER_S if link.served else SLOW_REQUEST_S)
        data = await sock.recv(READ_SIZE)
        link.idle = False
        link.read_by = time.monotonic() + SLOW_REQUEST_S
        while data:
            parser.feed(data)
            request = parser.next_request()
            if request is not None:
                link.served = True
                link.read_by = float("inf")
                return request
            if parser.wants_continue():
                await sock.sendall(CONTINUE)
            data = await sock.recv(READ_SIZE)
        if parser.started:
            raise MessageError(400, "incomplete request")
        return None


class _Pooled:
    """One kept connection of a client."""

    __slots__ = ("idle_since", "sock")

    def __init__(self, sock: curio.io.Socket) -> None:
        self.sock = sock
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
        try:
            message = render_request(method, self._host, target, body)
        except ValueError as err:
            raise NoAnswerError(str(err), False) from None
        state = [False]
        try:
            async with curio.timeout_after(timeout_s), self._slots:
                return await self._exchange(message, state)
        except curio.TaskTimeout:
            raise NoAnswerError("timed out", state[0]) from None
        except OSError as err:
            raise NoAnswerError(repr(err), state[0]) from None

    async def aclose(self) -> None:
        """Closes the kept connections, once no request is under way."""
        while self._idle:
            await self._idle.pop().sock.close()

    async def _exchange(self, message: bytes, state: list[bool]) -> tuple[int, bytes]:
        link = await self._take()
        parser = ResponseParser()
        try:
            state[0] = True
            await link.sock.sendall(message)
            while not parser.complete:
                parser.feed(await link.sock.recv(ANSWER_READ_SIZE))
            return parser.status, parser.body
        finally:
            if parser.keep_alive:
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
