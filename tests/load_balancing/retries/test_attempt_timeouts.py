"""Attempt timeouts that are not whole microseconds."""

from __future__ import annotations

from helpers import SAFE, Stage, names, settings


def test_attempt_timeouts_terminate_when_due_between_two_microseconds() -> None:
    # Guards against an endless loop within one event: a timer entry that is due at once schedules itself
    # again.
    given = settings(classes=[{**SAFE, "latency_objective_us": 500_001}])
    stage = Stage(given)
    stage.servers(names(1))
    for _ in range(300):  # until half of the aim is longer than any patience
        request = stage.request()
        stage.wait(1_000)
        stage.end(request)
    stage.request()
    events = iter(range(10_000))
    schedule = stage.balancer._components.timers.schedule

    def counted(due: int, request: int, attempt: int) -> None:
        assert next(events, None) is not None, "the agenda goes round and round"
        schedule(due, request, attempt)

    stage.balancer._components.timers.schedule = counted  # type: ignore[method-assign]
    stage.wait(2_000_000)
