"""The balancer under scripted events: one final response in time, and no duplicate effects."""

from __future__ import annotations

import pytest
from helpers import MS, START_US, BalancerDriver, S, endpoint_names, make_settings

from tulipnotch.load_balancing.actions import CancelAttempt, FailRequest, RejectRequest
from tulipnotch.load_balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointDescription,
    EndpointState,
    EndpointUpdateKind,
)
from tulipnotch.load_balancing.outcomes import Outcome


def test_balancer_fails_request_before_its_deadline() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(5))
    request = driver.receive_request("pay", remaining_us=900 * MS)
    driver.advance(899 * MS)
    assert [each.request for each in driver.actions_of_type(FailRequest)] == [request]


def test_balancer_does_nothing_after_final_response() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(5))
    request = driver.receive_request("look", remaining_us=300 * MS)
    driver.advance(300 * MS)
    rejection_count = len(driver.actions_of_type(RejectRequest))
    driver.end_attempt(request, Outcome.CANCELLED, is_responded=True)
    driver.advance(5 * S)
    assert rejection_count == 1
    assert len(driver.actions_of_type(RejectRequest)) == 1
    assert (
        len([1 for started_at, _ in driver.started_attempts(request) if started_at > START_US + 300 * MS])
        == 0
    )


def test_balancer_rejects_request_without_remaining_time() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(3))
    request = driver.receive_request("pay", remaining_us=0)
    assert driver.started_attempts(request) == []
    assert [each.request for each in driver.actions_of_type(RejectRequest)] == [request]


def test_balancer_fails_request_at_once_when_last_attempt_ends() -> None:
    # Guards against a failure response that is held back until near the deadline, when its client has no time
    # left for a retry.
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(1))
    request = driver.receive_request("pay", remaining_us=2 * S)
    driver.advance(20 * MS)
    actions = driver.end_attempt(request, Outcome.SERVER_ERROR)
    assert [each.request for each in actions if isinstance(each, FailRequest)] == [request]
    assert driver.now == START_US + 20 * MS


def test_balancer_rejects_request_without_endpoints() -> None:
    driver = BalancerDriver()
    request = driver.receive_request("pay")
    assert [each.request for each in driver.actions_of_type(RejectRequest)] == [request]


def test_balancer_rejects_request_when_no_attempts_are_permitted() -> None:
    driver = BalancerDriver(make_settings(limits={"max_attempts": 0}))
    driver.update_endpoints(endpoint_names(3))
    request = driver.receive_request("look")
    assert driver.started_attempts(request) == []
    assert [each.request for each in driver.actions_of_type(RejectRequest)] == [request]


def test_balancer_ignores_events_of_unknown_requests_and_attempts() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(3))
    request = driver.receive_request()
    driver.end_attempt(request)
    action_count = len(driver.timed_actions)
    driver.handle(ClientDisconnected(request))
    driver.handle(ClientDisconnected(99))
    driver.handle(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.DELIVERED, 1, is_responded=True))
    driver.handle(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.DELIVERED, 1, is_responded=True))
    assert len(driver.timed_actions) == action_count


def test_balancer_cancels_attempt_of_disconnected_client() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(3))
    request = driver.receive_request("pay")
    driver.handle(ClientDisconnected(request))
    driver.advance(3 * S)
    assert [each.request for each in driver.actions_of_type(CancelAttempt)] == [request]
    assert driver.actions_of_type(FailRequest) == []
    assert driver.actions_of_type(RejectRequest) == []


@pytest.mark.parametrize(
    "outcome", [Outcome.SERVER_ERROR, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT, Outcome.CANCELLED]
)
def test_balancer_fails_non_idempotent_request_that_may_have_run(outcome: Outcome) -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(5))
    request = driver.receive_request("pay")
    driver.advance(10 * MS)
    driver.end_attempt(request, outcome)
    assert len(driver.started_attempts(request)) == 1
    assert [each.request for each in driver.actions_of_type(FailRequest)] == [request]
    assert driver.actions_of_type(RejectRequest) == []


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_balancer_retries_non_idempotent_request_that_was_not_executed(outcome: Outcome) -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(5))
    request = driver.receive_request("pay")
    driver.advance(10 * MS)
    driver.end_attempt(request, outcome)
    targets = [each.endpoint for _, each in driver.started_attempts(request)]
    assert len(targets) == 2
    assert targets[0] != targets[1]


def _endpoints_in_two_cells() -> list[EndpointDescription]:
    return [
        EndpointDescription(name, zone="east", cell=index % 2) for index, name in enumerate(endpoint_names(8))
    ]


def test_balancer_retries_request_with_key_only_in_its_cell() -> None:
    for seed in range(20):
        driver = BalancerDriver(seed=seed)
        driver.update_endpoints(_endpoints_in_two_cells())
        cell_by_endpoint = {each.name: each.cell for each in _endpoints_in_two_cells()}
        request = driver.receive_request("amend")
        for _ in range(3):
            driver.advance(10 * MS)
            driver.end_attempt(request, Outcome.CONNECTION_LOST)
        targets = [each.endpoint for _, each in driver.started_attempts(request)]
        assert len(targets) > 1
        assert len({cell_by_endpoint[each] for each in targets}) == 1


def test_balancer_fails_request_with_key_after_its_deduplication_window() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(_endpoints_in_two_cells())
    request = driver.receive_request("amend", remaining_us=4 * S)
    driver.advance(2 * S)
    driver.end_attempt(request, Outcome.CONNECTION_LOST)
    assert len(driver.started_attempts(request)) == 1
    assert [each.request for each in driver.actions_of_type(FailRequest)] == [request]


def test_balancer_cancels_before_retry_when_hedging_is_not_permitted() -> None:
    driver = BalancerDriver(make_settings(limits={"hedged_requests": False}))
    driver.update_endpoints(endpoint_names(6))
    driver.run_traffic(100)
    request = driver.receive_request("look")
    unresponsive = driver.last_endpoint(request)
    for _ in range(60):
        driver.advance(10 * MS)
        other = driver.receive_request("look")
        if driver.last_endpoint(other) != unresponsive:
            driver.end_attempt(other)
    assert [each.request for each in driver.actions_of_type(CancelAttempt)][:1] == [request]
    assert len(driver.started_attempts(request)) == 1
    driver.end_attempt(request, Outcome.CANCELLED, is_responded=False)
    assert len(driver.started_attempts(request)) == 2


def test_start_attempt_rejects_draining_and_removed_endpoints() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(3))
    request = driver.balancer._requests[driver.receive_request()]
    endpoint = next(
        each
        for each in driver.balancer._context.endpoints.values()
        if each is not request.attempts[0].endpoint
    )
    driver.drain_endpoint(endpoint.name, EndpointState.DRAINING)
    assert not driver.balancer._start_attempt(request, endpoint)
    driver.update_endpoints([endpoint.name], EndpointUpdateKind.DELTA)
    assert driver.balancer._start_attempt(request, endpoint)
    driver.drain_endpoint(endpoint.name, EndpointState.REMOVED)
    other = driver.balancer._requests[driver.receive_request()]
    assert not driver.balancer._start_attempt(other, endpoint)


def test_start_attempt_rejects_hedged_request_unless_permitted() -> None:
    for is_permitted in (False, True):
        driver = BalancerDriver(make_settings(limits={"hedged_requests": is_permitted}))
        driver.update_endpoints(endpoint_names(3))
        request = driver.balancer._requests[driver.receive_request()]
        endpoint = next(
            each
            for each in driver.balancer._context.endpoints.values()
            if each is not request.attempts[0].endpoint
        )
        assert driver.balancer._start_attempt(request, endpoint) is is_permitted


def _driver_where_overloaded_proves_nothing() -> BalancerDriver:
    driver = BalancerDriver(make_settings(rules={"overloaded_may_have_run": True}))
    driver.update_endpoints(_endpoints_in_two_cells())
    return driver


def test_balancer_fails_non_idempotent_request_when_overloaded_proves_nothing() -> None:
    driver = _driver_where_overloaded_proves_nothing()
    request = driver.receive_request("pay")
    driver.end_attempt(request, Outcome.OVERLOADED)
    assert len(driver.started_attempts(request)) == 1
    assert [each.request for each in driver.actions_of_type(FailRequest)] == [request]
    assert driver.actions_of_type(RejectRequest) == []


def test_balancer_retries_request_with_key_within_cell_and_window_when_overloaded_proves_nothing() -> None:
    cell_by_endpoint = {each.name: each.cell for each in _endpoints_in_two_cells()}
    for seed in range(20):
        driver = BalancerDriver(make_settings(rules={"overloaded_may_have_run": True}), seed=seed)
        driver.update_endpoints(_endpoints_in_two_cells())
        request = driver.receive_request("amend", remaining_us=4 * S)
        driver.end_attempt(request, Outcome.OVERLOADED)
        assert len({cell_by_endpoint[each.endpoint] for _, each in driver.started_attempts(request)}) == 1
        assert len(driver.started_attempts(request)) == 2
        driver.advance(2 * S)
        driver.end_attempt(request, Outcome.OVERLOADED, is_responded=False)
        assert len(driver.started_attempts(request)) == 2
        assert driver.actions_of_type(RejectRequest) == []


def test_balancer_retries_idempotent_request_when_overloaded_proves_nothing() -> None:
    driver = _driver_where_overloaded_proves_nothing()
    request = driver.receive_request("look")
    driver.end_attempt(request, Outcome.OVERLOADED)
    assert len(driver.started_attempts(request)) == 2
