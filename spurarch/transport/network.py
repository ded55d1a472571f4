"""Creates all network clients and servers, so that tests can replace them by a simulated network."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

import curio

from spurarch.transport.frames import FrameClient, FrameServer
from spurarch.transport.http import Handler, HttpClient, HttpServer

BROADCAST_TIMEOUT_S = 0.5  # for each receiver


class RequestClient(Protocol):
    """An HTTP client of one address."""

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Sends one request and returns status and body. Raises NoAnswerError."""


class PeerClient(Protocol):
    """A client of a peer controller's frame channel."""

    async def call(self, frame: bytes, timeout_s: float) -> bytes | None:
        """Sends a request frame and returns the response; None on a network error or after `timeout_s` seconds."""


async def broadcast(clients: Iterable[PeerClient], frame: bytes) -> None:
    """Sends a frame to all peers without waiting for their responses. Delivery is not guaranteed."""
    for client in clients:
        await curio.spawn(client.call, frame, BROADCAST_TIMEOUT_S, daemon=True)


class Service(Protocol):
    """A server."""

    async def run(self) -> None:
        """Serves until cancelled."""


class Network:
    """Clients and servers on real sockets."""

    def client(self, address: str, max_connections: int) -> RequestClient:
        """Returns an HTTP client with at most `max_connections` persistent connections."""
        return HttpClient(address, max_connections)

    def server(self, address: str, handler: Handler, max_connections: int) -> Service:
        """Returns a server of the published HTTP interface."""
        return HttpServer(address, handler, max_connections)

    def peer_client(self, address: str) -> PeerClient:
        """Returns a client of a peer controller."""
        return FrameClient(address)

    def peer_server(self, address: str, handler: Callable[[bytes], Awaitable[bytes]], max_open: int) -> Service:
        """Returns a server for the peer controllers."""
        return FrameServer(address, handler, max_open)
