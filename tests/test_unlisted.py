"""While no list was ever held, discovery is asked often enough to have one within a second of its return."""

from __future__ import annotations

import asyncio
import time

import pytest
from away import AWAY, Returning
from loopback import HOST, line, play, soon, until

from tulipnotch.load_balancing.settings import DiscoveryMode, Rules, Settings
from tulipnotch.sidecar.discovery.client import DiscoveryClient
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule

WITHIN_S = 1.0
PLAN = PollSchedule()


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


async def _listed_after_s(away: str, *, pushed: bool = False) -> float:
    """From a return just after a call began to the list."""
    agent = Returning(away)
    agent.servers = [line("s-1", f"{HOST}:9")]
    await agent.go()
    settings = Settings(
        (),
        instance_index=7,
        discovery_mode=DiscoveryMode.PUSHED if pushed else DiscoveryMode.POLLED,
        rules=Rules(drain_grace_us=250_000),
    )
    observer = _Observer()
    discovery = DiscoveryClient(
        (HOST, agent.port), settings, DiscoveryResponse(0, is_complete=True, endpoints=()), observer
    )

    def calls() -> int:
        return observer.failures if away == "refused" else len(agent.heard)

    try:
        discovery.start()
        discovery.subscribe()
        began = time.monotonic()
        # Where lists are pushed, the third is the last that goes out quickly beside a first call.
        await until(lambda: calls() >= (3 if pushed else 4))
        back_at = time.monotonic()
        # Guards against hammering: from the first call on, one in each turn.
        assert pushed or calls() <= 2 + (back_at - began) / PLAN.initial_call_interval_s
        await agent.come_back()
        assert (await soon(observer.responses.get())).version == 1
        return time.monotonic() - back_at
    finally:
        discovery.close()
        agent.stop()


@pytest.mark.alone
def test_a_first_list_is_there_within_a_second_of_discoverys_return() -> None:
    async def work() -> None:
        found = await asyncio.gather(
            *(_listed_after_s(each) for each in AWAY), _listed_after_s("hung", pushed=True)
        )
        told = dict(zip([*AWAY, "hung, pushed"], found, strict=True))
        print(told)
        assert all(wait < WITHIN_S for wait in told.values()), told

    play(work)


def test_the_turns_of_a_fleet_without_a_list_fall_between_each_other() -> None:
    # 200 instances that began at once: whoever has no list calls each turn, and never many of them together.
    begun = 1_800_000_000_000_000
    calls: list[int] = []
    for instance in range(200):
        now = begun
        while now < begun + 6_000_000:
            wait_s = PLAN.until_initial_slot_s(now, instance)
            assert 0.0 < wait_s <= PLAN.initial_call_interval_s + PLAN.max_propagation_s / 600
            now += int(wait_s * 1e6)
            calls.append(now)
    per_s = [sum(second <= (at - begun) / 1e6 < second + 1 for at in calls) for second in range(6)]
    assert max(per_s) <= 270
    narrow = [sum(at <= each - begun < at + 50_000 for each in calls) for at in range(0, 6_000_000, 50_000)]
    assert max(narrow) <= 16  # 13.3 if evenly spread


def test_a_turn_that_a_timer_met_early_is_over() -> None:
    own = PLAN.until_initial_slot_s(1_800_000_000_000_000, 3)
    at = 1_800_000_000_000_000 + int(own * 1e6)
    assert PLAN.until_initial_slot_s(at - 2_000, 3) > 0.9 * PLAN.initial_call_interval_s
    assert PLAN.until_initial_slot_s(at + 2_000, 3) > 0.9 * PLAN.initial_call_interval_s
