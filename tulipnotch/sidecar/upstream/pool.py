"""The pool of connections to servers, and the requests that wait for a connection."""

from __future__ import annotations

import asyncio

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Settings
from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse
from tulipnotch.sidecar.http1.body import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
from tulipnotch.sidecar.http1.response_reader import ResponseReader
from tulipnotch.sidecar.requests.invariants import Invariant, InvariantChecker
from tulipnotch.sidecar.response_budget import ResponseBudget
from tulipnotch.sidecar.turn_scheduler import TurnScheduler
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.dial import dial
from tulipnotch.sidecar.upstream.endpoint_connections import EndpointConnections, IdleConnection
from tulipnotch.sidecar.upstream.errors import ConnectError
from tulipnotch.sidecar.upstream.request import UpstreamRequest
from tulipnotch.sidecar.upstream.request_exchange import RequestExchangeObserver
from tulipnotch.sidecar.upstream.timeouts import UpstreamTimeouts
from tulipnotch.sidecar.upstream.write_gate import WriteGate

# A connection is not reused for this long after a response.  A server may send a duplicate of a response some
# milliseconds later; the delay keeps most duplicates from being taken for the response to the next request.
# It does not exclude them, so no decision relies on it (see `UpstreamConnection.is_response_certain`).
_REUSE_DELAY_US = 10_000
_MIN_ANNOUNCED_TIMEOUT_US = 1_000  # the smallest timeout that the head of a request announces


class UpstreamPool:
    """Owns all connections to servers, and assigns requests to them.

    Attributes:
        max_connections: The limit on open connections and those being established.  It is set by the owner of
            the process's file descriptor budget.
    """

    def __init__(
        self,
        clock: Clock,
        settings: Settings,
        invariants: InvariantChecker | None = None,
        response_budget: ResponseBudget | None = None,
    ) -> None:
        """Starts without endpoints; no connection is allowed until `max_connections` is set."""
        self.max_connections = 0
        self._response_budget = response_budget or ResponseBudget()
        self._turns = TurnScheduler()
        self._clock = clock
        self._invariants = invariants or InvariantChecker()
        self._gate = WriteGate(clock)
        self._timeouts = UpstreamTimeouts.from_settings(settings)
        self._endpoints: dict[str, EndpointConnections] = {}
        # Contains every open connection.
        self._endpoint_of: dict[UpstreamConnection, EndpointConnections] = {}
        self._dials_in_flight = 0
        self._dial_tasks: set[asyncio.Task[None]] = set()
        # Connections reserved for a request that waits for the end of their reuse delay.
        self._reuse_timers: dict[UpstreamConnection, asyncio.TimerHandle] = {}
        self._idle_timer: asyncio.TimerHandle | None = None

    def apply_settings(self, settings: Settings) -> None:
        """Applies changed timeouts; open connections keep the stall timeout that they were created with."""
        self._timeouts = UpstreamTimeouts.from_settings(settings)

    # Endpoints

    def endpoints_updated(self, response: DiscoveryResponse) -> None:
        """Applies an endpoint list or changes to it; called before the actions that result from it."""
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
                # If the server was restarted or moved, existing connections lead to its earlier process.
                self._remove_endpoint(name)
                endpoint = self._endpoints[name] = EndpointConnections(each.address, started_at)
            endpoint.zone, endpoint.cell = each.description.zone, each.description.cell
            endpoint.is_draining = each.description.state is not EndpointState.READY
            if endpoint.is_draining:
                endpoint.close_idle()
        self._remove_superseded()

    def _remove_superseded(self) -> None:
        """Removes endpoints whose address has a process that started later: theirs is gone.

        Until the list says so, the balancer may still select them; their attempts then end unsent.
        """
        newest: dict[Address, tuple[int, str]] = {}
        superseded: list[str] = []
        for name, endpoint in self._endpoints.items():
            started_at = endpoint.started_at or 0
            other_started_at, other = newest.get(endpoint.address, (started_at, name))
            if started_at < other_started_at:
                superseded.append(name)
                continue
            if started_at > other_started_at:
                superseded.append(other)
            newest[endpoint.address] = (started_at, name)
        for name in superseded:
            self._remove_endpoint(name)

    def _remove_endpoint(self, name: str) -> None:
        endpoint = self._endpoints.pop(name, None)
        if endpoint is not None:
            endpoint.is_draining = True  # seen by connections that are being established
            endpoint.close_idle()

    def endpoint_address(self, name: str) -> Address | None:
        """Returns the address of an endpoint, or None if it was removed."""
        endpoint = self._endpoints.get(name)
        return None if endpoint is None else endpoint.address

    def endpoint_locality(self, name: str) -> tuple[str, int]:
        """Returns the zone and the cell of an endpoint, or `("", 0)` if it was removed."""
        endpoint = self._endpoints.get(name)
        return ("", 0) if endpoint is None else (endpoint.zone, endpoint.cell)

    # Requests

    def start_request(self, request: UpstreamRequest) -> None:
        """Starts sending a request to its endpoint; its observer is notified of its progress and outcome."""
        endpoint = self._endpoints.get(request.endpoint)
        if endpoint is None or endpoint.is_draining or self._clock.now() >= request.deadline:
            asyncio.get_running_loop().call_soon(self._gate.end_request, request, Outcome.NOT_SENT)
            return
        if not self._gate.may_write(request):
            return
        self._gate.restart_timer(request)
        self._assign_connection(request, endpoint)

    def set_deadline(self, request: UpstreamRequest, deadline: int) -> None:
        """Sets the deadline (clock time, us) of a request that had none."""
        self._gate.set_deadline(request, deadline)

    def write_deadline_changed(self, request: UpstreamRequest) -> None:
        """Rereads the write deadline of a request, which changed when another attempt was written."""
        self._gate.write_deadline_changed(request)

    def cancel_request(self, request: UpstreamRequest) -> None:
        """Cancels a request; its observer is notified after this call has returned."""
        self._gate.cancel_request(request)

    def time_out_request(self, request: UpstreamRequest) -> None:
        """Ends a request whose client has no time left; its observer is notified within this call."""
        self._gate.time_out_request(request)

    def cancel_if_unwritten(self, request: UpstreamRequest) -> None:
        """Cancels a request unless it is written completely.

        No server can have begun to execute an incomplete request, so it may be cancelled even where the
        settings forbid cancelling requests.
        """
        if request.is_unwritten:
            self.cancel_request(request)

    def _assign_connection(self, request: UpstreamRequest, endpoint: EndpointConnections) -> None:
        """Uses an idle connection, waits until one is reusable, or establishes a new one."""
        loop = asyncio.get_running_loop()
        connection = self._pop_reusable(endpoint)
        if connection is not None:
            self._write_request(request, connection)
        elif endpoint.idle:
            # The rest of the reuse delay is shorter than a handshake, and waiting costs the server nothing.
            idle = endpoint.idle.pop(0)
            delay_s = max(idle.idle_since + _REUSE_DELAY_US - self._clock.now(), 0) / 1e6
            self._reuse_timers[idle.connection] = loop.call_later(
                delay_s, self._reuse_delay_ended, request, endpoint, idle.connection
            )
        elif self._ensure_capacity():
            self._dials_in_flight += 1
            task = loop.create_task(self._connect(request, endpoint))
            self._dial_tasks.add(task)
            task.add_done_callback(self._dial_tasks.discard)
        else:
            loop.call_soon(self._gate.end_request, request, Outcome.NOT_SENT)

    def _reuse_delay_ended(
        self, request: UpstreamRequest, endpoint: EndpointConnections, connection: UpstreamConnection
    ) -> None:
        del self._reuse_timers[connection]
        if not self._use_connection(request, endpoint, connection):
            self._assign_connection(request, endpoint)  # not written yet, so another connection may be used

    async def _connect(self, request: UpstreamRequest, endpoint: EndpointConnections) -> None:
        """Establishes a connection for a request; if the request ends meanwhile, later ones may use it."""
        connection: UpstreamConnection | None = None
        outcome = Outcome.CONNECT_FAILED
        try:
            connection = await dial(endpoint.address, self._create_connection, self._timeouts.connect_s)
        except ConnectError as error:
            outcome = error.outcome
        finally:
            self._dials_in_flight -= 1
        if connection is None:
            self._gate.end_request(request, outcome)
            return
        self._endpoint_of[connection] = endpoint
        if not self._use_connection(request, endpoint, connection):
            self._gate.end_request(request, Outcome.CONNECT_FAILED)

    def _create_connection(self) -> UpstreamConnection:
        reader = ResponseReader(MAX_BUFFERED_BODY_BYTES, MAX_BODY_BYTES)
        return UpstreamConnection(
            reader, self, self._timeouts.response_stall_s, self._response_budget, self._turns
        )

    def _use_connection(
        self, request: UpstreamRequest, endpoint: EndpointConnections, connection: UpstreamConnection
    ) -> bool:
        """Writes the request to a connection that it has waited for, if it still may be written.

        Returns:
            False if the connection was closed or has unread input, so that the request needs another one.
        """
        if endpoint.is_draining:
            connection.close()
            self._gate.end_request(request, Outcome.NOT_SENT)
        elif not self._gate.may_write(request):
            self.connection_idle(connection)
        elif connection.is_usable():
            self._write_request(request, connection)
        else:
            connection.close()
            return False
        return True

    def _write_request(self, request: UpstreamRequest, connection: UpstreamConnection) -> None:
        endpoint = self._endpoints.get(request.endpoint)
        is_ready = endpoint is not None and not endpoint.is_draining
        self._invariants.check(
            Invariant.ATTEMPT_TO_READY_ENDPOINT,
            request.endpoint,
            holds=is_ready and self._endpoint_of.get(connection) is endpoint,
        )
        request.connection = connection
        now = self._clock.now()
        request.timeout_started_at = now if request.deadline < NEVER else None
        message = request.build_message(max(request.deadline - now, _MIN_ANNOUNCED_TIMEOUT_US))
        connection.start_exchange(message, RequestExchangeObserver(self._gate, request, connection))

    # Connections

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._endpoint_of)

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of responses that are buffered, over all connections."""
        return sum(connection.buffered_bytes for connection in self._endpoint_of)

    def connection_idle(self, connection: UpstreamConnection) -> None:
        """Keeps an open connection for a later request, unless its endpoint is draining."""
        endpoint = self._endpoint_of.get(connection)
        if endpoint is None or endpoint.is_draining:
            connection.close()
            return
        endpoint.idle.append(IdleConnection(connection, self._clock.now()))
        if self._idle_timer is None:
            self._start_idle_timer()

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Removes a closed connection from the pool."""
        endpoint = self._endpoint_of.pop(connection, None)
        if endpoint is not None:
            endpoint.remove_idle(connection)

    def close_idle_connections(self, name: str) -> None:
        """Closes the idle connections to an endpoint."""
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            endpoint.close_idle()

    def close_all_idle_connections(self) -> None:
        """Closes the idle connections to all endpoints."""
        for endpoint in self._endpoints.values():
            endpoint.close_idle()

    def close(self) -> None:
        """Closes all connections, and cancels dials and timers; observers are not notified."""
        for task in self._dial_tasks:
            task.cancel()
        for timer in self._reuse_timers.values():
            timer.cancel()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for connection in list(self._endpoint_of):
            connection.close()

    def _ensure_capacity(self) -> bool:
        """Returns whether a connection may be established; closes the longest idle one if that is needed."""
        if len(self._endpoint_of) + self._dials_in_flight < self.max_connections:
            return True
        longest_idle = min(
            (endpoint for endpoint in self._endpoints.values() if endpoint.idle),
            key=lambda endpoint: endpoint.idle[0].idle_since,
            default=None,
        )
        if longest_idle is None:
            return False
        longest_idle.idle.pop(0).connection.close()
        return True

    def _pop_reusable(self, endpoint: EndpointConnections) -> UpstreamConnection | None:
        """Removes and returns the most recently used connection that is reusable now, or returns None."""
        now = self._clock.now()
        delayed: list[IdleConnection] = []
        reusable: UpstreamConnection | None = None
        while endpoint.idle and reusable is None:
            idle = endpoint.idle.pop()
            if now - idle.idle_since < _REUSE_DELAY_US:
                delayed.append(idle)
            elif now - idle.idle_since < self._timeouts.max_idle_us and idle.connection.is_usable():
                reusable = idle.connection
            else:
                idle.connection.close()
        endpoint.idle += reversed(delayed)
        return reusable

    def _start_idle_timer(self) -> None:
        delay_s = self._timeouts.max_idle_us / 4e6  # checks four times within the longest idle time
        self._idle_timer = asyncio.get_running_loop().call_later(delay_s, self._close_expired_idle)

    def _close_expired_idle(self) -> None:
        """Closes connections that have been idle for nearly as long as servers allow."""
        self._idle_timer = None
        idle_since = self._clock.now() - self._timeouts.max_idle_us
        for endpoint in self._endpoints.values():
            endpoint.close_idle_since(idle_since)
        if any(endpoint.idle for endpoint in self._endpoints.values()):
            self._start_idle_timer()
