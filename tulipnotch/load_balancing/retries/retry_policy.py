"""Retry policy: whether a request is retried, within rule 2 (`idempotency_rule`) and the retry budget."""

from __future__ import annotations

from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.requests import Attempt, Request
from tulipnotch.load_balancing.retries import idempotency_rule

RETRIES_PER_REQUEST = 0.2  # retries after failures that each request adds to the budget: no retry storms
RETRY_BUDGET_REQUESTS = 50.0  # requests whose part of the budget may be saved up
MAX_RETRY_BUDGET = RETRIES_PER_REQUEST * RETRY_BUDGET_REQUESTS


class RetryPolicy:
    """The retry budget, and what it and rule 2 permit."""

    def __init__(self, context: Context) -> None:
        """Begin with half of the budget."""
        self._context = context
        self.budget = MAX_RETRY_BUDGET / 2  # retries that are permitted now

    def request_arrived(self) -> None:
        """Add a request's part to the budget."""
        self.budget = min(self.budget + RETRIES_PER_REQUEST, MAX_RETRY_BUDGET)

    def retry_deadline(self, request: Request) -> int:
        """Clock time from which on the request's class lets no further attempt begin."""
        return idempotency_rule.write_deadline(
            request.service_class, self._context.settings.clock_resolution_us, request.attempts
        )

    def write_deadline(self, request: Request, attempt: Attempt) -> int:
        """Clock time from which on the last byte of an attempt may not be written; NEVER: no bound.

        Bounded by the attempts whose last byte was written; 0: it may not be written at all.
        """
        settings = self._context.settings
        others = [
            each for each in request.attempts if each is not attempt and each.request_written_at is not None
        ]
        if not settings.limits.hedged_requests and any(each.is_pending for each in others):
            return 0
        if not idempotency_rule.is_in_deduplication_scope(request.service_class, attempt.endpoint, others):
            return 0
        return idempotency_rule.write_deadline(request.service_class, settings.clock_resolution_us, others)

    def may_retry(self, request: Request, *, is_overload_retry: bool) -> bool:
        """Whether to retry after an attempt that ended.

        A redraw after an overloaded response is a part of best-of-k and no retry, so it takes no budget.
        """
        return self._context.now < self.retry_deadline(request) and (is_overload_retry or self.budget >= 1.0)

    def may_hedge(self, request: Request) -> bool:
        """Whether to try another endpoint than one that is unresponsive."""
        limits = self._context.settings.limits
        if self._context.now >= self.retry_deadline(request) or len(request.attempts) >= limits.max_attempts:
            return False
        return self.budget >= 1.0

    def consume_budget(self) -> None:
        """Take one retry out of the budget."""
        self.budget -= 1.0

    def is_rejection_harmless(self, request: Request) -> bool:
        """Whether a client may be notified that sending the request again is harmless."""
        may_have_run = any(each.may_have_run for each in request.attempts)
        return not may_have_run or idempotency_rule.is_safe_to_resend(request.service_class)
