"""The times of calls to discovery: each path's worst order, and what a fleet asks for."""

from __future__ import annotations

import itertools

import pytest

from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule

PLAN = PollSchedule()
FLEET = 200

# From the instant at which discovery has a change and can be reached: what passes, at its longest, before the
# call that brings it begins.  Every call that began before then may be lost with its news.
PATHS = {
    "a watch silent from its first moment": (PLAN.max_watch_s, PLAN.hedge_delay_s),
    "a hung call that began just before, given up, and a rest": (
        PLAN.call_timeout_s,
        PLAN.call_interval_s - PLAN.call_timeout_s,
    ),
    "half an answer, then nothing, beside a call": (PLAN.max_watch_s, PLAN.hedge_delay_s),
    "refused or turned away just before, and the rest at its longest": (PLAN.call_interval_s,),
    "dials that never came up, given up, and a rest": (
        PLAN.connect_timeout_s,
        PLAN.call_interval_s - PLAN.connect_timeout_s,
    ),
    "another address: asked at once": (0.0,),
}


@pytest.mark.parametrize("path", PATHS)
def test_a_change_is_known_before_it_counts_as_announced_though_a_dial_is_lost(path: str) -> None:
    known_s = sum(PATHS[path]) + PLAN.connection_attempt_delay_s + PLAN.response_timeout_s
    assert known_s <= PLAN.max_propagation_s - PLAN.scheduling_margin_s + 1e-9
    assert all(part >= 0.0 for part in PATHS[path])


def test_the_true_figures() -> None:
    # As the users' page and discovery's own limit give them.
    assert PLAN.max_propagation_s == 6.0
    assert PLAN.scheduling_margin_s >= 0.3 and PLAN.response_timeout_s >= 2.0
    assert PLAN.call_interval_s == pytest.approx(3.45) and PLAN.max_watch_s == pytest.approx(3.05)


def test_a_call_is_over_before_the_next_and_a_watch_before_the_next_but_one() -> None:
    # So there are never more than two calls out, however long discovery's line is.
    assert PLAN.call_timeout_s < PLAN.call_interval_s
    assert PLAN.max_watch_s + PLAN.response_timeout_s < 2 * PLAN.call_interval_s


@pytest.mark.parametrize("max_propagation_s", [0.6, 1.2, 6.0])
@pytest.mark.parametrize("after_news", [False, True])
def test_a_wait_ends_at_an_own_turn_and_in_time(max_propagation_s: float, after_news: bool) -> None:
    plan = PollSchedule(max_propagation_s)
    least_s = plan.max_watch_s - plan.slot_interval_s / (2 if after_news else 1)
    for instance, step in itertools.product(range(FLEET), range(40)):
        now_us = 1_764_000_000_000_000 + step * 97_001
        wait_s = plan.wait_ms(now_us, instance, after_event=after_news) / 1_000
        assert least_s - 0.002 < wait_s <= plan.max_watch_s
        now_us += int(wait_s * 1e6)
        again_s = plan.wait_ms(now_us, instance, after_event=False) / 1_000
        if after_news and again_s < 0.75 * plan.slot_interval_s:
            assert again_s == pytest.approx(plan.slot_interval_s / 2, abs=0.002)  # once, to its own slot
            now_us += int(again_s * 1e6)
            again_s = plan.wait_ms(now_us, instance, after_event=False) / 1_000
        assert again_s == pytest.approx(plan.slot_interval_s, abs=0.002)  # from then on, turn after turn


def test_an_answer_a_little_early_or_late_costs_no_further_call() -> None:
    for instance, off_us in itertools.product(range(FLEET), (-40_000, -1_000, 1_000, 300_000)):
        now_us = 1_764_000_000_000_000
        ends_us = now_us + 1_000 * PLAN.wait_ms(now_us, instance, after_event=False)
        wait_s = PLAN.wait_ms(ends_us + off_us, instance, after_event=False) / 1_000
        assert wait_s + off_us / 1e6 == pytest.approx(PLAN.slot_interval_s, abs=0.002)


@pytest.mark.parametrize(("after_news", "most"), [(False, 1.25), (True, 2.5)])
def test_a_fleet_whose_calls_were_answered_at_once_does_not_call_in_step(
    after_news: bool, most: float
) -> None:
    # After a restart, discovery's return or news; `most` in parts of the mean.
    ends = [PLAN.wait_ms(1_764_000_000_000_000, each, after_event=after_news) for each in range(FLEET)]
    mean = FLEET / PLAN.slot_interval_s * 0.25
    for begin_ms in range(0, int(PLAN.max_watch_s * 1_000), 50):
        assert sum(begin_ms <= end < begin_ms + 250 for end in ends) <= most * mean


def test_two_hundred_instances_at_rest_ask_less_than_seventy_times_a_second() -> None:
    assert FLEET / PLAN.slot_interval_s < 70.0
