"""The timers of requests to servers, with a clock that moves on between two readings."""

from __future__ import annotations

import asyncio

import pytest
from loopback import run_async

from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.http1.messages import Request
from tulipnotch.sidecar.upstream import write_gate
from tulipnotch.sidecar.upstream.request import BackgroundRequestObserver, UpstreamRequest

_DEADLINE = 1_000_000
_PASS_ON_AT = _DEADLINE - write_gate._PASS_ON_MARGIN_US


@pytest.mark.parametrize("early_us", [1, 60])
def test_timer_is_set_for_passing_on_the_response_when_it_has_fired_early(
    early_us: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a response that is failed at its deadline instead of passed on: timers fire up to half a
    # millisecond early, and the time to pass it on could come between two readings of the clock.
    async def work() -> None:
        readings = [_PASS_ON_AT - early_us, *range(_PASS_ON_AT + 10, _PASS_ON_AT + 20)]
        monkeypatch.setattr(Clock, "now", lambda _clock: readings.pop(0))
        gate = write_gate.WriteGate(Clock())
        message = Request(b"GET", b"/", [])
        request = UpstreamRequest("s", _DEADLINE, lambda _: message, BackgroundRequestObserver())
        gate._timer_fired(request)
        assert request.timer is not None
        assert request.timer.when() - asyncio.get_running_loop().time() <= 0.005
        request.timer.cancel()

    run_async(work)
