"""The list of servers as discovery keeps it: entries, each with the version of its last change."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Any


@unique
class Listed(Enum):
    """What the list says of a server, in discovery's words."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(slots=True)
class Line:
    """A line of the list."""

    name: str
    zone: str
    kind: str
    cell: int
    state: Listed = Listed.ACTIVE
    started_at: int | None = None  # microseconds; None: long ago
    version: int = 1


class Directory:
    """The list; it knows nothing of who asks."""

    def __init__(self, lines: list[Line]) -> None:
        self.version = 1
        self._lines = {each.name: each for each in lines}

    def change(self, name: str, state: Listed, started_at: int | None = None) -> bool:
        """Publish a state; say whether it is news."""
        line = self._lines[name]
        if (line.state, line.started_at) == (state, started_at):
            return False
        self.version += 1
        line.state, line.started_at, line.version = state, started_at, self.version
        return True

    def whole(self) -> list[Line]:
        """Who is listed: who left is not."""
        return [each for each in self._lines.values() if each.state is not Listed.LEFT]

    def since(self, version: int) -> list[Line]:
        """What changed after this version."""
        return [each for each in self._lines.values() if each.version > version]

    def line(self, name: str) -> Line:
        return self._lines[name]


def entry(line: Line, address: str, epoch_us: int) -> dict[str, Any]:
    """The line in discovery's JSON; `epoch_us` is the Unix time (us) at which the lab's clock began."""
    started = (line.started_at + epoch_us) // 1_000 if line.started_at is not None else 0
    return {
        "id": line.name, "addr": address, "zone": line.zone, "kind": line.kind, "cell": line.cell,
        "state": line.state.value, "weight": 1.0, "started_ms": started,
    }  # fmt: skip
