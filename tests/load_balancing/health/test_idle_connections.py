"""Idle connections: when they are closed, and when they are the cause of missing responses."""

from __future__ import annotations

import pytest
from helpers import MS, BalancerDriver, S, endpoint_names, make_settings

from tulipnotch.load_balancing.actions import CloseIdleConnections, LogEvent
from tulipnotch.load_balancing.events import EndpointDescription, EndpointState, EndpointUpdateKind
from tulipnotch.load_balancing.outcomes import Outcome


def test_idle_connections_close_when_endpoint_drains_and_when_its_attempts_end() -> None:
    driver = BalancerDriver(make_settings(rules={"close_idle_within_us": 500 * MS}))
    driver.update_endpoints(endpoint_names(1))
    request = driver.receive_request("pay")
    driver.drain_endpoint("10.0.0.1:80")
    assert driver.actions_of_type(CloseIdleConnections) == [CloseIdleConnections("10.0.0.1:80")]
    driver.drain_endpoint("10.0.0.1:80")  # the same state again: no connection was used since
    assert len(driver.actions_of_type(CloseIdleConnections)) == 1
    driver.drain_endpoint("10.0.0.1:80", EndpointState.REMOVED)
    assert len(driver.actions_of_type(CloseIdleConnections)) == 2
    driver.advance(S)
    driver.end_attempt(request)
    assert len(driver.actions_of_type(CloseIdleConnections)) == 3


@pytest.mark.parametrize("kind", [EndpointUpdateKind.COMPLETE, EndpointUpdateKind.CACHED])
def test_idle_connections_close_for_complete_list_only_while_endpoint_drains(
    kind: EndpointUpdateKind,
) -> None:
    driver = BalancerDriver(make_settings(rules={"close_idle_within_us": 500 * MS}))
    driver.update_endpoints(endpoint_names(2))
    driver.update_endpoints(
        [endpoint_names(2)[1], EndpointDescription("10.0.0.1:80", "east", state=EndpointState.DRAINING)], kind
    )
    assert driver.actions_of_type(CloseIdleConnections) == [CloseIdleConnections("10.0.0.1:80")]
    driver.update_endpoints(endpoint_names(2), kind)
    for _ in range(10):
        driver.end_attempt(driver.receive_request())
    assert len(driver.actions_of_type(CloseIdleConnections)) == 1


def test_idle_connections_stay_open_when_no_rule_closes_them() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(2))
    driver.drain_endpoint("10.0.0.1:80")
    assert driver.actions_of_type(CloseIdleConnections) == []


def _run_with_stale_connections(driver: BalancerDriver, count: int) -> list[int]:
    """Models connections that are dead after a second without use; returns the requests lost on them."""
    driver.update_endpoints(endpoint_names(12))
    last_used: dict[str, int] = {}
    lost_requests: list[int] = []
    for _ in range(count):
        driver.advance(350 * MS)
        action_count = len(driver.timed_actions)
        request = driver.receive_request("pay")
        for close in [
            each for _, each in driver.timed_actions[action_count:] if isinstance(each, CloseIdleConnections)
        ]:
            last_used.pop(close.endpoint, None)
        for lost in lost_requests:  # the balancer cancels the attempt at the request's deadline
            if (
                driver.balancer._requests.get(lost) is not None
                and driver.balancer._requests[lost].is_responded
            ):
                driver.end_attempt(lost, Outcome.CANCELLED, is_responded=True)
        if not driver.started_attempts(request):
            continue
        endpoint = driver.last_endpoint(request)
        if driver.now - last_used.get(endpoint, driver.now) > S:
            lost_requests.append(request)
            last_used.pop(endpoint)
            continue
        driver.advance(50 * MS)
        driver.end_attempt(request, attempt=0)
        last_used[endpoint] = driver.now
    return lost_requests


def test_idle_connections_that_are_stale_are_closed_and_eject_no_endpoint() -> None:
    lost_count = close_count = 0
    for seed in range(4):
        driver = BalancerDriver(seed=seed)
        lost_count += len(_run_with_stale_connections(driver, 300))
        close_count += len(driver.actions_of_type(CloseIdleConnections))
        assert not any("ejected" in each.text for each in driver.actions_of_type(LogEvent))
    assert lost_count < 20
    assert close_count > 20


def test_idle_connections_that_work_stay_open() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(12))
    driver.run_sequential_traffic(200)
    assert driver.actions_of_type(CloseIdleConnections) == []
