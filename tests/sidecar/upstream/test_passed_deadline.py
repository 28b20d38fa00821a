"""The timeout that a request announces to its server, if its last byte is written long after its head."""

from __future__ import annotations

import pytest
from barriers import ManualClock, NarrowServer, narrow_connections, server_line, tell
from loopback import OK, play, request, stage, until

_BODY = b"x" * 60_000 + b"the end"
_TIMEOUT_S = 3.0
_SLACK_S = 0.15  # how much more than the remaining time a head may announce


@pytest.mark.parametrize("late_s", [0.05, 0.5])
def test_passed_deadline_is_at_most_what_remains_when_a_server_reads_late(
    late_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The head announced the time that was left when it was written; the rest is written once the kernel has
    # buffer space.
    narrow_connections(monkeypatch)

    async def work() -> None:
        clock = ManualClock(monkeypatch)
        slow = NarrowServer()
        async with stage(OK, listed=False) as scene:
            await tell(scene, server_line(0, slow.address))
            client = await scene.client()
            client.send(request("lodge", timeout=f"{_TIMEOUT_S}", body=_BODY))
            await slow.accept()
            await until(lambda: len(scene.sidecar._registry) == 1)
            (held,) = scene.sidecar._registry
            await until(lambda: held.upstream_requests[0].connection is not None)
            assert held.upstream_requests[0].is_unwritten
            await tell(scene, server_line(1, scene.servers[0].address))
            clock.advance(int(late_s * 1e6))
            got = await slow.read_to(_BODY)
            assert got.endswith(_BODY) == (late_s <= _SLACK_S)
            if late_s <= _SLACK_S:
                await slow.send(OK)
            assert (await client.answer()).status == 200
            for heard in scene.heard:
                assert float(heard.headers["request-timeout"]) <= _TIMEOUT_S - late_s + _SLACK_S
        slow.close()

    play(work)
