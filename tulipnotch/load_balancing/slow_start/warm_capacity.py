"""Warm capacity: the rate at which warm endpoints have lately served this balancer's requests."""

from __future__ import annotations

import math

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.metrics.rate import Rate
from tulipnotch.load_balancing.selection.subset import subset_size
from tulipnotch.load_balancing.settings import Rules

RATE_WINDOWS = 2.0  # averaging window of the rates, in overload windows
# Time constant for the decay of the served rate, as a fraction of the warm-up time.
SERVED_DECAY_FRACTION = 0.5
# Requests that arrive for each one that clients want served, where most are rejected and retried.
ARRIVALS_PER_REQUEST = 1.25


def is_warming_up(endpoint: Endpoint, rules: Rules, now: int) -> bool:
    """Returns whether an endpoint is still warming up."""
    warm_up = endpoint.warm_up
    return warm_up is not None and now < warm_up.started_at + rules.warm_up_us


class WarmCapacity:
    """Measures what each warm endpoint serves, as a rate for an endpoint of mean nominal capacity."""

    def __init__(self, context: Context, load: Load) -> None:
        """Starts with nothing served."""
        self._context = context
        self._load = load
        window_us = RATE_WINDOWS * context.settings.rules.overload_window_us
        self._arrivals = Rate(window_us)
        self._served_warm = Rate(window_us)  # responses from warm endpoints
        self._rate_per_us = 0.0  # as of `_rate_at`
        self._rate_at = -1
        self.selected_fraction = 1.0  # fraction of the serving endpoints that this balancer sends requests to
        self.mean_nominal_capacity = 1.0  # mean nominal capacity of the serving endpoints

    def settings_changed(self) -> None:
        """Changes the averaging window to that of the new settings."""
        for rate in (self._arrivals, self._served_warm):
            rate.set_window(RATE_WINDOWS * self._context.settings.rules.overload_window_us)

    def request_arrived(self) -> None:
        """Counts a request."""
        self._arrivals.add(self._context.now, 1.0)

    def response_received(self, endpoint: Endpoint) -> None:
        """Counts a response, if its endpoint is warm."""
        if not is_warming_up(endpoint, self._context.settings.rules, self._context.now):
            self._served_warm.add(self._context.now, 1.0)

    def per_us(self) -> float:
        """Returns the requests that a warm endpoint serves per microsecond; computed once for each instant.

        The result is a decaying maximum, which prevents a feedback loop: less is served where requests are
        rejected, which would reduce the budgets of endpoints that are warming up just when these are needed.
        """
        now = self._context.now
        if self._rate_at != now:
            elapsed_us = now - self._rate_at if self._rate_at >= 0 else 0
            decay_us = max(SERVED_DECAY_FRACTION * self._context.settings.rules.warm_up_us, 1.0)
            decay = math.exp(-elapsed_us / decay_us)
            self._rate_at = now
            self._rate_per_us = max(self._served_per_endpoint(), self._rate_per_us * decay)
        return self._rate_per_us

    def _served_per_endpoint(self) -> float:
        """Returns what each selected endpoint serves at present.

        Without any warm endpoint, all ready endpoints count as serving and as selected.
        """
        now, rules = self._context.now, self._context.settings.rules
        ready = self._context.ready_endpoints
        warm = [each for each in ready if not is_warming_up(each, rules, now)]
        serving = warm or ready  # includes ejected ones, which served some of what is counted
        if warm:
            selected = min(len(warm), subset_size(self._load.mean))
            served = self._served_warm.per_us(now) / max(selected, 1)
        else:
            selected = len(serving)
            served = self._arrivals.per_us(now) / (ARRIVALS_PER_REQUEST * max(selected, 1))
        count = max(len(serving), 1)
        self.selected_fraction = selected / count
        self.mean_nominal_capacity = sum(each.nominal_capacity for each in serving) / count
        return served
