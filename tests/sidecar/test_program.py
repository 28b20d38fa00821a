"""The sidecar process as it is deployed: configuration, signals and exit codes."""

from __future__ import annotations

import json
import signal
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    HOST,
    OK_RESPONSE,
    SERVICE_CLASSES,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    blocking_script,
    endpoint_entry,
    http_request,
    run_async,
    wait_until,
    within_timeout,
)
from running import VALID_CONFIG, run_expecting_failure, sidecar_with_server, start_process, wait_for_readyz


def _valid_config_without(key: str) -> dict[str, Any]:
    return {name: value for name, value in VALID_CONFIG.items() if name != key}


@pytest.mark.parametrize(
    ("config", "key"),
    [
        ("", "BALANCER_CONFIG"),
        ("[1]", "BALANCER_CONFIG"),
        (_valid_config_without("name"), "name"),
        ({**VALID_CONFIG, "listen": "localhost:80"}, "listen"),
        ({**VALID_CONFIG, "discovery": 5}, "discovery"),
        ({**VALID_CONFIG, "control": "nowhere"}, "control"),
        ({**VALID_CONFIG, "seed": "xyz"}, "seed"),
        ({**VALID_CONFIG, "limits": {"sockets": 3}}, "limits.sockets"),
        ({**VALID_CONFIG, "known": {"version": 1}}, "known: full"),
        ({**VALID_CONFIG, "peers": ["nowhere"]}, "peers[0]"),
        ({**VALID_CONFIG, "peer_listen": "x"}, "peer_listen"),
        (_valid_config_without("settings"), "settings"),
        ({**VALID_CONFIG, "settings": {"lanes": []}}, "settings.lanes"),
        (
            {**VALID_CONFIG, "settings": {"lanes": SERVICE_CLASSES, "bounds": {"sendCap": "x"}}},
            "settings.bounds.sendCap",
        ),
    ],
)
def test_program_names_the_key_on_one_line_for_an_invalid_configuration(
    config: object, key: str, tmp_path: Path
) -> None:
    stderr = run_expecting_failure(tmp_path, config if isinstance(config, str) else json.dumps(config))
    assert stderr.startswith(f"tulipnotch: config: {key}")


def test_program_responds_to_open_and_new_requests_after_sigterm_and_exits_with_0(tmp_path: Path) -> None:
    # Guards against losing a request at a restart: one received before SIGTERM, or one that arrives later on
    # an open or a new connection.
    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_with_server(hold, tmp_path) as running:
            early_client, idle_client = await running.connect(), await running.connect()
            early_client.send(http_request("lodge"))
            await wait_until(lambda: len(running.server.received_requests) == 1)
            assert await running.send_command("readyz") == ["+OK ready"]
            running.process.send_signal(signal.SIGTERM)
            await wait_for_readyz(running, "-ERR stopping")
            assert await within_timeout(idle_client.reader.read()) == b""  # idle connections are closed
            late_client = await running.connect()
            late_client.send(http_request("lodge"))
            await wait_until(lambda: len(running.server.received_requests) == 2)
            release.set()
            for client in (early_client, late_client):
                response = await client.read_response()
                assert (response.status, response.headers["connection"]) == (200, "close")
                assert await within_timeout(client.reader.read()) == b""
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)


def test_program_responds_in_time_after_sigterm_while_a_server_is_unresponsive(tmp_path: Path) -> None:
    # SIGKILL would follow SIGTERM before the deadline of this request.
    async def work() -> None:
        async def unresponsive(_: ReceivedRequest) -> None:
            return None

        async with sidecar_with_server(unresponsive, tmp_path) as running:
            client = await running.connect()
            client.send(http_request("lodge", timeout="30"))
            await wait_until(lambda: len(running.server.received_requests) == 1)
            running.process.send_signal(signal.SIGTERM)
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (504, "close")
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)


def test_program_uses_a_new_discovery_after_sighup_and_ignores_an_invalid_file(tmp_path: Path) -> None:
    async def work() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            assert (await (await running.connect()).send_request("lodge")).status == 200
            other_server = await ScriptedServer(OK_RESPONSE).start()
            discovery = ScriptedDiscovery()
            discovery.version = 0  # versions of another discovery server are independent and start again
            discovery.servers = [endpoint_entry("s-2", other_server.address)]
            await discovery.start()
            valid = json.loads(running.config_path.read_text())
            running.config_path.write_text("{")
            running.process.send_signal(signal.SIGHUP)
            assert (
                "reload rejected, the previous configuration stays in force: BALANCER_CONFIG"
                in await running.read_log_line()
            )
            assert (await (await running.connect()).send_request("lodge")).status == 200
            assert len(running.server.received_requests) == 2
            running.config_path.write_text(json.dumps({**valid, "discovery": discovery.address, "seed": "1"}))
            running.process.send_signal(signal.SIGHUP)
            log_line = await running.read_log_line()
            assert (
                log_line == f"reloaded: discovery at {discovery.address}; a restart is needed to apply seed\n"
            )
            await wait_until(lambda: len(discovery.received_requests) >= 2)  # the list, then the watch
            assert (await (await running.connect()).send_request("lodge")).status == 200
            assert len(other_server.received_requests) == 1
            other_server.stop()
            discovery.stop()

    run_async(work)


def test_program_exits_with_1_if_an_address_is_in_use(tmp_path: Path) -> None:
    async def work() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            path = tmp_path / "second.json"
            for key, port in (("listen", running.port), ("control", running.control_port)):
                path.write_text(json.dumps({**VALID_CONFIG, "control": None, key: f"{HOST}:{port}"}))
                second = await start_process(path)
                _, stderr = await within_timeout(second.communicate())
                assert second.returncode == 1
                assert stderr.startswith(b"tulipnotch: can't listen: ")
                assert stderr.count(b"\n") == 1

    run_async(work)


def test_program_is_evacuated_and_activated_through_its_control_endpoint(tmp_path: Path) -> None:
    async def work() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            assert (await (await running.connect()).send_request("lodge")).status == 200
            assert "app.downstream_requests.lodge.completed=1" in await running.send_command("telemetry")
            assert await running.send_command("evacuate") == ["+OK evacuating"]
            assert await running.send_command("readyz") == ["-ERR evacuating"]
            assert (await (await running.connect()).send_request("lodge")).headers["connection"] == "close"
            assert await running.send_command("activate") == ["+OK serving"]
            assert await running.send_command("readyz") == ["+OK ready"]
            assert "connection" not in (await (await running.connect()).send_request("lodge")).headers
            assert (await running.send_command("telemetry"))[-1] == "."

    run_async(work)
