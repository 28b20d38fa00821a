"""A reload does not relax the bounds of a request that has started."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from barriers import DelayedConnects, ManualClock, announce_endpoints, reset_connection, server_entry
from loopback import (
    OK_RESPONSE,
    ReceivedRequest,
    SidecarHarness,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
)
from overtaken import (
    WINDOW_US,
    assert_has_ended,
    assert_received_nothing,
    overtaken,
    service_classes,
    until_dial_is_delayed,
)

from tulipnotch.sidecar.configuration.configuration import parse_config


def _reload(harness: SidecarHarness, **changes: Any) -> None:
    """Change settings in the running sidecar."""
    before = dict(harness.sidecar.config.file)
    raw = {**before, "settings": {**before["settings"], **changes}}
    harness.sidecar.reload(parse_config(raw, raw))


def _with_class(**changes: Any) -> dict[str, Any]:
    kinds = service_classes("cell")
    kinds[1] = {key: each for key, each in (kinds[1] | changes).items() if each is not None}
    return {"lanes": kinds}


_RELOADS = [
    pytest.param(_with_class(memorySpanUs=3_000_000), id="a longer window"),
    pytest.param(_with_class(group="all"), id="a wider group"),
    pytest.param(_with_class(repeat="read_like", group=None, memorySpanUs=None), id="idempotent"),
    pytest.param({"lanes": [service_classes()[0]]}, id="class removed"),
]


@pytest.mark.parametrize("changes", _RELOADS)
def test_reload_does_not_relax_bounds_of_started_request(
    changes: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, delayed_dials = ManualClock(monkeypatch), DelayedConnects(monkeypatch)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as other_harness:
            late_server = other_harness.servers[0]
            delayed_dials.hold(late_server.address)
            async with overtaken(
                clock, late_server.address, "reset", first_is_late=until_dial_is_delayed(delayed_dials)
            ) as seen:
                _reload(seen.harness, **changes)
                clock.advance(WINDOW_US)
                delayed_dials.release(late_server.address)
                await wait_until(lambda: seen.harness.sidecar._upstream._dials_in_flight == 0)
                await assert_has_ended(seen, "cell", "reset")
                await assert_received_nothing(seen, late_server)

    run_async(work)


def test_reload_without_hedging_applies_to_unwritten_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock, delayed_dials = ManualClock(monkeypatch), DelayedConnects(monkeypatch)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as other_harness:
            late_server = other_harness.servers[0]
            delayed_dials.hold(late_server.address)
            async with overtaken(
                clock, late_server.address, "runs on", first_is_late=until_dial_is_delayed(delayed_dials)
            ) as seen:
                bounds = seen.harness.sidecar.config.file["settings"]["bounds"]
                _reload(seen.harness, bounds={**bounds, "secondCopies": False})
                delayed_dials.release(late_server.address)
                await wait_until(lambda: seen.harness.sidecar._upstream._dials_in_flight == 0)
                await assert_has_ended(seen, "cell", "runs on")
                await assert_received_nothing(seen, late_server)

    run_async(work)


@pytest.mark.parametrize("request_class", ["lodge", "amend"])
def test_reload_permits_no_retry_of_possibly_executed_request(request_class: str) -> None:
    # By its class as it was there may be no retry: non-idempotent, or keyed with no other server in the
    # group.
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
            free = [service_classes()[0], *({**each, **keyed} for each in service_classes()[1:])]
            _reload(harness, lanes=free)
            await announce_endpoints(harness, server_entry(1, harness.servers[1].address, cell=2))
            release.set()
            assert (await client.read_response()).status == 502
            assert harness.servers[1].received_requests == []

    run_async(work)


@pytest.mark.parametrize("request_class", ["check", "amend"])
def test_request_is_sent_once_when_its_class_was_removed(request_class: str) -> None:
    # Requests of it are in flight; a class that the settings do not name counts as non-idempotent.
    async def work() -> None:
        async def resets(incoming: ReceivedRequest) -> None:
            reset_connection(incoming)

        async with sidecar_harness(resets, resets, lanes=service_classes()) as harness:
            _reload(harness, lanes=[service_classes()[2]])
            assert (await harness.send_request(request_class)).status == 502
            assert len(harness.received_requests) == 1

    run_async(work)
