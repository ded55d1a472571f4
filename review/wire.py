"""HTTP/1.1 with JSON bodies over loopback sockets, for the stand-ins of the review. Standard library only."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

LIMIT_BYTES = 64 * 1024  # of a request body, and of a line in a response to workers and users
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone"}

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, Any]]]


def free_address() -> str:
    """Returns a loopback address on which nothing listens, below the ports of outgoing connections."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Reads one message; returns its first line and its body. Raises OSError at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        length = 0
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                length = int(value)
        return head[0], await reader.readexactly(length)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as err:
        raise ConnectionResetError("connection ended") from err


async def serve(address: str, handler: Handler) -> tuple[asyncio.Server, str]:
    """Serves requests, each answered by `handler(method, path, query, body)`; returns the server and its address."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                status, answer = await handler(method, url.path, query, body)
                data = json.dumps(answer, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # the client has gone, or the run is over
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(connected, host, int(port), backlog=1000)
    return server, f"{host}:{server.sockets[0].getsockname()[1]}"


class Client:
    """A client of one address with one persistent connection; one request at a time."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._lock = asyncio.Lock()

    async def request(self, method: str, target: str, body: Any, timeout_s: float) -> tuple[int, bytes]:
        """Sends one request; returns status and body. Raises OSError without an answer in time."""
        try:
            async with asyncio.timeout(timeout_s), self._lock:
                try:
                    return await self._exchange(method, target, body)
                except BaseException:
                    self.close()
                    raise
        except TimeoutError:
            raise ConnectionAbortedError("no answer in time") from None

    async def _exchange(self, method: str, target: str, body: Any) -> tuple[int, bytes]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(self._host, self._port, limit=1 << 20)
        reader, writer = self._streams
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        head = f"{method} {target} HTTP/1.1\r\nHost: {self._host}:{self._port}\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        first, answer = await _read_message(reader)
        return int(first.split(" ")[1]), answer

    def close(self) -> None:
        """Closes the connection; the next request opens a new one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
