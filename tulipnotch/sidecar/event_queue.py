"""Delivers events to the balancer one at a time, in order, and has the actions that it returns executed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from tulipnotch.load_balancing import Balancer
from tulipnotch.load_balancing.actions import Action, FailRequest, RejectRequest, StartAttempt
from tulipnotch.load_balancing.events import AttemptEnded, Event, RequestArrived
from tulipnotch.sidecar.requests.context import SidecarContext
from tulipnotch.sidecar.requests.request_registry import RequestRegistry
from tulipnotch.sidecar.requests.responses import ResponseSender


class EventQueue:
    """Queues the events that the balancer has not handled yet; `Balancer.handle` is called only here."""

    def __init__(
        self,
        balancer: Balancer,
        context: SidecarContext,
        registry: RequestRegistry,
        responses: ResponseSender,
    ) -> None:
        """Creates an empty queue; events may be posted once `set_executor` was called."""
        self._balancer = balancer
        self._context = context
        self._registry = registry
        self._responses = responses
        self._execute: Callable[[Action], None]
        self._events: deque[Event] = deque()
        self._is_handling = False

    def set_executor(self, execute: Callable[[Action], None]) -> None:
        """Sets the function that executes an action; it may post further events."""
        self._execute = execute

    def post(self, event: Event) -> None:
        """Has the balancer handle an event: at once, or after the events that are queued already."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event = self._events.popleft()
                if isinstance(event, AttemptEnded):
                    # Set when the event is handled, not when it is posted: an event handled in between may
                    # have caused the response.
                    event.is_responded = self._registry.is_responded(event.request)
                    self._handle(event)
                    request = self._registry.get(event.request)
                    if request is not None:
                        self._registry.remove_if_ended(request)
                else:
                    self._handle(event)
        finally:
            self._is_handling = False

    def _handle(self, event: Event) -> None:
        """Handles an event and executes each resulting action, even if an earlier one fails.

        No exception of the balancer or of an action propagates to the caller, so none ends the process.
        """
        try:
            actions = self._balancer.handle(self._context.clock.now(), event)
        except Exception as error:
            self._report_internal_error(event, error)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:
                self._report_internal_error(action, error)

    def _report_internal_error(self, source: Event | Action, error: Exception) -> None:
        """Logs an internal error, and responds with status 500 to the request that it may affect."""
        self._context.log("internal_error", where=type(source).__name__, fault=repr(error))
        if isinstance(source, (RequestArrived, AttemptEnded, StartAttempt, RejectRequest, FailRequest)):
            self._responses.respond(source.request, 500, [])
