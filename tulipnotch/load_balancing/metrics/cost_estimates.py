"""Cost estimates: the work that clients estimate, relative to the mean of a class and of all requests."""

from __future__ import annotations

from collections.abc import Container

from tulipnotch.load_balancing.settings import ServiceClass

CLASS_MEAN_STEP = 0.02  # moving average of the cost of a class: about its last fifty estimates
WORK_MEAN_STEP = 0.02  # moving average of the work of all requests: about the last fifty estimates
# One estimate counts for at most this many means, because a heavy request may be retried many times.
MAX_ESTIMATE_MEANS = 2.0
PRIOR_ESTIMATES = 2.0  # number of estimates that the initially assumed mean counts for


class ClassCosts:
    """Computes the cost of a request relative to the mean of its class."""

    def __init__(self) -> None:
        """Starts with no estimates."""
        self._means: dict[str, float] = {}

    def retain_classes(self, names: Container[str]) -> None:
        """Drops the means of classes that are not in `names`."""
        self._means = {name: mean for name, mean in self._means.items() if name in names}

    def relative_cost(self, service_class: ServiceClass, cost_us: int | None) -> float:
        """Returns the relative cost, 1 without an estimate (None or 0); updates the mean of the class."""
        if not cost_us or cost_us < 0:
            return 1.0
        mean_us = self._means.get(service_class.name, float(cost_us))
        self._means[service_class.name] = mean_us + CLASS_MEAN_STEP * (cost_us - mean_us)
        return cost_us / mean_us if mean_us > 0 else 1.0


class MeanWork:
    """Computes the work of a request relative to the mean of all requests, whatever their class."""

    __slots__ = ("_estimate_count", "_mean_us")

    def __init__(self) -> None:
        """Starts with no estimates."""
        self._mean_us = 0.0
        self._estimate_count = 0.0

    def relative_work(self, work_us: int | None, assumed_mean_us: float) -> float:
        """Returns the relative work, 1 without an estimate (None or 0); updates the mean.

        Estimates are in microseconds on a standard core. `assumed_mean_us` is the mean before any estimate;
        it counts for `PRIOR_ESTIMATES` of them. A request is compared only with those before it; otherwise a
        heavy one among few would look like a typical one.
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
