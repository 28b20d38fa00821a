"""The concurrency limit: how many own requests in flight the fleet serves in time.

It follows how much of its aim the typical answer takes.  Above the allowed level the limit shrinks, below it
grows, as long as it refuses anything.  What is in flight is limited, not arrivals: a surge then meets the
limit at once, and slower servers let in less by themselves.
"""

from __future__ import annotations

import math

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.metrics import response_times as answer_times
from tulipnotch.load_balancing.metrics.load import FEW, LONGEST_STRETCH, Load
from tulipnotch.load_balancing.metrics.rate import Rate
from tulipnotch.load_balancing.metrics.response_times import ResponseTimes

START_LIMIT = 4.0  # own requests in flight for each ready server, over all instances, until answers tell
LEAST_LIMIT = 0.1  # a trickle passes at any time, so that relief is seen
REST_AIMS = 2.0  # longest aims with nothing in flight after which one is let in, whatever the limit
FREE = 0.7  # up to this part of the limit all are let in, and the limit does not grow
RESIZE_AIMS = 0.2  # at twice the level the limit shrinks e-fold in this many of the longest aim
LONGEST_LAPSE = 0.25  # of the longest aim, stretched: one answer resizes for no more time than this

LEVEL = 0.15  # the typical answer may take this part of its aim; beyond that the fleet is overloaded
LEVEL_FEW = 0.4  # or this, where so few are in flight that much of the typical answer is chance
LEVEL_OF_IDLE = 2.0  # but never less than this many times what it takes when the fleet is idle
LEVEL_MOST = 0.25  # and never more than this part of the aim, or overload would pass for the usual

CORES_BUSY = 0.85  # while servers report their cores less busy than this, there is room for more


class ConcurrencyLimit:
    """How many own requests may be in flight, by how late answers come."""

    def __init__(self, context: Context, load: Load, answers: ResponseTimes) -> None:
        self._context = context
        self._load = load
        self._answers = answers
        self.limit = math.inf
        self.has_refused = False  # whether it refused anything since it was last resized
        self._served_aims = Rate(
            context.max_latency_objective_us
        )  # time allowed to what was answered, per time
        self._resized_at = 0

    def start(self) -> None:
        """Set a first limit, as soon as servers are known.

        Prevents a start under load from overloading servers before any answer comes.
        """
        ready = self._context.ready_endpoints
        if self.limit == math.inf and ready:
            self.limit = max(START_LIMIT * len(ready) / self._context.settings.instance_count, FEW)

    def fill(self) -> float:
        """The part of the limit that is taken.

        Where the limit is small, two requests at once are chance and say nothing of the fleet: then the mean
        load counts.
        """
        mean = self._load.mean
        certain = min(self.limit / FEW, 1.0)
        return (mean + certain * (self._load.current() - mean)) / self.limit

    def is_trial_due(self) -> bool:
        """Whether nothing was in flight for so long that a request is let in to see how the fleet is.

        Prevents refusing everything for long: without attempts no answer tells of relief.  Where instances
        are many for the servers, each rests the longer.
        """
        crowding = self._context.settings.instance_count / max(len(self._context.ready_endpoints), 1)
        rest = REST_AIMS * self._context.max_latency_objective_us * max(crowding, 1.0)
        return self._context.now - self._load.busy_at >= rest

    def answer_delivered(self, latency_objective_us: int) -> None:
        """Count an answer that served its client, by the time that it was allowed."""
        self._served_aims.add(self._context.now, latency_objective_us)

    def request_lost(self) -> None:
        """Count a request lost to full servers or long overdue as an answer that is late by far."""
        self.answer_took(answer_times.LOST)

    def request_overdue(self) -> None:
        """Count an attempt as late before any answer says so: by then a surge would be seen too late."""
        if self._answers.cores is not None:
            self._answers.cores_reported(1.0)  # no answer, no report: reports alone would look too good
        self.request_lost()

    def answer_took(self, part: float) -> None:
        """Follow an answer that took this part of its aim, and resize the limit."""
        load = self._load.current()
        self._answers.answered(part, load <= FREE * self.limit)
        self._resize(load)

    def _resize(self, load: int) -> None:
        """Shrink or grow the limit by how far the typical answer is from the allowed level.

        By Little's law, what is answered at this rate within the allowed level needs rate times time in
        flight; the limit never shrinks below that, or answers that come late would shut it.
        """
        now, max_latency_objective_us = self._context.now, self._context.max_latency_objective_us
        stretch = self._load.stretch()
        lapse = min(now - self._resized_at, stretch * max_latency_objective_us * LONGEST_LAPSE)
        self._resized_at = now
        level = self._level(stretch)
        excess = self._excess(level, stretch)
        if excess > 0.0:
            self.limit = min(self.limit, max(load, self._load.mean / FREE))
        elif not self.has_refused:
            return  # nothing says that it is too small
        self.has_refused = False
        change = math.exp(-excess * lapse / (RESIZE_AIMS * max_latency_objective_us))
        self._served_aims.over(stretch * max_latency_objective_us)
        served = level * self._served_aims.per_us(now)
        self.limit = max(self.limit * change, min(served, self.limit), LEAST_LIMIT)

    def _level(self, stretch: float) -> float:
        """The part of its aim that the typical answer may take.

        The fewer answers there are, the more of the typical one is chance: it must be further off to count.
        """
        level = min(max(LEVEL, LEVEL_OF_IDLE * self._answers.idle), LEVEL_MOST)
        chance = (stretch - 1.0) / (LONGEST_STRETCH - 1.0)
        return max(level, LEVEL + chance * (LEVEL_FEW - LEVEL))

    def _excess(self, level: float, stretch: float) -> float:
        """How far the typical answer is above the level, in levels, from -1 to 1.

        Late answers from servers with idle cores tell of a few slow ones, not of too many requests.  A busy
        balancer sees so by itself, and on crowded servers reports would tell it too late.
        """
        excess = (self._answers.typical - level) / level
        cores = self._answers.cores
        if cores is not None and stretch > 1.0:
            excess = min(excess, (cores - CORES_BUSY) / (1.0 - CORES_BUSY))
        return max(-1.0, min(excess, 1.0))
