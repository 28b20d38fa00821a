"""Records of accepted requests and of their attempts: data only, no decisions."""

from __future__ import annotations

import math
from enum import Enum, unique

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.settings import ServiceClass

MIN_COST_BUCKET = -3  # all costs below an eighth of the class mean share this bucket
# All costs above eight times the class mean share this one; too few such requests come to measure each.
MAX_COST_BUCKET = 4


@unique
class AttemptState(Enum):
    """State of an attempt: awaiting its body, then in flight, then one of two ended states."""

    # The last byte of the request has not arrived, so its server has no complete request to execute.
    AWAITING_BODY = "awaiting_body"
    IN_FLIGHT = "in_flight"  # the server has the complete request, or will have it shortly
    POSSIBLY_EXECUTED = "possibly_executed"  # ended, and nothing proves that the server did not execute it
    NOT_EXECUTED = "not_executed"  # ended, and the outcome proves that the server did not execute any of it


PENDING = (AttemptState.IN_FLIGHT, AttemptState.AWAITING_BODY)  # the states of an attempt that has not ended
_NOT_EXECUTED = AttemptState.NOT_EXECUTED


class Attempt:
    """One attempt of a request at one endpoint."""

    __slots__ = (
        "cell",
        "connection_idle_us",
        "counted_late",
        "endpoint",
        "has_response_stalled",
        "index",
        "is_responding",
        "no_response_recorded",
        "opens_connection",
        "request_written_at",
        "response_started",
        "responses_before",
        "started_at",
        "state",
        "zone",
    )

    def __init__(self, index: int, endpoint: Endpoint, started_at: int, responses_before: int) -> None:
        """Starts at clock time `started_at`, after `responses_before` healthy responses of all endpoints."""
        self.responses_before = responses_before
        self.index = index
        self.endpoint = endpoint
        # Zone and cell as listed when the last byte was written; until then, when the attempt started.
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.started_at = started_at
        # Clock time at which the last byte was written; None: not yet, or not known.
        self.request_written_at: int | None = None
        self.state = AttemptState.AWAITING_BODY
        self.response_started = False  # whether its streamed response has begun
        self.is_responding = False  # whether a part of its response has arrived
        self.has_response_stalled = False  # whether that was followed by silence
        # How long its connection had been idle; 0: the connection is new or was in constant use.
        self.connection_idle_us = 0
        # Whether its missing response is already counted for or against stale connections.
        self.no_response_recorded = False
        # Whether it is the first on its connection, and so includes the handshake.
        self.opens_connection = False
        self.counted_late = False  # whether it was already counted as late by the concurrency limit

    @property
    def is_pending(self) -> bool:
        """Whether the attempt has not ended yet."""
        return self.state in PENDING

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have executed the attempt, or may still do so."""
        return self.state is not _NOT_EXECUTED

    @property
    def earliest_execution_at(self) -> int:
        """Earliest clock time at which the server may have begun to execute it, as far as is known."""
        return self.started_at if self.request_written_at is None else self.request_written_at

    @property
    def is_connection_suspect(self) -> bool:
        """Whether the missing response is attributed to a stale connection."""
        return self.no_response_recorded and self.connection_idle_us > 0


class Request:
    """An accepted request; it is kept until it is responded to and its last attempt has ended."""

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
        """Creates a request with `cost` relative to the mean of its class, `work` to that of all requests."""
        self.request_id = request_id
        self.respond_by = NEVER
        # Whether its last byte has not arrived; until then its time limit does not run.
        self.body_incomplete = True
        self.service_class = service_class
        self.cost = cost
        self.work = work
        # One bucket for each power of two.
        self.cost_bucket = max(MIN_COST_BUCKET, min(math.frexp(cost)[1], MAX_COST_BUCKET))
        self.attempts: list[Attempt] = []
        self.failed_endpoints: list[Endpoint] = []  # endpoints that failed or rejected this request
        self.overloaded_responses = 0
        self.is_responded = False

    @property
    def has_pending_attempt(self) -> bool:
        """Whether any attempt has not ended yet."""
        return any(each.state in PENDING for each in self.attempts)
