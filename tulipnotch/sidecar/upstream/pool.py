"""The pool of connections to servers, and the requests that wait for one."""

from __future__ import annotations

import asyncio

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Settings
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse
from tulipnotch.sidecar.http1.body import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
from tulipnotch.sidecar.http1.response_reader import ResponseReader
from tulipnotch.sidecar.requests.invariants import Invariant, InvariantChecker
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.dial import dial
from tulipnotch.sidecar.upstream.endpoint_connections import EndpointConnections, IdleConnection
from tulipnotch.sidecar.upstream.errors import ConnectError
from tulipnotch.sidecar.upstream.request import UpstreamRequest
from tulipnotch.sidecar.upstream.request_exchange import RequestExchange
from tulipnotch.sidecar.upstream.timeouts import UpstreamTimeouts
from tulipnotch.sidecar.upstream.write_gate import WriteGate

# How long a connection is not used after a response.  A server may send a duplicate of a response some
# milliseconds later; the delay keeps most of these from being taken for the next request's response.  It
# proves nothing, so nothing is concluded from it (`UpstreamConnection.is_response_certain`).
_REUSE_DELAY_US = 10_000
_MIN_ANNOUNCED_TIMEOUT_US = 1_000  # what the head of a request announces at least


class UpstreamPool:
    """All connections to servers, at most `max_connections`, and the requests on their way to one.

    Attributes:
        max_connections: Set by whoever divides the process's descriptors.
    """

    def __init__(self, clock: Clock, settings: Settings, invariants: InvariantChecker | None = None) -> None:
        """Begin without endpoints and without capacity for connections."""
        self.max_connections = 0
        self._clock = clock
        self._invariants = invariants or InvariantChecker()
        self._gate = WriteGate(clock)
        self._timeouts = UpstreamTimeouts.from_settings(settings)
        self._endpoints: dict[str, EndpointConnections] = {}
        self._endpoint_of: dict[UpstreamConnection, EndpointConnections] = {}  # for every open connection
        self._dials_in_flight = 0
        self._dial_tasks: set[asyncio.Task[None]] = set()
        self._reuse_timers: dict[UpstreamConnection, asyncio.TimerHandle] = {}  # where a request waits
        self._idle_timer: asyncio.TimerHandle | None = None

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed time limits; open connections keep some of theirs."""
        self._timeouts = UpstreamTimeouts.from_settings(settings)

    # Endpoints

    def endpoints_updated(self, response: DiscoveryResponse) -> None:
        """Apply an endpoint list or its changes, before any action that follows from it."""
        if response.is_complete:
            names = {each.description.name for each in response.endpoints}
            for name in self._endpoints.keys() - names:
                self._remove_endpoint(name)
        for each in response.endpoints:
            name, started_at = each.description.name, each.description.started_at
            if each.address is None:
                self._remove_endpoint(name)
                continue
            endpoint = self._endpoints.get(name)
            if endpoint is None or (endpoint.address, endpoint.started_at) != (each.address, started_at):
                # Connections lead to the process that had this name before.
                self._remove_endpoint(name)
                endpoint = self._endpoints[name] = EndpointConnections(each.address, started_at)
            endpoint.zone, endpoint.cell = each.description.zone, each.description.cell
            endpoint.is_draining = each.description.state is not EndpointState.READY
            if endpoint.is_draining:
                endpoint.close_idle()

    def _remove_endpoint(self, name: str) -> None:
        endpoint = self._endpoints.pop(name, None)
        if endpoint is not None:
            endpoint.is_draining = True  # for connections that are being established
            endpoint.close_idle()

    def endpoint_locality(self, name: str) -> tuple[str, int]:
        """Return the zone and the cell of an endpoint; empty and 0 where it was removed."""
        endpoint = self._endpoints.get(name)
        return ("", 0) if endpoint is None else (endpoint.zone, endpoint.cell)

    # Requests

    def start_request(self, request: UpstreamRequest) -> None:
        """Send a request to its endpoint; its observer is notified of what becomes of it."""
        endpoint = self._endpoints.get(request.endpoint)
        if endpoint is None or endpoint.is_draining or self._clock.now() >= request.deadline:
            asyncio.get_running_loop().call_soon(self._gate.end, request, Outcome.NOT_SENT)
            return
        if not self._gate.may_write(request):
            return
        self._gate.start_timer(request)
        self._assign_connection(request, endpoint)

    def set_deadline(self, request: UpstreamRequest, until: int) -> None:
        """End the request at this time (us); it had no deadline before."""
        self._gate.set_deadline(request, until)

    def write_deadline_changed(self, request: UpstreamRequest) -> None:
        """Read the request's latest start again, since another attempt was written."""
        self._gate.write_deadline_changed(request)

    def cancel_request(self, request: UpstreamRequest) -> None:
        """End the request from this side; its observer is notified later, not within this call."""
        self._gate.cancel(request)

    def cancel_if_unwritten(self, request: UpstreamRequest) -> None:
        """End a request that is not written completely.

        No server has begun to execute it, so that it may be cancelled also where the settings forbid that.
        """
        if request.is_unwritten:
            self.cancel_request(request)

    def _assign_connection(self, request: UpstreamRequest, endpoint: EndpointConnections) -> None:
        """Use an idle connection, wait for one to be reusable, or establish a new one."""
        loop = asyncio.get_running_loop()
        connection = self._pop_reusable(endpoint)
        if connection is not None:
            self._write(request, connection)
        elif endpoint.idle:
            # What is left of the reuse delay is shorter than a handshake, and costs the server nothing.
            idle = endpoint.idle.pop(0)
            delay_s = max(idle.since + _REUSE_DELAY_US - self._clock.now(), 0) / 1e6
            self._reuse_timers[idle.connection] = loop.call_later(
                delay_s, self._reuse_delay_ended, request, endpoint, idle.connection
            )
        elif self._has_capacity():
            self._dials_in_flight += 1
            task = loop.create_task(self._connect(request, endpoint))
            self._dial_tasks.add(task)
            task.add_done_callback(self._dial_tasks.discard)
        else:
            loop.call_soon(self._gate.end, request, Outcome.NOT_SENT)

    def _reuse_delay_ended(
        self, request: UpstreamRequest, endpoint: EndpointConnections, connection: UpstreamConnection
    ) -> None:
        del self._reuse_timers[connection]
        if not self._use_connection(request, endpoint, connection):
            self._assign_connection(request, endpoint)  # nothing was written

    async def _connect(self, request: UpstreamRequest, endpoint: EndpointConnections) -> None:
        """Establish a connection for a request; where the request has ended meanwhile, for others."""
        connection: UpstreamConnection | None = None
        outcome = Outcome.CONNECT_FAILED
        try:
            connection = await dial(endpoint.address, self._create_connection, self._timeouts.connect_s)
        except ConnectError as error:
            outcome = error.outcome
        finally:
            self._dials_in_flight -= 1
        if connection is None:
            self._gate.end(request, outcome)
            return
        self._endpoint_of[connection] = endpoint
        if not self._use_connection(request, endpoint, connection):
            self._gate.end(request, Outcome.CONNECT_FAILED)

    def _create_connection(self) -> UpstreamConnection:
        reader = ResponseReader(MAX_BUFFERED_BODY_BYTES, MAX_BODY_BYTES)
        return UpstreamConnection(reader, self, self._timeouts.response_stall_s)

    def _use_connection(
        self, request: UpstreamRequest, endpoint: EndpointConnections, connection: UpstreamConnection
    ) -> bool:
        """Write the request to a connection that it waited for, if it still may be written.

        Returns:
            Whether the connection was usable.
        """
        if endpoint.is_draining:
            connection.close()
            self._gate.end(request, Outcome.NOT_SENT)
        elif not self._gate.may_write(request):
            self.connection_idle(connection)
        elif connection.is_usable():
            self._write(request, connection)
        else:
            connection.close()
            return False
        return True

    def _write(self, request: UpstreamRequest, connection: UpstreamConnection) -> None:
        endpoint = self._endpoints.get(request.endpoint)
        is_ready = endpoint is not None and not endpoint.is_draining
        self._invariants.check(
            Invariant.ATTEMPT_TO_READY_ENDPOINT,
            request.endpoint,
            holds=is_ready and self._endpoint_of.get(connection) is endpoint,
        )
        request.connection = connection
        now = self._clock.now()
        request.timeout_runs_from = now if request.deadline < NEVER else None
        message = request.build_message(max(request.deadline - now, _MIN_ANNOUNCED_TIMEOUT_US))
        connection.start_exchange(message, RequestExchange(self._gate, request, connection))

    # Connections

    def connection_idle(self, connection: UpstreamConnection) -> None:
        """Keep an open connection for a later request, unless its endpoint drains."""
        endpoint = self._endpoint_of.get(connection)
        if endpoint is None or endpoint.is_draining:
            connection.close()
            return
        endpoint.idle.append(IdleConnection(connection, self._clock.now()))
        if self._idle_timer is None:
            self._start_idle_timer()

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection."""
        endpoint = self._endpoint_of.pop(connection, None)
        if endpoint is not None:
            endpoint.remove_idle(connection)

    def close_idle_connections(self, name: str) -> None:
        """Close the idle connections to an endpoint."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.close_idle()

    def close_all_idle_connections(self) -> None:
        """Close all idle connections."""
        for endpoint in self._endpoints.values():
            endpoint.close_idle()

    def close(self) -> None:
        """Close all connections, and cancel what waits for one; observers are not notified."""
        for task in self._dial_tasks:
            task.cancel()
        for timer in self._reuse_timers.values():
            timer.cancel()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for connection in list(self._endpoint_of):
            connection.close()

    def _has_capacity(self) -> bool:
        """Whether one more connection may be established; may close the one that is idle for longest."""
        if len(self._endpoint_of) + self._dials_in_flight < self.max_connections:
            return True
        longest_idle = min(
            (endpoint for endpoint in self._endpoints.values() if endpoint.idle),
            key=lambda endpoint: endpoint.idle[0].since,
            default=None,
        )
        if longest_idle is None:
            return False
        longest_idle.idle.pop(0).connection.close()
        return True

    def _pop_reusable(self, endpoint: EndpointConnections) -> UpstreamConnection | None:
        """Remove and return the most recently used connection that can be used now, if there is one."""
        now = self._clock.now()
        delayed: list[IdleConnection] = []
        reusable: UpstreamConnection | None = None
        while endpoint.idle and reusable is None:
            idle = endpoint.idle.pop()
            if now - idle.since < _REUSE_DELAY_US:
                delayed.append(idle)
            elif now - idle.since < self._timeouts.max_idle_us and idle.connection.is_usable():
                reusable = idle.connection
            else:
                idle.connection.close()
        endpoint.idle += reversed(delayed)
        return reusable

    def _start_idle_timer(self) -> None:
        delay_s = self._timeouts.max_idle_us / 4e6  # a quarter of it
        self._idle_timer = asyncio.get_running_loop().call_later(delay_s, self._close_expired)

    def _close_expired(self) -> None:
        """Close what has been idle for nearly as long as servers allow."""
        self._idle_timer = None
        idle_since = self._clock.now() - self._timeouts.max_idle_us
        for endpoint in self._endpoints.values():
            endpoint.close_idle_since(idle_since)
        if any(endpoint.idle for endpoint in self._endpoints.values()):
            self._start_idle_timer()
