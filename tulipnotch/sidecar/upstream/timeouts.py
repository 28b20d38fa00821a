"""How long the servers' side waits, as it follows from the settings."""

from __future__ import annotations

from dataclasses import dataclass

from tulipnotch.load_balancing.settings import Settings

# Part of the idle timeout for which a connection is not used any more: the server may be closing it.
_IDLE_TIMEOUT_MARGIN = 0.1
# A response that makes no progress is given up while its request can still be served elsewhere: after a part
# of the shortest latency objective, but not sooner than a busy machine delays any response.  That minimum is
# limited to a part of the shortest deadline; the remaining part is for another server.
_STALL_OBJECTIVE_RATIO = 0.4
_MIN_STALL_TIMEOUT_S = 0.1
_STALL_DEADLINE_RATIO = 0.5


@dataclass(frozen=True, slots=True)
class UpstreamTimeouts:
    """The time limits of connections to servers.

    Attributes:
        connect_s: From the start of a connection's establishment to its end.
        response_stall_s: Without progress of a response that has started and is not streamed.
        max_idle_us: From the end of one exchange to the start of the next.
    """

    connect_s: float
    response_stall_s: float
    max_idle_us: int

    @classmethod
    def from_settings(cls, settings: Settings) -> UpstreamTimeouts:
        """Derive the limits from the objectives, the deadlines and the limits of the settings."""
        objective_s = min(each.latency_objective_us for each in settings.classes) / 1e6
        deadline_s = min(each.deadline_us for each in settings.classes) / 1e6
        min_stall_s = min(_MIN_STALL_TIMEOUT_S, _STALL_DEADLINE_RATIO * deadline_s)
        return cls(
            connect_s=settings.limits.connect_timeout_us / 1e6,
            response_stall_s=max(_STALL_OBJECTIVE_RATIO * objective_s, min_stall_s),
            max_idle_us=int(settings.limits.idle_timeout_us * (1.0 - _IDLE_TIMEOUT_MARGIN)),
        )
