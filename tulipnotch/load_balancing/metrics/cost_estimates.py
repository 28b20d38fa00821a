"""Costs: the work that clients hint at, relative to the mean of a class and to the mean of all requests."""

from __future__ import annotations

from collections.abc import Container

from tulipnotch.load_balancing.settings import ServiceClass

CLASS_STEP = 0.02  # the mean cost of a class follows its last fifty hints or so
MEAN_STEP = 0.02  # and so does the mean work of all
MEAN_MOST = 2.0  # one hint counts for at most so many means: a heavy one may come again and again, refused
LIKELY = 2.0  # hints that the likely mean counts for, before there are any


class ClassCosts:
    """The cost of a request relative to the mean of its class."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def keep_classes(self, names: Container[str]) -> None:
        """Keep nothing of other classes."""
        self._means = {name: mean for name, mean in self._means.items() if name in names}

    def relative(self, kind: ServiceClass, cost_us: int | None) -> float:
        """Learn from a hint (None or 0: there is none, and it counts as the mean)."""
        if not cost_us or cost_us < 0:
            return 1.0
        mean = self._means.get(kind.name, float(cost_us))
        self._means[kind.name] = mean + CLASS_STEP * (cost_us - mean)
        return cost_us / mean if mean > 0 else 1.0


class MeanWork:
    """The work of a request relative to the mean of all requests, whatever their class."""

    __slots__ = ("_mean_us", "_weight")

    def __init__(self) -> None:
        self._mean_us = 0.0
        self._weight = 0.0

    def relative(self, work_us: int | None, likely_us: float) -> float:
        """Learn from a hint (us on a standard core; None or 0: there is none, and it counts as the mean).

        `likely_us` is what to take for the mean before any hint; it counts for `LIKELY` hints.  A request is
        compared with those before it: one heavy one among few would pass for a usual one.
        """
        if not work_us or work_us < 0:
            return 1.0
        if self._weight == 0.0:
            self._mean_us, self._weight = max(likely_us, 1.0), LIKELY
        relative = work_us / self._mean_us
        self._weight = min(self._weight + 1.0, 1.0 / MEAN_STEP)
        self._mean_us += (min(work_us, MEAN_MOST * self._mean_us) - self._mean_us) / self._weight
        return relative
