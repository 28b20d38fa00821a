"""Locality weights: what goes to other zones."""

from __future__ import annotations

from helpers import MS, BalancerDriver, endpoint_names, make_settings

from tulipnotch.load_balancing.events import EndpointDescription


def _two_zones() -> list[EndpointDescription]:
    return [
        EndpointDescription(name, "east" if index < 4 else "west")
        for index, name in enumerate(endpoint_names(8))
    ]


def _remote_part(driver: BalancerDriver, near_us: int, far_us: int) -> float:
    driver.update_endpoints(_two_zones())
    near = set(endpoint_names(8)[:4])
    for _ in range(600):
        request = driver.receive_request()
        driver.advance(near_us if driver.last_endpoint(request) in near else far_us)
        driver.end_attempt(request)
    late = driver.started_attempts()[300:]
    return sum(1 for _, each in late if each.endpoint not in near) / len(late)


def test_locality_weights_prefer_own_zone_that_is_as_quick() -> None:
    spared = sum(
        _remote_part(
            BalancerDriver(make_settings(cost_weights={"cross_zone": 0.03}), seed=seed), 40 * MS, 44 * MS
        )
        for seed in range(5)
    )
    assert spared < 5 * 0.3


def test_locality_weights_leave_own_zone_that_is_slow() -> None:
    assert (
        _remote_part(BalancerDriver(make_settings(cost_weights={"cross_zone": 0.03})), 90 * MS, 40 * MS) > 0.5
    )


def _remote_part_of_small_balancer(price: float, taking_us: int) -> float:
    """The part of a small balancer's requests that leaves its zone; one server in four is in it."""
    far = 0
    for seed in range(6):
        driver = BalancerDriver(make_settings(cost_weights={"cross_zone": price}), seed=seed)
        driver.update_endpoints(
            [
                EndpointDescription(name, "east" if index % 4 == 0 else "west")
                for index, name in enumerate(endpoint_names(40))
            ]
        )
        near = set(endpoint_names(40)[::4])
        driver.run_sequential_traffic(150, taking_us)
        far += sum(each.endpoint not in near for _, each in driver.started_attempts()[50:])
    return far / (6 * 100)


def test_locality_weights_keep_subset_of_small_balancer_in_own_zone_at_a_cost() -> None:
    assert _remote_part_of_small_balancer(0.05, 40 * MS) < 0.4
    assert _remote_part_of_small_balancer(0.0, 40 * MS) > 0.6


def test_locality_weights_even_out_as_responses_get_slower() -> None:
    assert (
        _remote_part_of_small_balancer(0.05, 180 * MS) > _remote_part_of_small_balancer(0.05, 40 * MS) + 0.15
    )
