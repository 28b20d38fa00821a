"""Events to the balancer, one at a time and in order, and the execution of the actions that it returns."""

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
    """Owns the events that the balancer has not handled yet; `Balancer.handle` is called nowhere else."""

    def __init__(
        self,
        balancer: Balancer,
        context: SidecarContext,
        registry: RequestRegistry,
        responses: ResponseSender,
    ) -> None:
        """Events may be posted once `connect` was called."""
        self._balancer = balancer
        self._context = context
        self._registry = registry
        self._responses = responses
        self._execute: Callable[[Action], None]
        self._events: deque[Event] = deque()
        self._is_handling = False

    def connect(self, execute: Callable[[Action], None]) -> None:
        """Sets who executes actions; executing one may post further events."""
        self._execute = execute

    def post(self, event: Event) -> None:
        """Has the balancer handle an event: at once, or after the one that it handles now."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event = self._events.popleft()
                if isinstance(event, AttemptEnded):
                    # Known only now: an event that was handled before may have led to the response.
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
        """Handles an event, and executes each action whatever becomes of the one before.

        The edge of the event loop: nothing that the balancer or an action raises ends the process.
        """
        try:
            actions = self._balancer.handle(self._context.clock.now(), event)
        except Exception as error:
            self._internal_error(event, error)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception as error:
                self._internal_error(action, error)

    def _internal_error(self, source: Event | Action, error: Exception) -> None:
        """Logs an internal error, and responds to the request that it may concern."""
        self._context.log("internal_error", where=type(source).__name__, fault=repr(error))
        if isinstance(source, (RequestArrived, AttemptEnded, StartAttempt, RejectRequest, FailRequest)):
            self._responses.respond(source.request, 500, [])
