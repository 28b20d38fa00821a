"""The lifecycle phases of a process, and the effects of an evacuation on clients."""

from __future__ import annotations

import asyncio

import pytest
from loopback import (
    OK_RESPONSE,
    Client,
    ReceivedRequest,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
    within_timeout,
)

from tulipnotch.sidecar.control.endpoint import CommandRejectedError
from tulipnotch.sidecar.control.lifecycle import Lifecycle, Phase
from tulipnotch.sidecar.http1.messages import Request


async def send_health_check(client: Client) -> tuple[int, str | None]:
    """Returns the status and the `Connection` header of the response to a health check."""
    client.send(Request(b"GET", b"/_health", [(b"host", b"x")]).encode_head_and_buffered_body())
    response = await client.read_response()
    return response.status, response.headers.get("connection")


def test_lifecycle_cannot_leave_stopping() -> None:
    lifecycle = Lifecycle()
    lifecycle.mark_started()
    lifecycle.stop()
    assert not lifecycle.activate()
    lifecycle.evacuate()
    lifecycle.mark_started()
    assert lifecycle.phase is Phase.STOPPING


def test_lifecycle_returns_to_starting_when_activated_before_the_start_is_complete() -> None:
    lifecycle = Lifecycle()
    lifecycle.evacuate()
    assert lifecycle.activate()
    assert lifecycle.phase is Phase.STARTING


def test_lifecycle_stays_evacuating_when_the_start_completes_and_serves_when_activated() -> None:
    lifecycle = Lifecycle()
    phases: list[Phase] = []
    lifecycle.add_listener(lambda: phases.append(lifecycle.phase))
    lifecycle.evacuate()
    lifecycle.mark_started()
    assert phases == [Phase.EVACUATING]
    assert lifecycle.activate()
    assert phases == [Phase.EVACUATING, Phase.SERVING]


def test_lifecycle_notifies_once_for_each_change() -> None:
    lifecycle = Lifecycle()
    phases: list[Phase] = []
    lifecycle.add_listener(lambda: phases.append(lifecycle.phase))
    lifecycle.mark_started()
    for _ in range(2):
        lifecycle.evacuate()
    for _ in range(2):
        lifecycle.activate()
    assert phases == [Phase.SERVING, Phase.EVACUATING, Phase.SERVING]


def test_evacuation_disconnects_all_clients_until_the_sidecar_is_activated() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(received: ReceivedRequest) -> bytes:
            if received.target.endswith("hold"):
                await release.wait()
            return OK_RESPONSE

        async with sidecar_harness(hold) as harness:
            commands = harness.sidecar.command_handlers()
            idle, without_request, waiting = [await harness.connect() for _ in range(3)]
            assert (await idle.send_request()).status == 200
            waiting.send(http_request("lodge", target="/hold"))
            await wait_until(lambda: len(harness.received_requests) == 2)
            for _ in range(2):
                assert commands["evacuate"]() == ["evacuating"]
            with pytest.raises(CommandRejectedError):
                commands["readyz"]()
            # The listener stays open.
            assert await send_health_check(await harness.connect()) == (503, "close")
            for client in (idle, without_request):
                assert await within_timeout(client.reader.read()) == b""
            late_response = await harness.send_request()
            assert (late_response.status, late_response.headers["connection"]) == (200, "close")
            release.set()
            response = await waiting.read_response()
            assert (response.status, response.headers["connection"]) == (200, "close")
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            for _ in range(2):
                assert commands["activate"]() == ["serving"]
            assert commands["readyz"]() == ["ready"]
            client = await harness.connect()
            assert await send_health_check(client) == (200, None)
            assert "connection" not in (await client.send_request()).headers

    run_async(work)


def test_evacuation_responds_to_the_next_request_of_an_active_connection_and_closes_it() -> None:
    # Closing a connection while a request is in transit would lose that request.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            client = await harness.connect()
            assert (await client.send_request()).status == 200
            harness.sidecar.command_handlers()["evacuate"]()
            response = await client.send_request()
            assert (response.status, response.headers["connection"]) == (200, "close")
            assert await within_timeout(client.reader.read()) == b""

    run_async(work)
