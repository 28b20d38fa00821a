"""Before the first list, discovery is called often enough to have a list within a second of its return."""

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

MAX_DELAY_S = 1.0
SCHEDULE = PollSchedule()


class _RecordingObserver:
    """Queues the responses and counts the failed calls."""

    def __init__(self) -> None:
        self.responses: asyncio.Queue[DiscoveryResponse] = asyncio.Queue()
        self.failure_count = 0

    def endpoints_received(self, response: DiscoveryResponse) -> None:
        self.responses.put_nowait(response)

    def call_failed(self) -> None:
        self.failure_count += 1

    def fault_changed(self, fault: str) -> None:
        pass

    def event_occurred(self, event: object) -> None:
        pass


async def _measure_time_to_first_list_s(fault: str, *, pushed: bool = False) -> float:
    """Measures the time to the first list when discovery returns just after a call has started."""
    server = UnavailableDiscovery(fault)
    server.servers = [endpoint_entry("s-1", f"{HOST}:9")]
    await server.start_unavailable()
    settings = Settings(
        (),
        instance_index=7,
        discovery_mode=DiscoveryMode.PUSHED if pushed else DiscoveryMode.POLLED,
        rules=Rules(drain_grace_us=250_000),
    )
    observer = _RecordingObserver()
    client = DiscoveryClient(
        (HOST, server.port), settings, DiscoveryResponse(0, is_complete=True, endpoints=()), observer
    )

    def call_count() -> int:
        return observer.failure_count if fault == "refused" else len(server.received_requests)

    try:
        client.start()
        client.subscribe()
        started_at = time.monotonic()
        # Where lists are pushed, the third call is the last early hedged call.
        await wait_until(lambda: call_count() >= (3 if pushed else 4))
        returned_at = time.monotonic()
        # There is at most one call in each slot.
        assert pushed or call_count() <= 2 + (returned_at - started_at) / SCHEDULE.initial_call_interval_s
        await server.return_to_service()
        assert (await within_timeout(observer.responses.get())).version == 1
        return time.monotonic() - returned_at
    finally:
        client.close()
        server.stop()


@pytest.mark.alone
def test_first_list_arrives_within_a_second_when_discovery_returns() -> None:
    async def work() -> None:
        measured_s = await asyncio.gather(
            *(_measure_time_to_first_list_s(each) for each in DISCOVERY_FAULTS),
            _measure_time_to_first_list_s("hung", pushed=True),
        )
        delays_s = dict(zip([*DISCOVERY_FAULTS, "hung, pushed"], measured_s, strict=True))
        print(delays_s)
        assert all(delay_s < MAX_DELAY_S for delay_s in delays_s.values()), delays_s

    run_async(work)


def test_initial_slots_of_a_fleet_are_spread_when_all_start_at_once() -> None:
    # 200 instances call in each of their slots, and never many of them at the same time.
    start_us = 1_800_000_000_000_000
    call_times_us: list[int] = []
    for instance in range(200):
        now_us = start_us
        while now_us < start_us + 6_000_000:
            wait_s = SCHEDULE.time_until_initial_slot_s(now_us, instance)
            assert 0.0 < wait_s <= SCHEDULE.initial_call_interval_s + SCHEDULE.max_propagation_s / 600
            now_us += int(wait_s * 1e6)
            call_times_us.append(now_us)
    calls_per_s = [
        sum(second <= (at_us - start_us) / 1e6 < second + 1 for at_us in call_times_us) for second in range(6)
    ]
    assert max(calls_per_s) <= 270
    calls_per_50_ms = [
        sum(interval_start_us <= time_us - start_us < interval_start_us + 50_000 for time_us in call_times_us)
        for interval_start_us in range(0, 6_000_000, 50_000)
    ]
    assert max(calls_per_50_ms) <= 16  # 13.3 if spread evenly


def test_initial_slot_counts_as_past_when_a_timer_fires_early() -> None:
    delay_s = SCHEDULE.time_until_initial_slot_s(1_800_000_000_000_000, 3)
    slot_us = 1_800_000_000_000_000 + int(delay_s * 1e6)
    assert SCHEDULE.time_until_initial_slot_s(slot_us - 2_000, 3) > 0.9 * SCHEDULE.initial_call_interval_s
    assert SCHEDULE.time_until_initial_slot_s(slot_us + 2_000, 3) > 0.9 * SCHEDULE.initial_call_interval_s
