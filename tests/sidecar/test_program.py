"""The process of a sidecar as it is deployed: configuration, signals and exit codes."""

from __future__ import annotations

import json
import signal
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    CLASSES,
    HOST,
    OK,
    Heard,
    ScriptedDiscovery,
    ScriptedServer,
    holding,
    line,
    play,
    request,
    soon,
    until,
)
from running import GOOD, program, started, started_in_vain, until_says


def _without(key: str) -> dict[str, Any]:
    return {name: value for name, value in GOOD.items() if name != key}


@pytest.mark.parametrize(
    ("given", "key"),
    [
        ("", "BALANCER_CONFIG"),
        ("[1]", "BALANCER_CONFIG"),
        (_without("name"), "name"),
        ({**GOOD, "listen": "localhost:80"}, "listen"),
        ({**GOOD, "discovery": 5}, "discovery"),
        ({**GOOD, "control": "nowhere"}, "control"),
        ({**GOOD, "seed": "xyz"}, "seed"),
        ({**GOOD, "limits": {"sockets": 3}}, "limits.sockets"),
        ({**GOOD, "known": {"version": 1}}, "known: full"),
        ({**GOOD, "peers": ["nowhere"]}, "peers[0]"),
        ({**GOOD, "peer_listen": "x"}, "peer_listen"),
        (_without("settings"), "settings"),
        ({**GOOD, "settings": {"lanes": []}}, "settings.lanes"),
        (
            {**GOOD, "settings": {"lanes": CLASSES, "bounds": {"sendCap": "x"}}},
            "settings.bounds.sendCap",
        ),
    ],
)
def test_program_names_the_key_on_one_line_for_an_invalid_configuration(
    given: object, key: str, tmp_path: Path
) -> None:
    said = started_in_vain(tmp_path, given if isinstance(given, str) else json.dumps(given))
    assert said.startswith(f"tulipnotch: config: {key}")


def test_program_responds_to_open_and_new_requests_after_sigterm_and_exits_with_0(tmp_path: Path) -> None:
    # No request is lost at a restart: received before SIGTERM, on open connections, and on new ones.
    async def work() -> None:
        release, hold = holding()
        async with program(hold, tmp_path) as running:
            early, idle = await running.client(), await running.client()
            early.send(request("lodge"))
            await until(lambda: len(running.server.heard) == 1)
            assert await running.call("readyz") == ["+OK ready"]
            running.process.send_signal(signal.SIGTERM)
            await until_says(running, "-ERR stopping")
            assert await soon(idle.reader.read()) == b""  # an idle connection is closed
            late = await running.client()
            late.send(request("lodge"))
            await until(lambda: len(running.server.heard) == 2)
            release.set()
            for client in (early, late):
                response = await client.answer()
                assert (response.status, response.headers["connection"]) == (200, "close")
                assert await soon(client.reader.read()) == b""
            assert await soon(running.process.wait()) == 0

    play(work)


def test_program_responds_in_time_after_sigterm_while_a_server_is_unresponsive(tmp_path: Path) -> None:
    # SIGKILL follows SIGTERM before the deadline of this request.
    async def work() -> None:
        async def unresponsive(_: Heard) -> None:
            return None

        async with program(unresponsive, tmp_path) as running:
            client = await running.client()
            client.send(request("lodge", timeout="30"))
            await until(lambda: len(running.server.heard) == 1)
            running.process.send_signal(signal.SIGTERM)
            response = await client.answer()
            assert (response.status, response.headers["connection"]) == (504, "close")
            assert await soon(running.process.wait()) == 0

    play(work)


def test_program_uses_a_new_discovery_after_sighup_and_ignores_an_invalid_file(tmp_path: Path) -> None:
    async def work() -> None:
        async with program(OK, tmp_path) as running:
            assert (await (await running.client()).ask("lodge")).status == 200
            other = await ScriptedServer(OK).start()
            discovery = ScriptedDiscovery()
            discovery.version = 0  # it counts its own versions, and begins anew
            discovery.servers = [line("s-2", other.address)]
            await discovery.start()
            given = json.loads(running.config.read_text())
            running.config.write_text("{")
            running.process.send_signal(signal.SIGHUP)
            assert (
                "reload rejected, the previous configuration stays in force: BALANCER_CONFIG"
                in await running.says()
            )
            assert (await (await running.client()).ask("lodge")).status == 200
            assert len(running.server.heard) == 2
            running.config.write_text(json.dumps({**given, "discovery": discovery.address, "seed": "1"}))
            running.process.send_signal(signal.SIGHUP)
            said = await running.says()
            assert said == f"reloaded: discovery at {discovery.address}; only a restart takes up seed\n"
            await until(lambda: len(discovery.heard) >= 2)  # the list, then the watch
            assert (await (await running.client()).ask("lodge")).status == 200
            assert len(other.heard) == 1
            other.stop()
            discovery.stop()

    play(work)


def test_program_exits_with_1_if_an_address_is_in_use(tmp_path: Path) -> None:
    async def work() -> None:
        async with program(OK, tmp_path) as running:
            path = tmp_path / "second.json"
            for key, port in (("listen", running.port), ("control", running.control_port)):
                path.write_text(json.dumps({**GOOD, "control": None, key: f"{HOST}:{port}"}))
                second = await started(path)
                _, said = await soon(second.communicate())
                assert second.returncode == 1
                assert said.startswith(b"tulipnotch: can't listen: ")
                assert said.count(b"\n") == 1

    play(work)


def test_program_is_evacuated_and_activated_through_its_control_endpoint(tmp_path: Path) -> None:
    async def work() -> None:
        async with program(OK, tmp_path) as running:
            assert (await (await running.client()).ask("lodge")).status == 200
            assert "app.downstream_requests.lodge.completed=1" in await running.call("telemetry")
            assert await running.call("evacuate") == ["+OK evacuating"]
            assert await running.call("readyz") == ["-ERR evacuating"]
            assert (await (await running.client()).ask("lodge")).headers["connection"] == "close"
            assert await running.call("activate") == ["+OK serving"]
            assert await running.call("readyz") == ["+OK ready"]
            assert "connection" not in (await (await running.client()).ask("lodge")).headers
            assert (await running.call("telemetry"))[-1] == "."

    play(work)
