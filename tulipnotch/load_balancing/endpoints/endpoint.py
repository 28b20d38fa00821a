"""Records of the endpoints that a balancer knows: data only, they import no policy."""

from __future__ import annotations

from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.slow_start.token_bucket import ExpiringTokenBucket


class WarmUp:
    """The last start of an endpoint's process, and what this balancer may send to it while it warms up."""

    __slots__ = ("budget", "is_start_announced", "started_at")

    def __init__(self, started_at: int, budget: ExpiringTokenBucket, *, is_start_announced: bool) -> None:
        """`started_at` is a clock time in microseconds; `is_start_announced`: discovery announced it."""
        self.started_at = started_at
        self.budget = budget
        self.is_start_announced = is_start_announced


class Ejection:
    """How long an endpoint gets no ordinary request, and how often that was extended."""

    __slots__ = ("count", "until")

    def __init__(self) -> None:
        """Begin with no end; outlier detection sets it."""
        self.until = 0  # clock time in microseconds; a probation attempt is due from then on
        self.count = 0  # consecutive ejections, none readmitted in between


class Health:
    """What the ends of attempts show of an endpoint's health."""

    __slots__ = ("consecutive_failures", "consecutive_malformed", "last_response_at", "probation_attempt")

    def __init__(self) -> None:
        """Begin healthy, with no response seen."""
        self.consecutive_failures = 0
        self.consecutive_malformed = 0
        self.last_response_at = -1
        self.probation_attempt: object | None = None  # the one that may readmit it; compared by identity


class BackOff:
    """An endpoint's overloaded responses to one class: requests of the class avoid it for a while."""

    __slots__ = ("latency_objectives", "until")

    def __init__(self) -> None:
        """Begin with no back-off."""
        self.latency_objectives = 0.0  # its length, as a multiple of the longest latency objective
        self.until = 0  # clock time in microseconds


class Endpoint:
    """What this balancer knows of one server."""

    __slots__ = (
        "abandoned",
        "back_offs",
        "cell",
        "connections",
        "ejection",
        "health",
        "idle_since",
        "in_flight",
        "latency_ratio",
        "name",
        "nominal_capacity",
        "sort_key",
        "started_at",
        "state",
        "warm_up",
        "zone",
    )

    def __init__(self, name: str, sort_key: float) -> None:
        """Begin unlisted; `sort_key` is random, drawn once: this balancer's own order of the endpoints."""
        self.name = name
        self.sort_key = sort_key
        # As listed by discovery.
        self.zone = ""
        self.cell = 0
        self.nominal_capacity = 1.0
        self.state = EndpointState.REMOVED
        self.started_at: int | None = None  # None: long ago
        # As observed by this balancer.
        self.latency_ratio = 1.0  # its response times, relative to what is usual for such requests
        self.in_flight = 0
        self.abandoned: list[int] = []  # when each abandoned attempt stops counting as in flight
        self.connections = 0  # that are open, as far as attempts show
        self.idle_since: int | None = None  # when a connection was last used; None: there is none to reuse
        self.back_offs: dict[str, BackOff] = {}  # by name of the class
        self.health = Health()
        self.ejection: Ejection | None = None
        self.warm_up: WarmUp | None = None  # None: its start is not known, or was long ago
