"""Differences between two results, and whether they are more than noise."""

from __future__ import annotations

import pytest

from tulipnotch.lab import compare, results


def _result(values: list[float]) -> results.Result:
    runs = [results.Run(seed=n, metrics={"worth": v}, violations={}, series={}) for n, v in enumerate(values)]
    return results.Result(
        scenario="x", about="", time="virtual", policy="module", seconds=1.0, warmup_s=0.0, runs=runs
    )


def test_differences_distinguish_from_noise_by_paired_seeds() -> None:
    seeds = [0.1, 0.5, 0.9, 0.3, 0.7, 0.2]  # far apart, so that only pairing shows a small difference
    (real,) = compare.metric_differences(_result(seeds), _result([value + 0.01 for value in seeds]))
    assert real.conclusion == "higher"
    assert real.low == pytest.approx(0.01)
    noisy = [value + 0.01 * (-1) ** index for index, value in enumerate(seeds)]
    (noise,) = compare.metric_differences(_result(seeds), _result(noisy))
    assert noise.conclusion == "noise"
    (few,) = compare.metric_differences(_result(seeds[:4]), _result(seeds[:4]))
    assert few.low is None
    assert "fewer than" in few.conclusion
