"""Idle connections: when they are closed, and when they are the cause of missing responses."""

from __future__ import annotations

import pytest
from helpers import MS, S, Stage, names, settings

from tulipnotch.load_balancing.actions import CloseIdleConnections, LogEvent
from tulipnotch.load_balancing.events import EndpointDescription, EndpointState, EndpointUpdateKind
from tulipnotch.load_balancing.outcomes import Outcome


def test_idle_connections_close_when_endpoint_drains_and_when_its_attempts_end() -> None:
    stage = Stage(settings(rules={"close_idle_within_us": 500 * MS}))
    stage.servers(names(1))
    request = stage.request("pay")
    stage.drain("10.0.0.1:80")
    assert stage.said(CloseIdleConnections) == [CloseIdleConnections("10.0.0.1:80")]
    stage.drain("10.0.0.1:80")  # heard before: nothing was used since
    assert len(stage.said(CloseIdleConnections)) == 1
    stage.drain("10.0.0.1:80", EndpointState.REMOVED)
    assert len(stage.said(CloseIdleConnections)) == 2
    stage.wait(S)
    stage.end(request)
    assert len(stage.said(CloseIdleConnections)) == 3


@pytest.mark.parametrize("kind", [EndpointUpdateKind.COMPLETE, EndpointUpdateKind.CACHED])
def test_idle_connections_close_for_complete_list_only_while_endpoint_drains(
    kind: EndpointUpdateKind,
) -> None:
    stage = Stage(settings(rules={"close_idle_within_us": 500 * MS}))
    stage.servers(names(2))
    stage.servers(
        [names(2)[1], EndpointDescription("10.0.0.1:80", "east", state=EndpointState.DRAINING)], kind
    )
    assert stage.said(CloseIdleConnections) == [CloseIdleConnections("10.0.0.1:80")]
    stage.servers(names(2), kind)
    for _ in range(10):
        stage.end(stage.request())
    assert len(stage.said(CloseIdleConnections)) == 1


def test_idle_connections_stay_open_when_no_rule_closes_them() -> None:
    stage = Stage()
    stage.servers(names(2))
    stage.drain("10.0.0.1:80")
    assert stage.said(CloseIdleConnections) == []


def _with_stale_connections(stage: Stage, count: int) -> list[int]:
    """Models connections that are dead after a second without use; returns the requests lost on them."""
    stage.servers(names(12))
    last_used: dict[str, int] = {}
    lost_requests: list[int] = []
    for _ in range(count):
        stage.wait(350 * MS)
        seen = len(stage.log)
        request = stage.request("pay")
        for close in [each for _, each in stage.log[seen:] if isinstance(each, CloseIdleConnections)]:
            last_used.pop(close.endpoint, None)
        for old in lost_requests:  # given up at its deadline, and so called off
            if stage.balancer._requests.get(old) is not None and stage.balancer._requests[old].is_responded:
                stage.end(old, Outcome.CANCELLED, answered=True)
        if not stage.sends(request):
            continue
        target = stage.target(request)
        if stage.now - last_used.get(target, stage.now) > S:
            lost_requests.append(request)
            last_used.pop(target)
            continue
        stage.wait(50 * MS)
        stage.end(request, attempt=0)
        last_used[target] = stage.now
    return lost_requests


def test_idle_connections_that_are_stale_are_closed_and_eject_no_endpoint() -> None:
    lost_requests = closed = 0
    for seed in range(4):
        stage = Stage(seed=seed)
        lost_requests += len(_with_stale_connections(stage, 300))
        closed += len(stage.said(CloseIdleConnections))
        assert not any("ejected" in each.text for each in stage.said(LogEvent))
    assert lost_requests < 20
    assert closed > 20


def test_idle_connections_that_work_stay_open() -> None:
    stage = Stage()
    stage.servers(names(12))
    stage.serve_singly(200)
    assert stage.said(CloseIdleConnections) == []
