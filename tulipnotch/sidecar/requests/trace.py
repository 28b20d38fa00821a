"""The course of each request in the log, by its id; off by default.

`requests = true` under `[log]` of the operator file turns it on.  The log's limits hold for these lines too.
"""

from __future__ import annotations

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.control.telemetry import CLOSE_REASON_NAMES, OUTCOME_NAMES
from tulipnotch.sidecar.logs import Log
from tulipnotch.sidecar.requests.invariants import CloseReason


class Trace:
    """Logs what happens to requests, connections and the process; `request` is a client's own id."""

    def __init__(self, log: Log) -> None:
        """Logs here from the start."""
        self._log = log

    def request_accepted(self, request: str, service_class: str, remaining_us: int) -> None:
        """A request was read as far as the sidecar needs it."""
        self._log("request_received", request=request, kind=service_class, left_ms=remaining_us // 1_000)

    def attempt_started(self, request: str, number: int, server: str, after: str) -> None:
        """An attempt was decided on; `after` is the outcome of the one before, empty for the first."""
        self._log("attempt_started", request=request, number=number, server=server, after=after or "none")

    def attempt_written(self, request: str, number: int) -> None:
        """The last byte of an attempt was written."""
        self._log("attempt_written", request=request, number=number)

    def attempt_ended(self, request: str, number: int, outcome: Outcome) -> None:
        """An attempt has its outcome."""
        self._log("attempt_ended", request=request, number=number, outcome=OUTCOME_NAMES[outcome])

    def request_ended(self, request: str, status: int) -> None:
        """A request has its response, or the first part of it; 0 where its client disconnected first."""
        self._log("request_ended", request=request, status=status)

    def connection_closed(self, reason: CloseReason) -> None:
        """A client's connection has ended."""
        self._log("connection_closed", reason=CLOSE_REASON_NAMES[reason])

    def phase_changed(self, phase: str) -> None:
        """The process is in another phase of its lifecycle."""
        self._log("phase_changed", phase=phase)
