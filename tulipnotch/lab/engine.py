"""Virtual time: a clock and a heap of calls that are due.

Our own instead of simpy: a request here is six callbacks, and a callback costs a third of resuming one of
simpy's generators, which is what bounds the number of simulated requests a second.  Calls due at the same
time run in the order in which they were planned, so that a run is a function of its seed.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any


class Engine:
    """Time is whole microseconds."""

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self._due: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = 0

    def at(self, when: int, call: Callable[..., None], *given: Any) -> None:
        """Plan a call; a time that has passed means now, after what is due already."""
        self._order += 1
        heapq.heappush(self._due, (when if when > self.now else self.now, self._order, call, given))

    def after(self, wait: int, call: Callable[..., None], *given: Any) -> None:
        self._order += 1
        heapq.heappush(self._due, (self.now + wait, self._order, call, given))

    def run(self, until: int) -> None:
        """Play all that is due up to and including this time."""
        due, pop = self._due, heapq.heappop
        while due and due[0][0] <= until:
            self.now, _, call, given = pop(due)
            call(*given)
        self.now = max(self.now, until)
