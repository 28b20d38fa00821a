"""Reader for the responses on one connection to a server, one at a time."""

from __future__ import annotations

from enum import Enum, auto, unique

import httptools

from tulipnotch.sidecar.http1.message_reader import MessageReader, PartialMessage
from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.http1.response_fault import ResponseFault

# A body without an announced length is streamed once more than this was received.  The limit is lower than
# that on buffered bytes, so that the first bytes reach the client early.
_STREAM_START_BYTES = 16 << 10
_MAX_INTERIM_RESPONSES = 8  # 1xx responses that are accepted before the final response
# Headers that the sidecar interprets or forwards; all others are discarded, so that they take no memory.
_RETAINED_HEADERS = frozenset(
    b"content-length transfer-encoding content-type content-encoding server-load not-started".split()
)
_MAX_RETAINED_LINES = 64  # a server sends each of these headers once


@unique
class _ResponseState(Enum):
    """State of the expected response."""

    INCOMPLETE = auto()
    COMPLETE = auto()
    MALFORMED = auto()  # `ResponseReader.fault` says why


class ResponseReader(MessageReader):
    """Reads the one response that is expected on a connection, and detects data after it.

    Attributes:
        head: The head of the response, without a body; None until the head is complete.
        keep_alive: Whether the connection can carry another exchange; valid once the response is complete.
        has_excess_data: Whether data was received after the response.
        fault: Why the response is malformed; None unless `is_malformed`.
    """

    def __init__(self, max_buffered_bytes: int, max_body_bytes: int | None = None) -> None:
        """Creates a reader for the first response.

        Args:
            max_buffered_bytes: A longer body is streamed.
            max_body_bytes: A response with a longer body is malformed; None: same as `max_buffered_bytes`.
        """
        self.keep_alive = False
        self.has_excess_data = False
        self._max_buffered_bytes = max_buffered_bytes
        self._max_body_bytes = max_body_bytes or max_buffered_bytes
        self._parser: httptools.HttpResponseParser = httptools.HttpResponseParser(self)
        self.expect_response()

    def expect_response(self, *, to_head_request: bool = False) -> None:
        """Prepares for the response to the next request."""
        self.head: Response | None = None
        self.fault: ResponseFault | None = None
        self._state = _ResponseState.INCOMPLETE
        self._is_response_to_head = to_head_request
        self._is_delimited_by_close = False  # whether only the end of the connection delimits the body
        self._buffered_body = bytearray()  # received part of the body that was not removed yet
        self._received_body_bytes = 0  # number of bytes received of the body
        self._message: PartialMessage | None = None
        self._interim_responses = 0

    def release(self) -> None:
        """Stops reading and frees everything that was read."""
        self._buffered_body = bytearray()
        super().release()

    @property
    def is_malformed(self) -> bool:
        """Whether the input is not valid HTTP, is ambiguous, or exceeds a limit."""
        return self._state is _ResponseState.MALFORMED

    @property
    def response(self) -> Response | None:
        """The response, with the part of its body that was not removed yet; None until it is complete."""
        if self._state is not _ResponseState.COMPLETE or self.head is None:
            return None
        return Response(self.head.status, self.head.headers, bytes(self._buffered_body), self.head.length)

    @property
    def head_to_stream(self) -> Response | None:
        """The head of a response whose body is to be streamed from now on; None if it is to be buffered.

        A body is streamed if its announced length exceeds the limit on buffered bytes, or if its length is
        not announced and more than `_STREAM_START_BYTES` were received.  Only 200 responses are streamed.
        """
        head = self.head
        if head is None or head.status != 200 or not self._buffered_body:
            return None
        if head.length is not None:
            return head if head.length > self._max_buffered_bytes else None
        return head if len(self._buffered_body) > _STREAM_START_BYTES else None

    @property
    def may_be_long(self) -> bool:
        """Whether it is a 200 whose body is, or may be, longer than what is buffered."""
        head = self.head
        if head is None or head.status != 200:
            return False
        return head.length is None or head.length > self._max_buffered_bytes

    @property
    def head_to_pass_on(self) -> Response | None:
        """The head of an incomplete response that may be long; without a length, once its body has begun."""
        if not self.may_be_long or self._state is not _ResponseState.INCOMPLETE or self.head is None:
            return None
        has_begun = self.head.length is not None or self._received_body_bytes > 0
        return self.head if has_begun else None

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of the body that are buffered."""
        return len(self._buffered_body)

    @property
    def incomplete_head(self) -> Response | None:
        """The head of a 200 of whose body some was received, but not all; None in any other state."""
        if self._state is not _ResponseState.INCOMPLETE or not self._buffered_body:
            return None
        return self.head

    @property
    def exceeds_buffer(self) -> bool:
        """Whether the body of a 200 is larger than what is buffered of it."""
        if self.head is None or self.head.status != 200:
            return False
        return max(self.head.length or 0, self._received_body_bytes) > self._max_buffered_bytes

    def take_response(self) -> Response | None:
        """Returns the complete response like `response`, and frees the reader's part of its body."""
        response = self.response
        if response is not None:
            self._buffered_body = bytearray()
        return response

    def pop_buffered_body(self) -> bytes:
        """Removes and returns the buffered part of the body."""
        removed = bytes(self._buffered_body)
        self._buffered_body.clear()
        return removed

    def feed(self, data: bytes) -> None:
        """Parses bytes that were received."""
        try:
            self._parse(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._state is _ResponseState.COMPLETE:
                self.has_excess_data = True  # the response before the malformed data was valid
            else:
                self._reject(ResponseFault.INVALID_HTTP)
        if self._is_head_too_large and self._state is _ResponseState.INCOMPLETE:
            self._reject(ResponseFault.HEAD_TOO_LARGE)

    def _reject(self, fault: ResponseFault) -> None:
        self._state = _ResponseState.MALFORMED
        self.fault = self.fault or fault

    def feed_eof(self) -> None:
        """Handles an orderly end of the connection, which completes a response that nothing else delimits."""
        if self._is_delimited_by_close and self._message is not None and not self.is_malformed:
            self._complete_response(keep_alive=False)

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a message."""
        self.has_excess_data = self._state is _ResponseState.COMPLETE
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header and each trailer."""
        if name.lower() not in _RETAINED_HEADERS or self._message is None:
            return
        super().on_header(name, value)
        if len(self._message.headers) > _MAX_RETAINED_LINES and self._state is _ResponseState.INCOMPLETE:
            self._reject(ResponseFault.HEAD_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of a head; detects a response whose head is not acceptable."""
        self._has_progress = True
        message = self._message
        if message is None:
            return
        message.has_head = True
        status = self._parser.get_status_code()
        if self._state is not _ResponseState.INCOMPLETE:
            return
        if status < 200:
            self._interim_responses += 1
            if self._interim_responses > _MAX_INTERIM_RESPONSES:
                self._reject(ResponseFault.TOO_MANY_INTERIM)
            return
        lengths = message.header_values(b"content-length")
        codings = [coding.lower() for coding in message.header_values(b"transfer-encoding")]
        length = int(lengths[0]) if lengths else None
        if codings and codings != [b"chunked"]:
            self._reject(ResponseFault.INVALID_HTTP)
            return
        if length is not None and length > self._max_body_bytes:
            self._reject(ResponseFault.BODY_TOO_LARGE)  # now, instead of after a body that would be discarded
            return
        self.head = Response(status, message.headers, length=length)
        if self._is_response_to_head:
            # The parser expects a body that is not sent, so the connection cannot be read any further.
            self._complete_response(keep_alive=False)
        elif length is None and not codings and status not in (204, 304):
            self._is_delimited_by_close = True

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each part of a body."""
        self._has_progress = True
        if self._message is None or self._state is not _ResponseState.INCOMPLETE or self.head is None:
            return
        self._received_body_bytes += len(data)
        if self._received_body_bytes > self._max_body_bytes:
            self._reject(ResponseFault.BODY_TOO_LARGE)
        elif self.head.status == 200:
            self._buffered_body += data
        elif self._received_body_bytes > self._max_buffered_bytes:
            self._complete_response(keep_alive=False)  # does not wait for the rest of a long error body

    def on_message_complete(self) -> None:
        """Called by the parser at the last byte of a response, also of an interim response."""
        self._has_progress = True
        if self._message is None or self._state is not _ResponseState.INCOMPLETE or self.head is None:
            self._message = None
        else:
            self._complete_response(keep_alive=self._parser.should_keep_alive())

    def _complete_response(self, *, keep_alive: bool) -> None:
        self._message = None
        self._state = _ResponseState.COMPLETE
        self.keep_alive = keep_alive
