"""When to poll discovery for the endpoint list, where changes are not pushed."""

from __future__ import annotations

from tulipnotch.load_balancing.actions import Subscribe
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.settings import DiscoveryMode
from tulipnotch.load_balancing.timer_queue import DISCOVERY, REQUEST_DEADLINE, TimerQueue

MIN_POLL_BACK_OFF = 0.05  # before the next poll after a failed one, as a part of the longest poll interval
MAX_POLL_BACK_OFF = 0.25  # of the same: three failed polls in a row still fit
MIN_POLL_JITTER = 0.5  # a wait lasts at least this part of the nominal one, so that instances spread out
MAX_COUNTED_FAILURES = 8  # the wait is at its longest long before


class DiscoveryPolling:
    """The schedule of polls of discovery."""

    def __init__(self, context: Context, timers: TimerQueue) -> None:
        """Begin with no poll scheduled."""
        self._context = context
        self._timers = timers
        self.failed_calls = 0  # in a row
        self.due_at: int | None = None  # clock time of the next poll; None: a subscription is in force

    def poll(self) -> None:
        """Subscribe to the list where it must be polled for.

        A poll that gets no response is repeated: an instance may not pass `max_poll_interval_us` without one.
        """
        settings = self._context.settings
        if settings.discovery_mode is DiscoveryMode.POLLED:
            self._context.actions.append(Subscribe(is_subscribed=True))
            self._poll_in(MAX_POLL_BACK_OFF * settings.rules.max_poll_interval_us)

    def poll_if_due(self) -> None:
        """Poll, unless a response or a later schedule has replaced the entry that fell due."""
        if self.due_at is not None and self.due_at <= self._context.now:
            self.poll()

    def poll_failed(self) -> None:
        """Schedule the next poll, after twice the wait at each failed one in a row, with jitter."""
        interval = self._context.settings.rules.max_poll_interval_us
        wait = min(MIN_POLL_BACK_OFF * interval * 2**self.failed_calls, MAX_POLL_BACK_OFF * interval)
        self.failed_calls = min(self.failed_calls + 1, MAX_COUNTED_FAILURES)
        self._poll_in(wait * (MIN_POLL_JITTER + (1.0 - MIN_POLL_JITTER) * self._context.random.random()))

    def endpoints_received(self) -> None:
        """Discovery has responded, so the subscription is in force."""
        self.failed_calls = 0
        self.due_at = None

    def _poll_in(self, wait_us: float) -> None:
        """Poll after this wait, in place of any earlier schedule."""
        self.due_at = self._context.now + int(wait_us)
        self._timers.schedule(self.due_at, DISCOVERY, REQUEST_DEADLINE)
