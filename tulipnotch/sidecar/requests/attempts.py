"""The attempts of requests; each attempt sends the request to one server and ends with one outcome."""

from __future__ import annotations

from tulipnotch.load_balancing import Balancer
from tulipnotch.load_balancing.actions import CancelAttempt, StartAttempt
from tulipnotch.load_balancing.events import AttemptEnded, ResponseBegan, ResponseStalled
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.control.telemetry import retry_cause_name
from tulipnotch.sidecar.event_queue import EventQueue
from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.requests.context import SidecarContext
from tulipnotch.sidecar.requests.invariants import WrittenAttempt
from tulipnotch.sidecar.requests.open_request import Disconnected, OpenRequest, WaitingForResponse
from tulipnotch.sidecar.requests.request_registry import RequestRegistry
from tulipnotch.sidecar.requests.responses import ResponseSender
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.exchange import ResponseConsumer
from tulipnotch.sidecar.upstream.load_report import parse_load_report
from tulipnotch.sidecar.upstream.request import UpstreamRequest


class AttemptStarter:
    """Starts and cancels attempts; each attempt reports its own outcome to the balancer."""

    def __init__(
        self,
        context: SidecarContext,
        registry: RequestRegistry,
        responses: ResponseSender,
        balancer: Balancer,
        events: EventQueue,
    ) -> None:
        """Starts attempts for the requests in `registry`."""
        self.context = context
        self.registry = registry
        self.responses = responses
        self.balancer = balancer
        self.events = events

    def start_attempt(self, action: StartAttempt) -> None:
        """Starts the next attempt of an open request, at the endpoint that the action names."""
        request = self.registry.require(action.request)
        context = self.context
        number = len(request.upstream_requests)
        attempt = Attempt(self, request, number, action.endpoint, context.clock.now())
        # A streamed body can be sent to one server at a time, and to none once a part of it is no longer
        # buffered.  A deadline of 0 makes the attempt end unsent.
        body = request.incoming.body
        is_sendable = body.is_replayable and (not request.open_attempt_count or not body.is_streamed)
        deadline = action.deadline if is_sendable else 0

        # None if an earlier attempt is still in flight, or if no attempt has ended yet.
        previous_outcome = None if request.open_attempt_count else request.last_outcome
        if number:
            context.telemetry.request_retried(previous_outcome)
        if context.trace is not None:
            cause = retry_cause_name(previous_outcome) if number else ""
            context.trace.attempt_started(request.id_for_logs, number, action.endpoint, cause)

        upstream_request = UpstreamRequest(
            action.endpoint, deadline, request.incoming.to_upstream_request, attempt
        )
        request.upstream_requests.append(upstream_request)
        request.open_attempt_count += 1
        context.upstream.start_request(upstream_request)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancels an attempt, unless the attempt or its request has ended."""
        request = self.registry.get(action.request)
        if request is not None and action.attempt < len(request.upstream_requests):
            self.context.upstream.cancel_request(request.upstream_requests[action.attempt])


class Attempt:
    """One attempt of an open request; observes its upstream request (`RequestObserver`)."""

    streams_responses = True

    def __init__(
        self, starter: AttemptStarter, request: OpenRequest, number: int, endpoint: str, started_at: int
    ) -> None:
        """Creates attempt `number`, counted from 0, of `request`; `started_at` is a clock time (us)."""
        self._starter = starter
        self._request = request
        self._number = number
        self._endpoint = endpoint
        self._started_at = started_at
        self._written: WrittenAttempt | None = None
        self._is_outcome_reported = False  # set before the end if the response is streamed

    def check_still_needed(self) -> bool:
        """Returns whether the client still waits; cancels the attempt if the client's socket is closed."""
        request = self._request
        waiting = request.response
        if type(waiting) is not WaitingForResponse:
            return False
        waiting.client.abort_if_disconnected()
        return type(request.response) is WaitingForResponse

    def write_deadline(self) -> int:
        """Returns the clock time (us) from which the last byte must not be written, by the retry rules."""
        return self._starter.balancer.attempts.write_deadline(self._request.number, self._number)

    def send_deadline(self) -> int:
        """Returns the clock time (us) by which its last byte must have been sent, by the retry rules."""
        request = self._request
        unsent = {number for number, each in enumerate(request.upstream_requests) if each.has_unsent_bytes}
        now = self._starter.context.clock.now()
        return self._starter.balancer.attempts.send_deadline(request.number, self._number, unsent, now)

    def request_written(self, request: UpstreamRequest) -> None:
        """Records that the attempt's last byte was just written, and checks the invariants for it."""
        starter = self._starter
        starter.context.telemetry.attempt_written()
        self._check_written_attempt(request)
        starter.balancer.attempts.attempt_written(
            self._request.number, self._number, request.last_write_allowed_at
        )
        for other in self._request.upstream_requests:
            if other is not request:
                starter.context.upstream.write_deadline_changed(other)

    def request_recalled(self, _request: UpstreamRequest) -> None:
        """Counts an attempt that is given up before its last byte has left this machine."""
        context = self._starter.context
        context.telemetry.attempt_recalled()
        if context.trace is not None:
            context.trace.attempt_recalled(self._request.id_for_logs, self._number)

    def _check_written_attempt(self, upstream_request: UpstreamRequest) -> None:
        request = self._request
        context = self._starter.context
        zone, cell = context.upstream.endpoint_locality(self._endpoint)
        written = WrittenAttempt(zone, cell, upstream_request.last_write_allowed_at)
        request_id = request.incoming.request_id
        context.invariants.check_attempt(
            request_id,
            is_client_waiting=request.is_waiting,
            now=written.written_at,
            deadline=upstream_request.deadline,
        )
        if request.written_attempts:
            context.invariants.check_retry(
                request_id,
                request.incoming.service_class,
                written,
                request.written_attempts,
                allows_hedging=context.settings.limits.hedged_requests,
            )
        self._written = written
        request.written_attempts.append(written)
        if context.trace is not None:
            context.trace.attempt_written(request.id_for_logs, self._number)

    def response_began(self) -> None:
        """Notifies the balancer, so that its server does not count as unresponsive."""
        self._starter.events.post(ResponseBegan(self._request.number, self._number))

    def response_stalled(self, *, has_head: bool) -> bool:
        """Returns whether to wait for the rest; another attempt may have been hedged within this call.

        A sound response may be written slowly, and a retry in its place may fail.  So only one without a
        complete head is given up, where another attempt can take its place and can't run beside it.
        """
        starter, request = self._starter, self._request
        is_retryable = request.incoming.body.is_replayable
        if (
            not has_head
            and is_retryable
            and starter.balancer.attempts.may_replace(request.number, self._number)
        ):
            return False
        starter.context.report_stalled_response(self._endpoint, request.id_for_logs)
        starter.events.post(ResponseStalled(request.number, self._number, is_retryable))
        return True

    def response_started(self, head: Response, connection: UpstreamConnection) -> ResponseConsumer | None:
        """Streams its response to the client; returns None if no client waits.

        The outcome DELIVERED is reported to the balancer now, since the time that the client takes to read
        the response says nothing about the server.
        """
        client = self._starter.responses.start_stream(self._request, self._number, head, connection)
        if client is not None:
            self._is_outcome_reported = True
            self._report_outcome(Outcome.DELIVERED, head)
        return client

    def request_ended(self, outcome: Outcome, response: Response | None) -> None:
        """Ends a streamed response; otherwise reports the outcome, and responds if it is DELIVERED."""
        request = self._request
        starter = self._starter
        context = starter.context
        request.open_attempt_count -= 1
        if context.trace is not None:
            context.trace.attempt_ended(request.id_for_logs, self._number, outcome)
        fault = request.upstream_requests[self._number].response_fault
        if fault is not None:
            context.report_malformed_response(self._endpoint, fault, request.id_for_logs)
        if self._is_outcome_reported:
            starter.responses.end_stream(request, outcome)
            starter.registry.remove_if_ended(request)
            return
        request.last_outcome = outcome
        if outcome is Outcome.NOT_SENT and isinstance(request.response, Disconnected):
            context.telemetry.attempt_withheld()
        if outcome is Outcome.DELIVERED and response is not None:
            starter.responses.respond_with_server_response(request.number, response)
        self._report_outcome(outcome, response)

    def _report_outcome(self, outcome: Outcome, response: Response | None) -> None:
        request = self._request
        starter = self._starter
        settings = starter.context.settings
        report = parse_load_report(response, settings.report_columns)
        elapsed_us = starter.context.clock.now() - max(self._started_at, request.body_completed_at)
        is_response_certain = request.upstream_requests[self._number].is_response_certain
        written = self._written
        if written is not None:
            written.is_in_flight = False
            written.may_have_executed = not settings.rules.proves_not_executed(
                outcome, is_response_certain=is_response_certain
            )
        starter.events.post(
            AttemptEnded(
                request=request.number,
                attempt=self._number,
                endpoint=self._endpoint,
                outcome=outcome,
                elapsed_us=elapsed_us,
                is_responded=False,  # set by the event queue when it processes the event
                report=report,
                is_retryable=request.incoming.body.is_replayable,
                is_response_certain=is_response_certain,
            )
        )
