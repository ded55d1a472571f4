"""Opening and accepting TCP connections. Addresses are numeric, so that no call blocks on name resolution."""

from __future__ import annotations

import logging
import socket
from collections.abc import Awaitable, Callable

import curio

log = logging.getLogger(__name__)

ACCEPT_RETRY_DELAY_S = 0.05
BACKLOG = 8192  # all workers of a fleet may reconnect within one second; the operating system may cap it

ConnectionHandler = Callable[[curio.io.Socket], Awaitable[None]]


def split_address(address: str) -> tuple[str, int]:
    """Splits an address such as "10.0.0.1:8080" into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def connect(address: tuple[str, int], timeout_s: float) -> curio.io.Socket:
    """Opens a connection. Raises OSError if it fails or takes longer than `timeout_s` seconds."""
    sock = curio.io.Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await curio.timeout_after(timeout_s, sock.connect, address)
    except BaseException as err:
        await sock.close()
        if isinstance(err, curio.TaskTimeout):
            raise TimeoutError("connect timed out") from None
        raise
    return sock


async def _evict_none() -> None:
    """Closes no connection."""


async def serve(
    address: tuple[str, int],
    handle_connection: ConnectionHandler,
    max_open: int,
    evict_connection: Callable[[], Awaitable[None]] = _evict_none,
) -> None:
    """Accepts connections until cancelled. Each is handled in a task of its own, which is cancelled with this call.

    If the process runs out of sockets, accepting is retried after a delay: the server of curio would end with the
    error, and the controller with it. When `max_open` connections are open, `evict_connection` may close an unused one.
    If it closes none, the new connection is closed at once, so that the rest of the process has sockets left.
    """
    listener = curio.io.Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(BACKLOG)
    acceptor = _Acceptor(listener, handle_connection, max_open, evict_connection)
    # Closes the listener at the end: after a recovery, the next controller of this process binds the same address.
    async with listener:
        try:
            await acceptor.run()
        finally:
            await acceptor.cancel_connections()


class _Acceptor:
    """Accepts the connections of one listening socket and owns the tasks that handle them."""

    def __init__(
        self,
        listener: curio.io.Socket,
        handle_connection: ConnectionHandler,
        max_open: int,
        evict_connection: Callable[[], Awaitable[None]],
    ) -> None:
        self._listener, self._handle_connection = listener, handle_connection
        self._max_open, self._evict_connection = max_open, evict_connection
        self._open_count = 0
        self._tasks: set[curio.Task] = set()

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        while True:
            try:
                await self._accept()
            except OSError as err:
                log.warning("accept failed error=%s", err)
                await curio.sleep(ACCEPT_RETRY_DELAY_S)

    async def cancel_connections(self) -> None:
        """Cancels the tasks of all connections, which then close their sockets."""
        for task in tuple(self._tasks):
            await task.cancel()

    async def _accept(self) -> None:
        sock, _ = await self._listener.accept()
        if self._open_count >= self._max_open:
            await self._evict_connection()
        if self._open_count >= self._max_open:
            await sock.close()
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            await sock.close()
            return
        self._tasks.add(await curio.spawn(self._handle, sock, daemon=True))

    async def _handle(self, sock: curio.io.Socket) -> None:
        self._open_count += 1
        try:
            await self._handle_connection(sock)
        except (OSError, curio.TaskTimeout) as err:
            log.debug("connection ended error=%r", err)
        except curio.CancelledError:
            raise
        except Exception:  # no input of a client must end the controller
            log.exception("connection handler failed")
        finally:
            self._open_count -= 1
            self._tasks.discard(await curio.current_task())
            await sock.close()
