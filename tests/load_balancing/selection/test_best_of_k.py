"""Selection by best of k: which endpoint an attempt goes to."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from helpers import MS, BalancerDriver, S, endpoint_names, make_settings

from tulipnotch.load_balancing.actions import RejectRequest
from tulipnotch.load_balancing.admission import concurrency_limit
from tulipnotch.load_balancing.events import EndpointDescription
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.selection import best_of_k
from tulipnotch.load_balancing.selection.weighted_sampling import weighted_sample


def test_best_of_k_chooses_endpoint_with_fewest_requests_in_flight(monkeypatch: pytest.MonkeyPatch) -> None:
    # With the default initial limit, some requests would be rejected.
    monkeypatch.setattr(concurrency_limit, "INITIAL_LIMIT_PER_ENDPOINT", 1e9)
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))  # as many as CHOICE_COUNT, so every draw compares all
    for _ in range(40):
        driver.receive_request()
    assert set(Counter(each.endpoint for _, each in driver.started_attempts()).values()) == {10}


def test_best_of_k_redraws_from_all_endpoints_after_overloaded_responses() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(5))
    request = driver.receive_request("pay")
    for _ in range(4):
        driver.end_attempt(request, Outcome.OVERLOADED)
    targets = [each.endpoint for _, each in driver.started_attempts(request)]
    assert sorted(targets) == endpoint_names(5)
    driver.end_attempt(request, Outcome.OVERLOADED)
    assert [each.request for each in driver.actions_of_type(RejectRequest)] == [request]


def test_best_of_k_uses_the_only_endpoint() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(1))
    assert driver.last_endpoint(driver.receive_request()) == endpoint_names(1)[0]


def test_best_of_k_selects_slower_endpoints_less_often() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(12))
    slow = endpoint_names(12)[0]
    for _ in range(1_500):
        request = driver.receive_request()
        driver.advance(90 * MS if driver.last_endpoint(request) == slow else 30 * MS)
        driver.end_attempt(request)
    later = Counter(each.endpoint for _, each in driver.started_attempts()[500:])
    assert later[slow] < 0.6 * sum(later.values()) / 12


def test_best_of_k_uses_nominal_capacity_before_any_response() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(
        [
            EndpointDescription(name, "east", nominal_capacity=4.0 if name == endpoint_names(8)[0] else 1.0)
            for name in endpoint_names(8)
        ]
    )
    for _ in range(200):
        request = driver.receive_request()
        driver.end_attempt(request)
    first = Counter(each.endpoint for _, each in driver.started_attempts()[:40])
    assert first[endpoint_names(8)[0]] > 40 / 8


def test_best_of_k_counts_abandoned_attempt_as_in_flight_for_a_while() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(2))
    request = driver.receive_request("pay", remaining_us=400 * MS)
    abandoned_endpoint = driver.last_endpoint(request)
    driver.advance(395 * MS)  # the balancer has failed the request by then, and cancelled its attempt
    driver.end_attempt(request, Outcome.CANCELLED, is_responded=True)
    other = driver.receive_request("pay")
    assert driver.last_endpoint(other) != abandoned_endpoint
    third = driver.receive_request("pay")
    assert driver.last_endpoint(third) in endpoint_names(2)
    driver.advance(S)
    assert (
        driver.balancer._components.selection.estimated_in_flight(
            driver.balancer._context.endpoints[abandoned_endpoint]
        )
        <= 1
    )


def test_best_of_k_selects_slow_endpoints_less_often_for_heavy_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    driver = BalancerDriver()
    driver.update_endpoints(
        [
            EndpointDescription(name, "east", nominal_capacity=0.5 if name == endpoint_names(5)[0] else 1.0)
            for name in endpoint_names(5)
        ]
    )
    weight_ratios: list[float] = []

    def record_weights(
        generator: random.Random, pool: list[Any], weights: list[float], count: int
    ) -> list[Any]:
        weight_ratios.append(weights[0] / weights[1])
        return weighted_sample(generator, pool, weights, count)

    monkeypatch.setattr(best_of_k, "weighted_sample", record_weights)
    for cost_us in (20 * MS, 20 * MS, 100 * MS):
        driver.end_attempt(driver.receive_request(cost_us=cost_us))
    assert weight_ratios[2] < 0.5 * weight_ratios[0]


def test_best_of_k_selects_endpoint_less_often_when_half_its_responses_are_errors() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(12))
    failing = endpoint_names(12)[3]
    attempt_count = 0
    for _ in range(1_200):
        request = driver.receive_request("pay")
        target = driver.last_endpoint(request)
        driver.advance(5 * MS if target == failing else 40 * MS)
        attempt_count += target == failing
        driver.end_attempt(
            request, Outcome.SERVER_ERROR if target == failing and attempt_count % 2 else Outcome.DELIVERED
        )
    assert sum(1 for _, each in driver.started_attempts()[400:] if each.endpoint == failing) < 0.5 * 800 / 12


def test_best_of_k_avoids_endpoint_only_for_the_class_that_it_rejected() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(12))
    driver.run_sequential_traffic(10)
    first = driver.receive_request()
    overloaded = driver.last_endpoint(first)
    driver.end_attempt(first)
    overloaded_count = used_count = 0
    for _ in range(200):
        driver.advance(200 * MS)
        for class_name in ("pay", "look"):
            request = driver.receive_request(class_name)
            is_overloaded = class_name == "pay" and driver.last_endpoint(request) == overloaded
            overloaded_count += is_overloaded
            used_count += class_name == "look" and driver.last_endpoint(request) == overloaded
            if is_overloaded:
                driver.advance(10 * MS)
                driver.end_attempt(request, Outcome.OVERLOADED)
            driver.advance(40 * MS)
            driver.end_attempt(request)
    assert 1 <= overloaded_count < 30
    assert used_count > 30


def test_best_of_k_uses_avoided_endpoint_when_no_other_is_eligible() -> None:
    driver = BalancerDriver(make_settings(limits={"max_attempts": 1}))
    driver.update_endpoints(endpoint_names(1))
    driver.end_attempt(driver.receive_request("pay"), Outcome.OVERLOADED)
    assert len(driver.started_attempts(driver.receive_request("pay"))) == 1
