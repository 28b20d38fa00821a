"""Outlier detection: endpoints that fail are ejected for some time; a successful probation readmits them.

Prevents a server that fails fast from appearing idle and thereby attracting more requests.
"""

from __future__ import annotations

from tulipnotch.load_balancing.actions import LogEvent
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.endpoint import Ejection, Endpoint
from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.health.idle_connections import IdleConnections
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.requests import Attempt, Request
from tulipnotch.load_balancing.selection.subset import subset_size
from tulipnotch.load_balancing.settings import Idempotency
from tulipnotch.load_balancing.slow_start.warm_capacity import WarmCapacity
from tulipnotch.load_balancing.slow_start.warm_up_budget import SlowStart

HEALTHY = (Outcome.DELIVERED, Outcome.CLIENT_ERROR)  # outcomes of a healthy server
FAILURES = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST, Outcome.CONNECT_FAILED, Outcome.SERVER_ERROR)
NO_RESPONSE = (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST)  # failures that a stale connection may cause
CONSECUTIVE_FAILURES = 2  # failures without a response in between that eject an endpoint
# Consecutive failures that eject an endpoint if the last one is a lost connection, which may be the network's
# fault.
CONSECUTIVE_LOST_CONNECTIONS = 3
CONSECUTIVE_MALFORMED = 6  # malformed responses that eject an endpoint; fewer may be the network's fault
# First ejection, in longest latency objectives; the time doubles with each further one.
INITIAL_EJECTION_OBJECTIVES = 2.0
# Longest ejection, in longest latency objectives; a server that has recovered must be found again.
MAX_EJECTION_OBJECTIVES = 16.0
MAX_COUNTED_EJECTIONS = 8  # more ejections would not change the time, which reaches its maximum much earlier
# Maximum fraction of the endpoints in use that is ejected at a time; more would overload the rest.
MAX_EJECTED_FRACTION = 0.6
# Maximum of that fraction for ejecting an unresponsive endpoint; more would mean overload, not outliers.
MAX_UNRESPONSIVE_FRACTION = 0.34
UNRESPONSIVE = "silent"  # logged as the reason for ejecting an unresponsive endpoint


class OutlierDetection:
    """Ejects and readmits endpoints by how their attempts end."""

    def __init__(
        self,
        context: Context,
        load: Load,
        capacity: WarmCapacity,
        slow_start: SlowStart,
        idle_connections: IdleConnections,
    ) -> None:
        """Starts with no endpoint ejected."""
        self._context = context
        self._load = load
        self._capacity = capacity
        self._slow_start = slow_start
        self._idle_connections = idle_connections
        self._ejected: list[Endpoint] = []
        self.healthy_response_count = 0  # healthy responses from all endpoints since the start

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Updates the health of an endpoint with an attempt that ended."""
        health = attempt.endpoint.health
        was_probation = health.probation_attempt is attempt
        if was_probation:
            health.probation_attempt = None
        if outcome in HEALTHY:
            self._response_received(attempt)
        elif outcome is Outcome.MALFORMED_RESPONSE:
            self._malformed_response_received(attempt.endpoint, was_probation=was_probation)
        elif outcome in FAILURES:
            self._failed(attempt, outcome, was_probation=was_probation)

    def _response_received(self, attempt: Attempt) -> None:
        endpoint = attempt.endpoint
        health = endpoint.health
        health.consecutive_failures = health.consecutive_malformed = 0
        health.last_response_at = self._context.now
        self._idle_connections.response_received(attempt)
        self.healthy_response_count += 1
        self._capacity.response_received(endpoint)
        if endpoint.ejection is not None:
            self.readmit(endpoint)

    def _malformed_response_received(self, endpoint: Endpoint, *, was_probation: bool) -> None:
        """Ejects only after many in a row, since the network may damage responses of all servers alike."""
        health = endpoint.health
        health.consecutive_malformed += 1
        health.last_response_at = self._context.now
        is_outlier = health.consecutive_malformed >= CONSECUTIVE_MALFORMED and endpoint.ejection is None
        if was_probation or is_outlier:
            self._eject(endpoint, Outcome.MALFORMED_RESPONSE.value)

    def _failed(self, attempt: Attempt, outcome: Outcome, *, was_probation: bool) -> None:
        endpoint = attempt.endpoint
        health = endpoint.health
        if outcome is Outcome.TIMED_OUT and health.last_response_at > attempt.started_at:
            return  # slow but not an outlier, since it responded to others meanwhile
        if (
            outcome in NO_RESPONSE
            and self._idle_connections.check_stale_connection(attempt)
            and not was_probation
        ):
            return
        health.consecutive_failures += 1
        is_lost = outcome is Outcome.CONNECTION_LOST
        threshold = CONSECUTIVE_LOST_CONNECTIONS if is_lost else CONSECUTIVE_FAILURES
        is_outlier = health.consecutive_failures >= threshold and endpoint.ejection is None
        if not was_probation and not is_outlier:
            return
        self._eject(endpoint, outcome.value)
        if was_probation and outcome is Outcome.CONNECT_FAILED:
            # The process has ended, and a new one may start before discovery announces it. Lost connections
            # are weaker evidence: the network may cause them, and a fleet that warms up all at once has
            # capacity for nobody.
            self._slow_start.process_started(endpoint)

    def eject_unresponsive(self, endpoint: Endpoint) -> None:
        """Ejects an endpoint that has not responded for long, unless too many are ejected already."""
        self._eject(endpoint, UNRESPONSIVE, MAX_UNRESPONSIVE_FRACTION)

    def _eject(self, endpoint: Endpoint, reason: str, max_fraction: float = MAX_EJECTED_FRACTION) -> None:
        """Ejects an endpoint, or extends its ejection.

        At most `max_fraction` of the endpoints in use is ejected at a time, because the rest would be
        overloaded.
        """
        context = self._context
        ejection = endpoint.ejection
        if ejection is None:
            used_count = min(len(context.ready_endpoints), subset_size(self._load.mean))
            if len(self._ejected) + 1 > max_fraction * used_count:
                return
            ejection = endpoint.ejection = Ejection()
            self._ejected.append(endpoint)
            self._load.endpoint_ejected(endpoint)
            context.actions.append(LogEvent("ejected", endpoint.name, reason))
        objectives = min(
            INITIAL_EJECTION_OBJECTIVES * 2**ejection.consecutive_ejections, MAX_EJECTION_OBJECTIVES
        )
        ejection.consecutive_ejections = min(ejection.consecutive_ejections + 1, MAX_COUNTED_EJECTIONS)
        ejection.until = context.jittered_time_after(objectives)

    def readmit(self, endpoint: Endpoint) -> None:
        """Ends an endpoint's ejection.

        If its last start was assumed, not announced by discovery, it warms up again, because its process may
        have been replaced meanwhile.
        """
        endpoint.ejection = None
        self._ejected.remove(endpoint)
        self._load.endpoint_readmitted(endpoint)
        endpoint.health.consecutive_failures = 0
        if endpoint.warm_up is not None and not endpoint.warm_up.is_start_announced:
            self._slow_start.process_started(endpoint)
        self._context.actions.append(LogEvent("readmitted", endpoint.name))

    def endpoint_removed(self, endpoint: Endpoint) -> None:
        """Stops counting a removed endpoint as ejected."""
        if endpoint in self._ejected:
            self._ejected.remove(endpoint)

    def probation_due(self, request: Request) -> Endpoint | None:
        """Returns an ejected endpoint to try with this request; None if no probation attempt is due.

        The request must be idempotent and have no attempt yet.
        """
        if (
            not self._ejected
            or request.service_class.idempotency is not Idempotency.IDEMPOTENT
            or request.attempts
        ):
            return None
        for endpoint in self._ejected:
            if self._is_probation_due(endpoint) and self._slow_start.has_budget(endpoint, request.work):
                return endpoint
        return None

    def _is_probation_due(self, endpoint: Endpoint) -> bool:
        return (
            endpoint.ejection is not None
            and self._context.now >= endpoint.ejection.until
            and endpoint.state is EndpointState.READY
            and endpoint.health.probation_attempt is None
        )
