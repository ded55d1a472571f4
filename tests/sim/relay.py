"""A TCP relay between two controllers that can hold or refuse the requests of one to the other."""

from __future__ import annotations

import logging

import curio

from spurarch.transport import sockets

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 64
READ_BYTES = 65536
POLL_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 1.0


class Relay:
    """Relays the requests of one controller to another, and their responses."""

    def __init__(self, address: str, target: str) -> None:
        self.address, self._target = address, sockets.split_address(target)
        self.held = False  # whether data is kept until this is False again
        self.refused = False  # whether connections are closed at once

    async def run(self) -> None:
        """Relays connections until cancelled."""
        await sockets.serve(sockets.split_address(self.address), self._client, MAX_CONNECTIONS)

    async def _client(self, client: curio.io.Socket) -> None:
        if self.refused:
            return
        server = await sockets.connect(self._target, CONNECT_TIMEOUT_S)
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pump, client, server)
                await group.spawn(self._pump, server, client)
        finally:
            await server.close()

    async def _pump(self, source: curio.io.Socket, target: curio.io.Socket) -> None:
        try:
            while data := await source.recv(READ_BYTES):
                while self.held:
                    await curio.sleep(POLL_INTERVAL_S)
                if self.refused:
                    return
                await target.sendall(data)
        except OSError as err:  # the connections of a killed controller are reset
            log.debug("relay connection failed: %r", err)
