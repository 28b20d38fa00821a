"""Periodic observation of the load, by which the sidecar changes between its service levels."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from tulipnotch.load_balancing import Balancer
from tulipnotch.load_balancing.admission.service_levels import (
    OBSERVATION_INTERVAL_US,
    ServiceLevel,
    ServiceLevelController,
)
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.control.lifecycle import Lifecycle, Phase
from tulipnotch.sidecar.event_queue import EventQueue
from tulipnotch.sidecar.logs import Log


@dataclass(frozen=True, slots=True)
class ServiceLevels:
    """Levels of reduced service that the operator file sets, and the minimum time between two changes."""

    levels: tuple[ServiceLevel, ...]
    hold_us: int


class ServiceLevelMonitor:
    """Passes the load to the level controller periodically, and its changes of level to the balancer."""

    def __init__(
        self, levels: ServiceLevels, clock: Clock, balancer: Balancer, events: EventQueue, log: Log
    ) -> None:
        """Creates a monitor at full service, which observes nothing before `start`."""
        self._clock = clock
        self._balancer = balancer
        self._events = events
        self._log = log
        self._controller = ServiceLevelController(levels.levels, levels.hold_us, clock.now())

    @property
    def index(self) -> int:
        """Current service level; 0 is full service."""
        return self._controller.index

    @property
    def change_count(self) -> int:
        """Number of level changes since the start."""
        return self._controller.changes

    def describe(self) -> str:
        """Returns a description of the current level and its reasons, for operators."""
        return self._controller.describe(self._clock.now())

    def start(self, lifecycle: Lifecycle) -> None:
        """Observes the load now, and once in each interval until the process stops."""
        change = self._controller.observe_pressure(self._clock.now(), self._balancer.pressure())
        if change is not None:
            self._log(
                "service_level_changed",
                now=change.current,
                before=change.previous,
                previous_duration_s=round(change.previous_duration_us / 1e6, 1),
                reason=change.reason,
            )
            self._events.post(change.effect)
        if lifecycle.phase is not Phase.STOPPING:
            asyncio.get_running_loop().call_later(OBSERVATION_INTERVAL_US / 1e6, self.start, lifecycle)
