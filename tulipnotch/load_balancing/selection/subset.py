"""The subset: how many endpoints of the list a balancer sends to."""

from __future__ import annotations

MIN_SUBSET_SIZE = 4.0  # endpoints of an idle balancer: a choice, yet few enough to learn of each
SUBSET_PER_IN_FLIGHT = 1.0  # and so many more for each request in flight: as many again may be idle


def subset_size(mean_load: float) -> int:
    """The number of endpoints that a balancer draws from with so many own requests in flight on average."""
    return int(MIN_SUBSET_SIZE + SUBSET_PER_IN_FLIGHT * mean_load)
