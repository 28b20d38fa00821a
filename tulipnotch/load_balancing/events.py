"""Events that a balancer is notified of.

Times are whole microseconds. Events are plain slotted dataclasses; treat them as immutable values.
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

    DELTA = "changes"  # only the entries that changed
    COMPLETE = "complete"  # the complete list; endpoints that are missing in it are removed
    CACHED = "remembered"  # the complete list, as stored before the last restart
    FAILED = "failed"  # a poll failed or the subscription broke; the endpoint list does not change


@dataclass(slots=True)
class EndpointDescription:
    """One entry of the endpoint list."""

    name: str
    zone: str = ""
    machine_type: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.READY
    nominal_capacity: float = 1.0
    started_at: int | None = None  # clock time at which the server's process started; None: long ago


@dataclass(slots=True)
class EndpointsUpdated:
    """An update of the endpoint list was received, or a poll for it failed."""

    kind: EndpointUpdateKind
    endpoints: Sequence[EndpointDescription] = ()
    version: int = 0


@dataclass(slots=True)
class RequestArrived:
    """A request arrived from a client; a final response to it is pending from now on."""

    request: int
    service_class: str
    tenant: str | None
    key: int | None
    remaining_us: int
    cost_us: int | None = None  # estimated work on a standard core; None: the client sent no estimate
    client_retry: bool = False
    is_write: bool = False
    body_incomplete: bool = False  # its time limit does not run yet; RequestBodyCompleted follows


@dataclass(slots=True)
class RequestBodyCompleted:
    """The last byte of a request arrived; its time limit runs from now on, and servers may execute it."""

    request: int
    remaining_us: int


@dataclass(slots=True)
class RequestTimedOut:
    """The client of an incomplete request may have no time left; no further attempt can serve it."""

    request: int


@dataclass(slots=True)
class ResponseStarted:
    """The streamed response of an attempt began; the attempt can no longer be replaced by another."""

    request: int
    attempt: int
    endpoint: str
    elapsed_us: int


@dataclass(slots=True)
class ResponseBegan:
    """A part of the response to an attempt arrived; its server is responsive, and its request is executed."""

    request: int
    attempt: int


@dataclass(slots=True)
class ResponseStalled:
    """The response to an attempt has begun and makes no progress; its rest is still waited for."""

    request: int
    attempt: int
    is_retryable: bool  # whether the complete request is still stored and can be sent again


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; `is_responded`: the client has its final response, from this or another attempt."""

    request: int
    attempt: int
    endpoint: str
    outcome: Outcome
    elapsed_us: int
    is_responded: bool
    report: Mapping[str, float] | None = None
    is_retryable: bool = True  # whether the complete request is still stored and can be sent again
    # Whether the response is certain not to belong to an earlier request on its connection.
    is_response_certain: bool = True


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected; no response is pending any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer that was set earlier fired."""

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
    """A message from another balancer of the tier was received."""

    sender: int
    payload: bytes


@dataclass(slots=True)
class SettingsChanged:
    """New settings apply from now on; requests accepted earlier keep the service class they arrived with."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class ServiceLevelChanged:
    """The service level changed; it names the classes to reject from now on, in part or completely.

    Of `over_quota_classes`, the traffic above the quota of its tenant is rejected; of `rejected_classes`, all
    traffic.
    """

    over_quota_classes: frozenset[str]
    rejected_classes: frozenset[str]


@dataclass(frozen=True, slots=True)
class ProcessCountChanged:
    """Another process of the same instance has started or ended; they divide the instance's budgets.

    `is_new`: this process is the one that has started, and has sent no request yet.
    """

    process_count: int
    is_new: bool


Event = (
    EndpointsUpdated
    | SettingsChanged
    | ServiceLevelChanged
    | RequestArrived
    | RequestBodyCompleted
    | RequestTimedOut
    | ResponseStarted
    | ResponseBegan
    | ResponseStalled
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
    | ProcessCountChanged
)
