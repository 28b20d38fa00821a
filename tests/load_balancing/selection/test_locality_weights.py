"""Locality weights: the fraction of requests that goes to other zones."""

from __future__ import annotations

from helpers import MS, BalancerDriver, endpoint_names, make_settings

from tulipnotch.load_balancing.events import EndpointDescription


def _two_zones() -> list[EndpointDescription]:
    return [
        EndpointDescription(name, "east" if index < 4 else "west")
        for index, name in enumerate(endpoint_names(8))
    ]


def _remote_fraction(driver: BalancerDriver, local_us: int, remote_us: int) -> float:
    driver.update_endpoints(_two_zones())
    local = set(endpoint_names(8)[:4])
    for _ in range(600):
        request = driver.receive_request()
        driver.advance(local_us if driver.last_endpoint(request) in local else remote_us)
        driver.end_attempt(request)
    later = driver.started_attempts()[300:]
    return sum(1 for _, each in later if each.endpoint not in local) / len(later)


def test_locality_weights_prefer_own_zone_when_it_is_as_fast() -> None:
    remote_fractions = sum(
        _remote_fraction(
            BalancerDriver(make_settings(cost_weights={"cross_zone": 0.03}), seed=seed), 40 * MS, 44 * MS
        )
        for seed in range(5)
    )
    assert remote_fractions < 5 * 0.3


def test_locality_weights_prefer_other_zones_when_own_zone_is_slow() -> None:
    assert (
        _remote_fraction(BalancerDriver(make_settings(cost_weights={"cross_zone": 0.03})), 90 * MS, 40 * MS)
        > 0.5
    )


def _remote_fraction_of_small_balancer(cross_zone_cost: float, response_time_us: int) -> float:
    """Returns the fraction of a small balancer's requests that leave its zone; it has one server in four."""
    remote_count = 0
    for seed in range(6):
        driver = BalancerDriver(make_settings(cost_weights={"cross_zone": cross_zone_cost}), seed=seed)
        driver.update_endpoints(
            [
                EndpointDescription(name, "east" if index % 4 == 0 else "west")
                for index, name in enumerate(endpoint_names(40))
            ]
        )
        local = set(endpoint_names(40)[::4])
        driver.run_sequential_traffic(150, response_time_us)
        remote_count += sum(each.endpoint not in local for _, each in driver.started_attempts()[50:])
    return remote_count / (6 * 100)


def test_locality_weights_keep_subset_of_small_balancer_in_own_zone_when_cross_zone_costs() -> None:
    assert _remote_fraction_of_small_balancer(0.05, 40 * MS) < 0.4
    assert _remote_fraction_of_small_balancer(0.0, 40 * MS) > 0.6


def test_locality_weights_become_equal_as_responses_get_slower() -> None:
    assert (
        _remote_fraction_of_small_balancer(0.05, 180 * MS)
        > _remote_fraction_of_small_balancer(0.05, 40 * MS) + 0.15
    )
