"""Decides when a request may be written and when it ends."""

from __future__ import annotations

import asyncio

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.upstream.request import UpstreamRequest

_MIN_TIMER_US = 1_000  # resolution of event loop timers; a shorter timer may fire early, to no effect
# The longest time from the head of a request to its last byte.  The head announces the client's remaining
# time, but the server counts it from the last byte.  This limit takes two thirds of the slack that is allowed
# for the difference; the last third is left for delays of this process.
_TIMEOUT_HEADER_STALE_AFTER_US = 100_000
# How long before the deadline a response that may be long is passed on, as far as it was received, since the
# time of a long response covers its first bytes.
_PASS_ON_MARGIN_US = 20_000


class WriteGate:
    """Decides on each write of a request, and ends each request exactly once; owns the requests' timers."""

    def __init__(self, clock: Clock) -> None:
        """Compares deadlines with `clock`."""
        self._clock = clock

    def may_write(self, request: UpstreamRequest) -> bool:
        """Returns whether the request may be written now; if not, it is ended.

        This check is made for every attempt when its connection is requested, and right before each write: of
        the first byte, of each further part, and of the last byte.
        """
        if not request.has_ended and not request.observer.check_still_needed():
            self.cancel_request(request)
        if not request.has_ended:
            # The clock is read before the write, so that a delay of the process until the write has ended
            # counts as elapsed time.
            now = request.last_write_allowed_at = self._clock.now()
            if now >= request.observer.write_deadline():
                # A retry that is written after this time could take effect a second time.
                self._end_and_notify_later(request, Outcome.NOT_SENT)
            elif now >= request.deadline or self._is_head_stale(request.timeout_started_at, now):
                self._end_and_notify_later(request, Outcome.CONNECT_FAILED)
        return not request.has_ended

    @staticmethod
    def _is_head_stale(timeout_started_at: int | None, now: int) -> bool:
        """Returns whether the head announced much more time than the client has left now.

        A server that accepts the request slowly would execute it past the client's deadline.  It cannot have
        begun yet, and the head for the next server announces the time that is left then.
        """
        return timeout_started_at is not None and now > timeout_started_at + _TIMEOUT_HEADER_STALE_AFTER_US

    def set_deadline(self, request: UpstreamRequest, deadline: int) -> None:
        """Sets the deadline of a request that had none, because its body was incomplete."""
        if not request.has_ended and request.deadline >= NEVER:
            request.deadline = deadline
            if request.connection is not None:
                # The head announced the full timeout, which begins once the body is complete.
                request.timeout_started_at = self._clock.now()
            self.restart_timer(request)

    def write_deadline_changed(self, request: UpstreamRequest) -> None:
        """Restarts the timer of a request, whose write deadline changed with another attempt."""
        if not request.has_ended and (request.is_unwritten or request.has_unsent_bytes):
            self.restart_timer(request)

    def restart_timer(self, request: UpstreamRequest) -> None:
        """Restarts the request's timer for its deadline or, while it is not sent, for an earlier limit."""
        self._start_timer(request, self._limit(request), self._clock.now())

    @staticmethod
    def _limit(request: UpstreamRequest) -> int:
        """Returns the clock time by which the request must be written or, once it is, sent; NEVER: none."""
        if request.is_unwritten:
            return request.observer.write_deadline()
        return request.observer.send_deadline() if request.has_unsent_bytes else NEVER

    def _start_timer(self, request: UpstreamRequest, limit: int, now: int) -> None:
        """Starts the request's timer for its deadline or an earlier limit."""
        if request.timer is not None:
            request.timer.cancel()
        due = min(self._next_deadline(request, now), limit)
        if due < NEVER:
            delay_s = max(due - now, _MIN_TIMER_US) / 1e6
            request.timer = asyncio.get_running_loop().call_later(delay_s, self._timer_fired, request)

    @staticmethod
    def _next_deadline(request: UpstreamRequest, now: int) -> int:
        """Returns when its response is to be passed on or, after that, the request's deadline.

        `now` is the time by which the caller found that neither has come: by a later one, a response that was
        not passed on yet would never be.
        """
        pass_on_at = request.deadline - _PASS_ON_MARGIN_US
        is_next = request.deadline < NEVER and now < pass_on_at
        return pass_on_at if is_next else request.deadline

    def _timer_fired(self, request: UpstreamRequest) -> None:
        """Ends the request if its deadline has passed, or its limit while it is not sent."""
        now = self._clock.now()
        if now >= request.deadline - _PASS_ON_MARGIN_US and request.pass_on_response():
            return
        limit = self._limit(request)
        if now < min(request.deadline, limit):
            self._start_timer(request, limit, now)  # it was written or sent in time, or its limit has changed
        elif request.is_unwritten:
            # A passed write deadline is no evidence of a fault of the server.
            self._close_and_end(request, Outcome.NOT_SENT if now >= limit else Outcome.CONNECT_FAILED)
        else:
            # Past its limit, its server could execute it only when it would take effect a second time.
            is_past_deadline = now >= request.deadline
            self._close_and_end(request, Outcome.TIMED_OUT if is_past_deadline else Outcome.CANCELLED)

    def time_out_request(self, request: UpstreamRequest) -> None:
        """Ends a request whose client has no time left, as if its deadline had passed."""
        if not request.has_ended:
            self._close_and_end(
                request, Outcome.CONNECT_FAILED if request.is_unwritten else Outcome.TIMED_OUT
            )

    def _close_and_end(self, request: UpstreamRequest, outcome: Outcome) -> None:
        self._close_connection(request)
        self.end_request(request, outcome)

    @staticmethod
    def _close_connection(request: UpstreamRequest) -> None:
        if request.connection is None:
            return
        if request.has_unsent_bytes:
            request.observer.request_recalled(request)
        request.connection.close()

    def cancel_request(self, request: UpstreamRequest) -> None:
        """Cancels the request; its observer is notified after this call has returned."""
        if not request.has_ended:
            self._end_and_notify_later(
                request, Outcome.NOT_SENT if request.is_unwritten else Outcome.CANCELLED
            )

    def _end_and_notify_later(self, request: UpstreamRequest, outcome: Outcome) -> None:
        self._close_connection(request)
        request.has_ended = True
        if request.timer is not None:
            request.timer.cancel()
        asyncio.get_running_loop().call_soon(request.observer.request_ended, outcome, None)

    def end_request(
        self, request: UpstreamRequest, outcome: Outcome, response: Response | None = None
    ) -> None:
        """Ends the request and notifies its observer of the outcome, unless it has ended before."""
        if request.has_ended:
            return
        request.has_ended = True
        if request.timer is not None:
            request.timer.cancel()
        request.observer.request_ended(outcome, response)
