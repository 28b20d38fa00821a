"""Pins discovery: requests, keys and states, in its responses and in the list of the configuration."""

from __future__ import annotations

import json
import re
from enum import Enum
from typing import Any

import pytest
from loopback import OK_RESPONSE, endpoint_entry, http_response, run_async, sidecar_harness, wait_until
from outside import (
    ACTIONS_BY_WIRE_NAME,
    CONFIGURATION,
    check_files,
    install_recording_balancer,
    run_adapter_batches,
    telemetry_lines,
    with_value,
)

ENTRY: dict[str, Any] = {
    "id": "s-5be2a07c",
    "addr": "10.1.0.18:8081",
    "zone": "east",
    "kind": "m2",
    "cell": 3,
    "state": "active",
    "weight": 1.5,
    "started_ms": 61_000,
}
ENDPOINT_LIST = {"version": 41, "full": True, "servers": [ENTRY]}
STATES = ["active", "leaving", "left"]
INVALID_VALUES: list[tuple[str, Any, str]] = [
    ("version", "x", "version: "),
    ("full", "x", "full: "),
    ("servers", "x", "servers: "),
    ("servers[0].id", 5, "servers: an id is needed"),
    ("servers[0].addr", 5, "address:port is needed"),
    ("servers[0].zone", 5, "servers: zone: "),
    ("servers[0].kind", 5, "servers: kind: "),
    ("servers[0].cell", "x", "servers: cell: "),
    ("servers[0].state", "ready", "servers: unknown state 'ready'"),
    ("servers[0].weight", "x", "servers: weight: "),
    ("servers[0].started_ms", "x", "servers: started_ms: "),
]


@pytest.fixture(scope="module")
def reported_faults(tmp_path_factory: pytest.TempPathFactory) -> list[dict[str, str]]:
    valid_lists = [with_value(ENDPOINT_LIST, "servers[0].state", state) for state in STATES]
    endpoint_lists = [
        *valid_lists,
        *(with_value(ENDPOINT_LIST, path, value) for path, value, _ in INVALID_VALUES),
    ]
    texts = [json.dumps({**CONFIGURATION, "known": each}) for each in endpoint_lists]
    return check_files(tmp_path_factory.mktemp("checked"), texts, ".json")


@pytest.mark.parametrize(("index", "text"), list(enumerate(each[2] for each in INVALID_VALUES)))
def test_check_reports_key_of_invalid_endpoint_list(
    index: int, text: str, reported_faults: list[dict[str, str]]
) -> None:
    index += len(STATES)
    assert reported_faults[index].keys() == {"known"}
    assert reported_faults[index]["known"].startswith(text)


@pytest.mark.parametrize(("index", "state"), list(enumerate(STATES)))
def test_check_accepts_endpoint_state(index: int, state: str, reported_faults: list[dict[str, str]]) -> None:
    assert reported_faults[index] == {}, state


def test_entry_and_kind_of_endpoint_list_reach_the_balancer(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> list[list[Any]]:
        balancer = install_recording_balancer(monkeypatch)
        async with sidecar_harness(config_overrides={"known": ENDPOINT_LIST}) as harness:
            harness.discovery.servers = [ENTRY]
            await wait_until(lambda: len([each for each in balancer.received_events if each[-1] == 1]) > 0)
            harness.discovery.announce({**ENTRY, "cell": 4})
            await wait_until(lambda: len(balancer.events_with_value(4)) > 0)
            return balancer.received_events

    known, *_, change = [each for each in run_async(scenario) if "s-5be2a07c" in each]
    update_kind, name, zone, machine_type, cell, state, weight, started_us, version = known
    assert (name, zone, machine_type, cell, weight) == ("s-5be2a07c", "east", "m2", 3, 1.5)
    assert (started_us, version) == (61_000_000, 41)
    assert (change[4], change[-1]) == (4, 2)
    # The simulator's terms for the same: a list of the configuration is `cached`, an active server `ready`.
    entry = ["s", "east", "m2", 0, "ready", 1]
    wire_events = install_recording_balancer(monkeypatch, lambda values: []).received_events
    settings = {"lanes": [{"name": "look", "giveUpUs": 2_000_000}]}
    updates = [["TARGETS", "sidecar-1", wire_kind, 0, 1] for wire_kind in ("cached", "delta")]
    run_adapter_batches([["BEGIN", "sidecar-1", 7, settings], ["PAGE", 0, [entry]], *updates])
    cached, delta = wire_events
    assert update_kind is cached[0]
    assert change[0] is delta[0]
    assert state is cached[5]
    assert isinstance(state, Enum)


@pytest.mark.parametrize(
    ("state", "is_used", "member_count"), [("active", True, 2), ("leaving", False, 2), ("left", False, 1)]
)
def test_endpoint_state_decides_whether_server_is_used(state: str, is_used: bool, member_count: int) -> None:
    async def scenario() -> None:
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE) as harness:
            entry = endpoint_entry("s-1", harness.servers[1].address, state=state, cell=9)
            harness.discovery.announce(entry)
            member_metric = f"app.members={member_count}"
            await wait_until(
                lambda: (
                    harness.discovery.watch_responses.empty() and member_metric in telemetry_lines(harness)
                )
            )
            if state != "active":
                await wait_until(lambda: len(harness.discovery.received_requests) > 2)
            for _ in range(30):
                assert (await harness.send_request()).status == 200
            assert (len(harness.servers[1].received_requests) > 0) == is_used
            assert len(harness.servers[0].received_requests) > 0

    run_async(scenario)


def test_endpoint_list_is_polled_by_path_and_query() -> None:
    async def scenario() -> None:
        known = {"version": 41, "full": True, "servers": []}
        async with sidecar_harness(OK_RESPONSE, config_overrides={"known": known}, started=False) as harness:
            harness.discovery.version = 42
            await harness.sidecar.start()
            await wait_until(lambda: len(harness.discovery.received_requests) > 1)
            first, second = harness.discovery.received_requests[:2]
            assert (first.method, first.target) == ("GET", "/catalog/members?after=41&wait_ms=0")
            assert re.fullmatch(r"/catalog/members\?after=42&wait_ms=[1-9][0-9]*", second.target)
            assert list(first.headers) == ["host"]

    run_async(scenario)


def test_complete_endpoint_list_is_fetched_by_path_without_query(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        install_recording_balancer(
            monkeypatch, lambda values: [ACTIONS_BY_WIRE_NAME["REFRESH"]()] if len(values) == 2 else []
        )
        async with sidecar_harness(servers_listed=False) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) > 0)
            assert harness.discovery.received_requests[0].target == "/catalog/members"

    run_async(scenario)


def test_new_servers_of_a_watch_response_are_used() -> None:
    async def scenario() -> None:
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as harness:
            servers = [{"id": "s-9", "addr": harness.servers[0].address, "state": "active"}]
            harness.discovery.watch_responses.put_nowait(
                http_response(json.dumps({"version": 7, "full": True, "servers": servers}).encode())
            )
            await wait_until(lambda: "app.members=1" in telemetry_lines(harness))
            assert (await harness.send_request()).status == 200

    run_async(scenario)
