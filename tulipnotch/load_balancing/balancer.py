"""The balancer: takes events, lets the parts decide, and returns actions in order.

Best of k with redraw (`selection`).  Every attempt leaves through `_send` and every final answer through
`_finish`; these two gates enforce the rules, whatever the parts decide.  Types, events and actions are in
`events` and `actions`, and the reasons for each departure from the paper in docs/design.md.
"""

from __future__ import annotations

from tulipnotch.load_balancing.actions import Action, CancelAttempt, FailRequest, RejectRequest, StartAttempt
from tulipnotch.load_balancing.admission.pressure import Pressure
from tulipnotch.load_balancing.components import Components
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
from tulipnotch.load_balancing.metrics.latency import UNSEEN_AIMS
from tulipnotch.load_balancing.outcomes import Outcome, TerminationReason
from tulipnotch.load_balancing.records import Attempt, Endpoint, Request
from tulipnotch.load_balancing.retries import idempotency_rule as repeat_rule
from tulipnotch.load_balancing.settings import ServiceClass, Settings
from tulipnotch.load_balancing.timer_queue import DISCOVERY, WHOLE_REQUEST, TimerEntry

TICKS_EARLY = 2  # a final answer leaves this many ticks before the client's time is up
KEPT_IF_CERTAIN = (
    Outcome.OVERLOADED,
    Outcome.CLIENT_ERROR,
)  # answers that leave open a connection without others


class Balancer:
    """The decisions of one instance.  Feed it events in order; carry out the actions it returns in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self._parts = Components(settings, seed)
        self._context = self._parts.context
        self._requests: dict[int, Request] = {}
        self._has_begun = False

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at clock time `now`; return what to do, in order."""
        context = self._context
        context.now = now
        context.actions = []
        self._parts.load.follow(self._parts.concurrency_limit.limit)
        if not self._has_begun:
            self._has_begun = True
            self._parts.discovery_polling.ask()
        match event:
            case AttemptEnded():
                self._attempt_ended(event)
            case RequestArrived():
                self._request_arrived(event)
            case TimerFired():
                self._timer_fired()
            case EndpointsUpdated():
                self._parts.servers_listed(event)
            case ClientDisconnected():
                self._request_gone(event)
            case RequestBodyCompleted():
                self._request_whole(event)
            case ResponseStarted():
                self._answer_started(event)
            case SettingsChanged():
                self._parts.settings_changed(event.settings)
            case ServiceLevelChanged():
                self._parts.admission.level_changed(event)
            case _:
                pass  # probes and messages: none are sent, so none are awaited
        timer = self._parts.timers.next_timer(now, self._is_settled)
        if timer is not None:
            context.actions.append(timer)
        return context.actions

    def members(self) -> tuple[int, int]:
        """How many servers are listed, and how many of these get no ordinary request now."""
        return self._parts.endpoint_list.members()

    def pressure(self) -> Pressure:
        """What decides on a level of reduced service."""
        return self._parts.admission.pressure()

    # Requests

    def _request_arrived(self, event: RequestArrived) -> None:
        kind = self._context.classes.get(event.service_class)
        if kind is None:
            # A class that the settings do not name: the least is assumed of it.
            kind = ServiceClass(event.service_class, max(event.remaining_us, 1), max(event.remaining_us, 1))
        self._parts.warm_capacity.request_arrived()
        self._parts.retries.request_arrived()
        cost = self._parts.class_costs.relative(kind, event.cost_us)
        work = self._parts.mean_work.relative(event.cost_us, UNSEEN_AIMS * kind.latency_objective_us)
        request = self._requests[event.request] = Request(event.request, kind, cost, work)
        if not event.body_incomplete:
            self._begin_time(request, event.remaining_us)
        if self._parts.admission.refuses(request, event.tenant):
            self._finish(request, TerminationReason.ADMISSION)
        else:
            self._place(request)

    def _begin_time(self, request: Request, remaining_us: int) -> None:
        context = self._context
        request.body_incomplete = False
        request.respond_by = context.now + remaining_us - TICKS_EARLY * context.settings.clock_resolution_us
        self._parts.timers.schedule(request.respond_by, request.request_id, WHOLE_REQUEST)

    def _request_whole(self, event: RequestBodyCompleted) -> None:
        """The attempt that its body was passed on to begins now, for its server and for our patience."""
        request = self._requests.get(event.request)
        if request is None or request.is_responded or not request.body_incomplete:
            return
        self._begin_time(request, event.remaining_us)
        for attempt in request.attempts:
            if attempt.is_pending:
                attempt.sent_at = self._context.now
                attempt.responses_before = self._parts.outlier_detection.answers
                self._begin_attempt(request, attempt)

    def _request_gone(self, event: ClientDisconnected) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.is_responded:
            self._close(request)

    def _answer_started(self, event: ResponseStarted) -> None:
        request = self._requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            request.attempts[event.attempt].response_started = True

    def _place(self, request: Request) -> None:
        """Send the request to the best of k, or answer it where nothing is left to try."""
        server = self._parts.selection.choose(request)
        if server is None or not self._send(request, server):
            if not request.is_pending():
                self._finish(request, TerminationReason.NO_ENDPOINT)

    # The send gate

    def _send(self, request: Request, server: Endpoint) -> bool:
        """The one way out for an attempt.  Says whether the attempt was allowed and sent."""
        context = self._context
        limits = context.settings.limits
        if request.is_responded or context.now >= request.respond_by:
            return False  # rule 1: nothing after the final answer, nothing that cannot be answered in time
        if len(request.attempts) >= limits.max_attempts:
            return False
        if not limits.hedged_requests and request.is_pending():
            return False  # rule 2
        attempt = Attempt(len(request.attempts), server, context.now, self._parts.outlier_detection.answers)
        if context.now >= self._parts.retries.begin_by(request):
            return False  # rule 2
        if not repeat_rule.is_in_group(request.service_class, attempt, request.attempts):
            return False  # rule 2
        if server.state is not EndpointState.READY:
            return False  # rule 3: at once when the list says so, without use of the grace
        if not self._parts.slow_start.has_room(server, request.work):
            return False  # rule 4
        self._parts.slow_start.spend(server, request.work)
        attempt.connection_idle_us = self._parts.idle_connections.take(server)
        request.attempts.append(attempt)
        if server.ejected_until is not None:
            server.probation_attempt = attempt
        if not request.body_incomplete:
            self._begin_attempt(request, attempt)
        context.actions.append(StartAttempt(request.request_id, server.name, request.respond_by))
        return True

    def _begin_attempt(self, request: Request, attempt: Attempt) -> None:
        """From here on it is in flight: its server has all of it, or will in a moment."""
        server = attempt.endpoint
        attempt.is_in_flight = True
        self._parts.load.attempt_began(server)
        attempt.opens_connection = server.in_flight > server.connections
        server.connections = max(server.connections, server.in_flight)
        self._parts.attempt_timeouts.watch(request, attempt)

    def attempt_written(self, request: int, attempt: int, now: int) -> None:
        """An attempt's last byte has left at clock time `now`: from then on it bounds the others."""
        held = self._requests.get(request)
        if held is not None and attempt < len(held.attempts):
            began = held.attempts[attempt]
            began.last_byte_at = now
            began.zone, began.cell = began.endpoint.zone, began.endpoint.cell

    def latest_start(self, request: int, attempt: int) -> int:
        """Clock time from which on an attempt's last byte may not leave any more; NEVER: nothing bounds it.

        To be asked in the instant in which it would leave: what was true as it was decided on may have
        changed since, as others that were decided on later have begun.
        """
        held = self._requests.get(request)
        if held is None or attempt >= len(held.attempts):
            return 0
        settings = self._context.settings
        own = held.attempts[attempt]
        others = [each for each in held.attempts if each is not own and each.last_byte_at is not None]
        if not settings.limits.hedged_requests and any(each.is_pending for each in others):
            return 0
        if not repeat_rule.is_in_group(held.service_class, own.endpoint, others):
            return 0
        return repeat_rule.begin_by(held.service_class, settings.clock_resolution_us, others)

    # The final answer gate

    def _finish(self, request: Request, reason: TerminationReason) -> None:
        """The one way out for an answer that is not a server's: a refusal where legal, else a failure."""
        if request.is_responded:
            return
        answer: RejectRequest | FailRequest = FailRequest(request.request_id, reason)
        if self._parts.retries.is_refusal_harmless(request):
            answer = RejectRequest(request.request_id, self._parts.admission.retry_after(request), reason)
        self._context.actions.append(answer)
        self._close(request)

    def _close(self, request: Request) -> None:
        """Nothing is owed any more; attempts still pending are cancelled where that is permitted."""
        request.is_responded = True
        context = self._context
        if context.settings.limits.may_cancel:
            for attempt in request.attempts:
                if attempt.is_pending and not attempt.response_started:
                    context.actions.append(CancelAttempt(request.request_id, attempt.index))
        self._forget_if_over(request)

    def _forget_if_over(self, request: Request) -> None:
        if request.is_responded and not request.is_pending():
            self._requests.pop(request.request_id, None)

    # How attempts end

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.is_pending:
            return
        rules = self._context.settings.rules
        attempt.is_pending = False
        attempt.may_have_run = not rules.proves_not_executed(event.outcome, event.is_response_certain)
        self._release(attempt, event)
        self._parts.feedback.attempt_ended(request, attempt, event)
        self._answer_or_retry(request, attempt, event)
        self._forget_if_over(request)
        self._parts.endpoint_list.forget_if_gone(attempt.endpoint)

    def _release(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Give back the attempt's place at its server, and its connection if that is open."""
        server = attempt.endpoint
        if attempt.is_in_flight:
            self._parts.load.attempt_ended(server)
        was_served = event.outcome is Outcome.DELIVERED
        if not was_served and not (event.outcome in KEPT_IF_CERTAIN and event.is_response_certain):
            server.connections = max(server.connections - 1, server.in_flight)
        self._parts.idle_connections.close_if_leaving(server)

    def _answer_or_retry(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """See to it that the client gets an answer, if it has none yet."""
        if request.is_responded:
            return
        if event.is_responded:
            self._close(request)
        elif event.outcome is Outcome.CLIENT_ERROR:
            self._context.actions.append(FailRequest(request.request_id, TerminationReason.CLIENT_ERROR))
            self._close(request)
        else:
            self._retry(request, attempt, event)

    def _retry(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Try again if that is permitted; else answer, unless another attempt is pending."""
        was_full = event.outcome is Outcome.OVERLOADED
        request.failed_endpoints.append(attempt.endpoint)
        request.overloaded_responses += was_full
        if event.is_retryable and self._parts.retries.may_retry(request, was_full):
            if not was_full:
                self._parts.retries.spend()
            self._place(request)
        elif not request.is_pending():
            self._finish(request, TerminationReason.NO_RETRY)
        if was_full and request.is_responded:
            # No redraw found an endpoint with capacity: the fleet is overloaded, not one server.
            self._parts.concurrency_limit.request_lost()

    # Timers

    def _timer_fired(self) -> None:
        now = self._context.now
        self._parts.timers.timer_fired(now)
        while (entry := self._parts.timers.pop_due(now)) is not None:
            if entry.request == DISCOVERY:
                self._parts.discovery_polling.ask_if_due()
            else:
                self._request_due(entry)

    def _request_due(self, entry: TimerEntry) -> None:
        request = self._requests.get(entry.request)
        if request is None or request.is_responded or any(each.response_started for each in request.attempts):
            return  # nothing is waited for any more
        if entry.attempt == WHOLE_REQUEST:
            self._finish(request, TerminationReason.DEADLINE)
        elif request.attempts[entry.attempt].is_pending:
            self._attempt_overdue(request, request.attempts[entry.attempt])

    def _attempt_overdue(self, request: Request, attempt: Attempt) -> None:
        """Send a second copy elsewhere, or cancel the attempt, so that its end draws again."""
        if not self._parts.attempt_timeouts.gets_no_answer(request, attempt):
            return
        if not self._parts.retries.may_leave(request):
            return
        limits = self._context.settings.limits
        if limits.hedged_requests:
            self._parts.retries.spend()
            self._place(request)
        elif limits.may_cancel:
            self._context.actions.append(CancelAttempt(request.request_id, attempt.index))

    def _is_settled(self, entry: TimerEntry) -> bool:
        """Whether nothing would be done when this entry of the agenda falls due."""
        if entry.request == DISCOVERY:
            return entry.due != self._parts.discovery_polling.due_at
        request = self._requests.get(entry.request)
        if request is None or request.is_responded:
            return True
        return entry.attempt != WHOLE_REQUEST and not request.attempts[entry.attempt].is_pending
