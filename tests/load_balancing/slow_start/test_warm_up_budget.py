"""Warm-up budget: phases, tokens that fill up and expire, heavy requests; clock times are arguments."""

from __future__ import annotations

import itertools
import math

import pytest
from helpers import MS, S

from tulipnotch.load_balancing.settings import Rules
from tulipnotch.load_balancing.slow_start import warm_up_budget as slow_start
from tulipnotch.load_balancing.slow_start.token_bucket import ExpiringTokenBucket

RULES = Rules(initial_capacity=0.2, warm_up_us=10 * S, overload_multiple=2.5, overload_window_us=1 * S)
START = 1_700_000_000 * S


def sorted_phases(size: int, started_at: int | None = START, name: str = "s-1") -> list[float]:
    return sorted(slow_start.initial_phase(name, started_at, instance, size, 0.5) for instance in range(size))


@pytest.mark.parametrize("size", [2, 5, 30, 200])
def test_initial_phase_is_evenly_spread_over_the_group(size: int) -> None:
    found = sorted_phases(size)
    gaps = [b - a for a, b in itertools.pairwise(found)]
    assert all(math.isclose(gap, 1.0 / size, rel_tol=1e-6) for gap in gaps)
    assert found[0] >= 0.0
    assert found[-1] < 1.0


def test_initial_phase_differs_for_each_start_of_each_server() -> None:
    first = slow_start.initial_phase("s-1", START, 3, 30, 0.5)
    second = slow_start.initial_phase("s-1", START + 4 * S, 3, 30, 0.5)  # after a restart
    third = slow_start.initial_phase("s-1", START + 8 * S, 3, 30, 0.5)  # after another restart
    other = slow_start.initial_phase("s-2", START, 3, 30, 0.5)
    assert len({first, second, third, other}) == 4
    # It does not depend on the random phase.
    assert slow_start.initial_phase("s-1", START, 3, 30, 0.9) == first


@pytest.mark.parametrize(
    ("started_at", "instance_index", "size"), [(None, 3, 30), (START, -1, 30), (START, 30, 30), (START, 0, 1)]
)
def test_initial_phase_is_random_without_start_or_instance_index(
    started_at: int | None, instance_index: int, size: int
) -> None:
    assert slow_start.initial_phase("s-1", started_at, instance_index, size, 0.73) == 0.73


def test_warm_up_factor_rises_linearly_even_if_clock_is_behind() -> None:
    assert slow_start.warm_up_factor(RULES, None, START) == 1.0
    # This clock is 200 ms behind the server's clock.
    assert slow_start.warm_up_factor(RULES, START, START - 200 * MS) == 0.2
    assert slow_start.warm_up_factor(RULES, START, START) == 0.2
    assert math.isclose(slow_start.warm_up_factor(RULES, START, START + 5 * S), 0.6)
    assert slow_start.warm_up_factor(RULES, START, START + 10 * S) == 1.0


def admission_times(initial_tokens: float, overload_rate: float, arrivals: list[int]) -> list[int]:
    """Returns when requests of mean cost that arrive at these times are admitted."""
    bucket = ExpiringTokenBucket(0, initial_tokens)
    admitted = []
    for at in arrivals:
        if slow_start.has_budget(bucket, at, overload_rate, 1 * S, 1.0):
            bucket.consume(1.0)
            admitted.append(at)
    return admitted


@pytest.mark.parametrize("clock_difference_us", [0, 200 * MS])
def test_warm_up_budget_admits_requests_of_all_instances_evenly(clock_difference_us: int) -> None:
    # Thirty instances, each with constant demand: together they may admit a quarter of N = 8 in each second,
    # never a burst. Their clocks may differ; every other one is behind.
    overload_rate = 8.0 / S / 30
    arrivals = list(range(0, 20 * S, 50 * MS))
    admitted = sorted(
        at + clock_difference_us * (instance % 2)
        for instance in range(30)
        for at in admission_times(
            slow_start.initial_phase("s-1", START, instance, 30, 0.5), overload_rate, arrivals
        )
    )
    max_per_second = max(sum(1 for at in admitted if since <= at < since + 1 * S) for since in admitted)
    assert len(admitted) == pytest.approx(0.25 * 8 * 20, abs=2)
    assert max_per_second <= 4


def test_warm_up_budget_expires_unless_used() -> None:
    overload_rate = 0.2 / S  # a token fills up in 20 s, and expires 4 s later
    assert admission_times(0.0, overload_rate, [19 * S]) == []
    assert admission_times(0.0, overload_rate, [21 * S]) == [21 * S]
    assert admission_times(0.0, overload_rate, [25 * S]) == []  # the first token expired at 24 s
    # The second token is full at 40 s, as if the first had been used.
    assert admission_times(0.0, overload_rate, [25 * S, 41 * S]) == [41 * S]
    # The bucket fills up again from the use of the first token.
    assert admission_times(0.0, overload_rate, [23 * S, 41 * S, 43 * S + 1]) == [
        23 * S,
        43 * S + 1,
    ]
    assert admission_times(0.0, overload_rate, [10_000 * S + 1]) == [10_000 * S + 1]  # the 500th token
    assert admission_times(0.0, overload_rate, [10_005 * S]) == []
    assert admission_times(0.0, 0.0, [10_000 * S]) == []


def test_warm_up_budget_of_all_instances_is_bounded_after_idle_time() -> None:
    # Two hundred instances have no requests for 60 s, then all at once; N is 3.
    overload_rate = 3.0 / S / 200
    admitted_at_once = sum(
        len(
            admission_times(
                slow_start.initial_phase("s-1", START, instance, 200, 0.5), overload_rate, [60 * S]
            )
        )
        for instance in range(200)
    )
    assert 1 <= admitted_at_once <= 4


def test_warm_up_budget_always_admits_one_request_of_busy_instance() -> None:
    assert admission_times(0.0, 8.0 / S, [60 * S, 60 * S, 61 * S]) == [60 * S, 61 * S]


def test_warm_up_budget_recovers_from_heavy_request_before_the_next() -> None:
    bucket = ExpiringTokenBucket(0, 1.0)
    assert slow_start.has_budget(bucket, 0, 1.0 / S, 1 * S, 1.5)
    bucket.consume(1.5)
    assert not slow_start.has_budget(bucket, 5 * S, 1.0 / S, 1 * S, 1.0)
    assert slow_start.has_budget(bucket, 6 * S + 1, 1.0 / S, 1 * S, 1.0)


def test_max_cost_grows_more_slowly_than_the_budget() -> None:
    assert slow_start.max_cost(0.0) == 1.0
    for budget in (1.0, 3.0, 12.0, 50.0):
        safe_cost = 2.0 * math.sqrt(budget) + 2.0
        assert 1.0 < slow_start.max_cost(budget) < safe_cost / 2
