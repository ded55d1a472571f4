"""HTTP/1.1 messages: parsing what arrives, with httptools, and rendering what is sent. No I/O."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

from spurarch.errors import SpurarchError

MAX_BODY = 64 * 1024  # bytes of a request's body
MAX_HEAD = 16 * 1024  # bytes of a request's first line and headers
REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_TARGET = re.compile(r"[!-~]+")


@dataclass(slots=True)
class Request:
    """A request as the server read it."""

    method: str
    target: str
    body: bytes


@dataclass(slots=True)
class Response:
    """A handler's answer: a JSON body and any extra headers."""

    status: int
    body: bytes = b"{}"
    headers: list[tuple[str, str]] = field(default_factory=list)


Handler = Callable[[Request], Awaitable[Response]]


class MessageError(SpurarchError):
    """What arrived is no acceptable HTTP request; `response` is the refusal for its sender."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.response = error_response(status, reason)


def error_response(status: int, message: str) -> Response:
    """A refusal in the common form."""
    return Response(status, b'{"error":"%s"}' % message.encode())


class RequestParser:
    """Parses the bytes of one server connection into requests, in their order."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._requests: list[Request] = []
        self._refusal: MessageError | None = None
        self.closing = False  # the connection ends after the requests that have been read
        self._begin()

    def _begin(self) -> None:
        self._url = b""
        self._parts: list[bytes] = []
        self._head_bytes = self._body_bytes = self._hosts = 0
        self._head_done = self._expects_continue = self.started = False

    def feed(self, data: bytes) -> None:
        """Parses more bytes; raises MessageError if they can't be part of an acceptable request."""
        self.started = True
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.closing = True  # nothing here speaks another protocol; the request itself is answered
        except httptools.HttpParserError as err:
            raise MessageError(400, "malformed request") from err
        if not self._head_done and self._head_bytes > MAX_HEAD:
            self._refusal = MessageError(431, "head too large")
        if self._refusal is not None:
            raise self._refusal

    def next_request(self) -> Request | None:
        """The next complete request, if there is one."""
        return self._requests.pop(0) if self._requests else None

    def wants_continue(self) -> bool:
        """The client waits for a 100 response before it sends its body; true once for each request."""
        wanted, self._expects_continue = self._expects_continue, False
        return wanted and not self._parts

    # Called by httptools

    def on_url(self, url: bytes) -> None:
        """A piece of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header."""
        if len(name) == 4 and name.lower() == b"host":
            self._hosts += 1
        elif len(name) == 6 and name.lower() == b"expect":
            self._expects_continue = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        """All headers have come."""
        self._head_done = True

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY:
            self._refusal = MessageError(413, "body too large")
        else:
            self._parts.append(body)

    def on_message_complete(self) -> None:
        """All of the request has come."""
        if self._hosts > 1 or (self._hosts == 0 and self._parser.get_http_version() != "1.0"):
            self._refusal = MessageError(400, "one Host header is needed")
        method = self._parser.get_method().decode("ascii")
        self._requests.append(Request(method, self._url.decode("latin-1"), b"".join(self._parts)))
        self.closing = not self._parser.should_keep_alive()
        self._begin()


class ResponseParser:
    """Parses the bytes of one response."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._head_done = self._sized = False
        self.complete = False
        self.keep_alive = False
        self.status = 0

    def feed(self, data: bytes) -> None:
        """Parses more bytes, none if the connection has ended; raises OSError if they can't be part of a response."""
        if not data:
            if not self._head_done or self._sized:
                raise ConnectionResetError("closed before the answer")
            self.complete = True  # a body without a length ends with the connection
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            raise ConnectionAbortedError(f"malformed answer: {err}") from err

    @property
    def body(self) -> bytes:
        """The body so far."""
        return self._parts[0] if len(self._parts) == 1 else b"".join(self._parts)

    # Called by httptools

    def on_header(self, name: bytes, _value: bytes) -> None:
        """One header."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._sized = True

    def on_headers_complete(self) -> None:
        """All headers have come."""
        self.status = self._parser.get_status_code()
        self._head_done = self.status >= 200

    def on_body(self, body: bytes) -> None:
        """A piece of the body."""
        self._parts.append(body)

    def on_message_complete(self) -> None:
        """All of the response has come; interim responses are ignored."""
        if self.status >= 200:
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()


def render_response(response: Response, close: bool = False, without_body: bool = False) -> bytes:
    """The bytes of a response; `without_body` for an answer to HEAD."""
    extra = "".join([f"{name}: {value}\r\n" for name, value in response.headers]) if response.headers else ""
    if close:
        extra += "Connection: close\r\n"
    head = (
        f"HTTP/1.1 {response.status} {REASONS.get(response.status, '')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(response.body)}\r\n{extra}\r\n"
    )
    return head.encode("latin-1") + (b"" if without_body else response.body)


def render_request(method: str, host: str, target: str, body: bytes | None) -> bytes:
    """The bytes of a request; raises ValueError for a target that can't be sent."""
    if not _TARGET.fullmatch(target):
        raise ValueError(f"invalid target {target!r}")
    if body is None:
        return f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("ascii")
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body
