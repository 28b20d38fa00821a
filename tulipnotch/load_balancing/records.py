"""What a balancer keeps of servers, requests and attempts: plain records."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.settings import ServiceClass

if TYPE_CHECKING:
    from tulipnotch.load_balancing.slow_start.warm_up_budget import WarmUpBudget

LEAST_SIZE = -3  # costs below an eighth of the mean of their class are taken alike
LARGEST_SIZE = 4  # nor are those above eight times the mean: too few come to learn from


class Endpoint:
    """What this balancer knows of one server."""

    __slots__ = (
        "abandoned",
        "back_offs",
        "cell",
        "connections",
        "consecutive_failures",
        "consecutive_malformed",
        "ejected_until",
        "ejections",
        "idle_since",
        "in_flight",
        "is_start_announced",
        "last_response_at",
        "latency_ratio",
        "name",
        "nominal_capacity",
        "probation_attempt",
        "sort_key",
        "started_at",
        "state",
        "warm_up_budget",
        "warm_up_started_at",
        "zone",
    )

    def __init__(self, name: str, order: float) -> None:
        self.name = name
        self.sort_key = order  # chance, drawn once: this balancer's order of the servers
        self.zone = ""
        self.cell = 0
        self.nominal_capacity = 1.0
        self.latency_ratio = 1.0  # how long it takes, relative to the usual
        self.state = EndpointState.REMOVED
        self.started_at: int | None = None
        self.warm_up_started_at: int | None = None
        self.is_start_announced = False  # whether that is the start that the list tells
        self.warm_up_budget: WarmUpBudget | None = None  # of a cold server
        self.in_flight = 0
        self.abandoned: list[int] = []  # when each abandoned attempt stops counting as in flight
        self.connections = 0  # that are open, as far as attempts tell
        self.idle_since: int | None = None  # when a connection was last used; None: there is none to reuse
        self.last_response_at = -1
        self.back_offs: dict[str, BackOff] = {}  # by class that it was full for
        self.consecutive_failures = 0
        self.consecutive_malformed = 0
        self.ejections = 0
        self.ejected_until: int | None = None  # None: not ejected
        self.probation_attempt: Attempt | None = None  # the single attempt that may readmit it


class BackOff:
    """A server's full answers to one class: it is avoided until then, for so many aims."""

    __slots__ = ("latency_objectives", "until")

    def __init__(self) -> None:
        self.latency_objectives = 0.0
        self.until = 0


class Attempt:
    """One attempt of a request; it is pending until it has an outcome."""

    __slots__ = (
        "cell",
        "connection_idle_us",
        "counted_late",
        "endpoint",
        "index",
        "is_in_flight",
        "is_pending",
        "last_byte_at",
        "may_have_run",
        "opens_connection",
        "response_started",
        "responses_before",
        "sent_at",
        "silence_recorded",
        "zone",
    )

    def __init__(self, index: int, server: Endpoint, sent_at: int, answers_before: int) -> None:
        self.responses_before = answers_before  # how many answers had come by then, from all servers
        self.index = index
        self.endpoint = server
        self.zone = server.zone  # as listed when its last byte left; until then, when it was decided on
        self.cell = server.cell
        self.sent_at = sent_at
        self.last_byte_at: int | None = None  # when its last byte left; None: it has not, or nobody tells
        self.is_pending = True
        self.is_in_flight = (
            False  # whether it counts as in flight; a body that still comes is no work for a server
        )
        self.may_have_run = True  # until an outcome proves that it did not
        self.response_started = False  # whether its streamed answer has begun
        self.connection_idle_us = 0  # how long its connection had been idle; 0: new or in steady use
        self.silence_recorded = False  # whether its silence already counts in the odds of stale connections
        self.opens_connection = False  # whether it is the first on its connection, and waits for a handshake
        self.counted_late = False  # whether its lateness was counted as a sign of overload

    @property
    def may_run_from(self) -> int:
        """The earliest time at which its server may have begun it, as far as is known."""
        return self.sent_at if self.last_byte_at is None else self.last_byte_at

    @property
    def is_connection_suspect(self) -> bool:
        """Whether its silence is attributed to a connection that had been idle."""
        return self.silence_recorded and self.connection_idle_us > 0


class Request:
    """A request taken; it is kept until it is answered and its last attempt has ended."""

    __slots__ = (
        "attempts",
        "body_incomplete",
        "cost",
        "cost_bucket",
        "failed_endpoints",
        "is_responded",
        "overloaded_responses",
        "request_id",
        "respond_by",
        "service_class",
        "work",
    )

    def __init__(self, ident: int, kind: ServiceClass, cost: float, work: float) -> None:
        self.request_id = ident
        self.respond_by = NEVER
        self.body_incomplete = True  # whether its last byte has not come yet, so that its time does not run
        self.service_class = kind
        self.cost = cost  # relative to the mean of its class
        self.work = work  # relative to the mean of all
        self.cost_bucket = max(LEAST_SIZE, min(math.frexp(cost)[1], LARGEST_SIZE))  # cost by powers of two
        self.attempts: list[Attempt] = []
        self.failed_endpoints: list[Endpoint] = []  # servers that failed this request, full ones included
        self.overloaded_responses = 0
        self.is_responded = False

    def is_pending(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(each.is_pending for each in self.attempts)
