"""Timer queue: holds all scheduled entries, and has one timer set at a time, for the earliest entry."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import NamedTuple

from tulipnotch.load_balancing.actions import SetTimer

REQUEST_DEADLINE = -1  # takes the place of an attempt's index: the entry is for the request's deadline
DISCOVERY = -1  # takes the place of a request id, which is never negative: the entry is for a discovery poll
TIMER_TOKEN = "agenda"  # token of the only timer; it appears in the simulator's protocol


class TimerEntry(NamedTuple):
    """A scheduled entry; entries are ordered by due time, then in the order in which they were scheduled."""

    due_at: int
    sequence: int
    request: int  # id of the request, or DISCOVERY
    attempt: int  # index of the attempt, or REQUEST_DEADLINE


class TimerQueue:
    """Queue of deadlines, attempt checks and discovery polls; due times are clock times in microseconds."""

    def __init__(self) -> None:
        """Starts with nothing scheduled."""
        self._entries: list[TimerEntry] = []
        self._sequence = 0
        self._timer_due_at: int | None = None

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    def schedule(self, due_at: int, request: int, attempt: int) -> None:
        """Adds an entry."""
        self._sequence += 1
        heapq.heappush(self._entries, TimerEntry(due_at, self._sequence, request, attempt))

    def timer_fired(self, now: int) -> None:
        """Records that the timer has fired; ignores a timer that was replaced by an earlier one."""
        if self._timer_due_at is not None and now >= self._timer_due_at:
            self._timer_due_at = None

    def pop_due(self, now: int) -> TimerEntry | None:
        """Removes and returns the next entry that is due; None if there is none."""
        if self._entries and self._entries[0][0] <= now:
            return heapq.heappop(self._entries)
        return None

    def next_timer(self, now: int, is_obsolete: Callable[[TimerEntry], bool]) -> SetTimer | None:
        """Returns the timer to set; None if nothing is scheduled, or the timer that is set fires in time.

        Drops obsolete entries at the head of the queue.
        """
        entries = self._entries
        while entries:
            head = entries[0]
            if not is_obsolete(head):
                if self._timer_due_at is None or head.due_at < self._timer_due_at:
                    self._timer_due_at = head.due_at
                    return SetTimer(max(head.due_at - now, 0), TIMER_TOKEN)
                return None
            heapq.heappop(entries)
        return None
