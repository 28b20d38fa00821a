"""What a long life in service asks of the decisions: little kept, and no server blamed unjustly."""

from __future__ import annotations

from helpers import MS, BalancerDriver, S, endpoint_names, make_settings

from tulipnotch.load_balancing.actions import FailRequest, LogEvent, RejectRequest
from tulipnotch.load_balancing.events import EndpointDescription, EndpointState, EndpointUpdateKind
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Idempotency


def _ejected(driver: BalancerDriver) -> list[str]:
    return [each.text for each in driver.actions_of_type(LogEvent) if each.text.startswith("ejected")]


def test_balancer_retains_nothing_of_servers_that_were_replaced() -> None:
    # Guards against growth: every id is new, and all servers are replaced over and over.
    driver = BalancerDriver(make_settings(limits={"hedged_requests": False}))
    for round_ in range(200):
        driver.update_endpoints([f"{name}-{round_}" for name in endpoint_names(5)])
        for _ in range(5):
            request = driver.receive_request()
            driver.advance(20 * MS)
            while request in driver.balancer._requests:
                driver.end_attempt(request, Outcome.DELIVERED if round_ % 7 else Outcome.CONNECTION_LOST)
    driver.advance(20 * S)
    balancer = driver.balancer
    assert len(balancer._context.endpoints) == 5
    assert len(balancer._requests) == len(balancer._components.load._abandoned) == 0
    assert len(balancer._components.timers) <= 2
    assert all(each.state is EndpointState.READY for each in balancer._components.outlier_detection._ejected)


def test_removed_server_is_retained_until_its_last_attempt_has_ended() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(1))
    request = driver.receive_request("pay")
    (server,) = endpoint_names(1)
    driver.update_endpoints(
        [EndpointDescription(server, state=EndpointState.REMOVED)], EndpointUpdateKind.DELTA
    )
    assert server in driver.balancer._context.endpoints
    driver.end_attempt(request)
    assert driver.balancer._context.endpoints == {}
    assert driver.balancer._components.load.current() == 0


def test_malformed_responses_eject_a_server_only_when_it_gives_no_others() -> None:
    # Guards against ejecting half the fleet for noise on the way that meets any server alike.
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    for number in range(60):
        request = driver.receive_request("pay")
        driver.advance(20 * MS)
        driver.end_attempt(request, Outcome.DELIVERED if number % 3 else Outcome.MALFORMED_RESPONSE)
    assert _ejected(driver) == []
    for _ in range(60):
        request = driver.receive_request("pay")
        driver.advance(20 * MS)
        driver.end_attempt(request, Outcome.MALFORMED_RESPONSE)
    assert any(each.endswith("spoilt") for each in _ejected(driver))


def test_request_with_a_malformed_response_may_have_been_executed() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    for kind in ("look", "pay"):
        request = driver.receive_request(kind)
        driver.end_attempt(request, Outcome.MALFORMED_RESPONSE)
        again = len(driver.started_attempts(request)) == 2
        assert again == (driver.balancer._context.classes[kind].idempotency is Idempotency.IDEMPOTENT)
    assert len(driver.actions_of_type(FailRequest)) == 1


def test_request_fails_at_once_and_blames_no_server_after_a_client_error() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    for _ in range(20):
        request = driver.receive_request()
        driver.end_attempt(request, Outcome.CLIENT_ERROR)
        assert len(driver.started_attempts(request)) == 1
    assert len(driver.actions_of_type(FailRequest)) == 20
    assert _ejected(driver) == []


def test_handshakes_are_not_taken_for_overload_or_unresponsiveness() -> None:
    # Guards the first second after a start: every connection is new, and its first answer comes late.
    def refused(every_answer_us: int, first_answer_us: int) -> int:
        driver = BalancerDriver()
        driver.update_endpoints(endpoint_names(12))
        for round_ in range(8):
            requests = [driver.receive_request("pay") for _ in range(24)]
            driver.advance(first_answer_us if round_ == 0 else every_answer_us)
            for request in requests:
                if request in driver.balancer._requests:
                    driver.end_attempt(request)
        assert not any("silent" in each for each in _ejected(driver))
        return len(driver.actions_of_type(RejectRequest))

    assert refused(30 * MS, 240 * MS) == 0
    assert refused(700 * MS, 700 * MS) > 10


def test_rejected_client_is_advised_to_retry_within_its_latency_objective() -> None:
    for allowed, most in ((True, 2 * S), (True, 20 * MS), (False, 2 * S)):
        driver = BalancerDriver(make_settings(limits={"retry_after": allowed, "max_retry_after_us": most}))
        driver.update_endpoints([])
        for _ in range(20):
            driver.receive_request()
        advice = [each.retry_after_us for each in driver.actions_of_type(RejectRequest)]
        assert len(advice) == 20
        if allowed:
            assert all(0 < each <= min(most, 250 * MS) for each in advice)
        else:
            assert not any(advice)
