"""One connection of a client: reads its requests, one at a time, and writes one response to each.

* A request counts as received once its last byte has come, or once a part of it has been forwarded.  From
  then on the client gets exactly one response, or has disconnected.
* No request is read while one before it has no response; what comes meanwhile stays in the socket.
* Every end of the connection from this side passes `_record_close`, which checks that no response is pending.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Mapping
from enum import Enum, unique
from typing import Protocol, cast

from tulipnotch.load_balancing.settings import ServiceClass
from tulipnotch.sidecar.control.lifecycle import Lifecycle
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.incoming_request import BadRequestError, IncomingRequest
from tulipnotch.sidecar.downstream.response_stream import ResponseProducer, ResponseStream
from tulipnotch.sidecar.downstream.transfer_progress import TransferProgress
from tulipnotch.sidecar.http1.body import MAX_BUFFERED_BODY_BYTES
from tulipnotch.sidecar.http1.messages import (
    CONTINUE,
    Headers,
    Request,
    Response,
)
from tulipnotch.sidecar.http1.request_reader import RequestReader
from tulipnotch.sidecar.requests.invariants import CloseReason, InvariantChecker
from tulipnotch.sidecar.sockets import borrow_socket, has_unread_input, is_peer_closed, register_for_input

_MAX_PENDING_BODY_BYTES = 32 << 10  # of a streamed body, before reading pauses until the server takes some
_HEALTH_PATH = b"/_health"
_RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: a close drops what is unsent, and resets the connection


@unique
class ConnectionState(Enum):
    """What a client's connection does."""

    CLOSING = "closing"  # it has its last response, or the rest of that is being sent
    CONNECTED = "connected"  # no byte has come yet
    IDLE = "idle"  # all its requests have a response
    READING = "reading"  # a part of a request has come
    STREAMING_BODY = "streaming body"  # a part of a request has come, and is forwarded as it comes
    AWAITING_RESPONSE = "awaiting response"  # never evicted


class RequestHandler(Protocol):
    """Whoever responds to requests; notified by the connections of a server."""

    def request_received(self, connection: DownstreamConnection, request: IncomingRequest) -> int | None:
        """A request has come, or the first part of one whose body is streamed.

        Returns:
            The request's number while its response is pending; None if it has been responded to.

        Raises:
            BadRequestError: If it is rejected.
        """
        ...

    def client_disconnected(self, number: int) -> None:
        """The client of a request with a pending response has gone, or the request was given up."""
        ...

    def connection_closed(self, reason: CloseReason) -> None:
        """A connection has ended."""
        ...


class ConnectionRegistry(Protocol):
    """Counts the connections by state."""

    def add(self, connection: DownstreamConnection) -> None:
        """Count a connection that was made; may abort it, or evict another one."""
        ...

    def move(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """Put a connection into another state."""
        ...

    def add_buffered(self, connection: DownstreamConnection, nbytes: int) -> None:
        """Count bytes that are buffered for a request; may abandon requests that are incomplete."""
        ...

    def remove(self, connection: DownstreamConnection) -> None:
        """Forget a connection that has ended."""
        ...


class ConnectionOwner(Protocol):
    """What the connections of one server share."""

    lifecycle: Lifecycle
    invariants: InvariantChecker
    handler: RequestHandler
    read_buffer: memoryview  # each read is used up before the next

    @property
    def connections_by_state(self) -> ConnectionRegistry:
        """Where each connection is counted."""
        ...

    @property
    def classes(self) -> Mapping[str, ServiceClass]:
        """The service classes in force; never changed, only replaced."""
        ...

    def validate_request(self, request: Request, classes: Mapping[str, ServiceClass]) -> IncomingRequest:
        """Validate a request whose first byte came when there were these classes.

        Raises:
            BadRequestError: If it is invalid.
        """
        ...


class DownstreamConnection(asyncio.BufferedProtocol):
    """One connection of a client."""

    __slots__ = (
        "_classes",
        "_close_reason",
        "_is_writing_paused",
        "_owner",
        "_poll",
        "_progress",
        "_queued_s",
        "_reader",
        "_request",
        "_request_number",
        "_stream",
        "_transport",
        "buffered_bytes",
        "is_reading_paused",
        "state",
        "state_since",
    )

    def __init__(self, owner: ConnectionOwner, queued_s: float = 0.0) -> None:
        """Serve one client.

        Args:
            owner: What the connections share.
            queued_s: How long the first request may have been unread before the connection was accepted.
        """
        self._owner = owner
        self._queued_s = queued_s
        self._reader = RequestReader()
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._request: Request | None = None  # the one that is being responded to
        self._classes: Mapping[str, ServiceClass] = {}  # as they were at the first byte of the request
        self._request_number: int | None = None  # while its response is pending
        self._stream: ResponseStream | None = None  # the response, while it is streamed
        self._is_writing_paused = False
        self.is_reading_paused = False
        self._progress = TransferProgress()
        self._close_reason: CloseReason | None = None  # None: this side has not ended it
        self.state = ConnectionState.CONNECTED
        self.state_since = 0.0  # while a request is read, since its first byte
        self.buffered_bytes = 0  # of the request, and of what came behind it

    @property
    def can_close_safely(self) -> bool:
        """Whether nothing is lost if it is closed now, not even a request that is unread in the socket."""
        return (
            self.state in (ConnectionState.IDLE, ConnectionState.CONNECTED)
            and self._transport is not None
            and not self.has_unsent_output
            and not self.has_unread_input
        )

    @property
    def has_unread_input(self) -> bool:
        """Whether bytes, perhaps the last of a request, or the end of the stream are unread in the socket."""
        return has_unread_input(self._poll)

    @property
    def has_unsent_output(self) -> bool:
        """Whether a part of what was written to it is unsent."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    @property
    def has_head(self) -> bool:
        """Whether the head of the request that is read is complete."""
        return self._reader.has_head

    def is_request_stalled(self, now: float, limits: ClientLimits) -> bool:
        """Return whether the client has stopped sending its request, or sends too little of it."""
        if self.is_reading_paused:  # it waits for the server
            self._progress.restart(now)
            return False
        return self._progress.is_stalled(now, limits)

    def is_response_stalled(self, now: float, limits: ClientLimits) -> bool:
        """Return whether the client has stopped reading its response."""
        return self.has_unsent_output and now - self._progress.last_at >= limits.reading_s

    # What the sidecar calls

    def check_disconnected(self) -> None:
        """Look whether the client is still connected, before something is done for it.

        Its end may be in the socket before the event loop has seen it, and is never seen while reading is
        paused.
        """
        if self._request_number is not None and is_peer_closed(self._poll):
            self._client_disconnected()
            self.abort(CloseReason.CLIENT_DISCONNECTED)

    def send_response(self, status: int, headers: Headers, body: bytes, length: int | None = None) -> None:
        """Write the one response to the open request.

        Args:
            status: The status.
            headers: The headers, without those that frame the body.
            body: The complete body.
            length: The length to announce if the response has no body, to HEAD for instance.
        """
        self._request_number = None
        transport = self._open_transport
        if transport is None:
            return
        request = self._request
        if request is not None and not request.body.is_complete:
            self._move(ConnectionState.CLOSING)  # the rest of the request is dropped
        closing = self._closes_after(request)
        if closing:
            headers = [*headers, (b"connection", b"close")]
        with_body = request is None or request.method != b"HEAD"
        transport.write(Response(status, headers, body, length).encode(with_body=with_body))
        self._response_written(closing=closing)

    def start_response(
        self, status: int, headers: Headers, length: int | None, producer: ResponseProducer
    ) -> None:
        """Write the head of a response that is streamed by `write_body` and `finish_response`.

        Args:
            status: The status.
            headers: The headers, without those that frame the body.
            length: The length of the body; None: not known.
            producer: Is paused while the client does not read.
        """
        transport = self._open_transport
        if transport is None:
            return
        request = self._request
        self._stream = ResponseStream(request, length, producer)
        if self._closes_after(request):
            headers = [*headers, (b"connection", b"close")]
        transport.write(Response(status, headers).head(self._stream.framing()))

    def write_body(self, piece: bytes) -> None:
        """Write a piece of the body of a response that is streamed."""
        transport = self._open_transport
        if transport is not None:
            self._progress.last_at = asyncio.get_running_loop().time()
            transport.write(piece if self._stream is None else self._stream.encode(piece))

    def finish_response(self) -> None:
        """End a response that is streamed: its body is complete."""
        stream = self._stream
        self._request_number = self._stream = None
        transport = self._open_transport
        if transport is None:
            return
        if stream is not None and (end := stream.encode_end()):
            transport.write(end)
        self._response_written(closing=self._closes_after(self._request))

    @property
    def _open_transport(self) -> asyncio.Transport | None:
        transport = self._transport
        return None if transport is None or transport.is_closing() else transport

    def _move(self, state: ConnectionState) -> None:
        self._owner.connections_by_state.move(self, state)

    def _closes_after(self, request: Request | None) -> bool:
        """Return whether the connection closes after the response to this request."""
        return (
            self._owner.lifecycle.is_draining
            or self.state is ConnectionState.CLOSING
            or (request is not None and not request.keep_alive)
        )

    def _response_written(self, *, closing: bool) -> None:
        """Go on to the next request, or close the connection."""
        self._request = None
        if closing:
            self.close(CloseReason.RESPONDED)
            return
        self._move(ConnectionState.IDLE)
        if self._has_pending_input:  # it came together with the request before, so no read will report it
            self._move(ConnectionState.READING)
            asyncio.get_running_loop().call_soon(self._process_input)
        elif not self._is_writing_paused:
            self._resume_reading()

    @property
    def _has_pending_input(self) -> bool:
        """Whether the reader has something of a further request, or an error in it."""
        reader = self._reader
        return reader.is_mid_message or bool(reader.requests) or reader.error_status is not None

    # The end of the connection

    def close(self, reason: CloseReason) -> None:
        """End our side once everything is sent, and give the client some time to end its own.

        A close with bytes unread resets the connection, and the client may lose a response that it has not
        read.  So what still comes is read and dropped: a request among it crossed our end, and its client
        retries it.
        """
        transport = self._open_transport
        if transport is None:
            return
        self._record_close(reason)
        self._move(ConnectionState.CLOSING)
        self._reader.release()
        if not self.has_unsent_output:
            # The event loop itself shuts the socket down only in its next round.  A request that comes before
            # would be dropped although it came before our end.
            with borrow_socket(transport) as own:
                own.shutdown(socket.SHUT_WR)
        transport.write_eof()
        self._resume_reading()

    def abort(self, reason: CloseReason) -> None:
        """Close it at once, whatever is unsent.

        In the middle of a streamed response the connection is reset: after an orderly end the response could
        look complete.
        """
        if self._transport is None:
            return
        self._record_close(reason)
        if self._stream is not None:  # so the transport is open
            with borrow_socket(self._transport) as own:
                own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._transport.abort()

    def reject(self, status: int, text: str = "") -> None:
        """Respond to what can't be served, and close the connection whatever came behind it.

        What follows malformed input must not be taken for a request.

        Args:
            status: The status of the response.
            text: The body of the response.
        """
        self._close_reason = self._close_reason or CloseReason.REJECTED
        self._move(ConnectionState.CLOSING)
        self.send_response(status, [], f"{text}\n".encode() if text else b"")

    def abandon_request(self, status: int) -> None:
        """Reject a request that is incomplete: its rest is malformed, late or more than may be buffered."""
        self._client_disconnected()
        self.reject(status)

    def _record_close(self, reason: CloseReason) -> None:
        self._owner.invariants.check_close(reason, has_pending_response=self._request_number is not None)
        if self._close_reason is None:
            self._close_reason = reason

    def _client_disconnected(self) -> None:
        number, self._request_number = self._request_number, None
        self._stream = None
        if number is not None:
            self._owner.handler.client_disconnected(number)

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the client."""
        # The class of uvloop does not derive from asyncio's, so it can't be checked.
        self._transport = cast("asyncio.Transport", transport)
        register_for_input(self._poll, transport)
        self._owner.connections_by_state.add(self)

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that are in the buffer."""
        if self.state is ConnectionState.CLOSING:
            return
        if self.state in (ConnectionState.IDLE, ConnectionState.CONNECTED):
            self._move(ConnectionState.READING)
        now = asyncio.get_running_loop().time()
        self._progress.received(now, nbytes)
        reader = self._reader
        if not reader.is_mid_message and not reader.requests:
            self._classes = self._owner.classes
        had_head = reader.has_head
        reader.feed(bytes(self._owner.read_buffer[:nbytes]))
        if reader.has_head and not had_head:
            self._progress.start_window(now)
        if self.state is ConnectionState.STREAMING_BODY:
            # Before the bytes are counted: a request whose last byte was forwarded must not be abandoned.
            self._check_streamed_body()
        # Of a streamed body no more than this is ever buffered.
        max_bytes = MAX_BUFFERED_BODY_BYTES + _MAX_PENDING_BODY_BYTES - self.buffered_bytes
        self._owner.connections_by_state.add_buffered(self, min(nbytes, max_bytes))
        self._process_input()
        if self._request_number is None or self.state is ConnectionState.STREAMING_BODY:
            return
        if self._has_pending_input:
            self._pause_reading()  # until the response to the request before it

    def pause_writing(self) -> None:
        """The client does not read as fast as it is written to."""
        self._is_writing_paused = True
        self._progress.last_at = asyncio.get_running_loop().time()
        if self._stream is not None:
            self._stream.producer.pause()
        elif self._request_number is None and self.state is not ConnectionState.CLOSING:
            self._pause_reading()

    def resume_writing(self) -> None:
        """The client has read on."""
        self._is_writing_paused = False
        self._progress.last_at = asyncio.get_running_loop().time()
        if self._stream is not None:
            self._stream.producer.resume()
        self._process_input()

    def eof_received(self) -> None:
        """The client has ended its side: it waits for no response."""
        self._client_disconnected()

    def connection_lost(self, _exc: Exception | None) -> None:
        """The connection has ended."""
        self._client_disconnected()
        self._reader.release()
        self._owner.handler.connection_closed(self._close_reason or CloseReason.CLIENT_DISCONNECTED)
        self._owner.connections_by_state.remove(self)
        self.state = ConnectionState.CLOSING

    # Reading

    def _process_input(self) -> None:
        """Dispatch the next request, if there is one and none before it is open."""
        while self._request_number is None and self.state is not ConnectionState.CLOSING:
            transport = self._open_transport
            if transport is None or self._is_writing_paused:
                return  # a client that does not read its responses gets no more of them
            if self._reader.requests:
                self._dispatch(self._reader.requests.pop(0))
            elif self._reader.error_status is not None:
                self.reject(self._reader.error_status)
            else:
                if self._reader.awaits_continue:
                    self._reader.awaits_continue = False
                    transport.write(CONTINUE)
                self._resume_reading()
                return

    def _dispatch(self, request: Request) -> None:
        self._request = request
        is_complete = request.body.is_complete
        self._move(ConnectionState.AWAITING_RESPONSE if is_complete else ConnectionState.STREAMING_BODY)
        if request.target == _HEALTH_PATH:
            lifecycle = self._owner.lifecycle
            self.send_response(200 if lifecycle.is_ready else 503, [], f"{lifecycle.phase.value}\n".encode())
            return
        if is_peer_closed(self._poll):
            self.abort(
                CloseReason.CLIENT_DISCONNECTED
            )  # it sent this ahead, and did not wait for the response
            return
        try:
            incoming = self._owner.validate_request(request, self._classes)
            if is_complete:
                # The client's time runs from when it sent the request.
                incoming.remaining_us = max(incoming.remaining_us - int(self._queued_s * 1e6), 1)
            self._queued_s = 0.0
            self._request_number = self._owner.handler.request_received(self, incoming)
            if self._request_number is not None and not request.body.is_complete:
                request.body.on_taken = self._resume_reading
                self._check_streamed_body()
        except BadRequestError as error:
            self.reject(error.status, error.text)

    def _check_streamed_body(self) -> None:
        """Act on what has come of a body that is streamed."""
        request = self._request
        if request is None:
            return
        if self._reader.error_status is not None:
            self.abandon_request(self._reader.error_status)
        elif request.body.is_complete:
            self._move(ConnectionState.AWAITING_RESPONSE)
        elif request.body.pending_bytes >= _MAX_PENDING_BODY_BYTES:
            self._pause_reading()

    def _pause_reading(self) -> None:
        self.is_reading_paused = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.is_reading_paused:
            self.is_reading_paused = False
            self._progress.restart(asyncio.get_running_loop().time())
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
