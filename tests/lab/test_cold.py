"""Cold servers under the sum of all processes: those cases of `benchmarks.cold` that were over."""

from __future__ import annotations

import pytest

from benchmarks import cold
from tulipnotch.lab import scenario


@pytest.mark.parametrize(
    ("case", "processes", "budget"),
    [
        ("all cold, burst", 200, 3),
        ("all cold, burst", 30, 1),
        ("all cold, late burst", 200, 1),
        ("all cold, heavy", 30, 3),
        ("all cold, heavy", 200, 1),
        ("all cold, wide", 30, 1),
        ("heavy", 5, 1),
    ],
)
def test_the_sum_of_all_processes_pushes_no_cold_server_over(case: str, processes: int, budget: int) -> None:
    found = cold.measure(case, processes, budget, range(1, 3))
    assert found.fallen == 0, found
    assert found.starts > 0 and found.worth > 0.05, found  # and cold servers are used


def test_a_case_says_what_servers_bear_at_their_start() -> None:
    for case in cold.CASES:
        given = cold.world(case, 5, 3)
        server = given.fleet.kinds[0]
        bears = given.fleet.fall_multiple * given.fleet.cold_from * server.cores * given.fleet.fall_s
        assert bears / given.mean_work_s == pytest.approx(3.0)
        assert scenario.wire_settings(given, 4, 1.0)["groupSize"] == 5
