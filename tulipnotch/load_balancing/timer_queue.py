"""Timers: one queue for all that falls due, and one timer at a time, for its head."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from tulipnotch.load_balancing.actions import SetTimer

REQUEST_DEADLINE = -1  # in place of an attempt: the entry is for the request's deadline
DISCOVERY = -1  # in place of a request, which are never negative: the entry is for a poll of discovery
TIMER_TOKEN = "agenda"  # of the one timer; the simulator's lines show it


class TimerEntry(NamedTuple):
    """One thing that falls due; entries are ordered by due time, and then as they were scheduled."""

    due: int
    order: int
    request: int  # or DISCOVERY
    attempt: int  # or REQUEST_DEADLINE


class TimerQueue:
    """What falls due when, for requests by number; due times are clock times in microseconds."""

    def __init__(self) -> None:
        """Begin with nothing scheduled."""
        self._entries: list[TimerEntry] = []
        self._order = 0
        self._timer_due: int | None = None

    def __len__(self) -> int:
        """The number of entries."""
        return len(self._entries)

    def schedule(self, due: int, request: int, attempt: int) -> None:
        """Add an entry."""
        self._order += 1
        heapq.heappush(self._entries, TimerEntry(due, self._order, request, attempt))

    def timer_fired(self, now: int) -> None:
        """Note that the timer has fired, unless it was one that an earlier timer replaced."""
        if self._timer_due is not None and now >= self._timer_due:
            self._timer_due = None

    def pop_due(self, now: int) -> TimerEntry | None:
        """Remove and return the next entry that has fallen due, if there is one."""
        if self._entries and self._entries[0][0] <= now:
            return heapq.heappop(self._entries)
        return None

    def next_timer(self, now: int, is_obsolete: Callable[[TimerEntry], bool]) -> SetTimer | None:
        """The timer to set, if none is set or the one that is set fires too late for the head of the queue.

        Obsolete entries at the head are dropped.
        """
        entries = self._entries
        while entries:
            head = entries[0]
            if not is_obsolete(head):
                if self._timer_due is None or head.due < self._timer_due:
                    self._timer_due = head.due
                    return SetTimer(max(head.due - now, 0), TIMER_TOKEN)
                return None
            heapq.heappop(entries)
        return None
