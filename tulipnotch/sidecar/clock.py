"""Clock of the sidecar: Unix time that advances monotonically."""

from __future__ import annotations

import time


class Clock:
    """Reads Unix time once; from then on only the monotonic clock advances it.

    Its values can be compared with the start times of servers, and a step of the system's wall clock affects
    no timer and no deadline.
    """

    def __init__(self) -> None:
        """Reads the system's wall clock, which is not read again."""
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Returns the time in whole microseconds; it never decreases."""
        return (time.monotonic_ns() + self._offset_ns) // 1_000
