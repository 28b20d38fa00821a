"""A request that its client sends again, with the same id."""

from __future__ import annotations

import asyncio

import pytest
from barriers import DelayedConnects, reset_connection
from loopback import (
    OK_RESPONSE,
    Client,
    ReceivedRequest,
    SidecarHarness,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
)

_REJECTED = (429, 503)


async def _send(harness: SidecarHarness, raw: bytes) -> Client:
    client = await harness.connect()
    client.send(raw)
    return client


def test_request_is_not_sent_when_its_id_is_in_use() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def holds(incoming: ReceivedRequest) -> bytes:
            await release.wait()
            return OK_RESPONSE

        async with sidecar_harness(holds, holds) as harness:
            raw = http_request("lodge", timeout="4.0")
            first = await _send(harness, raw)
            await wait_until(lambda: len(harness.received_requests) == 1)
            second = await _send(harness, raw)
            response = await second.read_response()
            assert response.status == 409
            release.set()
            assert (await first.read_response()).status == 200
            assert len(harness.received_requests) == 1

    run_async(work)


@pytest.mark.parametrize("may_cancel", [True, False], ids=["may cancel", ""])
@pytest.mark.parametrize("when", ["in flight", "ended", "reset"])
def test_non_idempotent_request_is_not_sent_again_when_its_client_disconnected(
    when: str, may_cancel: bool
) -> None:
    # Its connection was closed, and its client assumes that nobody has read it.
    async def work() -> None:
        release = asyncio.Event()

        async def holds(incoming: ReceivedRequest) -> bytes | None:
            await release.wait()
            if when == "reset":
                reset_connection(incoming)
                return None
            return OK_RESPONSE

        async with sidecar_harness(holds, holds, limit_overrides={"mayCancel": may_cancel}) as harness:
            raw = http_request("lodge", timeout="4.0")
            first = await _send(harness, raw)
            await wait_until(lambda: len(harness.received_requests) == 1)
            first.close()
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            if when != "in flight":
                release.set()
                await wait_until(lambda: harness.sidecar.open_requests == 0)
            second = await _send(harness, raw)
            release.set()
            response = await second.read_response()
            assert response.status not in (200, *_REJECTED)
            assert len(harness.received_requests) == 1

    run_async(work)


def test_non_idempotent_request_is_served_again_when_no_server_had_its_last_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed_dials = DelayedConnects(monkeypatch)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, limit_overrides={"mayCancel": False}) as harness:
            delayed_dials.hold(harness.servers[0].address)
            raw = http_request("lodge", timeout="4.0")
            first = await _send(harness, raw)
            await wait_until(lambda: delayed_dials.pending_count == 1)
            first.close()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            delayed_dials.release(harness.servers[0].address)
            second = await _send(harness, raw)
            assert (await second.read_response()).status == 200
            assert len(harness.received_requests) == 1

    run_async(work)
