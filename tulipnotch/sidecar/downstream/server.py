"""Server for clients: accepts connections up to a limit and validates requests by the settings."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator, Mapping

from tulipnotch.load_balancing.settings import ServiceClass, Settings
from tulipnotch.sidecar.control.lifecycle import Lifecycle
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.downstream.connection_state import ConnectionState
from tulipnotch.sidecar.downstream.connection_table import ConnectionTable
from tulipnotch.sidecar.downstream.incoming_request import IncomingRequest, validate_request
from tulipnotch.sidecar.downstream.interfaces import RequestHandler
from tulipnotch.sidecar.downstream.listener import Acceptor
from tulipnotch.sidecar.downstream.timeouts import TimeoutSweep
from tulipnotch.sidecar.http1.messages import Request
from tulipnotch.sidecar.requests.invariants import CloseReason, InvariantChecker
from tulipnotch.sidecar.response_budget import ResponseBudget
from tulipnotch.sidecar.turn_scheduler import TurnScheduler

_READ_BUFFER_BYTES = 32 << 10
_HEAD_READ_BUFFER_BYTES = 4 << 10
# How long a service class that a reload has removed stays valid, for requests that are in transit meanwhile.
_CLASS_RETENTION_S = 2.0


class DownstreamServer:
    """Serves the clients of one listening socket."""

    def __init__(
        self,
        settings: Settings,
        limits: ClientLimits,
        lifecycle: Lifecycle,
        handler: RequestHandler,
        invariants: InvariantChecker,
        response_budget: ResponseBudget | None = None,
    ) -> None:
        """Creates a server that accepts nothing until `listen` is called and `max_connections` is set.

        Args:
            settings: The settings, with the service classes and tenants.
            limits: The limits on clients' connections.
            lifecycle: The lifecycle phase, which tells whether the sidecar is ready or draining.
            handler: Responds to requests.
            invariants: Checks that no connection is closed while its response is pending.
            response_budget: Bounds what all connections hold of responses; None: there is no bound.
        """
        self._settings = settings
        self.classes: Mapping[str, ServiceClass] = {each.name: each for each in settings.classes}
        self.lifecycle = lifecycle
        self.handler = handler
        self.invariants = invariants
        self.response_budget = response_budget or ResponseBudget()
        self.read_buffer = memoryview(bytearray(_READ_BUFFER_BYTES))
        self.head_read_buffer = self.read_buffer[:_HEAD_READ_BUFFER_BYTES]
        self.turns = TurnScheduler()
        self.connection_table = ConnectionTable(limits)
        self._timeouts = TimeoutSweep(self.connection_table, limits, lifecycle)
        self._acceptor: Acceptor | None = None

    # Connections

    def listen(self, listener: socket.socket) -> None:
        """Accepts clients from this listening socket, and starts the check of timeouts."""
        self._acceptor = Acceptor(listener, lambda delay_s: DownstreamConnection(self, delay_s))
        self._timeouts.start()

    @property
    def port(self) -> int:
        """The port of the listening socket.

        Raises:
            RuntimeError: `listen` was not called yet.
        """
        if self._acceptor is None:
            raise RuntimeError("the downstream server does not listen yet")
        return self._acceptor.port

    @property
    def max_connections(self) -> int:
        """Maximum number of open connections."""
        return self.connection_table.max_connections

    @max_connections.setter
    def max_connections(self, value: int) -> None:
        self.connection_table.max_connections = value

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self.connection_table)

    @property
    def buffered_request_bytes(self) -> int:
        """Number of bytes that are buffered for requests, over all connections."""
        return self.connection_table.buffered_bytes

    @property
    def paused_upload_count(self) -> int:
        """Number of clients that are not read because the server of their request accepts no more."""
        uploading = self.connection_table.connections_in_state(ConnectionState.STREAMING_BODY)
        return sum(connection.is_reading_paused for connection in uploading)

    @property
    def unsent_response_bytes(self) -> int:
        """Number of bytes of responses that the kernel has not accepted yet, over all connections."""
        return sum(connection.unsent_bytes for connection in self.connections())

    @property
    def last_opened_at(self) -> float:
        """When the last connection was opened, in the event loop's time (s)."""
        return self.connection_table.last_opened_at

    @property
    def has_no_connections(self) -> bool:
        """Whether no connection is open, and no accepted one is waiting for its transport."""
        return not self.open_connections and (self._acceptor is None or not self._acceptor.connecting_count)

    def connections(self) -> Iterator[DownstreamConnection]:
        """Iterates over all connections; none may change its state during the iteration."""
        return iter(self.connection_table)

    def close_idle(self) -> None:
        """Closes all connections that can be closed without losing a request or a response."""
        for connection in [each for each in self.connections() if each.can_close_safely]:
            connection.close(CloseReason.IDLE)

    def accept_pending(self) -> bool:
        """Accepts all connections in the accept queue; returns whether it is empty afterwards."""
        return self._acceptor is None or self._acceptor.accept_pending()

    def stop_listening(self) -> None:
        """Stops accepting connections; those that are open stay open."""
        if self._acceptor is not None:
            self._acceptor.close()

    def close(self) -> None:
        """Stops accepting connections and checking timeouts."""
        self.stop_listening()
        self._timeouts.stop()

    # Requests

    def apply_settings(self, settings: Settings) -> None:
        """Validates further requests by new settings.

        Service classes that the new settings no longer have stay valid for a short time, for requests that
        are in transit.
        """
        current = {each.name: each for each in settings.classes}
        removed = {name: each for name, each in self.classes.items() if name not in current}
        self._settings, self.classes = settings, {**removed, **current}
        if removed:
            asyncio.get_running_loop().call_later(_CLASS_RETENTION_S, self._remove_classes, removed)

    def _remove_classes(self, removed: Mapping[str, ServiceClass]) -> None:
        """Removes these classes, except those that were defined again by a later reload."""
        self.classes = {name: each for name, each in self.classes.items() if removed.get(name) is not each}

    def validate_request(self, request: Request, classes: Mapping[str, ServiceClass]) -> IncomingRequest:
        """Validates a request; `classes` are those that were current when its first byte was received.

        Raises:
            BadRequestError: The request is invalid.
        """
        known = self.classes if classes is self.classes else {**classes, **self.classes}
        return validate_request(request, self._settings, known)
