"""All access to the network in one place, so that tests can replace it by a simulated network."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import curio

from spurarch.transport.frames import FrameClient, FrameServer
from spurarch.transport.http import Handler, HttpClient, HttpServer

BROADCAST_TIMEOUT_S = 0.5  # of each receiver


class Requests(Protocol):
    """A client of one address."""

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Sends one request and returns status and body, or raises NoAnswerError."""


class Calls(Protocol):
    """A client of a peer's back channel."""

    async def call(self, frame: bytes, timeout_s: float) -> bytes | None:
        """Returns the peer's answer, or None if none came in time."""


async def broadcast(clients: Iterable[Calls], frame: bytes) -> None:
    """Sends a frame to all peers without waiting for their answers; it may be lost on the way to any of them."""
    for client in clients:
        await curio.spawn(client.call, frame, BROADCAST_TIMEOUT_S, daemon=True)


class Service(Protocol):
    """Something that serves until it is cancelled."""

    async def run(self) -> None:
        """Serves."""


class Network:
    """Real sockets."""

    def client(self, address: str, max_connections: int) -> Requests:
        """A client with a few kept connections."""
        return HttpClient(address, max_connections)

    def server(self, address: str, handler: Handler, max_connections: int) -> Service:
        """A server of the published protocol."""
        return HttpServer(address, handler, max_connections)

    def back_client(self, address: str) -> Calls:
        """A client of a peer."""
        return FrameClient(address)

    def back_server(self, address: str, handler: Callable[[bytes], Awaitable[bytes]], max_open: int) -> Service:
        """A server for the peers."""
        return FrameServer(address, handler, max_open)
