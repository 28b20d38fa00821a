"""Outlier detection: which endpoints are ejected, and how they are readmitted."""

from __future__ import annotations

from helpers import MS, BalancerDriver, S, endpoint_names

from tulipnotch.load_balancing.actions import LogEvent
from tulipnotch.load_balancing.events import EndpointDescription, EndpointUpdateKind
from tulipnotch.load_balancing.outcomes import Outcome


def _run_with_one_unresponsive(driver: BalancerDriver, rounds: int) -> tuple[str, list[int]]:
    """Sends requests to healthy servers, except that one of them stops responding at some point."""
    driver.update_endpoints(endpoint_names(6))
    driver.run_traffic(120)
    first = driver.receive_request()
    unresponsive = driver.last_endpoint(first)
    pending = [first]
    for _ in range(rounds):
        driver.advance(10 * MS)
        request = driver.receive_request()
        if driver.last_endpoint(request) == unresponsive:
            pending.append(request)
        else:
            driver.advance(30 * MS)
            driver.end_attempt(request)
    return unresponsive, pending


def test_outlier_detection_ejects_unresponsive_endpoint_and_its_requests_are_hedged() -> None:
    driver = BalancerDriver()
    unresponsive, pending = _run_with_one_unresponsive(driver, 20)
    assert any(each.text.startswith(f"ejected {unresponsive}") for each in driver.actions_of_type(LogEvent))
    attempts = [each.endpoint for _, each in driver.started_attempts(pending[0])]
    assert len(attempts) > 1
    assert unresponsive not in attempts[1:]


def test_outlier_detection_readmits_by_one_probation_attempt() -> None:
    driver = BalancerDriver()
    unresponsive, pending = _run_with_one_unresponsive(driver, 20)
    earlier_count = len([1 for _, each in driver.started_attempts() if each.endpoint == unresponsive])
    for request in pending:
        driver.end_attempt(request, Outcome.TIMED_OUT, attempt=0, is_responded=False)
    for _ in range(60):
        driver.advance(60 * MS)
        request = driver.receive_request()
        if driver.last_endpoint(request) != unresponsive:
            driver.end_attempt(request)
    probation_count = (
        len([1 for _, each in driver.started_attempts() if each.endpoint == unresponsive]) - earlier_count
    )
    assert probation_count == 1
    probation_request = next(
        each.request for _, each in reversed(driver.started_attempts()) if each.endpoint == unresponsive
    )
    driver.end_attempt(probation_request, attempt=0)
    assert driver.actions_of_type(LogEvent)[-1].text == f"readmitted {unresponsive}"


def test_outlier_detection_ejects_few_when_all_are_unresponsive() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(6))
    driver.run_traffic(120)
    for _ in range(200):
        driver.receive_request("pay")
        driver.advance(15 * MS)
    ejected = [each for each in driver.balancer._context.endpoints.values() if each.ejection is not None]
    assert len(ejected) <= 2


def test_outlier_detection_sends_few_requests_to_endpoint_with_fast_errors() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(6))
    failing = endpoint_names(6)[2]
    for _ in range(300):
        driver.advance(10 * MS)
        request = driver.receive_request("pay")
        if driver.last_endpoint(request) == failing:
            driver.end_attempt(request, Outcome.SERVER_ERROR)
        else:
            driver.advance(40 * MS)
            driver.end_attempt(request)
    assert sum(1 for _, each in driver.started_attempts() if each.endpoint == failing) < 300 / 6


def test_outlier_detection_ignores_timeout_of_endpoint_that_responds_to_others() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(1))
    for _ in range(6):
        driver.run_traffic(60)
        timed_out = driver.receive_request("pay", remaining_us=S)
        driver.advance(900 * MS)
        later = driver.receive_request("pay")
        driver.advance(50 * MS)
        driver.end_attempt(later)
        driver.advance(30 * MS)
        driver.end_attempt(timed_out, Outcome.TIMED_OUT, is_responded=False)
    assert not any("ejected" in each.text for each in driver.actions_of_type(LogEvent))


def test_outlier_detection_readmits_restarted_endpoint_which_warms_up() -> None:
    driver = BalancerDriver()
    unresponsive, _ = _run_with_one_unresponsive(driver, 20)
    driver.update_endpoints(
        [EndpointDescription(unresponsive, "east", started_at=driver.now)], EndpointUpdateKind.DELTA
    )
    endpoint = driver.balancer._context.endpoints[unresponsive]
    assert endpoint.ejection is None
    assert driver.balancer._components.slow_start.is_warming_up(endpoint)
