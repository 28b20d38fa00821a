"""The one state that this process is in; everything that asks or changes it goes through here."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, unique


@unique
class Phase(Enum):
    """What a process does with clients."""

    STARTING = "starting"  # not ready: it has no list that it may rely on yet
    SERVING = "serving"
    EVACUATING = "evacuating"  # it was told to empty itself, and may be told to serve again
    STOPPING = "stopping"  # it was told to end; there is no way back


class Lifecycle:
    """The phase, and who must hear of a change."""

    def __init__(self) -> None:
        self._has_started = False
        self._phase = Phase.STARTING
        self._on_change: list[Callable[[], None]] = []

    @property
    def phase(self) -> Phase:
        return self._phase

    @property
    def is_ready(self) -> bool:
        return self._phase is Phase.SERVING

    @property
    def is_draining(self) -> bool:
        """Whether clients are to leave: each answer closes its connection, and idle ones are let go."""
        return self._phase in (Phase.EVACUATING, Phase.STOPPING)

    def on_change(self, heard: Callable[[], None]) -> None:
        self._on_change.append(heard)

    def started(self) -> None:
        self._has_started = True
        if self._phase is Phase.STARTING:
            self._turn(Phase.SERVING)

    def evacuate(self) -> None:
        """Empty the sidecar; again, or while it stops, changes nothing."""
        if self._phase is not Phase.STOPPING:
            self._turn(Phase.EVACUATING)

    def activate(self) -> bool:
        """Undo an evacuation; say whether the process may take clients (one that stops may not)."""
        if self._phase is Phase.EVACUATING:
            self._turn(Phase.SERVING if self._has_started else Phase.STARTING)
        return self._phase is not Phase.STOPPING

    def stop(self) -> None:
        self._turn(Phase.STOPPING)

    def _turn(self, phase: Phase) -> None:
        if phase is not self._phase:
            self._phase = phase
            for heard in self._on_change:
                heard()
