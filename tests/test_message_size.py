"""A message that its receiver would refuse for its size is not sent, and is logged; so is one that arrives."""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import Any

import curio
import pytest

from spurarch.coordination.api.routes import RequestRouter
from spurarch.coordination.partition.command_sender import CommandSender
from spurarch.coordination.scaling.machine_releaser import MachineReleaser
from spurarch.protocol import wire
from spurarch.transport.frames import MAX_FRAME_BYTES, write_frame
from spurarch.transport.http import HttpClient, HttpServer, NoAnswerError, Request, Response
from spurarch.transport.http_messages import MAX_BODY_BYTES, MessageError, RequestParser
from spurarch.transport.message_size import MessageTooLongError
from tests.sim.addresses import ReservedAddresses
from tests.sim.command_exchange import JOB, CommandExchange
from tests.test_scale import Fleet

LISTED_TASKS = 1500
HEARTBEAT = (
    b'POST /agent/beat HTTP/1.1\r\nHost: a\r\nContent-Length: 82347\r\n\r\n{"croft":"vm-000001","addr":"10.1.0.1:9000"'
)


async def _respond(request: Request) -> Response:
    return Response(200)


def test_a_request_that_is_too_long_is_not_sent(caplog: pytest.LogCaptureFixture) -> None:
    with pytest.raises(NoAnswerError) as failed:
        curio.run(HttpClient("127.0.0.1:1").request, "POST", "/do", b"x" * (MAX_BODY_BYTES + 1), 5.0)
    assert not failed.value.may_be_sent
    assert "kind=POST target=/do bytes=65537 bytes_allowed=65536" in caplog.text


def test_a_frame_that_is_too_long_is_not_sent(caplog: pytest.LogCaptureFixture) -> None:
    sent: list[bytes] = []

    async def sendall(data: bytes) -> None:
        sent.append(data)

    sock: Any = SimpleNamespace(sendall=sendall)
    with pytest.raises(MessageTooLongError):
        curio.run(write_frame, sock, b"x" * (MAX_FRAME_BYTES + 1))
    curio.run(write_frame, sock, b"x")
    assert sent == [b"\0\0\0\1x"]
    assert "message too long" in caplog.text


@pytest.mark.parametrize(("size", "status"), [(MAX_BODY_BYTES, 200), (MAX_BODY_BYTES + 1, 500)])
def test_a_response_that_is_too_long_becomes_an_error(size: int, status: int) -> None:
    async def get(job_id: str) -> Response:
        return Response(200, b"x" * size)

    unused: Any = None
    job_api: Any = SimpleNamespace(get=get)
    router = RequestRouter(job_api, unused, unused, unused, None)
    assert curio.run(router.handle, Request("GET", "/submissions/job-1", b"")).status == status


def test_a_body_that_is_refused_for_its_size_is_logged_with_its_sender(caplog: pytest.LogCaptureFixture) -> None:
    async def main(address: str) -> None:
        server = await curio.spawn(HttpServer(address, _respond, 10).run)
        await curio.sleep(0)
        async with await curio.open_connection(*address.split(":")) as sock:
            await sock.sendall(HEARTBEAT + b"x" * MAX_BODY_BYTES)
            assert (await sock.recv(1000)).split(b" ")[1] == b"413"
        await server.cancel()

    with ReservedAddresses() as addresses:
        curio.run(main, addresses.reserve())
    assert 'request body too long target=/agent/beat bytes=82347 begins=b\'{"croft":"vm-000001"' in caplog.text


def test_the_size_of_a_refused_body_without_an_announced_one_is_what_has_arrived() -> None:
    parser = RequestParser()
    chunks = (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 5
    with pytest.raises(MessageError) as refused:
        parser.feed(b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)
    assert refused.value.refused_body is not None
    assert refused.value.refused_body.size == 5 * 0x4000


def test_a_worker_that_lists_more_than_a_heartbeat_holds_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Its answers to direct commands are the only messages that still show what runs there."""
    world = CommandExchange(1, 1)
    worker, partition = world.workers[0], world.partition
    worker.tasks = {(wire.task_name(JOB, index), 1): wire.RUNNING for index in range(LISTED_TASKS)}
    world.assign(0, worker)
    machine = partition.machines[worker.name]
    request = partition.direct_commands.next_request(machine)
    assert request is not None

    async def respond(*args: object) -> tuple[int, bytes]:
        return 200, wire.encode(worker.build_heartbeat())

    network: Any = SimpleNamespace(client=lambda address, count: SimpleNamespace(request=respond))
    unused: Any = None
    owned: Any = SimpleNamespace(partition=partition)
    sender = CommandSender(network, unused, unused, 2.0, 100)
    curio.run(sender._exchange, owned, machine, request)
    assert f"worker lists more tasks than a heartbeat can hold machine=vm-0 tasks={LISTED_TASKS}" in caplog.text


@pytest.mark.parametrize(("attempt", "logged"), [(2, False), (3, True)])
def test_a_machine_released_with_repeatedly_started_tasks_is_logged(
    caplog: pytest.LogCaptureFixture, attempt: int, logged: bool
) -> None:
    """The same tasks took one machine after the other with them, and only the machines were in the log."""
    fleet = Fleet(1)
    machine = fleet.partition.machines["vm-0"]
    for task in machine.attempts.values():
        task.number = attempt

    async def release(names: list[str], may_release: object) -> None:
        pass

    async def wake() -> None:
        pass

    unused: Any = None
    cloud: Any = SimpleNamespace(release=release)
    owned: Any = SimpleNamespace(partition=fleet.partition, wakeup=SimpleNamespace(set=wake))
    with caplog.at_level(logging.INFO):
        curio.run(MachineReleaser(unused, cloud, unused, 24)._release_if_still_owned, owned, [machine])
    text = "releasing machine with repeatedly started tasks machine=vm-0 tasks=4 repeated=4"
    assert (text in caplog.text) is logged
