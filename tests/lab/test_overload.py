"""A fleet at its limit is not tipped over; with the window's defects planted, it is."""

from __future__ import annotations

import pytest

from tulipnotch.decisions import balancer
from tulipnotch.lab import play, scenario


def played(seed: int = 2) -> dict[str, float]:
    return play.in_virtual_time(scenario.load(scenario.shipped()["tipping"]), "module", seed).metrics


def test_servers_that_choke_early_are_spared_when_others_crash() -> None:
    given = scenario.load(scenario.shipped()["tipping"])
    metrics = played()
    assert all(each.holds(metrics) for each in given.expectations), metrics


@pytest.mark.parametrize(
    "defect",
    [
        {"AIM_SPENT": 0.5, "AIM_SPENT_MOST": 0.5},  # answers may take half of their aim: too late to react
        {"LEAST_WINDOW": 1e9},  # the bound never falls
    ],
    ids=str,
)
def test_a_window_that_reacts_late_brings_the_collapse_back(
    defect: dict[str, float], monkeypatch: pytest.MonkeyPatch
) -> None:
    for name, value in defect.items():
        monkeypatch.setattr(balancer, name, value)
    assert played()["choked_s"] > 5.0
