"""Slow start: the load of endpoints that are warming up."""

from __future__ import annotations

import pytest
from helpers import MS, BalancerDriver, S, endpoint_names

from tulipnotch.load_balancing.events import EndpointDescription, EndpointUpdateKind, ProcessCountChanged


@pytest.mark.parametrize(("interval_us", "burst"), [(10 * MS, 1), (200 * MS, 20), (500 * MS, 1)])
def test_slow_start_limits_load_of_endpoint_that_is_warming_up(interval_us: int, burst: int) -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(6))
    driver.run_traffic(300, arrival_interval_us=10 * MS)
    warm_per_s = 100 / 6
    started_at = driver.now
    warming_up = EndpointDescription("10.0.0.6:80", zone="east", started_at=started_at)
    driver.update_endpoints([warming_up], EndpointUpdateKind.DELTA)
    while driver.now < started_at + 10 * S:
        requests = [driver.receive_request() for _ in range(burst)]
        driver.advance(interval_us)
        for each in requests:
            if driver.started_attempts(each):
                driver.end_attempt(each)
    times = [
        sent_at
        for sent_at, each in driver.started_attempts()
        if each.endpoint == "10.0.0.6:80" and sent_at >= started_at
    ]
    for end in times:
        factor = 0.2 + 0.8 * max(end - 2 * S - started_at, 0) / (10 * S)
        count_in_window = sum(1 for sent_at in times if end - 2 * S < sent_at <= end)
        assert count_in_window <= max(1.0, 3 * factor * warm_per_s * 2)
    assert times or burst == 1  # without bursts the fastest known server may get all requests


def test_slow_start_does_not_limit_warm_endpoints() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(2))
    for _ in range(50):
        driver.receive_request()
    assert len({each.endpoint for _, each in driver.started_attempts()}) == 2


def test_slow_start_spreads_first_requests_of_small_balancers() -> None:
    first_after_us: list[int] = []
    for seed in range(120):
        driver = BalancerDriver(seed=seed)
        driver.update_endpoints(endpoint_names(2))
        driver.run_traffic(20, arrival_interval_us=200 * MS)
        started_at = driver.now
        warming_up = [
            EndpointDescription(name, zone="east", started_at=started_at) for name in endpoint_names(2)[:1]
        ]
        driver.update_endpoints(warming_up, EndpointUpdateKind.DELTA)
        while driver.now < started_at + 4 * S and not first_after_us[seed:]:
            driver.run_traffic(1, arrival_interval_us=200 * MS)
            first_after_us += [
                sent_at - started_at
                for sent_at, each in driver.started_attempts()[-1:]
                if each.endpoint == warming_up[0].name
            ]
        first_after_us += [] if first_after_us[seed:] else [4 * S]
    early = sum(1 for each in first_after_us if each < 1 * S)
    assert 3 < early < 80  # some start within the first second, but by far not all


def test_warm_capacity_decays_slowly_while_nothing_is_served() -> None:
    # Guards against a feedback loop: fewer requests served, so smaller budgets for endpoints that are warming
    # up, so more rejections.
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    driver.run_traffic(200)
    per_us = driver.balancer._components.warm_capacity.per_us()
    assert per_us > 0.0
    driver.advance(5 * S)  # half of the warm-up time, in which nothing is served
    driver.receive_request()
    assert per_us / 4 < driver.balancer._components.warm_capacity.per_us() < per_us / 2
    driver.advance(60 * S)
    driver.receive_request()
    assert driver.balancer._components.warm_capacity.per_us() < per_us / 1_000


def _requests_to_warming_endpoint(process: ProcessCountChanged | None, seed: int = 7) -> int:
    """Returns how many requests a process sends to an endpoint that warms up, under constant demand."""
    driver = BalancerDriver(seed=seed)
    warm, warming_up = endpoint_names(2)
    driver.update_endpoints([warm])
    driver.run_traffic(400, arrival_interval_us=5 * MS)
    started = EndpointDescription(warming_up, zone="east", started_at=driver.now)
    driver.update_endpoints([started], EndpointUpdateKind.DELTA)
    if process is not None:
        driver.handle(process)
    driver.run_traffic(800, arrival_interval_us=5 * MS)
    return sum(each.endpoint == warming_up for _, each in driver.started_attempts())


def test_two_processes_of_an_instance_send_an_endpoint_that_warms_up_as_much_as_one() -> None:
    # Guards against a budget for each process of an upgrade, though both count as one sidecar.
    alone = _requests_to_warming_endpoint(None)
    previous = _requests_to_warming_endpoint(ProcessCountChanged(2, is_new=False))
    new = _requests_to_warming_endpoint(ProcessCountChanged(2, is_new=True), seed=8)
    assert alone > 100
    assert previous + new <= 1.1 * alone


def test_new_process_of_an_instance_begins_without_tokens() -> None:
    # Guards against initial tokens that the previous process has used already.
    driver = BalancerDriver()
    warming_up = EndpointDescription("10.0.0.1:80", zone="east", started_at=driver.now)
    driver.update_endpoints([warming_up], EndpointUpdateKind.CACHED)
    endpoint = driver.balancer._components.context.endpoints["10.0.0.1:80"]
    assert endpoint.warm_up is not None
    assert endpoint.warm_up.budget.holds(0.01)
    driver.handle(ProcessCountChanged(2, is_new=False))
    assert endpoint.warm_up.budget.holds(0.01)
    driver.handle(ProcessCountChanged(2, is_new=True))
    assert not endpoint.warm_up.budget.holds(0.01)
