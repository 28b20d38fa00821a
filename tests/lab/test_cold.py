"""All processes together overload no warming-up server, in cases of `benchmarks.cold` where they once did."""

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
def test_all_processes_together_overload_no_server_that_warms_up(
    case: str, processes: int, budget: int
) -> None:
    measurement = cold.measure(case, processes, budget, range(1, 3))
    assert measurement.overloaded_starts == 0, measurement
    assert measurement.starts > 0, measurement
    assert measurement.served_weight > 0.05, measurement  # servers that warm up receive requests


def test_build_scenario_gives_starting_server_budget_of_case() -> None:
    for case in cold.CASES:
        warm_up_scenario = cold.build_scenario(case, 5, 3)
        machine_type = warm_up_scenario.fleet.kinds[0]
        budget_s = (
            warm_up_scenario.fleet.fall_multiple
            * warm_up_scenario.fleet.cold_from
            * machine_type.cores
            * warm_up_scenario.fleet.fall_s
        )
        assert budget_s / warm_up_scenario.mean_work_s == pytest.approx(3.0)
        assert scenario.wire_settings(warm_up_scenario, 4, 1.0)["groupSize"] == 5
