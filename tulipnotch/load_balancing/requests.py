"""Records of the requests that a balancer has accepted, and of their attempts: data only."""

from __future__ import annotations

import math
from enum import Enum, unique

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.settings import ServiceClass

MIN_COST_BUCKET = -3  # costs below an eighth of the mean of their class are treated alike
MAX_COST_BUCKET = 4  # as are those above eight times the mean: too few come to learn from


@unique
class AttemptState(Enum):
    """Progress of an attempt: awaiting its body, in flight, then one of the two ended states."""

    AWAITING_BODY = "awaiting_body"  # the request's last byte has not arrived: no work for a server yet
    IN_FLIGHT = "in_flight"  # the server has the complete request, or will in a moment
    POSSIBLY_EXECUTED = "possibly_executed"  # ended, and nothing proves that the server did not execute it
    NOT_EXECUTED = "not_executed"  # ended, and the outcome proves that the server did nothing of it


PENDING = (AttemptState.IN_FLIGHT, AttemptState.AWAITING_BODY)  # the states before an attempt's end
_NOT_EXECUTED = AttemptState.NOT_EXECUTED


class Attempt:
    """One attempt of a request."""

    __slots__ = (
        "cell",
        "connection_idle_us",
        "counted_late",
        "endpoint",
        "index",
        "opens_connection",
        "request_written_at",
        "response_started",
        "responses_before",
        "silence_recorded",
        "started_at",
        "state",
        "zone",
    )

    def __init__(self, index: int, endpoint: Endpoint, sent_at: int, responses_before: int) -> None:
        """Begin an attempt at clock time `sent_at`, after so many responses from all endpoints."""
        self.responses_before = responses_before
        self.index = index
        self.endpoint = endpoint
        self.zone = endpoint.zone  # as listed when its last byte was written; until then, when it was chosen
        self.cell = endpoint.cell
        self.started_at = sent_at
        self.request_written_at: int | None = (
            None  # when its last byte was written; None: not yet, or not known
        )
        self.state = AttemptState.AWAITING_BODY
        self.response_started = False  # whether its streamed response has begun
        self.connection_idle_us = 0  # how long its connection had been idle; 0: new or in steady use
        self.silence_recorded = False  # whether it already counts in the odds of stale connections
        self.opens_connection = False  # whether it is the first on its connection, and awaits a handshake
        self.counted_late = False  # whether its lateness was counted as a sign of overload

    @property
    def is_pending(self) -> bool:
        """Whether it has not ended yet."""
        return self.state in PENDING

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have executed it, or still may."""
        return self.state is not _NOT_EXECUTED

    @property
    def may_run_from(self) -> int:
        """The earliest clock time at which its server may have begun it, as far as is known."""
        return self.started_at if self.request_written_at is None else self.request_written_at

    @property
    def is_connection_suspect(self) -> bool:
        """Whether its silence is attributed to a connection that had been idle."""
        return self.silence_recorded and self.connection_idle_us > 0


class Request:
    """An accepted request; it is retained until it is responded to and its last attempt has ended."""

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

    def __init__(self, request_id: int, service_class: ServiceClass, cost: float, work: float) -> None:
        """`cost` is relative to the mean of the class, `work` to the mean of all requests."""
        self.request_id = request_id
        self.respond_by = NEVER
        self.body_incomplete = True  # whether its last byte has not arrived: its time does not run yet
        self.service_class = service_class
        self.cost = cost
        self.work = work
        self.cost_bucket = max(MIN_COST_BUCKET, min(math.frexp(cost)[1], MAX_COST_BUCKET))  # powers of two
        self.attempts: list[Attempt] = []
        self.failed_endpoints: list[Endpoint] = []  # those that failed this request, overloaded ones included
        self.overloaded_responses = 0
        self.is_responded = False

    @property
    def has_pending_attempt(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(each.state in PENDING for each in self.attempts)
