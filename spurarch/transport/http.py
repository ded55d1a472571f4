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
IDLE_CONNECTION_S = 120.0
SLOW_REQUEST_S = 10.0
FIRST_REQUEST_S = 2.0  # after this, a connection without a request gives way to a new one
SWEEP_INTERVAL_S = 1.0
KEEP_ALIVE_S = 20.0  # how long a client keeps an idle connection


class NoAnswerError(SpurarchError):
    """No usable answer came to a request. `sent` is false only if the request certainly never left this process."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        self.sent = sent


class _ServerConnection:
    """One connection of the server, and until when its client may take to send more."""

    __slots__ = ("began", "idle", "parser", "read_by", "served", "sock", "task")

    def __init__(self, sock: curio.io.Socket, task: curio.Task) -> None:
        self.sock, self.task = sock, task
        self.parser = RequestParser()
        self.began = time.monotonic()
        self.served = False  # a request has come
        self.idle = False  # it has been answered, and nothing more has come
        self.read_by = float("inf")

    def is_silent(self, now: float) -> bool:
        """The client connected a while ago and has sent nothing since."""
        return not self.served and not self.parser.started and now - self.began > FIRST_REQUEST_S


class HttpServer:
    """Serves one address.

    With more clients than connections, the one that has been idle for longest gives way to a new one, so that none is
    shut out: a fleet may have more workers than a controller has sockets.
    """

    def __init__(self, address: str, handler: Handler, max_connections: int) -> None:
        self._address = sockets.split_address(address)
        self._handler = handler
        self._max_connections = max_connections
        self._connections: dict[_ServerConnection, None] = {}  # in the order of their latest requests

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        sweeper = await curio.spawn(self._end_slow, daemon=True)
        try:
            await sockets.serve(self._address, self._serve_connection, self._max_connections, self._end_idlest)
        finally:
            await sweeper.cancel()

    async def _end_idlest(self) -> None:
        """Ends one connection; those without a request go first, so that a flood of them costs workers little."""
        now = time.monotonic()
        silent = (connection for connection in self._connections if connection.is_silent(now))
        idle = (connection for connection in self._connections if connection.idle)
        connection = next(silent, None) or next(idle, None)
        if connection is not None:
            await connection.task.cancel()

    async def _end_slow(self) -> None:
        """Ends connections whose clients are late. One timer serves all: a timeout costs more than the wait itself."""
        while True:
            await curio.sleep(SWEEP_INTERVAL_S)
            now = time.monotonic()
            for connection in [connection for connection in self._connections if connection.read_by < now]:
                await connection.task.cancel(blocking=False)

    async def _serve_connection(self, sock: curio.io.Socket) -> None:
        connection = _ServerConnection(sock, await curio.current_task())
        self._connections[connection] = None
        try:
            while (request := await self._read(connection)) is not None:
                response = await self._handle(request)
                await sock.sendall(render_response(response, connection.parser.closing, request.method == "HEAD"))
                if connection.parser.closing:
                    return
                connection.idle = True
                self._connections[connection] = self._connections.pop(connection)
        except MessageError as err:
            await sock.sendall(render_response(err.response, close=True))
        finally:
            del self._connections[connection]

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except curio.CancelledError:
            raise
        except Exception:  # an unexpected error must not end the controller
            log.exception("request failed method=%s target=%s", request.method, request.target)
            return error_response(500, "internal error")

    async def _read(self, connection: _ServerConnection) -> Request | None:
        """The next request, or None if the client has closed the connection."""
        parser, sock = connection.parser, connection.sock
        request = parser.next_request()
        if request is not None:
            connection.idle = False
            return request
        connection.read_by = time.monotonic() + (IDLE_CONNECTION_S if connection.served else SLOW_REQUEST_S)
        data = await sock.recv(READ_SIZE)
        connection.idle = False
        connection.read_by = time.monotonic() + SLOW_REQUEST_S
        while data:
            parser.feed(data)
            request = parser.next_request()
            if request is not None:
                connection.served = True
                connection.read_by = float("inf")
                return request
            if parser.wants_continue():
                await sock.sendall(CONTINUE)
            data = await sock.recv(READ_SIZE)
        if parser.started:
            raise MessageError(400, "incomplete request")
        return None


class _PooledConnection:
    """One kept connection of a client."""

    __slots__ = ("idle_since", "sock")

    def __init__(self, sock: curio.io.Socket) -> None:
        self.sock = sock
        self.idle_since = 0.0


class _RequestProgress:
    """Whether some of a request may have left this process."""

    __slots__ = ("sent",)

    def __init__(self) -> None:
        self.sent = False


class HttpClient:
    """A client of one address with a few kept connections and a limit on every wait."""

    def __init__(self, address: str, max_connections: int = 8, connect_s: float = 1.0) -> None:
        self._address = sockets.split_address(address)
        self._host = address
        self._connect_s = connect_s
        self._idle: list[_PooledConnection] = []
        self._slots = curio.Semaphore(max_connections)

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Sends one request and returns status and body, or raises NoAnswerError."""
        try:
            message = render_request(method, self._host, target, body)
        except ValueError as err:
            raise NoAnswerError(str(err), False) from None
        progress = _RequestProgress()
        try:
            async with curio.timeout_after(timeout_s), self._slots:
                return await self._exchange(message, progress)
        except curio.TaskTimeout:
            raise NoAnswerError("timed out", progress.sent) from None
        except OSError as err:
            raise NoAnswerError(repr(err), progress.sent) from None

    async def aclose(self) -> None:
        """Closes the kept connections, once no request is under way."""
        while self._idle:
            await self._idle.pop().sock.close()

    async def _exchange(self, message: bytes, progress: _RequestProgress) -> tuple[int, bytes]:
        connection = await self._acquire()
        parser = ResponseParser()
        try:
            progress.sent = True
            await connection.sock.sendall(message)
            while not parser.complete:
                parser.feed(await connection.sock.recv(ANSWER_READ_SIZE))
            return parser.status, parser.body
        finally:
            if parser.keep_alive:
                connection.idle_since = time.monotonic()
                self._idle.append(connection)
            else:
                await connection.sock.close()

    async def _acquire(self) -> _PooledConnection:
        now = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            if now - connection.idle_since < KEEP_ALIVE_S:
                return connection
            await connection.sock.close()
        return _PooledConnection(await sockets.connect(self._address, self._connect_s))
