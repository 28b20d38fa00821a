"""The lifecycle phase of one process; everything that reads or changes it goes through here."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum, unique


@unique
class Phase(StrEnum):
    """What a process does with clients; the values are sent by `readyz` and `/_health`."""

    STARTING = "starting"  # not ready: it has no endpoint list to rely on yet
    SERVING = "serving"
    EVACUATING = "evacuating"  # an operator drains it, and may activate it again
    STOPPING = "stopping"  # it is shutting down, which cannot be undone


class Lifecycle:
    """Owns the phase, and notifies listeners of each change."""

    def __init__(self) -> None:
        """Begins in the phase STARTING."""
        self._has_started = False
        self._phase = Phase.STARTING
        self._listeners: list[Callable[[], None]] = []

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    @property
    def is_ready(self) -> bool:
        """Whether the process accepts requests and is not draining."""
        return self._phase is Phase.SERVING

    @property
    def is_draining(self) -> bool:
        """Whether clients should disconnect: each response closes its connection, idle ones are closed."""
        return self._phase in (Phase.EVACUATING, Phase.STOPPING)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Adds a listener that is called after each change of the phase."""
        self._listeners.append(listener)

    def mark_started(self) -> None:
        """Records that the start is complete, and serves unless the process is draining already."""
        self._has_started = True
        if self._phase is Phase.STARTING:
            self._enter(Phase.SERVING)

    def evacuate(self) -> None:
        """Drains the sidecar; does nothing if it is draining already."""
        if self._phase is not Phase.STOPPING:
            self._enter(Phase.EVACUATING)

    def activate(self) -> bool:
        """Undoes an evacuation; returns False if the process is stopping, which cannot be undone."""
        if self._phase is Phase.EVACUATING:
            self._enter(Phase.SERVING if self._has_started else Phase.STARTING)
        return self._phase is not Phase.STOPPING

    def stop(self) -> None:
        """Enters the final phase."""
        self._enter(Phase.STOPPING)

    def _enter(self, phase: Phase) -> None:
        if phase is not self._phase:
            self._phase = phase
            for listener in self._listeners:
                listener()
