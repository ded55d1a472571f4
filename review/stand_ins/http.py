"""HTTP/1.1 with JSON bodies: a server, and a client that keeps the limits of the protocol page."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

MAX_REQUEST_BODY = 64 * 1024  # bytes, by the protocol page
MAX_RESPONSE_LINE = 64 * 1024  # bytes of a line in a response to workers and users, by the protocol page


class NoResponseError(Exception):
    """A request got no response: no connection, no answer in time, or an answer that breaks the protocol."""


@dataclass
class Request:
    """A received request."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body) if self.body else None


Answer = tuple[int, Any]
Handler = Callable[[Request], Awaitable[Answer]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Reads one message; returns its first line, its headers and its body, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0") or "0")
    return first, headers, await reader.readexactly(length)


class Server:
    """Serves one address; `stop` closes it with all its connections."""

    def __init__(self, host: str, port: int, handler: Handler, limit_body: bool = False) -> None:
        self.host, self.port, self.handler, self.limit_body = host, port, handler, limit_body
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address as host and port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Binds the address; port 0 takes a free one."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port, limit=4 * 1024 * 1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                if self.limit_body and len(body) > MAX_REQUEST_BODY:
                    status, value = 413, {"error": f"the body has {len(body)} bytes"}
                else:
                    status, value = await self.handler(Request(method, url.path, query, body))
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class Client:
    """Sends requests to one address over kept connections, which are opened as needed."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address, self._host, self._port = address, host, int(port)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def request(self, method: str, target: str, body: Any, timeout_s: float) -> Answer:
        """Returns status and decoded body; raises NoResponseError, also for a line over `MAX_RESPONSE_LINE`."""
        try:
            return await asyncio.wait_for(self._exchange(method, target, body), timeout_s)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as err:
            raise NoResponseError(repr(err)) from None

    async def _exchange(self, method: str, target: str, body: Any) -> Answer:
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        message = (
            f"{method} {target} HTTP/1.1\r\nHost: {self.address}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        ).encode() + data
        kept = bool(self._idle)
        reader, writer = (
            self._idle.pop() if kept else await asyncio.open_connection(self._host, self._port, limit=4 * 1024 * 1024)
        )
        try:
            writer.write(message)
            await writer.drain()
            answer = await _read_message(reader)
        except BaseException:
            writer.transport.abort()
            raise
        if answer is None:
            writer.transport.abort()
            if kept:  # the server may have closed the kept connection before it received the request
                return await self._exchange(method, target, body)
            raise NoResponseError("closed before the answer")
        first, headers, received = answer
        if headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        longest = max(map(len, received.split(b"\n")), default=0)
        if longest > MAX_RESPONSE_LINE:
            raise NoResponseError(f"the response has a line of {longest} bytes, more than {MAX_RESPONSE_LINE}")
        return int(first.split(" ")[1]), json.loads(received) if received else None

    def close(self) -> None:
        """Closes the kept connections."""
        for _, writer in self._idle:
            with contextlib.suppress(Exception):
                writer.transport.abort()
        self._idle.clear()
