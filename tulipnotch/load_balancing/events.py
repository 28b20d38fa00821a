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
    """The state of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"


@unique
class EndpointUpdateKind(Enum):
    """How an update of the endpoint list is applied."""

    DELTA = "changes"  # changed entries only
    COMPLETE = "complete"  # endpoints that are missing are removed
    CACHED = "remembered"  # complete, as last stored before a restart
    FAILED = "failed"  # a call failed or the subscription broke; nothing changes


@dataclass(slots=True)
class EndpointDescription:
    """One entry of the endpoint list."""

    name: str
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.READY
    nominal_capacity: float = 1.0
    started_at: int | None = None  # None: long ago


@dataclass(slots=True)
class EndpointsUpdated:
    """An update of the endpoint list was received, or a poll for it failed."""

    kind: EndpointUpdateKind
    endpoints: Sequence[EndpointDescription] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A client's request; a final response to it is pending from here on."""

    request: int
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # the estimated work on a standard core, where the client sent one
    client_retry: bool = False
    is_write: bool = False
    body_incomplete: bool = False  # its time has not begun; RequestBodyCompleted follows


@dataclass(slots=True)
class RequestBodyCompleted:
    """The last byte of a request has arrived: its time runs, and servers may begin it."""

    request: int
    remaining_us: int


@dataclass(slots=True)
class ResponseStarted:
    """The streamed response of an attempt has begun; the attempt is committed to from here on."""

    request: int
    attempt: int
    endpoint: str
    elapsed_us: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended.  `is_responded`: the client has its final response, by this or another attempt."""

    request: int
    attempt: int
    endpoint: str
    outcome: Outcome
    elapsed_us: int
    is_responded: bool
    report: Mapping[str, float] | None = None
    is_retryable: bool = True  # whether the complete request is still there to be written again
    is_response_certain: bool = (
        True  # whether the response can belong to no earlier request of its connection
    )


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected; no response is pending any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer set earlier is due."""

    token: str


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check ended."""

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
    """New settings are in force from now on; accepted requests retain the class that they arrived with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ServiceLevelChanged:
    """Reject these classes from now on: of some the part above a tenant's quota, of others all of it."""

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
