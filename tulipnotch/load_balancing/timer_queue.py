"""Timers: one agenda for everything that falls due, and one timer at a time, for its head."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from tulipnotch.load_balancing.actions import SetTimer

WHOLE_REQUEST = -1  # in place of an attempt: the entry is for the request as a whole
DISCOVERY = -1  # in place of a request, which are never negative: the entry is for a call to discovery
TOKEN = "agenda"  # of the one timer


class TimerEntry(NamedTuple):
    """One thing that falls due; entries are ordered by due time, and then as they were made."""

    due: int
    order: int
    request: int  # or DISCOVERY
    attempt: int  # or WHOLE_REQUEST


class TimerQueue:
    """What falls due when, for requests by number."""

    def __init__(self) -> None:
        self._entries: list[TimerEntry] = []
        self._order = 0
        self._timer_due: int | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def schedule(self, due: int, request: int, attempt: int) -> None:
        """Add an entry."""
        self._order += 1
        heapq.heappush(self._entries, TimerEntry(due, self._order, request, attempt))

    def timer_fired(self, now: int) -> None:
        """The timer is over, unless it was one that an earlier timer replaced."""
        if self._timer_due is not None and now >= self._timer_due:
            self._timer_due = None

    def pop_due(self, now: int) -> TimerEntry | None:
        """Take out the next entry that has fallen due, if there is one."""
        if self._entries and self._entries[0][0] <= now:
            return heapq.heappop(self._entries)
        return None

    def next_timer(self, now: int, is_settled: Callable[[TimerEntry], bool]) -> SetTimer | None:
        """The timer to set, if the one that is set comes too late for the head of the agenda.

        Entries at the head for which nothing would be done are dropped.
        """
        entries = self._entries
        while entries:
            head = entries[0]
            if not is_settled(head):
                if self._timer_due is None or head.due < self._timer_due:
                    self._timer_due = head.due
                    return SetTimer(max(head.due - now, 0), TOKEN)
                return None
            heapq.heappop(entries)
        return None
