"""Attempt timeouts that are not whole microseconds."""

from __future__ import annotations

from helpers import IDEMPOTENT_CLASS, BalancerDriver, endpoint_names, make_settings


def test_attempt_timeouts_terminate_when_due_between_two_microseconds() -> None:
    # Guards against an endless loop within one event: a timer entry that is due at once schedules itself
    # again.
    settings = make_settings(classes=[{**IDEMPOTENT_CLASS, "latency_objective_us": 500_001}])
    driver = BalancerDriver(settings)
    driver.update_endpoints(endpoint_names(1))
    for _ in range(300):  # until half of the latency objective exceeds every other overdue time
        request = driver.receive_request()
        driver.advance(1_000)
        driver.end_attempt(request)
    driver.receive_request()
    schedule_limit = iter(range(10_000))
    schedule = driver.balancer._components.timers.schedule

    def schedule_and_count(due_at: int, request: int, attempt: int) -> None:
        assert next(schedule_limit, None) is not None, "endless loop: expected at most 10,000 schedule calls"
        schedule(due_at, request, attempt)

    driver.balancer._components.timers.schedule = schedule_and_count  # type: ignore[method-assign]
    driver.advance(2_000_000)
