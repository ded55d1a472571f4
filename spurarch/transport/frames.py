"""The channel between peer controllers: length-prefixed frames, one request and its response at a time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from spurarch.transport import sockets
from spurarch.transport.message_size import MessageTooLongError, check_size

MAX_FRAME_BYTES = 1024 * 1024  # bytes; the answer to a ping lists every cancelled job that is not terminal
FRAME_TIMEOUT_S = 60.0  # to read or write a frame; also closes idle connections


async def _read_exactly(sock: curio.io.Socket, size: int) -> bytes:
    chunks = []
    while size:
        data = await sock.recv(min(size, 65536))
        if not data:
            raise ConnectionResetError("peer controller closed the connection")
        chunks.append(data)
        size -= len(data)
    return b"".join(chunks)


async def read_frame(sock: curio.io.Socket) -> bytes:
    """Reads one frame.

    Raises ConnectionResetError at the end of the connection, or if the frame exceeds MAX_FRAME_BYTES.
    """
    size = int.from_bytes(await _read_exactly(sock, 4), "big")
    if size > MAX_FRAME_BYTES:
        raise ConnectionResetError("peer controller sent a frame longer than MAX_FRAME_BYTES")
    return await _read_exactly(sock, size)


async def write_frame(sock: curio.io.Socket, data: bytes) -> None:
    """Writes one frame. Raises MessageTooLongError if the receiver would refuse it."""
    check_size(data, MAX_FRAME_BYTES, "frame", "peer controller")
    await sock.sendall(len(data).to_bytes(4, "big") + data)


class FrameServer:
    """Serves frames on one address, over at most `max_open` connections."""

    def __init__(self, address: str, handler: Callable[[bytes], Awaitable[bytes]], max_open: int) -> None:
        self._address = sockets.split_address(address)
        self._handler, self._max_open = handler, max_open

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        await sockets.serve(self._address, self._serve_connection, self._max_open)

    async def _serve_connection(self, sock: curio.io.Socket) -> None:
        while True:
            frame = await curio.timeout_after(FRAME_TIMEOUT_S, read_frame, sock)
            await curio.timeout_after(FRAME_TIMEOUT_S, write_frame, sock, await self._handler(frame))


class FrameClient:
    """Sends frames to one peer controller over a persistent connection.

    A failed call closes the connection; the next call opens a new one.
    """

    def __init__(self, address: str) -> None:
        self._address = sockets.split_address(address)
        self._sock: curio.io.Socket | None = None
        self._lock = curio.Lock()

    async def call(self, frame: bytes, timeout_s: float) -> bytes | None:
        """Sends a request frame and returns the response.

        Returns None on a network error, after `timeout_s` seconds, or if the frame is too long.
        """
        try:
            async with curio.timeout_after(timeout_s), self._lock:
                try:
                    if self._sock is None:
                        self._sock = await sockets.connect(self._address, timeout_s)
                    await write_frame(self._sock, frame)
                    return await read_frame(self._sock)
                except BaseException:
                    sock, self._sock = self._sock, None
                    if sock is not None:
                        await sock.close()
                    raise
        except (OSError, curio.TaskTimeout, MessageTooLongError):
            return None
