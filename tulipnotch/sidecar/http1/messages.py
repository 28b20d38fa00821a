"""HTTP/1.1 requests and responses, and how they are encoded; no sockets and no parsing."""

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
    """A request, as it was received or as it is sent.

    Attributes:
        headers: Their names are in lower case.
        is_chunked: Whether it is sent with the chunked transfer coding.
        knows_chunks: Whether its sender can read a chunked response, as of HTTP/1.1.
        length: The length of the body as announced by the head; None: not announced.
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
        """Return the head and the buffered part of the body."""
        head = b"%s %s HTTP/1.1\r\n%s\r\n" % (self.method, self.target, _header_lines(self.headers))
        return head + self.encode_body_part(bytes(self.body.buffered))

    def encode_body_part(self, data: bytes) -> bytes:
        """Return a further part of the body as it is sent."""
        return encode_chunk(data) if self.is_chunked else data

    @property
    def body_terminator(self) -> bytes:
        """What follows the last byte of the body."""
        return LAST_CHUNK if self.is_chunked else b""


@dataclass(slots=True)
class Response:
    """A response: complete, or the head and the first bytes of a streamed one.

    Attributes:
        length: The length of the body as announced by the head; None: not announced.
    """

    status: int
    headers: Headers
    body: bytes = b""
    length: int | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return next((value for key, value in self.headers if key == name), None)

    def header_values(self, name: bytes) -> set[bytes]:
        """Return all values of a header; more than one where its lines contradict each other."""
        return {value for key, value in self.headers if key == name}

    def encode(self, *, with_body: bool = True) -> bytes:
        """Return all its bytes with its length; without the body where the request allows none."""
        if with_body:
            return self.encode_head([(b"content-length", b"%d" % len(self.body))]) + self.body
        return self.encode_head([] if self.length is None else [(b"content-length", b"%d" % self.length)])

    def encode_head(self, framing: Headers) -> bytes:
        """Return the head, with the headers that frame the body."""
        reason = _REASON_PHRASES.get(self.status, b"")
        return b"HTTP/1.1 %d %s\r\n%s\r\n" % (self.status, reason, _header_lines([*self.headers, *framing]))


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; nothing for no data, since an empty chunk ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def _header_lines(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    return b"".join([b"%s: %s\r\n" % pair for pair in headers])
