"""A simulated network between hosts: delays, cuts that hold or drop, lost answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import curio

from spurarch.transport.http import Handler, NoAnswerError, Request, Response
from spurarch.transport.network import Network
from tests.sim.clock import Clock

LATENCY_S = 0.003


@dataclass
class Cut:
    """Hosts that can't reach each other for a while.

    `hold` delivers late what was sent meanwhile; with `deaf`, what `a` sends arrives, but neither answers nor what
    others send reach it; with `mute`, `a` reaches nobody, though others reach it.
    """

    a: str
    b: str
    until: float
    mode: str


class Wire:
    """All connections between hosts."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self.clock, self.random = clock, random
        self.hosts: dict[str, str] = {}  # address -> host
        self.handlers: dict[str, Handler] = {}  # address -> server
        self.back: dict[str, Callable[[bytes], Awaitable[bytes]]] = {}
        self.cuts: list[Cut] = []
        self.doors: dict[str, Callable[[str], Handler]] = {}
        self.slow_until, self.slow_s = 0.0, 0.0

    def latency_s(self) -> float:
        """The way from one host to another, about."""
        return self.slow_s if self.clock.now < self.slow_until else LATENCY_S

    def cut(self, a: str, b: str) -> Cut | None:
        """The cut in the way of a request of `a` to `b`, if there is one now."""
        for cut in self.cuts:
            pair = {cut.a, cut.b}
            if cut.mode == "mute" and a != cut.a:
                continue
            if self.clock.now < cut.until and ({a, b} == pair or ("*" in pair and ({a, b} & (pair - {"*"})))):
                return cut
        return None

    async def request(self, source: str, address: str, request: Request, timeout_s: float) -> Response:
        """One request, with all that can become of it."""
        target = self.hosts[address]
        end = self.clock.now + timeout_s
        cut = self.cut(source, target)
        if cut is not None and cut.mode == "deaf" and source == cut.a:
            handler = self.handler(source, address)
            if handler is not None:
                await curio.spawn(handler, request, daemon=True)
        if cut is not None:
            if cut.mode == "hold":
                await curio.spawn(self._late, cut, source, address, request, daemon=True)
            await curio.sleep(max(0.0, end - self.clock.now))
            raise NoAnswerError("cut", cut.mode != "drop")
        await curio.sleep(self.latency_s() * (0.5 + self.random.random()))
        handler = self.handler(source, address)
        if handler is None:
            raise NoAnswerError("refused", False)
        try:
            response: Response = await curio.timeout_after(max(0.001, end - self.clock.now), handler, request)
        except curio.TaskTimeout:
            raise NoAnswerError("timed out", True) from None
        if self.handlers.get(address) is not handler and address not in self.doors:
            raise NoAnswerError("reset", True)  # the server ended meanwhile
        if self.cut(source, target) is not None:
            await curio.sleep(max(0.0, end - self.clock.now))
            raise NoAnswerError("cut", True)
        return response

    def handler(self, source: str, address: str) -> Handler | None:
        """The server behind an address; some answer each host through a door of its own."""
        door = self.doors.get(address)
        return door(source) if door is not None else self.handlers.get(address)

    async def _late(self, cut: Cut, source: str, address: str, request: Request) -> None:
        await curio.sleep(max(0.0, cut.until - self.clock.now) + 0.01)
        handler = self.handler(source, address)
        if handler is not None:
            await handler(request)


class SimClient:
    """A client of one address on one host."""

    def __init__(self, network: SimNetwork, wire: Wire, source: str, address: str) -> None:
        self._network, self._wire, self._source, self._address = network, wire, source, address

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Like HttpClient.request."""
        await self._network.living()
        response = await self._wire.request(
            self._source, self._address, Request(method, target, body or b""), timeout_s
        )
        await self._network.living()
        return response.status, response.body


class SimServer:
    """A server that lives as long as its task."""

    def __init__(self, table: dict[str, Callable[..., Awaitable[object]]], address: str, handler: object) -> None:
        self._table, self._address, self._handler = table, address, handler

    async def run(self) -> None:
        """Serves until cancelled."""
        self._table[self._address] = self._handler  # type: ignore[assignment]
        try:
            while True:
                await curio.sleep(3600)
        finally:
            if self._table.get(self._address) is self._handler:
                del self._table[self._address]


class SimBack:
    """A client of a peer's back channel."""

    def __init__(self, network: SimNetwork, wire: Wire, source: str, address: str) -> None:
        self._network, self._wire, self._source, self._address = network, wire, source, address

    async def call(self, frame: bytes, timeout_s: float) -> bytes | None:
        """Like FrameClient.call."""
        await self._network.living()
        wire = self._wire
        handler = wire.back.get(self._address)
        if handler is None or wire.cut(self._source, wire.hosts[self._address]) is not None:
            return None
        await curio.sleep(wire.latency_s())
        try:
            return await curio.timeout_after(timeout_s, handler, frame)  # type: ignore[no-any-return]
        except curio.TaskTimeout:
            return None


class SimNetwork(Network):
    """The doors of one host to the simulated network."""

    def __init__(self, wire: Wire, host: str) -> None:
        self._wire, self._host = wire, host
        self.ended = False

    async def living(self) -> None:
        """Holds whatever a process still has under way when it ends: tasks of its own that curio goes on running."""
        while self.ended:
            await curio.sleep(1e6)

    def client(self, address: str, max_connections: int) -> SimClient:
        return SimClient(self, self._wire, self._host, address)

    def server(self, address: str, handler: Handler, max_connections: int) -> SimServer:
        return SimServer(self._wire.handlers, address, handler)  # type: ignore[arg-type]

    def back_client(self, address: str) -> SimBack:
        return SimBack(self, self._wire, self._host, address)

    def back_server(self, address: str, handler: Callable[[bytes], Awaitable[bytes]], max_open: int) -> SimServer:
        return SimServer(self._wire.back, address, handler)  # type: ignore[arg-type]
