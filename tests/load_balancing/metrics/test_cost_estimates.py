"""Cost estimates: the work of requests relative to the mean."""

from __future__ import annotations

import pytest

from tulipnotch.load_balancing.metrics.cost_estimates import MeanWork


def test_mean_work_compares_request_with_all_earlier_ones() -> None:
    mean = MeanWork()
    assert mean.relative_work(None, 10_000.0) == 1.0
    assert mean.relative_work(0, 10_000.0) == 1.0
    # The first estimate is compared with the assumed mean.
    assert mean.relative_work(400_000, 10_000.0) == 40.0
    for _ in range(200):
        mean.relative_work(10_000, 10_000.0)
    assert mean.relative_work(10_000, 0.0) == pytest.approx(1.0, rel=0.1)
    # The same heavy request, rejected and retried.
    repeated = [mean.relative_work(400_000, 0.0) for _ in range(4)]
    assert min(repeated) > 30.0
