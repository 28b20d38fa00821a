"""Latency ratios."""

from __future__ import annotations

from helpers import MS, BalancerDriver, endpoint_names


def test_latency_ratio_moves_faster_with_few_responses() -> None:
    def change(every_us: int, taking_us: int, *, singly: bool) -> float:
        driver = BalancerDriver()
        driver.update_endpoints(endpoint_names(4))
        if singly:
            driver.run_sequential_traffic(400, taking_us, every_us)
        else:
            driver.run_traffic(400, every_us, taking_us)
        request = driver.receive_request()
        server = driver.balancer._context.endpoints[driver.last_endpoint(request)]
        driver.advance(2 * taking_us)
        before = server.latency_ratio
        driver.end_attempt(request)
        return server.latency_ratio - before

    assert change(400 * MS, 60 * MS, singly=True) > 2 * change(5 * MS, 60 * MS, singly=False) > 0.0
