"""Request ids that several processes of one sidecar use, as seen by the registry of one of them."""

from __future__ import annotations

from enum import Enum, unique
from typing import NamedTuple, Protocol


@unique
class ClaimResult(Enum):
    """Result of claiming an id for a request that has arrived."""

    GRANTED = "granted"  # the id belongs to the request until its response has ended
    IN_USE = "in use"  # it is that of a request with a pending response
    POSSIBLY_EXECUTED = "possibly executed"  # a request with this id must not be executed again
    LIMIT_REACHED = "limit reached"  # as many responses are pending as are allowed
    UNKNOWN = "unknown"  # another process may use it, which can't be found out now


class IdClaim(NamedTuple):
    """An id whose response is pending, and how long it is retained if its process ends before that (us)."""

    request_id: bytes
    retention_us: int


class RetainedId(NamedTuple):
    """An id that may have been executed, and for how long it must not be used again (us)."""

    request_id: bytes
    remaining_us: int


class SharedIds(Protocol):
    """The ids that other processes use, and to which this process adds its own."""

    def claim(self, claim: IdClaim, max_pending: int | None) -> ClaimResult:
        """Claims an id for this process; no more than `max_pending` are granted to all processes together."""
        ...

    def release(self, request_id: bytes) -> None:
        """Records that the response to a request of this process has ended."""
        ...

    def retain(self, retained: RetainedId) -> None:
        """Records that a request of this process may have been executed, though its client disconnected."""
        ...


class UnknownIds:
    """Stands for the ids of a process that does not answer (`SharedIds`)."""

    def claim(self, _claim: IdClaim, _max_pending: int | None) -> ClaimResult:
        """Returns that it can't be known whether the other process uses the id."""
        return ClaimResult.UNKNOWN

    def release(self, _request_id: bytes) -> None:
        """Does nothing."""

    def retain(self, _retained: RetainedId) -> None:
        """Does nothing."""
