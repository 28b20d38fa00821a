"""How fast a client sends or reads."""

from __future__ import annotations

from tulipnotch.sidecar.downstream.client_limits import ClientLimits


class TransferProgress:
    """The last progress on a connection, and the bytes received in a window, by the event loop's time (s)."""

    __slots__ = ("_window_bytes", "_window_started_at", "last_at")

    def __init__(self) -> None:
        """Begin with no progress and an empty window."""
        self.last_at = 0.0  # when bytes came, or could be written
        self._window_started_at = 0.0
        self._window_bytes = 0

    def received(self, now: float, nbytes: int) -> None:
        """Count bytes that came."""
        self.last_at = now
        self._window_bytes += nbytes

    def start_window(self, now: float) -> None:
        """Count from now on."""
        self._window_started_at, self._window_bytes = now, 0

    def restart(self, now: float) -> None:
        """Forget how long nothing came: it was the sidecar that did not read."""
        self.last_at = now
        self.start_window(now)

    def is_stalled(self, now: float, limits: ClientLimits) -> bool:
        """Return whether nothing came for too long, or too little; starts a window when one is over."""
        if now - self.last_at >= limits.stall_s:
            return True
        if now - self._window_started_at < limits.trickle_s:
            return False
        is_trickle = self._window_bytes < limits.least_in_trickle
        self.start_window(now)
        return is_trickle
