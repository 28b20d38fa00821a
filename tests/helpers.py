"""A driver that passes scripted events to a balancer and records its actions."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, TypeVar

from tulipnotch.load_balancing import Balancer, Settings
from tulipnotch.load_balancing.actions import Action, SetTimer, StartAttempt
from tulipnotch.load_balancing.events import (
    AttemptEnded,
    EndpointDescription,
    EndpointState,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    RequestArrived,
    TimerFired,
)
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings_reader import settings_from_mapping

MS = 1_000
S = 1_000_000
START_US = 50 * S

IDEMPOTENT_CLASS = {
    "name": "look",
    "deadline_us": 2 * S,
    "latency_objective_us": 500 * MS,
    "priority_weight": 1,
    "idempotency": "idempotent",
}
NON_IDEMPOTENT_CLASS = {
    "name": "pay",
    "deadline_us": 2 * S,
    "latency_objective_us": 500 * MS,
    "priority_weight": 10,
    "idempotency": "non_idempotent",
}
IDEMPOTENT_WITH_KEY_CLASS = {
    "name": "amend",
    "deadline_us": 4 * S,
    "latency_objective_us": 500 * MS,
    "priority_weight": 3,
    "idempotency": "idempotent_with_key",
    "deduplication_scope": "cell",
    "deduplication_window_us": 2 * S,
}

_ActionType = TypeVar("_ActionType")


def make_settings(**changes: Any) -> Settings:
    """Returns settings of a permissive deployment; a change is merged into a table, or replaces a value."""
    values: dict[str, Any] = {
        "classes": [IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, IDEMPOTENT_WITH_KEY_CLASS],
        "zone": "east",
        "clock_resolution_us": 5 * MS,
        "limits": {"max_attempts": 5, "hedged_requests": True, "may_cancel": True},
        "rules": {
            "initial_capacity": 0.2,
            "warm_up_us": 10 * S,
            "drain_grace_us": 500 * MS,
            "overload_multiple": 3,
            "overload_window_us": 2 * S,
            "max_poll_interval_us": 10 * S,
        },
    }
    for key, value in changes.items():
        values[key] = {**values[key], **value} if isinstance(values.get(key), dict) else value
    return settings_from_mapping(values)


def endpoint_names(count: int) -> list[str]:
    """Returns the names of `count` endpoints."""
    return [f"10.0.0.{number}:80" for number in range(1, count + 1)]


class BalancerDriver:
    """Passes events to one balancer; timers that are due fire as the test advances time."""

    def __init__(self, settings: Settings | None = None, seed: int = 7, now: int = START_US) -> None:
        """Starts at time `now`, with no endpoints."""
        self.now = now
        self.balancer = Balancer(settings or make_settings(), seed)
        self.timed_actions: list[tuple[int, Action]] = []
        self._timers: list[tuple[int, str]] = []
        self._next_request = 1

    def handle(self, event: Event) -> list[Action]:
        """Passes one event to the balancer; records and returns its actions."""
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.timed_actions.append((self.now, action))
            if isinstance(action, SetTimer):
                self._timers.append((self.now + action.delay_us, action.token))
        return actions

    def update_endpoints(
        self,
        endpoints: Iterable[str | EndpointDescription],
        kind: EndpointUpdateKind = EndpointUpdateKind.COMPLETE,
    ) -> list[Action]:
        """Updates the endpoint list; a name stands for a ready endpoint in the balancer's own zone."""
        descriptions = [
            EndpointDescription(endpoint, zone="east") if isinstance(endpoint, str) else endpoint
            for endpoint in endpoints
        ]
        return self.handle(EndpointsUpdated(kind, descriptions, 1))

    def drain_endpoint(self, endpoint: str, state: EndpointState = EndpointState.DRAINING) -> list[Action]:
        """Updates one endpoint to draining, or to another state."""
        return self.update_endpoints(
            [EndpointDescription(endpoint, zone="east", state=state)], EndpointUpdateKind.DELTA
        )

    def receive_request(
        self, service_class: str = "look", remaining_us: int = 2 * S, cost_us: int | None = None
    ) -> int:
        """Lets a request arrive; returns its number."""
        number, self._next_request = self._next_request, self._next_request + 1
        self.handle(RequestArrived(number, service_class, None, None, remaining_us, cost_us))
        return number

    def end_attempt(
        self,
        request: int,
        outcome: Outcome = Outcome.DELIVERED,
        attempt: int | None = None,
        *,
        is_responded: bool | None = None,
        report: dict[str, float] | None = None,
    ) -> list[Action]:
        """Ends an attempt of a request, by default the last one."""
        attempts = self.started_attempts(request)
        index = len(attempts) - 1 if attempt is None else attempt
        started_at, started_attempt = attempts[index]
        responded = outcome is Outcome.DELIVERED if is_responded is None else is_responded
        elapsed_us = self.now - started_at
        return self.handle(
            AttemptEnded(request, index, started_attempt.endpoint, outcome, elapsed_us, responded, report)
        )

    def advance(self, span_us: int) -> None:
        """Advances time; fires the timers that fall due, in order."""
        end = self.now + span_us
        while True:
            due = sorted(each for each in self._timers if each[0] <= end)
            if not due:
                break
            self._timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.handle(TimerFired(due[0][1]))
        self.now = end

    def started_attempts(self, request: int | None = None) -> list[tuple[int, StartAttempt]]:
        """Returns the attempts so far, of one request or of all, with their start times."""
        return [
            (started_at, action)
            for started_at, action in self.timed_actions
            if isinstance(action, StartAttempt) and (request is None or action.request == request)
        ]

    def last_endpoint(self, request: int) -> str:
        """Returns the endpoint of a request's last attempt."""
        return self.started_attempts(request)[-1][1].endpoint

    def actions_of_type(self, action_type: type[_ActionType]) -> list[_ActionType]:
        """Returns the actions of this type so far."""
        return [action for _, action in self.timed_actions if isinstance(action, action_type)]

    def run_traffic(
        self,
        count: int,
        arrival_interval_us: int = 20 * MS,
        response_time_us: int = 50 * MS,
        service_class: str = "look",
    ) -> None:
        """Runs steady traffic: requests arrive at a fixed interval, each with the same response time."""
        pending: list[tuple[int, int]] = []
        for _ in range(count):
            self.advance(arrival_interval_us)
            pending.append((self.now + response_time_us, self.receive_request(service_class)))
            while pending and pending[0][0] <= self.now:
                request = pending.pop(0)[1]
                if self.started_attempts(request):
                    self.end_attempt(request)
        for _, request in pending:
            self.advance(arrival_interval_us)
            if self.started_attempts(request):
                self.end_attempt(request)

    def run_sequential_traffic(
        self, count: int, response_time_us: int = 50 * MS, arrival_interval_us: int = 400 * MS
    ) -> None:
        """Runs the traffic of a small balancer: each request gets its response before the next arrives."""
        for _ in range(count):
            request = self.receive_request()
            self.advance(response_time_us)
            if self.started_attempts(request):
                self.end_attempt(request)
            self.advance(arrival_interval_us - response_time_us)
