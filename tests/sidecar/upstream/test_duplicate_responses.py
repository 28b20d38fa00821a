"""Guards against conclusions from a response that may be a duplicate of an earlier one.

A response does not identify its request, so on a connection with earlier requests it may belong to one of
them.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest
from barriers import ManualClock, announce_endpoints, server_entry
from delayed_attempt import MS, OTHER_LOCALITIES, WINDOW_US, service_classes
from loopback import (
    OK_RESPONSE,
    REJECTION_RESPONSE,
    Client,
    ReceivedRequest,
    SidecarHarness,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
)


@dataclass
class DuplicateResponse:
    """A request that its server has read, before it sent a duplicate of the previous response."""

    harness: SidecarHarness
    client: Client
    is_shared: bool  # whether both requests were on the same connection


@asynccontextmanager
async def _duplicate_response(
    request_class: str, clock: ManualClock | None = None, after_us: int = 0, scope: str = "cell", **other: Any
) -> AsyncIterator[DuplicateResponse]:
    """Sends a request to a server that rejected an earlier one; the server repeats that rejection.

    Before that, another server is listed, with `other` in its entry: a retry could be sent to it.
    """
    is_read = asyncio.Event()
    send_duplicate = asyncio.Event()

    async def respond_twice(incoming: ReceivedRequest) -> bytes:
        if len(harness.servers[0].received_requests) == 1:
            return REJECTION_RESPONSE
        is_read.set()
        await send_duplicate.wait()
        first_request = harness.servers[0].received_requests[0]
        if incoming.connection_number == first_request.connection_number:
            return REJECTION_RESPONSE  # a duplicate of the previous response
        first_request.writer.write(REJECTION_RESPONSE)
        return OK_RESPONSE

    async with sidecar_harness(
        respond_twice, OK_RESPONSE, servers_listed=False, lanes=service_classes(scope)
    ) as harness:
        await announce_endpoints(harness, server_entry(0, harness.servers[0].address))
        assert (await harness.send_request(request_class)).status == 503
        client = await harness.connect()
        client.send(http_request(request_class, timeout="4.0"))
        await wait_until(is_read.is_set)
        await announce_endpoints(harness, server_entry(1, harness.servers[1].address, **other))
        if clock is not None:
            clock.advance(after_us)
        send_duplicate.set()
        first, second = harness.servers[0].received_requests
        yield DuplicateResponse(harness, client, first.connection_number == second.connection_number)


def test_duplicate_response_does_not_retry_non_idempotent_request() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        async with _duplicate_response("lodge") as scenario:
            started_at = loop.time()
            response = await scenario.client.read_response()
            assert response.status == (502 if scenario.is_shared else 200)
            assert loop.time() - started_at < 1.0  # immediately, not at the deadline
            assert scenario.harness.servers[1].received_requests == []
            await wait_until(lambda: scenario.harness.sidecar.open_requests == 0)

    run_async(work)


def test_rejection_retries_non_idempotent_request_when_first_response_on_connection() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def reject(incoming: ReceivedRequest) -> bytes:
            await release.wait()
            return REJECTION_RESPONSE

        async with sidecar_harness(
            reject, OK_RESPONSE, servers_listed=False, lanes=service_classes()
        ) as harness:
            await announce_endpoints(harness, server_entry(0, harness.servers[0].address))
            client = await harness.connect()
            client.send(http_request("lodge", timeout="4.0"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            await announce_endpoints(harness, server_entry(1, harness.servers[1].address))
            release.set()
            assert (await client.read_response()).status == 200
            assert [len(each.received_requests) for each in harness.servers] == [1, 1]

    run_async(work)


def test_rejection_is_passed_on_when_there_is_no_other_server() -> None:
    async def work() -> None:
        async with sidecar_harness(REJECTION_RESPONSE, lanes=service_classes()) as harness:
            assert (await harness.send_request("lodge")).status == 503

    run_async(work)


@pytest.mark.parametrize(("scope", "other"), OTHER_LOCALITIES, ids=["cell", "zone"])
def test_duplicate_response_does_not_retry_keyed_request_in_another_scope(
    scope: str, other: dict[str, Any]
) -> None:
    async def work() -> None:
        async with _duplicate_response("amend", scope=scope, **other) as scenario:
            response = await scenario.client.read_response()
            assert response.status == (502 if scenario.is_shared else 200)
            assert scenario.harness.servers[1].received_requests == []

    run_async(work)


@pytest.mark.parametrize("scope", ["cell", "zone", "all"])
def test_duplicate_response_does_not_retry_keyed_request_after_window(
    scope: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _duplicate_response("amend", clock, WINDOW_US, scope) as scenario:
            response = await scenario.client.read_response()
            rejections = (503,) if scope == "all" else ()
            assert response.status in ((502, *rejections) if scenario.is_shared else (200,))
            assert scenario.harness.servers[1].received_requests == []

    run_async(work)


@pytest.mark.parametrize("scope", ["cell", "zone", "all"])
def test_duplicate_response_permits_retry_of_keyed_request_within_scope_and_window(
    scope: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _duplicate_response("amend", clock, WINDOW_US - 50 * MS, scope) as scenario:
            assert (await scenario.client.read_response()).status == 200
            assert len(scenario.harness.servers[1].received_requests) == (1 if scenario.is_shared else 0)

    run_async(work)
