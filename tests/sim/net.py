"""A simulated network between hosts: latency, and faults that delay or drop requests or responses."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import curio

from spurarch.transport.frames import MAX_FRAME_BYTES
from spurarch.transport.http import Handler, NoAnswerError, Request, Response
from spurarch.transport.http_messages import MAX_BODY_BYTES
from spurarch.transport.message_size import MessageTooLongError, check_size
from spurarch.transport.network import Network
from tests.sim.clock import Clock

LATENCY_S = 0.003


@dataclass
class LinkFault:
    """A fault between the hosts `a` and `b`, active until the virtual time `until`; `*` stands for any host.

    Values of `mode`:
        drop: Requests in both directions are dropped.
        hold: Requests in both directions get no response, and are delivered when the fault ends.
        deaf: Requests from `a` are delivered, but `a` gets no response; requests to `a` are dropped.
        mute: Requests from `a` are dropped; requests to `a` are delivered and get responses.

    In all modes, a response is dropped if a fault that affects the request has begun in the meantime, and frames
    between peers are dropped where requests would be affected.
    """

    a: str
    b: str
    until: float
    mode: str


class SimLinks:
    """The network of all hosts: servers by address, and the faults and latency of the links."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self.clock, self.random = clock, random
        self.hosts: dict[str, str] = {}  # address -> host
        self.handlers: dict[str, Handler] = {}  # address -> server
        self.peer_handlers: dict[str, Callable[[bytes], Awaitable[bytes]]] = {}  # address -> server of peer frames
        self.link_faults: list[LinkFault] = []
        # By address: function from client host to its server.
        self.handlers_by_client: dict[str, Callable[[str], Handler]] = {}
        self.too_long: list[str] = []  # messages that were not sent, as they are too long
        self.slow_until, self.slow_s = 0.0, 0.0
        self.slow_responses: dict[str, tuple[float, float]] = {}  # by client host: until when, and seconds of delay

    def latency_s(self) -> float:
        """Returns the present mean latency of a request, in seconds; see `slow_responses` for that of a response."""
        return self.slow_s if self.clock.now < self.slow_until else LATENCY_S

    def active_fault(self, a: str, b: str) -> LinkFault | None:
        """Returns the active fault that affects a request from `a` to `b`, or None."""
        for fault in self.link_faults:
            pair = {fault.a, fault.b}
            if fault.mode == "mute" and a != fault.a:
                continue
            if self.clock.now < fault.until and ({a, b} == pair or ("*" in pair and ({a, b} & (pair - {"*"})))):
                return fault
        return None

    async def request(self, source: str, address: str, request: Request, timeout_s: float) -> Response:
        """Delivers a request from a host to an address and returns its response; raises NoAnswerError without one."""
        target = self.hosts[address]
        end = self.clock.now + timeout_s
        fault = self.active_fault(source, target)
        if fault is not None and fault.mode == "deaf" and source == fault.a:
            handler = self.handler(source, address)
            if handler is not None:
                await curio.spawn(handler, request, daemon=True)
        if fault is not None:
            if fault.mode == "hold":
                await curio.spawn(self._deliver_late, fault, source, address, request, daemon=True)
            await curio.sleep(max(0.0, end - self.clock.now))
            raise NoAnswerError("cut", fault.mode != "drop")
        await curio.sleep(self.latency_s() * (0.5 + self.random.random()))
        handler = self.handler(source, address)
        if handler is None:
            raise NoAnswerError("refused", False)
        try:
            response: Response = await curio.timeout_after(max(0.001, end - self.clock.now), handler, request)
        except curio.TaskTimeout:
            raise NoAnswerError("timed out", True) from None
        if self.handlers.get(address) is not handler and address not in self.handlers_by_client:
            raise NoAnswerError("reset", True)  # the server ended meanwhile
        if self.active_fault(source, target) is not None:
            await curio.sleep(max(0.0, end - self.clock.now))
            raise NoAnswerError("cut", True)
        await self._delay_response(source, end)
        return response

    async def _delay_response(self, host: str, end: float) -> None:
        """Delays a response to a host as long as `slow_responses` says; raises NoAnswerError if that is after `end`."""
        until, delay_s = self.slow_responses.get(host, (0.0, 0.0))
        if self.clock.now >= until:
            return
        await curio.sleep(min(delay_s, max(0.0, end - self.clock.now)))
        if self.clock.now >= end:
            raise NoAnswerError("timed out", True)

    def handler(self, source: str, address: str) -> Handler | None:
        """Returns the server at an address for a client host, or None; most servers are the same for all hosts."""
        handler_for = self.handlers_by_client.get(address)
        return handler_for(source) if handler_for is not None else self.handlers.get(address)

    async def _deliver_late(self, fault: LinkFault, source: str, address: str, request: Request) -> None:
        await curio.sleep(max(0.0, fault.until - self.clock.now) + 0.01)
        handler = self.handler(source, address)
        if handler is not None:
            await handler(request)


class SimClient:
    """A client on one host, for the server at one address."""

    def __init__(self, network: SimNetwork, links: SimLinks, source: str, address: str) -> None:
        self._network, self._links, self._source, self._address = network, links, source, address

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Sends a request, like HttpClient.request."""
        await self._network.block_if_ended()
        try:
            check_size(body or b"", MAX_BODY_BYTES, method, target)
        except MessageTooLongError as err:
            self._links.too_long.append(str(err))
            raise NoAnswerError(str(err), False) from None
        response = await self._links.request(
            self._source, self._address, Request(method, target, body or b""), timeout_s
        )
        await self._network.block_if_ended()
        return response.status, response.body


class SimServer:
    """A server that is reachable while run() is running."""

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


class SimPeerClient:
    """A client of a peer's frame server."""

    def __init__(self, network: SimNetwork, links: SimLinks, source: str, address: str) -> None:
        self._network, self._links, self._source, self._address = network, links, source, address

    async def call(self, frame: bytes, timeout_s: float) -> bytes | None:
        """Sends a frame, like FrameClient.call; returns None if there is no response."""
        await self._network.block_if_ended()
        links = self._links
        handler = links.peer_handlers.get(self._address)
        if handler is None or links.active_fault(self._source, links.hosts[self._address]) is not None:
            return None
        await curio.sleep(links.latency_s())
        try:
            check_size(frame, MAX_FRAME_BYTES, "frame", self._address)
            response: bytes = await curio.timeout_after(timeout_s, handler, frame)
            check_size(response, MAX_FRAME_BYTES, "frame", self._source)
            return response
        except MessageTooLongError as err:
            links.too_long.append(str(err))
            return None
        except curio.TaskTimeout:
            return None


class SimNetwork(Network):
    """The simulated network as one host reaches it."""

    def __init__(self, links: SimLinks, host: str) -> None:
        self._links, self._host = links, host
        self.ended = False

    async def block_if_ended(self) -> None:
        """Blocks forever once the host's process has ended, since curio still runs the tasks that it spawned."""
        while self.ended:
            await curio.sleep(1e6)

    def client(self, address: str, max_connections: int) -> SimClient:
        return SimClient(self, self._links, self._host, address)

    def server(self, address: str, handler: Handler, max_connections: int) -> SimServer:
        return SimServer(self._links.handlers, address, handler)  # type: ignore[arg-type]

    def peer_client(self, address: str) -> SimPeerClient:
        return SimPeerClient(self, self._links, self._host, address)

    def peer_server(self, address: str, handler: Callable[[bytes], Awaitable[bytes]], max_open: int) -> SimServer:
        return SimServer(self._links.peer_handlers, address, handler)  # type: ignore[arg-type]
