"""Idle connections: which are closed, and when a missing response is attributed to the connection.

Middleboxes may drop idle connections silently: what is sent on one gets no response, and neither the server
nor the fleet is at fault.  The same covers servers that close idle connections early.
"""

from __future__ import annotations

import math

from tulipnotch.load_balancing.actions import CloseIdleConnections
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.events import AttemptEnded, EndpointState
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.requests import Attempt

MIN_IDLE_OBJECTIVES = 0.25  # of the longest objective: a connection idle for less is taken to be alive
FAILURE_STEP = 0.5  # one failure on an idle connection makes stale ones as likely as not
RESPONSE_STEP = 0.3  # a response on one speaks against it, but some servers may keep theirs
STALE_DECAY_OBJECTIVES = 16.0  # the odds of stale connections fade in this many of the longest objective
SUSPECT_PROBABILITY = 0.25  # from these odds on, idle connections are not reused
SUSPECT_IDLE_FRACTION = 0.5  # after this part of the shortest idle time at which one was stale

# Responses that leave their connection open, if they are certain to belong to the request.
CONNECTION_STAYS_OPEN = (Outcome.OVERLOADED, Outcome.CLIENT_ERROR)


class IdleConnections:
    """The connections of each endpoint as attempts show them, and the odds that an idle one is stale."""

    def __init__(self, context: Context) -> None:
        """Begin with no sign of stale connections."""
        self._context = context
        self._stale_probability = 0.0  # as of _stale_probability_at
        self._stale_probability_at = 0
        self._stale_after_us = 0  # the shortest idle time at which one was stale

    def reuse_connection(self, endpoint: Endpoint) -> int:
        """How long the connection that an attempt would reuse has been idle, in microseconds; 0: it is fresh.

        A suspect one is closed first.  That costs handshakes while a few unresponsive servers are mistaken
        for stale connections.
        """
        context = self._context
        since, endpoint.idle_since = endpoint.idle_since, None
        idle_us = 0 if since is None else context.now - since
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
        """Note the connection of an attempt that is in flight from now on."""
        endpoint = attempt.endpoint
        attempt.opens_connection = endpoint.in_flight > endpoint.connection_count
        endpoint.connection_count = max(endpoint.connection_count, endpoint.in_flight)

    def attempt_ended(self, endpoint: Endpoint, event: AttemptEnded) -> None:
        """Note whether the connection of an attempt that ended is still open."""
        stays_open = event.outcome in CONNECTION_STAYS_OPEN and event.is_response_certain
        if event.outcome is not Outcome.DELIVERED and not stays_open:
            endpoint.connection_count = max(endpoint.connection_count - 1, endpoint.in_flight)
        self.close_idle_unless_ready(endpoint)

    def check_stale_connection(self, attempt: Attempt) -> bool:
        """Learn from an attempt that got no response; return whether its idle connection may be the cause."""
        if attempt.no_response_recorded:
            return attempt.is_connection_suspect
        attempt.no_response_recorded = True
        probability = self._current_stale_probability()
        if not attempt.connection_idle_us:
            self._stale_probability = probability * (
                1.0 - FAILURE_STEP
            )  # a live connection, and no response all the same
            return False
        if probability < SUSPECT_PROBABILITY or attempt.connection_idle_us < self._stale_after_us:
            self._stale_after_us = attempt.connection_idle_us
        self._stale_probability = probability + FAILURE_STEP * (1.0 - probability)
        self.close_idle(attempt.endpoint)
        attempt.endpoint.idle_since = None
        return True

    def response_received(self, attempt: Attempt) -> None:
        """Learn from an attempt that got a response; its connection is idle from now on."""
        attempt.endpoint.idle_since = self._context.now
        if attempt.no_response_recorded:
            self._stale_probability = 0.0  # it was slow, not stale
        elif attempt.connection_idle_us and attempt.connection_idle_us >= self._stale_after_us:
            self._stale_probability = self._current_stale_probability() * (1.0 - RESPONSE_STEP)

    def close_idle_unless_ready(self, endpoint: Endpoint) -> None:
        """Close idle connections to a draining or removed endpoint, where a rule requires it.

        From the update of the list on, and whenever an attempt that was pending there ends and leaves its
        connection idle.
        """
        within_us = self._context.settings.rules.close_idle_within_us
        if within_us is not None and endpoint.state is not EndpointState.READY:
            self.close_idle(endpoint)

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an endpoint."""
        endpoint.connection_count = endpoint.in_flight
        self._context.actions.append(CloseIdleConnections(endpoint.name))

    def _current_stale_probability(self) -> float:
        now = self._context.now
        decay_us = STALE_DECAY_OBJECTIVES * self._context.max_latency_objective_us
        self._stale_probability *= math.exp((self._stale_probability_at - now) / decay_us)
        self._stale_probability_at = now
        return self._stale_probability
