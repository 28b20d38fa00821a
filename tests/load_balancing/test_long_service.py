"""Long operation: the balancer keeps little state, and ejects no server without reason."""

from __future__ import annotations

from helpers import MS, S, Stage, names, settings

from tulipnotch.load_balancing.actions import FailRequest, LogEvent, RejectRequest
from tulipnotch.load_balancing.events import EndpointDescription, EndpointState, EndpointUpdateKind
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Idempotency


def _ejected(stage: Stage) -> list[str]:
    return [each.text for each in stage.said(LogEvent) if each.text.startswith("ejected")]


def test_balancer_deletes_state_of_replaced_servers() -> None:
    # Guards against unbounded growth: request ids never repeat, and all servers are replaced again and again.
    stage = Stage(settings(limits={"hedged_requests": False}))
    for round_ in range(200):
        stage.servers([f"{name}-{round_}" for name in names(5)])
        for _ in range(5):
            request = stage.request()
            stage.wait(20 * MS)
            while request in stage.balancer._requests:
                stage.end(request, Outcome.DELIVERED if round_ % 7 else Outcome.CONNECTION_LOST)
    stage.wait(20 * S)
    balancer = stage.balancer
    assert len(balancer._context.endpoints) == 5
    assert len(balancer._requests) == len(balancer._components.load._abandoned_until) == 0
    assert len(balancer._components.timers) <= 2
    assert all(each.state is EndpointState.READY for each in balancer._components.outlier_detection._ejected)


def test_balancer_keeps_removed_endpoint_until_its_last_attempt_ends() -> None:
    stage = Stage()
    stage.servers(names(1))
    request = stage.request("pay")
    (server,) = names(1)
    stage.servers([EndpointDescription(server, state=EndpointState.REMOVED)], EndpointUpdateKind.DELTA)
    assert server in stage.balancer._context.endpoints
    stage.end(request)
    assert stage.balancer._context.endpoints == {}
    assert stage.balancer._components.load.current() == 0


def test_balancer_ejects_endpoint_for_malformed_responses_only_without_valid_ones() -> None:
    # Guards against ejecting half the fleet for a network fault that damages responses of any server.
    stage = Stage()
    stage.servers(names(4))
    for number in range(60):
        request = stage.request("pay")
        stage.wait(20 * MS)
        stage.end(request, Outcome.DELIVERED if number % 3 else Outcome.MALFORMED_RESPONSE)
    assert _ejected(stage) == []
    for _ in range(60):
        request = stage.request("pay")
        stage.wait(20 * MS)
        stage.end(request, Outcome.MALFORMED_RESPONSE)
    assert any(each.endswith("spoilt") for each in _ejected(stage))


def test_balancer_treats_request_with_malformed_response_as_possibly_executed() -> None:
    stage = Stage()
    stage.servers(names(4))
    for kind in ("look", "pay"):
        request = stage.request(kind)
        stage.end(request, Outcome.MALFORMED_RESPONSE)
        again = len(stage.sends(request)) == 2
        assert again == (stage.balancer._context.classes[kind].idempotency is Idempotency.IDEMPOTENT)
    assert len(stage.said(FailRequest)) == 1


def test_balancer_fails_request_and_ejects_no_endpoint_after_client_error() -> None:
    stage = Stage()
    stage.servers(names(4))
    for _ in range(20):
        request = stage.request()
        stage.end(request, Outcome.CLIENT_ERROR)
        assert len(stage.sends(request)) == 1
    assert len(stage.said(FailRequest)) == 20
    assert _ejected(stage) == []


def test_balancer_detects_no_overload_or_unresponsiveness_during_handshakes() -> None:
    # Guards against rejections in the first second after a start, when every connection is new and its first
    # response is late.
    def refused(every_answer_us: int, first_answer_us: int) -> int:
        stage = Stage()
        stage.servers(names(12))
        for round_ in range(8):
            requests = [stage.request("pay") for _ in range(24)]
            stage.wait(first_answer_us if round_ == 0 else every_answer_us)
            for request in requests:
                if request in stage.balancer._requests:
                    stage.end(request)
        assert not any("silent" in each for each in _ejected(stage))
        return len(stage.said(RejectRequest))

    assert refused(30 * MS, 240 * MS) == 0
    assert refused(700 * MS, 700 * MS) > 10


def test_balancer_advises_rejected_client_to_retry_within_latency_objective() -> None:
    for allowed, most in ((True, 2 * S), (True, 20 * MS), (False, 2 * S)):
        stage = Stage(settings(limits={"retry_after": allowed, "max_retry_after_us": most}))
        stage.servers([])
        for _ in range(20):
            stage.request()
        advice = [each.retry_after_us for each in stage.said(RejectRequest)]
        assert len(advice) == 20
        if allowed:
            assert all(0 < each <= min(most, 250 * MS) for each in advice)
        else:
            assert not any(advice)
