"""Admission control and the concurrency limit under load."""

from __future__ import annotations

import random

from helpers import MS, BalancerDriver, S, endpoint_names, make_settings

from tulipnotch.load_balancing.actions import CancelAttempt, RejectRequest
from tulipnotch.load_balancing.outcomes import Outcome


def _overload(driver: BalancerDriver, ticks: int) -> set[int]:
    """Sends far more requests than the servers can serve; they respond later the more are in flight.

    Returns the requests of the class with lower priority, which is half of them. The order of the two classes
    alternates.
    """
    driver.update_endpoints(endpoint_names(4))
    in_flight: list[int] = []
    low_priority: set[int] = set()
    for tick in range(ticks):
        driver.advance(10 * MS)
        for class_name in ("look", "pay") if tick % 4 < 2 else ("pay", "look"):
            request = driver.receive_request(class_name)
            if class_name == "look":
                low_priority.add(request)
            if driver.started_attempts(request):
                in_flight.append(request)
        if tick % 2 and in_flight:  # one response for four requests, to the oldest in flight
            request = in_flight.pop(0)
            if request in driver.balancer._requests and not driver.balancer._requests[request].is_responded:
                driver.end_attempt(request, attempt=0)
    return low_priority


def test_admission_control_rejects_low_priority_first_and_before_sending_in_a_surge() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    driver.run_traffic(200)
    low_priority = _overload(driver, 600)
    rejected = {each.request for each in driver.actions_of_type(RejectRequest)}
    assert len(rejected) > 300
    assert len(low_priority & rejected) > 0.53 * len(rejected)
    not_sent = [
        each.request
        for each in driver.actions_of_type(RejectRequest)
        if not driver.started_attempts(each.request)
    ]
    assert len(not_sent) > 0.5 * len(driver.actions_of_type(RejectRequest))


def test_admission_control_admits_everything_after_overload_ends() -> None:
    driver = BalancerDriver()
    driver.run_traffic(1)
    _overload(driver, 400)
    driver.advance(10 * S)
    for request in list(driver.balancer._requests.values()):
        for attempt in request.attempts:
            if attempt.is_pending:
                driver.end_attempt(request.request_id, Outcome.CANCELLED, attempt.index, is_responded=True)
    # Abandoned attempts, which took up to 14 s, count as in flight for up to that long.
    driver.advance(15 * S)
    driver.run_traffic(300)  # a small limit takes some latency objectives to grow
    rejected_count = len(driver.actions_of_type(RejectRequest))
    driver.run_traffic(300)
    assert len(driver.actions_of_type(RejectRequest)) == rejected_count


def test_admission_control_rejects_nothing_at_low_load() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    driver.run_traffic(800)
    assert driver.actions_of_type(RejectRequest) == []
    assert driver.actions_of_type(CancelAttempt) == []


def test_admission_control_of_small_balancer_rejects_some_requests_while_responses_are_late() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(8))
    for _ in range(120):  # rarely two in flight, so a limit of two would never reject any
        driver.advance(900 * MS)
        request = driver.receive_request()
        if driver.started_attempts(request):
            driver.advance(700 * MS)
            driver.end_attempt(request)
    rejected_count = len(driver.actions_of_type(RejectRequest))
    assert 20 <= rejected_count < 120
    driver.advance(10 * S)
    driver.run_sequential_traffic(60)
    rejected_count = len(driver.actions_of_type(RejectRequest))
    driver.run_sequential_traffic(60)
    assert len(driver.actions_of_type(RejectRequest)) == rejected_count


def test_admission_control_of_small_balancer_admits_two_concurrent_requests() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(8))
    driver.balancer._components.concurrency_limit.limit = 1.0
    driver.balancer._components.concurrency_limit._resized_at = driver.now
    for _ in range(10):
        pair = (driver.receive_request(), driver.receive_request())
        driver.advance(50 * MS)
        for request in pair:
            driver.end_attempt(request)
        driver.advance(900 * MS)
    assert not driver.actions_of_type(RejectRequest)


def _count_rejections_with_reports(cpu_utilization: float, seed: int) -> int:
    driver = BalancerDriver(seed=seed)
    driver.update_endpoints(endpoint_names(8))
    rejected_count = 0
    for _ in range(300):
        driver.advance(60 * MS)
        request = driver.receive_request()
        if driver.started_attempts(request):
            driver.advance(550 * MS)
            driver.end_attempt(request, attempt=0, report={"util": cpu_utilization})
        else:
            rejected_count += 1
    return rejected_count


def test_admission_control_admits_while_servers_report_idle_cores() -> None:
    seeds = range(7, 13)
    # The first requests of each run arrive before any report.
    assert sum(_count_rejections_with_reports(0.4, seed) for seed in seeds) < 5 * 6
    assert all(_count_rejections_with_reports(1.0, seed) > 30 for seed in seeds)


def test_admission_control_ignores_reports_of_idle_cores_at_high_load() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(8))
    in_flight: list[tuple[int, int]] = []
    for _ in range(600):
        driver.advance(10 * MS)
        request = driver.receive_request()
        if driver.started_attempts(request):
            in_flight.append((driver.now, request))
        # One response in eight is late.
        while in_flight and driver.now - in_flight[0][0] >= (550 if in_flight[0][1] % 8 == 0 else 300) * MS:
            driver.end_attempt(in_flight.pop(0)[1], attempt=0, report={"util": 0.5})
    assert len(driver.actions_of_type(RejectRequest)) > 50


def test_admission_control_rejects_when_responses_stop_despite_reports_of_idle_cores() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(8))
    for _ in range(20):
        driver.advance(50 * MS)
        request = driver.receive_request()
        driver.advance(50 * MS)
        driver.end_attempt(request, attempt=0, report={"util": 0.3})
    for _ in range(400):
        driver.advance(20 * MS)
        driver.receive_request("pay")  # none of these gets a response
    assert len(driver.actions_of_type(RejectRequest)) > 100


def test_admission_control_ignores_overloaded_responses_when_redraw_succeeds() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(12))
    for _ in range(200):
        driver.advance(400 * MS)
        request = driver.receive_request()
        driver.end_attempt(request, Outcome.OVERLOADED)
        driver.advance(50 * MS)
        driver.end_attempt(request)
    assert driver.actions_of_type(RejectRequest) == []


def test_admission_control_counts_overloaded_responses_when_redraw_fails() -> None:
    driver = BalancerDriver(make_settings(limits={"max_attempts": 3}))
    driver.update_endpoints(endpoint_names(12))
    not_sent = 0
    for _ in range(100):
        driver.advance(400 * MS)
        request = driver.receive_request()
        not_sent += not driver.started_attempts(request)
        while driver.balancer._requests.get(request) is not None:
            driver.advance(100 * MS)
            driver.end_attempt(request, Outcome.OVERLOADED)
    assert not_sent > 20


def test_admission_control_of_small_balancer_rejects_little_when_responses_are_fast_but_variable() -> None:
    rejected_count = 0
    for seed in range(4):
        generator = random.Random(seed)
        driver = BalancerDriver(seed=seed)
        driver.update_endpoints(endpoint_names(12))
        for _ in range(300):
            driver.advance(600 * MS)
            request = driver.receive_request()
            if driver.started_attempts(request):
                # Typically a tenth of the latency objective, one in forty above it.
                driver.advance(min(int(50 * MS * generator.lognormvariate(0.0, 1.2)), 900 * MS))
                driver.end_attempt(request, attempt=0)
        rejected_count += len(driver.actions_of_type(RejectRequest))
    assert rejected_count < 0.01 * 4 * 300
