"""The settings of one balancer: what the deployment permits and asks for.

Times are whole microseconds.  Settings hold what a decision of the balancer or its host can act on; the
balancer itself does not read all of them.  The names of zones and tiers and the family of the service are
left out, since a decision that depends on a name is wrong in another deployment, and so are the costs of what
no action can cause.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique

from tulipnotch.load_balancing.outcomes import Outcome


@unique
class Idempotency(Enum):
    """Whether the requests of a class may be executed more than once."""

    IDEMPOTENT = "idempotent"  # may be executed any number of times
    # Servers of one deduplication scope execute it once within the deduplication window.
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
    """What the priority weight of a class is counted for."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """One class of requests."""

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
    """One tenant, and its quota of the fleet."""

    name: str
    weight: float = 1.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits; times in microseconds."""

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
    max_open_requests: int | None = None  # at once, enforced by the sidecar; None: no limit
    cpu_us_per_s: int | None = None  # of CPU time, for the instance; None: no limit
    cpu_us_per_request: float = 0.0  # of CPU time, on average, with the outcomes; 0: no limit


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the four rules; the defaults are the most cautious values."""

    response_slack_us: int = 0
    max_poll_interval_us: int = 10_000_000
    drain_grace_us: int = 0
    initial_capacity: float = 0.1
    warm_up_us: int = 30_000_000
    overload_multiple: float = 1.0
    overload_window_us: int = 2_000_000
    overloaded_may_have_run: bool = False  # an overloaded response may follow work that had begun
    close_idle_within_us: int | None = None  # to draining endpoints; None: no such rule

    def proves_not_executed(self, outcome: Outcome, *, is_response_certain: bool = True) -> bool:
        """Whether the outcome proves that the server did not execute the request, not even in part.

        A response proves nothing unless it is certain that it belongs to this request.
        """
        if outcome is Outcome.OVERLOADED:
            return is_response_certain and not self.overloaded_may_have_run
        return outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class CostWeights:
    """What extra traffic costs, as a part of all service, at one event a request unless said otherwise."""

    cross_zone: float = 0.0
    health_check: float = 0.0
    peer_message: float = 0.0  # for 256 bytes a request, delivered
    wasted_work: float = 0.0  # for work of servers that ends without a response, as much as was requested
    handshake: float = 0.0
    connection: float = 0.0  # for a hundred open connections a server
    discovery: float = 0.0  # for a hundred entries of endpoint lists a request
    late_failure: float = 0.0  # for all requests, by weight, failing after their latency objective


@dataclass(frozen=True, slots=True)
class ObjectiveWeights:
    """The weights of the parts of the overall objective; all zero: not given."""

    overall: float = 0.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0
    tail_slack: float = 0.0  # the part of requests that may miss their latency objective at no cost


@dataclass(frozen=True, slots=True)
class Settings:
    """The complete settings of one instance."""

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    instance_index: int = -1  # this instance's number in the group, from 0; -1: not given
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
    machine_types: tuple[str, ...] = ()  # those that endpoint lists may name
    clients_mark_retries: bool = False
    has_key_affinity: bool = False  # a server that saw a key lately needs less work for it
