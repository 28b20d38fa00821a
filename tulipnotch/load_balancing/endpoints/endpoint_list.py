"""Endpoint list: applies updates from discovery, and decides how long the record of an endpoint is kept."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.events import (
    EndpointDescription,
    EndpointState,
    EndpointsUpdated,
    EndpointUpdateKind,
)
from tulipnotch.load_balancing.health.idle_connections import IdleConnections
from tulipnotch.load_balancing.health.outlier_detection import OutlierDetection
from tulipnotch.load_balancing.slow_start.warm_up_budget import SlowStart

UNSET_RATIO = 0.0  # placeholder for a latency ratio that is still to be derived from the nominal capacity


class EndpointCounts(NamedTuple):
    """Counts of the listed endpoints, and of those among them that get no regular requests now."""

    listed: int
    unavailable: int


@dataclass(eq=False)
class EndpointList:
    """Applies updates from discovery to the endpoints that the balancer knows."""

    _context: Context
    _slow_start: SlowStart
    _idle_connections: IdleConnections
    _outlier_detection: OutlierDetection

    def apply_update(self, event: EndpointsUpdated) -> None:
        """Applies a complete list, or a list of changes."""
        endpoints = self._context.endpoints
        if event.kind is not EndpointUpdateKind.DELTA:
            listed = {each.name for each in event.endpoints}
            for endpoint in endpoints.values():
                if endpoint.name not in listed:
                    self._state_received(endpoint, EndpointState.REMOVED)
        for description in event.endpoints:
            self._description_received(description)
        for endpoint in [each for each in endpoints.values() if each.state is EndpointState.REMOVED]:
            self.delete_if_removed(endpoint)
        ready = [each for each in endpoints.values() if each.state is EndpointState.READY]
        ready.sort(key=lambda each: each.sort_key)
        self._context.ready_endpoints = ready
        self._set_latency_ratios(ready)

    def descriptions(self) -> list[EndpointDescription]:
        """Returns the listed endpoints; without their machine types, which are not kept."""
        return [
            EndpointDescription(
                name=each.name,
                zone=each.zone,
                cell=each.cell,
                state=each.state,
                nominal_capacity=each.nominal_capacity,
                started_at=each.started_at,
            )
            for each in self._context.endpoints.values()
            if each.state is not EndpointState.REMOVED
        ]

    def count_endpoints(self) -> EndpointCounts:
        """Counts the endpoints as of the last event."""
        listed = [
            each for each in self._context.endpoints.values() if each.state is not EndpointState.REMOVED
        ]
        now = self._context.now
        # An endpoint whose ejection has expired is due for a probation attempt, so it counts as available.
        avoided = [
            each
            for each in listed
            if each.state is not EndpointState.READY
            or (each.ejection is not None and now < each.ejection.until)
        ]
        return EndpointCounts(listed=len(listed), unavailable=len(avoided))

    def delete_if_removed(self, endpoint: Endpoint) -> None:
        """Deletes the record of a removed endpoint once its last attempt has ended.

        Prevents unbounded growth where servers are replaced all the time. An endpoint that is listed again
        comes with its start time, and warms up accordingly.
        """
        if endpoint.state is EndpointState.REMOVED and endpoint.in_flight == 0:
            if self._context.endpoints.get(endpoint.name) is endpoint:
                del self._context.endpoints[endpoint.name]
            self._outlier_detection.endpoint_removed(endpoint)

    def _description_received(self, description: EndpointDescription) -> None:
        endpoints = self._context.endpoints
        endpoint = endpoints.get(description.name)
        if endpoint is None:
            endpoint = Endpoint(description.name, self._context.random.random())
            endpoints[description.name] = endpoint
        endpoint.zone = description.zone
        endpoint.cell = description.cell
        if (
            endpoint.state is EndpointState.REMOVED
            or description.nominal_capacity != endpoint.nominal_capacity
        ):
            endpoint.latency_ratio = UNSET_RATIO
        endpoint.nominal_capacity = max(description.nominal_capacity, 0.0)
        self._state_received(endpoint, description.state)
        if description.started_at is not None and description.started_at != endpoint.started_at:
            self._process_started(endpoint, description.started_at)

    def _process_started(self, endpoint: Endpoint, started_at: int) -> None:
        endpoint.started_at = started_at
        endpoint.connection_count = endpoint.in_flight  # connections to the previous process are closed
        self._slow_start.process_started(endpoint, started_at)
        if endpoint.ejection is not None and endpoint.state is EndpointState.READY:
            self._outlier_detection.readmit(endpoint)  # the failures were those of the previous process

    def _state_received(self, endpoint: Endpoint, state: EndpointState) -> None:
        changed, endpoint.state = endpoint.state is not state, state
        if changed:
            self._idle_connections.close_idle_unless_ready(endpoint)

    @staticmethod
    def _set_latency_ratios(ready: list[Endpoint]) -> None:
        """Derives unset latency ratios from the nominal capacity, which counts until responses show more."""
        mean_capacity = sum(each.nominal_capacity for each in ready) / max(len(ready), 1)
        for endpoint in ready:
            if endpoint.latency_ratio <= UNSET_RATIO:
                endpoint.latency_ratio = (
                    mean_capacity / endpoint.nominal_capacity if endpoint.nominal_capacity > 0.0 else 1.0
                )
