"""Idle connections: which ones are closed, and when a missing response is attributed to the connection.

Middleboxes may drop idle connections silently: a request sent on one gets no response, and neither the server
nor the fleet is at fault. Servers that close idle connections early are covered by the same rules.
"""

from __future__ import annotations

import math

from tulipnotch.load_balancing.actions import CloseIdleConnections
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.events import AttemptEnded, EndpointState
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.requests import Attempt

# Connections idle for less than this, in longest latency objectives, are assumed alive.
MIN_IDLE_OBJECTIVES = 0.25
# One failure on an idle connection raises the probability of stale connections from 0 to this.
FAILURE_STEP = 0.5
# A response on an idle connection lowers the probability by this fraction only, because other servers may
# still close theirs.
RESPONSE_STEP = 0.3
STALE_DECAY_OBJECTIVES = 16.0  # time constant for the decay of the probability, in longest latency objectives
SUSPECT_PROBABILITY = 0.25  # from this probability on, idle connections are not reused
# Connections idle for at least this fraction of the shortest idle time at which one was stale are suspect.
SUSPECT_IDLE_FRACTION = 0.5

# Outcomes that leave the connection open, if the response certainly belongs to the request.
CONNECTION_STAYS_OPEN = (Outcome.OVERLOADED, Outcome.CLIENT_ERROR)


class IdleConnections:
    """Tracks each endpoint's connections by its attempts, and the probability that an idle one is stale."""

    def __init__(self, context: Context) -> None:
        """Starts with no sign of stale connections."""
        self._context = context
        self._stale_probability = 0.0  # as of `_stale_probability_at`
        self._stale_probability_at = 0
        self._stale_after_us = 0  # shortest idle time at which a connection was stale

    def reuse_connection(self, endpoint: Endpoint) -> int:
        """Takes a connection for an attempt; returns its idle time in microseconds, 0 if it is new or fresh.

        Closes the connection first if it is suspected to be stale. That costs additional handshakes while a
        few unresponsive servers are mistaken for stale connections.
        """
        context = self._context
        idle_since, endpoint.idle_since = endpoint.idle_since, None
        idle_us = 0 if idle_since is None else context.now - idle_since
        if (
            idle_us < MIN_IDLE_OBJECTIVES * context.max_latency_objective_us
            or idle_us >= context.settings.limits.idle_timeout_us
        ):
            return 0
        if (
            self._current_stale_probability() >= SUSPECT_PROBABILITY
            and idle_us >= SUSPECT_IDLE_FRACTION * self._stale_after_us
        ):
            self.close_idle(endpoint)
            return 0
        return idle_us

    def attempt_started(self, attempt: Attempt) -> None:
        """Updates the number of open connections for an attempt that is in flight from now on."""
        endpoint = attempt.endpoint
        attempt.opens_connection = endpoint.in_flight > endpoint.connection_count
        endpoint.connection_count = max(endpoint.connection_count, endpoint.in_flight)

    def attempt_ended(self, endpoint: Endpoint, event: AttemptEnded) -> None:
        """Updates the number of open connections for an attempt that ended."""
        stays_open = event.outcome in CONNECTION_STAYS_OPEN and event.is_response_certain
        if event.outcome is not Outcome.DELIVERED and not stays_open:
            endpoint.connection_count = max(endpoint.connection_count - 1, endpoint.in_flight)
        self.close_idle_unless_ready(endpoint)

    def check_stale_connection(self, attempt: Attempt) -> bool:
        """Records an attempt without response; returns whether a stale connection may be the cause."""
        if attempt.no_response_recorded:
            return attempt.is_connection_suspect
        attempt.no_response_recorded = True
        probability = self._current_stale_probability()
        if not attempt.connection_idle_us:
            # The connection was new or in constant use, so a stale connection is not the cause.
            self._stale_probability = probability * (1.0 - FAILURE_STEP)
            return False
        if probability < SUSPECT_PROBABILITY or attempt.connection_idle_us < self._stale_after_us:
            self._stale_after_us = attempt.connection_idle_us
        self._stale_probability = probability + FAILURE_STEP * (1.0 - probability)
        self.close_idle(attempt.endpoint)
        attempt.endpoint.idle_since = None
        return True

    def response_received(self, attempt: Attempt) -> None:
        """Records an attempt that got a response; its connection is idle from now on."""
        attempt.endpoint.idle_since = self._context.now
        if attempt.no_response_recorded:
            self._stale_probability = 0.0  # the response was slow, so the connection was not stale
        elif attempt.connection_idle_us and attempt.connection_idle_us >= self._stale_after_us:
            self._stale_probability = self._current_stale_probability() * (1.0 - RESPONSE_STEP)

    def close_idle_unless_ready(self, endpoint: Endpoint) -> None:
        """Closes idle connections to a draining or removed endpoint, where a rule requires it.

        Called for the update of the endpoint list, and whenever an attempt ends at that endpoint and leaves
        its connection idle.
        """
        within_us = self._context.settings.rules.close_idle_within_us
        if within_us is not None and endpoint.state is not EndpointState.READY:
            self.close_idle(endpoint)

    def close_idle(self, endpoint: Endpoint) -> None:
        """Closes the idle connections to an endpoint."""
        endpoint.connection_count = endpoint.in_flight
        self._context.actions.append(CloseIdleConnections(endpoint.name))

    def _current_stale_probability(self) -> float:
        now = self._context.now
        decay_us = STALE_DECAY_OBJECTIVES * self._context.max_latency_objective_us
        self._stale_probability *= math.exp((self._stale_probability_at - now) / decay_us)
        self._stale_probability_at = now
        return self._stale_probability
