"""Each response that discovery writes is applied, whatever became of the call that it belongs to."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from holding_discovery import (
    VERSION_BEFORE,
    VERSION_OF_DRAIN,
    HoldingDiscovery,
    draining_entry,
    list_json,
    ready_entry,
)
from loopback import ReceivedRequest, ScriptedServer, http_response, run_async, wait_until
from recording_observer import RecordingObserver

from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.sidecar.addresses import parse_address
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule

SCHEDULE = PollSchedule(1.2)  # short enough for a watch to become overdue within the test
RECEIVE_TIMEOUT_S = 2.0  # nothing but the written responses can announce the drain, so this is no tight bound

DRAIN = list_json(VERSION_OF_DRAIN, draining_entry())
UNCHANGED = {
    "empty": list_json(VERSION_BEFORE),
    "complete": list_json(VERSION_BEFORE, ready_entry(), is_complete=True),
    "older": list_json(VERSION_BEFORE - 1, is_complete=False),
    "partial": list_json(VERSION_BEFORE, ready_entry()),
}
DRAINS = {
    "delta": DRAIN,
    "complete": list_json(VERSION_OF_DRAIN, draining_entry(), is_complete=True),
    "omitted": list_json(VERSION_OF_DRAIN, ready_entry("s-2"), is_complete=True),
}


@asynccontextmanager
async def outstanding_calls(
    count: int, *, pushed: bool
) -> AsyncIterator[tuple[HoldingDiscovery, RecordingObserver]]:
    """Yields once this many calls are outstanding: a watch that is overdue, and hedged calls beside it."""
    server = HoldingDiscovery()
    await server.start()
    observer = RecordingObserver(server, pushed=pushed, schedule=SCHEDULE)
    observer.client.start()
    observer.client.subscribe()  # has no effect where lists are pushed
    await observer.wait_for_state("s-1", EndpointState.READY)
    await server.wait_for_held(count)
    try:
        yield server, observer
    finally:
        observer.client.close()
        server.stop()


@asynccontextmanager
async def moved_discovery() -> AsyncIterator[tuple[HoldingDiscovery, HoldingDiscovery, RecordingObserver]]:
    """Yields the previous and the present discovery, after a reload, once each has an outstanding call."""
    async with outstanding_calls(1, pushed=False) as (previous, observer):
        present = HoldingDiscovery()
        await present.start()
        observer.client.change_address(parse_address(present.address))
        await present.wait_for_held(1)
        try:
            yield previous, present, observer
        finally:
            present.stop()


def requests_complete_list(received: ReceivedRequest) -> bool:
    """Returns whether a call requests the complete list, and not the changes since a version."""
    return "after" not in received.target


async def assert_drain_received(observer: RecordingObserver) -> None:
    """Asserts that the drain is applied, and is not replaced by what arrives after it."""
    await observer.wait_until_withdrawn("s-1", RECEIVE_TIMEOUT_S)
    await asyncio.sleep(0.02)
    assert observer.is_withdrawn("s-1")


@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
@pytest.mark.parametrize("unchanged", UNCHANGED)
@pytest.mark.parametrize("gap_s", [0.0, 0.001, 0.005, 0.05], ids=lambda gap_s: f"{gap_s * 1e3:g}ms")
@pytest.mark.parametrize("is_drain_first", [False, True], ids=["drain second", "drain first"])
@pytest.mark.parametrize("draining_call", [0, 1], ids=["watch", "hedge"])
def test_drain_is_applied_when_another_call_ends_first(
    draining_call: int, gap_s: float, unchanged: str, *, is_drain_first: bool, pushed: bool
) -> None:
    # Guards against a hedged call, or a watch, whose response was discarded because the other one had ended.
    async def work() -> None:
        async with outstanding_calls(2, pushed=pushed) as (server, observer):
            order = [draining_call, 1 - draining_call]
            for index in order if is_drain_first else reversed(order):
                server.write(index, DRAIN if index == draining_call else UNCHANGED[unchanged])
                if gap_s:
                    await asyncio.sleep(gap_s)
            await assert_drain_received(observer)

    run_async(work)


@pytest.mark.parametrize("drain", DRAINS)
@pytest.mark.parametrize("draining_call", [0, 1, 2])
def test_drain_is_applied_when_three_calls_are_outstanding(draining_call: int, drain: str) -> None:
    async def work() -> None:
        async with outstanding_calls(3, pushed=True) as (server, observer):
            for index in (0, 1, 2):
                server.write(index, DRAINS[drain] if index == draining_call else UNCHANGED["empty"])
            await assert_drain_received(observer)

    run_async(work)


@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
@pytest.mark.parametrize("draining_call", [0, 1], ids=["watch", "hedge"])
def test_drain_is_applied_when_its_response_is_half_received_as_the_other_call_ends(
    draining_call: int, *, pushed: bool
) -> None:
    async def work() -> None:
        async with outstanding_calls(2, pushed=pushed) as (server, observer):
            server.write_part(draining_call, DRAIN, is_first=True)
            server.write(1 - draining_call, UNCHANGED["empty"])
            await asyncio.sleep(0.02)
            server.write_part(draining_call, DRAIN, is_first=False)
            await assert_drain_received(observer)

    run_async(work)


@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
def test_drain_is_applied_when_its_call_has_timed_out(*, pushed: bool) -> None:
    async def work() -> None:
        async with outstanding_calls(2, pushed=pushed) as (server, observer):
            # The watch is given up before the last of these calls starts.
            await server.wait_for_held(4 if pushed else 3)
            server.write(0, DRAIN)
            await assert_drain_received(observer)

    run_async(work)


@pytest.mark.parametrize("event", ["reload", "subscribe", "unsubscribe"])
@pytest.mark.parametrize("is_written_before", [True, False], ids=["written before", "written after"])
def test_drain_is_applied_when_its_call_was_replaced(event: str, *, is_written_before: bool) -> None:
    # What was written to a call that is replaced counts as announced.
    async def work() -> None:
        async with outstanding_calls(1, pushed=False) as (server, observer):
            other = await ScriptedServer(None).start()
            if is_written_before:
                server.write(0, DRAIN)
                await server.held[0].writer.drain()
            if event == "reload":
                observer.client.change_address(parse_address(other.address))
            elif event == "subscribe":
                observer.client.subscribe()
            else:
                observer.client.unsubscribe()
            if not is_written_before:
                await asyncio.sleep(0.02)
                server.write(0, DRAIN)
            await assert_drain_received(observer)
            other.stop()

    run_async(work)


def test_drain_is_applied_when_reloads_are_faster_than_discovery() -> None:
    # Guards against reloads that each end the call of the one before: no call would ever have a response.
    response_delay_s = 0.3

    async def work() -> None:
        async def respond_late(_received: object) -> bytes:
            await asyncio.sleep(response_delay_s)
            return http_response(list_json(VERSION_OF_DRAIN, draining_entry(), is_complete=True))

        async with outstanding_calls(1, pushed=False) as (_, observer):
            servers = [await ScriptedServer(respond_late).start() for _ in range(2)]
            reload_count = 0
            async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                while not observer.is_withdrawn("s-1"):
                    observer.client.change_address(parse_address(servers[reload_count % 2].address))
                    reload_count += 1
                    await asyncio.sleep(response_delay_s / 20)
            assert reload_count > 10
            for server in servers:
                server.stop()

    run_async(work)


def test_late_list_of_a_previous_address_makes_no_server_ready() -> None:
    # Guards against a previous discovery whose late list replaces that of the current one.
    async def work() -> None:
        async with moved_discovery() as (previous, present, observer):
            present.write(0, DRAIN)
            await observer.wait_until_withdrawn("s-1", RECEIVE_TIMEOUT_S)
            previous.write(0, list_json(VERSION_OF_DRAIN + 5, ready_entry()))
            await asyncio.sleep(0.05)
            assert observer.is_withdrawn("s-1")

    run_async(work)


def test_late_drain_of_a_previous_address_is_applied_until_the_new_one_responds() -> None:
    # Guards against a drain that was announced by the previous discovery, after the new one had responded.
    async def work() -> None:
        async with moved_discovery() as (previous, present, observer):
            previous.write(0, DRAIN)
            await observer.wait_until_withdrawn("s-1", RECEIVE_TIMEOUT_S)
            complete_list = list_json(VERSION_BEFORE, ready_entry(), is_complete=True)
            await wait_until(lambda: any(map(requests_complete_list, present.held)))
            index = [requests_complete_list(each) for each in present.held].index(True)
            present.write(index, complete_list)
            await observer.wait_for_state("s-1", EndpointState.READY)

    run_async(work)
