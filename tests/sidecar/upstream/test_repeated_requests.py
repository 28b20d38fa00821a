"""Requests that a client sends again with the same id."""

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

_REJECTION_STATUSES = (429, 503)


async def _send_from_new_client(harness: SidecarHarness, request_data: bytes) -> Client:
    client = await harness.connect()
    client.send(request_data)
    return client


def test_request_is_not_sent_when_its_id_is_in_use() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def respond_when_released(incoming: ReceivedRequest) -> bytes:
            await release.wait()
            return OK_RESPONSE

        async with sidecar_harness(respond_when_released, respond_when_released) as harness:
            request_data = http_request("lodge", timeout="4.0")
            first_client = await _send_from_new_client(harness, request_data)
            await wait_until(lambda: len(harness.received_requests) == 1)
            second_client = await _send_from_new_client(harness, request_data)
            response = await second_client.read_response()
            assert response.status == 409
            release.set()
            assert (await first_client.read_response()).status == 200
            assert len(harness.received_requests) == 1

    run_async(work)


@pytest.mark.parametrize("may_cancel", [True, False], ids=["may cancel", ""])
@pytest.mark.parametrize("first_attempt_state", ["in flight", "ended", "reset"])
def test_non_idempotent_request_is_not_sent_again_when_its_client_disconnected(
    first_attempt_state: str, may_cancel: bool
) -> None:
    # The client's connection was closed, and the client assumes that its request was not read.
    async def work() -> None:
        release = asyncio.Event()

        async def respond_when_released(incoming: ReceivedRequest) -> bytes | None:
            await release.wait()
            if first_attempt_state == "reset":
                reset_connection(incoming)
                return None
            return OK_RESPONSE

        async with sidecar_harness(
            respond_when_released, respond_when_released, limit_overrides={"mayCancel": may_cancel}
        ) as harness:
            request_data = http_request("lodge", timeout="4.0")
            first_client = await _send_from_new_client(harness, request_data)
            await wait_until(lambda: len(harness.received_requests) == 1)
            first_client.close()
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            if first_attempt_state != "in flight":
                release.set()
                await wait_until(lambda: harness.sidecar.open_requests == 0)
            second_client = await _send_from_new_client(harness, request_data)
            release.set()
            response = await second_client.read_response()
            assert response.status not in (200, *_REJECTION_STATUSES)
            assert len(harness.received_requests) == 1

    run_async(work)


def test_non_idempotent_request_is_sent_again_when_no_server_received_its_last_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed_connects = DelayedConnects(monkeypatch)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, limit_overrides={"mayCancel": False}) as harness:
            delayed_connects.hold(harness.servers[0].address)
            request_data = http_request("lodge", timeout="4.0")
            first_client = await _send_from_new_client(harness, request_data)
            await wait_until(lambda: delayed_connects.pending_count == 1)
            first_client.close()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            delayed_connects.release(harness.servers[0].address)
            second_client = await _send_from_new_client(harness, request_data)
            assert (await second_client.read_response()).status == 200
            assert len(harness.received_requests) == 1

    run_async(work)
