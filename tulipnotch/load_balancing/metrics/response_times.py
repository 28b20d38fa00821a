"""Response times: how much of its latency objective the typical response takes, now and in an idle fleet."""

from __future__ import annotations

import math

from tulipnotch.load_balancing.metrics.load import Load

TYPICAL_STEP = 0.06  # geometric moving average of the typical response: about the last fifteen responses
MAX_TYPICAL_FRACTION = 1.0  # upper bound of the typical fraction; a higher one would delay recovery
# Lower bound of the measured fraction; faster responses carry no further information.
MIN_RESPONSE_FRACTION = 0.02
LOST_REQUEST_OBJECTIVES = 2.0  # objectives that a request without a response in time counts as: very late
LATE_STEP = 0.02  # moving average of the late fraction: about the last fifty responses
IDLE_INCREASE = 0.0008  # amount by which the idle fraction may rise at each response
IDLE_INCREASE_LOADED = 0.00008  # amount by which it may rise at each response while requests are rejected
MIN_IDLE_FRACTION = 0.04  # idle fractions below this are treated alike
CPU_UTILIZATION_STEP = 0.1  # moving average of the CPU utilization: about the last ten reports


class ResponseTimes:
    """Measures how busy the fleet is, by responses and by load reports from servers."""

    def __init__(self, load: Load, max_first_fraction: float) -> None:
        """Starts with no responses; the first sets the typical fraction, to at most `max_first_fraction`."""
        self._load = load
        self._max_first_fraction = max_first_fraction
        self.typical_fraction = 0.0  # fraction of its objective that the typical response takes
        self.late_fraction = 0.0  # fraction of the responses that come after their objective
        self.idle_fraction = 0.0  # recent minimum of the typical fraction
        # CPU utilization of servers, from 0 to 1; None: not reported.
        self.cpu_utilization: float | None = None
        self._has_response = False

    def reset_cpu_utilization(self) -> None:
        """Drops the reported CPU utilization, because servers do not report it any more."""
        self.cpu_utilization = None

    def cpu_utilization_reported(self, utilization: float) -> None:
        """Updates the CPU utilization with a server's report, from 0 to 1."""
        self.cpu_utilization = (
            utilization
            if self.cpu_utilization is None
            else self.cpu_utilization + CPU_UTILIZATION_STEP * (utilization - self.cpu_utilization)
        )

    def record_response_time(self, objective_fraction: float, *, is_unrestricted: bool) -> None:
        """Records a response that took this fraction of its latency objective.

        `is_unrestricted` tells whether all requests are admitted now. The typical fraction is a geometric
        mean, so that one heavy request or slow server changes it little, and a larger change needs more
        evidence. Prevents small balancers, whose few responses are mostly random variation, from detecting an
        overload in it.
        """
        if not self._has_response:
            self._has_response = True
            self.typical_fraction = self.idle_fraction = min(objective_fraction, self._max_first_fraction)
        low_load_factor = self._load.low_load_factor()
        previous = max(self.typical_fraction, MIN_RESPONSE_FRACTION)
        ratio = max(min(objective_fraction, LOST_REQUEST_OBJECTIVES), MIN_RESPONSE_FRACTION) / previous
        self.typical_fraction = min(
            previous * math.pow(ratio, low_load_factor * TYPICAL_STEP), MAX_TYPICAL_FRACTION
        )
        self.late_fraction += (
            low_load_factor * LATE_STEP * ((1.0 if objective_fraction > 1.0 else 0.0) - self.late_fraction)
        )
        increase = IDLE_INCREASE if is_unrestricted else IDLE_INCREASE_LOADED
        self.idle_fraction = min(self.idle_fraction + increase, max(self.typical_fraction, MIN_IDLE_FRACTION))
