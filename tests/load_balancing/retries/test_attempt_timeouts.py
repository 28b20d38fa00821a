"""Times that fall between two microseconds."""

from __future__ import annotations

from helpers import IDEMPOTENT_CLASS, BalancerDriver, endpoint_names, make_settings


def test_attempt_timeouts_end_between_two_microseconds() -> None:
    # Guards against an entry of the agenda that is due at once, again and again, within one event.
    given = make_settings(classes=[{**IDEMPOTENT_CLASS, "latency_objective_us": 500_001}])
    driver = BalancerDriver(given)
    driver.update_endpoints(endpoint_names(1))
    for _ in range(300):  # until half of the aim is longer than any patience
        request = driver.receive_request()
        driver.advance(1_000)
        driver.end_attempt(request)
    driver.receive_request()
    events = iter(range(10_000))
    schedule = driver.balancer._components.timers.schedule

    def counted(due: int, request: int, attempt: int) -> None:
        assert next(events, None) is not None, "the agenda goes round and round"
        schedule(due, request, attempt)

    driver.balancer._components.timers.schedule = counted  # type: ignore[method-assign]
    driver.advance(2_000_000)
