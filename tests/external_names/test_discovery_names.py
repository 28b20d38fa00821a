"""Discovery's list: calls, keys and states, in its answers and in what a sidecar is told before."""

from __future__ import annotations

import json
import re
from enum import Enum
from typing import Any

import pytest
from loopback import OK_RESPONSE, endpoint_entry, http_response, run_async, sidecar_harness, wait_until
from outside import ACTIONS, CONFIGURATION, adapter, decisions, faults, figures, put

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
LISTING = {"version": 41, "full": True, "servers": [ENTRY]}
STATES = ["active", "leaving", "left"]
NONSENSE: list[tuple[str, Any, str]] = [
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
def found(tmp_path_factory: pytest.TempPathFactory) -> list[dict[str, str]]:
    good = [put(LISTING, "servers[0].state", state) for state in STATES]
    listings = [*good, *(put(LISTING, path, value) for path, value, _ in NONSENSE)]
    texts = [json.dumps({**CONFIGURATION, "known": each}) for each in listings]
    return faults(tmp_path_factory.mktemp("found"), texts, ".json")


@pytest.mark.parametrize(("place", "text"), list(enumerate(each[2] for each in NONSENSE)))
def test_fault_of_a_listing_names_its_key(place: int, text: str, found: list[dict[str, str]]) -> None:
    place += len(STATES)
    assert found[place].keys() == {"known"}
    assert found[place]["known"].startswith(text)


@pytest.mark.parametrize(("place", "state"), list(enumerate(STATES)))
def test_state_is_known(place: int, state: str, found: list[dict[str, str]]) -> None:
    assert found[place] == {}, state


def test_entry_and_kinds_of_lists_reach_the_decisions(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> list[list[Any]]:
        heard = decisions(monkeypatch)
        async with sidecar_harness(config_overrides={"known": LISTING}) as harness:
            harness.discovery.servers = [ENTRY]
            await wait_until(lambda: len([each for each in heard.heard if each[-1] == 1]) > 0)
            harness.discovery.announce({**ENTRY, "cell": 4})
            await wait_until(lambda: len(heard.of(4)) > 0)
            return heard.heard

    known, *_, change = [each for each in run_async(work) if "s-5be2a07c" in each]
    kind, name, zone, machine, cell, state, nominal, started, version = known
    assert (name, zone, machine, cell, nominal) == ("s-5be2a07c", "east", "m2", 3, 1.5)
    assert (started, version) == (61_000_000, 41)
    assert (change[4], change[-1]) == (4, 2)
    # The words of the simulator for the same: a list from before is `cached`, an active server is `ready`.
    entry = ["s", "east", "m2", 0, "ready", 1]
    wire = decisions(monkeypatch, lambda values: []).heard
    settings = {"lanes": [{"name": "look", "giveUpUs": 2_000_000}]}
    hows = [["TARGETS", "sidecar-1", how, 0, 1] for how in ("cached", "delta")]
    adapter([["BEGIN", "sidecar-1", 7, settings], ["PAGE", 0, [entry]], *hows])
    cached, delta = wire
    assert kind is cached[0]
    assert change[0] is delta[0]
    assert state is cached[5]
    assert isinstance(state, Enum)


@pytest.mark.parametrize(
    ("state", "is_used", "members"), [("active", True, 2), ("leaving", False, 2), ("left", False, 1)]
)
def test_state_tells_whether_a_server_is_used(state: str, is_used: bool, members: int) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE) as harness:
            told = endpoint_entry("s-1", harness.servers[1].address, state=state, cell=9)
            harness.discovery.announce(told)
            figure = f"app.members={members}"
            await wait_until(lambda: harness.discovery.watch_responses.empty() and figure in figures(harness))
            if state != "active":
                await wait_until(lambda: len(harness.discovery.received_requests) > 2)
            for _ in range(30):
                assert (await harness.send_request()).status == 200
            assert (len(harness.servers[1].received_requests) > 0) == is_used
            assert len(harness.servers[0].received_requests) > 0

    run_async(work)


def test_list_is_asked_for_by_path_and_query() -> None:
    async def work() -> None:
        known = {"version": 41, "full": True, "servers": []}
        async with sidecar_harness(OK_RESPONSE, config_overrides={"known": known}, started=False) as harness:
            harness.discovery.version = 42
            await harness.sidecar.start()
            await wait_until(lambda: len(harness.discovery.received_requests) > 1)
            first, second = harness.discovery.received_requests[:2]
            assert (first.method, first.target) == ("GET", "/catalog/members?after=41&wait_ms=0")
            assert re.fullmatch(r"/catalog/members\?after=42&wait_ms=[1-9][0-9]*", second.target)
            assert list(first.headers) == ["host"]

    run_async(work)


def test_whole_list_is_asked_for_by_path_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        decisions(monkeypatch, lambda values: [ACTIONS["REFRESH"]()] if len(values) == 2 else [])
        async with sidecar_harness(servers_listed=False) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) > 0)
            assert harness.discovery.received_requests[0].target == "/catalog/members"

    run_async(work)


def test_new_servers_of_an_answer_are_used() -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as harness:
            listed = [{"id": "s-9", "addr": harness.servers[0].address, "state": "active"}]
            harness.discovery.watch_responses.put_nowait(
                http_response(json.dumps({"version": 7, "full": True, "servers": listed}).encode())
            )
            await wait_until(lambda: "app.members=1" in figures(harness))
            assert (await harness.send_request()).status == 200

    run_async(work)
