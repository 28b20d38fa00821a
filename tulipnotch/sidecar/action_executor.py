"""Execution of the balancer's actions: dispatches each to its component; owns timers and health checks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tulipnotch.load_balancing.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    LogEvent,
    RejectRequest,
    SendPeerMessage,
    SetTimer,
    StartAttempt,
    StartHealthCheck,
    Subscribe,
)
from tulipnotch.load_balancing.events import HealthCheckEnded, TimerFired
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import ReportSource
from tulipnotch.sidecar.discovery.client import DiscoveryClient
from tulipnotch.sidecar.discovery.peers import PeerMessenger
from tulipnotch.sidecar.event_queue import EventQueue
from tulipnotch.sidecar.http1.messages import Request, Response
from tulipnotch.sidecar.requests.attempts import AttemptStarter
from tulipnotch.sidecar.requests.context import SidecarContext
from tulipnotch.sidecar.requests.responses import ResponseSender
from tulipnotch.sidecar.upstream.load_report import parse_load_report
from tulipnotch.sidecar.upstream.request import BackgroundRequestObserver, UpstreamRequest

_HEALTH_CHECK_TIMEOUT_US = 1_000_000
_HEALTH_CHECK_NAME = "health check"  # in the log, in place of a request's id


class ActionTargets:
    """Components that execute the actions which neither the event loop nor the upstream pool executes."""

    __slots__ = ("attempts", "discovery", "peers", "responses")

    def __init__(
        self,
        attempts: AttemptStarter,
        responses: ResponseSender,
        discovery: DiscoveryClient,
        peers: PeerMessenger,
    ) -> None:
        """Stores the components; each executes the actions for which its type has a method."""
        self.attempts = attempts
        self.responses = responses
        self.discovery = discovery
        self.peers = peers


class ActionExecutor:
    """Dispatches each action to the component that executes it."""

    def __init__(self, context: SidecarContext, events: EventQueue, targets: ActionTargets) -> None:
        """Creates an executor that posts fired timers and ended health checks to `events`."""
        self._context = context
        self._events = events
        self._peers = targets.peers
        self._discovery = targets.discovery
        upstream = context.upstream
        # Keyed by action class; a handler is called only with actions of its own class.
        self._handlers: dict[type[Action], Callable[[Any], None]] = {
            StartAttempt: targets.attempts.start_attempt,
            CancelAttempt: targets.attempts.cancel_attempt,
            RejectRequest: targets.responses.reject_request,
            FailRequest: targets.responses.fail_request,
            SetTimer: self._set_timer,
            StartHealthCheck: self._start_health_check,
            CloseIdleConnections: lambda action: upstream.close_idle_connections(action.endpoint),
            Subscribe: self._subscribe,
            FetchEndpoints: lambda _: self._discovery.fetch(),
            SendPeerMessage: self._send_peer_message,
            LogEvent: self._log_event,
        }

    def execute(self, action: Action) -> None:
        """Executes one action; an exception of the component that executes it is propagated."""
        self._handlers[type(action)](action)

    def _set_timer(self, action: SetTimer) -> None:
        self._arm_timer(self._context.clock.now() + action.delay_us, action.token)

    def _arm_timer(self, due_us: int, token: str) -> None:
        clock = self._context.clock
        delay_s = (due_us - clock.now()) / 1e6

        def on_timer() -> None:
            if clock.now() < due_us:
                self._arm_timer(due_us, token)  # an event loop may fire a timer some microseconds early
            else:
                self._events.post(TimerFired(token))

        asyncio.get_running_loop().call_later(max(delay_s, 0.0), on_timer)

    def _start_health_check(self, action: StartHealthCheck) -> None:
        context = self._context
        started_at = context.clock.now()
        is_report_in_body = context.settings.report_source is not ReportSource.NONE
        target = b"/_load" if is_report_in_body else b"/ping"
        message = Request(b"GET", target, [(b"host", action.endpoint.encode())])

        def post_result(outcome: Outcome, response: Response | None) -> None:
            report = parse_load_report(response, context.settings.report_columns, in_body=is_report_in_body)
            elapsed_us = context.clock.now() - started_at
            if request.response_fault is not None:
                context.report_malformed_response(action.endpoint, request.response_fault, _HEALTH_CHECK_NAME)
            self._events.post(HealthCheckEnded(action.endpoint, outcome, elapsed_us, report))

        deadline = started_at + _HEALTH_CHECK_TIMEOUT_US
        request = UpstreamRequest(
            action.endpoint, deadline, lambda _: message, _HealthCheckObserver(post_result)
        )
        context.upstream.start_request(request)

    def _subscribe(self, action: Subscribe) -> None:
        if action.is_subscribed:
            self._discovery.subscribe()
        else:
            self._discovery.unsubscribe()

    def _send_peer_message(self, action: SendPeerMessage) -> None:
        if not self._peers.send(action.receiver, action.payload):
            self._context.log("peer_message_not_sent")

    def _log_event(self, action: LogEvent) -> None:
        self._context.log(action.event, **action.fields)


class _HealthCheckObserver(BackgroundRequestObserver):
    """Observes one health check and passes its result on; intermediate steps are ignored."""

    def __init__(self, on_end: Callable[[Outcome, Response | None], None]) -> None:
        self._on_end = on_end

    def request_ended(self, outcome: Outcome, response: Response | None) -> None:
        self._on_end(outcome, response)
