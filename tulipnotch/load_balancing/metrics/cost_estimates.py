"""Costs: the work that clients estimate, relative to the mean of a class and to the mean of all requests."""

from __future__ import annotations

from collections.abc import Container

from tulipnotch.load_balancing.settings import ServiceClass

CLASS_MEAN_STEP = 0.02  # the mean cost of a class follows its last fifty estimates or so
WORK_MEAN_STEP = 0.02  # and so does the mean work of all
MAX_ESTIMATE_MEANS = 2.0  # one estimate counts for at most so many: a heavy request may be retried many times
PRIOR_ESTIMATES = 2.0  # estimates that the likely mean counts for, before there are any


class ClassCosts:
    """The cost of a request relative to the mean of its class."""

    def __init__(self) -> None:
        """Begin with no estimate seen."""
        self._means: dict[str, float] = {}

    def retain_classes(self, names: Container[str]) -> None:
        """Drop what was learnt of other classes."""
        self._means = {name: mean for name, mean in self._means.items() if name in names}

    def relative_cost(self, service_class: ServiceClass, cost_us: int | None) -> float:
        """Learn from an estimate (None or 0: there is none, and it counts as the mean)."""
        if not cost_us or cost_us < 0:
            return 1.0
        mean_us = self._means.get(service_class.name, float(cost_us))
        self._means[service_class.name] = mean_us + CLASS_MEAN_STEP * (cost_us - mean_us)
        return cost_us / mean_us if mean_us > 0 else 1.0


class MeanWork:
    """The work of a request relative to the mean of all requests, whatever their class."""

    __slots__ = ("_estimate_count", "_mean_us")

    def __init__(self) -> None:
        """Begin with no estimate seen."""
        self._mean_us = 0.0
        self._estimate_count = 0.0

    def relative_work(self, work_us: int | None, assumed_mean_us: float) -> float:
        """Learn from an estimate in microseconds on a standard core (None or 0: none, counts as the mean).

        `assumed_mean_us` is what to take for the mean before any estimate; it counts for `PRIOR_ESTIMATES` of them.
        A request is compared with those before it: one heavy one among few would pass for a usual one.
        """
        if not work_us or work_us < 0:
            return 1.0
        if self._estimate_count == 0.0:
            self._mean_us, self._estimate_count = max(assumed_mean_us, 1.0), PRIOR_ESTIMATES
        relative = work_us / self._mean_us
        self._estimate_count = min(self._estimate_count + 1.0, 1.0 / WORK_MEAN_STEP)
        self._mean_us += (
            min(work_us, MAX_ESTIMATE_MEANS * self._mean_us) - self._mean_us
        ) / self._estimate_count
        return relative
