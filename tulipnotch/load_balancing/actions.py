"""Actions: what a balancer asks the program around it to do, in order.

Times are whole microseconds.  Actions are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tulipnotch.load_balancing.outcomes import TerminationReason


@dataclass(slots=True)
class StartAttempt:
    """Start an attempt; a request's attempts are numbered from 0 in the order they are sent."""

    request: int
    endpoint: str
    deadline: int  # clock time at which the attempt is abandoned; NEVER: the request's time has not begun


@dataclass(slots=True)
class RejectRequest:
    """Final answer: refused; trying again is harmless.  `reason` is for records only."""

    request: int
    retry_after_us: int = 0
    reason: TerminationReason = field(default=TerminationReason.NO_ENDPOINT, compare=False)


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed; nothing is promised.  `reason` is for records only."""

    request: int
    reason: TerminationReason = field(default=TerminationReason.NO_RETRY, compare=False)


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired."""

    delay_us: int
    token: str


@dataclass(slots=True)
class StartHealthCheck:
    """Test a server."""

    endpoint: str


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to a server."""

    endpoint: str


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one balancer of the tier, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes of the server list, or end that."""

    is_subscribed: bool = True


@dataclass(slots=True)
class FetchEndpoints:
    """Ask once for the complete server list."""


@dataclass(slots=True)
class LogEvent:
    """An event for the operators: its name and fields, of those that the sidecar's log knows."""

    event: str
    endpoint: str
    reason: str = ""

    @property
    def fields(self) -> dict[str, str]:
        fields = {"server": self.endpoint, "reason": self.reason}
        return {name: value for name, value in fields.items() if value}

    @property
    def text(self) -> str:
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
