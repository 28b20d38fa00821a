"""Attempt feedback: what the end of an attempt tells about its endpoint and about the fleet."""

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
from tulipnotch.load_balancing.requests import Attempt, Request
from tulipnotch.load_balancing.retries.attempt_timeouts import HANDSHAKE_OBJECTIVES
from tulipnotch.load_balancing.selection.best_of_k import Selection

# Fraction of its duration for which an abandoned attempt goes on to count as in flight.
ABANDONED_FRACTION = 0.3
ABANDONED_OUTCOMES = (Outcome.TIMED_OUT, Outcome.CANCELLED)  # the server may still be executing the attempt


@dataclass(eq=False)
class AttemptFeedback:
    """Passes results of attempts to outlier detection, latency ratios, selection and concurrency limit."""

    _context: Context
    _load: Load
    _latency: Latency
    _response_times: ResponseTimes
    _concurrency_limit: ConcurrencyLimit
    _outlier_detection: OutlierDetection
    _selection: Selection

    def attempt_ended(
        self, request: Request, attempt: Attempt, event: AttemptEnded, *, was_in_flight: bool
    ) -> None:
        """Updates all measurements with an attempt that ended."""
        endpoint, outcome = attempt.endpoint, event.outcome
        was_abandoned = was_in_flight and outcome in ABANDONED_OUTCOMES
        is_late = was_abandoned and event.elapsed_us >= request.service_class.latency_objective_us
        self._outlier_detection.attempt_ended(attempt, Outcome.TIMED_OUT if is_late else outcome)
        if event.report and "util" in event.report:
            self._response_times.cpu_utilization_reported(min(max(event.report["util"], 0.0), 1.0))
        if was_abandoned:
            until = self._context.now + int(ABANDONED_FRACTION * event.elapsed_us)
            self._load.attempt_abandoned(endpoint, until)
            self._latency.attempt_abandoned(endpoint, request, event.elapsed_us)
        if outcome is Outcome.DELIVERED:
            self._response_delivered(request, attempt, event.elapsed_us)
        elif outcome is Outcome.SERVER_ERROR:
            self._latency.error_received(endpoint, request)
        elif outcome is Outcome.OVERLOADED:
            self._selection.overloaded_response_received(endpoint, request.service_class.name)

    def _response_delivered(self, request: Request, attempt: Attempt, elapsed_us: int) -> None:
        """Updates measurements with a response that was delivered to its client.

        Prevents handshakes from being counted as overload: after a start, or when servers are replaced, most
        connections are new, and the first response on each comes as late as from an overloaded server. A
        response that is later than a handshake explains is counted.
        """
        service_class = request.service_class
        opens_connection = attempt.opens_connection
        self._selection.response_received(attempt.endpoint, service_class.name)
        self._concurrency_limit.response_delivered(service_class.latency_objective_us)
        objective_fraction = (
            elapsed_us / service_class.latency_objective_us - HANDSHAKE_OBJECTIVES * opens_connection
        )
        if not opens_connection:
            self._latency.response_received(attempt.endpoint, request, elapsed_us)
        if not attempt.counted_late and (
            not opens_connection or objective_fraction > self._response_times.typical_fraction
        ):
            self._concurrency_limit.record_response_time(objective_fraction)
