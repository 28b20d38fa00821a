"""Selection by best of k: which endpoint an attempt goes to."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any

import pytest
from helpers import MS, S, Stage, names, settings

from tulipnotch.load_balancing.actions import RejectRequest
from tulipnotch.load_balancing.admission import concurrency_limit
from tulipnotch.load_balancing.events import EndpointDescription
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.selection import best_of_k
from tulipnotch.load_balancing.selection.weighted_sampling import weighted_sample


def test_best_of_k_chooses_endpoint_with_fewest_requests_in_flight(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(concurrency_limit, "INITIAL_LIMIT_PER_ENDPOINT", 1e9)  # else some are refused
    stage = Stage()
    stage.servers(names(4))  # all are drawn
    for _ in range(40):
        stage.request()
    assert set(Counter(each.endpoint for _, each in stage.sends()).values()) == {10}


def test_best_of_k_redraws_from_all_endpoints_after_overloaded_responses() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    for _ in range(4):
        stage.end(request, Outcome.OVERLOADED)
    targets = [each.endpoint for _, each in stage.sends(request)]
    assert sorted(targets) == names(5)
    stage.end(request, Outcome.OVERLOADED)
    assert [each.request for each in stage.said(RejectRequest)] == [request]


def test_best_of_k_uses_the_only_endpoint() -> None:
    stage = Stage()
    stage.servers(names(1))
    assert stage.target(stage.request()) == names(1)[0]


def test_best_of_k_selects_slower_endpoints_less_often() -> None:
    stage = Stage()
    stage.servers(names(12))
    slow = names(12)[0]
    for _ in range(1_500):
        request = stage.request()
        stage.wait(90 * MS if stage.target(request) == slow else 30 * MS)
        stage.end(request)
    later = Counter(each.endpoint for _, each in stage.sends()[500:])
    assert later[slow] < 0.6 * sum(later.values()) / 12


def test_best_of_k_uses_nominal_capacity_before_any_response() -> None:
    stage = Stage()
    stage.servers(
        [
            EndpointDescription(name, "east", nominal_capacity=4.0 if name == names(8)[0] else 1.0)
            for name in names(8)
        ]
    )
    for _ in range(200):
        request = stage.request()
        stage.end(request)
    first = Counter(each.endpoint for _, each in stage.sends()[:40])
    assert first[names(8)[0]] > 40 / 8


def test_best_of_k_counts_abandoned_attempt_as_in_flight_for_a_while() -> None:
    stage = Stage()
    stage.servers(names(2))
    request = stage.request("pay", remaining_us=400 * MS)
    abandoned_at = stage.target(request)
    stage.wait(395 * MS)  # answered by then, and called off
    stage.end(request, Outcome.CANCELLED, answered=True)
    other = stage.request("pay")
    assert stage.target(other) != abandoned_at
    third = stage.request("pay")
    assert stage.target(third) in names(2)
    stage.wait(S)
    assert (
        stage.balancer._components.selection.estimated_in_flight(
            stage.balancer._context.endpoints[abandoned_at]
        )
        <= 1
    )


def test_best_of_k_selects_slow_endpoints_less_often_for_heavy_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stage = Stage()
    stage.servers(
        [
            EndpointDescription(name, "east", nominal_capacity=0.5 if name == names(5)[0] else 1.0)
            for name in names(5)
        ]
    )
    seen: list[float] = []

    def watch(generator: random.Random, pool: list[Any], odds: list[float], count: int) -> list[Any]:
        seen.append(odds[0] / odds[1])
        return weighted_sample(generator, pool, odds, count)

    monkeypatch.setattr(best_of_k, "weighted_sample", watch)
    for cost in (20 * MS, 20 * MS, 100 * MS):
        stage.end(stage.request(cost_us=cost))
    assert seen[2] < 0.5 * seen[0]


def test_best_of_k_selects_endpoint_less_often_when_half_its_responses_are_errors() -> None:
    stage = Stage()
    stage.servers(names(12))
    bad = names(12)[3]
    errors = 0
    for _ in range(1_200):
        request = stage.request("pay")
        target = stage.target(request)
        stage.wait(5 * MS if target == bad else 40 * MS)
        errors += target == bad
        stage.end(request, Outcome.SERVER_ERROR if target == bad and errors % 2 else Outcome.DELIVERED)
    assert sum(1 for _, each in stage.sends()[400:] if each.endpoint == bad) < 0.5 * 800 / 12


def test_best_of_k_avoids_endpoint_only_for_the_class_that_it_rejected() -> None:
    stage = Stage()
    stage.servers(names(12))
    stage.serve_singly(10)
    first = stage.request()
    overloaded = stage.target(first)
    stage.end(first)
    attempts = used = 0
    for _ in range(200):
        stage.wait(200 * MS)
        for class_name in ("pay", "look"):
            request = stage.request(class_name)
            is_overloaded = class_name == "pay" and stage.target(request) == overloaded
            attempts += is_overloaded
            used += class_name == "look" and stage.target(request) == overloaded
            if is_overloaded:
                stage.wait(10 * MS)
                stage.end(request, Outcome.OVERLOADED)
            stage.wait(40 * MS)
            stage.end(request)
    assert 1 <= attempts < 30
    assert used > 30


def test_best_of_k_uses_avoided_endpoint_when_no_other_is_eligible() -> None:
    stage = Stage(settings(limits={"max_attempts": 1}))
    stage.servers(names(1))
    stage.end(stage.request("pay"), Outcome.OVERLOADED)
    assert len(stage.sends(stage.request("pay"))) == 1
