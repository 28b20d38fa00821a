"""The way of endpoint lists, from discovery to the upstream pool and the balancer."""

from __future__ import annotations

import asyncio

from tulipnotch.load_balancing.events import EndpointsUpdated, EndpointUpdateKind
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse
from tulipnotch.sidecar.event_queue import EventQueue
from tulipnotch.sidecar.requests.context import SidecarContext


class EndpointUpdateForwarder:
    """Forwards what discovery reports to the upstream pool and to the balancer (`DiscoveryObserver`).

    Attributes:
        received: Set when discovery has sent an endpoint list.
    """

    def __init__(self, context: SidecarContext, events: EventQueue) -> None:
        """Has forwarded nothing."""
        self.received = asyncio.Event()
        self._context = context
        self._events = events

    def endpoints_received(self, response: DiscoveryResponse) -> None:
        """Forwards a response; called by the discovery client."""
        self.received.set()
        self._context.upstream.endpoints_updated(response)
        self._events.post(response.to_event())

    def call_failed(self) -> None:
        """Forwards the failure of a call."""
        self._events.post(EndpointsUpdated(EndpointUpdateKind.FAILED))

    def fault_changed(self, fault: str) -> None:
        """Logs the cause of a failed call."""
        self._context.log("discovery_failed", fault=fault)
