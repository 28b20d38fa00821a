"""The sidecar's clock."""

from __future__ import annotations

import time


class Clock:
    """Whole microseconds of Unix time, read once; from there on only the monotonic clock advances it.

    Servers' start times compare with it, and no step of the system's clock affects a timer or a deadline.
    """

    def __init__(self) -> None:
        """Reads the system's clock, for the only time."""
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """Clock time (us); it never goes back."""
        return (time.monotonic_ns() + self._offset_ns) // 1_000
