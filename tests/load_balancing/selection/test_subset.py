"""Subset: the endpoints that a balancer sends requests to."""

from __future__ import annotations

from helpers import MS, BalancerDriver, endpoint_names


def test_subset_of_small_balancer_is_small_and_is_replaced_when_drained() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(60))
    driver.run_sequential_traffic(200)
    first = {each.endpoint for _, each in driver.started_attempts()}
    assert 2 <= len(first) <= 8
    for endpoint in first:
        driver.drain_endpoint(endpoint)
    driver.run_sequential_traffic(50)
    later = {each.endpoint for _, each in driver.started_attempts()[200:]}
    assert later
    assert not later & first


def test_subset_of_busy_balancer_contains_all_endpoints() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(30))
    driver.run_traffic(2_000, arrival_interval_us=5 * MS, response_time_us=250 * MS)
    assert len({each.endpoint for _, each in driver.started_attempts()}) == 30


def test_subset_differs_between_small_balancers() -> None:
    selected: set[str] = set()
    for seed in range(12):
        driver = BalancerDriver(seed=seed)
        driver.update_endpoints(endpoint_names(60))
        driver.run_sequential_traffic(20)
        selected |= {each.endpoint for _, each in driver.started_attempts()}
    assert len(selected) > 25
