"""The work of an idle controller, counted; and which HTTP connections end when clients are late or too many."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

import curio
import msgspec
import pytest

from spurarch.coordination.controller import Controller
from spurarch.coordination.partition.rounds import PartitionRounds
from spurarch.settings import CloudLimits, Deployment, External, Platform, StateLimits, Tuning, Workers
from spurarch.transport import http
from spurarch.transport.http import HttpServer, Request, Response
from spurarch.transport.network import Network
from tests.sim.clock import Clock

ZONES = ["a", "b"]
IDLE_S = 20.0


class StandInStore:
    """A state service in which this controller owns two partitions, and no record changes."""

    def __init__(self) -> None:
        self.requests = 0
        self.revision = 10

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Responds according to the published protocol."""
        self.requests += 1
        if target.startswith("/kv?"):
            return 200, msgspec.json.encode({"items": self._items(target), "has_next": False, "ledger": 9})
        if target == "/txn":
            self.revision += 1
            return 200, msgspec.json.encode({"ledger": self.revision})
        if target.startswith("/grants"):
            return 200, b'{"tether":7}'
        if "wait_ms=0" not in target:
            await curio.sleep(4.0)
        return 200, msgspec.json.encode({"ledger": self.revision, "news": []})

    @staticmethod
    def _items(target: str) -> list[dict[str, object]]:
        prefix = parse_qs(urlsplit(target).query)["prefix"][0]
        if prefix not in ("live/", "live/part/"):
            return []
        part = {"node": "n0", "epoch": 4, "boot": "earlier"}
        return [{"key": f"live/part/{zone}", "value": part, "stamp": 7} for zone in ZONES]


class Unresponsive:
    """A server without connections, and a client whose requests get no response."""

    async def run(self) -> None:
        """Blocks until cancelled."""
        await curio.sleep(1e9)

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> tuple[int, bytes]:
        """Never returns a response."""
        await curio.sleep(1e9)
        return 503, b""


class StandInNetwork(Network):
    """A network in which only the state service responds."""

    def __init__(self) -> None:
        self.store = StandInStore()

    def client(self, address: str, max_connections: int) -> StandInStore | Unresponsive:
        """The state service for its address, and no responses from others."""
        return self.store if address == "127.0.0.1:4" else Unresponsive()

    def server(self, *_: object) -> Unresponsive:
        """A server to which no worker or user connects."""
        return Unresponsive()

    def peer_server(self, *_: object) -> Unresponsive:
        """A server to which no peer connects."""
        return Unresponsive()


def platform() -> Platform:
    """Settings of a controller without peers."""
    deployment = Deployment(
        ZONES, [], Workers(1.0, 10.0, 30.0), StateLimits(200.0, 80.0, 16.0, 24), CloudLimits(8.0, 5.0)
    )
    return Platform("n0", "a", "127.0.0.1:1", "127.0.0.1:2", External("127.0.0.1:3", "127.0.0.1:4"), deployment)


def test_an_idle_controller_runs_few_rounds_timers_and_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    rounds = 0
    run_round = PartitionRounds._run_round

    async def counted_round(self: PartitionRounds, owned: object) -> None:
        nonlocal rounds
        rounds += 1
        await run_round(self, owned)  # type: ignore[arg-type]

    monkeypatch.setattr(PartitionRounds, "_run_round", counted_round)
    network, sleeps = StandInNetwork(), 0
    sleep = curio.sleep

    async def counted_sleep(seconds: float) -> float:
        nonlocal sleeps
        sleeps += 1
        woke: float = await sleep(seconds)
        return woke

    async def main() -> None:
        nonlocal rounds, sleeps
        controller = Controller(platform(), Tuning(), network)
        service = await curio.spawn(controller.run, daemon=True)
        await sleep(3.0)
        monkeypatch.setattr(curio, "sleep", counted_sleep)
        rounds = sleeps = network.store.requests = 0
        await sleep(IDLE_S)
        monkeypatch.setattr(curio, "sleep", sleep)
        await service.cancel()

    Clock().run(main)
    assert 0 < rounds <= 4.5 * IDLE_S * len(ZONES)  # rounds that only check for expired times
    assert 0 < sleeps <= 75 * IDLE_S
    assert 0 < network.store.requests <= 4 * IDLE_S


class StandInSocket:
    """A connection whose client sends the given pieces and nothing afterwards."""

    def __init__(self, *pieces: bytes) -> None:
        self.pieces, self.sent = list(pieces), b""

    async def recv(self, size: int) -> bytes:
        """Returns the next piece, or blocks if there is none."""
        if not self.pieces:
            await curio.sleep(1e9)
        return self.pieces.pop(0)

    async def sendall(self, data: bytes) -> None:
        """Records the sent bytes."""
        self.sent += data


HEAD = b"GET /up HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize(
    ("pieces", "limit_s"),
    [([HEAD], http.REQUEST_READ_TIMEOUT_S), ([HEAD + b"\r\n"], http.IDLE_TIMEOUT_S), ([], http.REQUEST_READ_TIMEOUT_S)],
)
def test_the_connection_of_a_slow_client_ends_and_a_slow_handler_is_not_interrupted(
    pieces: list[bytes], limit_s: float
) -> None:
    clock, ended = Clock(), 0.0

    async def slow_handler(_: Request) -> Response:
        await curio.sleep(20 * http.REQUEST_READ_TIMEOUT_S)
        return Response(200)

    async def main() -> None:
        nonlocal ended
        sock, server = StandInSocket(*pieces), HttpServer("127.0.0.1:1", slow_handler, 10)
        await curio.spawn(server._close_timed_out_connections, daemon=True)
        task = await curio.spawn(server._serve_connection, sock, daemon=True)
        began = clock.now
        await task.wait()
        ended = clock.now - began
        assert bool(sock.sent) is (pieces == [HEAD + b"\r\n"])
        assert not server._connections

    clock.run(main)
    handled_s = 20 * http.REQUEST_READ_TIMEOUT_S if pieces == [HEAD + b"\r\n"] else 0.0
    assert limit_s <= ended - handled_s <= limit_s + 2 * http.SWEEP_INTERVAL_S


def test_with_more_workers_than_connections_the_longest_idle_connection_is_closed() -> None:
    """4,000 workers send heartbeats in turn to a controller with 40 connections, and each gets a response."""
    clock, limit, workers = Clock(), 40, 4000
    answered = ended = 0

    class Worker(StandInSocket):
        async def sendall(self, data: bytes) -> None:
            nonlocal answered
            answered += data.startswith(b"HTTP/1.1 200")

    async def handle(_: Request) -> Response:
        return Response(200)

    async def main() -> None:
        nonlocal ended
        server = HttpServer("127.0.0.1:1", handle, limit)
        tasks = []
        busy = Worker(HEAD)  # has sent half a request, so its connection must not be closed
        tasks.append(await curio.spawn(server._serve_connection, busy, daemon=True))
        await curio.sleep(0)
        for _ in range(workers):
            if len(server._connections) >= limit:
                await server._close_least_used_connection()
                ended += 1
            tasks.append(await curio.spawn(server._serve_connection, Worker(HEAD + b"\r\n"), daemon=True))
            await curio.sleep(0.001)
            assert len(server._connections) <= limit
        assert not tasks[0].terminated
        assert [task.terminated for task in tasks[1:]] == [True] * (workers - limit + 1) + [False] * (limit - 1)

    clock.run(main)
    assert answered == workers
    assert ended == workers - limit + 1


def test_connections_without_a_request_are_closed_before_those_of_workers() -> None:
    clock, limit = Clock(), 40

    async def handle(_: Request) -> Response:
        return Response(200)

    async def main() -> None:
        server = HttpServer("127.0.0.1:1", handle, limit)
        workers = [
            await curio.spawn(server._serve_connection, StandInSocket(HEAD + b"\r\n"), daemon=True) for _ in range(30)
        ]
        without_request = [await curio.spawn(server._serve_connection, StandInSocket(), daemon=True) for _ in range(10)]
        await curio.sleep(http.FIRST_REQUEST_GRACE_S + 0.1)
        for _ in range(10):
            await server._close_least_used_connection()
        assert all(task.terminated for task in without_request)
        assert not any(task.terminated for task in workers)

    clock.run(main)
