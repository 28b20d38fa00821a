"""The times at which calls to discovery start and end, derived from the bound on propagating a change.

Pure arithmetic: no clock, no randomness, no I/O.  `docs/design.md`, "When a change is announced and when it
is known", derives the bound for each order of faults.
"""

from __future__ import annotations

import math
from typing import NamedTuple

# The fractional parts of this number's multiples are spread evenly, for any number of instances.
_GOLDEN_RATIO_CONJUGATE = 0.618033988749895
# Number of slots of an instance in one `slot_interval_s` after a watch event; the wait that follows the event
# is thus at least half of the longest wait.
_SLOTS_PER_INTERVAL_AFTER_EVENT = 2
_MAX_EARLY_HEDGES = 2  # number of hedged calls that do not wait for the schedule's `call_interval_s`
# Where lists are pushed, all that discovery has counts as announced, even while no watch is open.  So a call
# that failed is retried, and one without a response is hedged, after these fractions of the drain grace
# period; a connection must be established within the last of them.
_PUSHED_RETRY_FRACTION = 0.2
_PUSHED_HEDGE_FRACTION = 0.4
_PUSHED_CONNECT_FRACTION = 0.8
_PUSHED_MIN_INTERVAL_S = 0.02
_PUSHED_MAX_INTERVAL_S = 0.2  # however long the grace period is
MAX_CALLS_IN_FLIGHT = 8  # limit on the calls of one instance


class PollSchedule(NamedTuple):
    """The intervals and timeouts of calls, in seconds, all derived from `max_propagation_s`.

    A change counts as announced `max_propagation_s` after discovery has it and can be reached, whatever
    became of earlier calls.  So it does not matter when a single call ends, but calls must *start* close
    together: each one that starts once discovery can be reached gets its response, or its connection attempt
    is lost and is made a second time.
    """

    max_propagation_s: float = 6.0  # required by the users, see docs/design.md

    @property
    def scheduling_margin_s(self) -> float:
        """Margin for a process that the operating system schedules late."""
        return self.max_propagation_s / 20

    @property
    def response_timeout_s(self) -> float:
        """Timeout for a response; discovery rejects a request that waits longer in its queue."""
        return self.max_propagation_s / 3

    @property
    def connect_timeout_s(self) -> float:
        """Timeout for connecting."""
        return self.max_propagation_s / 6

    @property
    def connection_attempt_delay_s(self) -> float:
        """Delay from a connection attempt to a second, concurrent one (the term is that of RFC 8305)."""
        return self.max_propagation_s / 24

    @property
    def call_timeout_s(self) -> float:
        """Timeout for a call that does not wait for a change, connecting included.

        It is shorter than `call_interval_s`, so that the call ends before the next one starts.
        """
        return self.connect_timeout_s + self.response_timeout_s

    def timeout_s(self, wait_ms: int) -> float:
        """Returns the timeout for a call that waits this long (ms) for a change."""
        return wait_ms / 1_000 + self.response_timeout_s if wait_ms else self.call_timeout_s

    @property
    def abandon_delay_s(self) -> float:
        """Time after its timeout for which a call stays open, since it may still get its response."""
        return self.max_propagation_s / 2

    @property
    def read_timeout_s(self) -> float:
        """Longest time without a further byte of a response that has started."""
        return self.max_propagation_s / 6

    @property
    def call_interval_s(self) -> float:
        """Longest time from the start of a call to that of the next, whether or not the first succeeds."""
        return (
            self.max_propagation_s
            - self.scheduling_margin_s
            - self.connection_attempt_delay_s
            - self.response_timeout_s
        )

    @property
    def hedge_delay_s(self) -> float:
        """Delay from the end of a watch's wait to a hedged call; a shorter queueing delay causes none."""
        return self.max_propagation_s / 15

    @property
    def max_watch_s(self) -> float:
        """Longest time that a watch may wait for an event."""
        return self.call_interval_s - self.hedge_delay_s

    @property
    def slot_interval_s(self) -> float:
        """Time between the slots of an instance; less than `max_watch_s`, since a response may be early."""
        return self.max_watch_s - self.max_propagation_s / 60

    @property
    def initial_call_interval_s(self) -> float:
        """Time between calls before the first endpoint list: no request can be served meanwhile."""
        return self.max_propagation_s / 8

    def time_until_initial_slot_s(self, now_us: int, instance: int) -> float:
        """Returns the time to the instance's next slot; these slots are `initial_call_interval_s` apart.

        A slot that is just ahead counts as past, so that a timer that fires early causes no second call.  The
        slots of a fleet are spread, as those of `watch_wait_ms` are.

        Args:
            now_us: Unix time.
            instance: The instance's number in the fleet.
        """
        interval_s = self.initial_call_interval_s
        tolerance_s = self.max_propagation_s / 600
        offset_s = instance * _GOLDEN_RATIO_CONJUGATE % 1.0 * interval_s
        return interval_s + tolerance_s - (now_us / 1e6 + tolerance_s - offset_s) % interval_s

    def watch_wait_ms(self, now_us: int, instance: int, *, after_event: bool) -> int:
        """Returns how long (ms) the next watch waits: to the instance's last slot within `max_watch_s`.

        An event, a restart or the return of discovery ends all calls of a fleet at once.  Waits of equal
        length would keep the calls synchronized from then on; separate slots for each instance, in Unix time,
        spread them.

        Args:
            now_us: Unix time.
            instance: The instance's number in the fleet.
            after_event: Whether a watch event has just arrived; then slots are closer together.
        """
        interval_s = self.slot_interval_s / (_SLOTS_PER_INTERVAL_AFTER_EVENT if after_event else 1)
        offset_s = instance * _GOLDEN_RATIO_CONJUGATE % 1.0 * self.slot_interval_s
        return int(1_000 * (self.max_watch_s - (now_us / 1e6 + self.max_watch_s - offset_s) % interval_s))


class PollIntervals(NamedTuple):
    """The intervals that depend on the settings too, in seconds."""

    max_retry_delay_s: float  # longest time from the failure of a call to the next call
    hedge_delay_s: float  # time from the start of a call that does not wait for a change to a hedged call
    connect_timeout_s: float
    max_early_hedges: int = _MAX_EARLY_HEDGES  # hedged calls `hedge_delay_s` apart; further ones are rarer

    @classmethod
    def for_polled_lists(cls, schedule: PollSchedule, max_poll_interval_us: int) -> PollIntervals:
        """Returns the intervals where the balancer polls for lists, and the schedule bounds its delays.

        Where the settings allow less time than the schedule leaves between two calls, calls start closer
        together, and more of them may be in flight.

        Args:
            schedule: The schedule in force.
            max_poll_interval_us: The longest time without a call that the settings allow.
        """
        max_interval_s = max_poll_interval_us / 1e6
        margins_s = schedule.scheduling_margin_s + schedule.connection_attempt_delay_s
        interval_s = min(schedule.call_interval_s, max(max_interval_s - margins_s, max_interval_s / 2))
        hedge_count = min(math.ceil(schedule.call_timeout_s / interval_s), MAX_CALLS_IN_FLIGHT - 1)
        return cls(interval_s, interval_s, schedule.connect_timeout_s, max(hedge_count, _MAX_EARLY_HEDGES))

    @classmethod
    def for_pushed_lists(cls, drain_grace_us: int) -> PollIntervals:
        """Returns the intervals where discovery pushes lists, as fractions of the drain grace period."""

        def interval_s(fraction: float) -> float:
            return min(max(fraction * drain_grace_us / 1e6, _PUSHED_MIN_INTERVAL_S), _PUSHED_MAX_INTERVAL_S)

        return cls(
            interval_s(_PUSHED_RETRY_FRACTION),
            interval_s(_PUSHED_HEDGE_FRACTION),
            interval_s(_PUSHED_CONNECT_FRACTION),
        )
