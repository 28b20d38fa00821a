"""The balancer under arbitrary valid sequences of events; only its actions are checked."""

from __future__ import annotations

from typing import Any

from helpers import (
    IDEMPOTENT_CLASS,
    IDEMPOTENT_WITH_KEY_CLASS,
    MS,
    NON_IDEMPOTENT_CLASS,
    START_US,
    S,
    endpoint_names,
    make_settings,
)
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tulipnotch.load_balancing import Balancer
from tulipnotch.load_balancing.actions import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from tulipnotch.load_balancing.events import AttemptEnded as Ended
from tulipnotch.load_balancing.events import (
    ClientDisconnected,
    EndpointDescription,
    EndpointState,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    RequestArrived,
    TimerFired,
)
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Idempotency

SERVERS = endpoint_names(7)
ZONES = ("east", "west")
TICK = 5 * MS
CLOSE_WITHIN = 500 * MS
CLASSES = [
    IDEMPOTENT_CLASS,
    NON_IDEMPOTENT_CLASS,
    *(
        {**IDEMPOTENT_WITH_KEY_CLASS, "name": f"amend-{group}", "deduplication_scope": group}
        for group in ("all", "zone", "cell")
    ),
]


class RuleChecker:
    """Models clients, servers and the endpoint list, and checks every action against the rules."""

    def __init__(self, attempts: int, seed: int, *, hedged_requests: bool, strict: bool) -> None:
        """`strict`: overloaded responses prove nothing, and idle connections must be closed in time."""
        rules = {"overloaded_may_have_run": True, "close_idle_within_us": CLOSE_WITHIN} if strict else {}
        self.settings = make_settings(
            classes=CLASSES,
            limits={"hedged_requests": hedged_requests, "max_attempts": attempts},
            rules=rules,
        )
        self.not_executed_outcomes = [
            Outcome.CONNECT_FAILED,
            Outcome.NOT_SENT,
            *([] if strict else [Outcome.OVERLOADED]),
        ]
        # By when idle connections to draining or removed endpoints must be closed, keyed by endpoint.
        self.close_idle_by: dict[str, int] = {}
        self.balancer = Balancer(self.settings, seed)
        self.classes = {each.name: each for each in self.settings.classes}
        self.now = START_US
        self.timers: list[tuple[int, str]] = []
        self.requests: dict[int, dict[str, Any]] = {}
        self.descriptions: dict[str, EndpointDescription] = {}
        self.next_request = 1

    def handle(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case StartAttempt():
                    self.attempt_started(action)
                case RejectRequest() | FailRequest():
                    self.final_response_sent(action)
                case CancelAttempt():
                    assert action.attempt < len(self.requests[action.request]["attempts"])
                case CloseIdleConnections():
                    self.close_idle_by.pop(action.endpoint, None)
                case SetTimer():
                    self.timers.append((self.now + action.delay_us, action.token))
                case _:
                    pass
        self.check_in_flight_counts()

    def attempt_started(self, action: StartAttempt) -> None:
        request = self.requests[action.request]
        service_class = request["service_class"]
        assert not request["is_responded"], "attempt started after the final response"
        assert self.now < request["deadline"], "attempt started after the deadline"
        description = self.descriptions[action.endpoint]
        assert description.state is EndpointState.READY, "attempt started at a draining or removed endpoint"
        earlier = request["attempts"]
        assert len(earlier) < self.settings.limits.max_attempts, "more attempts than permitted"
        if not self.settings.limits.hedged_requests:
            assert not any(each["pending"] for each in earlier), "hedged request without permission"
        possibly_executed = [
            each for each in earlier if each["pending"] or each["outcome"] not in self.not_executed_outcomes
        ]
        if possibly_executed and service_class.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("non-idempotent request retried after it may have been executed")
        if possibly_executed and service_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            assert self.now < possibly_executed[0]["started_at"] + service_class.deduplication_window_us, (
                "attempt started after the deduplication window"
            )
            for each in possibly_executed:
                scope = service_class.deduplication_scope.value
                assert scope != "zone" or each["description"].zone == description.zone, (
                    "attempt outside the deduplication zone"
                )
                assert scope != "cell" or each["description"].cell == description.cell, (
                    "attempt outside the deduplication cell"
                )
        earlier.append(
            {
                "endpoint": action.endpoint,
                "description": description,
                "started_at": self.now,
                "pending": True,
                "outcome": None,
            }
        )

    def final_response_sent(self, action: RejectRequest | FailRequest) -> None:
        request = self.requests[action.request]
        assert not request["is_responded"], "second final response"
        assert self.now < request["deadline"] or request["may_be_late"], "final response after the deadline"
        if (
            isinstance(action, RejectRequest)
            and request["service_class"].idempotency is not Idempotency.IDEMPOTENT
        ):
            possibly_executed = [
                each
                for each in request["attempts"]
                if each["pending"] or each["outcome"] not in self.not_executed_outcomes
            ]
            is_resend_safe = (
                request["service_class"].idempotency is Idempotency.IDEMPOTENT_WITH_KEY
                and request["service_class"].deduplication_scope.value == "all"
            )
            assert not possibly_executed or is_resend_safe, (
                "rejection of a request that may have been executed"
            )
        request["is_responded"] = True

    def check_in_flight_counts(self) -> None:
        in_flight: dict[str, int] = dict.fromkeys(SERVERS, 0)
        for request in self.requests.values():
            for each in request["attempts"]:
                in_flight[each["endpoint"]] += each["pending"]
        for name, server in self.balancer._context.endpoints.items():
            assert server.in_flight == in_flight[name], "wrong number of requests in flight"

    def add_request(self, name: str, remaining_us: int) -> None:
        request_id, self.next_request = self.next_request, self.next_request + 1
        self.requests[request_id] = {
            "service_class": self.classes[name],
            "deadline": self.now + remaining_us,
            "may_be_late": remaining_us <= 2 * TICK,
            "attempts": [],
            "is_responded": False,
        }
        self.handle(RequestArrived(request_id, name, None, None, remaining_us))

    def end_any_attempt(self, choice: int, outcome: Outcome) -> None:
        pending = [
            (request_id, index)
            for request_id, request in self.requests.items()
            for index, each in enumerate(request["attempts"])
            if each["pending"]
        ]
        if pending:
            self.end_attempt(*pending[choice % len(pending)], outcome)

    def end_attempt(self, request_id: int, index: int, outcome: Outcome) -> None:
        request = self.requests[request_id]
        each = request["attempts"][index]
        each["pending"], each["outcome"] = False, outcome
        if outcome is Outcome.DELIVERED:
            request["is_responded"] = True
        self.update_close_deadline(each["endpoint"])
        self.handle(
            Ended(
                request_id,
                index,
                each["endpoint"],
                outcome,
                self.now - each["started_at"],
                request["is_responded"],
            )
        )

    def update_close_deadline(self, server: str) -> None:
        """Updates by when idle connections to a server must be closed, after a state change or a use."""
        if (
            self.settings.rules.close_idle_within_us
            and self.descriptions[server].state is not EndpointState.READY
        ):
            self.close_idle_by[server] = self.now + CLOSE_WITHIN
        else:
            self.close_idle_by.pop(server, None)

    def disconnect_any_client(self, choice: int) -> None:
        waiting = [request_id for request_id, request in self.requests.items() if not request["is_responded"]]
        if waiting:
            request_id = waiting[choice % len(waiting)]
            self.requests[request_id]["is_responded"] = True
            self.handle(ClientDisconnected(request_id))

    def update_endpoints(self, kind: EndpointUpdateKind, changed: list[EndpointDescription]) -> None:
        before = {name: description.state for name, description in self.descriptions.items()}
        if kind is not EndpointUpdateKind.DELTA:
            for description in self.descriptions.values():
                description.state = EndpointState.REMOVED
        for description in changed:
            self.descriptions[description.name] = description
        for name, description in self.descriptions.items():
            if description.state is not before.get(name):
                self.update_close_deadline(name)
        self.handle(EndpointsUpdated(kind, changed, 1))

    def advance_time(self, duration_us: int) -> None:
        until = self.now + duration_us
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.handle(TimerFired(due[1]))
            self.check_deadlines()
        self.now = until
        self.check_deadlines()

    def check_deadlines(self) -> None:
        for server, close_by in self.close_idle_by.items():
            assert self.now <= close_by, f"idle connections to {server} are still open"
        for request in self.requests.values():
            assert request["is_responded"] or self.now < request["deadline"], (
                "no final response before the deadline"
            )


descriptions = st.builds(
    EndpointDescription,
    name=st.sampled_from(SERVERS),
    zone=st.sampled_from(ZONES),
    machine_type=st.just("box"),
    cell=st.integers(0, 2),
    state=st.sampled_from(
        [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED]
    ),
    nominal_capacity=st.sampled_from([0.0, 1.0, 3.0]),
    started_at=st.sampled_from([None, START_US - 5 * S, START_US, START_US + 2 * S]),
)
request_arrivals = st.tuples(
    st.just("request arrives"),
    st.sampled_from([str(each["name"]) for each in CLASSES]),
    st.integers(1, 2_500).map(lambda ms: ms * MS),
)
steps = st.one_of(
    request_arrivals,
    request_arrivals,
    st.tuples(st.just("attempt ends"), st.integers(0, 50), st.sampled_from(list(Outcome))),
    st.tuples(st.just("attempt ends"), st.integers(0, 50), st.just(Outcome.DELIVERED)),
    st.tuples(st.just("attempt ends"), st.integers(0, 50), st.just(Outcome.OVERLOADED)),
    st.tuples(st.just("client disconnects"), st.integers(0, 50)),
    st.tuples(st.just("time passes"), st.integers(1, 1_500).map(lambda ms: ms * MS)),
    st.tuples(
        st.just("endpoints updated"),
        st.sampled_from([EndpointUpdateKind.DELTA, EndpointUpdateKind.COMPLETE, EndpointUpdateKind.FAILED]),
        st.lists(descriptions, max_size=5, unique_by=lambda each: each.name),
    ),
)


@hypothesis_settings(
    max_examples=500, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
@given(
    strict=st.booleans(),
    hedged_requests=st.booleans(),
    attempts=st.integers(0, 4),
    seed=st.integers(0, 1_000),
    script=st.lists(steps, min_size=5, max_size=60),
)
def test_balancer_obeys_rules_in_any_event_sequence(
    *, strict: bool, hedged_requests: bool, attempts: int, seed: int, script: list[Any]
) -> None:
    checker = RuleChecker(attempts, seed, hedged_requests=hedged_requests, strict=strict)
    ready = [EndpointDescription(name, "east", "box", index % 3) for index, name in enumerate(SERVERS)]
    checker.update_endpoints(EndpointUpdateKind.CACHED, ready)
    for step in script:
        match step:
            case ("request arrives", name, remaining):
                checker.add_request(name, remaining)
            case ("attempt ends", choice, outcome):
                checker.end_any_attempt(choice, outcome)
            case ("client disconnects", choice):
                checker.disconnect_any_client(choice)
            case ("time passes", span):
                checker.advance_time(span)
            case ("endpoints updated", kind, changed):
                if kind is EndpointUpdateKind.FAILED:
                    checker.handle(EndpointsUpdated(kind))
                else:
                    checker.update_endpoints(kind, changed)
    checker.advance_time(4 * S)
