"""The record of a run: what was sent, answered and run, one event a line, with the time since the start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes events to a file, and keeps them for the check at the end."""

    def __init__(self, path: Path) -> None:
        """Starts an empty record at `path`."""
        self._file = path.open("w", buffering=1)
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the time since the start of the record (s)."""
        return time.monotonic() - self._started_at

    def write(self, who: str, what: str) -> float:
        """Writes one event; returns its time."""
        now = self.now()
        self._file.write(f"{now:9.4f} {who:<10} {what}\n")
        return now

    def close(self) -> None:
        """Ends the record."""
        self._file.close()
