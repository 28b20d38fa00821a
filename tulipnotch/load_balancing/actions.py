"""Actions: what a balancer asks its host to do, in order.

Times are whole microseconds.  Actions are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tulipnotch.load_balancing.outcomes import TerminationReason


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt; a request's attempts are numbered from 0 in the order they are started."""

    request: int
    endpoint: str
    deadline: int  # clock time at which the attempt is abandoned; NEVER: the request's time has not begun


@dataclass(slots=True)
class RejectRequest:
    """Final response: rejected; a retry by the client is harmless.  `reason` is for records only."""

    request: int
    retry_after_us: int = 0  # 0: no advice
    reason: TerminationReason = field(default=TerminationReason.NO_ENDPOINT, compare=False)


@dataclass(slots=True)
class FailRequest:
    """Final response: failed; a server may have executed the request.  `reason` is for records only."""

    request: int
    reason: TerminationReason = field(default=TerminationReason.NO_RETRY, compare=False)


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a TimerFired."""

    delay_us: int
    token: str


@dataclass(slots=True)
class StartHealthCheck:
    """Send a health check to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one balancer of the tier, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list, or end the subscription."""

    is_subscribed: bool = True


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True)
class LogEvent:
    """An event for the operators: its name, and its fields among those that the sidecar's log defines."""

    event: str
    endpoint: str
    reason: str = ""

    @property
    def fields(self) -> dict[str, str]:
        """The fields of the log event that are not empty."""
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
