"""The state shared by the components that handle requests and execute actions."""

from __future__ import annotations

from tulipnotch.load_balancing import Settings
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.control.telemetry import Telemetry
from tulipnotch.sidecar.http1.response_fault import ResponseFault
from tulipnotch.sidecar.logs import Log
from tulipnotch.sidecar.requests.invariants import InvariantChecker
from tulipnotch.sidecar.requests.trace import Trace
from tulipnotch.sidecar.upstream.pool import UpstreamPool


class SidecarContext:
    """Holds the settings in force and the shared components; only a reload replaces a field."""

    __slots__ = ("clock", "invariants", "log", "settings", "telemetry", "trace", "upstream")

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        upstream: UpstreamPool,
        *,
        log: Log,
        telemetry: Telemetry,
        invariants: InvariantChecker,
        trace: Trace | None,
    ) -> None:
        """Stores the components; `trace` is None if requests are not traced."""
        self.settings = settings
        self.clock = clock
        self.upstream = upstream
        self.log = log
        self.telemetry = telemetry
        self.invariants = invariants
        self.trace = trace

    def report_malformed_response(self, endpoint: str, fault: ResponseFault, request: str) -> None:
        """Counts a malformed response, and logs it with the request's id or what it was requested for."""
        self.telemetry.response_malformed(fault)
        if fault is not ResponseFault.NOT_AWAITED:  # no fault of the server
            self.log("response_malformed", server=endpoint, fault=fault.value, request=request)

    def report_stalled_response(self, endpoint: str, request: str) -> None:
        """Counts and logs a response that has begun, makes no progress and is still waited for."""
        self.telemetry.response_stalled()
        self.log("response_stalled", server=endpoint, request=request)
