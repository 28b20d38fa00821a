"""Idle connections: which are closed, and when the silence on one is the connection's fault.

Something on the way may drop idle connections unseen: what is sent on one gets no answer, and neither the
server nor the fleet is at fault.  The same covers servers that close idle connections early.
"""

from __future__ import annotations

import math

from tulipnotch.load_balancing.actions import CloseIdleConnections
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.records import Attempt, Endpoint

IDLE_LEAST = 0.25  # of the longest aim: a connection idle for less is taken to be alive
FAILURE_STEP = 0.5  # one failure on an idle connection makes stale ones as likely as not
ANSWER_STEP = 0.3  # an answer on one speaks against it, but some servers may keep theirs
FADE_AIMS = 16.0  # what was learnt of idle connections fades in this many of the longest aim
DOUBTFUL_ODDS = 0.25  # from these odds on, idle connections are not relied on
DOUBTFUL_TIME = 0.5  # nor after this part of the shortest idle time at which one was stale


class IdleConnections:
    """The odds that a connection which has been idle is stale."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._odds = 0.0  # that an idle connection is stale, as of _odds_at
        self._odds_at = 0
        self._stale_after = 0  # the shortest idle time at which one was

    def take(self, server: Endpoint) -> int:
        """How long the connection that a send would reuse has been idle; a doubtful one is closed first.

        It costs handshakes while a few silent servers are mistaken for stale connections.
        """
        context = self._context
        since, server.idle_since = server.idle_since, None
        idle = 0 if since is None else context.now - since
        if (
            idle < IDLE_LEAST * context.max_latency_objective_us
            or idle >= context.settings.limits.idle_timeout_us
        ):
            return 0
        if self._current_odds() >= DOUBTFUL_ODDS and idle >= DOUBTFUL_TIME * self._stale_after:
            self.close(server)
            return 0
        return idle

    def is_blamed_for(self, attempt: Attempt) -> bool:
        """Learn from an attempt that got no answer; say whether an idle connection may be to blame."""
        if attempt.silence_recorded:
            return attempt.is_connection_suspect
        attempt.silence_recorded = True
        odds = self._current_odds()
        if not attempt.connection_idle_us:
            self._odds = odds * (1.0 - FAILURE_STEP)  # a live connection, and silent all the same
            return False
        if odds < DOUBTFUL_ODDS or attempt.connection_idle_us < self._stale_after:
            self._stale_after = attempt.connection_idle_us
        self._odds = odds + FAILURE_STEP * (1.0 - odds)
        self.close(attempt.endpoint)
        attempt.endpoint.idle_since = None
        return True

    def answered(self, attempt: Attempt) -> None:
        """Learn from an attempt that was answered; its connection is idle from now on."""
        attempt.endpoint.idle_since = self._context.now
        if attempt.silence_recorded:
            self._odds = 0.0  # it was slow, not stale
        elif attempt.connection_idle_us and attempt.connection_idle_us >= self._stale_after:
            self._odds = self._current_odds() * (1.0 - ANSWER_STEP)

    def close_if_leaving(self, server: Endpoint) -> None:
        """Close idle connections to a server that drains or is gone, where a rule asks for it.

        When the list says so, and again whenever an attempt that is still pending there ends and leaves its
        connection idle.
        """
        rule = self._context.settings.rules.close_idle_within_us
        if rule is not None and server.state is not EndpointState.READY:
            self.close(server)

    def close(self, server: Endpoint) -> None:
        """Close the idle connections to a server."""
        server.connections = server.in_flight
        self._context.actions.append(CloseIdleConnections(server.name))

    def _current_odds(self) -> float:
        now = self._context.now
        fade = math.exp((self._odds_at - now) / (FADE_AIMS * self._context.max_latency_objective_us))
        self._odds, self._odds_at = self._odds * fade, now
        return self._odds
