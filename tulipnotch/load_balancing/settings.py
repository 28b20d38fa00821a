"""Settings of one balancer: what its deployment permits and asks for.

Times are whole microseconds. Settings hold what the balancer or its host can act on; the balancer itself does
not read all of them. The names of zones and tiers and the family of the service are left out, because a
decision that depends on a name would be wrong in another deployment. Costs that no action can cause are left
out too.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique

from tulipnotch.load_balancing.outcomes import Outcome


@unique
class Idempotency(Enum):
    """Whether the requests of a class may be executed more than once."""

    IDEMPOTENT = "idempotent"  # may be executed any number of times
    # Servers in the same deduplication scope execute it only once within the deduplication window.
    IDEMPOTENT_WITH_KEY = "idempotent_with_key"
    NON_IDEMPOTENT = "non_idempotent"  # must not be executed twice


@unique
class DeduplicationScope(Enum):
    """Which servers deduplicate the attempts of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@unique
class DiscoveryMode(Enum):
    """Whether discovery pushes changes of the endpoint list."""

    PUSHED = "pushed"
    POLLED = "polled"


@unique
class NominalCapacityMeaning(Enum):
    """What the nominal capacity of an endpoint means."""

    UNSPECIFIED = "unspecified"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


@unique
class ReportSource(Enum):
    """Where load reports of servers are found."""

    RESPONSES = "responses"
    HEALTH_CHECKS = "health_checks"
    NONE = "none"


@unique
class PriorityWeightBasis(Enum):
    """Whether the priority weight of a class counts for each request or for each unit of work."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of requests with the same latency objective, priority and idempotency."""

    name: str
    deadline_us: int
    latency_objective_us: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.CELL
    deduplication_window_us: int = 0
    streaming: bool = False
    latency_objective_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota of the fleet's capacity."""

    name: str
    weight: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on what the sidecar may do and use; times are in microseconds."""

    max_attempts: int = 1
    hedged_requests: bool = False
    may_cancel: bool = False
    may_health_check: bool = False
    may_send_peer_messages: bool = False
    retry_after: bool = False
    max_retry_after_us: int = 0
    connect_timeout_us: int = 250_000
    idle_timeout_us: int = 15_000_000
    streams_per_connection: int = 1
    max_open_requests: int | None = None  # open requests at a time, enforced by the sidecar; None: no limit
    cpu_us_per_s: int | None = None  # CPU time for the whole instance; None: no limit
    # Average CPU time for a request, including the processing of its outcomes; 0: no limit.
    cpu_us_per_request: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the four rules that the balancer enforces; the defaults are the most cautious values."""

    response_slack_us: int = 0
    max_poll_interval_us: int = 10_000_000
    drain_grace_us: int = 0
    initial_capacity: float = 0.1
    warm_up_us: int = 30_000_000
    overload_multiple: float = 1.0
    overload_window_us: int = 2_000_000
    # Whether a server may respond "overloaded" after it has begun to execute the request.
    overloaded_may_have_run: bool = False
    # Idle connections to draining endpoints are closed within this time; None: they may stay open.
    close_idle_within_us: int | None = None

    def proves_not_executed(self, outcome: Outcome, *, is_response_certain: bool = True) -> bool:
        """Returns whether the outcome proves that the server did not execute the request, not even in part.

        A response proves nothing unless it certainly belongs to this request.
        """
        if outcome is Outcome.OVERLOADED:
            return is_response_certain and not self.overloaded_may_have_run
        return outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class CostWeights:
    """Costs of extra traffic, as fractions of all service.

    Unless stated otherwise, a weight is the cost of one such event for each request.
    """

    cross_zone: float = 0.0
    health_check: float = 0.0
    peer_message: float = 0.0  # cost of 256 bytes delivered for each request
    wasted_work: float = 0.0  # cost of as much server work without a response as was requested in total
    handshake: float = 0.0
    connection: float = 0.0  # cost of a hundred open connections to each server
    discovery: float = 0.0  # cost of a hundred endpoint list entries received for each request
    late_failure: float = 0.0  # cost if all requests, by weight, fail after their latency objective


@dataclass(frozen=True, slots=True)
class ObjectiveWeights:
    """Weights of the parts of the overall objective; all zero: not given."""

    overall: float = 0.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0
    tail_slack: float = 0.0  # fraction of requests that may miss their latency objective at no cost


@dataclass(frozen=True, slots=True)
class Settings:
    """The complete settings of one sidecar instance."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    instance_index: int = -1  # this instance's number in its group, from 0; -1: not given
    instance_count: int = 1
    clock_resolution_us: int = 1_000
    discovery_mode: DiscoveryMode = DiscoveryMode.POLLED
    nominal_capacity: NominalCapacityMeaning = NominalCapacityMeaning.UNSPECIFIED
    priority_weight_basis: PriorityWeightBasis = PriorityWeightBasis.REQUEST
    over_quota_weight: float = 1.0
    report_source: ReportSource = ReportSource.NONE
    report_columns: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    cost_weights: CostWeights = field(default_factory=CostWeights)
    objective_weights: ObjectiveWeights = field(default_factory=ObjectiveWeights)
    machine_types: tuple[str, ...] = ()  # machine types that endpoint lists may name
    clients_mark_retries: bool = False
    # Whether a server that served a key recently needs less work for its next request.
    has_key_affinity: bool = False
