"""The soak in short: real processes, faults that overlap, no rule violated.  More seeds: `docs/soak.md`."""

from __future__ import annotations

import pytest
from loopback import run_async

from soak.run import run_soak
from soak.world import Plan


@pytest.mark.alone
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_soak_finds_no_violation_while_faults_overlap(seed: int) -> None:
    result = run_async(lambda: run_soak(Plan(seed, sidecars=10, seconds=4.0)))
    assert result.violations == []
    assert result.responses.get(200, 0) > result.client_attempts // 2
