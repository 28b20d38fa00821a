"""Answer times: how much of its aim the typical answer takes, now and when the fleet is idle."""

from __future__ import annotations

import math

from tulipnotch.load_balancing.metrics.load import Load

TYPICAL_STEP = 0.06  # the typical answer is the geometric mean of the last fifteen or so
TYPICAL_MOST = 1.0  # it is not followed past the aim: from there it must recover
ANSWER_LEAST = 0.02  # of the aim; what is quicker says nothing more
LOST = 2.0  # what a request lost to full servers or long overdue counts as, in aims: late by far
LATE_STEP = 0.02  # the part that is late is one of the last fifty answers or so
IDLE_RISE = 0.0008  # the idle time may rise by this part of the aim at each answer
IDLE_RISE_LOADED = 0.00008  # and hardly while requests are refused
IDLE_LEAST = 0.04  # part of the aim below which idle times are taken alike
CORES_STEP = 0.1  # of the last ten reports or so


class ResponseTimes:
    """What answers and servers' reports say of how busy the fleet is."""

    def __init__(self, load: Load, first_most: float) -> None:
        """The first answer is taken for typical up to `first_most` of its aim."""
        self._load = load
        self._first_most = first_most
        self.typical = 0.0  # the part of its aim that the typical answer takes
        self.late = 0.0  # the part of the answers that come after their aim
        self.idle = 0.0  # the least that the typical answer has taken of late
        self.cores: float | None = None  # how busy servers report their cores; None: not at all
        self._has_begun = False

    def forget_cores(self) -> None:
        """Servers report their cores no longer: what they said last would count for ever."""
        self.cores = None

    def cores_reported(self, busy: float) -> None:
        """Follow a report of how busy a server's cores are, from 0 to 1."""
        self.cores = busy if self.cores is None else self.cores + CORES_STEP * (busy - self.cores)

    def answered(self, part: float, is_free: bool) -> None:
        """Follow an answer that took this part of its aim; `is_free`: no request is refused just now.

        A geometric mean: one heavy request or slow server moves it little; the further the usual is from
        what was typical, the more evidence it takes.  Prevents small balancers, whose few answers are mostly
        chance, from taking chance for overload.
        """
        if not self._has_begun:
            self._has_begun = True
            self.typical = self.idle = min(part, self._first_most)
        stretch = self._load.stretch()
        before = max(self.typical, ANSWER_LEAST)
        ratio = max(min(part, LOST), ANSWER_LEAST) / before
        self.typical = min(before * math.pow(ratio, stretch * TYPICAL_STEP), TYPICAL_MOST)
        self.late += stretch * LATE_STEP * ((1.0 if part > 1.0 else 0.0) - self.late)
        rise = IDLE_RISE if is_free else IDLE_RISE_LOADED
        self.idle = min(self.idle + rise, max(self.typical, IDLE_LEAST))
