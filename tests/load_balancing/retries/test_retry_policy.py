"""Retry policy: the retry budget."""

from __future__ import annotations

from helpers import MS, BalancerDriver, endpoint_names

from tulipnotch.load_balancing.outcomes import Outcome


def test_retry_policy_bounds_retries_after_failures() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(40))
    for _ in range(400):
        driver.advance(MS)
        request = driver.receive_request()
        while driver.balancer._requests.get(request) is not None:
            driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(driver.started_attempts()) <= 400 * 1.25 + 10
