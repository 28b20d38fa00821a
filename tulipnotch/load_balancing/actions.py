"""Actions that a balancer asks its host to carry out, in order.

Times are whole microseconds. Actions are plain slotted dataclasses; treat them as immutable values.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tulipnotch.load_balancing.outcomes import TerminationReason


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt. The attempts of a request are numbered from 0, in the order in which they start."""

    request: int
    endpoint: str
    # Clock time at which to abandon the attempt; NEVER: the request's time limit does not run yet.
    deadline: int


@dataclass(slots=True)
class RejectRequest:
    """Send the final response "rejected": a retry by the client is harmless. `reason` is only recorded."""

    request: int
    retry_after_us: int = 0  # how long the client should wait before a retry; 0: no advice
    reason: TerminationReason = field(default=TerminationReason.NO_ENDPOINT, compare=False)


@dataclass(slots=True)
class FailRequest:
    """Send the final response "failed": a server may have executed the request. `reason` is only recorded."""

    request: int
    reason: TerminationReason = field(default=TerminationReason.NO_RETRY, compare=False)


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt: stop waiting for its response."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Set a timer that is reported as `TimerFired` with the same token."""

    delay_us: int
    token: str


@dataclass(slots=True)
class StartHealthCheck:
    """Send a health check to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close all idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one balancer of the tier; receiver None: to all."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list, or unsubscribe."""

    is_subscribed: bool = True


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True)
class LogEvent:
    """Write an event to the log; its name and fields must be among those that the sidecar's log defines."""

    event: str
    endpoint: str
    reason: str = ""

    @property
    def fields(self) -> dict[str, str]:
        """Fields of the log event that are not empty."""
        fields = {"server": self.endpoint, "reason": self.reason}
        return {name: value for name, value in fields.items() if value}

    @property
    def text(self) -> str:
        """The event as one line of text."""
        return f"{self.event} {self.endpoint}" + (f": {self.reason}" if self.reason else "")


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | StartHealthCheck
    | CloseIdleConnections
    | SendPeerMessage
    | Subscribe
    | FetchEndpoints
    | LogEvent
)
