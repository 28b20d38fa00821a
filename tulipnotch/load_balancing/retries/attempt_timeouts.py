"""Overdue attempts: when an attempt is overdue, and when its endpoint counts as unresponsive.

Prevents sending to servers that accept work and respond to nothing until time-outs show it.  A server that
responded to anything since is slow, not unresponsive; if the others are as slow, all are overloaded.
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

OVERDUE_FACTOR = 2.5  # usual times (at this endpoint's latency ratio) after which an attempt is overdue
MIN_OVERDUE_OBJECTIVES = 0.1  # but never less than this part of the objective: short times are all jitter
HANDSHAKE_OBJECTIVES = 0.5  # or this on a new connection, which begins with a handshake
MIN_OTHER_RESPONSES = 4  # from other endpoints, since the attempt began, that single out its endpoint
UNRESPONSIVE_FACTOR = 2.0  # overdue by this factor more, its endpoint is taken to be unresponsive
MIN_UNRESPONSIVE_OBJECTIVES = 0.5  # but never before this part of the objective


@dataclass(eq=False)
class AttemptTimeouts:
    """Watches attempts that take far longer than usual."""

    _context: Context
    _timers: TimerQueue
    _latency: Latency
    _concurrency_limit: ConcurrencyLimit
    _idle_connections: IdleConnections
    _outlier_detection: OutlierDetection

    def schedule_check(self, request: Request, attempt: Attempt) -> None:
        """Schedule a check of an attempt that begins now, for when it is overdue."""
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
        """Learn from an overdue attempt; return whether no response to it is to be expected any more."""
        endpoint = attempt.endpoint
        elapsed_us = self._context.now - attempt.started_at
        self._count_if_late(request, attempt, elapsed_us)
        if endpoint.health.last_response_at > attempt.started_at:
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
        """Count the attempt as a sign of overload once it is late, unless its endpoint is the cause."""
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
        """Whether others responded meanwhile, so that only this endpoint is unresponsive."""
        responses = self._outlier_detection.healthy_response_count - attempt.responses_before
        return attempt.endpoint.ejection is None and responses >= MIN_OTHER_RESPONSES
