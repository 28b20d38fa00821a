"""The client's side of one HTTP/1.1 connection: one exchange at a time, and how it ended.

It sends nothing by itself and nothing twice: whoever calls `exchange` decides what is written, and when.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
from collections.abc import Callable
from enum import Enum, unique
from typing import Protocol, cast

from tulipnotch.sidecar.http1.messages import Request, Response, ResponseReader
from tulipnotch.sidecar.sockets import own_socket

_PASSING_TIMEOUT_S = 20.0  # without a byte of one that is being passed on: its client has nobody else to ask

_LOOK_FOR_ROOM_S = 0.002  # between two offers of a request's last byte to a kernel that had no room for it


@unique
class ExchangeFailure(Enum):
    """Why an exchange has no answer."""

    UNWRITTEN = "unwritten"  # the connection broke before the request's last byte was written
    CONNECTION_LOST = "broken"  # it broke or ended after that
    MALFORMED_RESPONSE = (
        "spoilt"  # what came is not HTTP, can be read in two ways, is too large or has no end
    )


# What every connection reads into; each read is used up before the next.  Guards against answers that keep
# coming: an event loop's own buffer is 256 KiB for each read, and several may come before one can close.
_BUFFER = memoryview(bytearray(32 << 10))

Ended = Callable[[Response | ExchangeFailure], None]


class ResponseConsumer(Protocol):
    """Who an answer is passed on to, piece by piece."""

    def write_body(self, piece: bytes) -> None: ...


# Given the head of an answer too large to be kept, and its connection: who takes it, or None for nobody.
Began = Callable[[Response, "UpstreamConnection"], ResponseConsumer | None]


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection.  `on_free` is called when it can be used again, `on_closed` once when it never can."""

    def __init__(
        self,
        reader: ResponseReader,
        on_free: Callable[[UpstreamConnection], None],
        on_closed: Callable[[UpstreamConnection], None],
        answer_timeout_s: float,  # without a byte of an answer that has begun and is not passed on yet
    ) -> None:
        self._reader = reader
        self._on_free = on_free
        self._on_closed = on_closed
        self._answer_timeout_s = answer_timeout_s
        self._stall_timer: asyncio.TimerHandle | None = None  # runs while a part of an answer is there
        self._progress_at = 0.0
        self._transport: asyncio.Transport | None = None
        self._descriptor = -1  # of the socket, once it is connected
        self._poll = select.poll()
        self._ended: Ended | None = None
        self._written: Callable[[], None] | None = None  # until the request's last byte is written
        self._began: Began | None = None
        self._may_write: Callable[[], bool] | None = None  # asked before more of a request is written
        self._sink: ResponseConsumer | None = None
        self._request: Request | None = None  # while a part of it is still to be written
        self._unsent = b""  # what was cut off the request's end, since the kernel had no room for all of it
        self._has_end = False  # whether that is all that is left of it
        self._room_timer: asyncio.TimerHandle | None = None  # until the last byte is offered again
        self._is_written = True  # whether the last request's last byte has left, also after a close
        self._requests = 0  # written to it so far, with the one under way
        self._has_backlog = False  # whether the transport holds what the kernel did not take yet
        self._is_paused = False
        self._closed = False

    # What the owner calls

    @property
    def is_closed(self) -> bool:
        """Whether it can never be used again, and its owner has been told so."""
        return self._closed

    def is_usable(self) -> bool:
        """Whether a request may be written now: open, at rest, and nothing came that was not asked for.

        Guards against the race with a peer that closes an idle connection: its end may lie in the socket
        before the event loop has seen it, and a request written then may have run, for all one can tell.
        """
        if self._closed or self._transport is None or self._transport.is_closing() or self._ended is not None:
            return False
        return not self._poll.poll(0)

    def exchange(
        self,
        request: Request,
        ended: Ended,
        written: Callable[[], None] | None = None,
        began: Began | None = None,
        may_write: Callable[[], bool] | None = None,
    ) -> None:
        """Write a request; `ended` is called exactly once, but never from within this call.

        `written` is called in the instant in which its last byte leaves, if that comes about.  `began` is
        asked who takes an answer that is too large to be kept; without it, such an answer is spoilt.
        `may_write` is asked in the instant of each write that comes after this call, the last byte's among
        them: whoever says no has closed this connection, and nothing more is written.
        """
        assert self._transport is not None and self._ended is None
        self._ended, self._written, self._began, self._may_write = ended, written, began, None
        self._reader.expect(is_head=request.method == b"HEAD")
        self._requests += 1
        self._is_written = self._has_end = False
        self._request = request
        self._unsent = request.start()
        request.body.on_more = self._write_on
        self._write_on()
        self._may_write = may_write  # what goes in this instant, its caller has looked at

    def pause(self) -> None:
        """Read no more of the answer until its taker has room."""
        self._is_paused = True
        if self._transport is not None and not self._closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        self._is_paused = False
        self._progress_at = asyncio.get_running_loop().time()
        if self._transport is not None and not self._closed:
            self._transport.resume_reading()

    def close(self) -> None:
        """Give the connection up.  An exchange under way is dropped without a word.

        Its sending ends within this call, before anything that the caller may write elsewhere next: the
        transport itself closes its socket only in a later round of the event loop, and until then a further
        attempt would be a second copy beside this one.
        """
        self._ended = self._written = self._began = self._may_write = self._sink = None
        self._let_go_of_body()
        self._stop_timer()
        if self._transport is not None and not self._closed:
            with own_socket(self._transport) as own:
                own.shutdown(socket.SHUT_RDWR)
            self._transport.abort()
        self._report_closed()

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=0)  # pause_writing then means: something is unwritten
        self._descriptor = transport.get_extra_info("socket").fileno()
        self._poll.register(self._descriptor, select.POLLIN)

    def pause_writing(self) -> None:
        self._has_backlog = True

    def resume_writing(self) -> None:
        self._has_backlog = False
        self._write_on()

    def get_buffer(self, sizehint: int) -> memoryview:
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._ended is None:
            self.close()  # nothing was asked
            return
        self._read(bytes(_BUFFER[:nbytes]))

    def eof_received(self) -> None:
        self._reader.feed_end()
        if self._ended is not None and self._reader.response is not None:
            self._go_on()
        else:
            self._break()

    def connection_lost(self, exc: Exception | None) -> None:
        self._break()

    # The request

    def _write_on(self) -> None:
        """Write what has come of the request, as far as the network takes it.

        A server may begin with the last byte.  So that one is never left to the transport, which would write
        it whenever the network has room: it goes to the kernel here, once all before it has gone, and
        `may_write` is asked in that instant.
        """
        request = self._request
        if request is None or self._closed or self._has_backlog:
            return
        if self._may_write is not None and not self._may_write():
            return
        if request.body.is_complete:
            if not self._has_end:
                self._unsent += request.framed(request.body.take()) + request.end
                self._has_end = True
            self._write_end()
        else:
            self._write(self._unsent + request.framed(request.body.take(but=1)))
            self._unsent = b""

    def _write(self, piece: bytes) -> None:
        """Hand over what no server can begin with: the transport keeps what the kernel does not take."""
        assert self._transport is not None
        if piece:
            self._transport.write(piece)
            if self._transport.is_closing():
                self._has_backlog = True  # the write failed at once; connection_lost follows

    def _write_end(self) -> None:
        """Write the end of a request, which has come whole; what the kernel does not take waits for room."""
        assert self._transport is not None
        try:
            taken = os.write(self._descriptor, self._unsent)
        except BlockingIOError:
            taken = 0
        except OSError:
            self._has_backlog = True  # the write failed at once
            self._transport.abort()  # and connection_lost follows
            return
        self._unsent = self._unsent[taken:]
        if not self._unsent:
            self._all_written()
            return
        before_last, self._unsent = self._unsent[:-1], self._unsent[-1:]
        self._write(before_last)
        if not self._has_backlog:
            # Room for all but one byte, or for none: there is nothing left whose leaving would tell of room.
            self._room_timer = asyncio.get_running_loop().call_later(_LOOK_FOR_ROOM_S, self._write_on)

    def _let_go_of_body(self) -> None:
        request, self._request = self._request, None
        self._unsent = b""
        if self._room_timer is not None:
            self._room_timer.cancel()
            self._room_timer = None
        if request is not None and request.body.on_more == self._write_on:
            request.body.on_more = None

    def _all_written(self) -> None:
        self._let_go_of_body()
        self._is_written = True
        written, self._written = self._written, None
        if written is not None:
            written()

    @property
    def is_unwritten(self) -> bool:
        """Whether the last request's last byte never left, so that no server can have begun it."""
        return not self._is_written

    @property
    def is_response_certain(self) -> bool:
        """Whether an answer can belong to the request under way only: no other was written here before."""
        return self._requests <= 1

    # The answer

    def _read(self, data: bytes) -> None:
        self._progress_at = asyncio.get_running_loop().time()
        self._reader.feed(data)
        self._go_on()

    def _go_on(self) -> None:
        """Carry on as far as what has come of the answer allows."""
        reader = self._reader
        if reader.is_malformed:
            self._fail(ExchangeFailure.MALFORMED_RESPONSE)
            return
        if self._sink is None and self._began is not None and reader.is_due_on and not self.is_unwritten:
            assert reader.head is not None
            self._sink = self._began(reader.head, self)
            if self._sink is None:
                self._fail(ExchangeFailure.MALFORMED_RESPONSE)  # nobody waits for it any more
                return
        if self._sink is not None:
            piece = reader.take()
            if piece:
                self._sink.write_body(piece)
        if self._ended is None:
            return  # whoever takes it has given it up meanwhile
        if reader.response is not None:
            self._answered(reader.response)
        elif reader.is_mid_message and self._stall_timer is None:
            # Guards against an answer that was begun and never ends: it would hold its request until the
            # deadline, too late to try another server.  A 1xx ahead begins nothing.
            self._watch_for_stall()

    def _watch_for_stall(self) -> None:
        loop = asyncio.get_running_loop()
        if self._is_paused:
            self._progress_at = loop.time()
        allowed = self._answer_timeout_s if self._sink is None else _PASSING_TIMEOUT_S
        left = self._progress_at + allowed - loop.time()
        if left <= 0.0:
            self._fail(ExchangeFailure.MALFORMED_RESPONSE)
        else:
            self._stall_timer = loop.call_later(left, self._watch_for_stall)

    def _stop_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _answered(self, response: Response) -> None:
        self._stop_timer()
        ended, self._ended = self._ended, None
        if self.is_unwritten and response.status == 200:
            # An answer to what was not asked yet belongs to something else.
            self._ended = ended
            self._fail(ExchangeFailure.MALFORMED_RESPONSE)
            return
        # Guards against an answer that belongs to another request: nothing in it names its own, so a
        # connection that brought more than was due, or before all was asked, is never used again.
        is_clean = not self.is_unwritten and not self._has_backlog and not self._reader.has_more
        # Nor may its request go elsewhere while it may be at this server still: an answer that ends nothing
        # for the client, on a connection that had others, may be a copy of an earlier one.
        is_over = response.status == 200 or self.is_response_certain
        if self._reader.keep_alive and is_clean and is_over:
            self._began = self._may_write = self._sink = None
            if self._is_paused:
                self.resume()  # whoever took this answer asks for no more, and the next one is to be read
            self._on_free(self)
        else:
            self.close()
        if ended is not None:
            ended(response)

    def _break(self) -> None:
        self._fail(ExchangeFailure.UNWRITTEN if self.is_unwritten else ExchangeFailure.CONNECTION_LOST)

    def _fail(self, failure: ExchangeFailure) -> None:
        ended = self._ended
        self.close()
        if ended is not None:
            ended(failure)

    def _report_closed(self) -> None:
        if not self._closed:
            self._closed = True
            self._reader.release()
            self._on_closed(self)
