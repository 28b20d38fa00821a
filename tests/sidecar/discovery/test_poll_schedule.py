"""The schedule of calls to discovery: its worst cases, its intervals, and the load of a fleet."""

from __future__ import annotations

import itertools

import pytest

from tulipnotch.sidecar.discovery.poll_schedule import PollIntervals, PollSchedule

SCHEDULE = PollSchedule()
FLEET = 200

# From the instant at which discovery has a change and can be reached: the longest time until the call that
# brings it begins.  Every call that began before then may be lost.
PATHS = {
    "a watch that hangs from its first moment": (SCHEDULE.max_watch_s, SCHEDULE.hedge_delay_s),
    "a call that hangs, began just before and times out, and the delay after it": (
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


@pytest.mark.parametrize("path", PATHS)
def test_change_is_known_within_the_propagation_bound_when_a_connection_attempt_is_lost(path: str) -> None:
    known_s = sum(PATHS[path]) + SCHEDULE.connection_attempt_delay_s + SCHEDULE.response_timeout_s
    assert known_s <= SCHEDULE.max_propagation_s - SCHEDULE.scheduling_margin_s + 1e-9
    assert all(part >= 0.0 for part in PATHS[path])


def test_schedule_has_the_specified_times() -> None:
    # As the specification and discovery's own timeout give them.
    assert SCHEDULE.max_propagation_s == 6.0
    assert SCHEDULE.scheduling_margin_s >= 0.3
    assert SCHEDULE.response_timeout_s >= 2.0
    assert SCHEDULE.call_interval_s == pytest.approx(3.45)
    assert SCHEDULE.max_watch_s == pytest.approx(3.05)


def test_call_ends_before_the_next_and_watch_before_the_next_but_one() -> None:
    # So there are never more than two calls in flight, however long discovery's queue is.
    assert SCHEDULE.call_timeout_s < SCHEDULE.call_interval_s
    assert SCHEDULE.max_watch_s + SCHEDULE.response_timeout_s < 2 * SCHEDULE.call_interval_s


@pytest.mark.parametrize("max_propagation_s", [0.6, 1.2, 6.0])
@pytest.mark.parametrize("after_event", [False, True])
def test_wait_ends_at_a_slot_of_the_instance_within_the_max_watch(
    max_propagation_s: float, *, after_event: bool
) -> None:
    schedule = PollSchedule(max_propagation_s)
    min_s = schedule.max_watch_s - schedule.slot_interval_s / (2 if after_event else 1)
    for instance, step in itertools.product(range(FLEET), range(40)):
        now_us = 1_764_000_000_000_000 + step * 97_001
        wait_s = schedule.watch_wait_ms(now_us, instance, after_event=after_event) / 1_000
        assert min_s - 0.002 < wait_s <= schedule.max_watch_s
        now_us += int(wait_s * 1e6)
        next_wait_s = schedule.watch_wait_ms(now_us, instance, after_event=False) / 1_000
        if after_event and next_wait_s < 0.75 * schedule.slot_interval_s:
            assert next_wait_s == pytest.approx(
                schedule.slot_interval_s / 2, abs=0.002
            )  # once, to its own slot
            now_us += int(next_wait_s * 1e6)
            next_wait_s = schedule.watch_wait_ms(now_us, instance, after_event=False) / 1_000
        assert next_wait_s == pytest.approx(
            schedule.slot_interval_s, abs=0.002
        )  # from then on, slot after slot


def test_wait_stays_on_the_slots_when_a_response_is_early_or_late() -> None:
    for instance, offset_us in itertools.product(range(FLEET), (-40_000, -1_000, 1_000, 300_000)):
        now_us = 1_764_000_000_000_000
        end_us = now_us + 1_000 * SCHEDULE.watch_wait_ms(now_us, instance, after_event=False)
        wait_s = SCHEDULE.watch_wait_ms(end_us + offset_us, instance, after_event=False) / 1_000
        assert wait_s + offset_us / 1e6 == pytest.approx(SCHEDULE.slot_interval_s, abs=0.002)


@pytest.mark.parametrize(("after_event", "max_ratio"), [(False, 1.25), (True, 2.5)])
def test_fleet_spreads_its_calls_when_all_ended_at_once(*, after_event: bool, max_ratio: float) -> None:
    # After a restart, the return of discovery or a watch event.
    ends = [
        SCHEDULE.watch_wait_ms(1_764_000_000_000_000, each, after_event=after_event) for each in range(FLEET)
    ]
    mean = FLEET / SCHEDULE.slot_interval_s * 0.25
    for start_ms in range(0, int(SCHEDULE.max_watch_s * 1_000), 50):
        assert sum(start_ms <= end < start_ms + 250 for end in ends) <= max_ratio * mean


def test_fleet_of_two_hundred_calls_less_than_seventy_times_a_second_when_idle() -> None:
    assert FLEET / SCHEDULE.slot_interval_s < 70.0


def test_poll_intervals_follow_the_drain_grace_when_pushed() -> None:
    pushed = PollIntervals.for_pushed_lists(250_000)
    assert pushed.max_retry_delay_s + pushed.hedge_delay_s < 0.25  # both fit into the grace
    assert PollIntervals.for_pushed_lists(0).max_retry_delay_s > 0.0  # no tight loop while discovery is down
    polled = PollIntervals.for_polled_lists(PollSchedule(), 3_600_000_000)
    assert polled.hedge_delay_s > PollSchedule().call_timeout_s  # so there are never two hedged calls


def test_poll_intervals_follow_the_settings_when_polled() -> None:
    schedule = PollSchedule()
    unbounded = PollIntervals.for_polled_lists(schedule, 3_600_000_000)
    assert unbounded.hedge_delay_s == schedule.call_interval_s
    for max_poll_interval_us in (4_000_000, 4_900_000, 10_000_000, 60_000_000):
        assert PollIntervals.for_polled_lists(schedule, max_poll_interval_us) == unbounded
    for allowed_s in (0.75, 1.0, 2.0, 3.5):
        intervals = PollIntervals.for_polled_lists(schedule, int(allowed_s * 1e6))
        assert intervals.max_retry_delay_s <= allowed_s
        assert intervals.hedge_delay_s <= allowed_s
        if allowed_s >= 1.1:  # else the half of it: a longer part would leave nothing to wait for
            margins_s = schedule.scheduling_margin_s + schedule.connection_attempt_delay_s
            assert intervals.hedge_delay_s + margins_s == pytest.approx(allowed_s)
        # Each call ends before there are too many.
        assert (1 + intervals.max_early_hedges) * intervals.hedge_delay_s >= schedule.call_timeout_s
