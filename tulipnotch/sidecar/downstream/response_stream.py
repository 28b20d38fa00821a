"""A streamed response: the framing of its body, and the source of the body."""

from __future__ import annotations

from typing import Protocol

from tulipnotch.sidecar.http1.messages import LAST_CHUNK, Headers, Request, encode_chunk


class ResponseProducer(Protocol):
    """Source of the body of a streamed response, with flow control."""

    def pause(self) -> None:
        """Stops reading from the server while the client does not keep up."""
        ...

    def resume(self) -> None:
        """Resumes reading from the server."""
        ...


class ResponseStream:
    """Encodes one streamed response, from the framing headers in its head to the end of its body."""

    __slots__ = ("_is_chunked", "_length", "producer")

    def __init__(self, request: Request | None, length: int | None, producer: ResponseProducer) -> None:
        """Chooses the framing of the body: by length, by chunks, or by the end of the connection.

        Args:
            request: The request; its `keep_alive` is cleared if the end of the connection frames the body.
            length: The length of the body; None if it is not known.
            producer: The source of the body, which is paused while the client does not read.
        """
        self.producer = producer
        self._length = length
        self._is_chunked = length is None and request is not None and request.accepts_chunked
        if length is None and request is not None and not request.accepts_chunked:
            request.keep_alive = False  # the end of the connection marks the end of the body

    def framing_headers(self) -> Headers:
        """Returns the headers that frame the body."""
        if self._length is not None:
            return [(b"content-length", b"%d" % self._length)]
        return [(b"transfer-encoding", b"chunked")] if self._is_chunked else []

    def encode(self, data: bytes) -> bytes:
        """Returns a part of the body as it is sent."""
        return encode_chunk(data) if self._is_chunked else data

    def encode_end(self) -> bytes:
        """Returns the bytes that mark the end of the body; empty unless it is chunked."""
        return LAST_CHUNK if self._is_chunked else b""
