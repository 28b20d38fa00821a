"""The balancer: takes events, asks the components for decisions, and returns actions in order.

Endpoints are selected by best of k with redraw (`selection`). All attempts pass `_start_attempt`, and all
final responses that are not a server's pass `_terminate_request`; these two enforce rules 1 to 4, whatever
the components decide. docs/design.md gives the reason for each departure from the paper.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tulipnotch.load_balancing.actions import Action, CancelAttempt, FailRequest, RejectRequest, StartAttempt
from tulipnotch.load_balancing.admission.pressure import Pressure
from tulipnotch.load_balancing.attempt_rules import is_attempt_permitted
from tulipnotch.load_balancing.components import Components
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.endpoints.endpoint_list import EndpointCounts
from tulipnotch.load_balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointDescription,
    Event,
    RequestArrived,
    RequestBodyCompleted,
    RequestTimedOut,
    ResponseBegan,
    ResponseStalled,
    ResponseStarted,
    TimerFired,
)
from tulipnotch.load_balancing.metrics.latency import INITIAL_EXPECTED_OBJECTIVES
from tulipnotch.load_balancing.open_attempts import OpenAttempts
from tulipnotch.load_balancing.outcomes import Outcome, TerminationReason
from tulipnotch.load_balancing.requests import PENDING, Attempt, AttemptState, Request
from tulipnotch.load_balancing.settings import ServiceClass, Settings
from tulipnotch.load_balancing.timer_queue import DISCOVERY, REQUEST_DEADLINE, TimerEntry

RESPONSE_MARGIN_TICKS = 2  # final responses are sent this many clock ticks before the request's deadline


class Balancer:
    """Makes the decisions of one instance; takes events in order, returns actions to carry out in order.

    Attributes:
        attempts: The attempts that have not ended, and until when each may be written.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Starts with no endpoints and no requests; `seed` determines all random numbers."""
        self._components = Components(settings, seed)
        self._context = self._components.context
        self._requests: dict[int, Request] = {}
        self.attempts = OpenAttempts(
            self._requests, self._context, self._components.retries, self._components.selection
        )
        self._has_polled = False
        # Keyed by event class; all other events change what the components know.
        self._handlers: dict[type[Event], Callable[[Any], None]] = {
            AttemptEnded: self._attempt_ended,
            RequestArrived: self._request_arrived,
            TimerFired: lambda _: self._timer_fired(),
            ClientDisconnected: self._client_disconnected,
            RequestBodyCompleted: self._request_body_completed,
            RequestTimedOut: self._request_timed_out,
            ResponseStarted: self._response_started,
            ResponseBegan: self.attempts.response_began,
            ResponseStalled: self._response_stalled,
        }

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handles one event at clock time `now` (in microseconds); returns the actions to carry out."""
        context = self._context
        context.now = now
        context.actions = []
        self._components.load.update_mean(self._components.concurrency_limit.limit)
        if not self._has_polled:
            self._has_polled = True
            self._components.discovery_polling.poll()
        self._handlers.get(type(event), self._components.apply_update)(event)
        timer = self._components.timers.next_timer(now, self._is_obsolete)
        if timer is not None:
            context.actions.append(timer)
        return context.actions

    def endpoint_counts(self) -> EndpointCounts:
        """Returns the number of listed endpoints, and how many of these get no regular requests now."""
        return self._components.endpoint_list.count_endpoints()

    def listed_endpoints(self) -> list[EndpointDescription]:
        """Returns the endpoint list as of the last event."""
        return self._components.endpoint_list.descriptions()

    def pressure(self) -> Pressure:
        """Returns the measurements by which service levels are chosen."""
        return self._components.admission.pressure()

    # Requests

    def _request_arrived(self, event: RequestArrived) -> None:
        service_class = self._context.classes.get(event.service_class)
        if service_class is None:
            # The settings do not define this class; the defaults of `ServiceClass` permit the least.
            time_us = max(event.remaining_us, 1)
            service_class = ServiceClass(event.service_class, time_us, time_us)
        components = self._components
        components.warm_capacity.request_arrived()
        components.retries.request_arrived()
        cost = components.class_costs.relative_cost(service_class, event.cost_us)
        assumed_mean_us = INITIAL_EXPECTED_OBJECTIVES * service_class.latency_objective_us
        work = components.mean_work.relative_work(event.cost_us, assumed_mean_us)
        request = self._requests[event.request] = Request(event.request, service_class, cost, work)
        if not event.body_incomplete:
            self._set_deadline(request, event.remaining_us)
        if components.admission.rejects(request, event.tenant):
            self._terminate_request(request, TerminationReason.ADMISSION)
        else:
            self._start_or_terminate(request)

    def _set_deadline(self, request: Request, remaining_us: int) -> None:
        context = self._context
        margin_us = RESPONSE_MARGIN_TICKS * context.settings.clock_resolution_us
        request.body_incomplete = False
        request.respond_by = context.now + remaining_us - margin_us
        self._components.timers.schedule(request.respond_by, request.request_id, REQUEST_DEADLINE)

    def _request_body_completed(self, event: RequestBodyCompleted) -> None:
        """Starts the request's time limit; its pending attempts count as in flight from now on."""
        request = self._requests.get(event.request)
        if request is None or request.is_responded or not request.body_incomplete:
            return
        self._set_deadline(request, event.remaining_us)
        for attempt in request.attempts:
            if attempt.state in PENDING:
                attempt.started_at = self._context.now
                attempt.responses_before = self._components.outlier_detection.healthy_response_count
                self._attempt_in_flight(request, attempt)

    def _request_timed_out(self, event: RequestTimedOut) -> None:
        """Permits no further attempt; the request is terminated once its pending attempts have ended."""
        request = self._requests.get(event.request)
        if request is None or request.is_responded:
            return
        request.respond_by = self._context.now
        if not request.has_pending_attempt:
            self._terminate_request(request, TerminationReason.DEADLINE)

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.is_responded:
            self._complete_request(request)

    def _response_started(self, event: ResponseStarted) -> None:
        attempt = self.attempts.find(event.request, event.attempt)
        if attempt is not None:
            attempt.response_started = True

    def _response_stalled(self, event: ResponseStalled) -> None:
        """Starts a hedged request, once for each attempt; the attempt itself goes on."""
        attempt = self.attempts.find(event.request, event.attempt)
        if attempt is None or attempt.has_response_stalled:
            return
        attempt.has_response_stalled = True
        request = self._requests[event.request]
        if request.is_responded or not event.is_retryable:
            return
        retries = self._components.retries
        if self._context.settings.limits.hedged_requests and retries.may_hedge(request):
            retries.consume_budget()
            self._start_or_terminate(request)

    def _start_or_terminate(self, request: Request) -> None:
        """Starts an attempt at the best of k, or terminates the request if none is possible or pending."""
        endpoint = self._components.selection.choose_endpoint(request)
        if endpoint is not None and self._start_attempt(request, endpoint):
            return
        if not request.has_pending_attempt:
            self._terminate_request(request, TerminationReason.NO_ENDPOINT)

    # Checks before every attempt

    def _start_attempt(self, request: Request, endpoint: Endpoint) -> bool:
        """Starts an attempt and returns True if all rules permit it. Attempts are started nowhere else."""
        if not is_attempt_permitted(self._components, request, endpoint):
            return False
        components = self._components
        now = self._context.now
        components.slow_start.consume_budget(endpoint, request.work)
        attempt = Attempt(
            len(request.attempts), endpoint, now, components.outlier_detection.healthy_response_count
        )
        attempt.connection_idle_us = components.idle_connections.reuse_connection(endpoint)
        request.attempts.append(attempt)
        if endpoint.ejection is not None:
            endpoint.health.probation_attempt = attempt
        if not request.body_incomplete:
            self._attempt_in_flight(request, attempt)
        self._context.actions.append(StartAttempt(request.request_id, endpoint.name, request.respond_by))
        return True

    def _attempt_in_flight(self, request: Request, attempt: Attempt) -> None:
        """Counts an attempt as in flight: its server has the complete request, or will shortly."""
        attempt.state = AttemptState.IN_FLIGHT
        self._components.load.attempt_started(attempt.endpoint)
        self._components.idle_connections.attempt_started(attempt)
        self._components.attempt_timeouts.schedule_check(request, attempt)

    # Checks before every final response that is not a server's

    def _terminate_request(self, request: Request, reason: TerminationReason) -> None:
        """Sends a final response in place of a server: a rejection if a retry is harmless, else a failure."""
        if request.is_responded:
            return
        response: RejectRequest | FailRequest = FailRequest(request.request_id, reason)
        if self._components.retries.is_rejection_harmless(request):
            retry_after_us = self._components.admission.retry_after(request)
            response = RejectRequest(request.request_id, retry_after_us, reason)
        self._context.actions.append(response)
        self._complete_request(request)

    def _complete_request(self, request: Request) -> None:
        """Marks the request as responded, and cancels its pending attempts where that is permitted."""
        request.is_responded = True
        context = self._context
        if context.settings.limits.may_cancel:
            for attempt in request.attempts:
                if attempt.state in PENDING and not attempt.response_started:
                    context.actions.append(CancelAttempt(request.request_id, attempt.index))
        self._delete_if_ended(request)

    def _delete_if_ended(self, request: Request) -> None:
        if request.is_responded and not request.has_pending_attempt:
            self._requests.pop(request.request_id, None)

    # Ends of attempts

    def _attempt_ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts.find(event.request, event.attempt)
        if attempt is None or attempt.state not in PENDING:
            return
        components = self._components
        request = self._requests[event.request]
        was_in_flight = attempt.state is AttemptState.IN_FLIGHT
        proves_not_executed = self._context.settings.rules.proves_not_executed(
            event.outcome, is_response_certain=event.is_response_certain
        )
        attempt.state = AttemptState.NOT_EXECUTED if proves_not_executed else AttemptState.POSSIBLY_EXECUTED
        if was_in_flight:
            components.load.attempt_ended(attempt.endpoint)
        components.idle_connections.attempt_ended(attempt.endpoint, event)
        components.feedback.attempt_ended(request, attempt, event, was_in_flight=was_in_flight)
        self._respond_or_retry(request, attempt, event)
        self._delete_if_ended(request)
        components.endpoint_list.delete_if_removed(attempt.endpoint)

    def _respond_or_retry(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        if request.is_responded:
            return
        if event.is_responded:
            self._complete_request(request)
        elif event.outcome is Outcome.CLIENT_ERROR:
            self._context.actions.append(FailRequest(request.request_id, TerminationReason.CLIENT_ERROR))
            self._complete_request(request)
        else:
            self._retry_or_terminate(request, attempt, event)

    def _retry_or_terminate(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Retries if that is permitted; else terminates the request, unless another attempt is pending."""
        retries = self._components.retries
        is_overload_retry = event.outcome is Outcome.OVERLOADED
        request.failed_endpoints.append(attempt.endpoint)
        request.overloaded_responses += is_overload_retry
        if request.body_incomplete and self._context.now >= request.respond_by:
            self._terminate_request(request, TerminationReason.DEADLINE)
        elif event.is_retryable and retries.may_retry(request, is_overload_retry=is_overload_retry):
            if not is_overload_retry:
                retries.consume_budget()
            self._start_or_terminate(request)
        elif not request.has_pending_attempt:
            self._terminate_request(request, TerminationReason.NO_RETRY)
        if is_overload_retry and request.is_responded:
            # No redraw found an endpoint with capacity, so the fleet is overloaded, not just one server.
            self._components.concurrency_limit.request_lost()

    # Timers

    def _timer_fired(self) -> None:
        now = self._context.now
        timers = self._components.timers
        timers.timer_fired(now)
        while (entry := timers.pop_due(now)) is not None:
            if entry.request == DISCOVERY:
                self._components.discovery_polling.poll_if_due()
            else:
                self._request_entry_due(entry)

    def _request_entry_due(self, entry: TimerEntry) -> None:
        request = self._requests.get(entry.request)
        if request is None or request.is_responded or any(each.response_started for each in request.attempts):
            return
        if entry.attempt == REQUEST_DEADLINE:
            self._terminate_request(request, TerminationReason.DEADLINE)
        elif request.attempts[entry.attempt].is_pending:
            self._attempt_overdue(request, request.attempts[entry.attempt])

    def _attempt_overdue(self, request: Request, attempt: Attempt) -> None:
        """Starts a hedged request, or cancels the attempt so that its end triggers a retry."""
        if not self._components.attempt_timeouts.check_overdue(request, attempt):
            return
        if not self._components.retries.may_hedge(request):
            return
        limits = self._context.settings.limits
        if limits.hedged_requests:
            self._components.retries.consume_budget()
            self._start_or_terminate(request)
        elif limits.may_cancel and not attempt.is_responding:
            self._context.actions.append(CancelAttempt(request.request_id, attempt.index))

    def _is_obsolete(self, entry: TimerEntry) -> bool:
        """Returns whether this entry of the timer queue has nothing left to trigger."""
        if entry.request == DISCOVERY:
            return entry.due_at != self._components.discovery_polling.due_at
        request = self._requests.get(entry.request)
        if request is None or request.is_responded:
            return True
        return entry.attempt != REQUEST_DEADLINE and request.attempts[entry.attempt].state not in PENDING
