"""Opening and accepting connections. Addresses are numbers: there are no name look-ups to wait for."""

from __future__ import annotations

import logging
import socket
from collections.abc import Awaitable, Callable

import curio

log = logging.getLogger(__name__)

ACCEPT_PAUSE_S = 0.05
BACKLOG = 8192  # all workers of a fleet may come back in the same second; the system may allow fewer


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


async def _no_room() -> None:
    """Closes no connection for a new one."""


async def serve(
    address: tuple[str, int],
    client: Callable[[curio.io.Socket], Awaitable[None]],
    max_open: int,
    make_room: Callable[[], Awaitable[None]] = _no_room,
) -> None:
    """Accepts connections until cancelled, a task for each.

    Running out of sockets only pauses the accepting: curio's own server would end there, and with it the
    controller. At the bound `make_room` may close a connection that nobody waits for; a new one for which there is
    still no room is closed at once, so that the rest of the process has sockets left.
    """
    listener = curio.io.Socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(BACKLOG)
    open_now = 0

    async def attend(sock: curio.io.Socket) -> None:
        nonlocal open_now
        open_now += 1
        try:
            await client(sock)
        except (OSError, curio.TaskTimeout) as err:
            log.debug("connection ended error=%r", err)
        except curio.CancelledError:
            raise
        except Exception:  # whatever a client sends must not end the controller
            log.exception("connection handler failed")
        finally:
            open_now -= 1
            await sock.close()

    async def accept_one() -> None:
        sock, _ = await listener.accept()
        if open_now >= max_open:
            await make_room()
        if open_now >= max_open:
            await sock.close()
            return
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            await sock.close()
            return
        await curio.spawn(attend, sock, daemon=True)

    # The address is free again at the end: a controller that begins anew after a recovery listens there once more.
    async with listener:
        while True:
            try:
                await accept_one()
            except OSError as err:
                log.warning("accept failed error=%s", err)
                await curio.sleep(ACCEPT_PAUSE_S)
