"""The timeouts of connections to servers, derived from the settings."""

from __future__ import annotations

import pytest
from loopback import SERVICE_CLASSES

from tulipnotch.sidecar.upstream.timeouts import UpstreamTimeouts
from tulipnotch.simulator_wire.names import settings_from_wire


@pytest.mark.parametrize(
    ("objectives_ms", "deadlines_ms", "timeout_s"),
    [
        ((600, 1_200), (2_000, 4_000), 0.24),  # a fraction of the shortest latency objective
        ((200, 500), (400, 1_500), 0.1),  # the minimum, since a busy machine delays any response
        ((20, 500), (100, 60_000), 0.05),  # below the minimum, to leave time before the shortest deadline
    ],
)
def test_stall_timeout_is_derived_from_objectives_and_deadlines(
    objectives_ms: tuple[int, int], deadlines_ms: tuple[int, int], timeout_s: float
) -> None:
    classes = [
        {
            **SERVICE_CLASSES[0],
            "name": f"kind-{index}",
            "promiseUs": objective * 1_000,
            "giveUpUs": deadline * 1_000,
        }
        for index, (objective, deadline) in enumerate(zip(objectives_ms, deadlines_ms, strict=True))
    ]
    timeouts = UpstreamTimeouts.from_settings(settings_from_wire({"lanes": classes}))
    assert timeouts.response_stall_s == pytest.approx(timeout_s)
