"""Timers of one response that has begun: its silence, and how long its beginning is held back."""

from __future__ import annotations

import asyncio
from typing import Protocol

# Longest time for which the beginning of a response without an announced length is buffered; users allow 2 s.
_MAX_HOLD_S = 1.5


class ResponseTimersOwner(Protocol):
    """Decides what happens to a response whose timer has fired."""

    def response_stalled(self) -> None:
        """Called once for each time in which the response has made no progress for the stall timeout."""
        ...

    def pass_on_response(self) -> bool:
        """Called when a beginning was held back for long; returns whether the response is streamed."""
        ...


class ResponseTimers:
    """Measures the progress of a response from its first byte; `is_paused` time does not count.

    Attributes:
        stall_timeout_s: The longest silence (s); it may change while a response is incomplete.
        is_paused: Whether the response is not read for now.
    """

    def __init__(self, stall_timeout_s: float) -> None:
        """Creates the timers of a connection, none of which runs yet."""
        self._progress_at = 0.0  # event loop time (s) at which a part of the response was last received
        self._stall_timer: asyncio.TimerHandle | None = None
        self._hold_timer: asyncio.TimerHandle | None = None
        self.stall_timeout_s = stall_timeout_s
        self.is_paused = False

    def progressed(self) -> None:
        """Records that a part of the response was received, or that reading it continues."""
        self._progress_at = asyncio.get_running_loop().time()

    def response_incomplete(self, owner: ResponseTimersOwner, *, is_held_back: bool) -> None:
        """Starts the timers that do not run yet; `is_held_back` tells whether a part could be passed on.

        Only a running timer refers to the owner, so that a closed connection is freed at once.
        """
        if self._stall_timer is None:
            self._check_stall(owner)
        if is_held_back and self._hold_timer is None:
            self._hold_timer = asyncio.get_running_loop().call_later(_MAX_HOLD_S, owner.pass_on_response)

    def stop(self) -> None:
        """Stops both timers."""
        for timer in (self._stall_timer, self._hold_timer):
            if timer is not None:
                timer.cancel()
        self._stall_timer = self._hold_timer = None

    def _check_stall(self, owner: ResponseTimersOwner) -> None:
        loop = asyncio.get_running_loop()
        if self.is_paused:
            self._progress_at = loop.time()
        remaining_s = self._progress_at + self.stall_timeout_s - loop.time()
        if remaining_s > 0.0:
            self._stall_timer = loop.call_later(remaining_s, self._check_stall, owner)
            return
        self._stall_timer = None
        owner.response_stalled()
