"""Zone weights: servers of other zones are drawn less while the own zone is as quick as theirs.

Saves crossings without overloading a zone that has more traffic than servers: as the own zone falls behind,
or answers come late anywhere, the weights even out.
"""

from __future__ import annotations

from tulipnotch.load_balancing.admission.concurrency_limit import FREE, ConcurrencyLimit
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.metrics.latency import zone_lag
from tulipnotch.load_balancing.metrics.response_times import ResponseTimes

REMOTE_LEAST = 0.25  # weight of a server in another zone while the own zone is as quick
EVEN_LAG = 0.3  # the own zone this far behind the others by latency ratio, all zones are drawn alike
EVEN_TYPICAL = 0.12  # or the typical answer at twice this part of its aim
EVEN_LATE = 0.05  # or this part of the answers late


class LocalityWeights:
    """The weight of servers in other zones."""

    def __init__(self, context: Context, answers: ResponseTimes, limit: ConcurrencyLimit) -> None:
        self._context = context
        self._answers = answers
        self._limit = limit
        self._remote = 1.0  # weight of a server in another zone, as of _remote_at
        self._remote_at = -1
        self.far_part = 0.0  # part of the ready servers that are in other zones

    def settings_changed(self) -> None:
        """Weigh again, even within the same instant."""
        self._remote_at = -1

    def servers_listed(self) -> None:
        """Count the ready servers that are in other zones."""
        ready = self._context.ready_endpoints
        zone = self._context.settings.zone
        self.far_part = sum(each.zone != zone for each in ready) / max(len(ready), 1)

    def remote(self) -> float:
        """The weight of a server in another zone, worked out once for each instant."""
        if self._remote_at != self._context.now:
            self._remote_at, self._remote = self._context.now, self._weigh()
        return self._remote

    def _weigh(self) -> float:
        if self._context.settings.cost_weights.cross_zone <= 0.0:
            return 1.0
        if self._answers.late >= EVEN_LATE or self._limit.fill() > FREE:
            return 1.0  # room anywhere is worth more than a crossing
        lag = zone_lag(self._context.ready_endpoints, self._context.settings.zone)
        if lag is None:
            return 1.0
        loaded = (
            self._answers.typical - EVEN_TYPICAL
        ) / EVEN_TYPICAL  # the busier, the less uneven zones may be
        return max(REMOTE_LEAST, min(max(lag / EVEN_LAG, loaded), 1.0))
