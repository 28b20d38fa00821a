"""A simulated event loop, network and servers: virtual time, and every event is triggered by a script.

Nothing waits here, and nothing checks a rule.  Connections are objects that record what was written to them;
each has a real socket pair, because the program polls its sockets and shuts them down.
"""

from __future__ import annotations

import asyncio
import heapq
import socket
from asyncio import events
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MS = 1_000
OPENED_AT = 50_000_000  # the virtual clock at the start, in microseconds

SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"
REJECTED = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"


class VirtualLoop(asyncio.BaseEventLoop):
    """An event loop whose clock moves only in `advance`, and whose dials are ended by the script."""

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
        """The clock in whole microseconds."""
        return OPENED_AT + round(self._now * 1e6)

    def enter(self) -> None:
        """Be the running loop of this thread until `leave`."""
        events._set_running_loop(self)

    def leave(self) -> None:
        events._set_running_loop(None)
        self.close()

    def run_ready(self) -> None:
        """Run callbacks in the order in which they became due, until none is due at this time."""
        ready = self._ready  # type: ignore[attr-defined]
        while ready:
            handle = ready.popleft()
            if not handle._cancelled:
                handle._run()

    def advance(self, span_us: int) -> None:
        """Let time pass; timers fire on the way, each at its own time."""
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
        """Let time pass in which no callback runs: timers that fall due fire at the next `advance`."""
        self.run_ready()
        self._now += span_us / 1e6

    def _record_fault(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.faults.append(f"{context.get('message')}: {context.get('exception')!r}")

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int
    ) -> tuple[Any, Any]:
        """Connect; the script decides when that succeeds or fails."""
        dial = Dial(host, self.create_future(), self.now_us)
        self.network.dials.append(dial)
        dial.is_blocked = await dial.end
        protocol = protocol_factory()
        connection = Connection(self, self.network, dial.host, protocol, is_blocked=dial.is_blocked)
        self.network.connections.append(connection)
        protocol.connection_made(connection)
        return connection, protocol


@dataclass
class Dial:
    """One attempt to open a connection."""

    host: str
    end: asyncio.Future[bool]  # whether the network blocks what is written first
    began_at: int
    is_blocked: bool = False

    @property
    def is_pending(self) -> bool:
        return not self.end.done()


@dataclass
class Exchange:
    """One request on one connection, as the network sees it, and what came of it."""

    connection: Connection
    index: int  # on its connection, from 0
    accepted: bytearray = field(default_factory=bytearray)  # what the network took of the request
    request_id: str | None = None  # once its head was taken
    completed_at: int | None = None  # when the network accepted its last byte
    was_blocked: bool = False  # whether the network blocked a part of it
    was_buffered: bool = False  # whether the loop buffered its last byte before the network accepted it
    first_response: bytes | None = None  # the first that came on the connection since its first byte
    is_first_response_own: bool = False
    own_response: bytes | None = None  # the one that its server gave to it

    def accept(self, piece: bytes) -> bool:
        """Count a piece in; say whether the last byte is among it."""
        self.accepted += piece
        head, end, body = bytes(self.accepted).partition(b"\r\n\r\n")
        if not end:
            return False
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        self.request_id = fields[b"request-id"].decode()
        length = int(fields.get(b"content-length", b"0"))
        assert len(body) <= length, "more was written than the request has"
        return len(body) == length


class Transport:
    """What both directions share: a real socket pair, and the calls that the program makes."""

    def __init__(self, loop: VirtualLoop, protocol: Any) -> None:
        self.loop = loop
        self.protocol = protocol
        self.near, self.far = socket.socketpair()
        self.is_closed = False  # by the program, or by the other end

    def get_extra_info(self, name: str) -> Any:
        assert name == "socket"
        return self.near

    def is_closing(self) -> bool:
        return self.is_closed

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        assert high == 0

    def pause_reading(self) -> None:
        """The script brings what is read."""

    def resume_reading(self) -> None:
        """The script brings what is read."""

    def write_eof(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    def close(self) -> None:
        self.abort()

    def deliver(self, data: bytes) -> None:
        """Bytes come from the other end: they lie in the socket, and then the loop reads them."""
        self.far.send(data)
        size = self.near.recv_into(self.protocol.get_buffer(-1))
        self.protocol.buffer_updated(size)

    def release(self) -> None:
        """Give the descriptors back."""
        self.near.close()
        self.far.close()


class Connection(Transport):
    """A connection to a server.  While it is blocked, the network accepts half of the first write only."""

    def __init__(
        self, loop: VirtualLoop, network: Network, host: str, protocol: Any, *, is_blocked: bool
    ) -> None:
        super().__init__(loop, protocol)
        self.network = network
        self.host = host
        self.is_blocked = is_blocked
        self.has_space = is_blocked  # for half of the next piece
        self.transport_buffer = b""  # what the loop buffers
        self.opened_at = loop.now_us
        self.exchanges: list[Exchange] = []
        self.was_reset = False
        self.has_blocked_rest = False

    @property
    def exchange(self) -> Exchange | None:
        """The last one."""
        return self.exchanges[-1] if self.exchanges else None

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed it."""
        return not (self.is_closed or self.was_reset)

    @property
    def has_shut_down_sending(self) -> bool:
        """Whether the other end can see by now that no more will come."""
        if self.was_reset:
            return True
        try:
            return self.far.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False

    def write(self, data: bytes) -> None:
        """The program gives the loop bytes to write; it buffers what the network does not accept."""
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
        """The program writes to the socket itself; returns how much the network accepts."""
        if not self.is_open:
            raise BrokenPipeError
        assert not self.transport_buffer, "bytes overtake those that the loop buffers"
        accepted = self._space_for(data)
        if data and not accepted:
            raise BlockingIOError
        self._accept(data[:accepted])
        return accepted

    def _space_for(self, data: bytes) -> int:
        if not self.is_blocked:
            return len(data)
        has_space, self.has_space = self.has_space, False
        return len(data) // 2 if has_space else 0

    def get_write_buffer_size(self) -> int:
        return len(self.transport_buffer)

    def abort(self) -> None:
        self.transport_buffer = b""
        super().abort()

    @property
    def is_partly_written(self) -> bool:
        """Whether a request is written in part, and the network accepts no more of it."""
        last = self.exchange
        return self.is_open and self.is_blocked and last is not None and last.completed_at is None

    def _accept(self, data: bytes) -> None:
        if not data:
            return
        last = self.exchange
        if last is None or last.completed_at is not None:
            last = Exchange(self, len(self.exchanges), was_blocked=self.is_blocked)
            self.exchanges.append(last)
        if last.accept(data):
            last.completed_at = self.loop.now_us
            self.network.on_completed(last)

    # What the script does

    def unblock(self, *, blocks_rest: bool) -> None:
        """The network accepts what it blocked, and all that follows, unless it blocks that again."""
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
        """A response is received: the server's to this exchange, or a late duplicate of an earlier one."""
        last = self.exchange
        assert last is not None
        if last.first_response is None:
            last.first_response, last.is_first_response_own = data, is_own
        if is_own:
            last.own_response = data
        self.deliver(data)

    def reset(self) -> None:
        """The connection is reset, and the loop is notified."""
        self.was_reset = self.is_closed = True
        self.transport_buffer = b""
        self.far.close()
        self.protocol.connection_lost(ConnectionResetError())


class Kernel:
    """Stands in for `os` where the program writes to a socket itself."""

    def __init__(self, find: Callable[[], Network]) -> None:
        self._find = find

    def write(self, descriptor: int, data: bytes) -> int:
        """As `os.write` does on a socket that does not block."""
        return self._find().by_descriptor(descriptor).write_to_kernel(data)


class ClientEnd(Transport):
    """The application's connection to the sidecar."""

    def __init__(self, loop: VirtualLoop, protocol: Any, on_response: Callable[[int], None]) -> None:
        super().__init__(loop, protocol)
        self.on_response = on_response  # called with the status of each response, as it is written
        self.has_disconnected = False  # the other end has closed
        self.is_disconnect_unread = False  # and the loop has not read that yet
        protocol.connection_made(self)

    def write(self, data: bytes) -> None:
        if data.startswith(b"HTTP/1.1 "):
            self.on_response(int(data[9:12]))

    def get_write_buffer_size(self) -> int:
        return 0

    def leave(self) -> None:
        """The application closes its connection; the loop reads that in `notice`."""
        self.has_disconnected = self.is_disconnect_unread = True
        self.far.close()

    def read_disconnect(self) -> None:
        """The loop reads the connection's end."""
        if self.is_disconnect_unread:
            self.is_disconnect_unread = False
            if not self.is_closed:
                self.is_closed = True
                self.protocol.eof_received()
                self.protocol.connection_lost(None)


class Network:
    """All dials and connections to servers, in the order of their start."""

    def __init__(self, on_completed: Callable[[Exchange], None]) -> None:
        self.on_completed = on_completed  # called when a request's last byte is accepted
        self.dials: list[Dial] = []
        self.connections: list[Connection] = []

    def by_descriptor(self, descriptor: int) -> Connection:
        """The connection whose socket this is."""
        return next(each for each in self.connections if each.near.fileno() == descriptor)
