"""Before the first list, discovery is called often enough to have one within a second of its return."""

from __future__ import annotations

import asyncio
import time

import pytest
from loopback import HOST, endpoint_entry, run_async, wait_until, within_timeout
from unavailable_discovery import DISCOVERY_FAULTS, UnavailableDiscovery

from tulipnotch.load_balancing.settings import DiscoveryMode, Rules, Settings
from tulipnotch.sidecar.discovery.client import DiscoveryClient
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule

WITHIN_S = 1.0
SCHEDULE = PollSchedule()


class _Observer:
    """Queues responses and counts failures."""

    def __init__(self) -> None:
        self.responses: asyncio.Queue[DiscoveryResponse] = asyncio.Queue()
        self.failures = 0

    def endpoints_received(self, response: DiscoveryResponse) -> None:
        self.responses.put_nowait(response)

    def call_failed(self) -> None:
        self.failures += 1

    def fault_changed(self, fault: str) -> None:
        pass


async def _first_list_after_s(fault: str, *, pushed: bool = False) -> float:
    """Measure from a return just after a call began to the list."""
    server = UnavailableDiscovery(fault)
    server.servers = [endpoint_entry("s-1", f"{HOST}:9")]
    await server.start_unavailable()
    settings = Settings(
        (),
        instance_index=7,
        discovery_mode=DiscoveryMode.PUSHED if pushed else DiscoveryMode.POLLED,
        rules=Rules(drain_grace_us=250_000),
    )
    observer = _Observer()
    client = DiscoveryClient(
        (HOST, server.port), settings, DiscoveryResponse(0, is_complete=True, endpoints=()), observer
    )

    def calls() -> int:
        return observer.failures if fault == "refused" else len(server.received_requests)

    try:
        client.start()
        client.subscribe()
        started_at = time.monotonic()
        # Where lists are pushed, the third call is the last early hedge.
        await wait_until(lambda: calls() >= (3 if pushed else 4))
        returned_at = time.monotonic()
        # No more than one call in each slot.
        assert pushed or calls() <= 2 + (returned_at - started_at) / SCHEDULE.initial_call_interval_s
        await server.return_to_service()
        assert (await within_timeout(observer.responses.get())).version == 1
        return time.monotonic() - returned_at
    finally:
        client.close()
        server.stop()


@pytest.mark.alone
def test_first_list_arrives_within_a_second_when_discovery_returns() -> None:
    async def work() -> None:
        measured = await asyncio.gather(
            *(_first_list_after_s(each) for each in DISCOVERY_FAULTS),
            _first_list_after_s("hung", pushed=True),
        )
        delays_s = dict(zip([*DISCOVERY_FAULTS, "hung, pushed"], measured, strict=True))
        print(delays_s)
        assert all(delay_s < WITHIN_S for delay_s in delays_s.values()), delays_s

    run_async(work)


def test_initial_slots_of_a_fleet_are_spread() -> None:
    # 200 instances that start at once call in each slot, and never many of them together.
    start_us = 1_800_000_000_000_000
    calls: list[int] = []
    for instance in range(200):
        now = start_us
        while now < start_us + 6_000_000:
            wait_s = SCHEDULE.time_until_initial_slot_s(now, instance)
            assert 0.0 < wait_s <= SCHEDULE.initial_call_interval_s + SCHEDULE.max_propagation_s / 600
            now += int(wait_s * 1e6)
            calls.append(now)
    per_s = [sum(second <= (at - start_us) / 1e6 < second + 1 for at in calls) for second in range(6)]
    assert max(per_s) <= 270
    narrow = [
        sum(at <= each - start_us < at + 50_000 for each in calls) for at in range(0, 6_000_000, 50_000)
    ]
    assert max(narrow) <= 16  # 13.3 if evenly spread


def test_initial_slot_is_past_when_a_timer_fires_early() -> None:
    own = SCHEDULE.time_until_initial_slot_s(1_800_000_000_000_000, 3)
    at = 1_800_000_000_000_000 + int(own * 1e6)
    assert SCHEDULE.time_until_initial_slot_s(at - 2_000, 3) > 0.9 * SCHEDULE.initial_call_interval_s
    assert SCHEDULE.time_until_initial_slot_s(at + 2_000, 3) > 0.9 * SCHEDULE.initial_call_interval_s
