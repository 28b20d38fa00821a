"""The lifecycle phase of a process, and the only way to read or change it."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum, unique


@unique
class Phase(StrEnum):
    """Lifecycle phase of a process; the values are part of the responses to `readyz` and `/_health`."""

    STARTING = "starting"  # not ready yet: no usable endpoint list was received
    SERVING = "serving"
    EVACUATING = "evacuating"  # draining at an operator's command; can be activated again
    STOPPING = "stopping"  # shutting down, which cannot be undone


class Lifecycle:
    """Owns the phase and notifies listeners of each change."""

    def __init__(self) -> None:
        """Creates a lifecycle in the phase STARTING."""
        self._has_started = False
        self._phase = Phase.STARTING
        self._listeners: list[Callable[[], None]] = []

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    @property
    def is_ready(self) -> bool:
        """Whether the process is serving, thus neither starting nor draining."""
        return self._phase is Phase.SERVING

    @property
    def is_draining(self) -> bool:
        """Whether clients have to disconnect: connections are closed after a response, or when idle."""
        return self._phase in (Phase.EVACUATING, Phase.STOPPING)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called after each change of the phase."""
        self._listeners.append(listener)

    def mark_started(self) -> None:
        """Records that the start is complete, and enters SERVING unless the process is draining already."""
        self._has_started = True
        if self._phase is Phase.STARTING:
            self._enter_phase(Phase.SERVING)

    def evacuate(self) -> None:
        """Starts to drain the sidecar; does nothing if it is draining already."""
        if self._phase is not Phase.STOPPING:
            self._enter_phase(Phase.EVACUATING)

    def activate(self) -> bool:
        """Ends an evacuation; returns False if the process is stopping, which cannot be undone."""
        if self._phase is Phase.EVACUATING:
            self._enter_phase(Phase.SERVING if self._has_started else Phase.STARTING)
        return self._phase is not Phase.STOPPING

    def stop(self) -> None:
        """Enters STOPPING, the final phase."""
        self._enter_phase(Phase.STOPPING)

    def _enter_phase(self, phase: Phase) -> None:
        if phase is not self._phase:
            self._phase = phase
            for listener in self._listeners:
                listener()
