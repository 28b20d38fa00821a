"""How late the event loop runs its timers, which shows when one peer's input has held it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from tulipnotch.sidecar.logs import Log
from tulipnotch.sidecar.process_memory import BufferUsage

_CHECK_INTERVAL_S = 0.05
_WINDOW_CHECKS = 40  # the gauge is the longest delay of so many checks, some 2 s
_LOGGED_DELAY_S = 0.1
_LOG_INTERVAL_S = 1.0


class EventLoopMonitor:
    """Measures the delay of a periodic timer, and logs a long delay with the open connections.

    Attributes:
        max_delay_s: The longest delay since the start (s).
    """

    def __init__(
        self, usage: Callable[[], BufferUsage], log: Log, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Creates a monitor that measures nothing before `start`.

        Args:
            usage: Returns what the connections hold now.
            log: Receives an event for a long delay, once a second at most.
            clock: A monotonic clock (s); the event loop's own time stands still within a callback.
        """
        self._usage = usage
        self._log = log
        self._clock = clock
        self._recent_delays_s = [0.0]
        self._logged_at = -_LOG_INTERVAL_S
        self._due_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.max_delay_s = 0.0

    @property
    def recent_delay_s(self) -> float:
        """The longest delay of the last two seconds (s)."""
        return max(self._recent_delays_s)

    def start(self) -> None:
        """Schedules the next check, which schedules the one after it."""
        self._due_at = self._clock() + _CHECK_INTERVAL_S
        self._timer = asyncio.get_running_loop().call_later(_CHECK_INTERVAL_S, self._check_and_reschedule)

    def stop(self) -> None:
        """Cancels the next check."""
        if self._timer is not None:
            self._timer.cancel()

    def _check_and_reschedule(self) -> None:
        self.record_delay(max(self._clock() - self._due_at, 0.0))
        self.start()

    def record_delay(self, delay_s: float) -> None:
        """Records by how much a check was late, and logs a long delay."""
        self.max_delay_s = max(self.max_delay_s, delay_s)
        self._recent_delays_s = [*self._recent_delays_s[-_WINDOW_CHECKS + 1 :], delay_s]
        now = self._clock()
        if delay_s < _LOGGED_DELAY_S or now - self._logged_at < _LOG_INTERVAL_S:
            return
        self._logged_at = now
        usage = self._usage()
        self._log(
            "event_loop_delayed",
            delay_ms=round(delay_s * 1_000),
            clients=usage.clients,
            servers=usage.servers,
        )
