"""Every response to users and workers: status, body and headers, byte for byte.

Controllers run on simulated services in virtual time, and requests use the same handler as those of users and workers.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import curio
import pytest

from spurarch.coordination.controller import Controller
from spurarch.protocol.wire import Heartbeat, TaskStatus
from spurarch.recovery.heartbeat_collector import HeartbeatCollector
from spurarch.recovery.launch import controller_with_recovery
from spurarch.transport.http import Handler, HttpServer, Request, Response
from spurarch.transport.http_messages import MessageError, RequestParser, error_response, render_response
from tests.sim.addresses import ReservedAddresses
from tests.sim.net import SimNetwork
from tests.sim.scenario import STATE_ADDRESS, ScenarioRun
from tests.sim.scenario_text import Scenario

Answer = tuple[int, bytes, list[tuple[str, str]]]
RETRY = [("Retry-After", "1")]

FIELDS = {
    "ref": '"job-1"',
    "circuit": '"c"',
    "crew": '"t"',
    "gait": '"batch"',
    "precedence": '"high"',
    "legs": "1",
    "vcpus": "1.0",
    "gpus": "0",
    "memory_gb": "1",
    "kit": '"i"',
    "pull_gb": "0",
    "together": "false",
    "spread": "false",
    "lendable": "true",
    "reckon_s": "1",
    "waypoint_s": "0",
    "stow_s": "0",
}


def submission(**changed: str) -> bytes:
    """Returns a valid submission with some fields changed; values are JSON."""
    fields = {**FIELDS, **changed}
    return ("{" + ",".join(f'"{name}":{value}' for name, value in fields.items()) + "}").encode()


def report(zone: str = "a", token: int = 0, sequence: int = 1, tasks: str = "") -> bytes:
    """Returns a worker's heartbeat."""
    return (
        f'{{"croft":"vm-000001","addr":"10.1.0.1:9000","build":"small","district":"{zone}","lendable":false,'
        f'"tenure":1,"tally":{sequence},"baton":{token},"warning_s":null,"legs":[{tasks}]}}'
    ).encode()


def answer_of(response: Response) -> Answer:
    """Returns status, body and headers of a response."""
    return response.status, response.body, response.headers


class Site(ScenarioRun):
    """Controllers on simulated services, to which a test script sends requests."""

    def __init__(
        self, setup: str, story: Callable[[Site], Awaitable[None]], settle_s: float = 4.0, started: bool = True
    ) -> None:
        super().__init__(Scenario.parse(f"team t cpus=8 max=16\ntype small cpus=4 boot=5\n{setup}", {}))
        self._story, self._settle_s, self._started = story, settle_s, started
        self.answered_story = False

    async def _main(self) -> None:
        await curio.spawn(self.cloud.run, daemon=True)
        for node, _ in self.nodes if self._started else []:
            await self.start(node)
        await curio.sleep(self._settle_s)
        await self._story(self)
        self.answered_story = True

    async def ask(self, method: str, target: str, body: bytes = b"", node: str = "n0") -> Answer:
        """Sends a request to a controller and returns the response."""
        handler = self.links.handlers[dict(self.nodes)[node]]
        return answer_of(await handler(Request(method, target, body)))

    def put(self, key: str, value: Any) -> None:
        """Writes a key in the state service, as another client of it."""
        self.store.revision += 1
        self.store.keys[key] = value, self.store.revision, None
        self.store.events.append((self.store.revision, {"write": key, "value": value, "stamp": self.store.revision}))

    def answer_transactions(self, status: int, body: bytes) -> None:
        """Makes the state service answer every further transaction that writes a job with this response."""
        usual = self.store.handler_for

        def door(host: str) -> Handler:
            handle: Handler = usual(host)

            async def answer(request: Request) -> Response:
                if request.target == "/txn" and b'"write":"live/job/' in request.body:
                    return Response(status, body)
                return await handle(request)

            return answer

        self.links.handlers_by_client[STATE_ADDRESS] = door


def tell(story: Callable[[Site], Awaitable[None]], setup: str = "controllers 1", settle_s: float = 4.0) -> None:
    """Runs a test script after the controllers have started."""
    site = Site(setup, story, settle_s)
    site.run()
    assert site.answered_story


def ask_all(
    requests: list[tuple[str, str, bytes]], setup: str = "controllers 1", prepare: Callable[[Site], None] | None = None
) -> list[Answer]:
    """Sends requests to a controller one after the other and returns the responses."""
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        if prepare is not None:
            prepare(site)
            await curio.sleep(1.0)
        answers.extend([await site.ask(*request) for request in requests])

    tell(story, setup)
    return answers


# Paths and methods


@pytest.mark.parametrize(
    ("method", "target", "answer"),
    [
        ("GET", "/up", (200, b"{}", [])),
        ("POST", "/up", (405, b'{"error":"use GET"}', [])),
        ("PUT", "/submissions", (405, b'{"error":"use POST"}', [])),
        ("GET", "/submissions", (405, b'{"error":"use POST"}', [])),
        ("POST", "/submissions/job-1", (405, b'{"error":"use GET"}', [])),
        ("GET", "/submissions/job-1/cancel", (405, b'{"error":"use POST"}', [])),
        ("GET", "/agent/beat", (405, b'{"error":"use POST"}', [])),
        ("GET", "/nowhere", (404, b'{"error":"no such path"}', [])),
        ("POST", "/submissions/job-1/other", (404, b'{"error":"no such path"}', [])),
        ("GET", "/submissions/job-999", (404, b'{"error":"no such job"}', [])),
        ("GET", "/submissions/%2e%2e", (404, b'{"error":"no such job"}', [])),
        ("POST", "/submissions/job-999/cancel", (404, b'{"error":"no such job"}', [])),
        ("POST", "/submissions/x/cancel", (404, b'{"error":"no such job"}', [])),
    ],
)
def test_a_path_and_a_method_get_exactly_this_answer(method: str, target: str, answer: Answer) -> None:
    assert ask_all([(method, target, b"")]) == [answer]


# Submissions

NO_SUCH_TYPE: Answer = (422, b'{"error":"a task fits no allowed machine type"}', [])
OVER_LIMIT: Answer = (422, b'{"error":"the job needs more than its team\'s limit"}', [])


@pytest.mark.parametrize(
    ("body", "answer"),
    [
        (b"nonsense", (400, b'{"error":"JSON is malformed: invalid character (byte 4)"}', [])),
        (b"", (400, b'{"error":"Input data was truncated"}', [])),
        (b"[1]", (400, b'{"error":"Expected `object`, got `array`"}', [])),
        (b"{}", (400, b'{"error":"Object missing required field `ref`"}', [])),
        (b'{"ref":"\xff"}', (400, b'{"error":"Invalid UTF-8 encoded string"}', [])),
        (submission(legs="0"), (400, b'{"error":"Expected `int` >= 1 - at `$.legs`"}', [])),
        (submission(legs="100001"), (400, b'{"error":"Expected `int` <= 100000 - at `$.legs`"}', [])),
        (submission(legs='"1"'), (400, b'{"error":"Expected `int`, got `str` - at `$.legs`"}', [])),
        (submission(vcpus="-1"), (400, b'{"error":"Expected `float` >= 0.0 - at `$.vcpus`"}', [])),
        (
            submission(gait='"x"'),
            (400, b'{"error":"Expected `str` matching regex \'^(batch|gang|daemon)$\' - at `$.gait`"}', []),
        ),
        (
            submission(precedence='"x"'),
            (
                400,
                b'{"error":"Expected `str` matching regex \'^(production|high|normal|low)$\' - at `$.precedence`"}',
                [],
            ),
        ),
        (submission(together="1"), (400, b'{"error":"Expected `bool`, got `int` - at `$.together`"}', [])),
        (submission(builds='"g8"'), (400, b'{"error":"Expected `array | null`, got `str` - at `$.builds`"}', [])),
        (submission(ref='"other"'), (400, b'{"error":"ref: not a job id"}', [])),
        (submission(crew='"nobody"'), (422, b'{"error":"crew: unknown team"}', [])),
        (submission(vcpus="17"), OVER_LIMIT),
        (submission(gait='"daemon"', legs="5", vcpus="4"), OVER_LIMIT),
        (submission(gait='"gang"', legs="5", vcpus="4"), OVER_LIMIT),
        (
            submission(gait='"gang"', legs="2", spread="true"),
            (422, b'{"error":"spread: the tasks of a gang are in one zone"}', []),
        ),
        (submission(district='"x"'), (422, b'{"error":"district: unknown zone"}', [])),
        (
            submission(builds="[" + ",".join(f'"machine-type-{n:03d}"' for n in range(900)) + "]"),
            (422, b'{"error":"the job\'s description is larger than a record may be"}', []),
        ),
        (submission(vcpus="5"), NO_SUCH_TYPE),
        (submission(memory_gb="17"), NO_SUCH_TYPE),
        (submission(gpus="1"), NO_SUCH_TYPE),
        (submission(builds='["huge"]'), NO_SUCH_TYPE),
    ],
    ids=[
        "no-json",
        "empty",
        "array",
        "no-fields",
        "no-utf-8",
        "no-tasks",
        "too-many-tasks",
        "tasks-as-text",
        "negative-amount",
        "unknown-kind",
        "unknown-priority",
        "number-for-truth",
        "text-for-list",
        "no-job-id",
        "unknown-team",
        "task-over-limit",
        "service-over-limit",
        "gang-over-limit",
        "gang-spread",
        "unknown-zone",
        "long-description",
        "too-many-cpus",
        "too-much-memory",
        "too-many-gpus",
        "unknown-type",
    ],
)
def test_a_submission_that_can_never_run_gets_exactly_this_refusal(body: bytes, answer: Answer) -> None:
    assert ask_all([("POST", "/submissions", body)]) == [answer]


def test_a_job_gets_exactly_these_answers_from_its_submission_to_its_cancellation() -> None:
    requests = [
        ("POST", "/submissions", submission()),
        ("POST", "/submissions", submission()),
        ("GET", "/submissions/job-1", b""),
        ("POST", "/submissions/job-1/cancel", b"{}"),
        ("POST", "/submissions/job-1/cancel", b"{}"),
        ("GET", "/submissions/job-1", b""),
        ("POST", "/submissions", submission()),
    ]

    assert ask_all(requests) == [
        (201, b'{"ref":"job-1","standing":"pending"}', []),
        (200, b'{"ref":"job-1","standing":"pending","done":0,"running":0}', []),
        (200, b'{"ref":"job-1","standing":"pending","done":0,"running":0}', []),
        (200, b'{"ref":"job-1","standing":"aborted"}', []),
        (200, b'{"ref":"job-1","standing":"aborted"}', []),
        (200, b'{"ref":"job-1","standing":"aborted"}', []),
        (200, b'{"ref":"job-1","standing":"aborted"}', []),
    ]


def test_jobs_that_are_over_get_exactly_these_answers() -> None:
    def prepare(site: Site) -> None:
        site.put("final/job-1", {"state": "done", "tasks": 3})
        site.put("final/job-2", {"state": "aborted", "tasks": 3})
        site.put("final/job-3", {"state": "in doubt", "tasks": 3})

    doubt = (503, b'{"error":"in doubt since the records were rebuilt"}', [("Retry-After", "30")])
    requests = [
        (method, f"/submissions/job-{n}{rest}", b"")
        for n in (1, 2, 3)
        for method, rest in (("GET", ""), ("POST", "/cancel"))
    ]

    assert ask_all(requests, prepare=prepare) == [
        (200, b'{"ref":"job-1","standing":"done","done":3,"running":0}', []),
        (200, b'{"ref":"job-1","standing":"done","done":3,"running":0}', []),
        (200, b'{"ref":"job-2","standing":"aborted"}', []),
        (200, b'{"ref":"job-2","standing":"aborted"}', []),
        doubt,
        doubt,
    ]


# Temporary errors: 503 with Retry-After

UNREACHABLE = (503, b'{"error":"the state service can\'t be reached"}', RETRY)
STARTING = (503, b'{"error":"starting"}', RETRY)


def test_a_controller_that_has_read_nothing_yet_says_that_it_starts() -> None:
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        controller = site.controller("n0", SimNetwork(site.links, "n0"), "00ff", 1)
        for method, target, body in (
            ("GET", "/up", b""),
            ("POST", "/submissions", submission()),
            ("GET", "/submissions/job-1", b""),
            ("POST", "/submissions/job-1/cancel", b"{}"),
            ("POST", "/agent/beat", report()),
        ):
            answers.append(answer_of(await controller.handle(Request(method, target, body))))

    tell(story, settle_s=0.0)

    assert answers == [
        STARTING,
        STARTING,
        UNREACHABLE,
        UNREACHABLE,
        (503, b'{"error":"the owner of this zone is not known yet"}', []),
    ]


def test_machine_types_that_are_not_known_yet_put_a_submission_off() -> None:
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        async def trouble(request: Request) -> Response:
            return Response(503, b'{"error":"trouble"}')

        site.links.handlers["10.2.0.2:8443"] = trouble
        await curio.sleep(4.0)
        answers.append(await site.ask("POST", "/submissions", submission()))

    tell(story, settle_s=0.0)

    assert answers == [(503, b'{"error":"machine types are not known yet"}', RETRY)]


def test_an_outage_of_the_state_service_puts_everything_off() -> None:
    def prepare(site: Site) -> None:
        site.store.outage(100.0)

    requests = [
        ("POST", "/submissions", submission()),
        ("GET", "/submissions/job-1", b""),
        ("POST", "/submissions/job-1/cancel", b"{}"),
    ]

    assert ask_all(requests, prepare=prepare) == [UNREACHABLE, UNREACHABLE, UNREACHABLE]


@pytest.mark.parametrize(
    ("status", "body", "submitted"),
    [
        (503, b'{"error":"trouble"}', UNREACHABLE),
        (409, b'{"failed":["live/job/job-2"],"ledger":1}', (503, b'{"error":"not settled yet"}', RETRY)),
    ],
    ids=["refused", "conflict"],
)
def test_a_change_that_the_state_service_does_not_take_is_put_off(status: int, body: bytes, submitted: Answer) -> None:
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        await site.ask("POST", "/submissions", submission())
        site.answer_transactions(status, body)
        answers.append(await site.ask("POST", "/submissions", submission(ref='"job-2"')))
        answers.append(await site.ask("POST", "/submissions/job-1/cancel", b"{}"))

    tell(story)

    assert answers == [submitted, (503, b'{"error":"not settled yet"}', RETRY)]


def test_gangs_are_put_off_while_a_controller_of_the_version_before_is_there() -> None:
    gang = submission(gait='"gang"', legs="2")
    answers = ask_all([("POST", "/submissions", gang)], "controllers 2\nearlier n1")
    assert answers == [
        (503, b'{"error":"gangs are taken once all controllers have been upgraded"}', [("Retry-After", "5")])
    ]


def test_more_submissions_than_the_state_service_takes_are_put_off_by_how_long_it_needs() -> None:
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        async def submit(number: int) -> None:
            answers.append(await site.ask("POST", "/submissions", submission(ref=f'"job-{number}"')))

        async with curio.TaskGroup() as group:
            for number in range(60):
                await group.spawn(submit, number)

    tell(story, "controllers 1\nlimits write_rps=10")

    refused = [answer for answer in answers if b"too many" in answer[1]]
    assert refused[0] == (503, b'{"error":"too many submissions at once"}', [("Retry-After", "3")])


def test_an_answer_that_took_too_long_is_not_given() -> None:
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        usual = site.store.handler_for

        def door(host: str) -> Handler:
            handle: Handler = usual(host)

            async def answer(request: Request) -> Response:
                response = await handle(request)
                if request.target == "/txn" and b'"write":"live/job/' in request.body:
                    site.clock.now += 5.5  # the process is suspended for 5.5 s
                return response

            return answer

        site.links.handlers_by_client[STATE_ADDRESS] = door
        answers.append(await site.ask("POST", "/submissions", submission()))

    tell(story)

    assert answers == [(503, b'{"error":"too late to answer"}', RETRY)]


# With recovery


def ask_with_recovery(history: dict[str, object], requests: list[tuple[str, str, bytes]]) -> list[Answer]:
    """Sends requests to a controller with recovery whose history is open; returns the responses."""
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        site.put("history/current", history)
        site.put(f"history/open/{history['name']}", {"number": history["number"]})
        site.tuning.recovery = True
        network = SimNetwork(site.links, "n0")
        controller: Controller = controller_with_recovery(site.platform(0), site.tuning, network, "00ff")
        await curio.spawn(controller.run, daemon=True)
        await curio.sleep(4.0)
        for method, target, body in requests:
            answers.append(answer_of(await controller.handle(Request(method, target, body))))

    site = Site("controllers 1", story, 0.0, started=False)
    site.run()
    assert site.answered_story
    return answers


def test_a_job_that_may_have_been_accepted_before_a_loss_is_put_off() -> None:
    answers = ask_with_recovery(
        {"name": "01ab", "number": 1, "uncertain": True},
        [("GET", "/submissions/job-1", b""), ("POST", "/submissions/job-1/cancel", b"{}")],
    )
    unknown = (503, b'{"error":"not known since the records were rebuilt"}', [("Retry-After", "30")])
    assert answers == [unknown, unknown]


def test_what_the_archive_does_not_hold_yet_is_not_confirmed() -> None:
    answers = ask_with_recovery(
        {"name": "01ab", "number": 1, "archived_answers": True}, [("POST", "/submissions", submission())]
    )
    assert answers == [(503, b'{"error":"recorded, and not archived yet"}', RETRY)]


# Heartbeats of workers


def test_a_heartbeat_to_the_owner_is_answered_with_its_fencing_token() -> None:
    assert ask_all([("POST", "/agent/beat", report())]) == [(200, b'{"baton":137438953473,"orders":[]}', [])]


@pytest.mark.parametrize(
    ("body", "answer"),
    [
        (b"{}", (400, b'{"error":"Object missing required field `croft`"}', [])),
        (b"nonsense", (400, b'{"error":"JSON is malformed: invalid character (byte 4)"}', [])),
        (
            report(token=-1),
            (400, b'{"error":"Expected `int` >= 0 - at `$.baton`"}', []),
        ),
        (report(zone="nowhere"), (503, b'{"error":"the owner of this zone is not known yet"}', [])),
        (report(token=1 << 60), (503, b'{"error":"not entitled to this worker"}', [])),
    ],
    ids=["no-fields", "no-json", "negative-token", "unknown-zone", "higher-token"],
)
def test_a_heartbeat_that_is_not_accepted_gets_exactly_this_refusal(body: bytes, answer: Answer) -> None:
    assert ask_all([("POST", "/agent/beat", body)]) == [answer]


def test_a_heartbeat_to_another_than_the_owner_is_redirected_to_the_owner() -> None:
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        owner = site.store.keys["live/part/b"][0]["node"]
        other = next(node for node, _ in site.nodes if node != owner)
        steered = await site.ask("POST", "/agent/beat", report(zone="b"), other)
        answers.append((steered[0], steered[1].replace(owner.encode(), b"OWNER"), steered[2]))

    tell(story, "controllers 3")

    assert answers == [(421, b'{"steward":"OWNER"}', [])]


def test_a_heartbeat_of_an_unreachable_zone_is_sent_to_any_controller() -> None:
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        owner = site.store.keys["live/part/b"][0]["node"]
        other = next(node for node, _ in site.nodes if node != owner)
        member = site.store.keys[f"live/member/{owner}"][0]
        site.put(f"live/member/{owner}", {**member, "dark": ["b"]})
        await curio.sleep(0.05)  # the owner writes its own record again once it sees this change
        answers.append(await site.ask("POST", "/agent/beat", report(zone="b"), other))

    tell(story, "controllers 3")

    assert answers == [(421, b"{}", [])]


def test_a_heartbeat_long_after_the_last_read_of_the_state_service_is_refused() -> None:
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        site.store.outage(100.0)
        await curio.sleep(40.0)
        answers.append(await site.ask("POST", "/agent/beat", report()))
        answers.append(await site.ask("GET", "/up"))

    tell(story)

    assert answers == [(503, b'{"error":"cut from the state service for too long"}', []), (200, b"{}", [])]


def test_a_controller_that_is_cut_off_while_a_peer_is_not_says_that_it_can_not_serve() -> None:
    answers: list[Answer] = []

    async def story(site: Site) -> None:
        site.store.refused_until["n0"] = site.clock.now + 100.0
        await curio.sleep(10.0)
        answers.append(await site.ask("GET", "/up"))

    tell(story, "controllers 2")

    assert answers == [(503, b'{"error":"cut from the state service"}', RETRY)]


RUNNING = Heartbeat("vm-000001", "10.1.0.1:9000", "small", "a", 1, 1, 0, [TaskStatus("job-1/0", 2, "running")])


def test_heartbeats_during_a_rebuild_get_exactly_these_answers() -> None:
    allowed, cut = (lambda now: True), (lambda now: False)
    before = HeartbeatCollector(allowed, lambda job: False)
    during = HeartbeatCollector(allowed, lambda job: job == "job-1")
    isolated = HeartbeatCollector(cut, lambda job: False)
    for collector in (during, isolated):
        collector.begin(40)

    answers = [collector.on_heartbeat(RUNNING) for collector in (before, during, isolated)]

    assert [(answer.status, answer.body) for answer in answers] == [
        (503, b'{"error":"the records are being rebuilt"}'),
        (200, b'{"baton":2748779069440,"orders":[{"verb":"halt","leg":"job-1/0","try":2,"leeway_s":0.0}]}'),
        (503, b'{"error":"cut from the state service for too long"}'),
    ]


# HTTP server


@pytest.mark.parametrize(
    ("response", "sent"),
    [
        (
            Response(503, b'{"error":"starting"}', [("Retry-After", "1")]),
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 20\r\n"
            b'Retry-After: 1\r\n\r\n{"error":"starting"}',
        ),
        (
            Response(421, b'{"steward":"n1"}'),
            b"HTTP/1.1 421 Misdirected Request\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\n"
            b'{"steward":"n1"}',
        ),
        (
            Response(200),
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
        ),
        (
            error_response(500, "internal error"),
            b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nContent-Length: 26\r\n\r\n"
            b'{"error":"internal error"}',
        ),
    ],
    ids=["unavailable", "misdirected", "good", "internal"],
)
def test_a_response_is_sent_as_exactly_these_bytes(response: Response, sent: bytes) -> None:
    assert render_response(response) == sent


@pytest.mark.parametrize(
    ("status", "line"),
    [
        (200, b"HTTP/1.1 200 OK"),
        (201, b"HTTP/1.1 201 Created"),
        (400, b"HTTP/1.1 400 Bad Request"),
        (404, b"HTTP/1.1 404 Not Found"),
        (405, b"HTTP/1.1 405 Method Not Allowed"),
        (413, b"HTTP/1.1 413 Content Too Large"),
        (421, b"HTTP/1.1 421 Misdirected Request"),
        (422, b"HTTP/1.1 422 Unprocessable Content"),
        (431, b"HTTP/1.1 431 Request Header Fields Too Large"),
        (500, b"HTTP/1.1 500 Internal Server Error"),
        (503, b"HTTP/1.1 503 Service Unavailable"),
    ],
)
def test_a_status_has_exactly_this_first_line(status: int, line: bytes) -> None:
    assert render_response(Response(status)).split(b"\r\n")[0] == line


@pytest.mark.parametrize(
    ("raw", "sent"),
    [
        (
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: 29\r\n"
            b'Connection: close\r\n\r\n{"error":"malformed request"}',
        ),
        (
            b"GET / HTTP/1.1\r\n\r\n",
            b"HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: 37\r\n"
            b'Connection: close\r\n\r\n{"error":"one Host header is needed"}',
        ),
        (
            b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 17_000,
            b"HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: application/json\r\nContent-Length: 26\r\n"
            b'Connection: close\r\n\r\n{"error":"head too large"}',
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n" + b"z" * 66_000,
            b"HTTP/1.1 413 Content Too Large\r\nContent-Type: application/json\r\nContent-Length: 26\r\n"
            b'Connection: close\r\n\r\n{"error":"body too large"}',
        ),
    ],
    ids=["malformed", "no-host", "long-head", "long-body"],
)
def test_what_is_no_request_is_refused_with_exactly_these_bytes(raw: bytes, sent: bytes) -> None:
    parser = RequestParser()
    with pytest.raises(MessageError) as refused:
        parser.feed(raw)
    assert render_response(refused.value.response, close=True) == sent


@pytest.mark.parametrize(
    ("raw", "sent"),
    [
        (
            b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n",
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"
            b"Retry-After: 1\r\n\r\n{}",
        ),
        (
            b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"
            b"Retry-After: 1\r\nConnection: close\r\n\r\n{}",
        ),
        (
            b"HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n",
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 2\r\n"
            b"Retry-After: 1\r\n\r\n",
        ),
        (
            b"GET /boom HTTP/1.1\r\nHost: a\r\n\r\n",
            b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nContent-Length: 26\r\n\r\n"
            b'{"error":"internal error"}',
        ),
        (
            b"GET /x HTTP/1.1\r\nHost: a\r\n",
            b"HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: 30\r\n"
            b'Connection: close\r\n\r\n{"error":"incomplete request"}',
        ),
        (
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: 29\r\n"
            b'Connection: close\r\n\r\n{"error":"malformed request"}',
        ),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n",
        ),
    ],
    ids=["answered", "closed", "head-only", "handler-fails", "incomplete", "malformed", "continue"],
)
def test_the_server_answers_with_exactly_these_bytes(raw: bytes, sent: bytes) -> None:
    async def handler(request: Request) -> Response:
        if request.target == "/boom":
            raise RuntimeError("boom")
        return Response(503, b"{}", [("Retry-After", "1")])

    async def main(address: str) -> bytes:
        server = await curio.spawn(HttpServer(address, handler, 10).run)
        await curio.sleep(0)
        host, port = address.split(":")
        async with await curio.open_connection(host, int(port)) as client:
            await client.sendall(raw)
            if b"Host: a\r\n\r\n" not in raw and b"Expect" not in raw:
                await client.shutdown(socket.SHUT_WR)
            received = b""
            while len(received) < len(sent):
                data: bytes = await client.recv(1000)
                if not data:
                    break
                received += data
        await server.cancel()
        return received

    with ReservedAddresses() as addresses:
        assert curio.run(main, addresses.reserve()) == sent


# Peers


@pytest.mark.parametrize(
    ("frame", "answer"),
    [
        (b"\x91\xa4wake", b"\x91\xa4wake"),
        (b"\x92\xa9cancelled\x91\xa5job-1", b"\x91\xa4wake"),
        (b"\x97\xa4load\xa2n1\xcb\x40\x08\x00\x00\x00\x00\x00\x00\xc3\x90\x90\x00", b"\x91\xa4wake"),
        (b"\x92\xaaunheard-of\x01", b"\x91\xa4wake"),
        (b"nonsense", b"\x91\xa4wake"),
        (b"\x92\xa9revision?\xa2n1", b"\x91\xa4wake"),
        (
            b"\x92\xa4ping\xa2n1",
            b"\x98\xa4pong\xa2n0\xb0BOOTBOOTBOOTBOOT\xc3\x90\x91\x93\xa1a\xa2n0\x02"
            b"\xcb\x00\x00\x00\x00\x00\x00\x00\x00\xcb\x00\x00\x00\x00\x00\x00\x00\x00",
        ),
    ],
    ids=["wake", "cancelled", "load", "unknown", "nonsense", "recovery", "ping"],
)
def test_a_peer_gets_exactly_this_answer(frame: bytes, answer: bytes) -> None:
    answers: list[bytes] = []

    async def story(site: Site) -> None:
        got = await site.controllers["n0"].on_frame(frame)
        # The process name is random, and the two ages at the end of a pong depend on the time of the request.
        got = re.sub(rb"\xb0[0-9a-f]{16}", b"\xb0BOOTBOOTBOOTBOOT", got)
        answers.append(got[:-18] + answer[-18:] if frame.startswith(b"\x92\xa4ping") else got)

    tell(story, "controllers 1\nzones a")

    assert answers == [answer]


def test_a_peer_with_recovery_tells_its_revision_and_its_copy() -> None:
    answers: list[bytes | None] = []

    async def story(site: Site) -> None:
        site.put("history/current", {"name": "01ab", "number": 1})
        site.put("history/open/01ab", {"number": 1})
        site.tuning.recovery = True
        network = SimNetwork(site.links, "n0")
        controller = controller_with_recovery(site.platform(0), site.tuning, network, "00ff")
        await curio.spawn(controller.run, daemon=True)
        await curio.sleep(4.0)
        frames = (
            b"\x92\xa9revision?\xa2n1",
            b"\x94\xa9evidence?\xa2n1\xa401ab\x00",
            b"\x94\xa8reports?\xa2n1\x28\x00",
        )
        answers.extend([await controller.on_frame(frame) for frame in frames])

    site = Site("controllers 1\nzones a", story, 0.0, started=False)
    site.run()

    assert answers == [
        b"\x95\xa8revision\xa2n0\xa401ab\x01\x06",
        b"\x9a\xa8evidence\xa2n0\xa400ff\xa401ab\xc2\xc3\x02\x06\x90\x00",
        b"\x94\xa7reports\x90\x00\x00",
    ]
