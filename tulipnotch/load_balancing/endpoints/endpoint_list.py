"""The server list: what discovery says of servers, and how long each is kept."""

from __future__ import annotations

from dataclasses import dataclass

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.events import (
    EndpointDescription,
    EndpointState,
    EndpointsUpdated,
    EndpointUpdateKind,
)
from tulipnotch.load_balancing.health.idle_connections import IdleConnections
from tulipnotch.load_balancing.health.outlier_detection import OutlierDetection
from tulipnotch.load_balancing.records import Endpoint
from tulipnotch.load_balancing.slow_start.warm_up_budget import SlowStart

UNSET_RATIO = 0.0  # a latency ratio that is to be set by the server's nominal size


@dataclass(eq=False)
class EndpointList:
    """Applies lists to the servers that the balancer knows."""

    _context: Context
    _slow_start: SlowStart
    _idle: IdleConnections
    _outliers: OutlierDetection

    def apply(self, event: EndpointsUpdated) -> None:
        """Take over a list or a change of it."""
        servers = self._context.endpoints
        if event.kind is not EndpointUpdateKind.DELTA:
            listed = {line.name for line in event.endpoints}
            for server in servers.values():
                if server.name not in listed:
                    self._state_received(server, EndpointState.REMOVED)
        for line in event.endpoints:
            self._line_received(line)
        for server in [each for each in servers.values() if each.state is EndpointState.REMOVED]:
            self.forget_if_gone(server)
        ready = [each for each in servers.values() if each.state is EndpointState.READY]
        ready.sort(key=lambda each: each.sort_key)
        self._context.ready_endpoints = ready
        self._set_ratios(ready)

    def members(self) -> tuple[int, int]:
        """How many servers are listed, and how many of these get no ordinary request now."""
        listed = [
            each for each in self._context.endpoints.values() if each.state is not EndpointState.REMOVED
        ]
        now = self._context.now
        # One whose ejection has run out is due for a trial, and so not left out any more.
        avoided = [
            each
            for each in listed
            if each.state is not EndpointState.READY
            or (each.ejected_until is not None and now < each.ejected_until)
        ]
        return len(listed), len(avoided)

    def forget_if_gone(self, server: Endpoint) -> None:
        """Keep nothing of a server that left, once its last attempt has ended.

        Prevents growth where servers are replaced all day.  One that comes back tells its start time, and is
        cold by that.
        """
        if server.state is EndpointState.REMOVED and server.in_flight == 0:
            if self._context.endpoints.get(server.name) is server:
                del self._context.endpoints[server.name]
            self._outliers.forget(server)

    def _line_received(self, line: EndpointDescription) -> None:
        servers = self._context.endpoints
        server = servers.get(line.name)
        if server is None:
            server = servers[line.name] = Endpoint(line.name, self._context.random.random())
        server.zone = line.zone
        server.cell = line.cell
        if server.state is EndpointState.REMOVED or line.nominal_capacity != server.nominal_capacity:
            server.latency_ratio = UNSET_RATIO
        server.nominal_capacity = max(line.nominal_capacity, 0.0)
        self._state_received(server, line.state)
        if line.started_at is not None and line.started_at != server.started_at:
            self._process_started(server, line.started_at)

    def _process_started(self, server: Endpoint, started_at: int) -> None:
        server.started_at = started_at
        server.connections = server.in_flight  # those to the process before are closed
        self._slow_start.turned_cold(server, started_at)
        if server.ejected_until is not None and server.state is EndpointState.READY:
            self._outliers.readmit(server)  # the failures were another process's

    def _state_received(self, server: Endpoint, state: EndpointState) -> None:
        changed, server.state = server.state is not state, state
        if changed:
            self._idle.close_if_leaving(server)

    @staticmethod
    def _set_ratios(ready: list[Endpoint]) -> None:
        """Until answers tell, a server is as quick as its nominal size."""
        mean_size = sum(each.nominal_capacity for each in ready) / max(len(ready), 1)
        for server in ready:
            if server.latency_ratio <= UNSET_RATIO:
                server.latency_ratio = (
                    mean_size / server.nominal_capacity if server.nominal_capacity > 0.0 else 1.0
                )
