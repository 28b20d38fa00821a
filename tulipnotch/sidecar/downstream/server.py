"""The server for clients: accepts connections up to a limit, and validates their requests by the settings."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator, Mapping

from tulipnotch.load_balancing.settings import ServiceClass, Settings
from tulipnotch.sidecar.control.lifecycle import Lifecycle
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.connection import DownstreamConnection, RequestHandler
from tulipnotch.sidecar.downstream.connection_table import ConnectionTable
from tulipnotch.sidecar.downstream.incoming_request import IncomingRequest, validate_request
from tulipnotch.sidecar.downstream.listener import Acceptor
from tulipnotch.sidecar.downstream.timeouts import TimeoutSweep
from tulipnotch.sidecar.http1.messages import Request
from tulipnotch.sidecar.requests.invariants import CloseReason, InvariantChecker

_READ_BUFFER_BYTES = 32 << 10
_CLASS_RETENTION_S = 2.0  # for requests on the way when a reload drops their class


class DownstreamServer:
    """Serves the clients of one listening socket."""

    def __init__(
        self,
        settings: Settings,
        limits: ClientLimits,
        lifecycle: Lifecycle,
        handler: RequestHandler,
        invariants: InvariantChecker,
    ) -> None:
        """Accept nothing before `listen`, and until `max_connections` is set.

        Args:
            settings: The service classes and tenants.
            limits: The limits on clients.
            lifecycle: Says whether the sidecar is ready, and whether it drains.
            handler: Responds to requests.
            invariants: Checks each end of a connection.
        """
        self._settings = settings
        self.classes: Mapping[str, ServiceClass] = {each.name: each for each in settings.classes}
        self.lifecycle = lifecycle
        self.handler = handler
        self.invariants = invariants
        self.read_buffer = memoryview(bytearray(_READ_BUFFER_BYTES))
        self.connection_table = ConnectionTable(limits)
        self._timeouts = TimeoutSweep(self.connection_table, limits, lifecycle)
        self._acceptor: Acceptor | None = None

    # Connections

    def listen(self, listener: socket.socket) -> None:
        """Accept clients from this listening socket on."""
        self._acceptor = Acceptor(listener, lambda queued_s: DownstreamConnection(self, queued_s))
        self._timeouts.start()

    @property
    def port(self) -> int:
        """The port of the listening socket.

        Raises:
            RuntimeError: Before `listen`.
        """
        if self._acceptor is None:
            raise RuntimeError("the server does not listen yet")
        return self._acceptor.port

    @property
    def max_connections(self) -> int:
        """How many connections may be open."""
        return self.connection_table.max_connections

    @max_connections.setter
    def max_connections(self, value: int) -> None:
        self.connection_table.max_connections = value

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self.connection_table)

    @property
    def last_opened_at(self) -> float:
        """When a connection was opened last, in the event loop's time (s)."""
        return self.connection_table.last_opened_at

    @property
    def has_no_connections(self) -> bool:
        """Whether no client is connected, nor accepted and about to be."""
        return not self.open_connections and (self._acceptor is None or not self._acceptor.connecting)

    def connections(self) -> Iterator[DownstreamConnection]:
        """Iterate over all connections."""
        return iter(self.connection_table)

    def close_idle(self) -> None:
        """Close all connections on which nothing is pending."""
        for connection in [each for each in self.connections() if each.can_close_safely]:
            connection.close(CloseReason.IDLE)

    def accept_pending(self) -> bool:
        """Accept all connections in the accept queue; returns whether it is empty."""
        return self._acceptor is None or self._acceptor.accept_pending()

    def stop_listening(self) -> None:
        """Accept no more."""
        if self._acceptor is not None:
            self._acceptor.close()

    def close(self) -> None:
        """Accept no more, and check no more timeouts."""
        self.stop_listening()
        self._timeouts.stop()

    # Requests

    def apply_settings(self, settings: Settings) -> None:
        """Validate requests by these settings from now on.

        Classes that they drop stay valid for a moment, for requests that are on the way.
        """
        current = {each.name: each for each in settings.classes}
        dropped = {name: each for name, each in self.classes.items() if name not in current}
        self._settings, self.classes = settings, {**dropped, **current}
        if dropped:
            asyncio.get_running_loop().call_later(_CLASS_RETENTION_S, self._drop_classes, dropped)

    def _drop_classes(self, dropped: Mapping[str, ServiceClass]) -> None:
        """Drop these classes, except those that were defined anew meanwhile."""
        self.classes = {name: each for name, each in self.classes.items() if dropped.get(name) is not each}

    def validate_request(self, request: Request, classes: Mapping[str, ServiceClass]) -> IncomingRequest:
        """Validate a request whose first byte came when there were these classes.

        Raises:
            BadRequestError: If it is invalid.
        """
        known = self.classes if classes is self.classes else {**classes, **self.classes}
        return validate_request(request, self._settings, known)
