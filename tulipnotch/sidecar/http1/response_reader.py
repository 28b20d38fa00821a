"""Reading the responses of one connection to a server, one at a time."""

from __future__ import annotations

from enum import Enum, auto, unique

import httptools

from tulipnotch.sidecar.http1.message_reader import MessageReader, PartialMessage
from tulipnotch.sidecar.http1.messages import Response

# Bytes of a body of unannounced length that start its streaming: fewer than are buffered, so that the first
# ones reach the client early.
_STREAM_START_BYTES = 16 << 10
_MAX_INTERIM_RESPONSES = 8  # 1xx responses ahead of the final one


@unique
class _Progress(Enum):
    """How far the response is that is due."""

    INCOMPLETE = auto()
    COMPLETE = auto()
    MALFORMED = auto()


class ResponseReader(MessageReader):
    """Reads the one response that is due on a connection, and detects data beyond it.

    Attributes:
        head: The head of the response, once that was received; without the body.
        keep_alive: Whether the connection can carry another exchange, once the response is complete.
        has_excess_data: Whether data followed the response.
    """

    def __init__(self, max_buffered_bytes: int, max_body_bytes: int | None = None) -> None:
        """Limit bodies.

        Args:
            max_buffered_bytes: Length of a body from which on it is to be streamed.
            max_body_bytes: Length from which on a response is malformed; None: the same.
        """
        self.keep_alive = False
        self.has_excess_data = False
        self._max_buffered_bytes = max_buffered_bytes
        self._max_body_bytes = max_body_bytes or max_buffered_bytes
        self._parser = httptools.HttpResponseParser(self)
        self.expect_response()

    def expect_response(self, *, to_head_request: bool = False) -> None:
        """Prepare for the response to a further request."""
        self.head: Response | None = None
        self._progress = _Progress.INCOMPLETE
        self._is_to_head_request = to_head_request
        self._ends_at_close = False  # whether only the connection's end delimits the body
        self._buffered = bytearray()  # of the body, until it is removed
        self._body_bytes = 0  # received of the body
        self._part: PartialMessage | None = None
        self._interim_responses = 0

    def release(self) -> None:
        """Read no more, and free all that was read."""
        self._buffered = bytearray()
        super().release()

    @property
    def is_malformed(self) -> bool:
        """Whether what was received is not HTTP, is ambiguous, or exceeds a limit."""
        return self._progress is _Progress.MALFORMED

    @property
    def response(self) -> Response | None:
        """The response, once it is complete; its body is what was not removed of it."""
        if self._progress is not _Progress.COMPLETE or self.head is None:
            return None
        return Response(self.head.status, self.head.headers, bytes(self._buffered), self.head.length)

    @property
    def head_to_stream(self) -> Response | None:
        """The head of a response whose body is to be streamed from now on; None: buffer what is received.

        A body is streamed if it is longer than the limit on buffered bytes, or may be.
        """
        head = self.head
        if head is None or head.status != 200 or not self._buffered:
            return None
        if head.length is not None:
            return head if head.length > self._max_buffered_bytes else None
        return head if len(self._buffered) > _STREAM_START_BYTES else None

    def pop_buffered_body(self) -> bytes:
        """Remove and return the buffered part of the body."""
        removed = bytes(self._buffered)
        self._buffered.clear()
        return removed

    def feed(self, data: bytes) -> None:
        """Read bytes that were received."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._progress is _Progress.COMPLETE:
                self.has_excess_data = True  # the response itself was in order
            else:
                self._progress = _Progress.MALFORMED

    def feed_eof(self) -> None:
        """Handle an orderly end of the connection, which completes a response that nothing else delimits."""
        if self._ends_at_close and self._part is not None and not self.is_malformed:
            self._complete(keep_alive=False)

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a message."""
        self.has_excess_data = self._progress is _Progress.COMPLETE
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head; rejects what the head shows to be unacceptable."""
        part = self._part
        if part is None:
            return
        part.has_head = True
        status = self._parser.get_status_code()
        if self._progress is _Progress.COMPLETE:
            return
        if status < 200:
            self._interim_responses += 1
            if self._interim_responses > _MAX_INTERIM_RESPONSES:
                self._progress = _Progress.MALFORMED
            return
        lengths = part.values(b"content-length")
        codings = [coding.lower() for coding in part.values(b"transfer-encoding")]
        length = int(lengths[0]) if lengths else None
        if (codings and codings != [b"chunked"]) or (length is not None and length > self._max_body_bytes):
            self._progress = _Progress.MALFORMED  # at once, not after a body that would be discarded
            return
        self.head = Response(status, part.headers, length=length)
        if self._is_to_head_request:
            # The parser expects a body, which is not sent: the connection can't be read any further.
            self.has_excess_data = self.has_excess_data or self.is_malformed
            self._complete(keep_alive=False)
        elif length is None and not codings and status not in (204, 304):
            self._ends_at_close = True

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each part of a body."""
        if self._part is None or self._progress is not _Progress.INCOMPLETE or self.head is None:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            self._progress = _Progress.MALFORMED
        elif self.head.status == 200:
            self._buffered += data
        elif self._body_bytes > self._max_buffered_bytes:
            self._complete(keep_alive=False)  # the text of a long error is not waited for

    def on_message_complete(self) -> None:
        """Called by the parser at the last byte of a response, interim responses included."""
        if self._part is None or self._progress is not _Progress.INCOMPLETE or self.head is None:
            self._part = None
        else:
            self._complete(keep_alive=self._parser.should_keep_alive())

    def _complete(self, *, keep_alive: bool) -> None:
        self._part = None
        self._progress = _Progress.COMPLETE
        self.keep_alive = keep_alive
