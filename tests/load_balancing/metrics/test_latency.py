"""Latency ratios of endpoints."""

from __future__ import annotations

from helpers import MS, BalancerDriver, endpoint_names


def test_latency_ratio_changes_faster_at_low_load() -> None:
    def ratio_change(arrival_interval_us: int, response_time_us: int, *, is_sequential: bool) -> float:
        driver = BalancerDriver()
        driver.update_endpoints(endpoint_names(4))
        if is_sequential:
            driver.run_sequential_traffic(400, response_time_us, arrival_interval_us)
        else:
            driver.run_traffic(400, arrival_interval_us, response_time_us)
        request = driver.receive_request()
        endpoint = driver.balancer._context.endpoints[driver.last_endpoint(request)]
        driver.advance(2 * response_time_us)
        before = endpoint.latency_ratio
        driver.end_attempt(request)
        return endpoint.latency_ratio - before

    assert (
        ratio_change(400 * MS, 60 * MS, is_sequential=True)
        > 2 * ratio_change(5 * MS, 60 * MS, is_sequential=False)
        > 0.0
    )
