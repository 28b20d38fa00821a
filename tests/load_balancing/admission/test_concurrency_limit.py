"""An instance whose servers answered nothing for a while goes on trying, and soon serves when they answer."""

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
    """Requests at a steady rate, each answered after `ANSWER_US` or given up at its deadline."""

    every_us: int
    instance_count: int
    driver: BalancerDriver = field(init=False)
    arrived: int = 0
    attempts: list[int] = field(default_factory=list)  # when each began
    _in_flight: list[tuple[int, int, Outcome]] = field(default_factory=list)

    def __post_init__(self) -> None:
        service_class = {**IDEMPOTENT_CLASS, "latency_objective_us": OBJECTIVE_US, "deadline_us": DEADLINE_US}
        given = make_settings(
            classes=[service_class], instance_count=self.instance_count, limits={"max_attempts": 1}
        )
        self.driver = BalancerDriver(given)
        self.driver.update_endpoints(endpoint_names(SERVERS))

    def run(self, span_us: int, outcome: Outcome) -> None:
        """Let requests come for so long, whose attempts all end like this."""
        duration_us = RESPONSE_US if outcome is Outcome.DELIVERED else DEADLINE_US
        until = self.driver.now + span_us
        while self.driver.now < until:
            self._step(duration_us, outcome)

    def _step(self, duration_us: int, outcome: Outcome) -> None:
        driver, due = self.driver, self.driver.now + self.every_us
        while self._in_flight and self._in_flight[0][0] <= due:
            at, request, ending = self._in_flight.pop(0)
            driver.advance(max(at - driver.now, 0))
            driver.end_attempt(request, ending)
        driver.advance(due - driver.now)
        self.arrived += 1
        request = driver.receive_request(remaining_us=DEADLINE_US)
        if driver.started_attempts(request):
            self.attempts.append(driver.now)
            self._in_flight.append((driver.now + duration_us, request, outcome))
            self._in_flight.sort()

    def longest_idle_time(self, since: int) -> int:
        """The longest time without an attempt, from `since` to now."""
        times = [since, *(each for each in self.attempts if each > since), self.driver.now]
        return max(later - earlier for earlier, later in itertools.pairwise(times))


# An attempt that was given up on counts as in flight for a while more.
MAX_IDLE_US = 1.3 * DEADLINE_US + concurrency_limit.MAX_IDLE_OBJECTIVES * OBJECTIVE_US


@pytest.mark.parametrize("instance_count", [1, SERVERS])
@pytest.mark.parametrize("every_ms", [20, 50, 100])
def test_concurrency_limit_admits_request_after_idle_time(every_ms: int, instance_count: int) -> None:
    traffic = Traffic(every_ms * MS, instance_count)
    traffic.run(5 * S, Outcome.DELIVERED)
    since = traffic.driver.now
    traffic.run(12 * S, Outcome.TIMED_OUT)
    assert traffic.longest_idle_time(since) <= MAX_IDLE_US + 2 * traffic.every_us
    since = traffic.driver.now
    traffic.run(5 * S, Outcome.DELIVERED)  # the servers answer again
    assert traffic.longest_idle_time(since) <= MAX_IDLE_US + 2 * traffic.every_us
    arrived, attempts = traffic.arrived, len(traffic.attempts)
    traffic.run(5 * S, Outcome.DELIVERED)
    assert len(traffic.attempts) - attempts >= 0.8 * (traffic.arrived - arrived)


def test_concurrency_limit_idles_longer_with_many_instances_per_endpoint() -> None:
    traffic = Traffic(50 * MS, 10 * SERVERS)
    traffic.run(5 * S, Outcome.DELIVERED)
    since = traffic.driver.now
    traffic.run(30 * S, Outcome.TIMED_OUT)
    assert (
        traffic.longest_idle_time(since) > MAX_IDLE_US + 4 * OBJECTIVE_US
    )  # till the mean of what was in flight fades
