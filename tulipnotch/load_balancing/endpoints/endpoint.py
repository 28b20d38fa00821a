"""Records of the endpoints that a balancer knows: data only; this module imports no policy."""

from __future__ import annotations

from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.slow_start.token_bucket import ExpiringTokenBucket


class WarmUp:
    """Warm-up of an endpoint: the last start of its process, and its request budget while it warms up."""

    __slots__ = ("budget", "is_start_announced", "started_at")

    def __init__(self, started_at: int, budget: ExpiringTokenBucket, *, is_start_announced: bool) -> None:
        """Starts at clock time `started_at` (us); `is_start_announced`: discovery announced that time."""
        self.started_at = started_at
        self.budget = budget
        self.is_start_announced = is_start_announced


class Ejection:
    """Ejection of an endpoint: how long it gets no regular requests, and how often that was extended."""

    __slots__ = ("consecutive_ejections", "until")

    def __init__(self) -> None:
        """Starts without an end time; outlier detection sets it."""
        self.until = 0  # clock time in microseconds from which a probation attempt is due
        self.consecutive_ejections = 0  # ejections without a readmission in between


class Health:
    """Health of an endpoint, as observed from the ends of its attempts."""

    __slots__ = ("consecutive_failures", "consecutive_malformed", "last_response_at", "probation_attempt")

    def __init__(self) -> None:
        """Starts as healthy, with no responses."""
        self.consecutive_failures = 0
        self.consecutive_malformed = 0
        self.last_response_at = -1
        # The attempt that may readmit the endpoint; compared by identity.
        self.probation_attempt: object | None = None


class BackOff:
    """Back-off after overloaded responses to one class: requests of this class avoid the endpoint."""

    __slots__ = ("latency_objectives", "until")

    def __init__(self) -> None:
        """Starts with no back-off."""
        # Length of the back-off, as a multiple of the longest latency objective.
        self.latency_objectives = 0.0
        self.until = 0  # clock time in microseconds


class Endpoint:
    """One server, as listed by discovery and as observed by this balancer."""

    __slots__ = (
        "abandoned_until",
        "back_offs",
        "cell",
        "connection_count",
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
        """Starts as not listed; `sort_key` is a random number that orders endpoints for this balancer."""
        self.name = name
        self.sort_key = sort_key
        # Fields as listed by discovery:
        self.zone = ""
        self.cell = 0
        self.nominal_capacity = 1.0
        self.state = EndpointState.REMOVED
        self.started_at: int | None = None  # clock time at which its process started; None: long ago
        # Fields as observed by this balancer:
        self.latency_ratio = 1.0  # its response times relative to the expected ones
        self.in_flight = 0
        # Clock times at which its abandoned attempts stop counting as in flight.
        self.abandoned_until: list[int] = []
        self.connection_count = 0  # open connections, as far as the attempts tell
        # Clock time at which a connection became idle; None: there is none to reuse.
        self.idle_since: int | None = None
        self.back_offs: dict[str, BackOff] = {}  # keyed by class name
        self.health = Health()
        self.ejection: Ejection | None = None
        self.warm_up: WarmUp | None = None  # None: its start is not known, or it was long ago
