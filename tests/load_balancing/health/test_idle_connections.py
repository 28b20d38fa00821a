"""Idle connections: when they are closed, and when they are blamed."""

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
    driver.drain_endpoint("10.0.0.1:80")  # heard before: nothing was used since
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


def test_idle_connections_stay_open_without_a_rule() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(2))
    driver.drain_endpoint("10.0.0.1:80")
    assert driver.actions_of_type(CloseIdleConnections) == []


def _with_stale_connections(driver: BalancerDriver, count: int) -> list[int]:
    """Connections unused for a second are dead: what is sent on one is lost; gives what was."""
    driver.update_endpoints(endpoint_names(12))
    last_used: dict[str, int] = {}
    lost_requests: list[int] = []
    for _ in range(count):
        driver.advance(350 * MS)
        seen = len(driver.timed_actions)
        request = driver.receive_request("pay")
        for close in [
            each for _, each in driver.timed_actions[seen:] if isinstance(each, CloseIdleConnections)
        ]:
            last_used.pop(close.endpoint, None)
        for old in lost_requests:  # given up at its deadline, and so called off
            if driver.balancer._requests.get(old) is not None and driver.balancer._requests[old].is_responded:
                driver.end_attempt(old, Outcome.CANCELLED, is_responded=True)
        if not driver.started_attempts(request):
            continue
        target = driver.last_endpoint(request)
        if driver.now - last_used.get(target, driver.now) > S:
            lost_requests.append(request)
            last_used.pop(target)
            continue
        driver.advance(50 * MS)
        driver.end_attempt(request, attempt=0)
        last_used[target] = driver.now
    return lost_requests


def test_idle_connections_that_are_stale_are_closed_and_eject_no_endpoint() -> None:
    lost_requests = closed = 0
    for seed in range(4):
        driver = BalancerDriver(seed=seed)
        lost_requests += len(_with_stale_connections(driver, 300))
        closed += len(driver.actions_of_type(CloseIdleConnections))
        assert not any("ejected" in each.text for each in driver.actions_of_type(LogEvent))
    assert lost_requests < 20
    assert closed > 20


def test_idle_connections_that_work_stay_open() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(12))
    driver.run_sequential_traffic(200)
    assert driver.actions_of_type(CloseIdleConnections) == []
