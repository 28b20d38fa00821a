"""The client side of one HTTP/1.1 connection to a server: one exchange at a time.

A connection never starts or repeats a request by itself: the caller of `start_exchange` decides what is
written, and its observer is asked before each later write.  A connection is in one of these states:

    connecting -> idle -> writing -> awaiting the response -> (streaming the response) -> idle

or closed, which may follow each of these.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
from enum import Enum, auto, unique
from typing import Protocol, cast

from tulipnotch.sidecar.http1.messages import Request, Response
from tulipnotch.sidecar.http1.response_fault import ResponseFault
from tulipnotch.sidecar.http1.response_reader import ResponseReader
from tulipnotch.sidecar.response_budget import CountedBytes, ResponseBudget
from tulipnotch.sidecar.sockets import borrow_socket, reset_on_close, unsent_bytes
from tulipnotch.sidecar.turn_scheduler import InputTurns, TurnScheduler
from tulipnotch.sidecar.upstream.errors import ConnectionNotIdleError
from tulipnotch.sidecar.upstream.exchange import (
    AwaitingResponse,
    Closed,
    Exchange,
    ExchangeFailure,
    ExchangeObserver,
    Streaming,
    Writing,
)
from tulipnotch.sidecar.upstream.response_timers import ResponseTimers
from tulipnotch.sidecar.upstream.unwritten_request import UnwrittenRequest

_STREAM_STALL_TIMEOUT_S = 20.0  # longest time without progress of a streamed response, which can't be retried

# Delay before the next try to write the last byte, when the kernel had no buffer space for it.
_LAST_BYTE_RETRY_S = 0.002

# All connections read into this one buffer, since the data of each read is copied before the next read.  The
# event loop's own buffer takes 256 KiB for each read, and several reads may come before a connection that
# receives too much is closed.
_READ_BUFFER = memoryview(bytearray(32 << 10))
_SHORT_READ_BUFFER = _READ_BUFFER[: 4 << 10]  # for reads while the response budget is exhausted


class ConnectionOwner(Protocol):
    """The owner of a connection, which decides on its further use."""

    def connection_idle(self, connection: UpstreamConnection) -> None:
        """Called when an exchange has ended and its connection is reusable, before its observer is called."""
        ...

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Called once, when the connection can never be used again."""
        ...


@unique
class _UnusedState(Enum):
    """States of a connection that is not closed and has no exchange in flight."""

    CONNECTING = auto()
    IDLE = auto()


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to a server; owns its socket and the exchange in flight."""

    def __init__(
        self,
        reader: ResponseReader,
        owner: ConnectionOwner | None,
        response_stall_timeout_s: float,
        budget: ResponseBudget | None = None,
        turns: TurnScheduler | None = None,
    ) -> None:
        """Starts in the state CONNECTING.

        Args:
            reader: Parses the responses of this connection only.
            owner: Notified when the connection becomes idle or is closed; None: nobody is notified.
            response_stall_timeout_s: The longest time without progress of a response that has started and is
                not streamed.
            budget: Bounds what all connections buffer; None: this connection is not counted.
            turns: Shares the event loop between connections; None: this one shares with no other.
        """
        self._reader = reader
        self._budget = budget or ResponseBudget()
        self._buffered_bytes = CountedBytes(self._budget)
        self._owner = owner
        self._turns = InputTurns(turns or TurnScheduler())
        self._response_stall_timeout_s = response_stall_timeout_s
        self._timers = ResponseTimers(response_stall_timeout_s)
        self._state: _UnusedState | Exchange | Closed = _UnusedState.CONNECTING
        self._transport: asyncio.Transport | None = None  # None until it is connected
        self._descriptor = -1  # the socket's file descriptor; -1 until it is connected
        self._poll = select.poll()
        self._exchange_count = 0  # includes the exchange in flight
        self._has_backlog = False  # whether the transport has data that the kernel has not accepted yet
        self._has_reported_response = False  # whether the observer knows that the response has begun
        # Why the last exchange failed, if its response was malformed.
        self.response_fault: ResponseFault | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the connection can never be used again; its owner has been notified."""
        return isinstance(self._state, Closed)

    @property
    def is_unwritten(self) -> bool:
        """Whether the last request was not written completely, so that no server can have executed it."""
        if isinstance(self._state, Closed):
            return self._state.is_unwritten
        return isinstance(self._state, Writing)

    @property
    def has_unsent_request(self) -> bool:
        """Whether the request is written, and the kernel holds a part of it that it has not sent yet.

        No server can have executed it then.
        """
        transport = self._transport
        if transport is None or not isinstance(self._state, AwaitingResponse):
            return False
        return (unsent_bytes(transport) or 0) > 0

    @property
    def is_response_certain(self) -> bool:
        """Whether a response can only belong to the last request, since no other was sent before it."""
        return self._exchange_count <= 1

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of a response that are buffered."""
        return self._reader.buffered_bytes

    @property
    def has_response_bytes(self) -> bool:
        """Whether a response was received in part, or the socket has unread input or its end."""
        if self._transport is None or self.is_closed:
            return False
        return self._reader.is_mid_message or bool(self._poll.poll(0))

    def is_usable(self) -> bool:
        """Returns whether a request may be written now: the connection is idle and has no unread input.

        A server may close an idle connection at any time, and the end of the stream may be in the socket
        before the event loop has read it.  A request written then would fail in a way that does not show
        whether it was executed.
        """
        if self._state is not _UnusedState.IDLE or self._transport is None or self._transport.is_closing():
            return False
        return not self._poll.poll(0)

    def start_exchange(self, request: Request, observer: ExchangeObserver) -> None:
        """Writes as much of a request as the kernel accepts; notifies the observer of the further progress.

        `ExchangeObserver.exchange_ended` is not called within this call.

        Raises:
            ConnectionNotIdleError: If the connection is not connected yet, is in use or is closed.
        """
        if self._state is not _UnusedState.IDLE:
            raise ConnectionNotIdleError(f"the connection is not idle, its state is {self._state}")
        self._reader.expect_response(to_head_request=request.method == b"HEAD")
        self._timers.stall_timeout_s = self._response_stall_timeout_s
        self._has_reported_response = False
        self._exchange_count += 1
        self._state = writing = Writing(observer, UnwrittenRequest(request, self._continue_writing))
        self._write_available(writing)

    def pause(self) -> None:
        """Stops reading the response until `resume` is called; for a consumer without buffer space."""
        self._timers.is_paused = True
        self._update_reading()

    def resume(self) -> None:
        """Continues reading the response."""
        self._timers.is_paused = False
        self._timers.progressed()
        self._update_reading()

    def _update_reading(self) -> None:
        """Reads unless the consumer has paused the response, or what was read waits for a turn."""
        if self._transport is None or self.is_closed:
            return
        if self._timers.is_paused or self._turns.is_waiting:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def close(self) -> None:
        """Closes the connection; the observer of an exchange in flight is not notified.

        The socket is shut down within this call, before the caller can write the request to another server:
        the transport closes its socket only in a later iteration of the event loop, and until then this
        attempt could be executed concurrently with the next one.  What the kernel has not sent of a request
        by then is discarded: otherwise it would be sent ahead of the connection's end, whenever the server
        reads, and the request could be executed long after it was given up.
        """
        state = self._state
        if isinstance(state, Closed):
            return
        if isinstance(state, Writing):
            self._detach_request(state)
        self._timers.stop()
        self._state = Closed(is_unwritten=isinstance(state, Writing))
        if self._transport is not None:
            with borrow_socket(self._transport) as borrowed:
                if unsent_bytes(self._transport):
                    reset_on_close(borrowed)
                borrowed.shutdown(socket.SHUT_RDWR)
            self._transport.abort()
        self._reader.release()
        self._turns.discard()
        self._buffered_bytes.set(0)
        if self._owner is not None:
            self._owner.connection_closed(self)

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Makes the connection idle."""
        # uvloop's transports are not derived from asyncio's classes, so isinstance can't check the type.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)  # pause_writing is then called for any backlog
        self._descriptor = transport.get_extra_info("socket").fileno()
        self._poll.register(self._descriptor, select.POLLIN)
        if self._state is _UnusedState.CONNECTING:
            self._state = _UnusedState.IDLE

    def pause_writing(self) -> None:
        """Stops writing until the kernel has accepted all data in the transport's buffer."""
        self._has_backlog = True

    def resume_writing(self) -> None:
        """Continues writing: the kernel has accepted all data in the transport's buffer."""
        self._has_backlog = False
        self._continue_writing()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Returns the buffer that all connections read into, a part of it if what is read has to wait."""
        is_short = self._budget.is_exhausted or self._turns.is_deferred
        return _SHORT_READ_BUFFER if is_short else _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Processes received data, at once or in a later turn; closes a connection without an exchange."""
        if self._current_exchange() is None:
            self.close()
            return
        is_buffer_full = nbytes >= len(self.get_buffer(nbytes))
        self._turns.data_received(self, _READ_BUFFER[:nbytes], is_buffer_full=is_buffer_full)

    def take_turn(self) -> None:
        """Processes what was read."""
        self._turns.run(self)

    def process_input(self, received: bytes) -> None:
        """Processes what was read, if its exchange has not ended."""
        if received and self._current_exchange() is not None:
            self._process_data(received)

    def hold_reading(self) -> None:
        """Reads nothing until `release_reading`."""
        self._update_reading()

    def release_reading(self) -> None:
        """Reads again, unless reading is paused."""
        self._update_reading()

    def eof_received(self) -> None:
        """Completes a response that the end of the connection delimits; otherwise fails the exchange."""
        self._reader.feed_eof()
        if self._current_exchange() is not None and self._reader.response is not None:
            self._process_response()
        else:
            self._fail_after_disconnect()

    def connection_lost(self, _error: Exception | None) -> None:
        """Fails the exchange in flight."""
        self._fail_after_disconnect()

    # The request

    def _continue_writing(self) -> None:
        """Writes as much of the request as the kernel accepts, if its observer allows it now."""
        state = self._state
        if isinstance(state, Writing) and not self._has_backlog and state.observer.may_write():
            self._write_available(state)

    def _write_available(self, writing: Writing) -> None:
        """Writes as much of the received part of the request as the kernel accepts.

        A server may begin to execute the request as soon as it has the last byte.  That byte is never given
        to the transport, which could write it at any later time: it is written to the kernel directly, at a
        known time, after everything before it was accepted.
        """
        if writing.request.is_body_complete:
            self._write_remainder(writing)
        else:
            self._write_to_transport(writing.request.pop_available())

    def _write_to_transport(self, data: bytes) -> None:
        """Writes bytes that precede the last one; the transport buffers what the kernel does not accept."""
        if data and self._transport is not None:
            self._transport.write(data)
            if self._transport.is_closing():
                self._has_backlog = True  # the write failed immediately; connection_lost is called later

    def _write_remainder(self, writing: Writing) -> None:
        """Writes as much of the end of a completely received request as the kernel accepts."""
        remainder = writing.request.encode_remainder()
        try:
            count = os.write(self._descriptor, remainder)
        except BlockingIOError:
            count = 0
        except OSError:
            self._has_backlog = True  # the write failed immediately
            if self._transport is not None:
                self._transport.abort()  # connection_lost is called later
            return
        if count == len(remainder):
            self._detach_request(writing)
            self._state = AwaitingResponse(writing.observer)
            writing.observer.request_written()
            return
        writing.request.remove_written(count)
        self._write_to_transport(writing.request.pop_all_but_last_byte())
        if not self._has_backlog:
            # Only the last byte is left, for which the kernel may have no buffer space.  The transport has
            # nothing in its buffer, so it will not call resume_writing.
            writing.retry_timer = asyncio.get_running_loop().call_later(
                _LAST_BYTE_RETRY_S, self._continue_writing
            )

    def _detach_request(self, writing: Writing) -> None:
        if writing.retry_timer is not None:
            writing.retry_timer.cancel()
        writing.request.detach(self._continue_writing)

    # The response

    def _current_exchange(self) -> Exchange | None:
        state = self._state
        return state if isinstance(state, (AwaitingResponse, Streaming, Writing)) else None

    def _process_data(self, data: bytes) -> None:
        self._timers.progressed()
        self._reader.feed(data)
        self._process_response()
        self._buffered_bytes.set(self._reader.buffered_bytes)

    def _process_response(self) -> None:
        """Passes on streamed data, and ends the exchange if the response is complete or malformed."""
        reader = self._reader
        fault = self._find_response_fault()
        if fault is not None:
            self._fail_malformed(fault)
            return
        if isinstance(self._state, AwaitingResponse):
            head = self._head_to_stream(self._state)
            if head is not None:
                self._start_streaming(self._state, head)
        self._write_streamed_body()
        exchange = self._current_exchange()
        if exchange is None:
            return  # the observer or the consumer has closed the connection
        response = reader.take_response()
        if response is not None:
            self._complete_exchange(exchange, response)
        elif reader.is_mid_message:  # interim (1xx) responses do not count as a start
            self._response_incomplete(exchange)

    def _write_streamed_body(self) -> None:
        state = self._state
        if isinstance(state, Streaming):
            data = self._reader.pop_buffered_body()
            if data:
                state.consumer.write_body(data)

    def _response_incomplete(self, exchange: Exchange) -> None:
        """Starts the timers of a response that has begun, and tells the observer so."""
        if not self._has_reported_response:
            self._has_reported_response = True
            exchange.observer.response_began()
        is_held_back = isinstance(self._state, AwaitingResponse) and self._reader.head_to_pass_on is not None
        self._timers.response_incomplete(self, is_held_back=is_held_back)

    def _find_response_fault(self) -> ResponseFault | None:
        """Returns why the part of the response that was received is malformed; None if it is not."""
        reader, state = self._reader, self._state
        if reader.fault is not None:
            return reader.fault
        if isinstance(state, Writing) and reader.head is not None and reader.head.status == 200:
            # A server can't have executed an incomplete request, so this response belongs to another one.
            # Its body must not be buffered until the request is written, which its client may delay.
            return ResponseFault.BEFORE_REQUEST
        if isinstance(state, AwaitingResponse) and not state.observer.streams_responses:
            return ResponseFault.BODY_TOO_LARGE if reader.exceeds_buffer else None
        return None

    def _head_to_stream(self, awaiting: AwaitingResponse) -> Response | None:
        """Returns the head of a response whose body is to be streamed from now on; None if it is not."""
        if not awaiting.observer.streams_responses:
            return None
        if self._budget.is_exhausted and self._reader.incomplete_head is not None:
            return self._reader.incomplete_head
        return self._reader.head_to_stream

    def _start_streaming(self, awaiting: AwaitingResponse, head: Response) -> None:
        """Asks the observer for a consumer of the response; the exchange fails without one."""
        consumer = awaiting.observer.response_started(head)
        if consumer is None:
            self._fail_malformed(ResponseFault.NOT_AWAITED)
        elif self._state is awaiting:
            self._state = Streaming(awaiting.observer, consumer)
            self._timers.stall_timeout_s = _STREAM_STALL_TIMEOUT_S

    def pass_on_response(self) -> bool:
        """Streams the response from now on, however little of it was received, if it may be a long one.

        Returns:
            Whether the response is streamed.
        """
        state = self._state
        if isinstance(state, AwaitingResponse) and state.observer.streams_responses:
            head = self._reader.head_to_pass_on
            if head is not None:
                self._timers.progressed()
                self._start_streaming(state, head)
                self._write_streamed_body()
                self._buffered_bytes.set(self._reader.buffered_bytes)
                self._timers.response_incomplete(self, is_held_back=False)
        return isinstance(self._state, Streaming)

    def response_stalled(self) -> None:
        """Fails the exchange, unless its observer waits for the rest of the response."""
        exchange = self._current_exchange()
        if exchange is not None and not self._awaits_rest(exchange):
            self._fail_malformed(ResponseFault.STALLED)

    def _awaits_rest(self, exchange: Exchange) -> bool:
        reader = self._reader
        if isinstance(exchange, Streaming) or (reader.head is not None and reader.head.status != 200):
            return False  # no other outcome is possible
        return exchange.observer.response_stalled(has_head=reader.head is not None)

    def _complete_exchange(self, exchange: Exchange, response: Response) -> None:
        """Ends the exchange with a response, and decides whether the connection can be reused."""
        self._timers.stop()
        is_written = not isinstance(exchange, Writing)
        # Nothing in an HTTP/1.1 response identifies its request.  A connection that received excess data, or
        # a response before its request was written, is not reused: its next response could belong to another
        # request.
        is_in_sync = is_written and not self._has_backlog and not self._reader.has_excess_data
        # A server that responds early could still execute the request once it has received the rest.
        is_rest_expected = response.status != 200 and self.has_unsent_request
        # Any other response than a 200, on a connection with earlier exchanges, may be a duplicate of an
        # earlier response.  The server may then still have the request, so this connection is closed before
        # the request is retried elsewhere.
        is_final = response.status == 200 or self.is_response_certain
        if self._reader.keep_alive and is_in_sync and is_final and not is_rest_expected:
            self._state = _UnusedState.IDLE
            if self._timers.is_paused:
                self.resume()  # the consumer is done, and the next response has to be read
            if self._owner is not None:
                self._owner.connection_idle(self)
        else:
            self.close()
        exchange.observer.exchange_ended(response)

    def _fail_after_disconnect(self) -> None:
        self._fail_exchange(
            ExchangeFailure.UNWRITTEN if self.is_unwritten else ExchangeFailure.CONNECTION_LOST
        )

    def _fail_malformed(self, fault: ResponseFault) -> None:
        self.response_fault = fault
        self._fail_exchange(ExchangeFailure.MALFORMED_RESPONSE)

    def _fail_exchange(self, failure: ExchangeFailure) -> None:
        exchange = self._current_exchange()
        self.close()
        if exchange is not None:
            exchange.observer.exchange_ended(failure)
