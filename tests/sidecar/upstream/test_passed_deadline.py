"""The timeout that a request announces to its server, if its last byte is written long after its head."""

from __future__ import annotations

import pytest
from barriers import ManualClock, SlowReadingServer, announce_endpoints, server_entry, shrink_send_buffers
from loopback import OK_RESPONSE, http_request, run_async, sidecar_harness, wait_until

_BODY = b"x" * 60_000 + b"the end"
_TIMEOUT_S = 3.0
_ANNOUNCED_SLACK_S = 0.15  # users require that a head announces at most this much more time than is left


@pytest.mark.parametrize("delay_s", [0.05, 0.5])
def test_announced_timeout_is_at_most_remaining_time_when_server_reads_late(
    delay_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The head announced the time that was left when it was written; the rest is written once the kernel has
    # buffer space.
    shrink_send_buffers(monkeypatch)

    async def work() -> None:
        clock = ManualClock(monkeypatch)
        slow_server = SlowReadingServer()
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as harness:
            await announce_endpoints(harness, server_entry(0, slow_server.address))
            client = await harness.connect()
            client.send(http_request("lodge", timeout=f"{_TIMEOUT_S}", body=_BODY))
            await slow_server.accept()
            await wait_until(lambda: len(harness.sidecar._registry) == 1)
            (open_request,) = harness.sidecar._registry
            await wait_until(lambda: open_request.upstream_requests[0].connection is not None)
            assert open_request.upstream_requests[0].is_unwritten
            await announce_endpoints(harness, server_entry(1, harness.servers[0].address))
            clock.advance(int(delay_s * 1e6))
            received = await slow_server.read_until(_BODY)
            assert received.endswith(_BODY) == (delay_s <= _ANNOUNCED_SLACK_S)
            if delay_s <= _ANNOUNCED_SLACK_S:
                await slow_server.send(OK_RESPONSE)
            assert (await client.read_response()).status == 200
            for received_request in harness.received_requests:
                assert (
                    float(received_request.headers["request-timeout"])
                    <= _TIMEOUT_S - delay_s + _ANNOUNCED_SLACK_S
                )
        slow_server.close()

    run_async(work)
