"""When a request may be written, and when it ends."""

from __future__ import annotations

import asyncio

from tulipnotch.load_balancing.clock_time import NEVER
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.upstream.request import UpstreamRequest

_MIN_TIMER_US = 1_000  # the resolution of event loops' timers: a shorter one may fire early, without effect
# How long after its head the last byte of a request may be written.  The head announces the time that the
# client has left, but the server counts it from the last byte.  This takes two thirds of the slack that is
# allowed for that; the last third is for a process that is delayed.
_TIMEOUT_HEADER_STALE_AFTER_US = 100_000


class WriteGate:
    """Decides about each write of a request, and ends each request exactly once; owns their timers."""

    def __init__(self, clock: Clock) -> None:
        """Judge deadlines by `clock`."""
        self._clock = clock

    def may_write(self, request: UpstreamRequest) -> bool:
        """Return whether the request may be written now; if not, it is ended.

        Every attempt has to pass here in the instant in which a connection is begun for it and in which a
        part of it is written: the first byte, each further part, and the last byte.
        """
        if not request.has_ended and not request.observer.check_still_wanted():
            self.cancel(request)
        if not request.has_ended:
            # Read before the write, so that a delay of the process within the write counts as time passed.
            now = request.last_write_allowed_at = self._clock.now()
            if now >= request.observer.write_deadline():
                self._stop(request, Outcome.NOT_SENT)  # a retry later than this could have a double effect
            elif now >= request.deadline or self._is_head_stale(request.timeout_runs_from, now):
                self._stop(request, Outcome.CONNECT_FAILED)
        return not request.has_ended

    @staticmethod
    def _is_head_stale(written_at: int | None, now: int) -> bool:
        """Whether the head announced more time than the client has left now.

        A server that accepts the request slowly would work past the client's deadline; it cannot have begun
        yet, and the next server's head announces what is left then.
        """
        return written_at is not None and now > written_at + _TIMEOUT_HEADER_STALE_AFTER_US

    def set_deadline(self, request: UpstreamRequest, deadline: int) -> None:
        """Limit a request that had no deadline before."""
        if not request.has_ended and request.deadline >= NEVER:
            request.deadline = deadline
            if request.connection is not None:
                request.timeout_runs_from = (
                    self._clock.now()
                )  # its head announced all the time of a complete one
            self.start_timer(request)

    def write_deadline_changed(self, request: UpstreamRequest) -> None:
        """Read the request's latest start again, since another attempt was written."""
        if not request.has_ended and request.is_unwritten:
            self.start_timer(request)

    def start_timer(self, request: UpstreamRequest) -> None:
        """Start the request's timer anew, for the time at which it ends as it stands, if there is one."""
        if request.timer is not None:
            request.timer.cancel()
        due = request.deadline
        if request.is_unwritten:
            due = min(due, request.observer.write_deadline())
        if due < NEVER:
            delay_s = max(due - self._clock.now(), _MIN_TIMER_US) / 1e6
            request.timer = asyncio.get_running_loop().call_later(delay_s, self._timer_fired, request)

    def _timer_fired(self, request: UpstreamRequest) -> None:
        """End the request if its deadline is over, or its latest start before it was written."""
        now = self._clock.now()
        outcome = Outcome.TIMED_OUT
        if request.is_unwritten:
            # A latest start that is over says nothing about the server.
            is_past_write_deadline = now >= request.observer.write_deadline()
            outcome = Outcome.NOT_SENT if is_past_write_deadline else Outcome.CONNECT_FAILED
        if outcome is not Outcome.NOT_SENT and now < request.deadline:
            self.start_timer(request)  # it was written in time, or its latest start was moved
            return
        if request.connection is not None:
            request.connection.close()
        self.end(request, outcome)

    def cancel(self, request: UpstreamRequest) -> None:
        """End the request from this side; its observer is notified later, not within this call."""
        if not request.has_ended:
            self._stop(request, Outcome.NOT_SENT if request.is_unwritten else Outcome.CANCELLED)

    def _stop(self, request: UpstreamRequest, outcome: Outcome) -> None:
        request.has_ended = True
        if request.timer is not None:
            request.timer.cancel()
        if request.connection is not None:
            request.connection.close()
        asyncio.get_running_loop().call_soon(request.observer.request_ended, outcome, None)

    def end(self, request: UpstreamRequest, outcome: Outcome, response: Response | None = None) -> None:
        """Notify the request's observer of its outcome, unless it has ended before."""
        if request.has_ended:
            return
        request.has_ended = True
        if request.timer is not None:
            request.timer.cancel()
        request.observer.request_ended(outcome, response)
