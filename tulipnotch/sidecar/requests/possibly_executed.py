"""Ids of requests that may have been executed although their clients disconnected.

A client whose connection closes before the response may assume that its request was never read, and send it
again under the same id.  Unless all servers deduplicate requests of that class, it could be executed twice.
"""

from __future__ import annotations

from tulipnotch.sidecar.requests.shared_ids import RetainedId

_MAX_IDS = 65_536  # the oldest ids are dropped beyond this; each takes about 100 bytes


class PossiblyExecutedRequests:
    """Stores ids that are rejected until a given time; all times are clock times (us)."""

    def __init__(self) -> None:
        """Starts without ids."""
        self._rejected_until: dict[bytes, int] = {}  # keyed by request id, oldest first

    def add(self, request_id: bytes, now: int, until: int) -> None:
        """Adds an id that is rejected until `until`; drops expired and excess ids, oldest first."""
        self._rejected_until.pop(request_id, None)
        self._rejected_until[request_id] = until
        while self._rejected_until:
            oldest = next(iter(self._rejected_until))
            if now < self._rejected_until[oldest] and len(self._rejected_until) <= _MAX_IDS:
                return
            del self._rejected_until[oldest]

    def contains(self, request_id: bytes, now: int) -> bool:
        """Returns whether a request with this id may have been executed and is still to be rejected."""
        until = self._rejected_until.get(request_id)
        return until is not None and now < until

    def retained(self, now: int) -> list[RetainedId]:
        """Returns the ids that are rejected at `now`."""
        return [
            RetainedId(request_id, until - now)
            for request_id, until in self._rejected_until.items()
            if now < until
        ]
