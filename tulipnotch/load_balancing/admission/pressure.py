"""How much of the concurrency limit is in use: what a service level is decided by."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pressure:
    """How pressed the window is; counts are from the start of the process."""

    offered: int  # requests that came to the window: those that no service level kept out
    rejected: int  # of these, refused by it
    utilization: float  # what is in flight, and what a level keeps out would add, as a part of the window
