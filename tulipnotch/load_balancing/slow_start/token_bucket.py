"""A token bucket whose full state lapses: what is not used for long is not saved up."""

from __future__ import annotations

import math


class LapsingBucket:
    """Tokens that fill up to a most; a bucket that stays full for too long begins again, nearly empty."""

    __slots__ = ("_at", "_full_since", "_tokens")

    def __init__(self, now: int, begins_with: float) -> None:
        self._tokens = begins_with
        self._at = now
        self._full_since: int | None = None

    def fill(self, now: int, rate: float, most: float, lasts_us: float) -> None:
        """Fill by so many tokens per microsecond up to `most`; a full bucket lasts for `lasts_us`."""
        before, self._tokens = self._tokens, self._tokens + rate * max(now - self._at, 0)
        if self._tokens >= most:
            if self._full_since is None or before < most:
                late = (self._tokens - most) / rate if rate > 0.0 else 0.0
                self._full_since = max(now - int(late), self._at)
            self._tokens = most
            self._lapse(now, rate, most, lasts_us)
        self._at = now

    def holds(self, tokens: float) -> bool:
        """Whether there are so many tokens."""
        return self._tokens >= tokens

    def spend(self, tokens: float) -> None:
        """Take so many tokens out."""
        self._tokens -= tokens
        self._full_since = None

    def _lapse(self, now: int, rate: float, most: float, lasts_us: float) -> None:
        """Full for too long: go on as if it had been emptied in the instant in which it filled."""
        assert self._full_since is not None
        period = max(most / rate, 1.0) if rate > 0.0 else math.inf
        gone = now - self._full_since
        if gone < lasts_us or period <= lasts_us:
            return
        gone = int(math.fmod(gone, period))
        if gone < lasts_us:
            self._full_since = now - gone
        else:
            self._full_since, self._tokens = None, min(rate * gone, most)
