"""Progress of a client in sending its request and in reading its response."""

from __future__ import annotations

from tulipnotch.sidecar.downstream.client_limits import ClientLimits


class TransferProgress:
    """Time of the last progress on a connection, and the bytes received in the current window.

    All times are in seconds of the event loop's clock.
    """

    __slots__ = ("_window_bytes", "_window_started_at", "last_progress_at")

    def __init__(self) -> None:
        """Starts without progress and with an empty window."""
        self.last_progress_at = 0.0  # when bytes were last received, or could be written to the client
        self._window_started_at = 0.0
        self._window_bytes = 0

    def record_received(self, now: float, nbytes: int) -> None:
        """Counts bytes that were received."""
        self.last_progress_at = now
        self._window_bytes += nbytes

    def start_window(self, now: float) -> None:
        """Starts a new window, in which no byte was received yet."""
        self._window_started_at, self._window_bytes = now, 0

    def restart(self, now: float) -> None:
        """Discards the time without progress, in which the sidecar itself had paused reading."""
        self.last_progress_at = now
        self.start_window(now)

    def is_stalled(self, now: float, limits: ClientLimits) -> bool:
        """Returns whether the client sends nothing or too little; starts a new window when one is over."""
        if now - self.last_progress_at >= limits.stall_s:
            return True
        if now - self._window_started_at < limits.trickle_s:
            return False
        is_too_slow = self._window_bytes < limits.least_in_trickle
        self.start_window(now)
        return is_too_slow
