"""Token bucket that expires: tokens that are not used for long are lost rather than saved up."""

from __future__ import annotations

import math


class ExpiringTokenBucket:
    """Token bucket that starts again, almost empty, after it has been full for too long."""

    __slots__ = ("_full_since", "_tokens", "_updated_at")

    def __init__(self, now: int, tokens: float) -> None:
        """Starts with `tokens` tokens at clock time `now` (in microseconds)."""
        self._tokens = tokens
        self._updated_at = now
        self._full_since: int | None = None

    def fill(self, now: int, rate: float, capacity: float, expire_after_us: float) -> None:
        """Adds `rate` tokens per microsecond up to `capacity`; expires if full for `expire_after_us`."""
        before, self._tokens = self._tokens, self._tokens + rate * max(now - self._updated_at, 0)
        if self._tokens >= capacity:
            full_since = self._full_since
            if full_since is None or before < capacity:
                since_full_us = (self._tokens - capacity) / rate if rate > 0.0 else 0.0
                full_since = max(now - int(since_full_us), self._updated_at)
            self._full_since = full_since
            self._tokens = capacity
            self._expire(now - full_since, now, rate, capacity, expire_after_us)
        self._updated_at = now

    def holds(self, tokens: float) -> bool:
        """Returns whether the bucket has at least this many tokens."""
        return self._tokens >= tokens

    def consume(self, tokens: float) -> None:
        """Removes this many tokens; the remainder may become negative."""
        self._tokens -= tokens
        self._full_since = None

    def _expire(
        self, full_for_us: int, now: int, rate: float, capacity: float, expire_after_us: float
    ) -> None:
        """If full for too long, continues as if the bucket had been emptied when it became full."""
        period_us = max(capacity / rate, 1.0) if rate > 0.0 else math.inf
        if full_for_us < expire_after_us or period_us <= expire_after_us:
            return
        since_period_start_us = int(math.fmod(full_for_us, period_us))
        if since_period_start_us < expire_after_us:
            self._full_since = now - since_period_start_us
        else:
            self._full_since, self._tokens = None, min(rate * since_period_start_us, capacity)
