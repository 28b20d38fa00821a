"""Two results side by side, with an interval for each difference.

Runs with the same seed met the same arrivals, fleet and faults, so differences are taken seed by seed, and
the interval is that of their mean: bootstrap percentiles over 10,000 resamples with a fixed seed (Efron and
Tibshirani, "An Introduction to the Bootstrap", 1993).  Where the interval holds 0, the difference is noise
as far as these seeds tell.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy

from tulipnotch.lab.results import Result

_RESAMPLES = 10_000
_LEAST_SEEDS = 5  # fewer say next to nothing of a spread


@dataclass(frozen=True, slots=True)
class Difference:
    """Of one metric: the means, and the interval of B minus A; None: too few common seeds."""

    metric: str
    a: float
    b: float
    low: float | None
    high: float | None

    @property
    def says(self) -> str:
        if self.low is None or self.high is None:
            return f"fewer than {_LEAST_SEEDS} common seeds"
        if self.low == self.high == 0.0:
            return "same"
        return "noise" if self.low <= 0.0 <= self.high else ("higher" if self.low > 0.0 else "lower")


def differences(a: Result, b: Result, level: float = 0.95) -> list[Difference]:
    """For every metric that both have."""
    seeds = sorted({each.seed for each in a.runs} & {each.seed for each in b.runs})
    by_seed = [{run.seed: run.metrics for run in each.runs} for each in (a, b)]
    metrics = sorted(set(a.runs[0].metrics) & set(b.runs[0].metrics))
    found = []
    chance = numpy.random.default_rng(1)
    places = chance.integers(0, max(len(seeds), 1), (_RESAMPLES, max(len(seeds), 1)))
    for metric in metrics:
        low = high = None
        if len(seeds) >= _LEAST_SEEDS:
            paired = numpy.array([by_seed[1][seed][metric] - by_seed[0][seed][metric] for seed in seeds])
            means = paired[places].mean(axis=1)
            tail = (1.0 - level) / 2.0
            low, high = (float(each) for each in numpy.quantile(means, [tail, 1.0 - tail]))
        found.append(Difference(metric, a.mean(metric), b.mean(metric), low, high))
    return found
