"""Admission control and the concurrency limit under load."""

from __future__ import annotations

import random

from helpers import MS, S, Stage, names, settings

from tulipnotch.load_balancing.actions import CancelAttempt, RejectRequest
from tulipnotch.load_balancing.outcomes import Outcome


def _overload(stage: Stage, spans: int) -> set[int]:
    """Sends far more requests than the servers can serve; they respond later the more are in flight.

    Returns the requests of the class with lower priority, which is half of them. The order of the two classes
    alternates.
    """
    stage.servers(names(4))
    in_flight: list[int] = []
    low_priority: set[int] = set()
    for tick in range(spans):
        stage.wait(10 * MS)
        for name in ("look", "pay") if tick % 4 < 2 else ("pay", "look"):
            request = stage.request(name)
            if name == "look":
                low_priority.add(request)
            if stage.sends(request):
                in_flight.append(request)
        if tick % 2 and in_flight:  # one answer for four requests, oldest first
            request = in_flight.pop(0)
            if request in stage.balancer._requests and not stage.balancer._requests[request].is_responded:
                stage.end(request, attempt=0)
    return low_priority


def test_admission_control_rejects_low_priority_first_and_before_sending_in_a_surge() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.serve(200)
    low_priority = _overload(stage, 600)
    rejected = {each.request for each in stage.said(RejectRequest)}
    assert len(rejected) > 300
    assert len(low_priority & rejected) > 0.53 * len(rejected)
    unsent = [each.request for each in stage.said(RejectRequest) if not stage.sends(each.request)]
    assert len(unsent) > 0.5 * len(stage.said(RejectRequest))


def test_admission_control_admits_everything_after_overload_ends() -> None:
    stage = Stage()
    stage.serve(1)
    _overload(stage, 400)
    stage.wait(10 * S)
    for request in list(stage.balancer._requests.values()):
        for attempt in request.attempts:
            if attempt.is_pending:
                stage.end(request.request_id, Outcome.CANCELLED, attempt.index, answered=True)
    stage.wait(15 * S)  # what was given up on, up to 14 s old, counts for as long again
    stage.serve(300)  # a small window takes some aims to grow
    rejected_count = len(stage.said(RejectRequest))
    stage.serve(300)
    assert len(stage.said(RejectRequest)) == rejected_count


def test_admission_control_rejects_nothing_at_low_load() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.serve(800)
    assert stage.said(RejectRequest) == []
    assert stage.said(CancelAttempt) == []


def test_admission_control_of_small_balancer_rejects_some_requests_while_responses_are_late() -> None:
    stage = Stage()
    stage.servers(names(8))
    for _ in range(120):  # hardly ever two in flight, so a window of two would never refuse
        stage.wait(900 * MS)
        request = stage.request()
        if stage.sends(request):
            stage.wait(700 * MS)
            stage.end(request)
    rejected_count = len(stage.said(RejectRequest))
    assert 20 <= rejected_count < 120
    stage.wait(10 * S)
    stage.serve_singly(60)
    rejected_count = len(stage.said(RejectRequest))
    stage.serve_singly(60)
    assert len(stage.said(RejectRequest)) == rejected_count


def test_admission_control_of_small_balancer_admits_two_concurrent_requests() -> None:
    stage = Stage()
    stage.servers(names(8))
    stage.balancer._components.concurrency_limit.limit = 1.0
    stage.balancer._components.concurrency_limit._resized_at = stage.now
    for _ in range(10):
        pair = (stage.request(), stage.request())
        stage.wait(50 * MS)
        for request in pair:
            stage.end(request)
        stage.wait(900 * MS)
    assert not stage.said(RejectRequest)


def _rejections_with_reports(cores: float, seed: int) -> int:
    stage = Stage(seed=seed)
    stage.servers(names(8))
    rejected_count = 0
    for _ in range(300):
        stage.wait(60 * MS)
        request = stage.request()
        if stage.sends(request):
            stage.wait(550 * MS)
            stage.end(request, attempt=0, report={"util": cores})
        else:
            rejected_count += 1
    return rejected_count


def test_admission_control_admits_while_servers_report_idle_cores() -> None:
    seeds = range(7, 13)
    assert (
        sum(_rejections_with_reports(0.4, seed) for seed in seeds) < 5 * 6
    )  # the first come with no report yet
    assert all(_rejections_with_reports(1.0, seed) > 30 for seed in seeds)


def test_admission_control_ignores_reports_of_idle_cores_at_high_load() -> None:
    stage = Stage()
    stage.servers(names(8))
    in_flight: list[tuple[int, int]] = []
    for _ in range(600):
        stage.wait(10 * MS)
        request = stage.request()
        if stage.sends(request):
            in_flight.append((stage.now, request))
        while (
            in_flight and stage.now - in_flight[0][0] >= (550 if in_flight[0][1] % 8 == 0 else 300) * MS
        ):  # one in eight late
            stage.end(in_flight.pop(0)[1], attempt=0, report={"util": 0.5})
    assert len(stage.said(RejectRequest)) > 50


def test_admission_control_rejects_when_responses_stop_despite_reports_of_idle_cores() -> None:
    stage = Stage()
    stage.servers(names(8))
    for _ in range(20):
        stage.wait(50 * MS)
        request = stage.request()
        stage.wait(50 * MS)
        stage.end(request, attempt=0, report={"util": 0.3})
    for _ in range(400):
        stage.wait(20 * MS)
        stage.request("pay")  # none of these is ever answered
    assert len(stage.said(RejectRequest)) > 100


def test_admission_control_ignores_overloaded_responses_when_redraw_succeeds() -> None:
    stage = Stage()
    stage.servers(names(12))
    for _ in range(200):
        stage.wait(400 * MS)
        request = stage.request()
        stage.end(request, Outcome.OVERLOADED)
        stage.wait(50 * MS)
        stage.end(request)
    assert stage.said(RejectRequest) == []


def test_admission_control_counts_overloaded_responses_when_redraw_fails() -> None:
    stage = Stage(settings(limits={"max_attempts": 3}))
    stage.servers(names(12))
    unsent = 0
    for _ in range(100):
        stage.wait(400 * MS)
        request = stage.request()
        unsent += not stage.sends(request)
        while stage.balancer._requests.get(request) is not None:
            stage.wait(100 * MS)
            stage.end(request, Outcome.OVERLOADED)
    assert unsent > 20


def test_admission_control_of_small_balancer_rejects_little_when_responses_are_fast_but_variable() -> None:
    rejected_count = 0
    for seed in range(4):
        generator = random.Random(seed)
        stage = Stage(seed=seed)
        stage.servers(names(12))
        for _ in range(300):
            stage.wait(600 * MS)
            request = stage.request()
            if stage.sends(request):  # typically a tenth of the aim, one in forty beyond it
                stage.wait(min(int(50 * MS * generator.lognormvariate(0.0, 1.2)), 900 * MS))
                stage.end(request, attempt=0)
        rejected_count += len(stage.said(RejectRequest))
    assert rejected_count < 0.01 * 4 * 300
