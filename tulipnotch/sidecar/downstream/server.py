"""The application's side: its connections, their limits, and one answer to each request."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum, unique
from itertools import chain, islice
from typing import Protocol, cast

from tulipnotch.load_balancing.settings import ServiceClass, Settings
from tulipnotch.sidecar.control.lifecycle import Lifecycle
from tulipnotch.sidecar.downstream.incoming_request import BadRequestError, IncomingRequest, read_request
from tulipnotch.sidecar.downstream.listener import Acceptor
from tulipnotch.sidecar.http1.body import MAX_BUFFERED_BODY_BYTES
from tulipnotch.sidecar.http1.messages import CONTINUE, LAST_CHUNK, Headers, Request, Response, chunk
from tulipnotch.sidecar.http1.request_reader import RequestReader
from tulipnotch.sidecar.requests.invariants import CloseReason, InvariantChecker
from tulipnotch.sidecar.sockets import own_socket

_READ_AT_ONCE = 32 << 10
_WAITING = 32 << 10  # of a body that passes through, before its client has to wait for the server
_HEALTH = b"/_health"
_HAS_ENDED = (
    select.POLLRDHUP | select.POLLHUP | select.POLLERR
)  # of a client's socket, also with bytes unread
_RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: a close sends nothing more, and a reset
# How long a class that the settings no longer name is taken for requests of which no byte has come yet: they
# are on their way.
_CLASS_FADES_S = 2.0


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """What one client may take of the sidecar; times in seconds."""

    # From the connection, or the first byte of a further request, to its whole head.
    header_timeout_s: float = 2.7
    # Time limits on bodies go by progress: without a byte for so long, or with too few in a longer while.
    stall_s: float = 2.0
    trickle_s: float = 4.0
    least_in_trickle: int = 16 << 10
    reading_s: float = 20.0  # with an answer to read, and without reading any of it
    idle_timeout_s: float = 5.0  # at rest after an answer
    leaving_s: float = 0.5  # at rest, or silent, while the sidecar is being emptied
    greeting_s: float = 0.25  # how long one that connected is spared before its silence counts against it
    linger_s: float = 0.5  # how long a client may go on sending once our side has ended, before it is cut off
    sweep_s: float = 0.1  # how often the times are looked at
    most_bytes: int = 4 << 20  # of requests, read in part or whole, over all connections


@unique
class ConnectionState(Enum):
    """What a client's connection is about."""

    ENDING = "ending"  # it has its last answer, or what is left of that is on its way
    SILENT = "silent"  # not a byte came yet
    RESTING = "resting"  # its requests are answered
    READING = "reading"  # a part of a request came
    PASSING = "passing"  # a part of a request came, and passes through to a server
    SERVING = "serving"  # an answer is owed; never closed for room


class ResponseProducer(Protocol):
    """Where an answer that passes through comes from."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class DownstreamConnection(asyncio.BufferedProtocol):
    """One connection of the application, one request at a time."""

    def __init__(self, frontend: DownstreamServer, waited_s: float = 0.0) -> None:
        self._frontend = frontend
        self._waited_s = waited_s  # how long its first request may have lain unread, before it was accepted
        self._reader = RequestReader()
        self._transport: asyncio.Transport | None = None
        self._poll = select.poll()
        self._request: Request | None = None  # the one at hand
        self._classes: Mapping[str, ServiceClass] = {}  # as they were when the request that is read began
        self._owed: int | None = None  # the open request
        self._source: ResponseProducer | None = None  # of the answer that passes through
        self._answers_in_chunks = False
        self._is_writing_paused = False
        self.is_reading_paused = False
        self._progress_at = 0.0  # when a byte came last, or one more could be written
        self._looked_at = 0.0  # when it was last looked at how much had come
        self._came = 0  # bytes since then
        self._closed_for: CloseReason | None = None  # None: this side has not ended it
        self.state = ConnectionState.SILENT
        self.since = 0.0  # when it came to that state; for a part of a request, when that began
        self.held = 0  # bytes of the request at hand, and of what came behind it

    @property
    def is_idle(self) -> bool:
        """Whether closing it now loses nothing, not even a request that lies unread in the socket."""
        return (
            self.state in (ConnectionState.RESTING, ConnectionState.SILENT)
            and self._transport is not None
            and not self.is_unsent
            and not self.has_unread
        )

    @property
    def has_unread(self) -> bool:
        """Whether something lies unread in its socket: bytes, perhaps the last of a request, or its end."""
        return bool(self._poll.poll(0))

    @property
    def is_unsent(self) -> bool:
        """Whether a part of what was written to it has not left yet."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    @property
    def has_head(self) -> bool:
        """Whether the head of the request at hand is whole."""
        return self._reader.has_head

    def is_stuck(self, now: float, limits: ClientLimits) -> bool:
        """Whether the client has stopped sending what it began, or sends next to nothing."""
        if self.is_reading_paused:  # it is the server that takes nothing
            self._progress_at = self._looked_at = now
            self._came = 0
            return False
        if now - self._progress_at >= limits.stall_s:
            return True
        if now - self._looked_at < limits.trickle_s:
            return False
        too_little = self._came < limits.least_in_trickle
        self._looked_at, self._came = now, 0
        return too_little

    def is_unread(self, now: float, limits: ClientLimits) -> bool:
        """Whether the client has stopped reading its answer."""
        return self.is_unsent and now - self._progress_at >= limits.reading_s

    @property
    def _has_left(self) -> bool:
        return any(events & _HAS_ENDED for _, events in self._poll.poll(0))

    # What the sidecar calls

    def check_disconnected(self) -> None:
        """See whether the client is still there, before something is done for it.

        Guards against sending on what nobody waits for: its leaving may lie in the socket before the event
        loop has seen it, and is never seen while nothing is read.
        """
        if self._owed is not None and self._has_left:
            self._gone()
            self.abort(CloseReason.CLIENT_LEFT)

    def send_response(self, status: int, headers: Headers, body: bytes, length: int | None = None) -> None:
        """Write the one answer to the open request; `length` is given where no body may follow."""
        self._owed = None
        if self._transport is None or self._transport.is_closing():
            return
        request = self._request
        if request is not None and not request.body.is_complete:
            self._frontend.moved(self, ConnectionState.ENDING)  # what still comes of it is nobody's
        closing = self._closes_after(request)
        if closing:
            headers = [*headers, (b"connection", b"close")]
        with_body = request is None or request.method != b"HEAD"
        self._transport.write(Response(status, headers, body, length).encode(with_body=with_body))
        self._answered(closing=closing)

    def start_response(
        self, status: int, headers: Headers, length: int | None, source: ResponseProducer
    ) -> None:
        """Write the head of an answer that passes through; `pass_on` brings its body, `finish` its end."""
        if self._transport is None or self._transport.is_closing():
            return
        self._source = source
        request = self._request
        self._answers_in_chunks = length is None and request is not None and request.knows_chunks
        if length is None and request is not None and not request.knows_chunks:
            request.keep_alive = False  # nothing else tells where its answer ends
        if self._closes_after(request):
            headers = [*headers, (b"connection", b"close")]
        framing: Headers = []
        if length is not None:
            framing.append((b"content-length", b"%d" % length))
        elif self._answers_in_chunks:
            framing.append((b"transfer-encoding", b"chunked"))
        self._transport.write(Response(status, headers).head(framing))

    def write_body(self, piece: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._progress_at = asyncio.get_running_loop().time()
            self._transport.write(chunk(piece) if self._answers_in_chunks else piece)

    def finish_response(self) -> None:
        """The answer that passed through is whole."""
        self._owed = self._source = None
        if self._transport is None or self._transport.is_closing():
            return
        if self._answers_in_chunks:
            self._transport.write(LAST_CHUNK)
        self._answered(closing=self._closes_after(self._request))

    def _closes_after(self, request: Request | None) -> bool:
        return (
            self._frontend.lifecycle.is_draining
            or self.state is ConnectionState.ENDING
            or (request is not None and not request.keep_alive)
        )

    def _answered(self, *, closing: bool) -> None:
        """The request at hand has its answer: go on to the next, or hang up."""
        self._request = None
        if closing:
            self.close(CloseReason.ANSWERED)
            return
        self._frontend.moved(self, ConnectionState.RESTING)
        if self._reader.is_mid_message or self._reader.requests or self._reader.fault is not None:
            # Guards against waiting for data when the next request came in one piece with this one.
            self._frontend.moved(self, ConnectionState.READING)
            asyncio.get_running_loop().call_soon(self._advance)
        elif not self._is_writing_paused:
            self._resume_reading()

    def close(self, reason: CloseReason) -> None:
        """End our side, after what is still to be written, and let the client end its own, for a while.

        Guards against cutting the connection under an answer: with bytes unread, a close resets it, and what
        the client has not taken is lost.  What still comes is read and dropped: a request among it crosses
        our end, and its client sends it again.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._ends(reason)
        self._frontend.moved(self, ConnectionState.ENDING)
        self._reader.release()
        if not self.is_unsent:
            # Guards against a request that comes between a look at the socket and the event loop's own
            # shutdown, a round later: it would be dropped though it came before our end.
            with own_socket(transport) as own:
                own.shutdown(socket.SHUT_WR)
        transport.write_eof()
        self._resume_reading()

    def abort(self, reason: CloseReason) -> None:
        """Close it whatever is unsent; in the middle of an answer by a reset.

        Guards against an answer that ends with its connection: after an orderly end it would look whole.
        """
        if self._transport is None:
            return
        self._ends(reason)
        if self._source is not None:  # so it is open
            with own_socket(self._transport) as own:
                own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._transport.abort()

    def _ends(self, reason: CloseReason) -> None:
        """Keep why this side ends the connection; every such end passes here."""
        self._frontend.guard.check_close(reason, is_owed=self._owed is not None)
        if self._closed_for is None:
            self._closed_for = reason

    def reject(self, status: int, text: str = "") -> None:
        """Answer what can't be served, then hang up, whatever else came behind it.

        Guards against a client that sends nonsense as fast as it is turned away, and against taking what
        follows nonsense for a request.
        """
        self._closed_for = self._closed_for or CloseReason.REJECTED
        self._frontend.moved(self, ConnectionState.ENDING)
        self.send_response(status, [], f"{text}\n".encode() if text else b"")

    # What the event loop calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's class is none of asyncio's, so there is nothing to check.
        self._transport = cast(asyncio.Transport, transport)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self._frontend.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._frontend.buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self.state is ConnectionState.ENDING:
            return
        if self.state in (ConnectionState.RESTING, ConnectionState.SILENT):
            self._frontend.moved(self, ConnectionState.READING)
        self._progress_at = asyncio.get_running_loop().time()
        self._came += nbytes
        if not self._reader.is_mid_message and not self._reader.requests:
            self._classes = self._frontend.classes
        had_head = self._reader.has_head
        self._reader.feed(bytes(self._frontend.buffer[:nbytes]))
        if self._reader.has_head and not had_head:
            self._looked_at, self._came = self._progress_at, 0
        if self.state is ConnectionState.PASSING:
            # Before what is held is counted: a request whose last byte has been passed on is not given up.
            self._pass_through()
        # What passes through is never held for long: it counts up to what is kept of it.
        self._frontend.holds(self, min(nbytes, MAX_BUFFERED_BODY_BYTES + _WAITING - self.held))
        self._advance()
        if self._owed is None or self.state is ConnectionState.PASSING:
            return
        if self._reader.is_mid_message or self._reader.requests or self._reader.fault is not None:
            # Guards against a client that sends on and on behind its open request: none of it is due yet.
            self._pause_reading()

    def pause_writing(self) -> None:
        self._is_writing_paused = True
        self._progress_at = asyncio.get_running_loop().time()
        if self._source is not None:
            self._source.pause()
        elif self._owed is None and self.state is not ConnectionState.ENDING:
            self._pause_reading()

    def resume_writing(self) -> None:
        self._is_writing_paused = False
        self._progress_at = asyncio.get_running_loop().time()
        if self._source is not None:
            self._source.resume()
        self._advance()

    def eof_received(self) -> None:
        self._gone()

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone()
        self._reader.release()
        self._frontend.closed(self, self._closed_for or CloseReason.CLIENT_LEFT)
        self.state = ConnectionState.ENDING

    # The rest

    def _gone(self) -> None:
        owed, self._owed = self._owed, None
        self._source = None
        if owed is not None:
            self._frontend.gone(owed)

    def _pass_through(self) -> None:
        """See how the request stands whose body passes through."""
        request = self._request
        if request is None:
            return
        if self._reader.fault is not None:
            self.give_up(self._reader.fault)
        elif request.body.is_complete:
            self._frontend.moved(self, ConnectionState.SERVING)
        elif request.body.pending_bytes >= _WAITING:
            self._pause_reading()

    def give_up(self, status: int) -> None:
        """Turn away a request of which a part has passed through: its rest can't be used, or is late."""
        self._gone()
        self.reject(status)

    def _advance(self) -> None:
        """Read on as far as what has come allows."""
        while (
            self._owed is None
            and self.state is not ConnectionState.ENDING
            and self._transport is not None
            and not self._transport.is_closing()
        ):
            if self._is_writing_paused:
                return  # guards against a client that asks on and on, and reads no answer
            if self._reader.requests:
                self._taken(self._reader.requests.pop(0))
            elif self._reader.fault is not None:
                self.reject(self._reader.fault)
            else:
                if self._reader.awaits_continue:
                    self._reader.awaits_continue = False
                    self._transport.write(CONTINUE)
                self._resume_reading()
                return

    def _pause_reading(self) -> None:
        self.is_reading_paused = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.is_reading_paused:
            self.is_reading_paused = False
            self._progress_at = self._looked_at = asyncio.get_running_loop().time()
            self._came = 0
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _taken(self, request: Request) -> None:
        self._request = request
        self._frontend.moved(
            self, ConnectionState.SERVING if request.body.is_complete else ConnectionState.PASSING
        )
        if request.target == _HEALTH:
            phase = self._frontend.lifecycle.phase.value
            self.send_response(200 if self._frontend.lifecycle.is_ready else 503, [], f"{phase}\n".encode())
            return
        if self._has_left:
            self.abort(CloseReason.CLIENT_LEFT)  # it sent this ahead, and did not wait for it
            return
        try:
            incoming = self._frontend.read(request, self._classes)
            if request.body.is_complete:
                # Its time runs from when its client sent it, and servers are told what is left of that.
                incoming.remaining_us = max(incoming.remaining_us - int(self._waited_s * 1e6), 1)
            self._waited_s = 0.0
            self._owed = self._frontend.arrived(self, incoming)
            if self._owed is not None and not request.body.is_complete:
                request.body.on_taken = self._resume_reading
                self._pass_through()
        except BadRequestError as fault:
            self.reject(fault.status, str(fault))


class DownstreamServer:
    """All connections of the application, never more than `most`."""

    def __init__(
        self,
        settings: Settings,
        limits: ClientLimits,
        lifecycle: Lifecycle,
        on_arrival: Callable[[DownstreamConnection, IncomingRequest], int | None],
        on_gone: Callable[[int], None],
        on_closed: Callable[[CloseReason], None],
        guard: InvariantChecker,
    ) -> None:
        self._settings = settings
        self.classes = {each.name: each for each in settings.classes}  # never changed, only replaced
        self.max_connections = 0  # connections; set by whoever knows how many descriptors there are
        self._limits = limits
        self.arrived = on_arrival
        self.gone = on_gone
        self.guard = guard
        self.lifecycle = lifecycle
        self._on_closed = on_closed
        self.buffer = memoryview(bytearray(_READ_AT_ONCE))  # each read is used up before the next
        self._by_state: dict[ConnectionState, dict[DownstreamConnection, None]] = {
            each: {} for each in ConnectionState
        }
        self._held = 0
        self._acceptor: Acceptor | None = None
        self._sweep: asyncio.TimerHandle | None = None
        self.last_opened = 0.0

    def listen(self, listener: socket.socket) -> None:
        """Take clients from this listening socket on."""
        self._acceptor = Acceptor(listener, lambda waited_s: DownstreamConnection(self, waited_s))
        self._sweep_later()

    @property
    def port(self) -> int:
        assert self._acceptor is not None
        return self._acceptor.port

    def apply_settings(self, settings: Settings) -> None:
        """Read requests by these settings from now on."""
        now = {each.name: each for each in settings.classes}
        gone = {name: kind for name, kind in self.classes.items() if name not in now}
        self._settings, self.classes = settings, {**gone, **now}
        if gone:
            asyncio.get_running_loop().call_later(_CLASS_FADES_S, self._forget, gone)

    def _forget(self, gone: dict[str, ServiceClass]) -> None:
        """Take these classes no longer, unless they were named again meanwhile."""
        self.classes = {name: kind for name, kind in self.classes.items() if gone.get(name) is not kind}

    def read(self, request: Request, classes: Mapping[str, ServiceClass]) -> IncomingRequest:
        """Check a request that began to come when there were these classes: it keeps its own."""
        known = self.classes if classes is self.classes else {**classes, **self.classes}
        return read_request(request, self._settings, known)

    @property
    def has_no_connections(self) -> bool:
        """Whether no client is connected, nor accepted and about to be."""
        return not self.open_connections and (self._acceptor is None or not self._acceptor.connecting)

    def close_idle(self) -> None:
        for each in [each for each in self.connections() if each.is_idle]:
            each.close(CloseReason.IDLE)

    def accept_pending(self) -> bool:
        """Take all connections that wait in the kernel; say whether none is left there."""
        return self._acceptor is None or self._acceptor.accept_pending()

    def stop_listening(self) -> None:
        if self._acceptor is not None:
            self._acceptor.close()

    def close(self) -> None:
        self.stop_listening()
        if self._sweep is not None:
            self._sweep.cancel()

    @property
    def open_connections(self) -> int:
        return sum(len(each) for each in self._by_state.values())

    def connections(self) -> Iterator[DownstreamConnection]:
        for each in self._by_state.values():
            yield from each

    # What connections report

    def opened(self, connection: DownstreamConnection) -> None:
        self.last_opened = connection.since = asyncio.get_running_loop().time()
        if self.open_connections >= self.max_connections and not self._make_room():
            connection.state = (
                ConnectionState.ENDING
            )  # guards the limit on descriptors: there is none to close for it
            connection.abort(CloseReason.NO_ROOM)
            return
        self._by_state[ConnectionState.SILENT][connection] = None

    def moved(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        before = connection.state
        if state is before:
            return
        self._by_state[before].pop(connection, None)
        self._by_state[state][connection] = None
        connection.state = state
        if (before, state) != (
            ConnectionState.SILENT,
            ConnectionState.READING,
        ):  # its time runs from the connection on
            connection.since = asyncio.get_running_loop().time()
        if state in (ConnectionState.RESTING, ConnectionState.ENDING):
            self._let_go(connection)

    def holds(self, connection: DownstreamConnection, more: int) -> None:
        """Count what is kept in memory for requests; over the limit, the oldest half-sent one goes.

        Guards against many clients that each send a part of a large request, and no more.
        """
        connection.held += more
        self._held += more
        while self._held > self._limits.most_bytes:
            oldest = next(
                chain(self._by_state[ConnectionState.READING], self._by_state[ConnectionState.PASSING]), None
            )
            if oldest is None:
                return
            oldest.give_up(503)

    def closed(self, connection: DownstreamConnection, reason: CloseReason) -> None:
        self._on_closed(reason)
        self._by_state[connection.state].pop(connection, None)
        self._let_go(connection)

    def _let_go(self, connection: DownstreamConnection) -> None:
        self._held -= connection.held
        connection.held = 0

    def _make_room(self) -> bool:
        """Close the connection that is missed least; never one that is owed an answer."""
        silent_since = asyncio.get_running_loop().time() - self._limits.greeting_s
        spare = next(
            chain(
                (each for each in self._by_state[ConnectionState.ENDING] if not each.is_unsent),
                # Guards against closing a client that has just connected, its request on the way or unread,
                # while others rest: it would be left without an answer.
                (
                    each
                    for each in islice(self._by_state[ConnectionState.SILENT], 1)
                    if each.since <= silent_since and each.is_idle
                ),
                (each for each in self._by_state[ConnectionState.RESTING] if each.is_idle),
                (each for each in self._by_state[ConnectionState.SILENT] if each.is_idle),
                # Guards against cutting off a request whose last byte has arrived: that one has been taken.
                (each for each in self._by_state[ConnectionState.READING] if not each.has_unread),
            ),
            None,
        )
        if spare is None:
            return False
        self._by_state[spare.state].pop(spare)
        spare.abort(CloseReason.NO_ROOM)
        return True

    # Time limits

    def _sweep_later(self) -> None:
        self._sweep = asyncio.get_running_loop().call_later(self._limits.sweep_s, self._close_overdue)

    def _close_overdue(self) -> None:
        """Close what has taken too long: every descriptor that a client holds for nothing is another's.

        While the sidecar is being emptied that is soon, yet not at once: a client in the middle of its work
        has its next request answered, with word that the connection closes, and none meets a closed one.
        """
        now, limits = asyncio.get_running_loop().time(), self._limits
        leaving_s = limits.leaving_s if self.lifecycle.is_draining else limits.idle_timeout_s
        for each in list(self._by_state[ConnectionState.SILENT]):
            if now - each.since >= min(limits.header_timeout_s, leaving_s) and each.is_idle:
                each.close(CloseReason.SILENT)
        for each in list(self._by_state[ConnectionState.READING]):
            late = now - each.since >= limits.header_timeout_s
            if each.is_stuck(now, limits) if each.has_head else late:
                each.reject(408)
        for each in list(self._by_state[ConnectionState.PASSING]):
            if each.is_stuck(now, limits):
                each.give_up(408)
            elif each.is_reading_paused:
                each.check_disconnected()
        for each in list(self._by_state[ConnectionState.SERVING]):
            if each.is_unread(now, limits):
                each.abort(CloseReason.UNREAD)
            elif each.is_reading_paused:
                each.check_disconnected()
        for each in list(self._by_state[ConnectionState.RESTING]):
            if now - each.since < min(leaving_s, limits.idle_timeout_s):
                break  # they stand in the order in which they came to rest
            if each.is_idle:  # else its answer is still on the way, or a further request
                each.close(CloseReason.IDLE)
            elif each.is_unread(now, limits):
                each.abort(CloseReason.UNREAD)
        for each in list(self._by_state[ConnectionState.ENDING]):
            if each.is_unsent:  # its time begins when all has left
                each.since = now
                if each.is_unread(now, limits):
                    each.abort(CloseReason.UNREAD)
            elif now - each.since >= limits.linger_s:
                each.abort(CloseReason.LINGERED)
        self._sweep_later()
