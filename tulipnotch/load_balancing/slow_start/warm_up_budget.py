"""Slow start: limits what all instances together send to an endpoint that is warming up.

Instances share nothing but the endpoint list, clocks and their own numbers in the group. Each instance has a
token bucket (in requests of mean cost) for each endpoint that is warming up; one token admits one request.
Three measures limit the sum of all instances where a server can serve few requests and instances are many:

- Buckets of different instances fill up one after another: each one starts at a phase that depends on the
  server's start and the instance's number. These phases are evenly spread over the group.
- A token that is not used expires. Otherwise the tokens of a quiet time would all be used in the next burst.
- A request that costs much more than the mean is sent to warm endpoints only.

All times are whole microseconds. `SlowStart` enforces rule 4 for the endpoints of one balancer.
"""

from __future__ import annotations

import math
import zlib

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint, WarmUp
from tulipnotch.load_balancing.settings import Rules
from tulipnotch.load_balancing.slow_start.token_bucket import ExpiringTokenBucket
from tulipnotch.load_balancing.slow_start.warm_capacity import WarmCapacity, is_warming_up

FILL_FRACTION = 0.25  # fraction of the overload rate at which all buckets together fill
BURST_FRACTION = 0.18  # fraction of one overload window's requests that a bucket may admit at once
# Overload windows after which unused tokens expire. In this time all buckets together fill the budget of one
# window.
EXPIRY_WINDOWS = 1.0 / FILL_FRACTION
# A request may cost 1 + this x the square root of the budget, in multiples of the mean.
MAX_COST_ROOT_FACTOR = 0.1


def initial_phase(
    name: str, started_at: int | None, instance_index: int, instance_count: int, random_phase: float
) -> float:
    """Returns the fraction of a token that an instance starts with, from 0 to below 1.

    The fractions are evenly spread over the group for each start of each server. If the start or the own
    number is not known, `random_phase` (0 to below 1, drawn by each instance) is used instead.
    """
    if started_at is None or not 0 <= instance_index < instance_count or instance_count == 1:
        return random_phase
    offset = zlib.crc32(f"{name} {started_at}".encode()) / 2.0**32
    return (offset + instance_index / instance_count) % 1.0


def warm_up_factor(rules: Rules, started_at: int | None, now: int) -> float:
    """Returns the minimum fraction of its capacity that a server has at `now`; 1 if `started_at` is None."""
    if started_at is None or now >= started_at + rules.warm_up_us:
        return 1.0
    elapsed_us = max(now - started_at, 0)
    return rules.initial_capacity + (1.0 - rules.initial_capacity) * elapsed_us / rules.warm_up_us


def max_cost(budget: float) -> float:
    """Returns the maximum cost of a request to a server that can serve `budget` in an overload window.

    Both are in multiples of the mean cost.
    """
    return 1.0 + MAX_COST_ROOT_FACTOR * math.sqrt(max(budget, 0.0))


def has_budget(
    bucket: ExpiringTokenBucket, now: int, rate: float, overload_window_us: int, cost: float
) -> bool:
    """Returns whether a request of this cost is admitted.

    `rate` is the own share of the overload rate, in requests of mean cost per microsecond.
    """
    capacity = max(1.0, BURST_FRACTION * rate * overload_window_us)
    bucket.fill(now, FILL_FRACTION * rate, capacity, EXPIRY_WINDOWS * overload_window_us)
    return bucket.holds(min(cost, capacity))


class SlowStart:
    """Tracks which endpoints are warming up, and what this balancer may send to them."""

    def __init__(self, context: Context, capacity: WarmCapacity) -> None:
        """Takes the current settings from `context` at each call."""
        self._context = context
        self._capacity = capacity
        self._process_count = 1  # processes of this instance, which divide its budgets evenly

    def process_count_changed(self, process_count: int, *, is_new: bool) -> None:
        """Divides the budgets anew; a new process begins without tokens, since the others have them."""
        self._process_count = process_count
        if is_new:
            for endpoint in self._context.endpoints.values():
                if endpoint.warm_up is not None:
                    endpoint.warm_up.budget = ExpiringTokenBucket(self._context.now, 0.0)

    def process_started(self, endpoint: Endpoint, started_at: int | None = None) -> None:
        """Starts an endpoint's warm-up at the process start that discovery announced, or now (None).

        A start in the future comes from a wrong clock, and counts as now.
        """
        now, settings = self._context.now, self._context.settings
        random_phase = self._context.random.random()
        tokens = initial_phase(
            endpoint.name, started_at, settings.instance_index, settings.instance_count, random_phase
        )
        endpoint.warm_up = WarmUp(
            now if started_at is None else min(started_at, now),
            ExpiringTokenBucket(now, tokens / self._process_count),
            is_start_announced=started_at is not None,
        )

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Returns whether an endpoint is still warming up."""
        return is_warming_up(endpoint, self._context.settings.rules, self._context.now)

    def has_budget(self, endpoint: Endpoint, work: float) -> bool:
        """Returns whether an endpoint's warm-up budget admits a request of `work` times the mean work.

        The budget fills at a fraction of the rate that would overload the server, derived from what this
        balancer's warm endpoints serve. Because all balancers do so, the sum stays below the overload rate.
        """
        now, settings = self._context.now, self._context.settings
        rules, warm_up = settings.rules, endpoint.warm_up
        if warm_up is None or not is_warming_up(endpoint, rules, now):
            return True
        per_us = self._capacity.per_us()
        if self._capacity.mean_nominal_capacity > 0.0:
            per_us *= min(endpoint.nominal_capacity / self._capacity.mean_nominal_capacity, 1.0)
        per_us /= self._process_count
        rate = rules.overload_multiple * warm_up_factor(rules, warm_up.started_at, now) * per_us
        # What all instances together may send to it, if all have the same rate as this one.
        budget = rate * rules.overload_window_us * settings.instance_count * self._capacity.selected_fraction
        budget *= self._process_count
        if work > max_cost(budget):
            return False
        return has_budget(warm_up.budget, now, rate, rules.overload_window_us, work)

    def consume_budget(self, endpoint: Endpoint, work: float) -> None:
        """Takes a request of this much work out of the endpoint's warm-up budget."""
        if endpoint.warm_up is not None and self.is_warming_up(endpoint):
            endpoint.warm_up.budget.consume(work)
