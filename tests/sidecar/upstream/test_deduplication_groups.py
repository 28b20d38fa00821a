"""The deduplication scope of an attempt whose server moves to another zone or cell."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from barriers import DelayedConnects, ManualClock, announce_endpoints, reset_connection, server_entry
from delayed_attempt import (
    OTHER_LOCALITIES,
    assert_final_response,
    assert_server_received_nothing,
    delayed_first_attempt,
    service_classes,
    wait_until_dial_is_delayed,
)
from loopback import OK_RESPONSE, ReceivedRequest, http_request, run_async, sidecar_harness, wait_until


@pytest.mark.parametrize(("scope", "locality"), OTHER_LOCALITIES, ids=["cell", "zone"])
def test_attempt_is_not_written_when_server_left_deduplication_scope(
    scope: str, locality: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, delayed_connects = ManualClock(monkeypatch), DelayedConnects(monkeypatch)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as other_harness:
            delayed_server = other_harness.servers[0]
            delayed_connects.hold(delayed_server.address)
            async with delayed_first_attempt(
                clock,
                delayed_server.address,
                "running",
                scope=scope,
                wait_until_delayed=wait_until_dial_is_delayed(delayed_connects),
            ) as scenario:
                await announce_endpoints(
                    scenario.harness, server_entry(0, delayed_server.address, **locality)
                )
                delayed_connects.release(delayed_server.address)
                await wait_until(lambda: scenario.harness.sidecar._upstream._dials_in_flight == 0)
                await assert_final_response(scenario, scope, "running")
                await assert_server_received_nothing(scenario, delayed_server)

    run_async(work)


@pytest.mark.parametrize(("scope", "locality"), OTHER_LOCALITIES, ids=["cell", "zone"])
def test_attempt_scope_is_that_of_server_when_last_byte_is_written(
    scope: str, locality: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    # The server moves after the attempt was started and before its last byte is written.  One other server is
    # in its old zone or cell, one in the new.
    delayed_connects = DelayedConnects(monkeypatch)
    ManualClock(monkeypatch)

    async def work() -> None:
        async def first(incoming: ReceivedRequest) -> None:
            reset_connection(incoming)

        async with sidecar_harness(
            first, OK_RESPONSE, OK_RESPONSE, servers_listed=False, lanes=service_classes(scope)
        ) as harness:
            address, server_in_old_scope, server_in_new_scope = (each.address for each in harness.servers)
            delayed_connects.hold(address)
            await announce_endpoints(harness, server_entry(0, address))
            client = await harness.connect()
            client.send(http_request("amend", timeout="4.0"))
            await wait_until(lambda: delayed_connects.pending_count == 1)
            await announce_endpoints(
                harness,
                server_entry(0, address, **locality),
                server_entry(1, server_in_old_scope),
                server_entry(2, server_in_new_scope, **locality),
            )
            delayed_connects.release(address)
            assert (await client.read_response()).status == 200
            assert [len(each.received_requests) for each in harness.servers] == [1, 0, 1]

    run_async(work)


@pytest.mark.parametrize("change", ["moves", "restarts in another scope", "removed"])
@pytest.mark.parametrize(("scope", "locality"), OTHER_LOCALITIES, ids=["cell", "zone"])
def test_attempt_scope_is_unchanged_when_server_moves_after_last_byte_is_written(
    scope: str, locality: dict[str, Any], change: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    ManualClock(monkeypatch)

    async def work() -> None:
        release = asyncio.Event()

        async def first(incoming: ReceivedRequest) -> None:
            await release.wait()
            reset_connection(incoming)

        async with sidecar_harness(
            first, OK_RESPONSE, servers_listed=False, lanes=service_classes(scope)
        ) as harness:
            address, other = (each.address for each in harness.servers)
            await announce_endpoints(harness, server_entry(0, address))
            client = await harness.connect()
            client.send(http_request("amend", timeout="4.0"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            changes = dict(locality)
            if change == "restarts in another scope":
                changes["started_ms"] = 1_600_000_000_000
            elif change == "removed":
                changes = {"state": "left"}
            await announce_endpoints(
                harness, server_entry(0, address, **changes), server_entry(1, other, **locality)
            )
            release.set()
            assert (await client.read_response()).status == 502
            assert harness.servers[1].received_requests == []

    run_async(work)
