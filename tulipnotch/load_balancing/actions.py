"""Actions: what a balancer asks the program around it to do, in order.

Times are whole microseconds.  Actions are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from tulipnotch.load_balancing.outcomes import Reason


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered from 0 in the order they are sent."""

    request: int
    server: str
    until: int  # clock time at which the attempt is abandoned; NEVER: the request's time has not begun


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; trying again is harmless.  `reason` is for records only."""

    request: int
    retry_after_us: int = 0
    reason: Reason = field(default=Reason.NO_SERVER, compare=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed; nothing is promised.  `reason` is for records only."""

    request: int
    reason: Reason = field(default=Reason.NO_RETRY, compare=False)


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerFired."""

    in_us: int
    token: str


@dataclass(slots=True)
class Probe:
    """Test a server."""

    server: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: str


@dataclass(slots=True)
class Tell:
    """Send a message to one balancer of the tier, or to all (None)."""

    receiver: int | None
    payload: bytes


@dataclass(slots=True)
class Follow:
    """Subscribe to changes of the server list, or end that."""

    wanted: bool = True


@dataclass(slots=True)
class FetchList:
    """Ask once for the complete server list."""


@dataclass(slots=True)
class Note:
    """An event for the operators: its name and fields, of those that the sidecar's log knows."""

    event: str
    server: str
    reason: str = ""

    @property
    def fields(self) -> dict[str, str]:
        fields = {"server": self.server, "reason": self.reason}
        return {name: value for name, value in fields.items() if value}

    @property
    def text(self) -> str:
        return f"{self.event} {self.server}" + (f": {self.reason}" if self.reason else "")


Action = Send | Refuse | Fail | Cancel | SetTimer | Probe | CloseIdle | Tell | Follow | FetchList | Note
