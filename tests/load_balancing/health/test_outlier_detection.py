"""Outlier detection: which endpoints are ejected, and how they are readmitted."""

from __future__ import annotations

from helpers import MS, S, Stage, names

from tulipnotch.load_balancing.actions import LogEvent
from tulipnotch.load_balancing.events import EndpointDescription, EndpointUpdateKind
from tulipnotch.load_balancing.outcomes import Outcome


def _with_one_unresponsive(stage: Stage, rounds: int) -> tuple[str, list[int]]:
    """Sends requests to healthy servers, except that one of them stops responding at some point."""
    stage.servers(names(6))
    stage.serve(120)
    first = stage.request()
    unresponsive = stage.target(first)
    pending = [first]
    for _ in range(rounds):
        stage.wait(10 * MS)
        request = stage.request()
        if stage.target(request) == unresponsive:
            pending.append(request)
        else:
            stage.wait(30 * MS)
            stage.end(request)
    return unresponsive, pending


def test_outlier_detection_ejects_unresponsive_endpoint_and_its_requests_are_hedged() -> None:
    stage = Stage()
    unresponsive, pending = _with_one_unresponsive(stage, 20)
    assert any(each.text.startswith(f"ejected {unresponsive}") for each in stage.said(LogEvent))
    attempts = [each.endpoint for _, each in stage.sends(pending[0])]
    assert len(attempts) > 1
    assert unresponsive not in attempts[1:]


def test_outlier_detection_readmits_by_one_probation_attempt() -> None:
    stage = Stage()
    unresponsive, pending = _with_one_unresponsive(stage, 20)
    before = len([1 for _, each in stage.sends() if each.endpoint == unresponsive])
    for request in pending:
        stage.end(request, Outcome.TIMED_OUT, attempt=0, answered=False)
    for _ in range(60):
        stage.wait(60 * MS)
        request = stage.request()
        if stage.target(request) != unresponsive:
            stage.end(request)
    trials = len([1 for _, each in stage.sends() if each.endpoint == unresponsive]) - before
    assert trials == 1
    trial = next(each.request for _, each in reversed(stage.sends()) if each.endpoint == unresponsive)
    stage.end(trial, attempt=0)
    assert stage.said(LogEvent)[-1].text == f"readmitted {unresponsive}"


def test_outlier_detection_ejects_few_when_all_are_unresponsive() -> None:
    stage = Stage()
    stage.servers(names(6))
    stage.serve(120)
    for _ in range(200):
        stage.request("pay")
        stage.wait(15 * MS)
    ejected = [each for each in stage.balancer._context.endpoints.values() if each.ejection is not None]
    assert len(ejected) <= 2


def test_outlier_detection_sends_few_requests_to_endpoint_with_fast_errors() -> None:
    stage = Stage()
    stage.servers(names(6))
    failing = names(6)[2]
    for _ in range(300):
        stage.wait(10 * MS)
        request = stage.request("pay")
        if stage.target(request) == failing:
            stage.end(request, Outcome.SERVER_ERROR)
        else:
            stage.wait(40 * MS)
            stage.end(request)
    assert sum(1 for _, each in stage.sends() if each.endpoint == failing) < 300 / 6


def test_outlier_detection_ignores_timeout_of_endpoint_that_responds_to_others() -> None:
    stage = Stage()
    stage.servers(names(1))
    for _ in range(6):
        stage.serve(60)
        old = stage.request("pay", remaining_us=S)
        stage.wait(900 * MS)
        new = stage.request("pay")
        stage.wait(50 * MS)
        stage.end(new)
        stage.wait(30 * MS)
        stage.end(old, Outcome.TIMED_OUT, answered=False)
    assert not any("ejected" in each.text for each in stage.said(LogEvent))


def test_outlier_detection_readmits_restarted_endpoint_which_warms_up() -> None:
    stage = Stage()
    unresponsive, _ = _with_one_unresponsive(stage, 20)
    stage.servers([EndpointDescription(unresponsive, "east", started_at=stage.now)], EndpointUpdateKind.DELTA)
    server = stage.balancer._context.endpoints[unresponsive]
    assert server.ejection is None
    assert stage.balancer._components.slow_start.is_warming_up(server)
