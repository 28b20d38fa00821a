"""Any train of reloads, polls, changes and faults, on a virtual clock: what is announced is known in time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from virtual_clock import run_virtual
from virtual_directory import ADDRESS, Condition, Directory, States, VirtualConnection

from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.settings import DiscoveryMode, Rules, Settings
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.discovery import client as discovery_client
from tulipnotch.sidecar.discovery.client import DiscoveryClient
from tulipnotch.sidecar.discovery.endpoint_list_codec import DiscoveryResponse

NAMES = [f"s-{number}" for number in range(4)]
GRACE_S = 0.3  # the drain grace of 0.25 s, and 0.05 s of slack
PROPAGATION_S = 6.0  # a change counts as announced this long after discovery had it and could be reached
TRAIN_S = 10.0
QUIET_S = 8.0  # after the train, without faults: all that is ready has to be used again
BLOCKS = 25
TRAINS_PER_BLOCK = 400


class Sidecar:
    """A discovery client, the list that it keeps, and the polls that the balancer would make."""

    def __init__(self, known: DiscoveryResponse, rng: random.Random, mode: DiscoveryMode) -> None:
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._poll_timer: asyncio.TimerHandle | None = None
        self.states: States = {}
        self.endpoints_received(known)
        settings = Settings(
            (),
            instance_index=rng.randrange(200),
            discovery_mode=mode,
            rules=Rules(drain_grace_us=250_000, max_poll_interval_us=10_000_000),
        )
        self.client = DiscoveryClient(ADDRESS, settings, known, self)
        self.client.start()
        self._poll()

    def endpoints_received(self, response: DiscoveryResponse) -> None:
        if response.is_complete:
            self.states.clear()
        for each in response.endpoints:
            self.states[each.description.name] = each.description.state
        if self._poll_timer is not None:
            self._poll_timer.cancel()

    def call_failed(self) -> None:
        self._schedule_poll(0.5 * self._rng.uniform(0.5, 1.0))

    def fault_changed(self, fault: str) -> None:
        pass

    def event_occurred(self, event: object) -> None:
        pass

    def _poll(self) -> None:
        self.client.subscribe()
        self._schedule_poll(2.5)

    def _schedule_poll(self, delay_s: float) -> None:
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._poll_timer = self._loop.call_later(delay_s, self._poll)

    def close(self) -> None:
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self.client.close()


class Announcements:
    """What has been written to the sidecar, and since when each endpoint counts as withdrawn by it."""

    def __init__(self) -> None:
        self._sequence = -1
        self.withdrawn_at: dict[str, float] = {}

    def written(self, sequence: int, states: States) -> None:
        """Records that the list of this sequence number was written."""
        if sequence < self._sequence:
            return
        self._sequence = sequence
        for name, state in states.items():
            if state is EndpointState.READY:
                self.withdrawn_at.pop(name, None)
            else:
                self.withdrawn_at.setdefault(name, asyncio.get_running_loop().time())


class Train:
    """One random train of events against one client."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._announcements = Announcements()
        self.directory = Directory(NAMES, self._rng, self._announcements.written)
        VirtualConnection.directory = self.directory
        VirtualConnection.rng = self._rng
        mode = self._rng.choice([DiscoveryMode.POLLED, DiscoveryMode.PUSHED])
        self._sidecar = Sidecar(self.directory.complete_list(), self._rng, mode)
        self._reachable_since = self._loop.time()
        self._changed_at: dict[str, float] = {}  # of the endpoints that are withdrawn now

    async def run(self) -> None:
        """Runs the train, then a quiet time, and checks what the sidecar knows."""
        try:
            async with asyncio.TaskGroup() as tasks:
                checks = tasks.create_task(self._check_always())
                async with asyncio.TaskGroup() as sources:
                    for source in (self._change_list, self._disturb, self._reload):
                        sources.create_task(source())
                self.directory.latency_s = 0.0
                await asyncio.sleep(QUIET_S)
                checks.cancel()
            self._check_full_service()
        finally:
            self._sidecar.close()

    async def _change_list(self) -> None:
        end_at = self._loop.time() + TRAIN_S
        while self._loop.time() < end_at:
            await asyncio.sleep(self._rng.choice([0.01, 0.3, 1.0, 3.0]) * self._rng.random())
            name = self._rng.choice(NAMES)
            state = self._rng.choice(list(EndpointState))
            if state is not self.directory.history[-1][name]:
                self.directory.change(name, state)
                if state is EndpointState.READY:
                    self._changed_at.pop(name, None)
                else:
                    self._changed_at.setdefault(name, self._loop.time())

    async def _disturb(self) -> None:
        end_at = self._loop.time() + TRAIN_S
        while self._loop.time() < end_at:
            await asyncio.sleep(self._rng.uniform(0.0, 3.0))
            self.directory.latency_s = self._rng.choice([0.0, 0.6, 0.6, 1.3])
            self.directory.service_time_s = self._rng.choice([0.0, 0.02])
            if self._rng.random() < 0.1:
                self.directory.restart()
                continue
            self.directory.set_condition(self._rng.choice([*Condition, Condition.STALLED, Condition.STALLED]))
            await asyncio.sleep(self._rng.choice([0.05, 0.8, 3.0]) * self._rng.random())
            was_reachable = self.directory.condition is Condition.SERVING
            self.directory.set_condition(Condition.SERVING)
            if not was_reachable:
                self._reachable_since = self._loop.time()

    async def _reload(self) -> None:
        end_at = self._loop.time() + TRAIN_S
        while self._loop.time() < end_at:
            await asyncio.sleep(self._rng.uniform(0.0, 4.0))
            interval_s = self._rng.choice([0.0, 0.002, 0.1, 1.2])
            for _ in range(self._rng.choice([1, 1, 2, 8, 30])):
                event = self._rng.choice(["reload", "reload", "reload", "poll", "fetch"])
                if event == "reload":
                    self._sidecar.client.change_address(ADDRESS)
                elif event == "poll":
                    self._sidecar.client.subscribe()
                else:
                    self._sidecar.client.fetch()
                await asyncio.sleep(interval_s)
                if self._loop.time() >= end_at:
                    break

    async def _check_always(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = self._loop.time()
            for name, withdrawn_at in self._announcements.withdrawn_at.items():
                assert now <= withdrawn_at + GRACE_S or not self._is_used(name), (
                    f"{name} is used {now - withdrawn_at:.3f} s after its withdrawal was written"
                )
            if self.directory.condition is not Condition.SERVING:
                continue
            for name, changed_at in self._changed_at.items():
                announced_at = max(changed_at, self._reachable_since) + PROPAGATION_S
                assert now <= announced_at + GRACE_S or not self._is_used(name), (
                    f"{name} is used {now - changed_at:.3f} s after its withdrawal"
                )

    def _is_used(self, name: str) -> bool:
        return self._sidecar.states.get(name) is EndpointState.READY

    def _check_full_service(self) -> None:
        for name, state in self.directory.history[-1].items():
            assert self._is_used(name) is (state is EndpointState.READY), f"{name} is {state}"


@contextmanager
def virtual_discovery(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    with monkeypatch.context() as patch:
        patch.setattr(discovery_client, "DiscoveryConnection", VirtualConnection)
        patch.setattr(Clock, "now", lambda _clock: int(asyncio.get_running_loop().time() * 1e6))
        yield


def run_train(seed: int) -> None:
    """Runs one train; raises AssertionError, with the seed, for the first thing that is wrong."""

    async def work() -> None:
        try:
            await Train(seed).run()
        except* AssertionError as group:
            raise AssertionError(f"seed {seed}: {group.exceptions[0]}") from None

    run_virtual(work)


@pytest.mark.parametrize("block", range(BLOCKS))
def test_client_knows_what_was_announced_in_any_train_of_events(
    block: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    with virtual_discovery(monkeypatch):
        for seed in range(block * TRAINS_PER_BLOCK, (block + 1) * TRAINS_PER_BLOCK):
            run_train(seed)
