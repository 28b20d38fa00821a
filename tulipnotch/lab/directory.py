"""The endpoint list as discovery maintains it: entries, each with the version of its last change."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Any


@unique
class ListedState(Enum):
    """The state of a server in the list; the values are those of discovery's JSON."""

    ACTIVE = "active"
    DRAINING = "leaving"
    REMOVED = "left"


@dataclass(slots=True)
class DirectoryEntry:
    """A server in the list.

    Attributes:
        name: The server's name.
        zone: Its zone.
        machine_type: The name of its type of machine.
        cell: The number of its cell.
        state: Its state.
        started_at: When it started, microseconds from the start of the run; None if before it.
        version: The version of the list in which the entry last changed.
    """

    name: str
    zone: str
    machine_type: str
    cell: int
    state: ListedState = ListedState.ACTIVE
    started_at: int | None = None
    version: int = 1


class Directory:
    """Owns the list and its version; it has no knowledge of its subscribers."""

    def __init__(self, entries: list[DirectoryEntry]) -> None:
        """Starts with these entries, as version 1."""
        self.version = 1
        self._entries = {entry.name: entry for entry in entries}

    def update(self, name: str, state: ListedState, started_at: int | None = None) -> bool:
        """Publishes a server's state; returns whether that changes the list."""
        entry = self._entries[name]
        if (entry.state, entry.started_at) == (state, started_at):
            return False
        self.version += 1
        entry.state, entry.started_at, entry.version = state, started_at, self.version
        return True

    def current(self) -> list[DirectoryEntry]:
        """Returns the complete list: all entries that are not removed."""
        return [entry for entry in self._entries.values() if entry.state is not ListedState.REMOVED]

    def changed_since(self, version: int) -> list[DirectoryEntry]:
        """Returns the entries that changed after this version, removed ones included."""
        return [entry for entry in self._entries.values() if entry.version > version]

    def entry(self, name: str) -> DirectoryEntry:
        """Returns the entry of a server, also if it is removed."""
        return self._entries[name]


def to_discovery_json(entry: DirectoryEntry, address: str, epoch_us: int) -> dict[str, Any]:
    """Returns the entry in the form of discovery's JSON.

    Args:
        entry: The entry.
        address: The server's address, as the sidecar reaches it.
        epoch_us: The Unix time at which the laboratory's clock began, microseconds.
    """
    started_ms = (entry.started_at + epoch_us) // 1_000 if entry.started_at is not None else 0
    return {
        "id": entry.name, "addr": address, "zone": entry.zone, "kind": entry.machine_type, "cell": entry.cell,
        "state": entry.state.value, "weight": 1.0, "started_ms": started_ms,
    }  # fmt: skip
