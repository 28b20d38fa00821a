"""What the owners of requests and actions have in common."""

from __future__ import annotations

from dataclasses import dataclass

from tulipnotch.load_balancing import Settings
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.control.telemetry import Telemetry
from tulipnotch.sidecar.logs import Log
from tulipnotch.sidecar.requests.invariants import InvariantChecker
from tulipnotch.sidecar.requests.trace import Trace
from tulipnotch.sidecar.upstream.pool import UpstreamPool


@dataclass(slots=True)
class SidecarContext:
    """The settings in force, and where effects go; only a reload replaces a field."""

    settings: Settings
    clock: Clock
    upstream: UpstreamPool
    log: Log
    telemetry: Telemetry
    invariants: InvariantChecker
    trace: Trace | None  # None: requests are not traced
