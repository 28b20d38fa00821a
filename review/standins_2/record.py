"""The record of a run: a line for each event, written to `record.txt` in the case's folder."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects the lines of one run; times are seconds since its start."""

    def __init__(self, folder: Path) -> None:
        """Starts the clock of the record."""
        self._path = folder / "record.txt"
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Returns the time since the start of the record (s)."""
        return time.monotonic() - self._started_at

    def add(self, event: str, *details: object) -> float:
        """Adds a line; returns its time."""
        now = self.now()
        self._lines.append(" ".join([f"{now:9.4f}", event, *map(str, details)]))
        return now

    def write(self) -> None:
        """Writes all lines to the file, in the order of their times."""
        self._path.write_text("\n".join(self._lines) + "\n")
