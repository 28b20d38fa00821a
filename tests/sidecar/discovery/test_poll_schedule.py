"""The schedule of calls to discovery: its worst cases, its intervals, and the load of a fleet."""

from __future__ import annotations

import itertools

import pytest

from tulipnotch.sidecar.discovery.poll_schedule import PollIntervals, PollSchedule

SCHEDULE = PollSchedule()
FLEET_SIZE = 200

# For each kind of fault, the delays that add up to the longest time from when discovery has a change and can
# be reached until the call that receives it starts.  Every call that started earlier may be lost.
DELAYS_S_BY_FAULT = {
    "a watch that hangs from its first moment": (SCHEDULE.max_watch_s, SCHEDULE.hedge_delay_s),
    "a call that hangs, started just before and times out, and the delay after it": (
        SCHEDULE.call_timeout_s,
        SCHEDULE.call_interval_s - SCHEDULE.call_timeout_s,
    ),
    "half a response, then nothing, and a hedged call": (SCHEDULE.max_watch_s, SCHEDULE.hedge_delay_s),
    "rejected just before, and the longest delay after it": (SCHEDULE.call_interval_s,),
    "connection attempts that time out, and the delay after them": (
        SCHEDULE.connect_timeout_s,
        SCHEDULE.call_interval_s - SCHEDULE.connect_timeout_s,
    ),
    "another address, polled at once": (0.0,),
}


@pytest.mark.parametrize("fault", DELAYS_S_BY_FAULT)
def test_change_is_known_within_the_propagation_bound_when_a_connection_attempt_is_lost(fault: str) -> None:
    propagation_s = (
        sum(DELAYS_S_BY_FAULT[fault]) + SCHEDULE.connection_attempt_delay_s + SCHEDULE.response_timeout_s
    )
    assert propagation_s <= SCHEDULE.max_propagation_s - SCHEDULE.scheduling_margin_s + 1e-9
    assert all(delay_s >= 0.0 for delay_s in DELAYS_S_BY_FAULT[fault])


def test_schedule_has_the_specified_times_when_the_bound_is_the_default() -> None:
    # These values follow from the specification and from discovery's own timeout.
    assert SCHEDULE.max_propagation_s == 6.0
    assert SCHEDULE.scheduling_margin_s >= 0.3
    assert SCHEDULE.response_timeout_s >= 2.0
    assert SCHEDULE.call_interval_s == pytest.approx(3.45)
    assert SCHEDULE.max_watch_s == pytest.approx(3.05)


def test_at_most_two_calls_are_in_flight_when_discovery_is_slow() -> None:
    # However long discovery's queue is, a call ends before the next one starts, and a watch before the second
    # call after it.
    assert SCHEDULE.call_timeout_s < SCHEDULE.call_interval_s
    assert SCHEDULE.max_watch_s + SCHEDULE.response_timeout_s < 2 * SCHEDULE.call_interval_s


@pytest.mark.parametrize("max_propagation_s", [0.6, 1.2, 6.0])
@pytest.mark.parametrize("after_event", [False, True])
def test_wait_ends_at_a_slot_of_the_instance_within_max_watch_s(
    max_propagation_s: float, *, after_event: bool
) -> None:
    schedule = PollSchedule(max_propagation_s)
    min_s = schedule.max_watch_s - schedule.slot_interval_s / (2 if after_event else 1)
    for instance, time_step in itertools.product(range(FLEET_SIZE), range(40)):
        now_us = 1_764_000_000_000_000 + time_step * 97_001
        wait_s = schedule.watch_wait_ms(now_us, instance, after_event=after_event) / 1_000
        assert min_s - 0.002 < wait_s <= schedule.max_watch_s
        now_us += int(wait_s * 1e6)
        next_wait_s = schedule.watch_wait_ms(now_us, instance, after_event=False) / 1_000
        if after_event and next_wait_s < 0.75 * schedule.slot_interval_s:
            # One wait of half an interval leads to the instance's own slot.
            assert next_wait_s == pytest.approx(schedule.slot_interval_s / 2, abs=0.002)
            now_us += int(next_wait_s * 1e6)
            next_wait_s = schedule.watch_wait_ms(now_us, instance, after_event=False) / 1_000
        # From then on, each wait ends at the next slot.
        assert next_wait_s == pytest.approx(schedule.slot_interval_s, abs=0.002)


def test_wait_ends_at_a_slot_when_the_previous_response_was_early_or_late() -> None:
    for instance, deviation_us in itertools.product(range(FLEET_SIZE), (-40_000, -1_000, 1_000, 300_000)):
        now_us = 1_764_000_000_000_000
        end_us = now_us + 1_000 * SCHEDULE.watch_wait_ms(now_us, instance, after_event=False)
        wait_s = SCHEDULE.watch_wait_ms(end_us + deviation_us, instance, after_event=False) / 1_000
        assert wait_s + deviation_us / 1e6 == pytest.approx(SCHEDULE.slot_interval_s, abs=0.002)


@pytest.mark.parametrize(("after_event", "max_ratio"), [(False, 1.25), (True, 2.5)])
def test_fleet_spreads_its_calls_when_all_ended_at_once(*, after_event: bool, max_ratio: float) -> None:
    # All calls end at once at a restart of discovery, at its return and at a watch event.
    end_times_ms = [
        SCHEDULE.watch_wait_ms(1_764_000_000_000_000, instance, after_event=after_event)
        for instance in range(FLEET_SIZE)
    ]
    mean = FLEET_SIZE / SCHEDULE.slot_interval_s * 0.25
    for start_ms in range(0, int(SCHEDULE.max_watch_s * 1_000), 50):
        assert sum(start_ms <= end_ms < start_ms + 250 for end_ms in end_times_ms) <= max_ratio * mean


def test_fleet_of_200_makes_fewer_than_70_calls_per_second_when_idle() -> None:
    assert FLEET_SIZE / SCHEDULE.slot_interval_s < 70.0


def test_poll_intervals_follow_the_drain_grace_period_when_lists_are_pushed() -> None:
    pushed_intervals = PollIntervals.for_pushed_lists(250_000)
    # Both delays fit into the grace period.
    assert pushed_intervals.max_retry_delay_s + pushed_intervals.hedge_delay_s < 0.25
    assert PollIntervals.for_pushed_lists(0).max_retry_delay_s > 0.0  # no busy loop while discovery is down
    polled_intervals = PollIntervals.for_polled_lists(PollSchedule(), 3_600_000_000)
    # So two hedged calls are never in flight.
    assert polled_intervals.hedge_delay_s > PollSchedule().call_timeout_s


def test_poll_intervals_follow_the_settings_when_lists_are_polled() -> None:
    schedule = PollSchedule()
    schedule_intervals = PollIntervals.for_polled_lists(schedule, 3_600_000_000)
    assert schedule_intervals.hedge_delay_s == schedule.call_interval_s
    for max_poll_interval_us in (4_000_000, 4_900_000, 10_000_000, 60_000_000):
        assert PollIntervals.for_polled_lists(schedule, max_poll_interval_us) == schedule_intervals
    for max_interval_s in (0.75, 1.0, 2.0, 3.5):
        intervals = PollIntervals.for_polled_lists(schedule, int(max_interval_s * 1e6))
        assert intervals.max_retry_delay_s <= max_interval_s
        assert intervals.hedge_delay_s <= max_interval_s
        if max_interval_s >= 1.1:  # if less is allowed, the margins would leave too little, and half is used
            margins_s = schedule.scheduling_margin_s + schedule.connection_attempt_delay_s
            assert intervals.hedge_delay_s + margins_s == pytest.approx(max_interval_s)
        # The first call has timed out before there are too many in flight.
        assert (1 + intervals.max_early_hedges) * intervals.hedge_delay_s >= schedule.call_timeout_s
