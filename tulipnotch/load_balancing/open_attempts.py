"""The attempts of the open requests, and what their senders ask while they write and read."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.events import ResponseBegan
from tulipnotch.load_balancing.requests import Attempt, Request
from tulipnotch.load_balancing.retries.retry_policy import RetryPolicy
from tulipnotch.load_balancing.selection.best_of_k import Selection


class OpenAttempts:
    """Finds attempts by the numbers of their requests, and answers for them by the retry policy."""

    def __init__(
        self,
        requests: Mapping[int, Request],
        context: Context,
        retries: RetryPolicy,
        selection: Selection,
    ) -> None:
        """Finds attempts of `requests`, which the balancer keeps up to date."""
        self._requests = requests
        self._context = context
        self._retries = retries
        self._selection = selection

    def find(self, request: int, attempt: int) -> Attempt | None:
        """Returns an attempt by its index; None if its request has ended."""
        found = self._requests.get(request)
        if found is None or attempt >= len(found.attempts):
            return None
        return found.attempts[attempt]

    def attempt_written(self, request: int, attempt: int, now: int) -> None:
        """Records that an attempt's last byte was written at clock time `now`; this bounds later attempts."""
        found = self.find(request, attempt)
        if found is not None:
            found.request_written_at = now
            found.zone, found.cell = found.endpoint.zone, found.endpoint.cell

    def write_deadline(self, request: int, attempt: int) -> int:
        """Returns the clock time from which an attempt's last byte must not be written; NEVER: no bound.

        Must be called immediately before that byte is written. The bound may have changed since the attempt
        was started, because attempts started later may have been written first.
        """
        found = self.find(request, attempt)
        return 0 if found is None else self._retries.write_deadline(self._requests[request], found)

    def send_deadline(self, request: int, attempt: int, unsent: Collection[int], now: int) -> int:
        """Returns the clock time by which a written attempt must have left this machine; NEVER: no bound.

        `unsent` are the attempts of the request that have not left it at clock time `now`.
        """
        found = self.find(request, attempt)
        if found is None:
            return NEVER
        return self._retries.send_deadline(self._requests[request], found, unsent, now)

    def response_began(self, event: ResponseBegan) -> None:
        """Records that a part of the response to an attempt has arrived."""
        found = self.find(event.request, event.attempt)
        if found is not None:
            found.is_responding = True

    def may_replace(self, request: int, attempt: int) -> bool:
        """Returns whether another attempt may follow if this one is given up, and none may run beside it."""
        found = self.find(request, attempt)
        if found is None or self._context.settings.limits.hedged_requests:
            return False
        open_request = self._requests[request]
        return self._retries.may_hedge(open_request) and self._selection.has_alternative(
            open_request, found.endpoint
        )
