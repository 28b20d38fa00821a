"""A balancer under scripted events: plays them and records the actions."""

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

_Kind = TypeVar("_Kind")


def make_settings(**changes: Any) -> Settings:
    """Settings of a permissive deployment; `limits` and `rules` are merged, the rest replaced."""
    given: dict[str, Any] = {
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
        given[key] = {**given[key], **value} if isinstance(given.get(key), dict) else value
    return settings_from_mapping(given)


def endpoint_names(count: int) -> list[str]:
    """The names of so many endpoints."""
    return [f"10.0.0.{number}:80" for number in range(1, count + 1)]


class BalancerDriver:
    """Plays events to one balancer; timers fire by themselves as time moves on."""

    def __init__(self, given: Settings | None = None, seed: int = 7, now: int = START_US) -> None:
        """Begin at clock time `now` with no endpoint."""
        self.now = now
        self.balancer = Balancer(given or make_settings(), seed)
        self.timed_actions: list[tuple[int, Action]] = []
        self._timers: list[tuple[int, str]] = []
        self._next = 1

    def handle(self, event: Event) -> list[Action]:
        """Play one event; record and return its actions."""
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.timed_actions.append((self.now, action))
            if isinstance(action, SetTimer):
                self._timers.append((self.now + action.delay_us, action.token))
        return actions

    def update_endpoints(
        self,
        listed: Iterable[str | EndpointDescription],
        kind: EndpointUpdateKind = EndpointUpdateKind.COMPLETE,
    ) -> list[Action]:
        """Announce endpoints; a name stands for a ready one in the own zone."""
        lines = [EndpointDescription(each, zone="east") if isinstance(each, str) else each for each in listed]
        return self.handle(EndpointsUpdated(kind, lines, 1))

    def drain_endpoint(self, server: str, state: EndpointState = EndpointState.DRAINING) -> list[Action]:
        """Announce one endpoint as draining, or in another state."""
        return self.update_endpoints(
            [EndpointDescription(server, zone="east", state=state)], EndpointUpdateKind.DELTA
        )

    def receive_request(
        self, name: str = "look", remaining_us: int = 2 * S, cost_us: int | None = None
    ) -> int:
        """Let a request arrive; return its number."""
        number, self._next = self._next, self._next + 1
        self.handle(RequestArrived(number, name, None, None, remaining_us, cost_us))
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
        """End an attempt of a request, by default its last one."""
        sends = self.started_attempts(request)
        index = len(sends) - 1 if attempt is None else attempt
        sent_at, send = sends[index]
        done = outcome is Outcome.DELIVERED if is_responded is None else is_responded
        took = self.now - sent_at
        return self.handle(AttemptEnded(request, index, send.endpoint, outcome, took, done, report))

    def advance(self, span_us: int) -> None:
        """Let time pass; due timers fire on the way."""
        until = self.now + span_us
        while True:
            due = sorted(each for each in self._timers if each[0] <= until)
            if not due:
                break
            self._timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.handle(TimerFired(due[0][1]))
        self.now = until

    def started_attempts(self, request: int | None = None) -> list[tuple[int, StartAttempt]]:
        """The attempts so far, of one request or of all, with the times of their start."""
        return [
            (at, each)
            for at, each in self.timed_actions
            if isinstance(each, StartAttempt) and (request is None or each.request == request)
        ]

    def last_endpoint(self, request: int) -> str:
        """The endpoint of a request's last attempt."""
        return self.started_attempts(request)[-1][1].endpoint

    def actions_of_type(self, kind: type[_Kind]) -> list[_Kind]:
        """The actions of this type so far."""
        return [each for _, each in self.timed_actions if isinstance(each, kind)]

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
                done = pending.pop(0)[1]
                if self.started_attempts(done):
                    self.end_attempt(done)
        for _, done in pending:
            self.advance(arrival_interval_us)
            if self.started_attempts(done):
                self.end_attempt(done)

    def run_sequential_traffic(
        self, count: int, response_time_us: int = 50 * MS, arrival_interval_us: int = 400 * MS
    ) -> None:
        """Traffic of a small balancer: each request gets its response before the next arrives."""
        for _ in range(count):
            request = self.receive_request()
            self.advance(response_time_us)
            if self.started_attempts(request):
                self.end_attempt(request)
            self.advance(arrival_interval_us - response_time_us)
