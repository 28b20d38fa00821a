"""The connections to one endpoint: a record."""

from __future__ import annotations

from dataclasses import dataclass, field

from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.upstream.connection import UpstreamConnection


@dataclass(slots=True)
class IdleConnection:
    """A connection without an exchange, and the clock time (us) since when."""

    connection: UpstreamConnection
    since: int


@dataclass(slots=True, eq=False)
class EndpointConnections:
    """Where an endpoint is reached, and the idle connections to the process that runs there now.

    Attributes:
        started_at: When that process started, as discovery has it.
        is_draining: Whether no further request may be written, also on a connection in establishment.
        idle: The most recently used connection is the last.
    """

    address: Address
    started_at: int | None
    zone: str = ""
    cell: int = 0
    is_draining: bool = False
    idle: list[IdleConnection] = field(default_factory=list)

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self.idle = self.idle, []
        for each in idle:
            each.connection.close()

    def close_idle_since(self, time: int) -> None:
        """Close the connections that are idle since `time` (us) or longer."""
        while self.idle and self.idle[0].since <= time:
            self.idle.pop(0).connection.close()

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the idle ones, if it is one."""
        self.idle = [each for each in self.idle if each.connection is not connection]
