"""Subset: the endpoints that a balancer sends requests to."""

from __future__ import annotations

from helpers import MS, Stage, names


def test_subset_of_small_balancer_is_small_and_is_replaced_when_drained() -> None:
    stage = Stage()
    stage.servers(names(60))
    stage.serve_singly(200)
    first = {each.endpoint for _, each in stage.sends()}
    assert 2 <= len(first) <= 8
    for endpoint in first:
        stage.drain(endpoint)
    stage.serve_singly(50)
    later = {each.endpoint for _, each in stage.sends()[200:]}
    assert later
    assert not later & first


def test_subset_of_busy_balancer_contains_all_endpoints() -> None:
    stage = Stage()
    stage.servers(names(30))
    stage.serve(2_000, every_us=5 * MS, taking_us=250 * MS)
    assert len({each.endpoint for _, each in stage.sends()}) == 30


def test_subset_differs_between_small_balancers() -> None:
    first: set[str] = set()
    for seed in range(12):
        stage = Stage(seed=seed)
        stage.servers(names(60))
        stage.serve_singly(20)
        first |= {each.endpoint for _, each in stage.sends()}
    assert len(first) > 25
