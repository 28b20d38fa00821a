"""What a client's connection needs of its server: the owner, the registry and the request handler."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING, Protocol

from tulipnotch.load_balancing.settings import ServiceClass
from tulipnotch.sidecar.control.lifecycle import Lifecycle
from tulipnotch.sidecar.downstream.connection_state import ConnectionState
from tulipnotch.sidecar.downstream.incoming_request import IncomingRequest
from tulipnotch.sidecar.http1.messages import Request
from tulipnotch.sidecar.requests.invariants import CloseReason, InvariantChecker
from tulipnotch.sidecar.response_budget import ResponseBudget
from tulipnotch.sidecar.turn_scheduler import TurnScheduler

if TYPE_CHECKING:
    from tulipnotch.sidecar.downstream.connection import DownstreamConnection


class RequestHandler(Protocol):
    """Responds to requests; is notified by all connections of a `DownstreamServer`."""

    def request_received(self, connection: DownstreamConnection, request: IncomingRequest) -> int | None:
        """Handles a complete request, or the first part of one whose body is streamed.

        Returns:
            The request's number if its response is pending; None if the response was sent already.

        Raises:
            BadRequestError: The request is rejected.
        """
        ...

    def request_rejected(self, connection: DownstreamConnection, request: IncomingRequest) -> None:
        """Rejects a complete request that the connection does not pass on, with 503."""
        ...

    def upload_timed_out(self, number: int) -> None:
        """Handles that the client of an incomplete request may have waited for its whole timeout."""
        ...

    def client_disconnected(self, number: int) -> None:
        """Handles that a request with a pending response has lost its client or was abandoned."""
        ...

    def connection_closed(self, reason: CloseReason) -> None:
        """Handles the end of a connection."""
        ...


class ConnectionRegistry(Protocol):
    """Tracks the connections of a server by state, and enforces limits on their number and memory."""

    def add(self, connection: DownstreamConnection) -> None:
        """Adds a new connection; may abort it, or evict another one to make room."""
        ...

    def set_state(self, connection: DownstreamConnection, state: ConnectionState) -> None:
        """Sets the state of a connection."""
        ...

    def add_buffered_bytes(self, connection: DownstreamConnection, nbytes: int) -> None:
        """Counts bytes that are buffered for a connection's request; may abandon incomplete requests."""
        ...

    def remove(self, connection: DownstreamConnection) -> None:
        """Removes a connection that has ended."""
        ...


class ConnectionOwner(Protocol):
    """What the connections of one server share; implemented by `DownstreamServer`."""

    lifecycle: Lifecycle
    invariants: InvariantChecker
    handler: RequestHandler
    response_budget: ResponseBudget
    turns: TurnScheduler
    read_buffer: memoryview  # shared by all connections: each read is processed before the next one
    head_read_buffer: memoryview  # the beginning of the same buffer

    @property
    def connection_table(self) -> ConnectionRegistry:
        """The registry that each connection adds itself to."""
        ...

    @property
    def classes(self) -> Mapping[str, ServiceClass]:
        """The current service classes by name; the mapping is never modified, only replaced."""
        ...

    def validate_request(self, request: Request, classes: Mapping[str, ServiceClass]) -> IncomingRequest:
        """Validates a request; `classes` are those that were current when its first byte was received.

        Raises:
            BadRequestError: The request is invalid.
        """
        ...
