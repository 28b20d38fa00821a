"""HTTP/1.1 requests and responses and their encoding; neither sockets nor parsing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

from tulipnotch.sidecar.http1.body import Body

Headers = list[tuple[bytes, bytes]]

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


@dataclass(slots=True)
class Request:
    """A request that was received or is to be sent.

    Attributes:
        headers: The headers, with their names in lower case.
        keep_alive: Whether the connection stays open after the response.
        is_chunked: Whether it is sent with the chunked transfer coding.
        accepts_chunked: Whether its sender accepts a chunked response, as every HTTP/1.1 client does.
        length: The length of the body as announced in the head; None if it was not announced.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: Body = field(default_factory=Body)
    keep_alive: bool = True
    is_chunked: bool = False
    accepts_chunked: bool = True
    length: int | None = None

    def encode_head_and_buffered_body(self) -> bytes:
        """Returns the head and the buffered part of the body as they are sent."""
        head = b"%s %s HTTP/1.1\r\n%s\r\n" % (self.method, self.target, _encode_headers(self.headers))
        return head + self.encode_body_part(self.body.buffered)

    def encode_body_part(self, data: bytes) -> bytes:
        """Returns a part of the body as it is sent."""
        return encode_chunk(data) if self.is_chunked else data

    @property
    def body_terminator(self) -> bytes:
        """The bytes that are sent after the last part of the body."""
        return LAST_CHUNK if self.is_chunked else b""


@dataclass(slots=True)
class Response:
    """A complete response, or the head of a streamed one.

    Attributes:
        headers: The headers, with their names in lower case.
        length: The length of the body as announced in the head; None if it was not announced.
    """

    status: int
    headers: Headers
    body: bytes = b""
    length: int | None = None

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; None if it is missing."""
        return next((value for key, value in self.headers if key == name), None)

    def header_values(self, name: bytes) -> set[bytes]:
        """Returns the distinct values of a header; more than one if its lines contradict each other."""
        return {value for key, value in self.headers if key == name}

    def encode(self, *, with_body: bool = True) -> bytes:
        """Returns the complete response as it is sent; without a body if it responds to a HEAD request."""
        if with_body:
            return self.encode_head([(b"content-length", b"%d" % len(self.body))]) + self.body
        return self.encode_head([] if self.length is None else [(b"content-length", b"%d" % self.length)])

    def encode_head(self, framing: Headers) -> bytes:
        """Returns the head as it is sent; `framing` has the headers that frame the body."""
        reason = _REASON_PHRASES.get(self.status, b"")
        return b"HTTP/1.1 %d %s\r\n%s\r\n" % (self.status, reason, _encode_headers([*self.headers, *framing]))


def encode_chunk(data: bytes) -> bytes:
    """Returns data as one chunk of a chunked body; nothing for no data, as an empty chunk ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def _encode_headers(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join([b"%s: %s\r\n" % pair for pair in headers])
