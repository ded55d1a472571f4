"""A relay between two controllers, which can hold or refuse what one of them sends to the other."""

from __future__ import annotations

import logging

import curio

from spurarch.transport import sockets

log = logging.getLogger(__name__)

MOST_OPEN = 64
READ_SIZE = 65536
LOOK_S = 0.05
CONNECT_S = 1.0


class Relay:
    """One direction: requests of one controller, and their answers."""

    def __init__(self, address: str, target: str) -> None:
        self.address, self._target = address, sockets.split_address(target)
        self.held = False  # what is sent arrives when this ends
        self.refused = False

    async def run(self) -> None:
        """Relays until cancelled."""
        await sockets.serve(sockets.split_address(self.address), self._client, MOST_OPEN)

    async def _client(self, client: curio.io.Socket) -> None:
        if self.refused:
            return
        server = await sockets.connect(self._target, CONNECT_S)
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pump, client, server)
                await group.spawn(self._pump, server, client)
        finally:
            await server.close()

    async def _pump(self, source: curio.io.Socket, target: curio.io.Socket) -> None:
        try:
            while data := await source.recv(READ_SIZE):
                while self.held:
                    await curio.sleep(LOOK_S)
                if self.refused:
                    return
                await target.sendall(data)
        except OSError as err:  # a controller that was killed resets its connections
            log.debug("relay: %r", err)
