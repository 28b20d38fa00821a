"""Calls to servers: attempts and probes, and the pool of connections that carries them."""

from __future__ import annotations

import asyncio
import errno
from dataclasses import dataclass

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Settings
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.discovery.client import DiscoveryResponse
from tulipnotch.sidecar.http1.messages import KEPT, MOST_BODY, Response, ResponseReader
from tulipnotch.sidecar.requests.invariants import Invariant, InvariantChecker
from tulipnotch.sidecar.upstream.connection import (
    Address,
    ExchangeFailure,
    ResponseConsumer,
    UpstreamConnection,
)
from tulipnotch.sidecar.upstream.request import UpstreamRequest

_IDLE_MARGIN = 0.1  # of the idle limit: a connection this near to it may be closed at the far end by now
# How long a connection rests after an answer.  A server may answer twice, the second time some milliseconds
# late (1 to 3 were seen).  The rest keeps most of these from being taken for the next request's answer; it is
# no proof that one is not, so nothing is concluded from it (`UpstreamConnection.is_response_certain`).
_REST_US = 10_000
# An answer that has begun may stand still for this part of the shortest aim, while its request can still go
# elsewhere; what one core and a busy network do to any answer is less than the least.  That least is never
# more than a part of the shortest deadline: the rest of it is for another server.
_STALL_AIMS = 0.4
_STALL_LEAST_S = 0.1
_STALL_DEADLINES = 0.5
_TIMER_LEAST_US = 1_000  # event loops count in milliseconds: a timer that fires early would fire in vain
# How long after its head a request's last byte may leave.  The head tells what the client had left by then,
# and the server counts from the last byte: two thirds of the slack of this, the rest for a late process.
_TOLD_LATE_US = 100_000
_LARGEST_FIGURE = 1e9  # of a load report; what is larger is nonsense
# What says that this machine, not the server, had no room for a connection.
_OWN_FAULTS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


@dataclass(slots=True)
class _Idle:
    connection: UpstreamConnection
    since: int


class _Server:
    """Where a server is reached, and the connections to the process that is there now."""

    __slots__ = ("address", "cell", "idle", "is_leaving", "started_at", "zone")

    def __init__(self, address: Address, started_at: int | None) -> None:
        self.address = address
        self.started_at = started_at
        self.zone = ""
        self.cell = 0
        self.is_leaving = False
        self.idle: list[_Idle] = []  # the most recently used last


class UpstreamPool:
    """All connections to servers, never more than `most`."""

    def __init__(self, clock: Clock, settings: Settings, guard: InvariantChecker | None = None) -> None:
        self._clock = clock
        self._guard = guard or InvariantChecker()
        self.apply_settings(settings)
        self.max_connections = 0  # connections; set by whoever knows how many descriptors there are
        self._servers: dict[str, _Server] = {}
        self._owners: dict[UpstreamConnection, _Server] = {}  # of every open connection
        self._dialling = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._resting: dict[UpstreamConnection, asyncio.TimerHandle] = {}  # those that a call waits for
        self._sweep: asyncio.TimerHandle | None = None

    def apply_settings(self, settings: Settings) -> None:
        """Go by these settings from now on."""
        limits = settings.limits
        shortest_s = min(each.latency_objective_us for each in settings.classes) / 1e6
        deadline_s = min(each.deadline_us for each in settings.classes) / 1e6
        least_s = min(_STALL_LEAST_S, _STALL_DEADLINES * deadline_s)
        self._answer_within_s = max(_STALL_AIMS * shortest_s, least_s)
        self._dial_within_s = limits.connect_timeout_us / 1e6
        self._use_within_us = int(limits.idle_timeout_us * (1.0 - _IDLE_MARGIN))

    # The list

    def endpoints_updated(self, listing: DiscoveryResponse) -> None:
        """Take over a list or its changes, before any action that follows from it."""
        if listing.is_complete:
            for name in self._servers.keys() - {each.description.name for each in listing.endpoints}:
                self._drop(name)
        for entry in listing.endpoints:
            name, address = entry.description.name, entry.address
            if address is None:
                self._drop(name)
                continue
            server = self._servers.get(name)
            if server is None or (server.address, server.started_at) != (
                address,
                entry.description.started_at,
            ):
                # Guards against writing to what was there before under the same id.
                self._drop(name)
                server = self._servers[name] = _Server(address, entry.description.started_at)
            server.zone, server.cell = entry.description.zone, entry.description.cell
            server.is_leaving = entry.description.state is not EndpointState.READY
            if server.is_leaving:
                self._close_idle(server)

    def _drop(self, name: str) -> None:
        server = self._servers.pop(name, None)
        if server is not None:
            server.is_leaving = True  # for dials under way
            self._close_idle(server)

    # Calls

    def start(self, call: UpstreamRequest) -> None:
        loop = asyncio.get_running_loop()
        server = self._servers.get(call.endpoint)
        if server is None or server.is_leaving or self._clock.now() >= call.deadline:
            loop.call_soon(self._end, call, Outcome.NOT_SENT)
            return
        if not self._may_write(call):
            return
        self._arm(call)
        self._connect(call, server)

    def _connect(self, call: UpstreamRequest, server: _Server) -> None:
        """Bring the call to a connection: one at rest, one that has nearly rested, or a new one."""
        loop = asyncio.get_running_loop()
        connection = self._take(server)
        if connection is not None:
            self._write(call, connection)
        elif server.idle:
            # What is left of its rest is less than a handshake costs, and costs the server nothing.
            idle = server.idle.pop(0)
            left_s = max(idle.since + _REST_US - self._clock.now(), 0) / 1e6
            self._resting[idle.connection] = loop.call_later(
                left_s, self._rested, call, server, idle.connection
            )
        elif self._has_room():
            self._dialling += 1
            task = loop.create_task(self._dial(call, server))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            loop.call_soon(self._end, call, Outcome.NOT_SENT)

    def _rested(self, call: UpstreamRequest, server: _Server, connection: UpstreamConnection) -> None:
        del self._resting[connection]
        if not self._put_to_use(call, server, connection):
            self._connect(call, server)  # not a byte was written to it

    def _put_to_use(self, call: UpstreamRequest, server: _Server, connection: UpstreamConnection) -> bool:
        """Write the call to a connection that was waited for; say whether the connection was good."""
        if server.is_leaving:
            # Guards rule 3: word of its drain came meanwhile.
            connection.close()
            self._end(call, Outcome.NOT_SENT)
        elif not self._may_write(call):
            self._freed(connection)  # not a byte was written to it
        elif connection.is_usable():
            self._write(call, connection)
        else:
            connection.close()
            return False
        return True

    def set_deadline(self, call: UpstreamRequest, until: int) -> None:
        """Abandon the call at this time: it had no limit before."""
        if not call.has_ended and call.deadline >= NEVER:
            call.deadline = until
            if call.connection is not None:
                call.head_written_at = self._clock.now()  # its head told all that a whole request has
            self._arm(call)

    def cancel(self, call: UpstreamRequest) -> None:
        """Stop waiting; the outcome follows."""
        if not call.has_ended:
            self._stop(call, Outcome.NOT_SENT if call.is_unwritten else Outcome.CANCELLED)

    def _stop(self, call: UpstreamRequest, outcome: Outcome) -> None:
        """End a call from this side: nothing is written for it any more, also when a dial comes up."""
        call.has_ended = True
        if call.timer is not None:
            call.timer.cancel()
        if call.connection is not None:
            call.connection.close()
        asyncio.get_running_loop().call_soon(call.observer.ended, outcome, None)

    def cancel_unwritten(self, call: UpstreamRequest) -> None:
        """Stop what has not left whole.  No server has begun it, so no permission to cancel is needed."""
        if call.is_unwritten:
            self.cancel(call)

    def close_idle(self, name: str) -> None:
        server = self._servers.get(name)
        if server is not None:
            self._close_idle(server)

    def close_all_idle(self) -> None:
        for server in self._servers.values():
            self._close_idle(server)

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for timer in self._resting.values():
            timer.cancel()
        if self._sweep is not None:
            self._sweep.cancel()
        for connection in list(self._owners):
            connection.close()

    def latest_start_changed(self, call: UpstreamRequest) -> None:
        """Go by the call's latest beginning as it is now, since another attempt has begun."""
        if not call.has_ended and call.is_unwritten:
            self._arm(call)

    def _arm(self, call: UpstreamRequest) -> None:
        """Set the call's timer for the time at which it ends as it stands, if there is one."""
        if call.timer is not None:
            call.timer.cancel()
        due = min(call.deadline, call.observer.latest_start()) if call.is_unwritten else call.deadline
        if due < NEVER:
            left_s = max(due - self._clock.now(), _TIMER_LEAST_US) / 1e6
            call.timer = asyncio.get_running_loop().call_later(left_s, self._expire, call)

    def _expire(self, call: UpstreamRequest) -> None:
        """End the call if its time is up, or the time until which it may begin and has not."""
        now = self._clock.now()
        outcome = Outcome.TIMED_OUT
        if call.is_unwritten:
            # That a class may begin no more says nothing of the server.
            outcome = Outcome.NOT_SENT if now >= call.observer.latest_start() else Outcome.CONNECT_FAILED
        if outcome is not Outcome.NOT_SENT and now < call.deadline:
            self._arm(call)  # it has begun in time, or its bound is a later one by now
            return
        if call.connection is not None:
            call.connection.close()
        self._end(call, outcome)

    def _end(self, call: UpstreamRequest, outcome: Outcome, response: Response | None = None) -> None:
        if call.has_ended:
            return
        call.has_ended = True
        if call.timer is not None:
            call.timer.cancel()
        call.observer.ended(outcome, response)

    def _may_write(self, call: UpstreamRequest) -> bool:
        """Whether its class lets it begin, and somebody waits for it, as of now; if not, it is ended.

        The gate of every attempt, first or further: passed in the instant in which a dial is begun, a first
        byte is written or a further piece of it is, its last one among them.
        """
        if not call.has_ended and not call.observer.is_client_waiting():
            self.cancel(call)
        if not call.has_ended:
            # Read before the write: a process that is held up within it counts from here.
            call.last_allowed_at = self._clock.now()
            if call.last_allowed_at >= call.observer.latest_start():
                self._stop(call, Outcome.NOT_SENT)  # guards rule 2
            elif call.last_allowed_at >= call.deadline:
                self._stop(call, Outcome.CONNECT_FAILED)  # its timer is late
            elif (
                call.head_written_at is not None
                and call.last_allowed_at > call.head_written_at + _TOLD_LATE_US
            ):
                # Guards against a server that takes a request slowly, and believes that it has longer than
                # the client waits: it never ran there, and another is told what is left now.
                self._stop(call, Outcome.CONNECT_FAILED)
        return not call.has_ended

    def _write(self, call: UpstreamRequest, connection: UpstreamConnection) -> None:
        def ended(how: Response | ExchangeFailure) -> None:
            call.is_response_certain = connection.is_response_certain or call.is_unwritten
            self._end(call, _outcome(how), how if isinstance(how, Response) else None)

        def began(head: Response, connection: UpstreamConnection) -> ResponseConsumer | None:
            if call.timer is not None:
                call.timer.cancel()  # its time is kept: from here on, progress counts
            return call.observer.response_started(head, connection)

        self._guard.check(
            Invariant.ATTEMPT_TO_READY_ENDPOINT,
            call.endpoint,
            holds=self._is_ready(call.endpoint, connection),
        )
        call.connection = connection
        now = self._clock.now()
        call.head_written_at = now if call.deadline < NEVER else None
        message = call.build_message(max(call.deadline - now, 1_000))
        connection.exchange(
            message,
            ended,
            lambda: call.observer.request_written(call),
            began if call.observer.streams_responses else None,
            lambda: self._may_write(call),
        )

    def _is_ready(self, name: str, connection: UpstreamConnection) -> bool:
        """Whether the list has this server ready, and the connection leads to the process that is there."""
        server = self._servers.get(name)
        return server is not None and not server.is_leaving and self._owners.get(connection) is server

    def locality(self, name: str) -> tuple[str, int]:
        """The zone and the cell of a server, as listed; empty and 0 where it has left."""
        server = self._servers.get(name)
        return ("", 0) if server is None else (server.zone, server.cell)

    # Connections

    async def _dial(self, call: UpstreamRequest, server: _Server) -> None:
        outcome = Outcome.CONNECT_FAILED
        connection: UpstreamConnection | None = None
        try:
            async with asyncio.timeout(self._dial_within_s):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: UpstreamConnection(
                        ResponseReader(KEPT, MOST_BODY), self._freed, self._closed, self._answer_within_s
                    ),
                    *server.address,
                )
        except (OSError, TimeoutError) as fault:
            if isinstance(fault, OSError) and fault.errno in _OWN_FAULTS:
                outcome = Outcome.NOT_SENT
        finally:
            self._dialling -= 1
        if connection is None or connection.is_closed:
            # One that has ended as it came up was never counted, and its end is not told again.
            self._end(call, outcome)
            return
        self._owners[connection] = server
        if not self._put_to_use(call, server, connection):
            self._end(call, Outcome.CONNECT_FAILED)

    def _has_room(self) -> bool:
        """Whether one more connection may be opened, at the price of the one that is idle for longest."""
        if len(self._owners) + self._dialling < self.max_connections:
            return True
        oldest = min(
            (server for server in self._servers.values() if server.idle),
            key=lambda server: server.idle[0].since,
            default=None,
        )
        if oldest is None:
            return False
        oldest.idle.pop(0).connection.close()
        return True

    def _take(self, server: _Server) -> UpstreamConnection | None:
        """The most recently used idle connection that is good and has rested, if there is one."""
        now = self._clock.now()
        resting: list[_Idle] = []
        taken: UpstreamConnection | None = None
        while server.idle and taken is None:
            idle = server.idle.pop()
            if now - idle.since < _REST_US:
                resting.append(idle)
            elif now - idle.since < self._use_within_us and idle.connection.is_usable():
                taken = idle.connection
            else:
                idle.connection.close()
        server.idle += reversed(resting)
        return taken

    def _freed(self, connection: UpstreamConnection) -> None:
        server = self._owners.get(connection)
        if server is None or server.is_leaving:
            connection.close()
            return
        server.idle.append(_Idle(connection, self._clock.now()))
        if self._sweep is None:
            self._sweep = asyncio.get_running_loop().call_later(self._use_within_us / 4e6, self._close_old)

    def _close_old(self) -> None:
        """Close what has been idle for nearly as long as servers allow."""
        self._sweep = None
        before = self._clock.now() - self._use_within_us
        for server in self._servers.values():
            while server.idle and server.idle[0].since <= before:
                server.idle.pop(0).connection.close()
        if any(server.idle for server in self._servers.values()):
            self._sweep = asyncio.get_running_loop().call_later(self._use_within_us / 4e6, self._close_old)

    def _closed(self, connection: UpstreamConnection) -> None:
        server = self._owners.pop(connection, None)
        if server is not None:
            server.idle = [each for each in server.idle if each.connection is not connection]

    def _close_idle(self, server: _Server) -> None:
        idle, server.idle = server.idle, []
        for each in idle:
            each.connection.close()


def _outcome(how: Response | ExchangeFailure) -> Outcome:
    if how is ExchangeFailure.UNWRITTEN:
        return Outcome.CONNECT_FAILED
    if how is ExchangeFailure.CONNECTION_LOST:
        return Outcome.CONNECTION_LOST
    if how is ExchangeFailure.MALFORMED_RESPONSE:
        return Outcome.MALFORMED_RESPONSE
    if isinstance(how, Response):
        if how.status == 200:
            return Outcome.DELIVERED
        if how.status in (503, 504) and how.all_headers(b"not-started") == {b"1"}:
            return Outcome.OVERLOADED
        if 400 <= how.status < 500:
            return Outcome.CLIENT_ERROR
    return Outcome.SERVER_ERROR


def load_report(
    response: Response | None, columns: tuple[str, ...], *, in_body: bool = False
) -> dict[str, float] | None:
    """The load report of an answer, as far as the settings name its figures; nonsense counts as none."""
    if response is None:
        return None
    text = response.header(b"server-load") or (response.body if in_body else None)
    if not text:
        return None
    report: dict[str, float] = {}
    for pair in text.decode("latin-1").removeprefix("TEXT ").split(","):
        name, _, figure = pair.partition("=")
        if name.strip() in columns:
            try:
                value = float(figure)
            except ValueError:
                continue
            if 0.0 <= value <= _LARGEST_FIGURE:  # and a number
                report[name.strip()] = value
    return report or None
