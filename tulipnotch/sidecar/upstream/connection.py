"""The client's side of one HTTP/1.1 connection: one exchange at a time, and how it ended.

A connection never starts or repeats a request by itself: the caller of `start_exchange` decides what is
written, and its observer is asked before each later write.  A connection is in one of these states:

    connecting -> idle -> writing -> awaiting the response -> (streaming the response) -> idle

and closed, which follows any of them.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
from enum import Enum, auto, unique
from typing import Protocol, cast

from tulipnotch.sidecar.http1.messages import Request, Response
from tulipnotch.sidecar.http1.response_reader import ResponseReader
from tulipnotch.sidecar.sockets import own_socket
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
from tulipnotch.sidecar.upstream.unwritten_request import UnwrittenRequest

_STREAM_STALL_TIMEOUT_S = 20.0  # without progress of a streamed response, which can't be retried

_LAST_BYTE_RETRY_S = 0.002  # until the last byte is offered again to a kernel without buffer space for it

# Every connection reads into this one buffer; each read is used up before the next.  An event loop's own
# buffer takes 256 KiB for each read, and several reads may come before a connection that receives too much is
# closed.
_READ_BUFFER = memoryview(bytearray(32 << 10))


class ConnectionOwner(Protocol):
    """Whoever decides on the further use of a connection."""

    def connection_idle(self, connection: UpstreamConnection) -> None:
        """An exchange has ended, and the connection can carry another; called before its observer is."""
        ...

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """The connection can never be used again; called once."""
        ...


@unique
class _Unused(Enum):
    """The states of an open connection without an exchange."""

    CONNECTING = auto()
    IDLE = auto()


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to a server; owns its socket and the exchange under way."""

    def __init__(
        self, reader: ResponseReader, owner: ConnectionOwner | None, response_stall_timeout_s: float
    ) -> None:
        """Begin unconnected.

        Args:
            reader: Reads this connection's responses, and no other's.
            owner: Notified when the connection is idle or closed, if there is one.
            response_stall_timeout_s: The longest time without progress of a response that has started and is
                not streamed.
        """
        self._reader = reader
        self._owner = owner
        self._response_stall_timeout_s = response_stall_timeout_s
        self._state: _Unused | Exchange | Closed = _Unused.CONNECTING
        self._transport: asyncio.Transport | None = None  # once it is connected
        self._descriptor = -1  # of the socket, once it is connected
        self._poll = select.poll()
        self._stall_timer: asyncio.TimerHandle | None = None  # while a response is received in part
        self._progress_at = 0.0  # when a part of the response was received last, in the loop's time (s)
        self._exchange_count = 0  # with the one under way
        self._has_backlog = False  # whether the transport buffers what the kernel did not accept yet
        self._is_reading_paused = False

    @property
    def is_closed(self) -> bool:
        """Whether it can never be used again, and its owner has been notified."""
        return isinstance(self._state, Closed)

    @property
    def is_unwritten(self) -> bool:
        """Whether the last request was not written completely, so that no server can have begun it."""
        if isinstance(self._state, Closed):
            return self._state.is_unwritten
        return isinstance(self._state, Writing)

    @property
    def is_response_certain(self) -> bool:
        """Whether a response can belong to the last request only, since there was no other before it."""
        return self._exchange_count <= 1

    def is_usable(self) -> bool:
        """Whether a request may be written now: the connection is open and idle, and nothing is unread.

        A server may close an idle connection at any time, and its end may be in the socket before the event
        loop has read it.  A request that is written then may have been executed, as far as can be known.
        """
        if self._state is not _Unused.IDLE or self._transport is None or self._transport.is_closing():
            return False
        return not self._poll.poll(0)

    def start_exchange(self, request: Request, observer: ExchangeObserver) -> None:
        """Write a request, as far as the network accepts it; the observer is notified of the rest.

        `ExchangeObserver.exchange_ended` is not called within this call.

        Raises:
            ConnectionNotIdleError: The connection is not connected, in use or closed.
        """
        if self._state is not _Unused.IDLE:
            raise ConnectionNotIdleError(f"{self._state}")
        self._reader.expect_response(to_head_request=request.method == b"HEAD")
        self._exchange_count += 1
        self._state = writing = Writing(observer, UnwrittenRequest(request, self._write_more))
        self._write_available(writing)

    def pause(self) -> None:
        """Stop reading the response until its consumer has capacity."""
        self._is_reading_paused = True
        if self._transport is not None and not self.is_closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Go on reading the response."""
        self._is_reading_paused = False
        self._progress_at = asyncio.get_running_loop().time()
        if self._transport is not None and not self.is_closed:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the connection; the observer of an exchange under way is not notified.

        Its sending ends within this call, before anything that the caller writes elsewhere next: the
        transport closes its socket only in a later round of the event loop, and until then a further attempt
        would be executed beside this one.
        """
        state = self._state
        if isinstance(state, Closed):
            return
        if isinstance(state, Writing):
            self._stop_writing(state)
        self._stop_stall_timer()
        self._state = Closed(is_unwritten=isinstance(state, Writing))
        if self._transport is not None:
            with own_socket(self._transport) as own:
                own.shutdown(socket.SHUT_RDWR)
            self._transport.abort()
        self._reader.release()
        if self._owner is not None:
            self._owner.connection_closed(self)

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the idle state."""
        # uvloop's class is not derived from asyncio's, so that there is nothing to check at run time.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)  # so that pause_writing means: something is unwritten
        self._descriptor = transport.get_extra_info("socket").fileno()
        self._poll.register(self._descriptor, select.POLLIN)
        if self._state is _Unused.CONNECTING:
            self._state = _Unused.IDLE

    def pause_writing(self) -> None:
        """Write nothing more until the kernel has accepted what the transport buffers."""
        self._has_backlog = True

    def resume_writing(self) -> None:
        """Go on writing, as the kernel has accepted all that was given to the transport."""
        self._has_backlog = False
        self._write_more()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return where to read into."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Read a part of a response; close the connection where none is due."""
        if isinstance(self._state, (AwaitingResponse, Streaming, Writing)):
            self._read(bytes(_READ_BUFFER[:nbytes]))
        else:
            self.close()

    def eof_received(self) -> None:
        """End the response where only the connection's end delimits it; else the exchange fails."""
        self._reader.feed_end()
        if self._current_exchange() is not None and self._reader.response is not None:
            self._process_response()
        else:
            self._connection_broken()

    def connection_lost(self, _error: Exception | None) -> None:
        """End the exchange under way."""
        self._connection_broken()

    # The request

    def _write_more(self) -> None:
        """Write what the network accepts of the request, if its observer allows it now."""
        state = self._state
        if isinstance(state, Writing) and not self._has_backlog and state.observer.may_write():
            self._write_available(state)

    def _write_available(self, writing: Writing) -> None:
        """Write what was received of the request, as far as the network accepts it.

        A server may begin with the last byte.  That one is never given to the transport, which would write it
        at any later time: it is written to the kernel here, in this instant, once all before it is written.
        """
        if writing.request.is_body_complete:
            self._write_end(writing)
        else:
            self._write(writing.request.pop_available())

    def _write(self, data: bytes) -> None:
        """Write what is not the end of a request; the transport buffers what the kernel does not accept."""
        if data and self._transport is not None:
            self._transport.write(data)
            if self._transport.is_closing():
                self._has_backlog = True  # the write failed at once; connection_lost follows

    def _write_end(self, writing: Writing) -> None:
        """Write the end of a request that was received completely, or as much of it as the kernel accepts."""
        remainder = writing.request.remainder()
        try:
            count = os.write(self._descriptor, remainder)
        except BlockingIOError:
            count = 0
        except OSError:
            self._has_backlog = True  # the write failed at once
            if self._transport is not None:
                self._transport.abort()  # and connection_lost follows
            return
        if count == len(remainder):
            self._stop_writing(writing)
            self._state = AwaitingResponse(writing.observer)
            writing.observer.request_written()
            return
        writing.request.written(count)
        self._write(writing.request.pop_all_but_last_byte())
        if not self._has_backlog:
            # The kernel accepted all but one byte, or has no space for the one that is left: the transport
            # buffers nothing, and so resume_writing will not be called.
            writing.retry_timer = asyncio.get_running_loop().call_later(_LAST_BYTE_RETRY_S, self._write_more)

    def _stop_writing(self, writing: Writing) -> None:
        if writing.retry_timer is not None:
            writing.retry_timer.cancel()
        writing.request.detach(self._write_more)

    # The response

    def _current_exchange(self) -> Exchange | None:
        state = self._state
        return state if isinstance(state, (AwaitingResponse, Streaming, Writing)) else None

    def _read(self, data: bytes) -> None:
        self._progress_at = asyncio.get_running_loop().time()
        self._reader.feed(data)
        self._process_response()

    def _process_response(self) -> None:
        """Pass on or complete the response, as far as it was received."""
        reader = self._reader
        if reader.is_malformed:
            self._fail(ExchangeFailure.MALFORMED_RESPONSE)
            return
        if isinstance(self._state, AwaitingResponse):
            head = reader.head_to_stream
            if head is not None and self._state.observer.streams_responses:
                self._start_streaming(self._state, head)
        state = self._state
        if isinstance(state, Streaming):
            data = reader.pop_buffered()
            if data:
                state.consumer.write_body(data)
        if not isinstance(self._state, (AwaitingResponse, Streaming, Writing)):
            return  # the observer or the consumer has closed it meanwhile
        response = reader.response
        if response is not None:
            self._response_received(self._state, response)
        elif reader.is_mid_message and self._stall_timer is None:
            # A response that has started and never ends would occupy its request until the deadline, when it
            # is too late to try another server.  Interim responses do not count as a start.
            self._check_progress()

    def _start_streaming(self, awaiting: AwaitingResponse, head: Response) -> None:
        """Find a consumer for the response, which fails without one."""
        consumer = awaiting.observer.response_started(head)
        if consumer is None:
            self._fail(ExchangeFailure.MALFORMED_RESPONSE)  # nobody waits for it any more
        elif self._state is awaiting:
            self._state = Streaming(awaiting.observer, consumer)

    def _check_progress(self) -> None:
        """Fail the exchange if its response makes no progress, or look again when that could be."""
        loop = asyncio.get_running_loop()
        if self._is_reading_paused:
            self._progress_at = loop.time()
        is_streaming = isinstance(self._state, Streaming)
        timeout_s = _STREAM_STALL_TIMEOUT_S if is_streaming else self._response_stall_timeout_s
        remaining_s = self._progress_at + timeout_s - loop.time()
        if remaining_s <= 0.0:
            self._fail(ExchangeFailure.MALFORMED_RESPONSE)
        else:
            self._stall_timer = loop.call_later(remaining_s, self._check_progress)

    def _stop_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _response_received(self, exchange: Exchange, response: Response) -> None:
        """End the exchange, and decide whether the connection can carry another."""
        self._stop_stall_timer()
        is_written = not isinstance(exchange, Writing)
        if response.status == 200 and not is_written:
            # A successful response to an incomplete request belongs to another request.
            self._fail(ExchangeFailure.MALFORMED_RESPONSE)
            return
        # Nothing in a response names its request.  So that no response is taken for another request's, a
        # connection that received more than was due, or before the request was written, is never used again.
        is_clean = is_written and not self._has_backlog and not self._reader.has_excess_data
        # A response that does not end the client's request, on a connection that carried others, may be a
        # duplicate of an earlier one.  The request may be at this server still, and is not sent elsewhere
        # unless this connection is closed.
        is_final = response.status == 200 or self.is_response_certain
        if self._reader.keep_alive and is_clean and is_final:
            self._state = _Unused.IDLE
            if self._is_reading_paused:
                self.resume()  # the consumer has no more to take, and the next response is to be read
            if self._owner is not None:
                self._owner.connection_idle(self)
        else:
            self.close()
        exchange.observer.exchange_ended(response)

    def _connection_broken(self) -> None:
        self._fail(ExchangeFailure.UNWRITTEN if self.is_unwritten else ExchangeFailure.CONNECTION_LOST)

    def _fail(self, failure: ExchangeFailure) -> None:
        exchange = self._current_exchange()
        self.close()
        if exchange is not None:
            exchange.observer.exchange_ended(failure)
