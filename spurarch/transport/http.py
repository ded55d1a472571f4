"""HTTP/1.1 over curio sockets: a server and a client with a connection pool."""

from __future__ import annotations

import logging
import time

import curio

from spurarch.errors import SpurarchError
from spurarch.transport import sockets
from spurarch.transport.http_messages import (
    CONTINUE_RESPONSE,
    MAX_BODY_BYTES,
    Handler,
    MessageError,
    RefusedBody,
    Request,
    RequestParser,
    Response,
    ResponseParser,
    error_response,
    render_request,
    render_response,
)
from spurarch.transport.message_size import MessageTooLongError, check_size

__all__ = ["Handler", "HttpClient", "HttpServer", "NoAnswerError", "Request", "Response"]

log = logging.getLogger(__name__)

REQUEST_READ_BYTES = 16384
RESPONSE_READ_BYTES = 65536  # responses of the state service may be long
IDLE_TIMEOUT_S = 120.0  # timeout of a server connection between two requests
REQUEST_READ_TIMEOUT_S = 10.0  # timeout for the first bytes of a connection and for the rest of a request
FIRST_REQUEST_GRACE_S = 2.0  # age from which a connection that has sent nothing may be closed in favor of a new one
MAX_LOGGED_REFUSALS = 1000  # request bodies that were too long; one log line each
SWEEP_INTERVAL_S = 1.0  # between two checks of the read deadlines
CLIENT_KEEP_ALIVE_S = 20.0  # age from which a client closes an idle connection instead of reusing it


class NoAnswerError(SpurarchError):
    """A request got no usable response. `may_be_sent` is False only if no part of the request was sent."""

    def __init__(self, reason: str, may_be_sent: bool) -> None:
        super().__init__(reason)
        self.may_be_sent = may_be_sent


class _ServerConnection:
    """A server connection and the deadline for reading more from it."""

    __slots__ = ("began", "idle", "parser", "read_by", "served", "sock", "task")

    def __init__(self, sock: curio.io.Socket, task: curio.Task) -> None:
        self.sock, self.task = sock, task
        self.parser = RequestParser()
        self.began = time.monotonic()
        self.served = False  # a complete request has been received
        self.idle = False  # all requests have been answered and no byte of the next one has been received
        self.read_by = float("inf")  # deadline by the monotonic clock; infinite while a request is being handled

    def is_first_request_overdue(self, now: float) -> bool:
        """Whether the client has sent nothing within FIRST_REQUEST_GRACE_S after it connected."""
        return not self.served and not self.parser.started and now - self.began > FIRST_REQUEST_GRACE_S


class HttpServer:
    """Serves one address over at most `max_connections` connections.

    A fleet can have more workers than a controller has sockets. When all connections are open, a new connection
    replaces one that sent nothing for `FIRST_REQUEST_GRACE_S`, else the one that has been idle for longest, so that
    every worker is served.
    """

    def __init__(self, address: str, handler: Handler, max_connections: int) -> None:
        self._address = sockets.split_address(address)
        self._handler = handler
        self._max_connections = max_connections
        self._connections: dict[_ServerConnection, None] = {}  # least recently used first
        self._refused_bodies = 0

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        sweeper = await curio.spawn(self._close_timed_out_connections, daemon=True)
        try:
            await sockets.serve(
                self._address, self._serve_connection, self._max_connections, self._close_least_used_connection
            )
        finally:
            await sweeper.cancel()

    async def _close_least_used_connection(self) -> None:
        """Closes one unused connection, if any.

        A connection that sent nothing within `FIRST_REQUEST_GRACE_S` is closed first, so that many such connections
        don't displace those of workers.
        """
        now = time.monotonic()
        unused = (connection for connection in self._connections if connection.is_first_request_overdue(now))
        idle = (connection for connection in self._connections if connection.idle)
        connection = next(unused, None) or next(idle, None)
        if connection is not None:
            await connection.task.cancel()

    async def _close_timed_out_connections(self) -> None:
        """Closes connections whose read deadline has passed.

        One timer checks all connections, because a timeout for each read takes more processor time than the read.
        """
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
            if err.refused_body is not None:
                self._log_refused(err.refused_body)
            await sock.sendall(render_response(err.response, close=True))
        finally:
            del self._connections[connection]

    def _log_refused(self, refused: RefusedBody) -> None:
        if self._refused_bodies < MAX_LOGGED_REFUSALS:
            log.warning(
                "request body too long target=%s bytes=%d begins=%r", refused.target, refused.size, refused.beginning
            )
        self._refused_bodies += 1

    async def _handle(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except curio.CancelledError:
            raise
        except Exception:  # an unexpected error must not end the controller
            log.exception("request failed method=%s target=%s", request.method, request.target)
            return error_response(500, "internal error")

    async def _read(self, connection: _ServerConnection) -> Request | None:
        """Returns the next request; None if the client has closed the connection. Raises MessageError."""
        parser, sock = connection.parser, connection.sock
        request = parser.next_request()
        if request is not None:
            connection.idle = False
            return request
        connection.read_by = time.monotonic() + (IDLE_TIMEOUT_S if connection.served else REQUEST_READ_TIMEOUT_S)
        data = await sock.recv(REQUEST_READ_BYTES)
        connection.idle = False
        connection.read_by = time.monotonic() + REQUEST_READ_TIMEOUT_S
        while data:
            parser.feed(data)
            request = parser.next_request()
            if request is not None:
                connection.served = True
                connection.read_by = float("inf")
                return request
            if parser.take_continue_request():
                await sock.sendall(CONTINUE_RESPONSE)
            data = await sock.recv(REQUEST_READ_BYTES)
        if parser.started:
            raise MessageError(400, "incomplete request")
        return None


class _PooledConnection:
    """A persistent connection of a client."""

    __slots__ = ("idle_since", "sock")

    def __init__(self, sock: curio.io.Socket) -> None:
        self.sock = sock
        self.idle_since = 0.0


class _RequestProgress:
    """Whether a part of a request may have been sent."""

    __slots__ = ("sent",)

    def __init__(self) -> None:
        self.sent = False


class HttpClient:
    """A client of one address with a pool of persistent connections and a timeout for every request."""

    def __init__(self, address: str, max_connections: int = 8, connect_timeout_s: float = 1.0) -> None:
        self._address = sockets.split_address(address)
        self._host = address
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[_PooledConnection] = []
        self._slots = curio.Semaphore(max_connections)

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Sends one request and returns status and body.

        Raises NoAnswerError without a usable response within `timeout_s` seconds, including the wait for a connection.
        A request that is too long is not sent.
        """
        try:
            check_size(body or b"", MAX_BODY_BYTES, method, target)
            message = render_request(method, self._host, target, body)
        except (ValueError, MessageTooLongError) as err:
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
        """Closes the idle connections. To be called when no request is in progress."""
        while self._idle:
            await self._idle.pop().sock.close()

    async def _exchange(self, message: bytes, progress: _RequestProgress) -> tuple[int, bytes]:
        connection = await self._acquire()
        parser = ResponseParser()
        try:
            progress.sent = True
            await connection.sock.sendall(message)
            while not parser.complete:
                parser.feed(await connection.sock.recv(RESPONSE_READ_BYTES))
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
            if now - connection.idle_since < CLIENT_KEEP_ALIVE_S:
                return connection
            await connection.sock.close()
        return _PooledConnection(await sockets.connect(self._address, self._connect_timeout_s))
