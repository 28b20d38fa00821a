"""Subset: how many endpoints of the list a balancer sends requests to."""

from __future__ import annotations

MIN_SUBSET_SIZE = 4.0  # endpoints of an idle balancer; enough for a choice, few enough to measure each
SUBSET_PER_IN_FLIGHT = 1.0  # more endpoints for each request in flight, so that as many again may be idle


def subset_size(mean_load: float) -> int:
    """Returns the size of the subset for this many own requests in flight on average."""
    return int(MIN_SUBSET_SIZE + SUBSET_PER_IN_FLIGHT * mean_load)
