"""Short soak runs with real processes and overlapping faults; `docs/soak.md` describes longer runs."""

from __future__ import annotations

import pytest
from loopback import run_async

from soak.fleet import SoakOptions
from soak.run import run_soak


@pytest.mark.alone
@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_run_soak_finds_no_violation_while_faults_overlap(seed: int) -> None:
    result = run_async(lambda: run_soak(SoakOptions(seed, sidecar_count=10, fault_phase_s=4.0)))
    assert result.violations == []
    assert result.responses.get(200, 0) > result.client_attempts // 2
