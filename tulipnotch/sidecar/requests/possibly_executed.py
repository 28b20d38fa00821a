"""Ids of requests that may have run although their clients left: the same request must not run again.

A client whose connection closes over a request may take it for one that nobody had read, and send it once
more under the same id.  For a class whose repeats are not dropped everywhere that would be a second run.
"""

from __future__ import annotations

_MOST_SPENT = 65_536  # ids remembered; beyond that the oldest are forgotten, at some 100 bytes each


class PossiblyExecutedRequests:
    """Ids that are not taken again until a time; all times are clock times in microseconds."""

    def __init__(self) -> None:
        self._until: dict[bytes, int] = {}  # the first added first

    def add(self, ident: bytes, now: int, until: int) -> None:
        """Take this id no more until then."""
        self._until.pop(ident, None)
        self._until[ident] = until
        while self._until:
            oldest = next(iter(self._until))
            if now < self._until[oldest] and len(self._until) <= _MOST_SPENT:
                return
            del self._until[oldest]

    def has(self, ident: bytes, now: int) -> bool:
        """Whether a request with this id may have run, and its client could still send it again."""
        until = self._until.get(ident)
        return until is not None and now < until
