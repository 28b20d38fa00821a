"""The subset: how many servers of the list a balancer sends to."""

from __future__ import annotations

SUBSET_LEAST = 4.0  # servers that an idle balancer draws from: a choice, yet few enough to know them
SUBSET_PER_BUSY = 1.0  # and so many more for each request in flight: as many again may be empty


def subset_size(mean_load: float) -> int:
    """How many servers a balancer draws from whose own requests in flight are so many on average."""
    return int(SUBSET_LEAST + SUBSET_PER_BUSY * mean_load)
