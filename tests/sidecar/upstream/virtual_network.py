"""A simulated event loop and network in virtual time; a script triggers every event.

Nothing here waits or checks a rule.  Connections are objects that record what was written to them.  Each has
a real socket pair, because the sidecar polls its sockets and shuts them down.
"""

from __future__ import annotations

import asyncio
import heapq
import socket
from asyncio import events
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MS = 1_000  # microseconds in a millisecond
START_TIME_US = 50_000_000  # initial value of the virtual clock

SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"
REJECTED = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop whose clock is advanced by the script, which also decides the outcome of dials."""

    def __init__(self, network: Network) -> None:
        super().__init__()
        self._now = 0.0
        self.network = network
        self.faults: list[str] = []
        self.set_exception_handler(self._record_fault)

    def time(self) -> float:
        return self._now

    @property
    def now_us(self) -> int:
        """The clock time in microseconds."""
        return START_TIME_US + round(self._now * 1e6)

    def enter(self) -> None:
        """Makes this the running loop of the thread until `leave`."""
        events._set_running_loop(self)

    def leave(self) -> None:
        events._set_running_loop(None)
        self.close()

    def run_ready(self) -> None:
        """Runs callbacks in the order in which they became ready, until none is ready."""
        ready = self._ready  # type: ignore[attr-defined]
        while ready:
            handle = ready.popleft()
            if not handle._cancelled:
                handle._run()

    def advance(self, span_us: int) -> None:
        """Advances the clock; timers that become due fire in order, each at its own time."""
        until = self._now + span_us / 1e6
        timers = self._scheduled  # type: ignore[attr-defined]
        self.run_ready()
        while timers and timers[0].when() <= until:
            timer = heapq.heappop(timers)
            timer._scheduled = False
            if not timer._cancelled:
                self._now = max(self._now, timer.when())
                timer._run()
                self.run_ready()
        self._now = until
        self.run_ready()

    def delay(self, span_us: int) -> None:
        """Advances the clock without running callbacks: due timers fire at the next `advance`."""
        self.run_ready()
        self._now += span_us / 1e6

    def _record_fault(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.faults.append(f"{context.get('message')}: {context.get('exception')!r}")

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int
    ) -> tuple[Any, Any]:
        """Opens a connection; the script decides when this succeeds or fails."""
        dial = Dial(host, self.create_future(), self.now_us)
        self.network.dials.append(dial)
        dial.is_blocked = await dial.result
        protocol = protocol_factory()
        connection = Connection(self, self.network, dial.host, protocol, is_blocked=dial.is_blocked)
        self.network.connections.append(connection)
        protocol.connection_made(connection)
        return connection, protocol


@dataclass
class Dial:
    """An attempt to open a connection."""

    host: str
    result: asyncio.Future[bool]  # set by the script: whether the network blocks the first data
    started_at: int
    is_blocked: bool = False

    @property
    def is_pending(self) -> bool:
        return not self.result.done()


@dataclass
class Exchange:
    """One request on one connection, as visible on the network, and its responses."""

    connection: Connection
    index: int  # position on its connection, from 0
    accepted: bytearray = field(default_factory=bytearray)  # data of the request that the network accepted
    request_id: str | None = None  # set once its head was accepted
    completed_at: int | None = None  # time (us) at which the network accepted its last byte
    was_blocked: bool = False  # whether the network blocked a part of it
    was_buffered: bool = False  # whether the loop buffered its last byte before the network accepted it
    first_response: bytes | None = None  # the first response received since its first byte
    is_first_response_own: bool = False
    own_response: bytes | None = None  # the response of its server to this request

    def add_data(self, data: bytes) -> bool:
        """Adds accepted data; returns whether it contains the request's last byte."""
        self.accepted += data
        head, end, body = bytes(self.accepted).partition(b"\r\n\r\n")
        if not end:
            return False
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        self.request_id = fields[b"request-id"].decode()
        length = int(fields.get(b"content-length", b"0"))
        assert len(body) <= length, "more was written than the request has"
        return len(body) == length


class Transport:
    """The common part of both transports: a real socket pair, and the methods that the sidecar calls."""

    def __init__(self, loop: VirtualLoop, protocol: Any) -> None:
        self.loop = loop
        self.protocol = protocol
        self.local_socket, self.peer_socket = socket.socketpair()
        self.is_closed = False  # by the sidecar or by the peer

    def get_extra_info(self, name: str) -> Any:
        assert name == "socket"
        return self.local_socket

    def is_closing(self) -> bool:
        return self.is_closed

    def pause_reading(self) -> None:
        """Does nothing: the script decides what is read."""

    def resume_reading(self) -> None:
        """Does nothing: the script decides what is read."""

    def write_eof(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    def close(self) -> None:
        self.abort()

    def deliver(self, data: bytes) -> None:
        """Sends data from the peer, which the loop reads immediately."""
        self.peer_socket.send(data)
        size = self.local_socket.recv_into(self.protocol.get_buffer(-1))
        self.protocol.buffer_updated(size)

    def release(self) -> None:
        """Closes both sockets."""
        self.local_socket.close()
        self.peer_socket.close()


class Connection(Transport):
    """A connection to a server.  While it is blocked, the network accepts only half of the first write."""

    def __init__(
        self, loop: VirtualLoop, network: Network, host: str, protocol: Any, *, is_blocked: bool
    ) -> None:
        super().__init__(loop, protocol)
        self.network = network
        self.host = host
        self.is_blocked = is_blocked
        self.accepts_half = is_blocked  # whether half of the next write is accepted while blocked
        self.transport_buffer = b""  # data that the network has not accepted yet
        self.opened_at = loop.now_us
        self.exchanges: list[Exchange] = []
        self.was_reset = False
        self.has_blocked_rest = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        assert high == 0

    @property
    def exchange(self) -> Exchange | None:
        """The last exchange, or None."""
        return self.exchanges[-1] if self.exchanges else None

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed the connection."""
        return not (self.is_closed or self.was_reset)

    @property
    def has_shut_down_sending(self) -> bool:
        """Whether the sidecar has ended its sending, as visible to the server."""
        if self.was_reset:
            return True
        try:
            return self.peer_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False

    def write(self, data: bytes) -> None:
        """Writes data from the sidecar; buffers what the network does not accept."""
        if not data or not self.is_open:
            return
        accepted = 0 if self.transport_buffer else self._space_for(data)
        self._accept(data[:accepted])
        if accepted < len(data):
            is_first = not self.transport_buffer
            self.transport_buffer += bytes(data[accepted:])
            if is_first:
                self.protocol.pause_writing()

    def write_to_kernel(self, data: bytes) -> int:
        """Writes data that bypasses the loop's buffer; returns how many bytes the network accepts."""
        if not self.is_open:
            raise BrokenPipeError
        assert not self.transport_buffer, "data is written ahead of the data in the loop's buffer"
        accepted = self._space_for(data)
        if data and not accepted:
            raise BlockingIOError
        self._accept(data[:accepted])
        return accepted

    def _space_for(self, data: bytes) -> int:
        if not self.is_blocked:
            return len(data)
        accepts_half, self.accepts_half = self.accepts_half, False
        return len(data) // 2 if accepts_half else 0

    def get_write_buffer_size(self) -> int:
        return len(self.transport_buffer)

    def abort(self) -> None:
        self.transport_buffer = b""
        super().abort()

    @property
    def is_partly_written(self) -> bool:
        """Whether a request is partly written and the network accepts no more of it."""
        last = self.exchange
        return self.is_open and self.is_blocked and last is not None and last.completed_at is None

    def _accept(self, data: bytes) -> None:
        if not data:
            return
        last = self.exchange
        if last is None or last.completed_at is not None:
            last = Exchange(self, len(self.exchanges), was_blocked=self.is_blocked)
            self.exchanges.append(last)
        if last.add_data(data):
            last.completed_at = self.loop.now_us
            self.network.on_completed(last)

    # Called by the script

    def unblock(self, *, blocks_rest: bool) -> None:
        """Accepts the blocked data, and all further data unless `blocks_rest`."""
        self.is_blocked = self.has_blocked_rest = blocks_rest
        data, self.transport_buffer = self.transport_buffer, b""
        if data:
            last = self.exchange
            assert last is not None
            last.was_buffered = True
            self._accept(data)
            last.was_buffered = last.completed_at is not None
            self.protocol.resume_writing()

    def respond(self, data: bytes, *, is_own: bool) -> None:
        """Delivers a response to the last exchange, or a late duplicate of an earlier one if not `is_own`."""
        last = self.exchange
        assert last is not None
        if last.first_response is None:
            last.first_response, last.is_first_response_own = data, is_own
        if is_own:
            last.own_response = data
        self.deliver(data)

    def reset(self) -> None:
        """Resets the connection and notifies the sidecar."""
        self.was_reset = self.is_closed = True
        self.transport_buffer = b""
        self.peer_socket.close()
        self.protocol.connection_lost(ConnectionResetError())


class FakeOs:
    """Replaces the module `os` where the sidecar writes to a socket directly."""

    def __init__(self, find_network: Callable[[], Network]) -> None:
        self._find_network = find_network

    def write(self, descriptor: int, data: bytes) -> int:
        """Behaves like `os.write` on a non-blocking socket."""
        return self._find_network().connection_by_descriptor(descriptor).write_to_kernel(data)


class ClientTransport(Transport):
    """The transport of the client's connection, on the side of the sidecar."""

    def __init__(self, loop: VirtualLoop, protocol: Any, on_response: Callable[[int], None]) -> None:
        super().__init__(loop, protocol)
        self.on_response = on_response  # called with the status of each response when it is written
        self.has_disconnected = False  # whether the client has closed the connection
        self.is_disconnect_unread = False  # whether the loop has not read the end yet
        protocol.connection_made(self)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        assert high is not None
        assert high > 0

    def write(self, data: bytes) -> None:
        if data.startswith(b"HTTP/1.1 "):
            self.on_response(int(data[9:12]))

    def get_write_buffer_size(self) -> int:
        return 0

    def disconnect(self) -> None:
        """Closes the client's end; the loop reads this in `read_disconnect`."""
        self.has_disconnected = self.is_disconnect_unread = True
        self.peer_socket.close()

    def read_disconnect(self) -> None:
        """Makes the loop read the end of the connection."""
        if self.is_disconnect_unread:
            self.is_disconnect_unread = False
            if not self.is_closed:
                self.is_closed = True
                self.protocol.eof_received()
                self.protocol.connection_lost(None)


class Network:
    """All dials and connections to servers, in the order in which they started."""

    def __init__(self, on_completed: Callable[[Exchange], None]) -> None:
        self.on_completed = on_completed  # called when a request's last byte is accepted
        self.dials: list[Dial] = []
        self.connections: list[Connection] = []

    def connection_by_descriptor(self, descriptor: int) -> Connection:
        """Returns the connection whose socket has this descriptor."""
        return next(each for each in self.connections if each.local_socket.fileno() == descriptor)
