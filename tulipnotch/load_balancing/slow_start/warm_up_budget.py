"""Slow start: how much all instances together send to an endpoint that warms up, within what it can serve.

Instances share nothing but the endpoint list, clocks and their own numbers.  Each fills a token bucket (in
requests of mean cost) for each endpoint that warms up; one token lets one request pass.  Three things keep
the sum within bounds where a server can serve few requests and instances are many:

- tokens fall due one after another over all instances: a bucket begins at a phase that is given by the
  server's start and the instance's number, evenly spread over the group;
- a token that is not used lapses.  Saved up, the tokens of a quiet time would all be used in the next burst;
- a request that costs much more than the mean goes to warm endpoints only.

All times are whole microseconds.  `SlowStart` enforces rule 4 for the endpoints of one balancer.
"""

from __future__ import annotations

import math
import zlib

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint, WarmUp
from tulipnotch.load_balancing.settings import Rules
from tulipnotch.load_balancing.slow_start.token_bucket import ExpiringTokenBucket
from tulipnotch.load_balancing.slow_start.warm_capacity import WarmCapacity, is_warming_up

FILL_FRACTION = 0.25  # part of the overload rate that all buckets together fill at
BURST_FRACTION = 0.18  # part of that rate that may arrive at once
EXPIRY_WINDOWS = (
    1.0 / FILL_FRACTION
)  # overload windows after which an unused token lapses: together one budget
MAX_COST_ROOT_FACTOR = 0.1  # a request may cost 1 + this x the square root of the budget, in means


def initial_phase(
    name: str, started_at: int | None, instance_index: int, instance_count: int, random_phase: float
) -> float:
    """The part of a token that an instance begins with, from 0 to below 1.

    Evenly spread over the group for each start of each server.  Where the start or the own number is not
    known, `random_phase` (0 to below 1, the instance's own) takes its place.
    """
    if started_at is None or not 0 <= instance_index < instance_count or instance_count == 1:
        return random_phase
    offset = zlib.crc32(f"{name} {started_at}".encode()) / 2.0**32
    return (offset + instance_index / instance_count) % 1.0


def warm_up_factor(rules: Rules, started_at: int | None, now: int) -> float:
    """The least part of its capacity that a server has at `now`; 1 where `started_at` is None."""
    if started_at is None or now >= started_at + rules.warm_up_us:
        return 1.0
    elapsed_us = max(now - started_at, 0)
    return rules.initial_capacity + (1.0 - rules.initial_capacity) * elapsed_us / rules.warm_up_us


def max_cost(budget: float) -> float:
    """The most that a request may cost if a server can serve `budget` of mean cost in an overload window."""
    return 1.0 + MAX_COST_ROOT_FACTOR * math.sqrt(max(budget, 0.0))


def has_budget(
    bucket: ExpiringTokenBucket, now: int, rate: float, overload_window_us: int, cost: float
) -> bool:
    """Whether a request of this cost may pass; `rate` is the own part of the overload rate, per us."""
    capacity = max(1.0, BURST_FRACTION * rate * overload_window_us)
    bucket.fill(now, FILL_FRACTION * rate, capacity, EXPIRY_WINDOWS * overload_window_us)
    return bucket.holds(min(cost, capacity))


class SlowStart:
    """Which endpoints warm up, and what this balancer may send to them."""

    def __init__(self, context: Context, capacity: WarmCapacity) -> None:
        """Read the settings in force from `context` at each call."""
        self._context = context
        self._capacity = capacity

    def process_started(self, endpoint: Endpoint, started_at: int | None = None) -> None:
        """Begin an endpoint's warm-up, at a start that discovery announced, or just now (None).

        A start in the future comes from a wrong clock, and counts as now.
        """
        now, settings = self._context.now, self._context.settings
        random_phase = self._context.random.random()
        tokens = initial_phase(
            endpoint.name, started_at, settings.instance_index, settings.instance_count, random_phase
        )
        endpoint.warm_up = WarmUp(
            now if started_at is None else min(started_at, now),
            ExpiringTokenBucket(now, tokens),
            is_start_announced=started_at is not None,
        )

    def is_warming_up(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint still warms up."""
        return is_warming_up(endpoint, self._context.settings.rules, self._context.now)

    def has_budget(self, endpoint: Endpoint, work: float) -> bool:
        """Whether an endpoint's warm-up budget has room for a request of this much work, in means.

        The budget fills with a part of what would overload the server, judged by what this balancer's warm
        endpoints serve for it; with all balancers doing so, the sum stays below that.
        """
        now, settings = self._context.now, self._context.settings
        rules, warm_up = settings.rules, endpoint.warm_up
        if warm_up is None or not is_warming_up(endpoint, rules, now):
            return True
        per_us = self._capacity.per_us()
        if self._capacity.mean_nominal_capacity > 0.0:
            per_us *= min(endpoint.nominal_capacity / self._capacity.mean_nominal_capacity, 1.0)
        rate = rules.overload_multiple * warm_up_factor(rules, warm_up.started_at, now) * per_us
        # What all instances together may send to it, if all are like this one.
        budget = rate * rules.overload_window_us * settings.instance_count * self._capacity.selected_fraction
        if work > max_cost(budget):
            return False
        return has_budget(warm_up.budget, now, rate, rules.overload_window_us, work)

    def consume_budget(self, endpoint: Endpoint, work: float) -> None:
        """Take a request of this much work out of the endpoint's warm-up budget."""
        if endpoint.warm_up is not None and self.is_warming_up(endpoint):
            endpoint.warm_up.budget.consume(work)
