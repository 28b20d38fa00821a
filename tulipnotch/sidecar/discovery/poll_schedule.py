"""When calls to discovery begin and end, derived from the one bound within which a change must be known.

Pure arithmetic: no clock, no randomness, no I/O.  `docs/design.md`, "When a change is announced and when it
is known", derives the bound for each order of faults.
"""

from __future__ import annotations

import math
from typing import NamedTuple

_GOLDEN = 0.618033988749895  # spreads any number of instances evenly: the fractional parts of its multiples
_SLOTS_AFTER_EVENT = 2  # in a slot interval: the wait after a watch event is half of the longest at least
_MAX_EARLY_HEDGES = 2  # before hedged calls slow down to the schedule's own interval
# Where lists are pushed, all that discovery has counts as announced, also while no watch is open.  So a call
# that failed is retried, and one without a response hedged, after these parts of the drain grace.
_PUSHED_RETRY = 0.2
_PUSHED_HEDGE = 0.4
_PUSHED_CONNECT = 0.8
_PUSHED_MIN_S = 0.02
_PUSHED_MAX_S = 0.2  # however long the grace
MAX_CALLS = 8  # in flight at once, for one instance


class PollSchedule(NamedTuple):
    """The parts of `max_propagation_s`, in seconds.

    A change counts as announced `max_propagation_s` after discovery had it and could be reached, whatever
    became of the calls before.  So no single call's end matters, but calls must *begin* close together: each
    one that begins once discovery can be reached has its response, or else its connection attempt is lost and
    made a second time.
    """

    max_propagation_s: float = 6.0  # required by the users, see docs/design.md

    @property
    def scheduling_margin_s(self) -> float:
        """For a process that the system schedules late."""
        return self.max_propagation_s / 20

    @property
    def response_timeout_s(self) -> float:
        """For discovery's request queue: it rejects what waits longer there."""
        return self.max_propagation_s / 3

    @property
    def connect_timeout_s(self) -> float:
        """For a connection attempt."""
        return self.max_propagation_s / 6

    @property
    def connection_attempt_delay_s(self) -> float:
        """From a connection attempt to a second, concurrent one (the term is that of RFC 8305)."""
        return self.max_propagation_s / 24

    @property
    def call_timeout_s(self) -> float:
        """For a call that does not wait, its connection attempt included; it ends before the next begins."""
        return self.connect_timeout_s + self.response_timeout_s

    @property
    def read_timeout_s(self) -> float:
        """Without a byte of a response that has started."""
        return self.max_propagation_s / 6

    @property
    def call_interval_s(self) -> float:
        """From the beginning of a call to that of the next, at most, whatever becomes of the first."""
        return (
            self.max_propagation_s
            - self.scheduling_margin_s
            - self.connection_attempt_delay_s
            - self.response_timeout_s
        )

    @property
    def hedge_delay_s(self) -> float:
        """From the end of a watch's wait to a hedged call: a queue this long causes none."""
        return self.max_propagation_s / 15

    @property
    def max_watch_s(self) -> float:
        """How long a watch may wait for an event."""
        return self.call_interval_s - self.hedge_delay_s

    @property
    def slot_interval_s(self) -> float:
        """From one slot of an instance to its next; under `max_watch_s`, since a response may come early."""
        return self.max_watch_s - self.max_propagation_s / 60

    @property
    def initial_call_interval_s(self) -> float:
        """From one call to the next before the first endpoint list: nothing can be served meanwhile."""
        return self.max_propagation_s / 8

    def until_initial_slot_s(self, now_us: int, instance: int) -> float:
        """Return the time to the instance's next slot of those `initial_call_interval_s` apart.

        A slot that is just now counts as past, so that a timer that fires early causes no second call.  The
        slots of a fleet are spread, as those of `wait_ms` are.

        Args:
            now_us: Unix time.
            instance: The instance's number in the fleet.
        """
        interval_s = self.initial_call_interval_s
        early_s = self.max_propagation_s / 600
        offset_s = instance * _GOLDEN % 1.0 * interval_s
        return interval_s + early_s - (now_us / 1e6 + early_s - offset_s) % interval_s

    def wait_ms(self, now_us: int, instance: int, *, after_event: bool) -> int:
        """Return how long (ms) the next watch waits: to the instance's last slot within `max_watch_s`.

        An event, a restart or the return of discovery ends all calls of a fleet at once.  Waits of one length
        would keep it in step from then on; slots of its own, in Unix time, spread its calls.

        Args:
            now_us: Unix time.
            instance: The instance's number in the fleet.
            after_event: Whether a watch event has just come; then slots are closer together.
        """
        interval_s = self.slot_interval_s / (_SLOTS_AFTER_EVENT if after_event else 1)
        offset_s = instance * _GOLDEN % 1.0 * self.slot_interval_s
        return int(1_000 * (self.max_watch_s - (now_us / 1e6 + self.max_watch_s - offset_s) % interval_s))


class PollIntervals(NamedTuple):
    """The intervals that depend on the settings too, in seconds."""

    max_retry_delay_s: float  # from a call that failed to the next
    hedge_delay_s: float  # from the beginning of a call that does not wait to a hedged one
    connect_timeout_s: float
    max_early_hedges: int = _MAX_EARLY_HEDGES  # hedged calls `hedge_delay_s` apart; further ones are rarer

    @classmethod
    def when_polled(cls, schedule: PollSchedule, max_poll_interval_us: int) -> PollIntervals:
        """Return the intervals where the balancer asks for lists, and the schedule bounds its delays.

        Where the settings allow less time than the schedule leaves between two calls, calls begin closer
        together, and more of them may be in flight.

        Args:
            schedule: The schedule in force.
            max_poll_interval_us: How long the settings allow without a call.
        """
        max_interval_s = max_poll_interval_us / 1e6
        margins_s = schedule.scheduling_margin_s + schedule.connection_attempt_delay_s
        interval_s = min(schedule.call_interval_s, max(max_interval_s - margins_s, max_interval_s / 2))
        hedges = min(math.ceil(schedule.call_timeout_s / interval_s), MAX_CALLS - 1)
        return cls(interval_s, interval_s, schedule.connect_timeout_s, max(hedges, _MAX_EARLY_HEDGES))

    @classmethod
    def when_pushed(cls, drain_grace_us: int) -> PollIntervals:
        """Return the intervals where discovery pushes lists, as parts of the grace that a drain has."""

        def part_s(part: float) -> float:
            return min(max(part * drain_grace_us / 1e6, _PUSHED_MIN_S), _PUSHED_MAX_S)

        return cls(part_s(_PUSHED_RETRY), part_s(_PUSHED_HEDGE), part_s(_PUSHED_CONNECT))
