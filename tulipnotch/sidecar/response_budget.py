"""The bound on the bytes of responses that one process holds for its clients."""

from __future__ import annotations

# Bounds of the bytes that each client's connection may hold without being counted.
_MIN_UNCOUNTED_BYTES = 4 << 10
_MAX_UNCOUNTED_BYTES = 64 << 10


class ResponseBudget:
    """Counts the bytes of responses that were received and that no client has accepted yet.

    Nothing fails when the budget is exhausted: connections to servers then read little at a time and pass
    responses on at once, instead of buffering them, and they pause while their clients do not read.

    Attributes:
        max_uncounted_bytes: Unsent bytes up to which a client is neither counted nor paused.
    """

    def __init__(self) -> None:
        """Creates a budget without a limit, until `set_limits` is called."""
        self._counted_bytes = 0
        self._max_counted_bytes: int | None = None
        self.max_uncounted_bytes = _MAX_UNCOUNTED_BYTES

    def set_limits(self, max_bytes: int, max_clients: int) -> None:
        """Sets the limit on all responses together, a third of which is for what is not counted."""
        uncounted = max_bytes // (3 * max(max_clients, 1))
        self.max_uncounted_bytes = min(max(uncounted, _MIN_UNCOUNTED_BYTES), _MAX_UNCOUNTED_BYTES)
        self._max_counted_bytes = max_bytes * 2 // 3

    @property
    def is_exhausted(self) -> bool:
        """Whether responses must be passed on instead of being buffered."""
        return self._max_counted_bytes is not None and self._counted_bytes >= self._max_counted_bytes

    def change(self, nbytes: int) -> None:
        """Adds this number of bytes, which is negative if they were freed."""
        self._counted_bytes += nbytes


class CountedBytes:
    """The bytes that one connection has counted in a budget."""

    __slots__ = ("_budget", "_nbytes")

    def __init__(self, budget: ResponseBudget) -> None:
        """Starts with no bytes."""
        self._budget = budget
        self._nbytes = 0

    def set(self, nbytes: int) -> None:
        """Counts this number of bytes from now on."""
        if nbytes != self._nbytes:
            self._budget.change(nbytes - self._nbytes)
            self._nbytes = nbytes
