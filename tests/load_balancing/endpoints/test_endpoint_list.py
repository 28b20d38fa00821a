"""Endpoint list: draining and missing endpoints get no requests from the update on."""

from __future__ import annotations

from helpers import Stage, names

from tulipnotch.load_balancing.events import EndpointState, EndpointUpdateKind


def test_endpoint_list_excludes_draining_and_missing_endpoints_at_once() -> None:
    stage = Stage()
    stage.servers(names(4))
    stage.drain("10.0.0.1:80")
    stage.servers([*names(3)[1:], "10.0.0.9:80"])
    for _ in range(100):
        stage.request()
    targets = {each.endpoint for _, each in stage.sends()}
    assert targets == {"10.0.0.2:80", "10.0.0.3:80", "10.0.0.9:80"}


def test_endpoint_list_uses_removed_endpoint_when_it_is_listed_again() -> None:
    stage = Stage()
    stage.servers(["10.0.0.1:80"])
    stage.drain("10.0.0.1:80", EndpointState.REMOVED)
    assert stage.sends(stage.request()) == []
    stage.servers(["10.0.0.1:80"], EndpointUpdateKind.DELTA)
    assert len(stage.sends(stage.request())) == 1
