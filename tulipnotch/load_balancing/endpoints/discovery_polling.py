"""When to ask discovery for the server list, where changes do not come unasked."""

from __future__ import annotations

from tulipnotch.load_balancing.actions import Subscribe
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.settings import DiscoveryMode
from tulipnotch.load_balancing.timer_queue import DISCOVERY, WHOLE_REQUEST, TimerQueue

ASK_FIRST_WAIT = 0.05  # before asking again after a failed call, of the time allowed without asking
ASK_LONGEST_WAIT = 0.25  # of the same: three failed calls in a row still fit
ASK_JITTER_LEAST = 0.5  # a wait lasts this part of the nominal one at least, so that instances spread out
MOST_FAILURES = 8  # counted: the wait is at its longest long before


class DiscoveryPolling:
    """The schedule of calls to discovery."""

    def __init__(self, context: Context, agenda: TimerQueue) -> None:
        self._context = context
        self._agenda = agenda
        self.failed_calls = 0  # in a row
        self.due_at: int | None = None  # of the next call; None while the list is followed

    def ask(self) -> None:
        """Follow the list where it must be asked for.

        A call that is never answered is made again: an instance may not pass `ask_within_us` without one.
        """
        settings = self._context.settings
        if settings.discovery_mode is DiscoveryMode.POLLED:
            self._context.actions.append(Subscribe(True))
            self._ask_in(ASK_LONGEST_WAIT * settings.rules.max_poll_interval_us)

    def ask_if_due(self) -> None:
        """Ask, unless an answer or a later plan has replaced this one."""
        if self.due_at is not None and self.due_at <= self._context.now:
            self.ask()

    def call_failed(self) -> None:
        """Wait twice as long after each failed call in a row, with jitter."""
        allowed = self._context.settings.rules.max_poll_interval_us
        wait = min(ASK_FIRST_WAIT * allowed * 2**self.failed_calls, ASK_LONGEST_WAIT * allowed)
        self.failed_calls = min(self.failed_calls + 1, MOST_FAILURES)
        self._ask_in(wait * (ASK_JITTER_LEAST + (1.0 - ASK_JITTER_LEAST) * self._context.random.random()))

    def list_received(self) -> None:
        """Discovery has answered, so the list is followed."""
        self.failed_calls = 0
        self.due_at = None

    def _ask_in(self, wait: float) -> None:
        """Ask after this wait, in place of any earlier plan."""
        self.due_at = self._context.now + int(wait)
        self._agenda.schedule(self.due_at, DISCOVERY, WHOLE_REQUEST)
