"""Overdue attempts: after how long an attempt is overdue, and when its server counts as silent.

Prevents servers that take work and answer nothing from being sent to until time-outs would tell.  A server
that answered anything since is slow, not silent; if others were as silent, all are overloaded.
"""

from __future__ import annotations

from dataclasses import dataclass

from tulipnotch.load_balancing.admission.concurrency_limit import ConcurrencyLimit
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.health.idle_connections import IdleConnections
from tulipnotch.load_balancing.health.outlier_detection import OutlierDetection
from tulipnotch.load_balancing.metrics.latency import Latency
from tulipnotch.load_balancing.records import Attempt, Request
from tulipnotch.load_balancing.timer_queue import TimerQueue

PATIENCE = 2.5  # usual times (at this server's latency ratio) after which an attempt is overdue
PATIENCE_AIMS = 0.1  # but never less than this part of the aim: short times are all jitter
HANDSHAKE_AIMS = 0.5  # or this on a new connection, which begins with a handshake
OTHER_ANSWERS = 4  # from other servers, since the attempt left, that single out its server's silence
SILENCE = 2.0  # overdue again by this factor, an unanswering server is taken for silent
SILENCE_AIMS = 0.5  # but never before this part of the aim


@dataclass(eq=False)
class AttemptTimeouts:
    """Watches attempts that take far longer than usual."""

    _context: Context
    _agenda: TimerQueue
    _latency: Latency
    _limit: ConcurrencyLimit
    _idle: IdleConnections
    _outliers: OutlierDetection

    def watch(self, request: Request, attempt: Attempt) -> None:
        """Look at an attempt that begins now once it is overdue."""
        due = self._context.now + self._patience(request, attempt)
        self._agenda.schedule(due, request.request_id, attempt.index)

    def _patience(self, request: Request, attempt: Attempt) -> int:
        usual = PATIENCE * self._latency.usual(request) * max(attempt.endpoint.latency_ratio, 1.0)
        least = HANDSHAKE_AIMS if attempt.opens_connection else PATIENCE_AIMS
        return int(
            max(
                usual,
                least * request.service_class.latency_objective_us,
                self._context.settings.clock_resolution_us,
            )
        )

    def gets_no_answer(self, request: Request, attempt: Attempt) -> bool:
        """Learn from an overdue attempt; say whether it gets none where it is, as far as is known."""
        server = attempt.endpoint
        waited = self._context.now - attempt.sent_at
        self._count_if_late(request, attempt, waited)
        if server.last_response_at > attempt.sent_at:
            return False
        enough = int(
            max(
                SILENCE * self._patience(request, attempt),
                SILENCE_AIMS * request.service_class.latency_objective_us,
            )
        )
        if waited < enough:
            self._agenda.schedule(attempt.sent_at + enough, request.request_id, attempt.index)
        elif self._is_singled_out(attempt) and not self._idle.is_blamed_for(attempt):
            self._outliers.eject_silent(server)
        return server.ejected_until is not None or attempt.is_connection_suspect

    def _count_if_late(self, request: Request, attempt: Attempt, waited: int) -> None:
        """Count the attempt as a sign of overload once it is late, unless its server is the cause."""
        late = int(
            request.service_class.latency_objective_us * (1.0 + HANDSHAKE_AIMS * attempt.opens_connection)
        )
        if waited < late:
            self._agenda.schedule(attempt.sent_at + late, request.request_id, attempt.index)
        elif (
            not attempt.counted_late
            and attempt.endpoint.ejected_until is None
            and not attempt.is_connection_suspect
        ):
            attempt.counted_late = True
            self._limit.request_overdue()

    def _is_singled_out(self, attempt: Attempt) -> bool:
        """Whether others answered meanwhile, so that the silence is this server's own."""
        answers = self._outliers.answers - attempt.responses_before
        return attempt.endpoint.ejected_until is None and answers >= OTHER_ANSWERS
