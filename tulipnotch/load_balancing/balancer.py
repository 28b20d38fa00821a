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
        self._parts.load.follow(self._parts.limit.limit)
        if not self._has_begun:
            self._has_begun = True
            self._parts.discovery.ask()
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
        timer = self._parts.agenda.next_timer(now, self._is_settled)
        if timer is not None:
            context.actions.append(timer)
        return context.actions

    def members(self) -> tuple[int, int]:
        """How many servers are listed, and how many of these get no ordinary request now."""
        return self._parts.server_list.members()

    def pressure(self) -> Pressure:
        """What decides on a level of reduced service."""
        return self._parts.admission.pressure()

    # Requests

    def _request_arrived(self, event: RequestArrived) -> None:
        kind = self._context.classes.get(event.service_class)
        if kind is None:
            # A class that the settings do not name: the least is assumed of it.
            kind = ServiceClass(event.service_class, max(event.remaining_us, 1), max(event.remaining_us, 1))
        self._parts.capacity.request_arrived()
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
        request.coming = False
        request.answer_by = context.now + remaining_us - TICKS_EARLY * context.settings.clock_resolution_us
        self._parts.agenda.schedule(request.answer_by, request.ident, WHOLE_REQUEST)

    def _request_whole(self, event: RequestBodyCompleted) -> None:
        """The attempt that its body was passed on to begins now, for its server and for our patience."""
        request = self._requests.get(event.request)
        if request is None or request.answered or not request.coming:
            return
        self._begin_time(request, event.remaining_us)
        for attempt in request.attempts:
            if attempt.pending:
                attempt.sent_at = self._context.now
                attempt.answers_before = self._parts.outliers.answers
                self._begin_attempt(request, attempt)

    def _request_gone(self, event: ClientDisconnected) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.answered:
            self._close(request)

    def _answer_started(self, event: ResponseStarted) -> None:
        request = self._requests.get(event.request)
        if request is not None and event.attempt < len(request.attempts):
            request.attempts[event.attempt].started = True

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
        if request.answered or context.now >= request.answer_by:
            return False  # rule 1: nothing after the final answer, nothing that cannot be answered in time
        if len(request.attempts) >= limits.max_attempts:
            return False
        if not limits.hedged_requests and request.is_pending():
            return False  # rule 2
        attempt = Attempt(len(request.attempts), server, context.now, self._parts.outliers.answers)
        if context.now >= self._parts.retries.begin_by(request):
            return False  # rule 2
        if not repeat_rule.is_in_group(request.kind, attempt, request.attempts):
            return False  # rule 2
        if server.state is not EndpointState.READY:
            return False  # rule 3: at once when the list says so, without use of the grace
        if not self._parts.slow_start.has_room(server, request.work):
            return False  # rule 4
        self._parts.slow_start.spend(server, request.work)
        attempt.connection_idle_us = self._parts.idle.take(server)
        request.attempts.append(attempt)
        if server.ejected_until is not None:
            server.trial = attempt
        if not request.coming:
            self._begin_attempt(request, attempt)
        context.actions.append(StartAttempt(request.ident, server.name, request.answer_by))
        return True

    def _begin_attempt(self, request: Request, attempt: Attempt) -> None:
        """From here on it is in flight: its server has all of it, or will in a moment."""
        server = attempt.server
        attempt.begun = True
        self._parts.load.attempt_began(server)
        attempt.opens_connection = server.in_flight > server.connections
        server.connections = max(server.connections, server.in_flight)
        self._parts.overdue.watch(request, attempt)

    def attempt_began(self, request: int, attempt: int, now: int) -> None:
        """An attempt's last byte has left at clock time `now`: from then on it bounds the others."""
        held = self._requests.get(request)
        if held is not None and attempt < len(held.attempts):
            began = held.attempts[attempt]
            began.last_byte_at = now
            began.zone, began.cell = began.server.zone, began.server.cell

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
        if not settings.limits.hedged_requests and any(each.pending for each in others):
            return 0
        if not repeat_rule.is_in_group(held.kind, own.server, others):
            return 0
        return repeat_rule.begin_by(held.kind, settings.clock_resolution_us, others)

    # The final answer gate

    def _finish(self, request: Request, reason: TerminationReason) -> None:
        """The one way out for an answer that is not a server's: a refusal where legal, else a failure."""
        if request.answered:
            return
        answer: RejectRequest | FailRequest = FailRequest(request.ident, reason)
        if self._parts.retries.is_refusal_harmless(request):
            answer = RejectRequest(request.ident, self._parts.admission.retry_after(request), reason)
        self._context.actions.append(answer)
        self._close(request)

    def _close(self, request: Request) -> None:
        """Nothing is owed any more; attempts still pending are cancelled where that is permitted."""
        request.answered = True
        context = self._context
        if context.settings.limits.may_cancel:
            for attempt in request.attempts:
                if attempt.pending and not attempt.started:
                    context.actions.append(CancelAttempt(request.ident, attempt.index))
        self._forget_if_over(request)

    def _forget_if_over(self, request: Request) -> None:
        if request.answered and not request.is_pending():
            self._requests.pop(request.ident, None)

    # How attempts end

    def _attempt_ended(self, event: AttemptEnded) -> None:
        request = self._requests.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.pending:
            return
        rules = self._context.settings.rules
        attempt.pending = False
        attempt.may_have_run = not rules.proves_not_executed(event.outcome, event.is_response_certain)
        self._release(attempt, event)
        self._parts.feedback.attempt_ended(request, attempt, event)
        self._answer_or_retry(request, attempt, event)
        self._forget_if_over(request)
        self._parts.server_list.forget_if_gone(attempt.server)

    def _release(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Give back the attempt's place at its server, and its connection if that is open."""
        server = attempt.server
        if attempt.begun:
            self._parts.load.attempt_ended(server)
        was_served = event.outcome is Outcome.DELIVERED
        if not was_served and not (event.outcome in KEPT_IF_CERTAIN and event.is_response_certain):
            server.connections = max(server.connections - 1, server.in_flight)
        self._parts.idle.close_if_leaving(server)

    def _answer_or_retry(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """See to it that the client gets an answer, if it has none yet."""
        if request.answered:
            return
        if event.is_responded:
            self._close(request)
        elif event.outcome is Outcome.CLIENT_ERROR:
            self._context.actions.append(FailRequest(request.ident, TerminationReason.CLIENT_ERROR))
            self._close(request)
        else:
            self._retry(request, attempt, event)

    def _retry(self, request: Request, attempt: Attempt, event: AttemptEnded) -> None:
        """Try again if that is permitted; else answer, unless another attempt is pending."""
        was_full = event.outcome is Outcome.OVERLOADED
        request.tried.append(attempt.server)
        request.full_answers += was_full
        if event.is_retryable and self._parts.retries.may_retry(request, was_full):
            if not was_full:
                self._parts.retries.spend()
            self._place(request)
        elif not request.is_pending():
            self._finish(request, TerminationReason.NO_RETRY)
        if was_full and request.answered:
            self._parts.limit.request_lost()  # no redraw found room: the fleet is full, not one server

    # Timers

    def _timer_fired(self) -> None:
        now = self._context.now
        self._parts.agenda.timer_fired(now)
        while (entry := self._parts.agenda.pop_due(now)) is not None:
            if entry.request == DISCOVERY:
                self._parts.discovery.ask_if_due()
            else:
                self._request_due(entry)

    def _request_due(self, entry: TimerEntry) -> None:
        request = self._requests.get(entry.request)
        if request is None or request.answered or any(each.started for each in request.attempts):
            return  # nothing is waited for any more
        if entry.attempt == WHOLE_REQUEST:
            self._finish(request, TerminationReason.DEADLINE)
        elif request.attempts[entry.attempt].pending:
            self._attempt_overdue(request, request.attempts[entry.attempt])

    def _attempt_overdue(self, request: Request, attempt: Attempt) -> None:
        """Send a second copy elsewhere, or cancel the attempt, so that its end draws again."""
        if not self._parts.overdue.gets_no_answer(request, attempt):
            return
        if not self._parts.retries.may_leave(request):
            return
        limits = self._context.settings.limits
        if limits.hedged_requests:
            self._parts.retries.spend()
            self._place(request)
        elif limits.may_cancel:
            self._context.actions.append(CancelAttempt(request.ident, attempt.index))

    def _is_settled(self, entry: TimerEntry) -> bool:
        """Whether nothing would be done when this entry of the agenda falls due."""
        if entry.request == DISCOVERY:
            return entry.due != self._parts.discovery.due_at
        request = self._requests.get(entry.request)
        if request is None or request.answered:
            return True
        return entry.attempt != WHOLE_REQUEST and not request.attempts[entry.attempt].pending
