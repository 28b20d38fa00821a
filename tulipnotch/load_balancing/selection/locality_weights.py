"""Locality weights: endpoints of other zones are drawn less while the own zone is as quick as theirs.

Saves cross-zone traffic without overloading a zone that has more traffic than servers: as the own zone falls
behind, or responses come late anywhere, the weights even out.
"""

from __future__ import annotations

from tulipnotch.load_balancing.admission.concurrency_limit import UNRESTRICTED_UTILIZATION, ConcurrencyLimit
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.metrics.latency import zone_slowdown
from tulipnotch.load_balancing.metrics.response_times import ResponseTimes

MIN_REMOTE_WEIGHT = 0.25  # of an endpoint in another zone, while the own zone is as quick
EQUAL_WEIGHT_SLOWDOWN = (
    0.3  # with the own zone this far behind the others by latency ratio, all zones are drawn alike
)
EQUAL_WEIGHT_TYPICAL_FRACTION = 0.12  # or with the typical response at twice this part of its objective
EQUAL_WEIGHT_LATE_FRACTION = 0.05  # or with this part of the responses late


class LocalityWeights:
    """The weight of endpoints in other zones."""

    def __init__(self, context: Context, response_times: ResponseTimes, limit: ConcurrencyLimit) -> None:
        """Begin with equal weights."""
        self._context = context
        self._response_times = response_times
        self._limit = limit
        self._remote_weight = 1.0  # as of _remote_weight_at
        self._remote_weight_at = -1
        self.remote_fraction = 0.0  # part of the ready endpoints that are in other zones

    def settings_changed(self) -> None:
        """Compute the weight again, even within the same instant."""
        self._remote_weight_at = -1

    def endpoints_updated(self) -> None:
        """Count the ready endpoints that are in other zones."""
        ready = self._context.ready_endpoints
        zone = self._context.settings.zone
        self.remote_fraction = sum(each.zone != zone for each in ready) / max(len(ready), 1)

    def remote_weight(self) -> float:
        """The weight of an endpoint in another zone, computed once for each instant."""
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
            return 1.0  # capacity anywhere is worth more than the cost of another zone
        slowdown = zone_slowdown(self._context.ready_endpoints, self._context.settings.zone)
        if slowdown is None:
            return 1.0
        typical_excess = (
            self._response_times.typical_fraction - EQUAL_WEIGHT_TYPICAL_FRACTION
        ) / EQUAL_WEIGHT_TYPICAL_FRACTION
        return max(MIN_REMOTE_WEIGHT, min(max(slowdown / EQUAL_WEIGHT_SLOWDOWN, typical_excess), 1.0))
