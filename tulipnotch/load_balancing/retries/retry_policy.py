"""Retry policy: whether a request is tried again, within rule 2 (`repeat_rule`) and the retry budget."""

from __future__ import annotations

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.records import Request
from tulipnotch.load_balancing.retries import idempotency_rule as repeat_rule

RETRIES_PER_REQUEST = 0.2  # further attempts after failures, for each request: no retry storms
REQUESTS_SAVED = 50.0  # requests whose allowance may be saved up
BUDGET_MOST = RETRIES_PER_REQUEST * REQUESTS_SAVED


class RetryPolicy:
    """The retry budget, and what it and rule 2 permit."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.budget = BUDGET_MOST / 2  # further attempts that are allowed now

    def request_arrived(self) -> None:
        """Each request adds to the budget."""
        self.budget = min(self.budget + RETRIES_PER_REQUEST, BUDGET_MOST)

    def begin_by(self, request: Request) -> int:
        """Until when the request's class lets another attempt begin."""
        return repeat_rule.begin_by(
            request.service_class, self._context.settings.clock_resolution_us, request.attempts
        )

    def may_retry(self, request: Request, was_full: bool) -> bool:
        """Whether to try again after an attempt that ended.

        A redraw after a full answer is a part of best-of-k and no retry, so it takes no budget.
        """
        return self._context.now < self.begin_by(request) and (was_full or self.budget >= 1.0)

    def may_leave(self, request: Request) -> bool:
        """Whether to try at another server than one that does not answer."""
        limits = self._context.settings.limits
        if self._context.now >= self.begin_by(request) or len(request.attempts) >= limits.max_attempts:
            return False  # waiting is all that is left
        return self.budget >= 1.0

    def spend(self) -> None:
        """A further attempt goes."""
        self.budget -= 1.0

    def is_refusal_harmless(self, request: Request) -> bool:
        """Whether a client may be told that trying again has no double effect."""
        may_have_run = any(each.may_have_run for each in request.attempts)
        return not may_have_run or repeat_rule.may_run_anywhere_again(request.service_class)
