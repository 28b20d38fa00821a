"""Slow start: how much all instances together put on a server that started lately, within what it can serve.

Instances share nothing but the list, clocks and their own numbers.  Each fills an allowance (in requests of
mean cost) for each cold server; a whole request's worth is a turn.  Three things keep the sum within bounds
where a server can serve few requests and instances are many:

- turns come due one after another over all instances: the first allowance is a phase, by the server's start
  and the instance's number, evenly spread over the group;
- a turn that is not used lapses.  Saved up, the turns of a quiet stretch would all be used in the next burst;
- a request that is heavier than a small part of chance goes to warm servers only.

All times are whole microseconds.  `SlowStart` keeps rule 4 for the servers of one balancer.
"""

from __future__ import annotations

import math
import zlib

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.records import Endpoint
from tulipnotch.load_balancing.settings import Rules
from tulipnotch.load_balancing.slow_start.token_bucket import LapsingBucket
from tulipnotch.load_balancing.slow_start.warm_capacity import WarmCapacity, is_cold

FILLS = 0.25  # part of the pushing-over load that all allowances together fill at
BURST = 0.18  # part of that load that may come at once
LAPSES = 1.0 / FILLS  # fall times after which an unused turn lapses: those open at once are one budget
HEAVIEST = 0.1  # roots of the server's budget that one request may cost beyond the mean: far less than chance


def phase(name: str, started_at: int | None, me: int, instance_count: int, chance: float) -> float:
    """The part of a turn that an instance begins with, from 0 to below 1.

    Evenly spread over the group for each start of each server.  Where the start or the own number is not
    known, `chance` (0 to below 1, the instance's own) takes its place.
    """
    if started_at is None or not 0 <= me < instance_count or instance_count == 1:
        return chance
    offset = zlib.crc32(f"{name} {started_at}".encode()) / 2.0**32
    return (offset + me / instance_count) % 1.0


def warmth(rules: Rules, since: int | None, now: int) -> float:
    """The least share of its capacity that a server has, so long after its start; 1 where `since` is None."""
    if since is None or now >= since + rules.warm_up_us:
        return 1.0
    return rules.initial_capacity + (1.0 - rules.initial_capacity) * max(now - since, 0) / rules.warm_up_us


def heaviest(budget: float) -> float:
    """The most that one request may cost where a server can serve `budget` of mean cost in the fall time."""
    return 1.0 + HEAVIEST * math.sqrt(max(budget, 0.0))


class WarmUpBudget(LapsingBucket):
    """What an instance may put on one cold server, in requests of mean cost."""

    __slots__ = ()

    def has_room(self, now: int, limit: float, overload_window_us: int, cost: float) -> bool:
        """Whether a request of this cost may go now; `limit` is the own part of what pushes over, per us."""
        most = max(1.0, BURST * limit * overload_window_us)
        self.fill(now, FILLS * limit, most, LAPSES * overload_window_us)
        return self.holds(min(cost, most))


class SlowStart:
    """Which servers are cold, and what this balancer may put on them."""

    def __init__(self, context: Context, capacity: WarmCapacity) -> None:
        self._context = context
        self._capacity = capacity

    def turned_cold(self, server: Endpoint, started_at: int | None = None) -> None:
        """A server's process started then, by the list, or just now; one in the future has a wrong clock."""
        settings = self._context.settings
        server.warm_up_started_at = min(
            self._context.now if started_at is None else started_at, self._context.now
        )
        server.is_start_announced = started_at is not None
        chance = self._context.random.random()
        begins_with = phase(server.name, started_at, settings.instance_index, settings.instance_count, chance)
        server.warm_up_budget = WarmUpBudget(self._context.now, begins_with)

    def is_cold(self, server: Endpoint) -> bool:
        """Whether a server still warms up."""
        return is_cold(server, self._context.settings.rules, self._context.now)

    def warmth(self, server: Endpoint) -> float:
        """The least share of its capacity that a server has now."""
        return warmth(self._context.settings.rules, server.warm_up_started_at, self._context.now)

    def has_room(self, server: Endpoint, work: float) -> bool:
        """Whether a cold server's budget has room for a request of this much work, in means.

        The budget fills with a part of what would push the server over, judged by what this balancer's warm
        servers serve for it; all balancers doing so stay under the whole.
        """
        if server.warm_up_budget is None or not self.is_cold(server):
            return True
        settings = self._context.settings
        rules = settings.rules
        capacity = self._capacity.per_us()
        if self._capacity.mean_size > 0.0:
            capacity *= min(server.nominal_capacity / self._capacity.mean_size, 1.0)
        limit = rules.overload_multiple * self.warmth(server) * capacity
        # What all instances may put on it, were all like this one.
        of_all = limit * rules.overload_window_us * settings.instance_count * self._capacity.sent_part
        if work > heaviest(of_all):
            return False
        return server.warm_up_budget.has_room(self._context.now, limit, rules.overload_window_us, work)

    def spend(self, server: Endpoint, work: float) -> None:
        """A request of this much work goes to the server."""
        if server.warm_up_budget is not None and self.is_cold(server):
            server.warm_up_budget.spend(work)
