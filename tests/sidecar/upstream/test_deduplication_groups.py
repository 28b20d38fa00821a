"""The deduplication group of an attempt, where the endpoint list changes its server's zone or cell."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from barriers import DelayedConnects, ManualClock, announce_endpoints, reset_connection, server_entry
from loopback import OK_RESPONSE, ReceivedRequest, http_request, run_async, sidecar_harness, wait_until
from overtaken import (
    OTHER_GROUPS,
    assert_has_ended,
    assert_received_nothing,
    overtaken,
    service_classes,
    until_dial_is_delayed,
)


@pytest.mark.parametrize(("group", "locality"), OTHER_GROUPS, ids=["cell", "zone"])
def test_attempt_is_not_written_when_server_left_deduplication_group(
    group: str, locality: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, delayed_dials = ManualClock(monkeypatch), DelayedConnects(monkeypatch)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as other_harness:
            late_server = other_harness.servers[0]
            delayed_dials.hold(late_server.address)
            async with overtaken(
                clock,
                late_server.address,
                "runs on",
                group=group,
                first_is_late=until_dial_is_delayed(delayed_dials),
            ) as seen:
                await announce_endpoints(seen.harness, server_entry(0, late_server.address, **locality))
                delayed_dials.release(late_server.address)
                await wait_until(lambda: seen.harness.sidecar._upstream._dials_in_flight == 0)
                await assert_has_ended(seen, group, "runs on")
                await assert_received_nothing(seen, late_server)

    run_async(work)


@pytest.mark.parametrize(("group", "locality"), OTHER_GROUPS, ids=["cell", "zone"])
def test_attempt_group_is_that_of_server_when_last_byte_is_written(
    group: str, locality: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Its server moves between the decision and the last byte; one server is in the old group, one in the new.
    delayed_dials = DelayedConnects(monkeypatch)
    ManualClock(monkeypatch)

    async def work() -> None:
        async def first(incoming: ReceivedRequest) -> None:
            reset_connection(incoming)

        async with sidecar_harness(
            first, OK_RESPONSE, OK_RESPONSE, servers_listed=False, lanes=service_classes(group)
        ) as harness:
            address, before, now = (each.address for each in harness.servers)
            delayed_dials.hold(address)
            await announce_endpoints(harness, server_entry(0, address))
            client = await harness.connect()
            client.send(http_request("amend", timeout="4.0"))
            await wait_until(lambda: delayed_dials.pending_count == 1)
            await announce_endpoints(
                harness,
                server_entry(0, address, **locality),
                server_entry(1, before),
                server_entry(2, now, **locality),
            )
            delayed_dials.release(address)
            assert (await client.read_response()).status == 200
            assert [len(each.received_requests) for each in harness.servers] == [1, 0, 1]

    run_async(work)


@pytest.mark.parametrize("why", ["moves", "restarts in another group", "removed"])
@pytest.mark.parametrize(("group", "locality"), OTHER_GROUPS, ids=["cell", "zone"])
def test_attempt_group_is_unchanged_when_server_moves(
    group: str, locality: dict[str, Any], why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    ManualClock(monkeypatch)

    async def work() -> None:
        release = asyncio.Event()

        async def first(incoming: ReceivedRequest) -> None:
            await release.wait()
            reset_connection(incoming)

        async with sidecar_harness(
            first, OK_RESPONSE, servers_listed=False, lanes=service_classes(group)
        ) as harness:
            address, other = (each.address for each in harness.servers)
            await announce_endpoints(harness, server_entry(0, address))
            client = await harness.connect()
            client.send(http_request("amend", timeout="4.0"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            changes = dict(locality)
            if why == "restarts in another group":
                changes["started_ms"] = 1_600_000_000_000
            elif why == "removed":
                changes = {"state": "left"}
            await announce_endpoints(
                harness, server_entry(0, address, **changes), server_entry(1, other, **locality)
            )
            release.set()
            assert (await client.read_response()).status == 502
            assert harness.servers[1].received_requests == []

    run_async(work)
