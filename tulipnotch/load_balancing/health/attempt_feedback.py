"""Feedback: what the end of an attempt says of its server and of the fleet."""

from __future__ import annotations

from dataclasses import dataclass

from tulipnotch.load_balancing.admission.concurrency_limit import ConcurrencyLimit
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.events import AttemptEnded
from tulipnotch.load_balancing.health.outlier_detection import OutlierDetection
from tulipnotch.load_balancing.metrics.latency import Latency
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.metrics.response_times import ResponseTimes
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.records import Attempt, Request
from tulipnotch.load_balancing.retries.attempt_timeouts import HANDSHAKE_AIMS
from tulipnotch.load_balancing.selection.best_of_k import Selection

ABANDONED_LIFE = 0.3  # an abandoned attempt counts as in flight for this part of its wait more
ABANDONED = (Outcome.TIMED_OUT, Outcome.CANCELLED)  # outcomes after which the server may still be at it


@dataclass(eq=False)
class AttemptFeedback:
    """Passes what attempts show to outlier detection, latency ratios, selection and concurrency limit."""

    _context: Context
    _load: Load
    _latency: Latency
    _answers: ResponseTimes
    _limit: ConcurrencyLimit
    _outliers: OutlierDetection
    _selection: Selection

    def attempt_ended(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Learn from an attempt that ended."""
        outcome = event.outcome
        was_abandoned = attempt.is_in_flight and outcome in ABANDONED
        is_late = was_abandoned and event.elapsed_us >= request.service_class.latency_objective_us
        self._outliers.attempt_ended(attempt, Outcome.TIMED_OUT if is_late else outcome)
        if event.report and "util" in event.report:
            self._answers.cores_reported(min(max(event.report["util"], 0.0), 1.0))
        if was_abandoned:
            until = self._context.now + int(ABANDONED_LIFE * event.elapsed_us)
            self._load.attempt_abandoned(attempt.endpoint, until)
            self._latency.abandoned(attempt.endpoint, request, event.elapsed_us)
        if outcome is Outcome.DELIVERED:
            self._delivered(request, attempt, event.elapsed_us)
        elif outcome is Outcome.SERVER_ERROR:
            self._latency.failed(attempt.endpoint, request)
        elif outcome is Outcome.OVERLOADED:
            self._selection.full_received(attempt.endpoint, request.service_class.name)

    def _delivered(self, request: Request, attempt: Attempt, elapsed_us: int) -> None:
        """Learn from an answer that served its client.

        Prevents taking handshakes for load: after a start, or when servers are replaced, most connections
        are new, and each first answer comes as late as an overloaded server's.  What is late even so counts.
        """
        kind = request.service_class
        is_first = attempt.opens_connection
        self._selection.answer_received(attempt.endpoint, kind.name)
        self._limit.answer_delivered(kind.latency_objective_us)
        part = elapsed_us / kind.latency_objective_us - HANDSHAKE_AIMS * is_first
        if not is_first:
            self._latency.answered(attempt.endpoint, request, elapsed_us)
        if not attempt.counted_late and (not is_first or part > self._answers.typical):
            self._limit.answer_took(part)
