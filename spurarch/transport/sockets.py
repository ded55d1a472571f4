"""Opening and accepting TCP connections. Addresses are numeric, so no name look-up has to be waited for."""

from __future__ import annotations

import logging
import socket
from collections.abc import Awaitable, Callable

import curio

log = logging.getLogger(__name__)

ACCEPT_PAUSE_S = 0.05
BACKLOG = 8192  # all workers of a fleet may come back in the same second; the system may allow fewer

ConnectionHandler = Callable[[curio.io.Socket], Awaitable[None]]


def split_address(address: str) -> tuple[str, int]:
    """Splits "10.0.0.1:8080"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


async def connect(address: tuple[str, int], timeout_s: float) -> curio.io.Socket:
    """Opens a connection; raises OSError when it is refused or takes too long."""
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


async def _close_none() -> None:
    """Closes no connection for a new one."""


async def serve(
    address: tuple[str, int],
    handle_connection: ConnectionHandler,
    max_open: int,
    make_room: Callable[[], Awaitable[None]] = _close_none,
) -> None:
    """Accepts connections until cancelled, and handles each in a task of its own, which ends with this call.

    Running out of sockets only pauses the accepting: curio's own server would end there, and with it the
    controller. At the bound `make_room` may close a connection that nobody waits for; a new one for which there is
    still no room is closed at once, so that the rest of the process has sockets left.
    """
    listener = curio.io.Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(BACKLOG)
    acceptor = _Acceptor(listener, handle_connection, max_open, make_room)
    # The address is free again at the end: a controller that starts again after a recovery listens there once more.
    async with listener:
        try:
            await acceptor.run()
        finally:
            await acceptor.cancel_connections()


class _Acceptor:
    """Accepts the connections of one listening socket, and owns the tasks that handle them."""

    def __init__(
        self,
        listener: curio.io.Socket,
        handle_connection: ConnectionHandler,
        max_open: int,
        make_room: Callable[[], Awaitable[None]],
    ) -> None:
        self._listener, self._handle_connection = listener, handle_connection
        self._max_open, self._make_room = max_open, make_room
        self._open_count = 0
        self._tasks: set[curio.Task] = set()

    async def run(self) -> None:
        """Accepts until cancelled."""
        while True:
            try:
                await self._accept()
            except OSError as err:
                log.warning("accept failed error=%s", err)
                await curio.sleep(ACCEPT_PAUSE_S)

    async def cancel_connections(self) -> None:
        """Ends the tasks of all connections, which close their sockets."""
        for task in tuple(self._tasks):
            await task.cancel()

    async def _accept(self) -> None:
        sock, _ = await self._listener.accept()
        if self._open_count >= self._max_open:
            await self._make_room()
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
        except Exception:  # whatever a client sends must not end the controller
            log.exception("connection handler failed")
        finally:
            self._open_count -= 1
            self._tasks.discard(await curio.current_task())
            await sock.close()
