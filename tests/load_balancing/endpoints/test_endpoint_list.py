"""Endpoint list: draining and missing endpoints get no requests from the update on."""

from __future__ import annotations

from helpers import BalancerDriver, endpoint_names

from tulipnotch.load_balancing.events import EndpointState, EndpointUpdateKind


def test_endpoint_list_excludes_draining_and_missing_endpoints_at_once() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(4))
    driver.drain_endpoint("10.0.0.1:80")
    driver.update_endpoints([*endpoint_names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        driver.receive_request()
    targets = {each.endpoint for _, each in driver.started_attempts()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_endpoint_list_uses_removed_endpoint_when_it_is_listed_again() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(["10.0.0.1:80"])
    driver.drain_endpoint("10.0.0.1:80", EndpointState.REMOVED)
    assert driver.started_attempts(driver.receive_request()) == []
    driver.update_endpoints(["10.0.0.1:80"], EndpointUpdateKind.DELTA)
    assert len(driver.started_attempts(driver.receive_request())) == 1
