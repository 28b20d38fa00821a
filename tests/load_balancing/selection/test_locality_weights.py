"""Locality weights: the fraction of requests that goes to other zones."""

from __future__ import annotations

from helpers import MS, Stage, names, settings

from tulipnotch.load_balancing.events import EndpointDescription


def _two_zones() -> list[EndpointDescription]:
    return [EndpointDescription(name, "east" if index < 4 else "west") for index, name in enumerate(names(8))]


def _remote_fraction(stage: Stage, near_us: int, far_us: int) -> float:
    stage.servers(_two_zones())
    near = set(names(8)[:4])
    for _ in range(600):
        request = stage.request()
        stage.wait(near_us if stage.target(request) in near else far_us)
        stage.end(request)
    late = stage.sends()[300:]
    return sum(1 for _, each in late if each.endpoint not in near) / len(late)


def test_locality_weights_prefer_own_zone_when_it_is_as_fast() -> None:
    spared = sum(
        _remote_fraction(Stage(settings(cost_weights={"cross_zone": 0.03}), seed=seed), 40 * MS, 44 * MS)
        for seed in range(5)
    )
    assert spared < 5 * 0.3


def test_locality_weights_prefer_other_zones_when_own_zone_is_slow() -> None:
    assert _remote_fraction(Stage(settings(cost_weights={"cross_zone": 0.03})), 90 * MS, 40 * MS) > 0.5


def _remote_fraction_of_small_balancer(price: float, taking_us: int) -> float:
    """Returns the fraction of a small balancer's requests that leave its zone; it has one server in four."""
    far = 0
    for seed in range(6):
        stage = Stage(settings(cost_weights={"cross_zone": price}), seed=seed)
        stage.servers(
            [
                EndpointDescription(name, "east" if index % 4 == 0 else "west")
                for index, name in enumerate(names(40))
            ]
        )
        near = set(names(40)[::4])
        stage.serve_singly(150, taking_us)
        far += sum(each.endpoint not in near for _, each in stage.sends()[50:])
    return far / (6 * 100)


def test_locality_weights_keep_subset_of_small_balancer_in_own_zone_when_cross_zone_costs() -> None:
    assert _remote_fraction_of_small_balancer(0.05, 40 * MS) < 0.4
    assert _remote_fraction_of_small_balancer(0.0, 40 * MS) > 0.6


def test_locality_weights_become_equal_as_responses_get_slower() -> None:
    assert (
        _remote_fraction_of_small_balancer(0.05, 180 * MS)
        > _remote_fraction_of_small_balancer(0.05, 40 * MS) + 0.15
    )
