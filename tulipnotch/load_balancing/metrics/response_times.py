"""Response times: how much of its objective the typical response takes, now and when the fleet is idle."""

from __future__ import annotations

import math

from tulipnotch.load_balancing.metrics.load import Load

TYPICAL_STEP = 0.06  # the typical response is the geometric mean of the last fifteen or so
MAX_TYPICAL_FRACTION = 1.0  # it is not followed past the objective: from there it must recover
MIN_RESPONSE_FRACTION = 0.02  # of the objective; what is quicker shows nothing more
LOST_REQUEST_OBJECTIVES = 2.0  # what a request that got no response in time counts as: late by far
LATE_STEP = 0.02  # the part that is late is one of the last fifty responses or so
IDLE_INCREASE = 0.0008  # the idle time may rise by this part of the objective at each response
IDLE_INCREASE_LOADED = 0.00008  # and by this one while requests are rejected
MIN_IDLE_FRACTION = 0.04  # part of the objective below which idle times are treated alike
CPU_UTILIZATION_STEP = 0.1  # of the last ten reports or so


class ResponseTimes:
    """What responses and servers' reports show of how busy the fleet is."""

    def __init__(self, load: Load, max_first_fraction: float) -> None:
        """The first response is taken for typical up to `max_first_fraction` of its objective."""
        self._load = load
        self._max_first_fraction = max_first_fraction
        self.typical_fraction = 0.0  # the part of its objective that the typical response takes
        self.late_fraction = 0.0  # the part of the responses that come after their objective
        self.idle_fraction = 0.0  # the least that the typical response has lately taken
        self.cpu_utilization: float | None = (
            None  # utilization of servers' cores, from 0 to 1; None: not reported
        )
        self._has_response = False

    def reset_cpu_utilization(self) -> None:
        """Drop the last reports of core utilization, as servers send none any more."""
        self.cpu_utilization = None

    def cpu_utilization_reported(self, utilization: float) -> None:
        """Follow a report of how busy a server's cores are, from 0 to 1."""
        self.cpu_utilization = (
            utilization
            if self.cpu_utilization is None
            else self.cpu_utilization + CPU_UTILIZATION_STEP * (utilization - self.cpu_utilization)
        )

    def record_response_time(self, objective_fraction: float, *, is_unrestricted: bool) -> None:
        """Follow a response that took this part of its objective; `is_unrestricted`: nothing is rejected now.

        A geometric mean: one heavy request or slow server moves it little; the further the usual is from
        what was typical, the more evidence it takes.  Prevents small balancers, whose few responses are
        mostly chance, from taking chance for overload.
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
