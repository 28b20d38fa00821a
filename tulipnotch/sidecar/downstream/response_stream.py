"""A response that is streamed: the framing of its body, and the flow control of its producer."""

from __future__ import annotations

from typing import Protocol

from tulipnotch.sidecar.http1.messages import LAST_CHUNK, Headers, Request, encode_chunk


class ResponseProducer(Protocol):
    """The source of a response that is streamed."""

    def pause(self) -> None:
        """Read no more of it: the client does not take it as fast."""
        ...

    def resume(self) -> None:
        """Read on."""
        ...


class ResponseStream:
    """One streamed response, from its head to its end."""

    __slots__ = ("_is_chunked", "_length", "producer")

    def __init__(self, request: Request | None, length: int | None, producer: ResponseProducer) -> None:
        """Choose how the end of the body is marked.

        Args:
            request: The request; it is marked if the connection has to end with the response.
            length: The length of the body; None: not known.
            producer: The source of the body, which is paused while the client does not read.
        """
        self.producer = producer
        self._length = length
        self._is_chunked = length is None and request is not None and request.accepts_chunked
        if length is None and request is not None and not request.accepts_chunked:
            request.keep_alive = False  # only the end of the connection tells where the body ends

    def framing(self) -> Headers:
        """Return the headers that frame the body."""
        if self._length is not None:
            return [(b"content-length", b"%d" % self._length)]
        return [(b"transfer-encoding", b"chunked")] if self._is_chunked else []

    def encode(self, piece: bytes) -> bytes:
        """Return a piece of the body as it is sent."""
        return encode_chunk(piece) if self._is_chunked else piece

    def encode_end(self) -> bytes:
        """Return what marks the end of the body; empty if it is not marked."""
        return LAST_CHUNK if self._is_chunked else b""
