"""The time that a request tells its server, where its last byte leaves long after its head."""

from __future__ import annotations

import pytest
from barriers import ManualClock, SlowReadingServer, announce_endpoints, server_entry, shrink_send_buffers
from loopback import OK_RESPONSE, http_request, run_async, sidecar_harness, wait_until

_BODY = b"x" * 60_000 + b"the end"
_TIMEOUT_S = 3.0
_SLACK_S = 0.15  # the users' term


@pytest.mark.parametrize("late_s", [0.05, 0.5])
def test_passed_deadline_is_at_most_what_remains_when_a_server_reads_late(
    late_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The head has gone with the time that was left then; what the kernel holds back goes when there is room.
    shrink_send_buffers(monkeypatch)

    async def work() -> None:
        clock = ManualClock(monkeypatch)
        slow = SlowReadingServer()
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as harness:
            await announce_endpoints(harness, server_entry(0, slow.address))
            client = await harness.connect()
            client.send(http_request("lodge", timeout=f"{_TIMEOUT_S}", body=_BODY))
            await slow.accept()
            await wait_until(lambda: len(harness.sidecar._registry) == 1)
            (held,) = harness.sidecar._registry
            await wait_until(lambda: held.upstream_requests[0].connection is not None)
            assert held.upstream_requests[0].is_unwritten
            await announce_endpoints(harness, server_entry(1, harness.servers[0].address))
            clock.advance(int(late_s * 1e6))
            got = await slow.read_until(_BODY)
            assert got.endswith(_BODY) == (late_s <= _SLACK_S)
            if late_s <= _SLACK_S:
                await slow.send(OK_RESPONSE)
            assert (await client.read_response()).status == 200
            for heard in harness.received_requests:
                assert float(heard.headers["request-timeout"]) <= _TIMEOUT_S - late_s + _SLACK_S
        slow.close()

    run_async(work)
