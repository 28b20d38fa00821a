"""Service levels, over a model of a fleet with two numbers: its load and its capacity.

Times are seconds in these tests and microseconds in the controller. Some properties are also shown to fail
with a defect in the controller, so that the tests are known to detect it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from itertools import pairwise

import pytest

from tulipnotch.load_balancing.admission import service_levels as levels
from tulipnotch.load_balancing.admission.pressure import Pressure
from tulipnotch.load_balancing.admission.service_levels import (
    ServiceLevelController,
    ServiceLevelTransition,
    standard_levels,
)

HOLD_S = 30
RATE = 400  # requests per second
# Fraction of the load that each level rejects.
REJECTED_FRACTIONS = {
    "full": 0.0,
    "spare": 0.15,
    "orders-only": 0.6,
}


def transitions(
    load_at: Callable[[int], float], seconds: int, rate: int = RATE
) -> list[tuple[int, ServiceLevelTransition]]:
    """Returns the changes of level, with their second, for a load relative to the capacity, with noise."""
    generator = random.Random(5)
    controller = ServiceLevelController(standard_levels("consulter"), HOLD_S * 1_000_000, 0)
    offered = rejected = 0
    changes = []
    for second in range(seconds):
        load = load_at(second) * generator.gauss(1.0, 0.05)
        admitted_load = load * (1.0 - REJECTED_FRACTIONS[controller.name])
        arrived = int(rate * admitted_load)
        offered += arrived
        rejected += round(arrived * max(1.0 - 1.0 / admitted_load, 0.0)) if admitted_load > 0 else 0
        change = controller.observe_pressure(second * 1_000_000, Pressure(offered, rejected, min(load, 3.0)))
        if change is not None:
            changes.append((second, change))
    return changes


def test_service_levels_stay_at_full_service_at_low_load() -> None:
    assert transitions(lambda _: 0.7, 600) == []


def test_service_levels_rise_under_overload_and_return() -> None:
    changes = transitions(lambda second: 1.9 if second < 300 else 0.4, 600)
    assert [change.current for _, change in changes] == ["spare", "orders-only", "spare", "full"]
    first, _ = changes[0]
    assert first <= 25  # twenty seconds of rejections are enough to enter the first level
    assert changes[1][1].effect.rejected_classes == {"consulter"}
    assert changes[-1][1].effect.rejected_classes == frozenset()
    assert "rejected over" in changes[0][1].reason
    assert "of the window" in changes[-1][1].reason


def test_service_levels_keep_the_minimum_time_between_changes() -> None:
    seconds = [second for second, _ in transitions(lambda second: 2.5 if second % 80 < 40 else 0.1, 1200)]
    assert len(seconds) >= 4
    assert all(later - earlier >= HOLD_S for earlier, later in pairwise(seconds))


def load_around_threshold(second: int) -> float:
    return 1.15 + 0.35 * math.sin(second / 11.0)


def test_service_levels_change_rarely_when_load_is_at_the_threshold() -> None:
    assert len(transitions(load_around_threshold, 600)) <= 2


def test_service_levels_change_often_when_left_by_rejections_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    # Under a service level the limit rejects little, because the level removed the load; hence
    # `leave_utilization`.
    def leave_reason(self: ServiceLevelController, now: int, level: levels.ServiceLevel) -> str | None:
        rejected_fraction = self._summarize(now, level.enter_us).rejected_fraction
        is_left = self._covers_span(level.enter_us) and rejected_fraction <= level.enter_rejected_fraction / 2
        return "few requests are rejected" if is_left else None

    monkeypatch.setattr(ServiceLevelController, "_leave_reason", leave_reason)
    assert len(transitions(lambda _: 1.17, 600)) > 8


def load_with_pauses(second: int) -> float:
    """Overload with pauses just long enough to leave the level each time."""
    return 1.17 if second % 90 < 45 else 0.5


def test_service_levels_are_left_later_after_an_early_return(monkeypatch: pytest.MonkeyPatch) -> None:
    change_count = len(transitions(load_with_pauses, 1800))
    monkeypatch.setattr(levels, "MAX_LEAVE_FACTOR", 1)
    assert len(transitions(load_with_pauses, 1800)) > 2 * change_count


def test_service_levels_stay_at_full_service_with_few_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    assert transitions(lambda _: 2.5, 300, rate=1) == []
    monkeypatch.setattr(levels, "MIN_OFFERED", 0)
    assert transitions(lambda _: 2.5, 300, rate=1) != []


def test_service_levels_drop_observations_after_a_gap() -> None:
    controller = ServiceLevelController(standard_levels("consulter"), HOLD_S * 1_000_000, 0)
    for second in range(20):
        assert (
            controller.observe_pressure(second * 1_000_000, Pressure(400 * second, 200 * second, 2.0)) is None
        )
    # The clock jumps by an hour, as after a suspend; earlier observations tell nothing about the present.
    assert controller.observe_pressure(3_600_000_000, Pressure(8_000, 4_000, 2.0)) is None
    assert controller.observe_pressure(3_601_000_000, Pressure(8_400, 4_200, 2.0)) is None
    assert controller.name == "full"


def test_service_levels_limit_the_number_of_observations() -> None:
    controller = ServiceLevelController(standard_levels("consulter"), HOLD_S * 1_000_000, 0)
    for second in range(5_000):
        controller.observe_pressure(second * 1_000_000, Pressure(10 * second, 0, 0.1))
        # Too soon after the last observation, so it is ignored.
        controller.observe_pressure(second * 1_000_000 + 1, Pressure(10 * second, 0, 0.1))
    longest_us = levels.MAX_LEAVE_FACTOR * max(each.leave_us for each in standard_levels("consulter"))
    assert len(controller._observations) <= longest_us / 1_000_000 + 3
