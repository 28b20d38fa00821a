"""Virtual time: a clock and a heap of scheduled calls.

It replaces simpy because a simulated request is six callbacks here, and a callback costs a third of resuming
one of simpy's generators, which limits the number of simulated requests a second.  Calls due at the same time
run in the order in which they were scheduled, so that a run is a function of its seed.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Engine:
    """Owns the virtual clock and the scheduled calls.

    Attributes:
        now: The virtual time, whole microseconds.
    """

    def __init__(self, now: int = 0) -> None:
        """Starts at this time, with nothing scheduled."""
        self.now = now
        self._scheduled: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0  # orders calls that are due at the same time

    def call_at(self, when: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a call; a time in the past means now, after the calls that are due already."""
        self._sequence += 1
        due_at = when if when > self.now else self.now
        heapq.heappush(self._scheduled, (due_at, self._sequence, callback, args))

    def call_later(self, delay_us: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a call after this delay."""
        self._sequence += 1
        heapq.heappush(self._scheduled, (self.now + delay_us, self._sequence, callback, args))

    def run(self, until: int) -> None:
        """Runs all calls due up to and including this time, and advances the clock to it."""
        scheduled, pop = self._scheduled, heapq.heappop
        while scheduled and scheduled[0][0] <= until:
            self.now, _, callback, args = pop(scheduled)
            callback(*args)
        self.now = max(self.now, until)
