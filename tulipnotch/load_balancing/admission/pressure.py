"""How much of the concurrency limit is in use: what service levels are decided by."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pressure:
    """The pressure on the concurrency limit; counts are from the start of the process."""

    offered: int  # requests that reached the limit: those that no service level rejected
    rejected: int  # of these, rejected by it
    utilization: float  # what is in flight, and what a level rejects would add, as a part of the limit
