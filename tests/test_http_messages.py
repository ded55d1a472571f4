"""Parsing and rendering of HTTP messages, which may arrive in any pieces and may be malformed; no I/O."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from spurarch.transport.http_messages import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MessageError,
    Request,
    RequestParser,
    Response,
    ResponseParser,
    render_request,
    render_response,
)

POST = b"POST /agent/beat HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = b"POST /x HTTP/1.1\r\nhost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
GET = b"GET /up?x=%20 HTTP/1.1\r\nHOST: a\r\n\r\n"


def requests_of(parser: RequestParser) -> list[Request]:
    out = []
    while (request := parser.next_request()) is not None:
        out.append(request)
    return out


@settings(max_examples=60)
@given(st.lists(st.integers(0, len(POST + CHUNKED + GET)), max_size=12))
def test_requests_are_the_same_in_whatever_pieces_they_come(cuts: list[int]) -> None:
    stream, parser, got = POST + CHUNKED + GET, RequestParser(), []
    edges = [0, *sorted(cuts), len(stream)]
    for begin, end in pairwise(edges):
        if begin < end:
            parser.feed(stream[begin:end])
            got += requests_of(parser)
    assert got == [
        Request("POST", "/agent/beat", b"body"),
        Request("POST", "/x", b"abcde"),
        Request("GET", "/up?x=%20", b""),
    ]
    assert not parser.started
    assert not parser.closing


@pytest.mark.parametrize(
    ("raw", "closing"),
    [
        (GET, False),
        (b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", True),
        (b"GET / HTTP/1.0\r\n\r\n", True),
        (b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", False),
        (b"GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n", True),
    ],
    ids=["open", "close", "old", "old-open", "upgrade"],
)
def test_the_connection_closes_when_the_client_requests_it(raw: bytes, closing: bool) -> None:
    parser = RequestParser()
    parser.feed(raw)
    assert len(requests_of(parser)) == 1
    assert parser.closing is closing


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        (b"GET  HTTP/1.1\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nBad Name: x\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            + (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * (MAX_BODY_BYTES // 0x4000 + 1),
            413,
        ),
        (b"GET /" + b"x" * MAX_HEAD_BYTES, 431),
    ],
)
def test_a_malformed_or_oversized_request_is_refused(raw: bytes, status: int) -> None:
    parser = RequestParser()
    with pytest.raises(MessageError) as refused:
        parser.feed(raw)
    assert refused.value.response.status == status


def test_expect_100_continue_is_reported_once() -> None:
    parser = RequestParser()
    parser.feed(b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
    assert parser.take_continue_request()
    assert not parser.take_continue_request()
    parser.feed(b"ab")
    assert requests_of(parser) == [Request("POST", "/", b"ab")]


def test_a_rendered_response_is_parsed_to_the_same_response() -> None:
    response = Response(421, b'{"steward":"n"}', [("Retry-After", "2")])
    for size in (1, 7, 1000):
        parser, raw = ResponseParser(), render_response(response)
        for at in range(0, len(raw), size):
            assert not parser.complete
            parser.feed(raw[at : at + size])
        assert (parser.status, parser.body, parser.keep_alive) == (421, response.body, True)
    assert b"Retry-After: 2\r\n" in raw
    closed = ResponseParser()
    closed.feed(render_response(response, close=True))
    assert closed.complete
    assert not closed.keep_alive


def test_interim_responses_and_responses_without_a_length_are_parsed() -> None:
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert not parser.complete
    parser.feed(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab")
    parser.feed(b"c")
    assert not parser.complete
    parser.feed(b"")
    assert (parser.complete, parser.status, parser.body, parser.keep_alive) == (True, 200, b"abc", False)


@pytest.mark.parametrize(
    "pieces",
    [[b"nonsense\r\n\r\n"], [b""], [b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", b""], [b"HTTP/1.1 2", b""]],
)
def test_a_malformed_or_incomplete_response_raises_an_error(pieces: list[bytes]) -> None:
    parser = ResponseParser()
    for piece in pieces[:-1]:
        parser.feed(piece)
    with pytest.raises(OSError, match=r"malformed|closed"):
        parser.feed(pieces[-1])


def test_an_invalid_request_target_is_refused() -> None:
    assert render_request("GET", "h:1", "/kv/a", None) == b"GET /kv/a HTTP/1.1\r\nHost: h:1\r\n\r\n"
    for target in ("/kv/a b", "/kv/a\r\nX: y", "/kv/\xe9", ""):
        with pytest.raises(ValueError, match="invalid target"):
            render_request("GET", "h:1", target, None)
