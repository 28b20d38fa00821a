"""Load: how many of this balancer's own requests are in flight, now and on average."""

from __future__ import annotations

import heapq
import math

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.records import Endpoint

FEW = 8.0  # with fewer own requests in flight than this, much of what is measured is chance
LONGEST_STRETCH = 4.0  # so the fewer, the longer loads are averaged and the larger the steps, up to this


class Load:
    """Own requests in flight, with those abandoned, at servers that are not ejected.

    Running counts, not a sum over the list: the load is asked for at every event.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self.mean = 0.0
        self.busy_at = 0  # the last event at which anything was in flight
        self._followed_at = 0
        self._pending = 0  # attempts in flight
        self._at_ejected = 0  # of these, at ejected servers
        self._abandoned: list[int] = []  # when each abandoned attempt stops counting, soonest first

    def current(self) -> int:
        """The load at the time of this event."""
        abandoned = self._abandoned
        now = self._context.now
        while abandoned and abandoned[0] <= now:
            heapq.heappop(abandoned)
        return self._pending - self._at_ejected + len(abandoned)

    def stretch(self) -> float:
        """How much longer than in a busy balancer it takes here to tell a change from chance."""
        return max(1.0, min(FEW / max(self.mean, 1e-9), LONGEST_STRETCH))

    def follow(self, limit: float) -> None:
        """Follow the mean up to the time of this event; `limit` is the concurrency limit in force."""
        lapse = self._context.now - self._followed_at
        if lapse > 0:
            self._followed_at = self._context.now
            span = self.stretch() * self._context.max_latency_objective_us
            load = self.current()
            if load > 0:
                self.busy_at = self._followed_at
            self.mean = min(self.mean, max(load, limit, 1.0))  # more would delay relief
            self.mean += (load - self.mean) * (1.0 - math.exp(-lapse / span))

    def attempt_began(self, server: Endpoint) -> None:
        """Count an attempt as in flight."""
        server.in_flight += 1
        self._pending += 1
        if server.ejected_until is not None:
            self._at_ejected += 1

    def attempt_ended(self, server: Endpoint) -> None:
        """Count an attempt as in flight no longer."""
        server.in_flight -= 1
        self._pending -= 1
        if server.ejected_until is not None:
            self._at_ejected -= 1

    def attempt_abandoned(self, server: Endpoint, until: int) -> None:
        """Count an attempt that was given up on as in flight until then: it may well run on."""
        server.abandoned.append(until)
        if server.ejected_until is None:
            heapq.heappush(self._abandoned, until)

    def server_ejected(self, server: Endpoint) -> None:
        """Leave out what is in flight at a server that is ejected now."""
        self._at_ejected += server.in_flight

    def server_readmitted(self, server: Endpoint) -> None:
        """Count what is in flight at a server that is ejected no longer."""
        self._at_ejected -= server.in_flight
