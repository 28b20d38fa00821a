"""Pressure: how much of the concurrency limit is in use, by which service levels are chosen."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pressure:
    """Usage of the concurrency limit; the counts are totals since the start of the process."""

    offered: int  # requests checked against the limit, because no service level rejected them
    rejected: int  # requests that the limit rejected
    # Requests in flight, and those that a service level keeps out, as a fraction of the limit.
    utilization: float
