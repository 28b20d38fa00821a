"""Rates with exponential decay."""

from __future__ import annotations

import math


class Rate:
    """A rate in which past events decay exponentially; the window is the time constant."""

    __slots__ = ("_count", "_updated_at", "_window_us")

    def __init__(self, window_us: float) -> None:
        """Starts at 0."""
        self._window_us = window_us
        self._count = 0.0
        self._updated_at = 0

    def set_window(self, window_us: float) -> None:
        """Changes the window; keeps the current rate."""
        self._count *= window_us / self._window_us
        self._window_us = window_us

    def add(self, now: int, amount: float) -> None:
        """Adds an amount at clock time `now`, in microseconds."""
        self._decay(now)
        self._count += amount

    def per_us(self, now: int) -> float:
        """Returns the amount per microsecond, as of `now`."""
        self._decay(now)
        return self._count / self._window_us

    def _decay(self, now: int) -> None:
        if now > self._updated_at:
            self._count *= math.exp((self._updated_at - now) / self._window_us)
            self._updated_at = now
