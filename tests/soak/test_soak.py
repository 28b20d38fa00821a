"""The soak in short: real processes, faults that overlap, no rule broken.  More seeds: `docs/soak.md`."""

from __future__ import annotations

import pytest
from loopback import play as run

from soak.play import Plan, play


@pytest.mark.alone
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_rule_is_broken_while_faults_overlap(seed: int) -> None:
    verdict = run(lambda: play(Plan(seed, sidecars=10, seconds=4.0)))
    assert verdict.breaches == []
    assert verdict.answers.get(200, 0) > verdict.tries // 2
