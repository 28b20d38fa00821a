"""Warm capacity: what a warm server has lately served for this balancer."""

from __future__ import annotations

import math

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.metrics.rate import Rate
from tulipnotch.load_balancing.records import Endpoint
from tulipnotch.load_balancing.selection.subset import subset_size
from tulipnotch.load_balancing.settings import Rules

RATE_SPANS = 2.0  # rates are averaged over this many fall times
SERVED_FADES = 0.5  # what a warm server served fades e-fold in this part of the time to warm up
REPEATED = 1.25  # requests for each that clients want, where most are refused and come again


def is_cold(server: Endpoint, rules: Rules, now: int) -> bool:
    """Whether a server still warms up."""
    return server.warm_up_started_at is not None and now < server.warm_up_started_at + rules.warm_up_us


class WarmCapacity:
    """A running measure of what each warm server serves, as a rate for a server of mean size."""

    def __init__(self, context: Context, load: Load) -> None:
        self._context = context
        self._load = load
        span = RATE_SPANS * context.settings.rules.overload_window_us
        self._arrivals = Rate(span)
        self._served_warm = Rate(span)  # answers of warm servers
        self._rate = 0.0  # per us, as of _rate_at
        self._rate_at = -1
        self.sent_part = 1.0  # of the servers that served it, those that this balancer sends to
        self.mean_size = 1.0  # of these servers

    def settings_changed(self) -> None:
        """Average over the new fall time."""
        for rate in (self._arrivals, self._served_warm):
            rate.over(RATE_SPANS * self._context.settings.rules.overload_window_us)

    def request_arrived(self) -> None:
        """Count a request."""
        self._arrivals.add(self._context.now, 1.0)

    def answered(self, server: Endpoint) -> None:
        """Count an answer, if its server is warm."""
        if not is_cold(server, self._context.settings.rules, self._context.now):
            self._served_warm.add(self._context.now, 1.0)

    def per_us(self) -> float:
        """What a warm server serves per microsecond; worked out once for each instant.

        The highest counts, and fades.  Prevents a loop: what is served falls where requests are refused, and
        would take the budgets of cold servers with it, just when these are needed.
        """
        now = self._context.now
        if self._rate_at != now:
            lapse = now - self._rate_at if self._rate_at >= 0 else 0
            faded = math.exp(-lapse / max(SERVED_FADES * self._context.settings.rules.warm_up_us, 1.0))
            self._rate_at = now
            self._rate = max(self._served_by_each(), self._rate * faded)
        return self._rate

    def _served_by_each(self) -> float:
        """What each server sent to serves just now; with no warm server all count, as sends go to all."""
        now, rules = self._context.now, self._context.settings.rules
        ready = self._context.ready_endpoints
        warm = [each for each in ready if not is_cold(each, rules, now)]
        peers = warm or ready  # ejected ones too: they served a part of what is counted
        if warm:
            sent_to = min(len(warm), subset_size(self._load.mean))
            served = self._served_warm.per_us(now) / max(sent_to, 1)
        else:
            sent_to = len(peers)
            served = self._arrivals.per_us(now) / (REPEATED * max(sent_to, 1))
        self.sent_part = sent_to / max(len(peers), 1)
        self.mean_size = sum(each.nominal_capacity for each in peers) / max(len(peers), 1)
        return served
