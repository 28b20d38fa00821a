"""Reading the requests of one client connection."""

from __future__ import annotations

import httptools

from tulipnotch.sidecar.http1.body import MAX_BODY_BYTES, Body
from tulipnotch.sidecar.http1.message_reader import MessageReader, PartialMessage
from tulipnotch.sidecar.http1.messages import Request

MAX_HEAD_BYTES = 16 << 10


class RequestReader(MessageReader):
    """Reads the requests of one connection.

    A request is added to `requests` once it is complete, or once its body is longer than what is buffered of
    it: the remaining part is then fed to its body as it is received.

    Attributes:
        requests: Requests that were read and not taken yet, the oldest first.
        fault: The status with which to reject what was received; once set, nothing more is read.
        awaits_continue: Whether the client waits for a 100 response before it sends the body.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Reject requests whose bodies are longer than `max_body_bytes`."""
        self.requests: list[Request] = []  # a list, since an empty deque takes half a KiB
        self.error_status: int | None = None
        self.awaits_continue = False
        self._max_body_bytes = max_body_bytes
        self._part: PartialMessage | None = None
        self._body = Body(is_complete=False)  # of the request in progress
        self._is_queued = False  # whether the request in progress is in `requests` already
        self._head_bytes = 0  # received of an incomplete head
        self._parser = httptools.HttpRequestParser(self)

    def release(self) -> None:
        """Read no more, and free all that was read."""
        self._reject(400)
        self.requests.clear()
        self._body.detach()
        self._body = Body()
        super().release()

    @property
    def has_head(self) -> bool:
        """Whether the head of the request in progress is complete."""
        return self._part is not None and self._part.has_head

    def feed(self, data: bytes) -> None:
        """Read bytes that were received; sets `fault` where they are no acceptable request."""
        if self.error_status is not None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400)
        if self._part is None or self._part.has_head:
            self._head_bytes = 0
        else:
            # Limits memory: the parser buffers an incomplete head, however long.
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._reject(431)

    def _reject(self, status: int) -> None:
        if self.error_status is None:
            self.error_status = status

    def on_url(self, url: bytes) -> None:
        """Called by the parser for each part of the target."""
        if self._part is not None:
            self._part.target += url

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head; rejects what the head shows to be unacceptable."""
        part = self._part
        if part is None or self.error_status is not None:
            return
        part.has_head = True
        self._body, self._is_queued = Body(is_complete=False), False
        lengths, codings = part.values(b"content-length"), part.values(b"transfer-encoding")
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            self._reject(505)
        elif codings and [coding.lower() for coding in codings] != [b"chunked"]:
            self._reject(501)
        elif any(int(length) > self._max_body_bytes for length in lengths):
            self._reject(413)
        elif [value.lower() for value in part.values(b"expect")] == [b"100-continue"]:
            self.awaits_continue = True

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each part of a body."""
        if self._part is None or self.error_status is not None:
            return
        if self._body.size + len(data) > self._max_body_bytes:
            self._reject(413)
            return
        self._body.feed(data)
        if self._body.is_streamed and not self._is_queued:
            self._queue_request(self._part)

    def on_message_complete(self) -> None:
        """Called by the parser at the last byte of a request."""
        part, self._part = self._part, None
        self.awaits_continue = False
        if part is None or self.error_status is not None:
            return
        if not self._is_queued:
            self._body.is_complete = True
            self._queue_request(part)
        else:
            self._body.complete()

    def _queue_request(self, part: PartialMessage) -> None:
        self._is_queued = True
        lengths = part.values(b"content-length")
        self.requests.append(
            Request(
                method=self._parser.get_method(),
                target=part.target,
                headers=part.headers,
                body=self._body,
                keep_alive=self._parser.should_keep_alive(),
                accepts_chunked=self._parser.get_http_version() == "1.1",
                length=int(lengths[0]) if lengths else None,
            )
        )
