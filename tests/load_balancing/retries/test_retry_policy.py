"""Retry policy: the retry budget."""

from __future__ import annotations

from helpers import MS, Stage, names

from tulipnotch.load_balancing.outcomes import Outcome


def test_retry_policy_bounds_retries_after_failures() -> None:
    stage = Stage()
    stage.servers(names(40))
    for _ in range(400):
        stage.wait(MS)
        request = stage.request()
        while stage.balancer._requests.get(request) is not None:
            stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends()) <= 400 * 1.25 + 10
