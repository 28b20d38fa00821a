"""The balancer under scripted events: one final response in time, and no duplicate effects."""

from __future__ import annotations

import pytest
from helpers import MS, START, S, Stage, names, settings

from tulipnotch.load_balancing.actions import CancelAttempt, FailRequest, RejectRequest
from tulipnotch.load_balancing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointDescription,
    EndpointState,
    EndpointUpdateKind,
)
from tulipnotch.load_balancing.outcomes import Outcome


def test_balancer_fails_request_before_its_deadline() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay", remaining_us=900 * MS)
    stage.wait(899 * MS)
    assert [each.request for each in stage.said(FailRequest)] == [request]


def test_balancer_does_nothing_after_final_response() -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("look", remaining_us=300 * MS)
    stage.wait(300 * MS)
    rejections = len(stage.said(RejectRequest))
    stage.end(request, Outcome.CANCELLED, answered=True)
    stage.wait(5 * S)
    assert rejections == 1
    assert len(stage.said(RejectRequest)) == 1
    assert len([1 for at, _ in stage.sends(request) if at > START + 300 * MS]) == 0


def test_balancer_rejects_request_without_remaining_time() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay", remaining_us=0)
    assert stage.sends(request) == []
    assert [each.request for each in stage.said(RejectRequest)] == [request]


def test_balancer_fails_request_at_once_when_last_attempt_ends() -> None:
    # Guards against a failure response that is held back until near the deadline, when its client has no time
    # left for a retry.
    stage = Stage()
    stage.servers(names(1))
    request = stage.request("pay", remaining_us=2 * S)
    stage.wait(20 * MS)
    actions = stage.end(request, Outcome.SERVER_ERROR)
    assert [each.request for each in actions if isinstance(each, FailRequest)] == [request]
    assert stage.now == START + 20 * MS


def test_balancer_rejects_request_without_endpoints() -> None:
    stage = Stage()
    request = stage.request("pay")
    assert [each.request for each in stage.said(RejectRequest)] == [request]


def test_balancer_rejects_request_when_no_attempts_are_permitted() -> None:
    stage = Stage(settings(limits={"max_attempts": 0}))
    stage.servers(names(3))
    request = stage.request("look")
    assert stage.sends(request) == []
    assert [each.request for each in stage.said(RejectRequest)] == [request]


def test_balancer_ignores_events_of_unknown_requests_and_attempts() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request()
    stage.end(request)
    before = len(stage.log)
    stage.play(ClientDisconnected(request))
    stage.play(ClientDisconnected(99))
    stage.play(AttemptEnded(99, 0, "10.0.0.1:80", Outcome.DELIVERED, 1, is_responded=True))
    stage.play(AttemptEnded(request, 7, "10.0.0.1:80", Outcome.DELIVERED, 1, is_responded=True))
    assert len(stage.log) == before


def test_balancer_cancels_attempt_of_disconnected_client() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.request("pay")
    stage.play(ClientDisconnected(request))
    stage.wait(3 * S)
    assert [each.request for each in stage.said(CancelAttempt)] == [request]
    assert stage.said(FailRequest) == []
    assert stage.said(RejectRequest) == []


@pytest.mark.parametrize(
    "outcome", [Outcome.SERVER_ERROR, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT, Outcome.CANCELLED]
)
def test_balancer_fails_non_idempotent_request_that_may_have_run(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(FailRequest)] == [request]
    assert stage.said(RejectRequest) == []


@pytest.mark.parametrize("outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT])
def test_balancer_retries_non_idempotent_request_that_was_not_executed(outcome: Outcome) -> None:
    stage = Stage()
    stage.servers(names(5))
    request = stage.request("pay")
    stage.wait(10 * MS)
    stage.end(request, outcome)
    targets = [each.endpoint for _, each in stage.sends(request)]
    assert len(targets) == 2
    assert targets[0] != targets[1]


def _cells() -> list[EndpointDescription]:
    return [EndpointDescription(name, zone="east", cell=index % 2) for index, name in enumerate(names(8))]


def test_balancer_retries_request_with_key_only_in_its_cell() -> None:
    for seed in range(20):
        stage = Stage(seed=seed)
        stage.servers(_cells())
        cell_of = {each.name: each.cell for each in _cells()}
        request = stage.request("amend")
        for _ in range(3):
            stage.wait(10 * MS)
            stage.end(request, Outcome.CONNECTION_LOST)
        targets = [each.endpoint for _, each in stage.sends(request)]
        assert len(targets) > 1
        assert len({cell_of[each] for each in targets}) == 1


def test_balancer_fails_request_with_key_after_its_deduplication_window() -> None:
    stage = Stage()
    stage.servers(_cells())
    request = stage.request("amend", remaining_us=4 * S)
    stage.wait(2 * S)
    stage.end(request, Outcome.CONNECTION_LOST)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(FailRequest)] == [request]


def test_balancer_cancels_before_retry_when_hedging_is_not_permitted() -> None:
    stage = Stage(settings(limits={"hedged_requests": False}))
    stage.servers(names(6))
    stage.serve(100)
    request = stage.request("look")
    unresponsive = stage.target(request)
    for _ in range(60):
        stage.wait(10 * MS)
        other = stage.request("look")
        if stage.target(other) != unresponsive:
            stage.end(other)
    assert [each.request for each in stage.said(CancelAttempt)][:1] == [request]
    assert len(stage.sends(request)) == 1
    stage.end(request, Outcome.CANCELLED, answered=False)
    assert len(stage.sends(request)) == 2


def test_start_attempt_rejects_draining_and_removed_endpoints() -> None:
    stage = Stage()
    stage.servers(names(3))
    request = stage.balancer._requests[stage.request()]
    server = next(
        each
        for each in stage.balancer._context.endpoints.values()
        if each is not request.attempts[0].endpoint
    )
    stage.drain(server.name, EndpointState.DRAINING)
    assert not stage.balancer._start_attempt(request, server)
    stage.servers([server.name], EndpointUpdateKind.DELTA)
    assert stage.balancer._start_attempt(request, server)
    stage.drain(server.name, EndpointState.REMOVED)
    other = stage.balancer._requests[stage.request()]
    assert not stage.balancer._start_attempt(other, server)


def test_start_attempt_rejects_hedged_request_unless_permitted() -> None:
    for allowed in (False, True):
        stage = Stage(settings(limits={"hedged_requests": allowed}))
        stage.servers(names(3))
        request = stage.balancer._requests[stage.request()]
        server = next(
            each
            for each in stage.balancer._context.endpoints.values()
            if each is not request.attempts[0].endpoint
        )
        assert stage.balancer._start_attempt(request, server) is allowed


def _stage_where_overloaded_proves_nothing() -> Stage:
    stage = Stage(settings(rules={"overloaded_may_have_run": True}))
    stage.servers(_cells())
    return stage


def test_balancer_fails_non_idempotent_request_when_overloaded_proves_nothing() -> None:
    stage = _stage_where_overloaded_proves_nothing()
    request = stage.request("pay")
    stage.end(request, Outcome.OVERLOADED)
    assert len(stage.sends(request)) == 1
    assert [each.request for each in stage.said(FailRequest)] == [request]
    assert stage.said(RejectRequest) == []


def test_balancer_retries_request_with_key_within_cell_and_window_when_overloaded_proves_nothing() -> None:
    cell_of = {each.name: each.cell for each in _cells()}
    for seed in range(20):
        stage = Stage(settings(rules={"overloaded_may_have_run": True}), seed=seed)
        stage.servers(_cells())
        request = stage.request("amend", remaining_us=4 * S)
        stage.end(request, Outcome.OVERLOADED)
        assert len({cell_of[each.endpoint] for _, each in stage.sends(request)}) == 1
        assert len(stage.sends(request)) == 2
        stage.wait(2 * S)
        stage.end(request, Outcome.OVERLOADED, answered=False)
        assert len(stage.sends(request)) == 2
        assert stage.said(RejectRequest) == []


def test_balancer_retries_idempotent_request_when_overloaded_proves_nothing() -> None:
    stage = _stage_where_overloaded_proves_nothing()
    request = stage.request("look")
    stage.end(request, Outcome.OVERLOADED)
    assert len(stage.sends(request)) == 2
