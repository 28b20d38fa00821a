"""Concurrency limit: how many of the balancer's own requests in flight the fleet can serve in time.

The limit follows how much of its latency objective the typical response takes. Above the target the limit
shrinks; below it the limit grows, as long as requests are rejected. Limiting requests in flight rather than
arrivals makes a surge reach the limit at once, and reduces admission by itself when servers get slower.
"""

from __future__ import annotations

import math

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.metrics.load import LOW_LOAD, MAX_LOW_LOAD_FACTOR, Load
from tulipnotch.load_balancing.metrics.rate import Rate
from tulipnotch.load_balancing.metrics.response_times import LOST_REQUEST_OBJECTIVES, ResponseTimes

INITIAL_LIMIT_PER_ENDPOINT = 4.0  # requests in flight from all instances together, until responses show more
MIN_LIMIT = 0.1  # always admits a few requests, so that the end of an overload is noticed
# After this many longest latency objectives with nothing in flight, one request is admitted.
MAX_IDLE_OBJECTIVES = 2.0
# Up to this utilization of the limit all requests are admitted, and the limit does not grow.
UNRESTRICTED_UTILIZATION = 0.7
RESIZE_OBJECTIVES = 0.2  # time constant for shrinking at twice the target, in longest latency objectives
# Upper bound of the elapsed time that one response resizes the limit for, in longest latency objectives times
# the low load factor.
MAX_RESIZE_OBJECTIVES = 0.25

# Target for the typical response, as a fraction of its latency objective; above it, the fleet is overloaded.
TARGET_FRACTION = 0.15
# Target where so few requests are in flight that much of the typical response is random variation.
LOW_LOAD_TARGET_FRACTION = 0.4
MIN_TARGET_IDLE_FACTOR = 2.0  # the target is at least this many times the typical response of an idle fleet
# Upper bound of the target; with a higher one, overload would pass for normal operation.
MAX_TARGET_FRACTION = 0.25

BUSY_CPU_UTILIZATION = 0.85  # while servers report a lower CPU utilization, the fleet has capacity


class ConcurrencyLimit:
    """Limits how many own requests may be in flight, by how late responses come."""

    def __init__(self, context: Context, load: Load, response_times: ResponseTimes) -> None:
        """Starts without a limit, until endpoints are known."""
        self._context = context
        self._load = load
        self._response_times = response_times
        self.limit = math.inf
        # Whether the limit or a service level has rejected a request since the last resize.
        self.has_rejected = False
        # Rate of delivered responses, each weighted by its latency objective.
        self._served_objectives = Rate(context.max_latency_objective_us)
        self._resized_at = 0

    def set_initial_limit(self) -> None:
        """Sets the initial limit, as soon as endpoints are known.

        Prevents a start under load from overloading servers before the first responses arrive.
        """
        ready = self._context.ready_endpoints
        if self.limit == math.inf and ready:
            instance_count = self._context.settings.instance_count
            self.limit = max(INITIAL_LIMIT_PER_ENDPOINT * len(ready) / instance_count, LOW_LOAD)

    def utilization(self) -> float:
        """Returns the fraction of the limit that is in use.

        With a small limit, the number in flight at one instant is mostly random and tells nothing about the
        fleet; then the mean load counts instead.
        """
        mean = self._load.mean
        certainty = min(self.limit / LOW_LOAD, 1.0)
        return (mean + certainty * (self._load.current() - mean)) / self.limit

    def is_idle_too_long(self) -> bool:
        """Returns whether nothing was in flight for so long that one request is admitted to test the fleet.

        Prevents rejecting everything for long: without attempts, no response can show that the overload is
        over. Where there are many instances for each endpoint, each instance waits longer.
        """
        instances_per_endpoint = self._context.settings.instance_count / max(
            len(self._context.ready_endpoints), 1
        )
        objective_us = self._context.max_latency_objective_us
        idle_us = MAX_IDLE_OBJECTIVES * objective_us * max(instances_per_endpoint, 1.0)
        return self._context.now - self._load.last_busy_at >= idle_us

    def response_delivered(self, latency_objective_us: int) -> None:
        """Records a response that was delivered to its client, by its latency objective."""
        self._served_objectives.add(self._context.now, latency_objective_us)

    def request_lost(self) -> None:
        """Counts a request that overloaded servers rejected, or that is overdue, as a very late response."""
        self.record_response_time(LOST_REQUEST_OBJECTIVES)

    def request_overdue(self) -> None:
        """Counts a pending attempt as late; waiting for its response would detect a surge too late."""
        if self._response_times.cpu_utilization is not None:
            # A missing response brings no report, so the reports that do arrive look better than the servers
            # are.
            self._response_times.cpu_utilization_reported(1.0)
        self.request_lost()

    def record_response_time(self, objective_fraction: float) -> None:
        """Records a response that took this fraction of its latency objective, and resizes the limit."""
        load = self._load.current()
        self._response_times.record_response_time(
            objective_fraction, is_unrestricted=load <= UNRESTRICTED_UTILIZATION * self.limit
        )
        self._resize(load)

    def _resize(self, load: int) -> None:
        """Shrinks or grows the limit by the distance of the typical response from the target.

        By Little's law, serving at the present rate within the target needs a concurrency of rate times time
        in flight. The limit never shrinks below that, or late responses would reduce it to nothing.
        """
        now, objective_us = self._context.now, self._context.max_latency_objective_us
        low_load_factor = self._load.low_load_factor()
        elapsed_us = min(now - self._resized_at, low_load_factor * objective_us * MAX_RESIZE_OBJECTIVES)
        self._resized_at = now
        target = self._target(low_load_factor)
        excess = self._excess(target, low_load_factor)
        if excess > 0.0:
            self.limit = min(self.limit, max(load, self._load.mean / UNRESTRICTED_UTILIZATION))
        elif not self.has_rejected:
            return  # no request was rejected, so nothing shows that the limit is too small
        self.has_rejected = False
        resize_factor = math.exp(-excess * elapsed_us / (RESIZE_OBJECTIVES * objective_us))
        self._served_objectives.set_window(low_load_factor * objective_us)
        served_load = target * self._served_objectives.per_us(now)
        self.limit = max(self.limit * resize_factor, min(served_load, self.limit), MIN_LIMIT)

    def _target(self, low_load_factor: float) -> float:
        """Returns the fraction of its latency objective that the typical response may take.

        The fewer responses there are, the more random the typical response is, so the higher the target.
        """
        target = min(
            max(TARGET_FRACTION, MIN_TARGET_IDLE_FACTOR * self._response_times.idle_fraction),
            MAX_TARGET_FRACTION,
        )
        uncertainty = (low_load_factor - 1.0) / (MAX_LOW_LOAD_FACTOR - 1.0)
        return max(target, TARGET_FRACTION + uncertainty * (LOW_LOAD_TARGET_FRACTION - TARGET_FRACTION))

    def _excess(self, target: float, low_load_factor: float) -> float:
        """Returns how far the typical response is above the target, in multiples of the target, from -1 to 1.

        Late responses from servers with idle cores are caused by a few slow servers, not by too many
        requests. Reports count at low load only: a busy balancer can tell this from its responses, and
        reports from crowded servers would show an overload too late.
        """
        excess = (self._response_times.typical_fraction - target) / target
        cpu_utilization = self._response_times.cpu_utilization
        if cpu_utilization is not None and low_load_factor > 1.0:
            excess = min(excess, (cpu_utilization - BUSY_CPU_UTILIZATION) / (1.0 - BUSY_CPU_UTILIZATION))
        return max(-1.0, min(excess, 1.0))
