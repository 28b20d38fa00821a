"""Long operation: the balancer keeps little state, and ejects no server without reason."""

from __future__ import annotations

from helpers import MS, BalancerDriver, S, endpoint_names, make_settings

from tulipnotch.load_balancing.actions import FailRequest, LogEvent, RejectRequest
from tulipnotch.load_balancing.events import EndpointDescription, EndpointState, EndpointUpdateKind
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.load_balancing.settings import Idempotency


def _ejections(driver: BalancerDriver) -> list[str]:
    return [each.text for each in driver.actions_of_type(LogEvent) if each.text.startswith("ejected")]


def test_balancer_deletes_state_of_replaced_servers() -> None:
    # Guards against unbounded growth: request ids never repeat, and all servers are replaced again and again.
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
    assert len(balancer._requests) == len(balancer._components.load._abandoned_until) == 0
    assert len(balancer._components.timers) <= 2
    assert all(each.state is EndpointState.READY for each in balancer._components.outlier_detection._ejected)


def test_balancer_keeps_removed_endpoint_until_its_last_attempt_ends() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(1))
    request = driver.receive_request("pay")
    (endpoint,) = endpoint_names(1)
    driver.update_endpoints(
        [EndpointDescription(endpoint, state=EndpointState.REMOVED)], EndpointUpdateKind.DELTA
    )
    assert endpoint in driver.balancer._context.endpoints
    driver.end_attempt(request)
    assert driver.balancer._context.endpoints == {}
    assert driver.balancer._components.load.current() == 0


def test_balancer_ejects_endpoint_for_malformed_responses_only_without_valid_ones() -> None:
    # Guards against ejecting half the fleet for a network fault that damages responses of any server.
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    for number in range(60):
        request = driver.receive_request("pay")
        driver.advance(20 * MS)
        driver.end_attempt(request, Outcome.DELIVERED if number % 3 else Outcome.MALFORMED_RESPONSE)
    assert _ejections(driver) == []
    for _ in range(60):
        request = driver.receive_request("pay")
        driver.advance(20 * MS)
        driver.end_attempt(request, Outcome.MALFORMED_RESPONSE)
    assert any(each.endswith("spoilt") for each in _ejections(driver))


def test_balancer_treats_request_with_malformed_response_as_possibly_executed() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    for class_name in ("look", "pay"):
        request = driver.receive_request(class_name)
        driver.end_attempt(request, Outcome.MALFORMED_RESPONSE)
        is_retried = len(driver.started_attempts(request)) == 2
        assert is_retried == (
            driver.balancer._context.classes[class_name].idempotency is Idempotency.IDEMPOTENT
        )
    assert len(driver.actions_of_type(FailRequest)) == 1


def test_balancer_fails_request_and_ejects_no_endpoint_after_client_error() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    for _ in range(20):
        request = driver.receive_request()
        driver.end_attempt(request, Outcome.CLIENT_ERROR)
        assert len(driver.started_attempts(request)) == 1
    assert len(driver.actions_of_type(FailRequest)) == 20
    assert _ejections(driver) == []


def test_balancer_detects_no_overload_or_unresponsiveness_during_handshakes() -> None:
    # Guards against rejections in the first second after a start, when every connection is new and its first
    # response is late.
    def count_rejections(response_time_us: int, first_response_time_us: int) -> int:
        driver = BalancerDriver()
        driver.update_endpoints(endpoint_names(12))
        for round_ in range(8):
            requests = [driver.receive_request("pay") for _ in range(24)]
            driver.advance(first_response_time_us if round_ == 0 else response_time_us)
            for request in requests:
                if request in driver.balancer._requests:
                    driver.end_attempt(request)
        assert not any("silent" in each for each in _ejections(driver))
        return len(driver.actions_of_type(RejectRequest))

    assert count_rejections(30 * MS, 240 * MS) == 0
    assert count_rejections(700 * MS, 700 * MS) > 10


def test_balancer_advises_rejected_client_to_retry_within_latency_objective() -> None:
    for is_permitted, max_us in ((True, 2 * S), (True, 20 * MS), (False, 2 * S)):
        driver = BalancerDriver(
            make_settings(limits={"retry_after": is_permitted, "max_retry_after_us": max_us})
        )
        driver.update_endpoints([])
        for _ in range(20):
            driver.receive_request()
        advice = [each.retry_after_us for each in driver.actions_of_type(RejectRequest)]
        assert len(advice) == 20
        if is_permitted:
            assert all(0 < each <= min(max_us, 250 * MS) for each in advice)
        else:
            assert not any(advice)
