"""Guards against reloads that relax the retry rules of a request that has started."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from barriers import DelayedConnects, ManualClock, announce_endpoints, reset_connection, server_entry
from delayed_attempt import (
    WINDOW_US,
    assert_final_response,
    assert_server_received_nothing,
    delayed_first_attempt,
    service_classes,
    wait_until_dial_is_delayed,
)
from loopback import (
    OK_RESPONSE,
    ReceivedRequest,
    SidecarHarness,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
)

from tulipnotch.sidecar.configuration.configuration import parse_config


def _reload(harness: SidecarHarness, **changes: Any) -> None:
    """Reloads the running sidecar with changed settings."""
    previous = dict(harness.sidecar.config.file)
    values = {**previous, "settings": {**previous["settings"], **changes}}
    harness.sidecar.reload(parse_config(values, values))


def _with_class(**changes: Any) -> dict[str, Any]:
    classes = service_classes("cell")
    classes[1] = {key: each for key, each in (classes[1] | changes).items() if each is not None}
    return {"lanes": classes}


_RELOADS = [
    pytest.param(_with_class(memorySpanUs=3_000_000), id="a longer window"),
    pytest.param(_with_class(group="all"), id="a wider scope"),
    pytest.param(_with_class(repeat="read_like", group=None, memorySpanUs=None), id="idempotent"),
    pytest.param({"lanes": [service_classes()[0]]}, id="class removed"),
]


@pytest.mark.parametrize("changes", _RELOADS)
def test_reload_does_not_relax_retry_rules_of_started_request(
    changes: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, delayed_connects = ManualClock(monkeypatch), DelayedConnects(monkeypatch)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as other_harness:
            delayed_server = other_harness.servers[0]
            delayed_connects.hold(delayed_server.address)
            async with delayed_first_attempt(
                clock,
                delayed_server.address,
                "reset",
                wait_until_delayed=wait_until_dial_is_delayed(delayed_connects),
            ) as scenario:
                _reload(scenario.harness, **changes)
                clock.advance(WINDOW_US)
                delayed_connects.release(delayed_server.address)
                await wait_until(lambda: scenario.harness.sidecar._upstream._dials_in_flight == 0)
                await assert_final_response(scenario, "cell", "reset")
                await assert_server_received_nothing(scenario, delayed_server)

    run_async(work)


def test_reload_without_hedging_applies_to_unwritten_attempt(
    monkeypatch: pytest.MonkeyPatch,
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
                wait_until_delayed=wait_until_dial_is_delayed(delayed_connects),
            ) as scenario:
                bounds = scenario.harness.sidecar.config.file["settings"]["bounds"]
                _reload(scenario.harness, bounds={**bounds, "secondCopies": False})
                delayed_connects.release(delayed_server.address)
                await wait_until(lambda: scenario.harness.sidecar._upstream._dials_in_flight == 0)
                await assert_final_response(scenario, "cell", "running")
                await assert_server_received_nothing(scenario, delayed_server)

    run_async(work)


@pytest.mark.parametrize("request_class", ["lodge", "amend"])
def test_reload_permits_no_retry_of_possibly_executed_request(request_class: str) -> None:
    # Its class did not permit a retry before the reload: it was non-idempotent, or keyed and without another
    # server in the deduplication scope.
    async def work() -> None:
        release = asyncio.Event()

        async def first(incoming: ReceivedRequest) -> None:
            await release.wait()
            reset_connection(incoming)

        async with sidecar_harness(
            first, OK_RESPONSE, servers_listed=False, lanes=service_classes("cell")
        ) as harness:
            await announce_endpoints(harness, server_entry(0, harness.servers[0].address))
            client = await harness.connect()
            client.send(http_request(request_class, timeout="4.0"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            keyed = {"repeat": "idempotency_key", "group": "all", "memorySpanUs": 3_000_000}
            relaxed = [service_classes()[0], *({**each, **keyed} for each in service_classes()[1:])]
            _reload(harness, lanes=relaxed)
            await announce_endpoints(harness, server_entry(1, harness.servers[1].address, cell=2))
            release.set()
            assert (await client.read_response()).status == 502
            assert harness.servers[1].received_requests == []

    run_async(work)


@pytest.mark.parametrize("request_class", ["check", "amend"])
def test_request_is_sent_once_when_its_class_was_removed(request_class: str) -> None:
    # Its requests are still in flight; a class that is missing in the settings counts as non-idempotent.
    async def work() -> None:
        async def reset(incoming: ReceivedRequest) -> None:
            reset_connection(incoming)

        async with sidecar_harness(reset, reset, lanes=service_classes()) as harness:
            _reload(harness, lanes=[service_classes()[2]])
            assert (await harness.send_request(request_class)).status == 502
            assert len(harness.received_requests) == 1

    run_async(work)
