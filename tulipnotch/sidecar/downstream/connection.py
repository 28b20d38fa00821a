"""A client's connection: reads its requests one at a time and writes one response to each.

* A request counts as received once its last byte has been read, or once a part of it has been forwarded.
  From then on the client gets exactly one response, unless it disconnects first.
* While the response to a request is pending, no further request is read; pipelined ones stay in the socket.
* Input is processed in turns (`TurnScheduler`): at most what one read brought, and one request.
* Whenever the sidecar closes or aborts the connection, `_record_close` checks that no response is pending.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Mapping
from typing import cast

from tulipnotch.load_balancing.settings import ServiceClass
from tulipnotch.sidecar.downstream.client_input import ClientInput
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.connection_state import ConnectionState
from tulipnotch.sidecar.downstream.incoming_request import BadRequestError, IncomingRequest
from tulipnotch.sidecar.downstream.interfaces import ConnectionOwner
from tulipnotch.sidecar.downstream.response_stream import ResponseProducer, ResponseStream
from tulipnotch.sidecar.http1.body import MAX_BUFFERED_BODY_BYTES
from tulipnotch.sidecar.http1.messages import (
    CONTINUE_RESPONSE,
    Headers,
    Request,
    Response,
)
from tulipnotch.sidecar.http1.request_reader import RequestReader
from tulipnotch.sidecar.requests.invariants import CloseReason
from tulipnotch.sidecar.response_budget import CountedBytes
from tulipnotch.sidecar.sockets import borrow_socket, reset_on_close, unacknowledged_bytes
from tulipnotch.sidecar.turn_scheduler import InputTurns

# Reading from the client pauses while this much of a streamed body waits to be written to the server.
_MAX_PENDING_BODY_BYTES = 32 << 10
_HEALTH_CHECK_PATH = b"/_health"


class DownstreamConnection(asyncio.BufferedProtocol):
    """Protocol of one client connection, created by `DownstreamServer` for each accepted socket."""

    __slots__ = (
        "_accept_delay_s",
        "_classes",
        "_close_reason",
        "_counted_output",
        "_input",
        "_is_pipelined",
        "_is_writing_paused",
        "_owner",
        "_pending_since",
        "_reader",
        "_request",
        "_request_number",
        "_stream",
        "_transport",
        "_turns",
        "_untaken_bytes",
        "buffered_bytes",
        "state",
        "state_since",
    )

    def __init__(self, owner: ConnectionOwner, accept_delay_s: float = 0.0) -> None:
        """Creates the protocol of one connection.

        Args:
            owner: What all connections of the server share.
            accept_delay_s: Upper bound on how long the connection, perhaps with its first request, waited in
                the accept queue because accept(2) had failed.
        """
        self._owner = owner
        self._accept_delay_s = accept_delay_s
        self._reader = RequestReader()
        self._transport: asyncio.Transport | None = None
        self._input = ClientInput()
        self._turns = InputTurns(owner.turns)
        self._request: Request | None = None  # the request that is being responded to
        self._classes: Mapping[str, ServiceClass] = {}  # those current at the first byte of the request
        self._request_number: int | None = None  # the handler's number, while the response is pending
        self._stream: ResponseStream | None = None  # set while a response is streamed
        self._is_pipelined = False  # whether the next request has waited for the response to the one before
        # Since when there is input behind the current request (s, event loop time); None: there is none.
        self._pending_since: float | None = None
        self._is_writing_paused = False
        self._counted_output = CountedBytes(owner.response_budget)
        self._untaken_bytes = 0  # of its output, when it was last checked whether the client reads
        self._close_reason: CloseReason | None = None  # None: the sidecar has not closed the connection
        self.state = ConnectionState.CONNECTED
        # When the state was entered, in the event loop's time (s).  While the first request is read, this is
        # the time of connecting; while a closing connection has unsent output, it is updated.
        self.state_since = 0.0
        self.buffered_bytes = 0  # counted for the request and the input after it; set by the registry

    @property
    def can_close_safely(self) -> bool:
        """Whether closing it now loses neither a response nor a request that is unread in the socket."""
        return (
            self.state in (ConnectionState.IDLE, ConnectionState.CONNECTED)
            and self._transport is not None
            and not self.has_unsent_output
            and not self.has_unread_input
        )

    @property
    def has_unread_input(self) -> bool:
        """Whether unprocessed input may complete a request, or an end of stream is unread."""
        return self._turns.is_waiting or self._input.has_unread_bytes

    @property
    def is_reading_paused(self) -> bool:
        """Whether the client is not read for now."""
        return self._input.is_paused

    @property
    def has_unsent_output(self) -> bool:
        """Whether some of the data written to the connection was not sent yet."""
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes written to the connection that the kernel has not accepted yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def has_request_head(self) -> bool:
        """Whether the head of the request in progress is complete."""
        return self._reader.has_head

    def is_request_stalled(self, now: float, limits: ClientLimits) -> bool:
        """Returns whether the client has stopped sending its request, or sends it too slowly."""
        return self._input.is_request_stalled(now, limits)

    @property
    def upload_wait_s(self) -> float:
        """How long, at most, the last byte of the request's body has been written and unread (s)."""
        return self._input.upload_wait_s

    def is_upload_timed_out(self, now: float, limits: ClientLimits) -> bool:
        """Returns whether the client's timeout may pass before the next check, with its body not read."""
        return self._input.is_upload_timed_out(now, limits)

    def time_out_upload(self) -> None:
        """Ends the request: its client may have waited for its whole timeout, with its body not read."""
        if self._request_number is not None and self._stream is None:
            self._owner.handler.upload_timed_out(self._request_number)

    def is_response_stalled(self, now: float, limits: ClientLimits) -> bool:
        """Returns whether the client has stopped reading its response."""
        transport = self._open_transport
        if transport is None or not self.has_unsent_output:
            return False
        # A large send buffer has room again long after the client has taken the first bytes of it.
        untaken_bytes = self.unsent_bytes + (unacknowledged_bytes(transport) or 0)
        if untaken_bytes < self._untaken_bytes:
            self._input.progress.last_progress_at = now
        self._untaken_bytes = untaken_bytes
        return now - self._input.progress.last_progress_at >= limits.reading_s

    # Responses, written by the request handler

    def abort_if_disconnected(self) -> None:
        """Aborts the connection if the client of a pending response has disconnected.

        Called before work is done for the client: the event loop may not have reported the end of the stream
        yet, and does not report it at all while reading is paused.
        """
        if self._request_number is not None and self._input.is_client_closed:
            self._notify_client_disconnected()
            self.abort(CloseReason.CLIENT_DISCONNECTED)

    def send_response(self, status: int, headers: Headers, body: bytes, length: int | None = None) -> None:
        """Writes the complete response to the current request.

        Args:
            status: The status code.
            headers: The headers, without those that frame the body.
            body: The complete body.
            length: The `Content-Length` of a response to a HEAD request; None: no such header.
        """
        self._request_number = None
        transport = self._open_transport
        if transport is None:
            return
        request = self._request
        if request is not None and not request.body.is_complete:
            self._set_state(ConnectionState.CLOSING)  # the rest of the request is discarded
        closing = self._closes_after(request)
        if closing:
            headers = [*headers, (b"connection", b"close")]
        with_body = request is None or request.method != b"HEAD"
        transport.write(Response(status, headers, body, length).encode(with_body=with_body))
        self._count_output()
        self._finish_exchange(closing=closing)

    def start_response(
        self, status: int, headers: Headers, length: int | None, producer: ResponseProducer
    ) -> None:
        """Writes the head of a streamed response, to be followed by `write_body` and `finish_response`.

        Args:
            status: The status code.
            headers: The headers, without those that frame the body.
            length: The length of the body; None if it is not known.
            producer: The source of the body, which is paused while the client does not read.
        """
        transport = self._open_transport
        if transport is None:
            return
        request = self._request
        self._stream = ResponseStream(request, length, producer)
        if self._closes_after(request):
            headers = [*headers, (b"connection", b"close")]
        transport.write(Response(status, headers).encode_head(self._stream.framing_headers()))

    def write_body(self, data: bytes) -> None:
        """Writes a part of the body of a streamed response."""
        transport = self._open_transport
        if transport is not None:
            self._input.progress.last_progress_at = asyncio.get_running_loop().time()
            transport.write(data if self._stream is None else self._stream.encode(data))
            self._count_output()

    def finish_response(self) -> None:
        """Ends a streamed response whose body is complete."""
        stream = self._stream
        self._request_number = self._stream = None
        transport = self._open_transport
        if transport is None:
            return
        if stream is not None and (end := stream.encode_end()):
            transport.write(end)
        self._finish_exchange(closing=self._closes_after(self._request))

    def _count_output(self) -> None:
        """Counts the unsent output, unless it is so little that writing will not be paused."""
        unsent = self.unsent_bytes
        self._counted_output.set(unsent if unsent > self._owner.response_budget.max_uncounted_bytes else 0)

    @property
    def _open_transport(self) -> asyncio.Transport | None:
        transport = self._transport
        return None if transport is None or transport.is_closing() else transport

    def _set_state(self, state: ConnectionState) -> None:
        self._owner.connection_table.set_state(self, state)

    def _closes_after(self, request: Request | None) -> bool:
        """Returns whether the connection closes after the response to this request."""
        return (
            self._owner.lifecycle.is_draining
            or self.state is ConnectionState.CLOSING
            or (request is not None and not request.keep_alive)
            or (
                self._input.is_end_hidden and not self._reader.has_pending_input and not self.has_unread_input
            )
        )

    def _finish_exchange(self, *, closing: bool) -> None:
        """Proceeds to the next request, or closes the connection, after a response was written."""
        self._request = None
        self._input.upload_ended()
        if closing:
            self.close(CloseReason.RESPONDED)
            return
        self._set_state(ConnectionState.IDLE)
        self._is_pipelined = self._reader.has_pending_input
        if not self._is_pipelined:
            self._pending_since = None
        if self._is_pipelined:  # received with the previous request, so no read event follows
            self._set_state(ConnectionState.READING)
            self._owner.connection_table.add_buffered_bytes(self, self._reader.pending_input_bytes)
            self._turns.request(self)
        elif not self._is_writing_paused:
            self._input.resume()

    # Closing the connection

    def close(self, reason: CloseReason) -> None:
        """Closes the sending side once everything is sent; the client has a limited time to close its own.

        Closing a socket that has unread bytes resets the connection, and the client may lose a response that
        it has not read.  What is still received is therefore read and discarded.  A request in it was sent
        before the client saw the end of the connection, so the client retries it.
        """
        transport = self._open_transport
        if transport is None:
            return
        self._record_close(reason)
        self._set_state(ConnectionState.CLOSING)
        self._reader.release()
        if not self.has_unsent_output:
            # The transport shuts the socket down no earlier than in the next iteration of the event loop.
            # A request received before that would be discarded, although it came before the end of the
            # connection was sent.
            with borrow_socket(transport) as plain_socket:
                plain_socket.shutdown(socket.SHUT_WR)
        transport.write_eof()
        self._input.resume()

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection at once and discards unsent data.

        In the middle of a streamed response the connection is reset, because a truncated response could look
        complete after an orderly close.
        """
        if self._transport is None:
            return
        self._record_close(reason)
        if self._stream is not None:  # the transport is open, as `borrow_socket` requires
            with borrow_socket(self._transport) as plain_socket:
                reset_on_close(plain_socket)
        self._transport.abort()

    def reject(self, status: int, text: str = "") -> None:
        """Responds with an error to input that cannot be served, and closes the connection.

        All further input is discarded: what follows a malformed request must not be parsed as a request.

        Args:
            status: The status code of the response.
            text: The body of the response.
        """
        self._close_reason = self._close_reason or CloseReason.REJECTED
        self._set_state(ConnectionState.CLOSING)
        self.send_response(status, [], f"{text}\n".encode() if text else b"")

    def abandon_request(self, status: int) -> None:
        """Rejects an incomplete request whose rest is malformed, too slow or more than may be buffered."""
        self._notify_client_disconnected()
        self.reject(status)

    def _record_close(self, reason: CloseReason) -> None:
        self._owner.invariants.check_close(reason, has_pending_response=self._request_number is not None)
        if self._close_reason is None:
            self._close_reason = reason

    def _notify_client_disconnected(self) -> None:
        number, self._request_number = self._request_number, None
        self._stream = None
        if number is not None:
            self._owner.handler.client_disconnected(number)

    # Callbacks of the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection; the event loop starts to read from it."""
        # uvloop's transports do not derive from those of asyncio, so an isinstance check would fail.
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=self._owner.response_budget.max_uncounted_bytes)
        self._input.connect(self._transport)
        self._owner.connection_table.add(self)

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Returns the buffer for the next read, a short one unless a body is received and processed at once.

        What is received behind a request waits in memory until that request has its response.
        """
        is_short = not self._reader.has_head or self._turns.is_deferred
        return self._owner.head_read_buffer if is_short else self._owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Has the bytes that were read into the buffer processed, at once or in a later turn."""
        self._input.progress.record_received(asyncio.get_running_loop().time(), nbytes)
        if self.state in (ConnectionState.IDLE, ConnectionState.CONNECTED):
            self._set_state(ConnectionState.READING)
        is_buffer_full = nbytes >= len(self.get_buffer(nbytes))
        self._turns.data_received(self, self._owner.read_buffer[:nbytes], is_buffer_full=is_buffer_full)

    def pause_writing(self) -> None:
        """Pauses the source of a streamed response, or else further requests: the client reads too slowly."""
        self._is_writing_paused = True
        self._input.progress.last_progress_at = asyncio.get_running_loop().time()
        if self._stream is not None:
            self._stream.producer.pause()
        elif self._request_number is None and self.state is not ConnectionState.CLOSING:
            self._input.pause()

    def resume_writing(self) -> None:
        """Resumes the source of the response and the processing of input, as the client has read data."""
        self._is_writing_paused = False
        self._count_output()
        self._input.progress.last_progress_at = asyncio.get_running_loop().time()
        if self._stream is not None:
            self._stream.producer.resume()
        elif self._request_number is None and self.state is not ConnectionState.CLOSING:
            self._turns.request(self)

    def eof_received(self) -> None:
        """Treats a client that has closed its sending side as disconnected: it waits for no response."""
        self._notify_client_disconnected()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Notifies the handler and releases everything that the connection holds."""
        self._notify_client_disconnected()
        self._reader.release()
        self._counted_output.set(0)
        self._owner.handler.connection_closed(self._close_reason or CloseReason.CLIENT_DISCONNECTED)
        self._owner.connection_table.remove(self)
        self.state = ConnectionState.CLOSING

    # Reading requests

    def take_turn(self) -> None:
        """Processes what was read."""
        self._turns.run(self)

    def process_input(self, received: bytes) -> None:
        """Processes what was read, and the next request if no response is pending."""
        if self.state is ConnectionState.CLOSING:
            return
        if received:
            self._feed(received)
        self._process_next_request()
        self._pause_if_pipelined()

    def hold_reading(self) -> None:
        """Reads nothing until `release_reading`."""
        self._input.hold()

    def release_reading(self) -> None:
        """Reads again, unless reading is paused."""
        self._input.release()

    def _feed(self, received: bytes) -> None:
        """Parses input, and counts the memory that it takes."""
        reader = self._reader
        if not reader.has_pending_input:
            self._classes = self._owner.classes
        had_head = reader.has_head
        retained_bytes = reader.feed(received)
        if reader.has_head and not had_head:
            self._input.progress.start_window(asyncio.get_running_loop().time())
        if self.state is ConnectionState.STREAMING_BODY:
            self._input.upload_received()
            # Must precede the counting of the bytes, which may abandon a request in this state: a request
            # must not be abandoned once its last byte was forwarded.
            self._process_streamed_body()
            # Caps what is counted, since no more than this is ever buffered of a streamed body.
            max_bytes = MAX_BUFFERED_BODY_BYTES + _MAX_PENDING_BODY_BYTES - self.buffered_bytes
            retained_bytes = min(retained_bytes, max(max_bytes, 0))
        self._owner.connection_table.add_buffered_bytes(self, retained_bytes)

    def _process_next_request(self) -> None:
        """Dispatches the next request, if there is one and no response is pending."""
        if self._request_number is not None or self.state is ConnectionState.CLOSING:
            return
        transport = self._open_transport
        if transport is None or self._is_writing_paused:
            return  # a client that does not read its responses gets no further ones
        request = self._reader.next_request()
        if request is not None:
            self._dispatch_request(request)
        elif self._reader.error_status is not None:
            self.reject(self._reader.error_status)
        else:
            if self._reader.awaits_continue:
                self._reader.awaits_continue = False
                transport.write(CONTINUE_RESPONSE)
            self._input.resume()

    def _pause_if_pipelined(self) -> None:
        """Pauses reading if further input waits for the response to the current request."""
        if self._request_number is None or self.state is ConnectionState.STREAMING_BODY:
            return
        if self._reader.has_pending_input:
            self._input.pause()
            if self._pending_since is None:
                self._pending_since = asyncio.get_running_loop().time()

    def _dispatch_request(self, request: Request) -> None:
        self._request = request
        is_complete = request.body.is_complete
        self._set_state(ConnectionState.AWAITING_RESPONSE if is_complete else ConnectionState.STREAMING_BODY)
        if request.target == _HEALTH_CHECK_PATH:
            lifecycle = self._owner.lifecycle
            self.send_response(200 if lifecycle.is_ready else 503, [], f"{lifecycle.phase.value}\n".encode())
            return
        if self._input.is_client_closed:
            # The client has disconnected without waiting for the response.
            self.abort(CloseReason.CLIENT_DISCONNECTED)
            return
        try:
            incoming = self._owner.validate_request(request, self._classes)
            if is_complete and self._input.may_hide_disconnect(is_pipelined=self._is_pipelined):
                # What is unread is read on, since requests in it have to get a response too.
                self._owner.handler.request_rejected(self, incoming)
                return
            self._deduct_waiting_time(incoming, is_complete=is_complete)
            self._request_number = self._owner.handler.request_received(self, incoming)
            if self._request_number is not None and not request.body.is_complete:
                request.body.on_consumed = self._input.resume
                self._input.upload_started(request, incoming.remaining_us / 1e6)
                self._process_streamed_body()
        except BadRequestError as error:
            self.reject(error.status, error.text)

    def _deduct_waiting_time(self, incoming: IncomingRequest, *, is_complete: bool) -> None:
        """Reduces the remaining time, since the client's timeout runs from when it sent the request.

        A pipelined request may have been sent as early as the first one behind which there was always more.

        The client may also have sent all of a body that is still being received.  Once its timeout has
        passed, it may have disconnected too: the end of the connection is then behind the rest of the body.

        Raises:
            BadRequestError: The client has timed out, and its body is incomplete.
        """
        delay_us, self._accept_delay_s = int(self._accept_delay_s * 1e6), 0.0
        if self._is_pipelined and self._pending_since is not None:
            delay_us += int((asyncio.get_running_loop().time() - self._pending_since) * 1e6)
        if delay_us >= incoming.remaining_us and not is_complete:
            raise BadRequestError("the timeout has passed", 503)
        incoming.remaining_us = max(incoming.remaining_us - delay_us, 1)

    def _process_streamed_body(self) -> None:
        """Updates state and flow control after a part of a streamed body was received."""
        request = self._request
        if request is None:
            return
        if self._reader.error_status is not None:
            self.abandon_request(self._reader.error_status)
        elif request.body.is_complete:
            self._set_state(ConnectionState.AWAITING_RESPONSE)
        elif request.body.pending_bytes >= _MAX_PENDING_BODY_BYTES:
            self._input.pause_upload()
