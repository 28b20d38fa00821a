"""Reader for the requests of one client connection."""

from __future__ import annotations

import httptools

from tulipnotch.sidecar.http1.body import MAX_BODY_BYTES, Body
from tulipnotch.sidecar.http1.message_reader import MessageReader, PartialMessage
from tulipnotch.sidecar.http1.messages import Request


class RequestReader(MessageReader):
    """Reads the requests of one connection.

    A request is added to `requests` once it is complete, or once its body is longer than what is buffered
    of it.  In the second case, the rest is added to its body as it is received.

    Attributes:
        requests: Requests that were read, the oldest first; the caller removes them.
        error_status: The status code with which to reject the input; once set, nothing more is read.
        awaits_continue: Whether the client waits for a 100 response before it sends the body.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Creates a reader that rejects requests whose bodies are longer than `max_body_bytes`."""
        self.requests: list[Request] = []  # not a deque, which takes half a KiB even when it is empty
        self.error_status: int | None = None
        self.awaits_continue = False
        self._max_body_bytes = max_body_bytes
        self._message: PartialMessage | None = None
        self._body = Body(is_complete=False)  # body of the request in progress
        self._is_queued = False  # whether the request in progress was added to `requests`
        self._parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)

    def release(self) -> None:
        """Stops reading and frees everything that was read."""
        self._reject(400)
        self.requests.clear()
        self._body.detach()
        self._body = Body()
        super().release()

    @property
    def has_head(self) -> bool:
        """Whether the head of the request in progress is complete."""
        return self._message is not None and self._message.has_head

    def feed(self, data: bytes) -> None:
        """Parses bytes that were received; sets `error_status` if they are not an acceptable request."""
        if self.error_status is not None:
            return
        try:
            self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(400)
        if self._is_head_too_large:
            self._reject(431)

    def _reject(self, status: int) -> None:
        if self.error_status is None:
            self.error_status = status

    def on_url(self, url: bytes) -> None:
        """Called by the parser for each part of the request target."""
        if self._message is not None:
            self._message.target += url

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head; rejects a request whose head is not acceptable."""
        self._has_progress = True
        message = self._message
        if message is None or self.error_status is not None:
            return
        message.has_head = True
        self._body, self._is_queued = Body(is_complete=False), False
        lengths, codings = (
            message.header_values(b"content-length"),
            message.header_values(b"transfer-encoding"),
        )
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            self._reject(505)
        elif codings and [coding.lower() for coding in codings] != [b"chunked"]:
            self._reject(501)
        elif any(int(length) > self._max_body_bytes for length in lengths):
            self._reject(413)
        elif [value.lower() for value in message.header_values(b"expect")] == [b"100-continue"]:
            self.awaits_continue = True

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each part of a body."""
        self._has_progress = True
        if self._message is None or self.error_status is not None:
            return
        if self._body.size + len(data) > self._max_body_bytes:
            self._reject(413)
            return
        self._body.feed(data)
        if self._body.is_streamed and not self._is_queued:
            self._queue_request(self._message)

    def on_message_complete(self) -> None:
        """Called by the parser at the last byte of a request."""
        self._has_progress = True
        message, self._message = self._message, None
        self.awaits_continue = False
        if message is None or self.error_status is not None:
            return
        if not self._is_queued:
            self._body.is_complete = True
            self._queue_request(message)
        else:
            self._body.complete()

    def _queue_request(self, message: PartialMessage) -> None:
        self._is_queued = True
        lengths = message.header_values(b"content-length")
        self.requests.append(
            Request(
                method=self._parser.get_method(),
                target=message.target,
                headers=message.headers,
                body=self._body,
                keep_alive=self._parser.should_keep_alive(),
                accepts_chunked=self._parser.get_http_version() == "1.1",
                length=int(lengths[0]) if lengths else None,
            )
        )
