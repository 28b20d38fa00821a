"""The way of endpoint lists, from discovery or another process, to the upstream pool and the balancer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tulipnotch.load_balancing import Balancer
from tulipnotch.load_balancing.events import EndpointsUpdated, EndpointUpdateKind
from tulipnotch.sidecar.addresses import format_address
from tulipnotch.sidecar.discovery.call_events import (
    CallEnded,
    DiscoveryEvent,
    ListApplied,
    ListDiscarded,
)
from tulipnotch.sidecar.discovery.client import DiscoveryClient
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveredEndpoint, DiscoveryResponse
from tulipnotch.sidecar.event_queue import EventQueue
from tulipnotch.sidecar.requests.context import SidecarContext

_SIBLING_SOURCE = "another process"  # source of a list in the log, in place of the kind of a call


class EndpointUpdateForwarder:
    """Forwards what discovery reports to the upstream pool and to the balancer (`DiscoveryObserver`).

    Attributes:
        received: Set when discovery has sent an endpoint list.
        on_change: Is called after each update that was applied.
    """

    def __init__(self, context: SidecarContext, events: EventQueue) -> None:
        """Has forwarded nothing."""
        self.received = asyncio.Event()
        self.on_change: Callable[[], None] = _ignore_change
        self._context = context
        self._events = events

    def endpoints_received(self, response: DiscoveryResponse) -> None:
        """Forwards a response; called by the discovery client."""
        self.received.set()
        self._context.upstream.endpoints_updated(response)
        self._events.post(response.to_event())
        if response.is_complete or response.endpoints:
            self.on_change()

    def call_failed(self) -> None:
        """Forwards the failure of a call."""
        self._events.post(EndpointsUpdated(EndpointUpdateKind.FAILED))

    def fault_changed(self, fault: str) -> None:
        """Logs the cause of a failed call."""
        self._context.log("discovery_failed", fault=fault)

    def event_occurred(self, event: DiscoveryEvent) -> None:
        """Logs and counts a list that was applied or discarded, or a call that was ended."""
        log, telemetry = self._context.log, self._context.telemetry
        match event:
            case ListApplied(version, change_count, kind, call_age_s):
                _report_list_applied(self._context, version, change_count, kind.value, call_age_s)
            case ListDiscarded(version, version_in_force, reason):
                telemetry.endpoint_list_discarded(reason)
                log(
                    "endpoint_list_discarded",
                    version=version,
                    in_force=version_in_force,
                    reason=reason.value,
                )
            case CallEnded(kind, reason, has_response_bytes):
                telemetry.discovery_call_ended(reason)
                log(
                    "discovery_call_ended",
                    kind=kind.value,
                    reason=reason.value,
                    bytes="some" if has_response_bytes else "no",
                )


class EndpointListAccess:
    """The endpoint list of this process, for other processes of its sidecar (`EndpointListSource`)."""

    def __init__(
        self,
        context: SidecarContext,
        events: EventQueue,
        balancer: Balancer,
        discovery: DiscoveryClient,
        on_change: Callable[[], None],
    ) -> None:
        """Reads and updates the state of these components; `on_change` is called after an update."""
        self._context = context
        self._events = events
        self._balancer = balancer
        self._discovery = discovery
        self._on_change = on_change

    @property
    def discovery_address(self) -> str:
        """The address of discovery, as `address:port`."""
        return format_address(self._discovery.address)

    def is_newer(self, version: int) -> bool:
        """Returns whether this version is newer than that of the list in force."""
        return self._discovery.is_newer(version)

    def complete_list(self) -> DiscoveryResponse | None:
        """Returns the list in force with its version; None if its version can't be compared."""
        version = self._discovery.version
        if version is None:
            return None
        address_of = self._context.upstream.endpoint_address
        listed = [
            DiscoveredEndpoint(each, address_of(each.name)) for each in self._balancer.listed_endpoints()
        ]
        return DiscoveryResponse(
            version, is_complete=True, endpoints=tuple(each for each in listed if each.address)
        )

    def sibling_list_received(self, response: DiscoveryResponse) -> None:
        """Applies the list of another process if it is newer.

        It is no response to a call of this process, whose own calls go on as if it had not been received.
        """
        if self._discovery.accept_list(response):
            _report_list_applied(
                self._context, response.version, len(response.endpoints), _SIBLING_SOURCE, 0.0
            )
            self._context.upstream.endpoints_updated(response)
            self._events.post(response.to_event(EndpointUpdateKind.CACHED))
            self._on_change()


def _report_list_applied(
    context: SidecarContext, version: int, change_count: int, source: str, call_age_s: float
) -> None:
    """Counts and logs a list that was applied."""
    context.telemetry.endpoint_list_applied()
    context.log(
        "endpoint_list_applied",
        version=version,
        changes=change_count,
        source=source,
        call_age_ms=int(call_age_s * 1e3),
    )


def _ignore_change() -> None:
    """Does nothing."""
