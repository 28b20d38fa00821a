"""Logs the events of each request with the request's id; off by default.

`requests = true` in the `[log]` table of the operator file enables it.  The log's rate limits apply to these
lines too.
"""

from __future__ import annotations

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.control.telemetry import CLOSE_REASON_NAMES, OUTCOME_NAMES
from tulipnotch.sidecar.logs import Log
from tulipnotch.sidecar.requests.invariants import CloseReason


class Trace:
    """Logs events of requests, connections and the process; `request` is the id that the client sent."""

    def __init__(self, log: Log) -> None:
        """Writes to `log`."""
        self._log = log

    def request_accepted(self, request: str, service_class: str, remaining_us: int) -> None:
        """Logs that a request has arrived and was accepted."""
        self._log("request_received", request=request, kind=service_class, left_ms=remaining_us // 1_000)

    def attempt_started(self, request: str, number: int, server: str, after: str) -> None:
        """Logs the start of an attempt; `after` is the outcome of the previous one, empty for the first."""
        self._log("attempt_started", request=request, number=number, server=server, after=after or "none")

    def attempt_written(self, request: str, number: int) -> None:
        """Logs that the last byte of an attempt was written."""
        self._log("attempt_written", request=request, number=number)

    def attempt_recalled(self, request: str, number: int) -> None:
        """Logs that an attempt was given up before all of its bytes had left."""
        self._log("attempt_recalled", request=request, number=number)

    def attempt_ended(self, request: str, number: int, outcome: Outcome) -> None:
        """Logs the outcome of an attempt."""
        self._log("attempt_ended", request=request, number=number, outcome=OUTCOME_NAMES[outcome])

    def request_ended(self, request: str, status: int) -> None:
        """Logs the status of a response that starts; 0 if the client disconnected before it."""
        self._log("request_ended", request=request, status=status)

    def connection_closed(self, reason: CloseReason) -> None:
        """Logs the end of a client's connection."""
        self._log("connection_closed", reason=CLOSE_REASON_NAMES[reason])

    def phase_changed(self, phase: str) -> None:
        """Logs a new phase of the process's lifecycle."""
        self._log("phase_changed", phase=phase)
