"""The address of one endpoint and the idle connections to it."""

from __future__ import annotations

from dataclasses import dataclass, field

from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.upstream.connection import UpstreamConnection


@dataclass(slots=True)
class IdleConnection:
    """A connection without an exchange, and the clock time (us) at which it became idle."""

    connection: UpstreamConnection
    idle_since: int


@dataclass(slots=True, eq=False)
class EndpointConnections:
    """The address of an endpoint, and the idle connections to the server process that runs there now.

    Attributes:
        started_at: The start time of that process, as reported by discovery.
        is_draining: Whether no further request may be written, not even on connections that are being
            established.
        idle: The idle connections, with the most recently used one last.
    """

    address: Address
    started_at: int | None
    zone: str = ""
    cell: int = 0
    is_draining: bool = False
    idle: list[IdleConnection] = field(default_factory=list)

    def close_idle(self) -> None:
        """Closes all idle connections."""
        idle, self.idle = self.idle, []
        for each in idle:
            each.connection.close()

    def close_idle_since(self, time_us: int) -> None:
        """Closes the connections that have been idle since clock time `time_us` or longer."""
        while self.idle and self.idle[0].idle_since <= time_us:
            self.idle.pop(0).connection.close()

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Removes a closed connection from the idle ones, if it is among them."""
        self.idle = [each for each in self.idle if each.connection is not connection]
