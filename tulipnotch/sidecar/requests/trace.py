"""The life of each request in the log, by its id: for following one through, and off by default.

`requests = true` under `[log]` of the operator file turns it on.  The log's limits hold for these lines too.
"""

from __future__ import annotations

from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.control.telemetry import CLOSE_REASON_NAMES, OUTCOME_NAMES
from tulipnotch.sidecar.logs import Log
from tulipnotch.sidecar.requests.invariants import CloseReason


class Trace:
    """Writes what becomes of requests, connections and the process; `request` is a client's own id."""

    def __init__(self, log: Log) -> None:
        self._log = log

    def request_received(self, request: str, service_class: str, left_us: int) -> None:
        """All that the sidecar needs of a request has come."""
        self._log("request_received", request=request, kind=service_class, left_ms=left_us // 1_000)

    def attempt_started(self, request: str, number: int, server: str, after: str) -> None:
        """An attempt is decided on; `after` says what became of the one before."""
        self._log("attempt_started", request=request, number=number, server=server, after=after or "none")

    def attempt_written(self, request: str, number: int) -> None:
        """Its last byte has left."""
        self._log("attempt_written", request=request, number=number)

    def attempt_ended(self, request: str, number: int, outcome: Outcome) -> None:
        """An attempt has its outcome."""
        self._log("attempt_ended", request=request, number=number, outcome=OUTCOME_NAMES[outcome])

    def request_ended(self, request: str, status: int) -> None:
        """A request has its final answer; 0 where its client left first."""
        self._log("request_ended", request=request, status=status)

    def connection_closed(self, reason: CloseReason) -> None:
        """A client's connection has ended."""
        self._log("connection_closed", reason=CLOSE_REASON_NAMES[reason])

    def phase_changed(self, phase: str) -> None:
        """The process is in another phase."""
        self._log("phase_changed", phase=phase)
