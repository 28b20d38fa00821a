"""The history checker finds the violations of a broken policy or sidecar, and none of a correct one."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import pytest
from small_scenarios import IDEMPOTENT_CLASS, KEYED_CLASS, NON_IDEMPOTENT_CLASS, make_scenario

from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.policies import LeastOfTwo
from tulipnotch.lab.scenario import ServiceClass
from tulipnotch.lab.virtual import Simulation, VirtualSidecar
from tulipnotch.load_balancing import Balancer
from tulipnotch.load_balancing.actions import Action, FailRequest, RejectRequest
from tulipnotch.load_balancing.events import EndpointsUpdated, Event, RequestArrived
from tulipnotch.load_balancing.settings import Settings

CRASHES = [{"kind": "crash", "at_s": 2.0, "for_s": 2.0, "part": 0.4}]
DRAINS = [{"kind": "drain", "at_s": 1.0, "for_s": 3.0, "part": 1.0, "back_s": 0.5}]


def run_scenario(make_policy: Any, seed: int = 1, **changes: Any) -> HistoryChecker:
    simulation = Simulation(make_scenario(**changes), seed, make_policy)
    simulation.run()
    return simulation.history


def make_balancer(settings: Settings, seed: int, _: Simulation) -> Balancer:
    return Balancer(settings, seed)


@pytest.mark.parametrize("faults", [CRASHES, DRAINS, [{"kind": "hang", "at_s": 2.0, "for_s": 3.0}]])
def test_balancer_violates_no_rule_under_server_faults(faults: list[dict[str, Any]]) -> None:
    checker = run_scenario(make_balancer, faults=faults)
    assert checker.violated_rule_count == 0, checker.violations


class _LosesRequests(LeastOfTwo):
    """Does not respond to one request in fifty."""

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        if isinstance(event, RequestArrived) and event.request % 50 == 0:
            return []
        return super().handle(now, event)


class _RespondsTwice(LeastOfTwo):
    """Rejects one request in fifty twice, although it also sends it to an endpoint."""

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        actions = list(super().handle(now, event))
        if isinstance(event, RequestArrived) and event.request % 50 == 0:
            actions += [RejectRequest(event.request)] * 2
        return actions


class _AlwaysRetries(LeastOfTwo):
    """Retries every failed request on any endpoint."""

    def _allowed_endpoints(self, open_request: Any) -> list[str]:
        tried = {name for name, _ in open_request.attempts}
        return [name for name in self.ready if name not in tried]


class _RejectsExecuted(LeastOfTwo):
    """Rejects requests that may have executed."""

    def _reject_or_fail(self, request: int) -> list[Action]:
        return [
            RejectRequest(request) if isinstance(each, FailRequest) else each
            for each in super()._reject_or_fail(request)
        ]


class _PrefersNewest(LeastOfTwo):
    """Sends all requests to the endpoint that started last."""

    newest: str | None = None

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        if isinstance(event, EndpointsUpdated):
            started = [each for each in event.endpoints if each.started_at]
            if started:
                self.newest = max(started, key=lambda each: each.started_at or 0).name
        return super().handle(now, event)

    def choose_endpoint(self, names: Sequence[str]) -> str:
        return (
            self.newest
            if self.newest is not None and self.newest in names
            else super().choose_endpoint(names)
        )


@pytest.mark.parametrize(
    ("broken_policy", "rule", "changes"),
    [
        (_LosesRequests, "answers", {}),
        (_RespondsTwice, "answers", {}),
        (_AlwaysRetries, "effects", {"classes": [NON_IDEMPOTENT_CLASS], "faults": CRASHES}),
        (_AlwaysRetries, "effects", {"classes": [KEYED_CLASS], "faults": CRASHES}),
        (_RejectsExecuted, "effects", {"classes": [NON_IDEMPOTENT_CLASS], "faults": CRASHES}),
        (
            _PrefersNewest,
            "cold",
            {"classes": [IDEMPOTENT_CLASS], "faults": CRASHES, "load": {"utilisation": 0.6}},
        ),
    ],
    ids=lambda each: each.__name__ if isinstance(each, type) else None,
)
def test_history_checker_finds_violation_of_broken_policy(
    broken_policy: Any, rule: str, changes: dict[str, Any]
) -> None:
    correct = run_scenario(LeastOfTwo, **changes)
    assert correct.violation_counts[rule] == 0, correct.violations
    checker = run_scenario(broken_policy, **changes)
    assert checker.violation_counts[rule] > 0
    assert all(not count for name, count in checker.violation_counts.items() if name not in (rule, "effects"))


def test_history_checker_finds_drain_violation_if_sidecar_ignores_draining(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert run_scenario(LeastOfTwo, faults=DRAINS).violation_counts["drains"] == 0
    endpoints_received = VirtualSidecar.endpoints_received

    def active_endpoints_received(
        self: Any, update_kind: Any, entries: Any, version: int, incarnation: int
    ) -> None:
        endpoints_received(
            self,
            update_kind,
            [each for each in entries if each.state.value == "active"],
            version,
            incarnation,
        )

    monkeypatch.setattr(VirtualSidecar, "endpoints_received", active_endpoints_received)
    checker = run_scenario(LeastOfTwo, faults=DRAINS)
    assert checker.violation_counts["drains"] > 0
    assert "ms after notice of its drain" in checker.violations["drains"][0]


def test_history_checker_counts_sidecar_as_notified_if_it_does_not_poll() -> None:
    class NeverSubscribes(LeastOfTwo):
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            self._has_subscribed = True

    drains = [{"kind": "drain", "at_s": 1.0, "for_s": 1.0, "part": 0.4, "back_s": 30.0}]
    rules = {"ask_within_s": 2.0}
    # A draining server stays up for the longest deadline.
    long_deadline = [{**IDEMPOTENT_CLASS, "deadline_ms": 5_000.0}]
    assert (
        run_scenario(LeastOfTwo, faults=drains, rules=rules, classes=long_deadline).violation_counts["drains"]
        == 0
    )
    checker = run_scenario(NeverSubscribes, faults=drains, rules=rules, classes=long_deadline)
    assert checker.violation_counts["drains"] > 0
    assert "too long after its last poll" in checker.violations["drains"][0]


# The checker without a simulation: the limits of its rules


def _make_checker(**changes: Any) -> tuple[HistoryChecker, ServiceClass]:
    scenario = make_scenario(classes=[{**KEYED_CLASS, "window_ms": 4_000.0}], **changes)
    return HistoryChecker(scenario), scenario.classes[0]


def test_history_checker_accepts_late_response_within_slack_only() -> None:
    checker, service_class = _make_checker()
    for request, late_us in ((1, 50_000), (2, 50_001)):
        checker.request_received(request, 0, service_class, now=0, timeout_us=1_000_000)
        checker.response_received(request, 1_000_000 + late_us)
    checker.finish(10_000_000)
    assert checker.violation_counts["answers"] == 1
    assert "request 2" in checker.violations["answers"][0]


def test_history_checker_deduplicates_within_zone_and_window_only() -> None:
    checker, service_class = _make_checker()
    checker.request_received(1, 0, service_class, now=0, timeout_us=9_000_000)
    assert not checker.attempt_started(1, "a", 0, 0)
    assert checker.attempt_started(1, "a", 1, 4_000_000)
    assert checker.violation_counts["effects"] == 0
    assert not checker.attempt_started(1, "a", 1, 4_000_001)
    assert not checker.attempt_started(1, "b", 1, 5_000)
    assert checker.violation_counts["effects"] == 2


def test_history_checker_finds_violations_for_unknown_request() -> None:
    checker, _ = _make_checker()
    checker.attempt_started(9, "a", 0, 0)
    checker.response_received(9, 5)
    assert (checker.violation_counts["effects"], checker.violation_counts["answers"]) == (1, 1)


def test_history_checker_reports_overload_if_notified_sidecars_sent_two_thirds() -> None:
    for notified, violations in (((0,), 0), ((0, 1), 1)):
        checker, _ = _make_checker()
        for sidecar in notified:
            checker.sidecar_notified(sidecar, "s", is_draining=False, started_at=500, now=600)
        checker.server_overloaded("s", 500, {0: 1.0, 1: 1.0, 2: 1.0})
        assert checker.violation_counts["cold"] == violations


def test_history_checker_ends_drain_when_server_restarts() -> None:
    checker, _ = _make_checker()
    checker.sidecar_notified(0, "s", is_draining=True, started_at=None, now=0)
    checker.attempt_sent(0, "s", 300_000)
    assert checker.violation_counts["drains"] == 0
    checker.attempt_sent(0, "s", 300_001)
    assert checker.violation_counts["drains"] == 1
    checker.sidecar_notified(0, "s", is_draining=False, started_at=400_000, now=400_000)
    checker.attempt_sent(0, "s", 900_000)
    assert checker.violation_counts["drains"] == 1


def test_history_checker_expects_no_response_from_killed_sidecar() -> None:
    checker, service_class = _make_checker()
    checker.request_received(1, 0, service_class, now=0, timeout_us=1_000)
    checker.request_received(2, 1, service_class, now=0, timeout_us=1_000)
    checker.sidecar_killed(0)
    # Sent before the client noticed that the sidecar was killed.
    checker.request_received(3, 0, service_class, now=10, timeout_us=1_000)
    checker.sidecar_listening(0)
    checker.request_received(4, 0, service_class, now=20, timeout_us=1_000)
    checker.finish(10_000_000)
    assert checker.violations["answers"] == [f"request {number} got no response" for number in (2, 4)]
