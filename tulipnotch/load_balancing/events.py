"""Events: what a balancer is notified of.

Times are whole microseconds.  Events are plain slotted dataclasses; treat them as values.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Settings


@unique
class EndpointState(Enum):
    """What the server list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@unique
class EndpointUpdateKind(Enum):
    """How a server list is to be read."""

    DELTA = "changes"  # changed entries only
    COMPLETE = "complete"  # who is missing is gone
    CACHED = "remembered"  # complete, but as last held before a restart
    FAILED = "failed"  # a call failed or the subscription broke; nothing changes


@dataclass(slots=True)
class EndpointDescription:
    """A line of the server list."""

    name: str
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.READY
    nominal_capacity: float = 1.0
    started_at: int | None = None  # None: long ago


@dataclass(slots=True)
class EndpointsUpdated:
    """The server list was heard, or a call for it failed."""

    kind: EndpointUpdateKind
    endpoints: Sequence[EndpointDescription] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request; one final answer is owed from here on."""

    request: int
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # a hint of the work, where the client gave one
    client_retry: bool = False
    is_write: bool = False
    body_incomplete: bool = False  # its body still comes, so its time has not begun: RequestWhole follows


@dataclass(slots=True)
class RequestBodyCompleted:
    """The last byte of a request that was still coming is there: its time runs, and servers may begin it."""

    request: int
    remaining_us: int


@dataclass(slots=True)
class ResponseStarted:
    """The streamed answer of an attempt has begun; the attempt now belongs to the client."""

    request: int
    attempt: int
    endpoint: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.  `answered`: the client has its final answer, by this outcome or an earlier one."""

    request: int
    attempt: int
    endpoint: str
    outcome: Outcome
    elapsed_us: int
    is_responded: bool
    report: Mapping[str, float] | None = None
    is_retryable: bool = True  # whether the request can be written once more; what was not kept of it can't
    is_response_certain: bool = True  # whether the answer can belong to no earlier request on its connection


@dataclass(slots=True)
class ClientDisconnected:
    """The client went away; nothing is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: str


@dataclass(slots=True)
class HealthCheckEnded:
    """A probe came back."""

    endpoint: str
    outcome: Outcome
    elapsed_us: int
    report: Mapping[str, float] | None = None


@dataclass(slots=True)
class PeerMessageReceived:
    """A message from another balancer of the tier."""

    sender: int
    payload: bytes


@dataclass(slots=True)
class SettingsChanged:
    """New settings are in force from now on; requests under way keep the class that they arrived with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ServiceLevelChanged:
    """From now on these classes are kept out: of some what is over a tenant's share, of others all of it."""

    over_quota_classes: frozenset[str]
    rejected_classes: frozenset[str]


Event = (
    EndpointsUpdated
    | SettingsChanged
    | ServiceLevelChanged
    | RequestArrived
    | RequestBodyCompleted
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
)
