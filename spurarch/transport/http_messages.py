"""HTTP/1.1 messages: parsing with httptools and rendering. No I/O."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

from spurarch.errors import SpurarchError

MAX_BODY_BYTES = 64 * 1024  # bytes of a request body
MAX_HEAD_BYTES = 16 * 1024  # bytes of a request line and its headers
REFUSED_BODY_BEGINNING = 100  # bytes of a body that is too long which are logged; a heartbeat begins with its machine
REASON_PHRASES = {
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
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_TARGET = re.compile(r"[!-~]+")


@dataclass(slots=True)
class Request:
    """A received request; `target` is its path with the query string."""

    method: str
    target: str
    body: bytes


@dataclass(slots=True)
class Response:
    """A response with a JSON body and additional headers."""

    status: int
    body: bytes = b"{}"
    headers: list[tuple[str, str]] = field(default_factory=list)


Handler = Callable[[Request], Awaitable[Response]]


@dataclass(slots=True, frozen=True)
class RefusedBody:
    """A request body that is too long: the request's target, the body's size as announced, and its first bytes."""

    target: str
    size: int
    beginning: bytes


class MessageError(SpurarchError):
    """The received bytes are not an acceptable HTTP request.

    Attributes:
        response: The error response to send.
        refused_body: What is known of a body that is too long; None if that isn't the error.
    """

    def __init__(self, status: int, reason: str, refused_body: RefusedBody | None = None) -> None:
        super().__init__(reason)
        self.response = error_response(status, reason)
        self.refused_body = refused_body


def error_response(status: int, message: str) -> Response:
    """Returns an error response; `message` is put into JSON without escaping."""
    return Response(status, b'{"error":"%s"}' % message.encode())


class RequestParser:
    """Parses the bytes of a server connection into requests, in their order."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._requests: list[Request] = []
        self._pending_error: MessageError | None = None  # raised by `feed`, since httptools would wrap it
        self.closing = False  # the connection is closed after the responses to the requests parsed so far
        self._begin()

    def _begin(self) -> None:
        self._url = b""
        self._body_parts: list[bytes] = []
        self._head_bytes = self._body_bytes = self._host_header_count = 0
        self._announced_size = b""
        self._head_done = self._expects_continue = self.started = False

    def feed(self, data: bytes) -> None:
        """Parses more bytes. Raises MessageError if they can't be part of an acceptable request."""
        self.started = True
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.closing = True  # no other protocol is supported; the request itself is answered
        except httptools.HttpParserError as err:
            raise MessageError(400, "malformed request") from err
        if not self._head_done and self._head_bytes > MAX_HEAD_BYTES:
            self._pending_error = MessageError(431, "head too large")
        if self._pending_error is not None:
            raise self._pending_error

    def next_request(self) -> Request | None:
        """Removes and returns the next complete request; None if there is none."""
        return self._requests.pop(0) if self._requests else None

    def take_continue_request(self) -> bool:
        """Returns whether the client waits for a 100 response before its body; True at most once per request."""
        wanted, self._expects_continue = self._expects_continue, False
        return wanted and not self._body_parts

    # Callbacks of httptools

    def on_url(self, url: bytes) -> None:
        """Adds a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Counts Host headers, and notes the size of the body and an expected 100 response."""
        if len(name) == 4 and name.lower() == b"host":
            self._host_header_count += 1
        elif len(name) == 6 and name.lower() == b"expect":
            self._expects_continue = value.lower() == b"100-continue"
        elif len(name) == 14 and name.lower() == b"content-length":
            self._announced_size = value

    def on_headers_complete(self) -> None:
        """Marks the head as complete."""
        self._head_done = True

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body, up to MAX_BODY_BYTES."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            announced = int(self._announced_size) if self._announced_size.isdigit() else 0  # none if sent in chunks
            size = max(announced, self._body_bytes)
            beginning = b"".join([*self._body_parts, body])[:REFUSED_BODY_BEGINNING]
            refused_body = RefusedBody(self._url.decode("latin-1"), size, beginning)
            self._pending_error = MessageError(413, "body too large", refused_body)
        else:
            self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Adds the complete request to those that `next_request` returns."""
        if self._host_header_count > 1 or (self._host_header_count == 0 and self._parser.get_http_version() != "1.0"):
            self._pending_error = MessageError(400, "one Host header is needed")
        method = self._parser.get_method().decode("ascii")
        self._requests.append(Request(method, self._url.decode("latin-1"), b"".join(self._body_parts)))
        self.closing = not self._parser.should_keep_alive()
        self._begin()


class ResponseParser:
    """Parses the bytes of one response. `status` is 0 until the head has been received."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body_parts: list[bytes] = []
        self._head_done = self._has_body_length = False
        self.complete = False
        self.keep_alive = False
        self.status = 0

    def feed(self, data: bytes) -> None:
        """Parses more bytes; empty `data` is the end of the connection. Raises OSError if the response is invalid."""
        if not data:
            if not self._head_done or self._has_body_length:
                raise ConnectionResetError("closed before the answer")
            self.complete = True  # a body without a length ends with the connection
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            raise ConnectionAbortedError(f"malformed answer: {err}") from err

    @property
    def body(self) -> bytes:
        """The part of the body received so far."""
        return self._body_parts[0] if len(self._body_parts) == 1 else b"".join(self._body_parts)

    # Callbacks of httptools

    def on_header(self, name: bytes, _value: bytes) -> None:
        """Notes whether the headers give the end of the body."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._has_body_length = True

    def on_headers_complete(self) -> None:
        """Reads the status; interim responses (1xx) don't complete the head."""
        self.status = self._parser.get_status_code()
        self._head_done = self.status >= 200

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body."""
        self._body_parts.append(body)

    def on_message_complete(self) -> None:
        """Marks the response as complete; interim responses (1xx) are ignored."""
        if self.status >= 200:
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()


def render_response(response: Response, close: bool = False, without_body: bool = False) -> bytes:
    """Returns the bytes of a response; `without_body` is for responses to HEAD."""
    extra = "".join([f"{name}: {value}\r\n" for name, value in response.headers]) if response.headers else ""
    if close:
        extra += "Connection: close\r\n"
    head = (
        f"HTTP/1.1 {response.status} {REASON_PHRASES.get(response.status, '')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(response.body)}\r\n{extra}\r\n"
    )
    return head.encode("latin-1") + (b"" if without_body else response.body)


def render_request(method: str, host: str, target: str, body: bytes | None) -> bytes:
    """Returns the bytes of a request. Raises ValueError unless the target is one or more visible ASCII characters."""
    if not _TARGET.fullmatch(target):
        raise ValueError(f"invalid target {target!r}")
    if body is None:
        return f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("ascii")
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body
