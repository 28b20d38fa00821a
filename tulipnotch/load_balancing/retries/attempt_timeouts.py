"""Attempt timeouts: when an attempt is overdue, and when its endpoint counts as unresponsive.

Prevents sending requests to servers that accept them and respond to none until deadlines pass. A server that
has responded to any request since the attempt started is slow, not unresponsive. If the other servers are
just as slow, all of them are overloaded.
"""

from __future__ import annotations

from dataclasses import dataclass

from tulipnotch.load_balancing.admission.concurrency_limit import ConcurrencyLimit
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.health.idle_connections import IdleConnections
from tulipnotch.load_balancing.health.outlier_detection import OutlierDetection
from tulipnotch.load_balancing.metrics.latency import Latency
from tulipnotch.load_balancing.requests import Attempt, Request
from tulipnotch.load_balancing.timer_queue import TimerQueue

# An attempt is overdue after this many times its expected latency (at its endpoint's latency ratio).
OVERDUE_FACTOR = 2.5
# Minimum time after which an attempt is overdue, in latency objectives; shorter times are mostly jitter.
MIN_OVERDUE_OBJECTIVES = 0.1
# Minimum overdue time on a new connection, which begins with a handshake, in latency objectives.
HANDSHAKE_OBJECTIVES = 0.5
# Responses from other endpoints since an attempt started that show that only its endpoint is unresponsive.
MIN_OTHER_RESPONSES = 4
UNRESPONSIVE_FACTOR = 2.0  # the endpoint counts as unresponsive after this many times the overdue time
# Minimum time after which the endpoint counts as unresponsive, in latency objectives.
MIN_UNRESPONSIVE_OBJECTIVES = 0.5


@dataclass(eq=False)
class AttemptTimeouts:
    """Detects attempts that take much longer than expected."""

    _context: Context
    _timers: TimerQueue
    _latency: Latency
    _concurrency_limit: ConcurrencyLimit
    _idle_connections: IdleConnections
    _outlier_detection: OutlierDetection

    def schedule_check(self, request: Request, attempt: Attempt) -> None:
        """Schedules a check of an attempt that starts now, for when it becomes overdue."""
        due = self._context.now + self._overdue_after_us(request, attempt)
        self._timers.schedule(due, request.request_id, attempt.index)

    def _overdue_after_us(self, request: Request, attempt: Attempt) -> int:
        overdue_us = (
            OVERDUE_FACTOR
            * self._latency.expected_latency_us(request)
            * max(attempt.endpoint.latency_ratio, 1.0)
        )
        min_objectives = HANDSHAKE_OBJECTIVES if attempt.opens_connection else MIN_OVERDUE_OBJECTIVES
        return int(
            max(
                overdue_us,
                min_objectives * request.service_class.latency_objective_us,
                self._context.settings.clock_resolution_us,
            )
        )

    def check_overdue(self, request: Request, attempt: Attempt) -> bool:
        """Checks an attempt that may be overdue; returns whether a response to it is no longer expected.

        Ejects its endpoint if that has become unresponsive, and counts a late attempt as a sign of overload.
        """
        endpoint = attempt.endpoint
        elapsed_us = self._context.now - attempt.started_at
        self._count_if_late(request, attempt, elapsed_us)
        if attempt.is_responding or endpoint.health.last_response_at > attempt.started_at:
            return False
        unresponsive_after_us = int(
            max(
                UNRESPONSIVE_FACTOR * self._overdue_after_us(request, attempt),
                MIN_UNRESPONSIVE_OBJECTIVES * request.service_class.latency_objective_us,
            )
        )
        if elapsed_us < unresponsive_after_us:
            self._timers.schedule(
                attempt.started_at + unresponsive_after_us, request.request_id, attempt.index
            )
        elif self._is_endpoint_outlier(attempt) and not self._idle_connections.check_stale_connection(
            attempt
        ):
            self._outlier_detection.eject_unresponsive(endpoint)
        return endpoint.ejection is not None or attempt.is_connection_suspect

    def _count_if_late(self, request: Request, attempt: Attempt, elapsed_us: int) -> None:
        """Counts the attempt as a sign of overload once it is late, unless its endpoint is the cause."""
        objective_us = request.service_class.latency_objective_us
        late_after_us = int(objective_us * (1.0 + HANDSHAKE_OBJECTIVES * attempt.opens_connection))
        if elapsed_us < late_after_us:
            self._timers.schedule(attempt.started_at + late_after_us, request.request_id, attempt.index)
        elif (
            not attempt.counted_late
            and attempt.endpoint.ejection is None
            and not attempt.is_connection_suspect
        ):
            attempt.counted_late = True
            self._concurrency_limit.request_overdue()

    def _is_endpoint_outlier(self, attempt: Attempt) -> bool:
        """Returns whether other endpoints responded meanwhile, so that only this one is unresponsive."""
        responses = self._outlier_detection.healthy_response_count - attempt.responses_before
        return attempt.endpoint.ejection is None and responses >= MIN_OTHER_RESPONSES
