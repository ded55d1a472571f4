"""The peer channel between controllers: length-prefixed frames, one request and one answer at a time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio

from spurarch.transport import sockets

MAX_FRAME = 1024 * 1024  # bytes: peers tell each other of every cancelled job that is not terminal
IDLE_S = 60.0


async def _read_exactly(sock: curio.io.Socket, size: int) -> bytes:
    parts = []
    while size:
        data = await sock.recv(min(size, 65536))
        if not data:
            raise ConnectionResetError("peer closed the back channel")
        parts.append(data)
        size -= len(data)
    return b"".join(parts)


async def read_frame(sock: curio.io.Socket) -> bytes:
    """Reads one frame, refusing one over the bound."""
    size = int.from_bytes(await _read_exactly(sock, 4), "big")
    if size > MAX_FRAME:
        raise ConnectionResetError("frame too large")
    return await _read_exactly(sock, size)


async def write_frame(sock: curio.io.Socket, data: bytes) -> None:
    """Writes one frame."""
    await sock.sendall(len(data).to_bytes(4, "big") + data)


class FrameServer:
    """Answers frames on one address."""

    def __init__(self, address: str, handler: Callable[[bytes], Awaitable[bytes]], max_open: int) -> None:
        self._address = sockets.split_address(address)
        self._handler, self._max = handler, max_open

    async def run(self) -> None:
        """Accepts connections until cancelled."""
        await sockets.serve(self._address, self._client, self._max)

    async def _client(self, sock: curio.io.Socket) -> None:
        while True:
            frame = await curio.timeout_after(IDLE_S, read_frame, sock)
            await curio.timeout_after(IDLE_S, write_frame, sock, await self._handler(frame))


class FrameClient:
    """Sends frames to one peer over one kept connection; a failure closes it and the next call opens a new one."""

    def __init__(self, address: str) -> None:
        self._address = sockets.split_address(address)
        self._sock: curio.io.Socket | None = None
        self._lock = curio.Lock()

    async def call(self, frame: bytes, timeout_s: float) -> bytes | None:
        """Returns the peer's answer, or None if none came in time."""
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
        except (OSError, curio.TaskTimeout):
            return None
