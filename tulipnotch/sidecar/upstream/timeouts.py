"""The timeouts of connections to servers, derived from the settings."""

from __future__ import annotations

from dataclasses import dataclass

from tulipnotch.load_balancing.settings import Settings

# Fraction of the idle timeout, at its end, in which a connection is not used: the server may be closing it.
_IDLE_TIMEOUT_MARGIN = 0.1
# A stalled response is abandoned while its request can still be served by another server: after a fraction of
# the shortest latency objective, but not before a minimum, since a busy machine may delay any response that
# long.  The minimum is limited to a fraction of the shortest deadline; the rest is left for another server.
_STALL_OBJECTIVE_RATIO = 0.4
_MIN_STALL_TIMEOUT_S = 0.1
_STALL_DEADLINE_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """The timeouts of connections to servers.

    Attributes:
        connect_s: The longest time to establish a connection.
        response_stall_s: The longest time without progress of a response that has started, unless it
            is streamed.
        max_idle_us: The longest time from the end of one exchange to the start of the next.
    """

    connect_s: float
    response_stall_s: float
    max_idle_us: int

    @classmethod
    def from_settings(cls, settings: Settings) -> UpstreamTimeouts:
        """Derives the timeouts from the latency objectives, deadlines and limits in the settings."""
        objective_s = min(each.latency_objective_us for each in settings.classes) / 1e6
        deadline_s = min(each.deadline_us for each in settings.classes) / 1e6
        min_stall_s = min(_MIN_STALL_TIMEOUT_S, _STALL_DEADLINE_RATIO * deadline_s)
        return cls(
            connect_s=settings.limits.connect_timeout_us / 1e6,
            response_stall_s=max(_STALL_OBJECTIVE_RATIO * objective_s, min_stall_s),
            max_idle_us=int(settings.limits.idle_timeout_us * (1.0 - _IDLE_TIMEOUT_MARGIN)),
        )
