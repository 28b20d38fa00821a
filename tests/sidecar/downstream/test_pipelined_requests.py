"""Clients that send many requests at once: each of them gets a response, in order."""

from __future__ import annotations

import asyncio
from functools import partial
from pathlib import Path

import pytest
from loopback import (
    OK_RESPONSE,
    ReceivedRequest,
    blocking_script,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
)
from running import read_metric, sidecar_with_server

_REQUESTS = 24
_PIPELINES = 3


@pytest.mark.parametrize("body_bytes", [0, 8 << 10, 60_000])
def test_all_requests_are_responded_to_when_much_is_unread_behind_them(
    body_bytes: int, tmp_path: Path
) -> None:
    # Guards against closing the connection over requests that were sent behind a rejected one (review/7).
    async def work() -> None:
        received_ids: list[str] = []
        released = asyncio.Event()

        async def respond(received: ReceivedRequest) -> bytes:
            received_ids.append(received.headers["request-id"])
            await released.wait()
            return OK_RESPONSE

        async with sidecar_with_server(respond, tmp_path) as running:
            statuses: dict[str, int] = {}
            for pipeline in range(_PIPELINES):
                ids = [f"{pipeline}-{number}" for number in range(_REQUESTS)]
                released.clear()
                client = await running.connect()
                for request_id in ids:
                    client.send(
                        http_request("lodge", timeout="4.0", body=bytes(body_bytes), Request_Id=request_id)
                    )
                # The others wait in the system's buffers while the first one has no response.
                await wait_until(partial(received_ids.__contains__, ids[0]))
                released.set()
                for request_id in ids:
                    statuses[request_id] = (await client.read_response()).status
            assert set(statuses.values()) <= {200, 503}
            assert received_ids == [each for each, status in statuses.items() if status == 200]
            assert all(statuses[f"{pipeline}-0"] == 200 for pipeline in range(_PIPELINES))
            rejected = list(statuses.values()).count(503)
            assert await read_metric(running, "app.downstream_requests.lodge.rejected") == rejected
            assert (rejected == 0) == (body_bytes == 0)

    run_async(work)


@pytest.mark.parametrize("waited_s", [0.7, 2.0])
def test_time_of_a_pipelined_request_runs_while_it_waits(waited_s: float) -> None:
    # Guards against requests that get their whole time anew when the one before has its response (review/10).
    async def work() -> None:
        release, script = blocking_script()
        async with sidecar_harness(script) as harness:
            client = await harness.connect()
            client.send(b"".join(http_request("check", timeout="1.0") for _ in range(3)))
            await wait_until(lambda: len(harness.received_requests) == 1)
            (connection,) = harness.sidecar.downstream.connections()
            await wait_until(lambda: connection._pending_since is not None)
            assert connection._pending_since is not None
            connection._pending_since -= waited_s  # as if the server had taken so long
            release.set()
            statuses = [(await client.read_response()).status for _ in range(3)]
            assert (await client.send_request("check", timeout="1.0")).status == 200  # its time is its own
        if waited_s > 1.0:
            assert statuses == [200, 503, 503]
        else:
            assert statuses == [200, 200, 200]
            first, *pipelined, last = (
                float(each.headers["request-timeout"]) for each in harness.received_requests
            )
            assert max(pipelined) <= 1.0 - waited_s
            assert min(first, last) > 1.0 - waited_s

    run_async(work)
