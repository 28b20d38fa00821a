"""Admission control and the concurrency limit under load."""

from __future__ import annotations

import random

from helpers import MS, BalancerDriver, S, endpoint_names, make_settings

from tulipnotch.load_balancing.actions import CancelAttempt, RejectRequest
from tulipnotch.load_balancing.outcomes import Outcome


def _overload(driver: BalancerDriver, spans: int) -> set[int]:
    """Servers that answer ever later as more is in flight, asked for far more than they can do.

    Gives the requests of the less worthy class, half of all; neither class is always the first to ask.
    """
    driver.update_endpoints(endpoint_names(4))
    in_flight: list[int] = []
    low_priority: set[int] = set()
    for tick in range(spans):
        driver.advance(10 * MS)
        for name in ("look", "pay") if tick % 4 < 2 else ("pay", "look"):
            request = driver.receive_request(name)
            if name == "look":
                low_priority.add(request)
            if driver.started_attempts(request):
                in_flight.append(request)
        if tick % 2 and in_flight:  # one answer for four requests, oldest first
            request = in_flight.pop(0)
            if request in driver.balancer._requests and not driver.balancer._requests[request].is_responded:
                driver.end_attempt(request, attempt=0)
    return low_priority


def test_admission_control_rejects_surge_before_sending_and_low_priority_first() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    driver.run_traffic(200)
    low_priority = _overload(driver, 600)
    rejected = {each.request for each in driver.actions_of_type(RejectRequest)}
    assert len(rejected) > 300
    assert len(low_priority & rejected) > 0.53 * len(rejected)
    unsent = [
        each.request
        for each in driver.actions_of_type(RejectRequest)
        if not driver.started_attempts(each.request)
    ]
    assert len(unsent) > 0.5 * len(driver.actions_of_type(RejectRequest))


def test_admission_control_admits_all_after_overload_ends() -> None:
    driver = BalancerDriver()
    driver.run_traffic(1)
    _overload(driver, 400)
    driver.advance(10 * S)
    for request in list(driver.balancer._requests.values()):
        for attempt in request.attempts:
            if attempt.is_pending:
                driver.end_attempt(request.request_id, Outcome.CANCELLED, attempt.index, is_responded=True)
    driver.advance(15 * S)  # what was given up on, up to 14 s old, counts for as long again
    driver.run_traffic(300)  # a small window takes some aims to grow
    rejected_count = len(driver.actions_of_type(RejectRequest))
    driver.run_traffic(300)
    assert len(driver.actions_of_type(RejectRequest)) == rejected_count


def test_admission_control_rejects_nothing_at_low_load() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    driver.run_traffic(800)
    assert driver.actions_of_type(RejectRequest) == []
    assert driver.actions_of_type(CancelAttempt) == []


def test_admission_control_of_small_balancer_rejects_a_part_while_responses_are_late() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(8))
    for _ in range(120):  # hardly ever two in flight, so a window of two would never refuse
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


def test_admission_control_of_small_balancer_admits_two_at_once() -> None:
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


def _rejections_with_reports(cores: float, seed: int) -> int:
    driver = BalancerDriver(seed=seed)
    driver.update_endpoints(endpoint_names(8))
    rejected_count = 0
    for _ in range(300):
        driver.advance(60 * MS)
        request = driver.receive_request()
        if driver.started_attempts(request):
            driver.advance(550 * MS)
            driver.end_attempt(request, attempt=0, report={"util": cores})
        else:
            rejected_count += 1
    return rejected_count


def test_admission_control_admits_while_servers_report_idle_cores() -> None:
    seeds = range(7, 13)
    assert (
        sum(_rejections_with_reports(0.4, seed) for seed in seeds) < 5 * 6
    )  # the first come with no report yet
    assert all(_rejections_with_reports(1.0, seed) > 30 for seed in seeds)


def test_admission_control_ignores_reports_of_idle_cores_at_high_load() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(8))
    in_flight: list[tuple[int, int]] = []
    for _ in range(600):
        driver.advance(10 * MS)
        request = driver.receive_request()
        if driver.started_attempts(request):
            in_flight.append((driver.now, request))
        while (
            in_flight and driver.now - in_flight[0][0] >= (550 if in_flight[0][1] % 8 == 0 else 300) * MS
        ):  # one in eight late
            driver.end_attempt(in_flight.pop(0)[1], attempt=0, report={"util": 0.5})
    assert len(driver.actions_of_type(RejectRequest)) > 50


def test_admission_control_rejects_without_responses_whatever_the_last_report() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(8))
    for _ in range(20):
        driver.advance(50 * MS)
        request = driver.receive_request()
        driver.advance(50 * MS)
        driver.end_attempt(request, attempt=0, report={"util": 0.3})
    for _ in range(400):
        driver.advance(20 * MS)
        driver.receive_request("pay")  # none of these is ever answered
    assert len(driver.actions_of_type(RejectRequest)) > 100


def test_admission_control_ignores_overloaded_responses_with_successful_redraw() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(12))
    for _ in range(200):
        driver.advance(400 * MS)
        request = driver.receive_request()
        driver.end_attempt(request, Outcome.OVERLOADED)
        driver.advance(50 * MS)
        driver.end_attempt(request)
    assert driver.actions_of_type(RejectRequest) == []


def test_admission_control_counts_overloaded_responses_without_successful_redraw() -> None:
    driver = BalancerDriver(make_settings(limits={"max_attempts": 3}))
    driver.update_endpoints(endpoint_names(12))
    unsent = 0
    for _ in range(100):
        driver.advance(400 * MS)
        request = driver.receive_request()
        unsent += not driver.started_attempts(request)
        while driver.balancer._requests.get(request) is not None:
            driver.advance(100 * MS)
            driver.end_attempt(request, Outcome.OVERLOADED)
    assert unsent > 20


def test_admission_control_of_small_balancer_admits_quick_but_uneven_responses() -> None:
    rejected_count = 0
    for seed in range(4):
        generator = random.Random(seed)
        driver = BalancerDriver(seed=seed)
        driver.update_endpoints(endpoint_names(12))
        for _ in range(300):
            driver.advance(600 * MS)
            request = driver.receive_request()
            if driver.started_attempts(request):  # typically a tenth of the aim, one in forty beyond it
                driver.advance(min(int(50 * MS * generator.lognormvariate(0.0, 1.2)), 900 * MS))
                driver.end_attempt(request, attempt=0)
        rejected_count += len(driver.actions_of_type(RejectRequest))
    assert rejected_count < 0.01 * 4 * 300
