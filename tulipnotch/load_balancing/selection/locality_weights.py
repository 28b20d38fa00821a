"""Locality weights: endpoints in other zones are sampled less while the own zone is as fast as theirs.

Saves cross-zone traffic without overloading a zone that has more traffic than capacity: as the own zone gets
slower than the others, or responses come late anywhere, the weights become equal.
"""

from __future__ import annotations

from tulipnotch.load_balancing.admission.concurrency_limit import UNRESTRICTED_UTILIZATION, ConcurrencyLimit
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.metrics.latency import zone_slowdown
from tulipnotch.load_balancing.metrics.response_times import ResponseTimes

MIN_REMOTE_WEIGHT = 0.25  # weight of an endpoint in another zone while the own zone is as fast

# All zones have equal weights under any of these conditions.
EQUAL_WEIGHT_SLOWDOWN = 0.3  # the own zone is slower than the others by this much, by latency ratio
EQUAL_WEIGHT_TYPICAL_FRACTION = 0.12  # the typical response takes twice this fraction of its objective
EQUAL_WEIGHT_LATE_FRACTION = 0.05  # this fraction of the responses is late


class LocalityWeights:
    """Computes the weight of endpoints in other zones."""

    def __init__(self, context: Context, response_times: ResponseTimes, limit: ConcurrencyLimit) -> None:
        """Starts with equal weights."""
        self._context = context
        self._response_times = response_times
        self._limit = limit
        self._remote_weight = 1.0  # as of `_remote_weight_at`
        self._remote_weight_at = -1
        self.remote_fraction = 0.0  # fraction of the ready endpoints that are in other zones

    def settings_changed(self) -> None:
        """Discards the computed weight, which may change even within the same instant."""
        self._remote_weight_at = -1

    def endpoints_updated(self) -> None:
        """Updates the fraction of the ready endpoints that are in other zones."""
        ready = self._context.ready_endpoints
        zone = self._context.settings.zone
        self.remote_fraction = sum(each.zone != zone for each in ready) / max(len(ready), 1)

    def remote_weight(self) -> float:
        """Returns the weight of an endpoint in another zone; computes it once for each instant."""
        if self._remote_weight_at != self._context.now:
            self._remote_weight_at, self._remote_weight = self._context.now, self._current_weight()
        return self._remote_weight

    def _current_weight(self) -> float:
        if self._context.settings.cost_weights.cross_zone <= 0.0:
            return 1.0
        if (
            self._response_times.late_fraction >= EQUAL_WEIGHT_LATE_FRACTION
            or self._limit.utilization() > UNRESTRICTED_UTILIZATION
        ):
            return 1.0  # capacity in any zone is worth more than the cost of cross-zone traffic
        slowdown = zone_slowdown(self._context.ready_endpoints, self._context.settings.zone)
        if slowdown is None:
            return 1.0
        typical_excess = (
            self._response_times.typical_fraction - EQUAL_WEIGHT_TYPICAL_FRACTION
        ) / EQUAL_WEIGHT_TYPICAL_FRACTION
        return max(MIN_REMOTE_WEIGHT, min(max(slowdown / EQUAL_WEIGHT_SLOWDOWN, typical_excess), 1.0))
