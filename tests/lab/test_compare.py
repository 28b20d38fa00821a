"""Differences between two results, and whether they are more than noise."""

from __future__ import annotations

import pytest

from tulipnotch.lab import compare, results


def _result(values: list[float]) -> results.Result:
    runs = [results.Run(seed=n, metrics={"worth": v}, violations={}, series={}) for n, v in enumerate(values)]
    return results.Result(
        scenario="x", about="", time="virtual", policy="module", seconds=1.0, warmup_s=0.0, runs=runs
    )


def test_metric_differences_distinguish_small_difference_from_noise_by_paired_seeds() -> None:
    values = [0.1, 0.5, 0.9, 0.3, 0.7, 0.2]  # vary so much that only pairing shows a small difference
    (difference,) = compare.metric_differences(_result(values), _result([value + 0.01 for value in values]))
    assert difference.conclusion == "higher"
    assert difference.low == pytest.approx(0.01)
    noisy_values = [value + 0.01 * (-1) ** index for index, value in enumerate(values)]
    (noise,) = compare.metric_differences(_result(values), _result(noisy_values))
    assert noise.conclusion == "noise"
    (few_seeds,) = compare.metric_differences(_result(values[:4]), _result(values[:4]))
    assert few_seeds.low is None
    assert "fewer than" in few_seeds.conclusion
