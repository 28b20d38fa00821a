"""Compares two results metric by metric, with a confidence interval for each difference.

Runs with the same seed have the same arrivals, fleet and faults, so differences are taken seed by seed, and
the interval is that of their mean: bootstrap percentiles over 10,000 resamples with a fixed seed (Efron and
Tibshirani, "An Introduction to the Bootstrap", 1993).  A difference whose interval contains 0 is not
distinguished from noise by these seeds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum, unique

import numpy

from tulipnotch.lab.results import Result

_RESAMPLES = 10_000
_MIN_SEEDS = 5  # fewer give no useful estimate of the variance


@unique
class Conclusion(StrEnum):
    """What the seeds show about a difference; the values are part of the command line's output."""

    TOO_FEW_SEEDS = f"fewer than {_MIN_SEEDS} common seeds"
    SAME = "same"
    NOISE = "noise"
    HIGHER = "higher"
    LOWER = "lower"


@dataclass(frozen=True, slots=True)
class Difference:
    """The difference of one metric between results A and B.

    The names of the fields are keys of the command line's output.

    Attributes:
        metric: The metric's name.
        a: The mean over the runs of A.
        b: The mean over the runs of B.
        low: The lower bound of the interval of B minus A; None with too few common seeds.
        high: Its upper bound; None with too few common seeds.
    """

    metric: str
    a: float
    b: float
    low: float | None
    high: float | None

    @property
    def conclusion(self) -> Conclusion:
        """What the seeds show about B compared with A."""
        if self.low is None or self.high is None:
            return Conclusion.TOO_FEW_SEEDS
        if self.low == self.high == 0.0:
            return Conclusion.SAME
        if self.low <= 0.0 <= self.high:
            return Conclusion.NOISE
        return Conclusion.HIGHER if self.low > 0.0 else Conclusion.LOWER


def metric_differences(a: Result, b: Result, level: float = 0.95) -> list[Difference]:
    """Returns the difference of every metric that both results have.

    Args:
        a: The base of the comparison.
        b: What is compared with it.
        level: The confidence level of the intervals.
    """
    seeds = sorted({run.seed for run in a.runs} & {run.seed for run in b.runs})
    metrics_a, metrics_b = ({run.seed: run.metrics for run in result.runs} for result in (a, b))
    generator = numpy.random.default_rng(1)
    resamples = generator.integers(0, max(len(seeds), 1), (_RESAMPLES, max(len(seeds), 1)))
    tail = (1.0 - level) / 2.0
    differences = []
    for metric in sorted(set(a.runs[0].metrics) & set(b.runs[0].metrics)):
        low = high = None
        if len(seeds) >= _MIN_SEEDS:
            paired = numpy.array([metrics_b[seed][metric] - metrics_a[seed][metric] for seed in seeds])
            means = paired[resamples].mean(axis=1)
            low, high = (float(bound) for bound in numpy.quantile(means, [tail, 1.0 - tail]))
        differences.append(Difference(metric, a.mean(metric), b.mean(metric), low, high))
    return differences
