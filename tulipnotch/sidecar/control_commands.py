"""What operators may command or read at the control endpoint."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from tulipnotch.load_balancing import Balancer
from tulipnotch.sidecar.control.endpoint import CommandHandler, CommandRejectedError
from tulipnotch.sidecar.control.lifecycle import Lifecycle
from tulipnotch.sidecar.requests.context import SidecarContext
from tulipnotch.sidecar.requests.request_registry import RequestRegistry
from tulipnotch.sidecar.service_level_monitor import ServiceLevelMonitor


class ControlCommands:
    """Handles each command with a reply: the rest of its first line, and further lines."""

    def __init__(
        self,
        context: SidecarContext,
        lifecycle: Lifecycle,
        balancer: Balancer,
        registry: RequestRegistry,
        levels: ServiceLevelMonitor | None,
    ) -> None:
        """`levels` is None where the operator file sets no service levels."""
        self._context = context
        self._lifecycle = lifecycle
        self._balancer = balancer
        self._registry = registry
        self._levels = levels

    def handlers(self) -> Mapping[str, CommandHandler]:
        """The commands by name."""
        return {
            "readyz": self.readyz,
            "telemetry": self.telemetry,
            "level": self.level,
            "evacuate": self.evacuate,
            "activate": self.activate,
        }

    def readyz(self) -> Sequence[str]:
        """Whether clients may be sent here; raises CommandRejectedError with the phase if not."""
        if not self._lifecycle.is_ready:
            raise CommandRejectedError(self._lifecycle.phase.value)
        return ["ready"]

    def level(self) -> Sequence[str]:
        """The service level in force; raises CommandRejectedError where no levels are set."""
        if self._levels is None:
            raise CommandRejectedError("no levels are set")
        return [self._levels.describe()]

    def telemetry(self) -> Sequence[str]:
        """All counters and gauges, a line each, and a line with a full stop."""
        counts = self._balancer.endpoint_counts()
        gauges = {
            "pending": self._registry.pending_complete_request_count,
            "members": counts.listed,
            "members_unavailable": counts.unavailable,
            "invariant_violations": self._context.invariants.violation_count,
        }
        if self._levels is not None:
            gauges |= {"level": self._levels.index, "level_changes": self._levels.changes}
        return ["", *self._context.telemetry.render_metrics(gauges), "."]

    def evacuate(self) -> Sequence[str]:
        """Has clients leave; replies with the phase."""
        self._lifecycle.evacuate()
        return [self._lifecycle.phase.value]

    def activate(self) -> Sequence[str]:
        """Takes an evacuation back; raises CommandRejectedError with the phase where the process stops."""
        if not self._lifecycle.activate():
            raise CommandRejectedError(self._lifecycle.phase.value)
        return [self._lifecycle.phase.value]
