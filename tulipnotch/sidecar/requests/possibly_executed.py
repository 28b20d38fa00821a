"""Ids of requests that may have been executed although their clients disconnected.

A client whose connection closes before the response may take its request for one that was never read, and
send it once more under the same id.  For a class without deduplication everywhere that would be a second
execution.
"""

from __future__ import annotations

_MAX_IDS = 65_536  # beyond that the oldest are dropped; each takes some 100 bytes


class PossiblyExecutedRequests:
    """Ids that are rejected until their time; all times are clock times (us)."""

    def __init__(self) -> None:
        """No id is rejected yet."""
        self._rejected_until: dict[bytes, int] = {}  # the oldest entry first

    def add(self, request_id: bytes, now: int, until: int) -> None:
        """Rejects this id until then."""
        self._rejected_until.pop(request_id, None)
        self._rejected_until[request_id] = until
        while self._rejected_until:
            oldest = next(iter(self._rejected_until))
            if now < self._rejected_until[oldest] and len(self._rejected_until) <= _MAX_IDS:
                return
            del self._rejected_until[oldest]

    def contains(self, request_id: bytes, now: int) -> bool:
        """Whether a request with this id may have been executed, and its client may still retry it."""
        until = self._rejected_until.get(request_id)
        return until is not None and now < until
