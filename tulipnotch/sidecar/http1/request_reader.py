"""Reader for the requests of one client connection."""

from __future__ import annotations

import httptools

from tulipnotch.sidecar.http1.body import MAX_BODY_BYTES, Body
from tulipnotch.sidecar.http1.message_reader import MessageReader, PartialMessage
from tulipnotch.sidecar.http1.messages import Request

# Bytes that are parsed at a time.  The parser doesn't stop at the end of a request, so that many short ones
# behind it would be parsed too, and their objects take many times the memory of their bytes.
_HEAD_SLICE_BYTES = 512
_CHUNKED_SLICE_BYTES = 4 << 10
_HEADER_OBJECTS_BYTES = 150  # memory of the objects of one header, beside its name and value
_REQUEST_OBJECTS_BYTES = 800  # memory of the objects of one request without headers


class RequestReader(MessageReader):
    """Reads the requests of one connection.

    A request is added to `requests` once it is complete, or once its body is longer than what is buffered
    of it.  In the second case, the rest is added to its body as it is received.  What was received behind a
    complete request is not parsed before `next_request` is called.

    Attributes:
        requests: Requests that were read, the oldest first.
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
        self._length: int | None = None  # announced length of that body
        self._body_parts = bytearray()  # parts of that body that were parsed and not added to it yet
        self._unparsed = b""
        self._is_request_complete = False  # whether parsing has stopped at the end of a request
        self._request_count = 0  # requests whose head was received
        self._is_queued = False  # whether the request in progress was added to `requests`
        self._is_body_skipped = False  # whether the parser takes the body for that of another protocol
        self._parser: httptools.HttpRequestParser = httptools.HttpRequestParser(self)

    def release(self) -> None:
        """Stops reading and frees everything that was read."""
        self._reject(400)
        self.requests.clear()
        self._unparsed = b""
        self._body.detach()
        self._body = Body()
        super().release()

    @property
    def has_head(self) -> bool:
        """Whether the head of the request in progress is complete."""
        return self._message is not None and self._message.has_head

    @property
    def has_pending_input(self) -> bool:
        """Whether there is a further request, a part of one, or an error in one."""
        return (
            self._message is not None
            or bool(self.requests)
            or self.error_status is not None
            or bool(self._unparsed)
        )

    @property
    def pending_input_bytes(self) -> int:
        """Estimate of the memory of requests that were received and not removed."""
        messages = [self._message.headers] if self._message is not None else []
        messages += [request.headers for request in self.requests]
        return len(self._unparsed) + sum(
            _REQUEST_OBJECTS_BYTES + _HEADER_OBJECTS_BYTES * len(headers) for headers in messages
        )

    def feed(self, data: bytes) -> int:
        """Parses bytes that were received; sets `error_status` if they are not an acceptable request.

        Returns:
            An estimate of the memory that they take until their request has its response.
        """
        if self.error_status is not None:
            return 0
        headers, requests = self.header_count, self._request_count
        if not self.requests and not self._unparsed:
            self._is_request_complete = False
        self._unparsed += data
        self._parse_unparsed()
        return (
            len(data)
            + _HEADER_OBJECTS_BYTES * (self.header_count - headers)
            + _REQUEST_OBJECTS_BYTES * (self._request_count - requests)
        )

    def next_request(self) -> Request | None:
        """Removes and returns the oldest request; None if no further one was received."""
        if not self.requests:
            self._is_request_complete = False
            self._parse_unparsed()
        return self.requests.pop(0) if self.requests else None

    def _parse_unparsed(self) -> None:
        """Parses up to the end of a request, and a few bytes beyond it."""
        while self._unparsed and not self._is_request_complete and self.error_status is None:
            size = self._slice_bytes()
            data, self._unparsed = self._unparsed[:size], self._unparsed[size:]
            try:
                self._parse(data)
            except httptools.HttpParserUpgrade as error:
                self._continue_without_upgrade(data[error.args[0] :])
            except httptools.HttpParserError:
                self._reject(400)
            self._add_body_parts()
            if self._is_head_too_large:
                self._reject(431)

    def _continue_without_upgrade(self, rest: bytes) -> None:
        """Goes on behind a head that offers another protocol, which a server may ignore (RFC 9110, 7.8).

        The parser takes what follows for that other protocol.  If the request has a body, a new parser is
        given a head with the same framing, so that it reads the body.
        """
        self._unparsed = rest + self._unparsed
        if not self._is_body_skipped:
            return
        self._is_body_skipped = False
        head = self._framing_head()
        state = dict(vars(self))
        parser = self._parser = httptools.HttpRequestParser(self)
        self._parse(head)
        vars(self).update(state, _parser=parser)  # what the repeated head has changed

    def _framing_head(self) -> bytes:
        """Returns the head of the request in progress, with the headers alone that frame its messages."""
        framing = (
            b"transfer-encoding: chunked" if self._length is None else b"content-length: %d" % self._length
        )
        connection = b"keep-alive" if self._parser.should_keep_alive() else b"close"
        version = self._parser.get_http_version().encode()
        line = b"%s / HTTP/%s" % (self._parser.get_method(), version)
        return b"\r\n".join((line, b"connection: " + connection, framing, b"", b""))

    def _slice_bytes(self) -> int:
        """Returns how many bytes to parse next: the rest of a body whose length is known, or a few."""
        if not self.has_head:
            return _HEAD_SLICE_BYTES
        if self._length is None:
            return _CHUNKED_SLICE_BYTES
        return max(self._length - self._body.size, 1)

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
        self._request_count += 1
        lengths, codings = (
            message.header_values(b"content-length"),
            message.header_values(b"transfer-encoding"),
        )
        self._length = int(lengths[0]) if lengths else None
        self._is_body_skipped = self._parser.should_upgrade() and bool(self._length or codings)
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            self._reject(505)
        elif codings and [coding.lower() for coding in codings] != [b"chunked"]:
            self._reject(501)
        elif self._length is not None and self._length > self._max_body_bytes:
            self._reject(413)
        elif [value.lower() for value in message.header_values(b"expect")] == [b"100-continue"]:
            self.awaits_continue = True

    def on_body(self, data: bytes) -> None:
        """Called by the parser for each part of a body, of which a chunked one may have thousands."""
        self._has_progress = True
        if self._message is None or self.error_status is not None:
            return
        if self._body.size + len(self._body_parts) + len(data) > self._max_body_bytes:
            self._reject(413)
            return
        self._body_parts += data

    def _add_body_parts(self) -> None:
        """Adds the parsed parts to the body, in one step, since its owners act on each addition."""
        if not self._body_parts:
            return
        parts, self._body_parts = self._body_parts, bytearray()
        if self._message is None or self.error_status is not None:
            return
        self._body.feed(bytes(parts))
        if self._body.is_streamed and not self._is_queued:
            self._queue_request(self._message)

    def on_message_complete(self) -> None:
        """Called by the parser at the last byte of a request."""
        if self._is_body_skipped:
            return  # it is only the end of the head
        self._add_body_parts()
        self._has_progress = self._is_request_complete = True
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
        self.requests.append(
            Request(
                method=self._parser.get_method(),
                target=message.target,
                headers=message.headers,
                body=self._body,
                keep_alive=self._parser.should_keep_alive(),
                accepts_chunked=self._parser.get_http_version() == "1.1",
                length=self._length,
            )
        )
