"""Requests to the state service, the cloud and the archive, byte for byte, and the result of each response.

Requests and responses are literal; the tests call the clients that controllers use.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import curio
import pytest

from spurarch.archive.format import Entry
from spurarch.archive.server import ArchiveServer
from spurarch.archive.state import ArchivedState
from spurarch.protocol import wire
from spurarch.recovery import copies
from spurarch.recovery.copies import ArchiveHead
from spurarch.settings import StateLimits
from spurarch.storage.cloud import Cloud, CloudError, NoCapacityError
from spurarch.storage.errors import RevisionTooOldError, StoreUnavailableError
from spurarch.storage.history import HistoryGuard, HistoryRecord
from spurarch.storage.records import FinalRecord
from spurarch.storage.store import Store
from spurarch.storage.transaction import TransactionResult, TransactionStatus
from spurarch.transport.http import NoAnswerError, Request
from spurarch.transport.http_messages import ResponseParser, render_request

T = TypeVar("T")
Sent = tuple[str, str, bytes | None]
Answer = tuple[int, bytes]


class RecordingClient:
    """Simulated client of one address: records requests and returns the given responses in order."""

    def __init__(self, answers: list[Answer | NoAnswerError]) -> None:
        self.sent: list[Sent] = []
        self._answers = answers

    async def request(self, method: str, target: str, body: bytes | None, timeout_s: float) -> Answer:
        """Records the request and returns the next response; raises it if it is a `NoAnswerError`."""
        self.sent.append((method, target, body))
        answer = self._answers.pop(0)
        if isinstance(answer, NoAnswerError):
            raise answer
        return answer


def with_store(
    story: Callable[[Store], Awaitable[T]], *answers: Answer | NoAnswerError, history: HistoryGuard | None = None
) -> tuple[T, list[Sent]]:
    """Calls the client of the state service; returns the result and the requests that were sent."""
    client = RecordingClient(list(answers))
    store = Store(client, StateLimits(1000.0, 1000.0, 8.0, 24), 1, history)
    result: T = curio.run(story, store)
    return result, client.sent


def with_cloud(story: Callable[[Cloud], Awaitable[T]], *answers: Answer | NoAnswerError) -> tuple[T, list[Sent]]:
    """Calls the client of the cloud; returns the result and the requests that were sent."""
    client = RecordingClient(list(answers))
    cloud = Cloud(client, 1000.0, 1)
    result: T = curio.run(story, cloud)
    return result, client.sent


# The state service


def test_a_key_is_read_by_its_path() -> None:
    item, sent = with_store(
        lambda store: store.get("live/job/job-1"), (200, b'{"key":"live/job/job-1","value":{"x":1},"stamp":412}')
    )

    assert sent == [("GET", "/kv/live/job/job-1", None)]
    assert item is not None
    assert (item.key, bytes(item.value), item.version) == ("live/job/job-1", b'{"x":1}', 412)


def test_a_key_that_is_not_there_is_told_by_404() -> None:
    item, _ = with_store(lambda store: store.get("final/job-1"), (404, b'{"ledger":431}'))
    assert item is None


@pytest.mark.parametrize("status", [429, 503, 500])
def test_a_read_that_is_refused_is_no_answer(status: int) -> None:
    with pytest.raises(StoreUnavailableError):
        with_store(lambda store: store.get("final/job-1"), (status, b'{"error":"trouble"}'))


@pytest.mark.parametrize(
    ("after", "target"),
    [
        (None, "/kv?prefix=live/&most=1000"),
        ("live/job/job-1", "/kv?prefix=live/&from=live/job/job-1&most=1000"),
    ],
    ids=["first", "next"],
)
def test_keys_are_read_by_pages(after: str | None, target: str) -> None:
    page, sent = with_store(
        lambda store: store.page("live/", after),
        (200, b'{"items":[{"key":"live/leader","value":{},"stamp":4}],"has_next":true,"ledger":431}'),
    )

    assert sent == [("GET", target, None)]
    assert ([item.key for item in page.items], page.more, page.revision) == (["live/leader"], True, 431)


def test_changes_are_watched_for_after_a_revision() -> None:
    changes, sent = with_store(
        lambda store: store.watch(431, 10_000),
        (200, b'{"ledger":433,"news":[{"drop":"c/d","stamp":432}]}'),
    )

    assert sent == [("GET", "/watch?prefix=&from=431&wait_ms=10000", None)]
    assert (changes.revision, [event.delete for event in changes.events]) == (433, ["c/d"])


def test_a_revision_that_is_not_kept_any_more_is_told_by_410() -> None:
    with pytest.raises(RevisionTooOldError):
        with_store(lambda store: store.watch(1, 0), (410, b"{}"))


TXN = wire.Txn(
    [wire.Guard("final/job-1", 0)],
    [wire.Put("final/job-1", FinalRecord("done", 2), 7), wire.Delete("live/job/job-1")],
)
TXN_BYTES = (
    b'{"guards":[{"key":"final/job-1","stamp":0}],'
    b'"then":[{"write":"final/job-1","value":{"state":"done","tasks":2},"tether":7},{"drop":"live/job/job-1"}]}'
)


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        ((200, b'{"ledger":432}'), TransactionResult(TransactionStatus.COMMITTED, 432)),
        (
            (409, b'{"failed":["final/job-1"],"ledger":431}'),
            TransactionResult(TransactionStatus.CONFLICT, 431, ["final/job-1"]),
        ),
        ((429, b'{"error":"rate"}'), TransactionResult(TransactionStatus.NOT_EXECUTED)),
        ((503, b'{"error":"trouble"}'), TransactionResult(TransactionStatus.NOT_EXECUTED)),
        ((400, b'{"error":"no such lease"}'), TransactionResult(TransactionStatus.NO_LEASE)),
        ((400, b'{"error":"malformed"}'), TransactionResult(TransactionStatus.INVALID)),
        ((200, b"nonsense"), TransactionResult(TransactionStatus.UNKNOWN)),
        (NoAnswerError("timed out", True), TransactionResult(TransactionStatus.UNKNOWN)),
        (NoAnswerError("refused", False), TransactionResult(TransactionStatus.NOT_EXECUTED)),
    ],
    ids=["done", "conflict", "rate", "outage", "no-lease", "malformed", "unreadable", "no-answer", "not-sent"],
)
def test_a_transaction_is_sent_and_its_answer_understood(
    answer: Answer | NoAnswerError, outcome: TransactionResult
) -> None:
    result, sent = with_store(lambda store: store.txn(TXN), answer)

    assert sent == [("POST", "/txn", TXN_BYTES)]
    assert result == outcome


def test_a_transaction_of_a_later_history_has_its_keys_and_its_marker() -> None:
    guard = HistoryGuard()
    assert guard.open(HistoryRecord("9f2c", 2), 40, 50, float("inf"))

    result, sent = with_store(lambda store: store.txn(TXN), (200, b'{"ledger":51}'), history=guard)

    assert result == TransactionResult(TransactionStatus.COMMITTED, 51)
    assert sent == [
        (
            "POST",
            "/txn",
            b'{"guards":[{"key":"h2.9f2c/final/job-1","stamp":0},{"key":"history/open/9f2c","stamp":40}],'
            b'"then":[{"write":"h2.9f2c/final/job-1","value":{"state":"done","tasks":2},"tether":7},'
            b'{"drop":"h2.9f2c/live/job/job-1"}]}',
        )
    ]


def test_reads_in_a_later_history_ask_for_its_keys_and_its_marker() -> None:
    guard = HistoryGuard()
    assert guard.open(HistoryRecord("9f2c", 2), 40, 50, float("inf"))

    item, sent = with_store(
        lambda store: store.get("final/job-1"),
        (404, b'{"ledger":51}'),
        (200, b'{"key":"history/open/9f2c","value":{"number":2},"stamp":40}'),
        history=guard,
    )

    assert item is None
    assert sent == [("GET", "/kv/h2.9f2c/final/job-1", None), ("GET", "/kv/history/open/9f2c", None)]


def test_a_lease_is_asked_for_in_milliseconds() -> None:
    lease, sent = with_store(lambda store: store.grant(4.0), (200, b'{"tether":7}'))
    assert (lease, sent) == (7, [("POST", "/grants", b'{"life_ms":4000}')])


@pytest.mark.parametrize(("status", "renewed"), [(200, True), (404, False), (503, None)])
def test_a_lease_is_renewed_by_its_number(status: int, renewed: bool | None) -> None:
    result, sent = with_store(lambda store: store.extend(7), (status, b"{}"))
    assert (result, sent) == (renewed, [("POST", "/grants/7/extend", b"{}")])


# The cloud


def test_the_price_list_is_asked_for() -> None:
    types, sent = with_cloud(
        lambda cloud: cloud.machine_types(),
        (
            200,
            b'{"builds":[{"sku":"g8","vcpus":96,"gpus":8,"memory_gb":768,"hourly":12.0,"spot_price":4.5,'
            b'"boot_s":45,"districts":["a"]}]}',
        ),
    )
    assert sent == [("GET", "/machine_types", None)]
    assert [machine_type.name for machine_type in types] == ["g8"]


def test_the_list_of_machines_is_asked_for_by_pages() -> None:
    machines, sent = with_cloud(
        lambda cloud: cloud.machines(),
        (
            200,
            b'{"crofts":[{"ref":"vm-000230","addr":"10.1.0.1:9000","build":"g8","district":"a","lendable":true,'
            b'"standing":"booting","held_s":1.5}],"has_next":true}',
        ),
        (
            200,
            b'{"crofts":[{"ref":"vm-000231","addr":"10.1.0.2:9000","build":"g8","district":"a","lendable":true,'
            b'"standing":"failed","held_s":0}],"has_next":false}',
        ),
    )
    assert sent == [("GET", "/machines?most=500", None), ("GET", "/machines?from=vm-000230&most=500", None)]
    assert [machine.id for machine in machines] == ["vm-000230", "vm-000231"]


RENTAL = wire.ScaleOutRequest("r-17", "g8", "a", True, 12)


def test_machines_are_requested_and_released() -> None:
    async def story(cloud: Cloud) -> list[str]:
        names = await cloud.scale_out(RENTAL, lambda: True)
        await cloud.release(names, lambda: True)
        return names

    names, sent = with_cloud(story, (200, b'{"crofts":["vm-000231"]}'), (200, b"{}"))

    assert names == ["vm-000231"]
    assert sent == [
        ("POST", "/machines", b'{"hire":"r-17","build":"g8","district":"a","lendable":true,"how_many":12}'),
        ("POST", "/machines/release", b'{"crofts":["vm-000231"]}'),
    ]


def test_no_capacity_is_told_from_an_outage() -> None:
    with pytest.raises(NoCapacityError):
        with_cloud(lambda cloud: cloud.scale_out(RENTAL, lambda: True), (503, b'{"error":"no capacity"}'))
    with pytest.raises(CloudError, match="status 503"):
        with_cloud(lambda cloud: cloud.scale_out(RENTAL, lambda: True), (503, b'{"error":"trouble"}'))
    with pytest.raises(CloudError, match="status 429"):
        with_cloud(lambda cloud: cloud.scale_out(RENTAL, lambda: True), (429, b"{}"))


# The archive's server and its client

HEAD_BYTES = (
    b'{"history":{"name":"9f2c","number":2,"epoch":0,"packed":0,"uncertain":false,"parent":"","archived_answers":false,'
    b'"installation":"","seeded":false},"revision":431,"records":2}'
)
PAGE_BYTES = (
    b"\x83\xa8revision\xcd\x01\xaf\xa7records\x92\x93\xabfinal/job-1\x09\xc4\x1a" + b'{"state":"done","tasks":2}'
    b"\x93\xablive/part/a\x0a\xc4\x02{}\xa8position\x00"
)


def _archive() -> ArchiveServer:
    entries = [Entry(9, "final/job-1", b'{"state":"done","tasks":2}'), Entry(10, "live/part/a", b"{}")]
    point = ArchivedState("9f2c", 2, 431, {entry.key: entry for entry in entries})
    return ArchiveServer(lambda: point, lambda name: None)


@pytest.mark.parametrize(
    ("method", "target", "status", "body"),
    [
        ("GET", "/archive/head", 200, HEAD_BYTES),
        ("GET", "/archive/records?history=9f2c&position=0", 200, PAGE_BYTES),
        ("GET", "/archive/records?history=zz&position=0", 404, b'{"error":"history: not archived here"}'),
        ("GET", "/archive/records?history=9f2c&position=x", 400, b'{"error":"position: a count is expected"}'),
        ("GET", "/elsewhere", 404, b'{"error":"no such path"}'),
        ("POST", "/archive/head", 405, b'{"error":"use GET"}'),
    ],
    ids=["head", "records", "unknown-history", "bad-position", "unknown-path", "method"],
)
def test_the_archive_answers_with_exactly_these_bytes(method: str, target: str, status: int, body: bytes) -> None:
    response = curio.run(_archive().handle, Request(method, target, b""))
    assert (response.status, response.body) == (status, body)


def test_an_empty_archive_has_a_head_without_a_history() -> None:
    server = ArchiveServer(lambda: None, lambda name: None)
    response = curio.run(server.handle, Request("GET", "/archive/head", b""))
    assert (response.status, response.body) == (200, b'{"history":null,"revision":0,"records":0}')


def test_the_head_of_the_archive_is_asked_for() -> None:
    client = RecordingClient([(200, HEAD_BYTES)])
    head = curio.run(copies.archive_head, client, 1.0)
    assert client.sent == [("GET", "/archive/head", None)]
    assert head == ArchiveHead(HistoryRecord("9f2c", 2), 431, 2)


def test_the_records_of_the_archive_are_asked_for_by_pages() -> None:
    first = (
        b"\x83\xa8revision\xcd\x01\xaf\xa7records\x91\x93\xabfinal/job-1\x09\xc4\x1a"
        b'{"state":"done","tasks":2}\xa8position\x01'
    )
    last = b"\x83\xa8revision\xcd\x01\xaf\xa7records\x91\x93\xablive/part/a\x0a\xc4\x02{}\xa8position\x00"
    client = RecordingClient([(200, first), (200, last)])

    source = curio.run(copies.archive_source, client, "9f2c")

    assert client.sent == [
        ("GET", "/archive/records?history=9f2c&position=0", None),
        ("GET", "/archive/records?history=9f2c&position=1", None),
    ]
    assert source is not None
    assert source.revision == 431


# HTTP


@pytest.mark.parametrize(
    ("method", "target", "body", "sent"),
    [
        ("GET", "/kv/live/leader", None, b"GET /kv/live/leader HTTP/1.1\r\nHost: 10.2.0.1:2379\r\n\r\n"),
        (
            "POST",
            "/txn",
            b"{}",
            b"POST /txn HTTP/1.1\r\nHost: 10.2.0.1:2379\r\nContent-Type: application/json\r\n"
            b"Content-Length: 2\r\n\r\n{}",
        ),
    ],
    ids=["without-body", "with-body"],
)
def test_a_request_is_sent_as_exactly_these_bytes(method: str, target: str, body: bytes | None, sent: bytes) -> None:
    assert render_request(method, "10.2.0.1:2379", target, body) == sent


def test_a_response_is_understood() -> None:
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 409 Conflict\r\nContent-Length: 14\r\n\r\n" + b'{"ledger":431}')
    assert (parser.status, parser.body, parser.complete, parser.keep_alive) == (409, b'{"ledger":431}', True, True)
