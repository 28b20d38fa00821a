"""Commands that operators may send to the control endpoint."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from tulipnotch.load_balancing import Balancer
from tulipnotch.sidecar.control.endpoint import CommandHandler, CommandRejectedError
from tulipnotch.sidecar.control.lifecycle import Lifecycle
from tulipnotch.sidecar.event_loop_monitor import EventLoopMonitor
from tulipnotch.sidecar.process_memory import BufferUsage, peak_resident_bytes, resident_bytes
from tulipnotch.sidecar.requests.context import SidecarContext
from tulipnotch.sidecar.requests.request_registry import RequestRegistry
from tulipnotch.sidecar.service_level_monitor import ServiceLevelMonitor


class ControlCommands:
    """Handles each command.

    A handler returns the text that follows the status on the first line of the response, and any further
    lines.
    """

    def __init__(
        self,
        context: SidecarContext,
        lifecycle: Lifecycle,
        balancer: Balancer,
        registry: RequestRegistry,
        level_monitor: ServiceLevelMonitor | None,
        buffer_usage: Callable[[], BufferUsage],
        loop_monitor: EventLoopMonitor,
    ) -> None:
        """Creates the handlers.

        Args:
            context: The shared components.
            lifecycle: The lifecycle phase, which two of the commands change.
            balancer: Counts the endpoints.
            registry: Counts the open requests.
            level_monitor: None if the operator file sets no service levels.
            buffer_usage: Returns what the connections hold now.
            loop_monitor: Measures how late the event loop is.
        """
        self._context = context
        self._lifecycle = lifecycle
        self._balancer = balancer
        self._registry = registry
        self._level_monitor = level_monitor
        self._buffer_usage = buffer_usage
        self._loop_monitor = loop_monitor

    def handlers(self) -> Mapping[str, CommandHandler]:
        """Returns the handlers, keyed by command name."""
        return {
            "readyz": self.readyz,
            "telemetry": self.telemetry,
            "level": self.level,
            "evacuate": self.evacuate,
            "activate": self.activate,
        }

    def readyz(self) -> Sequence[str]:
        """Reports that clients may be sent to this sidecar.

        Raises:
            CommandRejectedError: They may not; the error contains the phase.
        """
        if not self._lifecycle.is_ready:
            raise CommandRejectedError(self._lifecycle.phase.value)
        return ["ready"]

    def level(self) -> Sequence[str]:
        """Returns the current service level.

        Raises:
            CommandRejectedError: The operator file sets no levels.
        """
        if self._level_monitor is None:
            raise CommandRejectedError("no levels are set")
        return [self._level_monitor.describe()]

    def telemetry(self) -> Sequence[str]:
        """Returns all counters and gauges, one on each line, and a last line that holds a full stop."""
        counts = self._balancer.endpoint_counts()
        usage = self._buffer_usage()
        gauges = {
            "pending": self._registry.pending_complete_request_count,
            "members": counts.listed,
            "members_unavailable": counts.unavailable,
            "invariant_violations": self._context.invariants.violation_count,
            "resident_bytes": resident_bytes(),
            "peak_resident_bytes": peak_resident_bytes(),
            "request_buffer_bytes": usage.request_bytes,
            "response_buffer_bytes": usage.response_bytes,
            "paused_uploads": usage.paused_uploads,
            "event_loop_delay_ms": round(self._loop_monitor.recent_delay_s * 1_000),
            "max_event_loop_delay_ms": round(self._loop_monitor.max_delay_s * 1_000),
        }
        if self._level_monitor is not None:
            gauges |= {"level": self._level_monitor.index, "level_changes": self._level_monitor.change_count}
        return ["", *self._context.telemetry.render_metrics(gauges), "."]

    def evacuate(self) -> Sequence[str]:
        """Asks clients to leave this sidecar; returns the phase."""
        self._lifecycle.evacuate()
        return [self._lifecycle.phase.value]

    def activate(self) -> Sequence[str]:
        """Ends an evacuation; returns the phase.

        Raises:
            CommandRejectedError: The process is stopping; the error contains the phase.
        """
        if not self._lifecycle.activate():
            raise CommandRejectedError(self._lifecycle.phase.value)
        return [self._lifecycle.phase.value]
