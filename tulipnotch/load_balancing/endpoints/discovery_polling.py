"""Discovery polling: when to poll for the endpoint list, in deployments that do not push changes of it."""

from __future__ import annotations

from tulipnotch.load_balancing.actions import Subscribe
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.settings import DiscoveryMode
from tulipnotch.load_balancing.timer_queue import DISCOVERY, REQUEST_DEADLINE, TimerQueue

MIN_POLL_BACK_OFF = 0.05  # nominal wait after a first failed poll, as a fraction of the maximum poll interval
# Longest wait, as a fraction of the maximum poll interval; three failed polls in a row still fit into that.
MAX_POLL_BACK_OFF = 0.25
# A wait lasts at least this fraction of the nominal one; jitter keeps instances from polling in step.
MIN_POLL_JITTER = 0.5
MAX_COUNTED_FAILURES = 8  # more failures would not change the wait, which reaches its maximum much earlier


class DiscoveryPolling:
    """Schedules the polls of discovery."""

    def __init__(self, context: Context, timers: TimerQueue) -> None:
        """Starts with no poll scheduled."""
        self._context = context
        self._timers = timers
        self.failed_calls = 0  # number of failed polls in a row
        self.due_at: int | None = None  # clock time of the next poll; None: a subscription is active

    def poll(self) -> None:
        """Polls for the endpoint list by subscribing to it, in deployments where discovery is polled.

        A poll without a response is repeated, because an instance must not go without one for longer than
        `max_poll_interval_us`.
        """
        settings = self._context.settings
        if settings.discovery_mode is DiscoveryMode.POLLED:
            self._context.actions.append(Subscribe(is_subscribed=True))
            self._schedule_poll(MAX_POLL_BACK_OFF * settings.rules.max_poll_interval_us)

    def poll_if_due(self) -> None:
        """Polls if the scheduled time has come, and neither a response nor a new schedule has replaced it."""
        if self.due_at is not None and self.due_at <= self._context.now:
            self.poll()

    def poll_failed(self) -> None:
        """Schedules the next poll; the wait doubles with each failure in a row, and has jitter."""
        interval_us = self._context.settings.rules.max_poll_interval_us
        wait_us = min(MIN_POLL_BACK_OFF * interval_us * 2**self.failed_calls, MAX_POLL_BACK_OFF * interval_us)
        self.failed_calls = min(self.failed_calls + 1, MAX_COUNTED_FAILURES)
        self._schedule_poll(
            wait_us * (MIN_POLL_JITTER + (1.0 - MIN_POLL_JITTER) * self._context.random.random())
        )

    def endpoints_received(self) -> None:
        """Records that discovery has responded, so that the subscription is active."""
        self.failed_calls = 0
        self.due_at = None

    def _schedule_poll(self, wait_us: float) -> None:
        """Schedules a poll after this wait; replaces any earlier schedule."""
        self.due_at = self._context.now + int(wait_us)
        self._timers.schedule(self.due_at, DISCOVERY, REQUEST_DEADLINE)
