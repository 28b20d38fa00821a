"""The concurrency limit: how many own requests in flight the fleet serves in time.

It follows how much of its objective the typical response takes.  Above the target the limit shrinks, below it
the limit grows, as long as it rejects anything.  What is in flight is limited, not arrivals: a surge then
reaches the limit at once, and slower servers admit less by themselves.
"""

from __future__ import annotations

import math

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.metrics.load import LOW_LOAD, MAX_LOW_LOAD_FACTOR, Load
from tulipnotch.load_balancing.metrics.rate import Rate
from tulipnotch.load_balancing.metrics.response_times import LOST_REQUEST_OBJECTIVES, ResponseTimes

INITIAL_LIMIT_PER_ENDPOINT = 4.0  # own requests in flight, over all instances, until responses show more
MIN_LIMIT = 0.1  # a few requests are always admitted, so that relief is noticed
MAX_IDLE_OBJECTIVES = 2.0  # longest objectives with nothing in flight after which one request is admitted
UNRESTRICTED_UTILIZATION = 0.7  # up to this part of the limit all are admitted, and the limit does not grow
RESIZE_OBJECTIVES = 0.2  # at twice the target the limit shrinks e-fold in this many longest objectives
MAX_RESIZE_OBJECTIVES = 0.25  # of the longest one, stretched: one response resizes for no more time than this

TARGET_FRACTION = (
    0.15  # of its objective that the typical response may take; beyond that the fleet is overloaded
)
LOW_LOAD_TARGET_FRACTION = (
    0.4  # or this, where so few are in flight that much of the typical response is chance
)
MIN_TARGET_IDLE_FACTOR = 2.0  # but never less than this many times what it takes when the fleet is idle
MAX_TARGET_FRACTION = 0.25  # and never more than this part, or overload would pass for the usual

BUSY_CPU_UTILIZATION = 0.85  # while servers report a lower utilization of their cores, there is capacity


class ConcurrencyLimit:
    """How many own requests may be in flight, by how late responses come."""

    def __init__(self, context: Context, load: Load, response_times: ResponseTimes) -> None:
        """Begin unlimited, until endpoints are known."""
        self._context = context
        self._load = load
        self._response_times = response_times
        self.limit = math.inf
        self.has_rejected = False  # whether it or a service level rejected anything since it was last resized
        self._served_objectives = Rate(context.max_latency_objective_us)  # objectives of what was served
        self._resized_at = 0

    def start(self) -> None:
        """Set the initial limit, as soon as endpoints are known.

        Prevents a start under load from overloading servers before any response arrives.
        """
        ready = self._context.ready_endpoints
        if self.limit == math.inf and ready:
            instance_count = self._context.settings.instance_count
            self.limit = max(INITIAL_LIMIT_PER_ENDPOINT * len(ready) / instance_count, LOW_LOAD)

    def fill(self) -> float:
        """The part of the limit that is in use.

        Where the limit is small, two requests at once are chance and show nothing of the fleet: then the mean
        load counts.
        """
        mean = self._load.mean
        certainty = min(self.limit / LOW_LOAD, 1.0)
        return (mean + certainty * (self._load.current() - mean)) / self.limit

    def is_idle_for_long(self) -> bool:
        """Whether nothing was in flight for so long that a request is admitted to see how the fleet is.

        Prevents rejecting everything for long: without attempts no response shows relief.  Where there are
        many instances for each endpoint, each waits longer.
        """
        instances_per_endpoint = self._context.settings.instance_count / max(
            len(self._context.ready_endpoints), 1
        )
        objective_us = self._context.max_latency_objective_us
        idle_us = MAX_IDLE_OBJECTIVES * objective_us * max(instances_per_endpoint, 1.0)
        return self._context.now - self._load.busy_at >= idle_us

    def response_delivered(self, latency_objective_us: int) -> None:
        """Count a response that was delivered to its client, by its latency objective."""
        self._served_objectives.add(self._context.now, latency_objective_us)

    def request_lost(self) -> None:
        """Count a request lost to overloaded servers or long overdue as a response that is late by far."""
        self.response_took(LOST_REQUEST_OBJECTIVES)

    def request_overdue(self) -> None:
        """Count an attempt as late before any response shows it, when a surge would be noticed too late."""
        if self._response_times.cpu_utilization is not None:
            # Without a response there is no report, so that the reports that do come look too good.
            self._response_times.cpu_utilization_reported(1.0)
        self.request_lost()

    def response_took(self, part: float) -> None:
        """Follow a response that took this part of its objective, and resize the limit."""
        load = self._load.current()
        self._response_times.response_took(
            part, is_unrestricted=load <= UNRESTRICTED_UTILIZATION * self.limit
        )
        self._resize(load)

    def _resize(self, load: int) -> None:
        """Shrink or grow the limit by how far the typical response is from the target.

        By Little's law, serving at the present rate within the target needs rate times time in flight; the
        limit never shrinks below that, or responses that come late would reduce it to nothing.
        """
        now, objective_us = self._context.now, self._context.max_latency_objective_us
        stretch = self._load.stretch()
        elapsed_us = min(now - self._resized_at, stretch * objective_us * MAX_RESIZE_OBJECTIVES)
        self._resized_at = now
        target = self._target(stretch)
        excess = self._excess(target, stretch)
        if excess > 0.0:
            self.limit = min(self.limit, max(load, self._load.mean / UNRESTRICTED_UTILIZATION))
        elif not self.has_rejected:
            return  # nothing shows that it is too small
        self.has_rejected = False
        change = math.exp(-excess * elapsed_us / (RESIZE_OBJECTIVES * objective_us))
        self._served_objectives.set_window(stretch * objective_us)
        served = target * self._served_objectives.per_us(now)
        self.limit = max(self.limit * change, min(served, self.limit), MIN_LIMIT)

    def _target(self, stretch: float) -> float:
        """The part of its objective that the typical response may take.

        The fewer responses there are, the more of the typical one is chance: it must be further off to count.
        """
        target = min(
            max(TARGET_FRACTION, MIN_TARGET_IDLE_FACTOR * self._response_times.idle), MAX_TARGET_FRACTION
        )
        uncertainty = (stretch - 1.0) / (MAX_LOW_LOAD_FACTOR - 1.0)
        return max(target, TARGET_FRACTION + uncertainty * (LOW_LOAD_TARGET_FRACTION - TARGET_FRACTION))

    def _excess(self, target: float, stretch: float) -> float:
        """How far the typical response is above the target, in targets, from -1 to 1.

        Late responses from servers with idle cores show a few slow ones, not too many requests.  A busy
        balancer notices that by itself, and on crowded servers reports would show it too late.
        """
        excess = (self._response_times.typical - target) / target
        cores = self._response_times.cpu_utilization
        if cores is not None and stretch > 1.0:
            excess = min(excess, (cores - BUSY_CPU_UTILIZATION) / (1.0 - BUSY_CPU_UTILIZATION))
        return max(-1.0, min(excess, 1.0))
