"""Load: how many of this balancer's own requests are in flight, now and on average."""

from __future__ import annotations

import heapq
import math

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint

LOW_LOAD = 8.0  # with fewer own requests in flight than this, much of what is measured is random variation
# Maximum factor by which averaging windows and steps grow as the load falls below `LOW_LOAD`.
MAX_LOW_LOAD_FACTOR = 4.0


class Load:
    """Counts own requests in flight, with abandoned ones, at endpoints that are not ejected.

    Keeps running counts rather than a sum over all endpoints, because the load is read at every event.
    """

    def __init__(self, context: Context) -> None:
        """Starts with nothing in flight."""
        self._context = context
        self.mean = 0.0
        self.last_busy_at = 0  # clock time of the last event at which anything was in flight
        self._updated_at = 0
        self._in_flight = 0
        self._at_ejected = 0  # requests in flight at ejected endpoints
        # Clock times at which abandoned attempts stop counting, as a heap.
        self._abandoned_until: list[int] = []

    def current(self) -> int:
        """Returns the load at the time of this event."""
        abandoned_until = self._abandoned_until
        now = self._context.now
        while abandoned_until and abandoned_until[0] <= now:
            heapq.heappop(abandoned_until)
        return self._in_flight - self._at_ejected + len(abandoned_until)

    def low_load_factor(self) -> float:
        """Returns how many times longer than at high load it takes to tell a change from random variation."""
        return max(1.0, min(LOW_LOAD / max(self.mean, 1e-9), MAX_LOW_LOAD_FACTOR))

    def update_mean(self, limit: float) -> None:
        """Updates the mean to the time of this event; `limit` is the current concurrency limit."""
        elapsed_us = self._context.now - self._updated_at
        if elapsed_us > 0:
            self._updated_at = self._context.now
            window_us = self.low_load_factor() * self._context.max_latency_objective_us
            load = self.current()
            if load > 0:
                self.last_busy_at = self._updated_at
            self.mean = min(self.mean, max(load, limit, 1.0))  # a higher mean would delay recovery
            self.mean += (load - self.mean) * (1.0 - math.exp(-elapsed_us / window_us))

    def attempt_started(self, endpoint: Endpoint) -> None:
        """Counts an attempt as in flight."""
        endpoint.in_flight += 1
        self._in_flight += 1
        if endpoint.ejection is not None:
            self._at_ejected += 1

    def attempt_ended(self, endpoint: Endpoint) -> None:
        """Counts an attempt as no longer in flight."""
        endpoint.in_flight -= 1
        self._in_flight -= 1
        if endpoint.ejection is not None:
            self._at_ejected -= 1

    def attempt_abandoned(self, endpoint: Endpoint, until: int) -> None:
        """Counts an abandoned attempt as in flight until clock time `until`; it may still be executing."""
        endpoint.abandoned_until.append(until)
        if endpoint.ejection is None:
            heapq.heappush(self._abandoned_until, until)

    def endpoint_ejected(self, endpoint: Endpoint) -> None:
        """Excludes requests in flight at an endpoint that has just been ejected."""
        self._at_ejected += endpoint.in_flight

    def endpoint_readmitted(self, endpoint: Endpoint) -> None:
        """Includes requests in flight at an endpoint that has just been readmitted."""
        self._at_ejected -= endpoint.in_flight
