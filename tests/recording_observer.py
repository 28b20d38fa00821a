"""An observer of a discovery client that keeps the endpoint list, as the balancer would."""

from __future__ import annotations

import asyncio

from loopback import HOST, ScriptedServer, endpoint_entry, wait_until, within_timeout

from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.settings import DiscoveryMode, Rules, Settings
from tulipnotch.sidecar.addresses import parse_address
from tulipnotch.sidecar.discovery.client import DiscoveryClient
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse, parse_endpoint_list
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule


class RecordingObserver:
    """An observer with a client of its own; queues its notifications, a failed call as None."""

    def __init__(
        self,
        server: ScriptedServer,
        *,
        pushed: bool = False,
        schedule: PollSchedule | None = None,
        max_poll_interval_us: int = 3_600_000_000,  # so long that only the schedule counts
    ) -> None:
        self.notifications: asyncio.Queue[DiscoveryResponse | None] = asyncio.Queue()
        self.failure_count = 0
        self.faults: list[str] = []
        self.states: dict[str, EndpointState] = {}  # of the listed endpoints, by name
        self.events: list[object] = []
        settings = Settings(
            (),
            instance_index=0,
            discovery_mode=DiscoveryMode.PUSHED if pushed else DiscoveryMode.POLLED,
            rules=Rules(drain_grace_us=250_000, max_poll_interval_us=max_poll_interval_us),
        )
        known = parse_endpoint_list(
            {"version": 41, "full": True, "servers": [endpoint_entry("s-0", f"{HOST}:9")]}
        )
        self.client = DiscoveryClient(parse_address(server.address), settings, known, self, schedule)

    def endpoints_received(self, response: DiscoveryResponse) -> None:
        if response.is_complete:
            self.states.clear()
        for each in response.endpoints:
            self.states[each.description.name] = each.description.state
        self.notifications.put_nowait(response)

    def call_failed(self) -> None:
        self.failure_count += 1
        self.notifications.put_nowait(None)

    def fault_changed(self, fault: str) -> None:
        self.faults.append(fault)

    def event_occurred(self, event: object) -> None:
        self.events.append(event)

    async def next_notification(self) -> DiscoveryResponse | None:
        return await within_timeout(self.notifications.get())

    async def wait_for_state(self, name: str, state: EndpointState) -> None:
        """Waits until this endpoint is listed in this state."""
        await wait_until(lambda: self.states.get(name) is state)

    def is_withdrawn(self, name: str) -> bool:
        """Returns whether this endpoint is draining, removed or not listed."""
        return self.states.get(name) is not EndpointState.READY

    async def wait_until_withdrawn(self, name: str, timeout_s: float) -> None:
        """Waits until this endpoint is withdrawn; raises TimeoutError after `timeout_s`."""
        await wait_until(lambda: self.is_withdrawn(name), timeout_s)
