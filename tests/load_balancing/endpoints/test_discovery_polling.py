"""Discovery polling: when discovery is polled."""

from __future__ import annotations

import itertools

from helpers import MS, BalancerDriver, S, endpoint_names, make_settings

from tulipnotch.load_balancing.actions import FetchEndpoints, Subscribe
from tulipnotch.load_balancing.events import EndpointsUpdated, EndpointUpdateKind


def test_discovery_polling_subscribes_at_first_event() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(2), EndpointUpdateKind.CACHED)
    assert driver.actions_of_type(Subscribe) == [Subscribe(is_subscribed=True)]


def test_discovery_polling_sends_nothing_where_changes_are_pushed() -> None:
    driver = BalancerDriver(make_settings(discovery_mode="pushed"))
    driver.update_endpoints(endpoint_names(2), EndpointUpdateKind.CACHED)
    driver.advance(60 * S)
    driver.receive_request()
    assert driver.actions_of_type(Subscribe) == []
    assert driver.actions_of_type(FetchEndpoints) == []


def test_discovery_polling_backs_off_after_failed_polls() -> None:
    driver = BalancerDriver()
    polled_at = []
    driver.update_endpoints(endpoint_names(2), EndpointUpdateKind.CACHED)
    for _ in range(12):
        polled_at.append(driver.now)
        count = len(driver.actions_of_type(Subscribe))
        driver.handle(EndpointsUpdated(EndpointUpdateKind.FAILED))
        while len(driver.actions_of_type(Subscribe)) == count:
            driver.advance(5 * MS)
    waits = [later - earlier for earlier, later in itertools.pairwise(polled_at)]
    assert max(waits) < 10 * S / 2
    assert waits[-1] > 2 * waits[0]


def test_discovery_polling_repeats_poll_when_no_response_comes() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(2), EndpointUpdateKind.CACHED)
    driver.advance(10 * S)
    times = [at for at, each in driver.timed_actions if isinstance(each, Subscribe)]
    assert len(times) > 1
    assert all(later - earlier < 10 * S for earlier, later in itertools.pairwise(times))
