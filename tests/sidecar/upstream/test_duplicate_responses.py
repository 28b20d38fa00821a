"""A response on a connection that carried an earlier request may belong to that one, and proves nothing."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest
from barriers import ManualClock, announce_endpoints, server_entry
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
from overtaken import MS, OTHER_GROUPS, WINDOW_US, service_classes


@dataclass
class DuplicateResponse:
    """A request whose server has read all of it, and then sent a duplicate of the response before."""

    harness: SidecarHarness
    client: Client
    is_shared: bool  # whether it was on the connection of the request before


@asynccontextmanager
async def _duplicate_response(
    request_class: str, clock: ManualClock | None = None, after_us: int = 0, group: str = "cell", **other: Any
) -> AsyncIterator[DuplicateResponse]:
    """Send a request to a server that rejected one before; repeat that rejection once this one is read.

    Meanwhile another server is listed, as `other` says: a retry could go there.
    """
    read = asyncio.Event()
    send_duplicate = asyncio.Event()

    async def twice(incoming: ReceivedRequest) -> bytes:
        if len(harness.servers[0].received_requests) == 1:
            return REJECTION_RESPONSE
        read.set()
        await send_duplicate.wait()
        before = harness.servers[0].received_requests[0]
        if incoming.connection_number == before.connection_number:
            return REJECTION_RESPONSE  # the same response again
        before.writer.write(REJECTION_RESPONSE)
        return OK_RESPONSE

    async with sidecar_harness(
        twice, OK_RESPONSE, servers_listed=False, lanes=service_classes(group)
    ) as harness:
        await announce_endpoints(harness, server_entry(0, harness.servers[0].address))
        assert (await harness.send_request(request_class)).status == 503
        client = await harness.connect()
        client.send(http_request(request_class, timeout="4.0"))
        await wait_until(read.is_set)
        await announce_endpoints(harness, server_entry(1, harness.servers[1].address, **other))
        if clock is not None:
            clock.advance(after_us)
        send_duplicate.set()
        first, second = harness.servers[0].received_requests
        yield DuplicateResponse(harness, client, first.connection_number == second.connection_number)


def test_duplicate_response_does_not_retry_non_idempotent_request() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        async with _duplicate_response("lodge") as seen:
            started_at = loop.time()
            response = await seen.client.read_response()
            assert response.status == (502 if seen.is_shared else 200)
            assert loop.time() - started_at < 1.0  # at once, not at its deadline
            assert seen.harness.servers[1].received_requests == []
            await wait_until(lambda: seen.harness.sidecar.open_requests == 0)

    run_async(work)


def test_rejection_retries_non_idempotent_request_when_first_response_on_connection() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def full(incoming: ReceivedRequest) -> bytes:
            await release.wait()
            return REJECTION_RESPONSE

        async with sidecar_harness(
            full, OK_RESPONSE, servers_listed=False, lanes=service_classes()
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


@pytest.mark.parametrize(("group", "other"), OTHER_GROUPS, ids=["cell", "zone"])
def test_duplicate_response_does_not_retry_keyed_request_in_another_group(
    group: str, other: dict[str, Any]
) -> None:
    async def work() -> None:
        async with _duplicate_response("amend", group=group, **other) as seen:
            response = await seen.client.read_response()
            assert response.status == (502 if seen.is_shared else 200)
            assert seen.harness.servers[1].received_requests == []

    run_async(work)


@pytest.mark.parametrize("group", ["cell", "zone", "all"])
def test_duplicate_response_does_not_retry_keyed_request_after_window(
    group: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _duplicate_response("amend", clock, WINDOW_US, group) as seen:
            response = await seen.client.read_response()
            refused = (503,) if group == "all" else ()
            assert response.status in ((502, *refused) if seen.is_shared else (200,))
            assert seen.harness.servers[1].received_requests == []

    run_async(work)


@pytest.mark.parametrize("group", ["cell", "zone", "all"])
def test_duplicate_response_permits_retry_of_keyed_request_within_group_and_window(
    group: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _duplicate_response("amend", clock, WINDOW_US - 50 * MS, group) as seen:
            assert (await seen.client.read_response()).status == 200
            assert len(seen.harness.servers[1].received_requests) == (1 if seen.is_shared else 0)

    run_async(work)
