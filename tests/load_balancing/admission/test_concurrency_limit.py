"""Concurrency limit: an instance whose servers stop responding keeps trying, and recovers when they do."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import pytest
from helpers import IDEMPOTENT_CLASS, MS, BalancerDriver, S, endpoint_names, make_settings

from tulipnotch.load_balancing.admission import concurrency_limit
from tulipnotch.load_balancing.outcomes import Outcome

OBJECTIVE_US = 300 * MS
DEADLINE_US = 1_500 * MS
RESPONSE_US = 30 * MS
SERVERS = 6


@dataclass
class Traffic:
    """Requests at a steady rate, each responded to after `RESPONSE_US` or abandoned at its deadline."""

    arrival_interval_us: int
    instance_count: int
    driver: BalancerDriver = field(init=False)
    arrived_count: int = 0
    attempt_times: list[int] = field(default_factory=list)  # start times of the attempts
    _in_flight: list[tuple[int, int, Outcome]] = field(default_factory=list)

    def __post_init__(self) -> None:
        service_class = {**IDEMPOTENT_CLASS, "latency_objective_us": OBJECTIVE_US, "deadline_us": DEADLINE_US}
        settings = make_settings(
            classes=[service_class], instance_count=self.instance_count, limits={"max_attempts": 1}
        )
        self.driver = BalancerDriver(settings)
        self.driver.update_endpoints(endpoint_names(SERVERS))

    def run(self, duration_us: int, outcome: Outcome) -> None:
        """Sends requests for this long; all of their attempts end with `outcome`."""
        attempt_us = RESPONSE_US if outcome is Outcome.DELIVERED else DEADLINE_US
        until = self.driver.now + duration_us
        while self.driver.now < until:
            self._step(attempt_us, outcome)

    def _step(self, attempt_us: int, outcome: Outcome) -> None:
        driver, due = self.driver, self.driver.now + self.arrival_interval_us
        while self._in_flight and self._in_flight[0][0] <= due:
            ended_at, request, attempt_outcome = self._in_flight.pop(0)
            driver.advance(max(ended_at - driver.now, 0))
            driver.end_attempt(request, attempt_outcome)
        driver.advance(due - driver.now)
        self.arrived_count += 1
        request = driver.receive_request(remaining_us=DEADLINE_US)
        if driver.started_attempts(request):
            self.attempt_times.append(driver.now)
            self._in_flight.append((driver.now + attempt_us, request, outcome))
            self._in_flight.sort()

    def longest_idle_time(self, since: int) -> int:
        """Returns the longest time without an attempt, from `since` until now."""
        times = [since, *(each for each in self.attempt_times if each > since), self.driver.now]
        return max(later - earlier for earlier, later in itertools.pairwise(times))


# An abandoned attempt counts as in flight for a while longer.
MAX_IDLE_US = 1.3 * DEADLINE_US + concurrency_limit.MAX_IDLE_OBJECTIVES * OBJECTIVE_US


@pytest.mark.parametrize("instance_count", [1, SERVERS])
@pytest.mark.parametrize("arrival_interval_ms", [20, 50, 100])
def test_concurrency_limit_admits_request_after_idle_time(
    arrival_interval_ms: int, instance_count: int
) -> None:
    traffic = Traffic(arrival_interval_ms * MS, instance_count)
    traffic.run(5 * S, Outcome.DELIVERED)
    since = traffic.driver.now
    traffic.run(12 * S, Outcome.TIMED_OUT)
    assert traffic.longest_idle_time(since) <= MAX_IDLE_US + 2 * traffic.arrival_interval_us
    since = traffic.driver.now
    traffic.run(5 * S, Outcome.DELIVERED)  # the servers respond again
    assert traffic.longest_idle_time(since) <= MAX_IDLE_US + 2 * traffic.arrival_interval_us
    arrived_count, attempt_count = traffic.arrived_count, len(traffic.attempt_times)
    traffic.run(5 * S, Outcome.DELIVERED)
    assert len(traffic.attempt_times) - attempt_count >= 0.8 * (traffic.arrived_count - arrived_count)


def test_concurrency_limit_idles_longer_with_many_instances_per_endpoint() -> None:
    traffic = Traffic(50 * MS, 10 * SERVERS)
    traffic.run(5 * S, Outcome.DELIVERED)
    since = traffic.driver.now
    traffic.run(30 * S, Outcome.TIMED_OUT)
    # The wait is longer until the mean load has decayed.
    assert traffic.longest_idle_time(since) > MAX_IDLE_US + 4 * OBJECTIVE_US
