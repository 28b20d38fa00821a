"""The balancer: takes events, lets the components decide, and returns actions in order.

Best of k with redraw (`selection`).  Every attempt passes the gate `_start_attempt`, and every final response
that is not a server's passes the gate `_terminate`; these two enforce the rules, whatever the components
decide.  Event and action types are in `events` and `actions`; docs/design.md gives the reasons for each
departure from the paper.
"""

from __future__ import annotations

from tulipnotch.load_balancing.actions import Action, CancelAttempt, FailRequest, RejectRequest, StartAttempt
from tulipnotch.load_balancing.admission.pressure import Pressure
from tulipnotch.load_balancing.components import Components
from tulipnotch.load_balancing.endpoints.endpoint import Endpoint
from tulipnotch.load_balancing.endpoints.endpoint_list import EndpointCounts
from tulipnotch.load_balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointState,
    EndpointsUpdated,
    Event,
    RequestArrived,
    RequestBodyCompleted,
    ResponseStarted,
    ServiceLevelChanged,
    SettingsChanged,
    TimerFired,
)
from tulipnotch.load_balancing.metrics.latency import INITIAL_EXPECTED_OBJECTIVES
from tulipnotch.load_balancing.outcomes import Outcome, TerminationReason
from tulipnotch.load_balancing.requests import PENDING, Attempt, AttemptState, Request
from tulipnotch.load_balancing.retries import idempotency_rule
from tulipnotch.load_balancing.settings import ServiceClass, Settings
from tulipnotch.load_balancing.timer_queue import DISCOVERY, REQUEST_DEADLINE, TimerEntry

RESPONSE_MARGIN_TICKS = 2  # a final response is sent this many clock ticks before the request's time is up


class Balancer:
    """The decisions of one instance.  Feed it events in order; carry out the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Begin with no endpoint and no request; `seed` determines all random numbers."""
        self._components = Components(settings, seed)
        self._context = self._components.context
        self._requests: dict[int, Request] = {}
        self._has_polled = False

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now` (microseconds); return what to do, in order."""
        context = self._context
        context.now = now
        context.actions = []
        self._components.load.update(self._components.concurrency_limit.limit)
        if not self._has_polled:
            self._has_polled = True
            self._components.discovery_polling.poll()
        match event:
            case AttemptEnded():
                self._attempt_ended(event)
            case RequestArrived():
                self._request_arrived(event)
            case TimerFired():
                self._timer_fired()
            case ClientDisconnected():
                self._client_disconnected(event)
            case RequestBodyCompleted():
                self._request_body_completed(event)
            case ResponseStarted():
                self._response_started(event)
            case _:
                self._update(event)
        timer = self._components.timers.next_timer(now, self._is_obsolete)
        if timer is not None:
            context.actions.append(timer)
        return context.actions

    def endpoint_counts(self) -> EndpointCounts:
        """The number of listed endpoints, and how many of these get no ordinary request now."""
        return self._components.endpoint_list.count()

    def pressure(self) -> Pressure:
        """What service levels are decided by."""
        return self._components.admission.pressure()

    def attempt_written(self, request: int, attempt: int, now: int) -> None:
        """Note that an attempt's last byte was written at clock time `now`, which bounds later attempts."""
        written = self._attempt(request, attempt)
        if written is not None:
            written.request_written_at = now
            written.zone, written.cell = written.endpoint.zone, written.endpoint.cell

    def write_deadline(self, request: int, attempt: int) -> int:
        """Clock time from which on an attempt's last byte may not be written any more; NEVER: no bound.

        To be called in the instant in which it would be written: what held when the attempt was chosen may
        have changed since, as others that were chosen later have begun.
        """
        own = self._attempt(request, attempt)
        return 0 if own is None else self._components.retries.write_deadline(self._requests[request], own)

    def _attempt(self, request: int, attempt: int) -> Attempt | None:
        retained = self._requests.get(request)
        if retained is None or attempt >= len(retained.attempts):
            return None
        return retained.attempts[attempt]

    def _update(self, event: Event) -> None:
        """Apply an event that concerns no single request."""
        match event:
            case EndpointsUpdated():
                self._components.endpoints_updated(event)
            case SettingsChanged():
                self._components.settings_changed(event.settings)
            case ServiceLevelChanged():
                self._components.admission.level_changed(event)
            case _:
                pass  # health checks and peer messages: none are sent, so none are expected

    # Requests

    def _request_arrived(self, event: RequestArrived) -> None:
        service_class = self._context.classes.get(event.service_class)
        if service_class is None:
            # The settings do not name the class, so the defaults apply, which permit the least.
            time_us = max(event.remaining_us, 1)
            service_class = ServiceClass(event.service_class, time_us, time_us)
        components = self._components
        components.warm_capacity.request_arrived()
        components.retries.request_arrived()
        cost = components.class_costs.relative(service_class, event.cost_us)
        likely_us = INITIAL_EXPECTED_OBJECTIVES * service_class.latency_objective_us
        work = components.mean_work.relative(event.cost_us, likely_us)
        request = self._requests[event.request] = Request(event.request, service_class, cost, work)
        if not event.body_incomplete:
            self._set_deadline(request, event.remaining_us)
        if components.admission.rejects(request, event.tenant):
            self._terminate(request, TerminationReason.ADMISSION)
        else:
            self._start_or_terminate(request)

    def _set_deadline(self, request: Request, remaining_us: int) -> None:
        context = self._context
        margin_us = RESPONSE_MARGIN_TICKS * context.settings.clock_resolution_us
        request.body_incomplete = False
        request.respond_by = context.now + remaining_us - margin_us
        self._components.timers.schedule(request.respond_by, request.request_id, REQUEST_DEADLINE)

    def _request_body_completed(self, event: RequestBodyCompleted) -> None:
        """Start the request's time; the attempt that its body was streamed to is in flight from here on."""
        request = self._requests.get(event.request)
        if request is None or request.is_responded or not request.body_incomplete:
            return
        self._set_deadline(request, event.remaining_us)
        for attempt in request.attempts:
            if attempt.state in PENDING:
                attempt.started_at = self._context.now
                attempt.responses_before = self._components.outlier_detection.healthy_response_count
                self._attempt_in_flight(request, attempt)

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.is_responded:
            self._complete(request)

    def _response_started(self, event: ResponseStarted) -> None:
        attempt = self._attempt(event.request, event.attempt)
        if attempt is not None:
            attempt.response_started = True

    def _start_or_terminate(self, request: Request) -> None:
        """Start an attempt at the best of k; terminate the request if no attempt is possible or pending."""
        endpoint = self._components.selection.choose_endpoint(request)
        if endpoint is not None and self._start_attempt(request, endpoint):
            return
        if not request.has_pending_attempt:
            self._terminate(request, TerminationReason.NO_ENDPOINT)

    # The gate for attempts

    def _start_attempt(self, request: Request, endpoint: Endpoint) -> bool:
        """Start an attempt if all rules permit it; return whether they do.  No attempt starts otherwise."""
        if not self._is_permitted(request, endpoint):
            return False
        components = self._components
        now = self._context.now
        components.slow_start.consume(endpoint, request.work)
        attempt = Attempt(
            len(request.attempts), endpoint, now, components.outlier_detection.healthy_response_count
        )
        attempt.connection_idle_us = components.idle_connections.reuse(endpoint)
        request.attempts.append(attempt)
        if endpoint.ejection is not None:
            endpoint.health.probation_attempt = attempt
        if not request.body_incomplete:
            self._attempt_in_flight(request, attempt)
        self._context.actions.append(StartAttempt(request.request_id, endpoint.name, request.respond_by))
        return True

    def _is_permitted(self, request: Request, endpoint: Endpoint) -> bool:
        now, limits = self._context.now, self._context.settings.limits
        if request.is_responded or now >= request.respond_by:
            return False  # rule 1: nothing after the final response, nothing that can't be in time
        if len(request.attempts) >= limits.max_attempts:
            return False
        if not limits.hedged_requests and request.has_pending_attempt:
            return False  # rule 2
        if now >= self._components.retries.retry_deadline(request):
            return False  # rule 2
        if not idempotency_rule.is_in_deduplication_scope(request.service_class, endpoint, request.attempts):
            return False  # rule 2
        if endpoint.state is not EndpointState.READY:
            return False  # rule 3: from the update on, without use of the drain grace
        return self._components.slow_start.has_budget(endpoint, request.work)  # rule 4

    def _attempt_in_flight(self, request: Request, attempt: Attempt) -> None:
        """Count an attempt as in flight: its server has the complete request, or will in a moment."""
        attempt.state = AttemptState.IN_FLIGHT
        self._components.load.attempt_started(attempt.endpoint)
        self._components.idle_connections.attempt_started(attempt)
        self._components.attempt_timeouts.watch(request, attempt)

    # The gate for final responses

    def _terminate(self, request: Request, reason: TerminationReason) -> None:
        """Send a final response that is not a server's: a rejection if that is harmless, else a failure."""
        if request.is_responded:
            return
        response: RejectRequest | FailRequest = FailRequest(request.request_id, reason)
        if self._components.retries.is_rejection_harmless(request):
            retry_after_us = self._components.admission.retry_after(request)
            response = RejectRequest(request.request_id, retry_after_us, reason)
        self._context.actions.append(response)
        self._complete(request)

    def _complete(self, request: Request) -> None:
        """Note that no response is pending any more; cancel pending attempts where that is permitted."""
        request.is_responded = True
        context = self._context
        if context.settings.limits.may_cancel:
            for attempt in request.attempts:
                if attempt.state in PENDING and not attempt.response_started:
                    context.actions.append(CancelAttempt(request.request_id, attempt.index))
        self._forget_if_ended(request)

    def _forget_if_ended(self, request: Request) -> None:
        if request.is_responded and not request.has_pending_attempt:
            self._requests.pop(request.request_id, None)

    # Ends of attempts

    def _attempt_ended(self, event: AttemptEnded) -> None:
        attempt = self._attempt(event.request, event.attempt)
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
        self._forget_if_ended(request)
        components.endpoint_list.forget_if_removed(attempt.endpoint)

    def _respond_or_retry(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        if request.is_responded:
            return
        if event.is_responded:
            self._complete(request)
        elif event.outcome is Outcome.CLIENT_ERROR:
            self._context.actions.append(FailRequest(request.request_id, TerminationReason.CLIENT_ERROR))
            self._complete(request)
        else:
            self._retry_or_terminate(request, attempt, event)

    def _retry_or_terminate(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Retry if that is permitted; else terminate the request, unless another attempt is pending."""
        retries = self._components.retries
        is_overload_retry = event.outcome is Outcome.OVERLOADED
        request.failed_endpoints.append(attempt.endpoint)
        request.overloaded_responses += is_overload_retry
        if event.is_retryable and retries.may_retry(request, is_overload_retry=is_overload_retry):
            if not is_overload_retry:
                retries.consume()
            self._start_or_terminate(request)
        elif not request.has_pending_attempt:
            self._terminate(request, TerminationReason.NO_RETRY)
        if is_overload_retry and request.is_responded:
            # No redraw found an endpoint with capacity: the fleet is overloaded, not one server.
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
                self._request_due(entry)

    def _request_due(self, entry: TimerEntry) -> None:
        request = self._requests.get(entry.request)
        if request is None or request.is_responded or any(each.response_started for each in request.attempts):
            return
        if entry.attempt == REQUEST_DEADLINE:
            self._terminate(request, TerminationReason.DEADLINE)
        elif request.attempts[entry.attempt].is_pending:
            self._attempt_overdue(request, request.attempts[entry.attempt])

    def _attempt_overdue(self, request: Request, attempt: Attempt) -> None:
        """Start a hedged request, or cancel the attempt so that its end leads to a retry."""
        if not self._components.attempt_timeouts.check_overdue(request, attempt):
            return
        if not self._components.retries.may_hedge(request):
            return
        limits = self._context.settings.limits
        if limits.hedged_requests:
            self._components.retries.consume()
            self._start_or_terminate(request)
        elif limits.may_cancel:
            self._context.actions.append(CancelAttempt(request.request_id, attempt.index))

    def _is_obsolete(self, entry: TimerEntry) -> bool:
        """Whether nothing would be done when this entry of the timer queue falls due."""
        if entry.request == DISCOVERY:
            return entry.due != self._components.discovery_polling.due_at
        request = self._requests.get(entry.request)
        if request is None or request.is_responded:
            return True
        return entry.attempt != REQUEST_DEADLINE and request.attempts[entry.attempt].state not in PENDING
