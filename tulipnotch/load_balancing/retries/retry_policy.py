"""Retry policy: whether a request is retried, within rule 2 (`idempotency_rule`) and the retry budget."""

from __future__ import annotations

from collections.abc import Collection

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.requests import Attempt, Request
from tulipnotch.load_balancing.retries import idempotency_rule

# Retries after failures that each request adds to the budget; prevents retry storms.
RETRIES_PER_REQUEST = 0.2
RETRY_BUDGET_REQUESTS = 50.0  # number of requests whose additions fill the budget
MAX_RETRY_BUDGET = RETRIES_PER_REQUEST * RETRY_BUDGET_REQUESTS


class RetryPolicy:
    """Tracks the retry budget, and decides on retries by it and by rule 2."""

    def __init__(self, context: Context) -> None:
        """Starts with half of the maximum budget."""
        self._context = context
        self.budget = MAX_RETRY_BUDGET / 2  # number of retries that are permitted now

    def request_arrived(self) -> None:
        """Adds the retries that one request contributes to the budget."""
        self.budget = min(self.budget + RETRIES_PER_REQUEST, MAX_RETRY_BUDGET)

    def retry_deadline(self, request: Request) -> int:
        """Returns the clock time from which the request's class permits no further attempt."""
        return idempotency_rule.write_deadline(
            request.service_class, self._context.settings.clock_resolution_us, request.attempts
        )

    def write_deadline(self, request: Request, attempt: Attempt) -> int:
        """Returns the clock time from which the last byte of an attempt must not be written; NEVER: no bound.

        Only attempts whose last byte was written restrict it. 0: it must not be written at all.
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

    def send_deadline(self, request: Request, attempt: Attempt, unsent: Collection[int], now: int) -> int:
        """Returns the clock time by which a written attempt must have left this machine; NEVER: no bound.

        Its server may execute it a whole window after another one has, and no later.  An attempt that has not
        left either, by its index in `unsent`, can't have been executed before `now`.
        """
        execution_times = (
            now if each.index in unsent else each.request_written_at
            for each in request.attempts
            if each is not attempt and each.may_have_run and each.request_written_at is not None
        )
        return idempotency_rule.execution_deadline(
            request.service_class,
            self._context.settings.clock_resolution_us,
            min(execution_times, default=NEVER),
        )

    def may_retry(self, request: Request, *, is_overload_retry: bool) -> bool:
        """Returns whether to retry after an attempt that ended.

        A redraw after an overloaded response is a part of best of k rather than a retry, so it uses no
        budget.
        """
        return self._context.now < self.retry_deadline(request) and (is_overload_retry or self.budget >= 1.0)

    def may_hedge(self, request: Request) -> bool:
        """Returns whether another endpoint may be tried in place of one that is unresponsive."""
        limits = self._context.settings.limits
        if self._context.now >= self.retry_deadline(request) or len(request.attempts) >= limits.max_attempts:
            return False
        return self.budget >= 1.0

    def consume_budget(self) -> None:
        """Takes one retry out of the budget."""
        self.budget -= 1.0

    def is_rejection_harmless(self, request: Request) -> bool:
        """Returns whether a client may be told that sending the request again is harmless."""
        may_have_run = any(each.may_have_run for each in request.attempts)
        return not may_have_run or idempotency_rule.is_safe_to_resend(request.service_class)
