"""Pins configuration keys, environment variables, commands and all exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, OK_RESPONSE, run_async, within_timeout
from outside import (
    COMMAND_LINE,
    CONFIGURATION,
    check_files,
    configuration_values,
    run_command_line,
    run_failing_sidecar,
    with_value,
)
from running import ROOT, running_sidecar, server_with_config

INVALID_VALUES: list[tuple[str, Any, str]] = [
    ("name", 5, "name"),
    ("listen", "localhost:80", "listen"),
    ("control", "nowhere", "control"),
    ("discovery", "nowhere", "discovery"),
    ("seed", "xyz", "seed"),
    ("limits", "few", "limits"),
    ("limits.sockets", 3, "limits.sockets"),
    ("limits.memory_mb", 1, "limits.memory_mb"),
    ("known", {"version": "x"}, "known"),
    ("peer_listen", "nowhere", "peer_listen"),
    ("peers", ["nowhere"], "peers[0]"),
    ("peers_all", "nowhere", "peers_all"),
    ("settings", 5, "settings"),
]
# Path of a key, its value, and the value that the program parses from it.
VALID_VALUES: list[tuple[str, Any, Any]] = [
    ("name", "n77", "n77"),
    ("listen", "127.0.0.9:77", 77),
    ("control", "127.0.0.9:77", 77),
    ("discovery", "127.0.0.9:77", 77),
    ("seed", "4d", 77),
    ("limits.sockets", 777, 777),
    ("limits.memory_mb", 777, 777),
    ("known.version", 77, 77),
    ("peer_listen", "127.0.0.9:77", 77),
    ("peers", ["127.0.0.9:77"], 77),
    ("peers_all", "127.0.0.9:77", 77),
    ("settings.zone", "n77", "n77"),
]


@pytest.fixture(scope="module")
def reported_keys(tmp_path_factory: pytest.TempPathFactory) -> list[set[str]]:
    texts = [json.dumps(with_value(CONFIGURATION, path, value)) for path, value, _ in INVALID_VALUES]
    return [set(each) for each in check_files(tmp_path_factory.mktemp("checked"), texts, ".json")]


@pytest.mark.parametrize(("index", "key"), list(enumerate(each[2] for each in INVALID_VALUES)))
def test_check_reports_key_of_invalid_value(index: int, key: str, reported_keys: list[set[str]]) -> None:
    assert key in reported_keys[index]


@pytest.mark.parametrize(("path", "value", "parsed"), VALID_VALUES, ids=[each[0] for each in VALID_VALUES])
def test_configuration_key_reaches_the_program(path: str, value: Any, parsed: Any) -> None:
    assert parsed not in configuration_values(CONFIGURATION)
    assert parsed in configuration_values(with_value(CONFIGURATION, path, value))


ENVIRONMENT = {
    "BALANCER_NAME": "n0",
    "BALANCER_LISTEN": f"{HOST}:0",
    "BALANCER_DISCOVERY": f"{HOST}:9",
    "BALANCER_CONTROL": "nowhere",
}


def test_environment_supplies_keys_missing_in_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"seed": "1", "settings": CONFIGURATION["settings"]}))
    errors_without_environment = run_command_line("check", str(path)).stderr.splitlines()
    assert [each.split(": ")[1] for each in errors_without_environment] == ["name", "listen", "discovery"]
    errors = run_command_line("check", str(path), **ENVIRONMENT).stderr.splitlines()
    assert [each.split(": ")[1] for each in errors] == ["control"]


@pytest.mark.parametrize(
    ("text", "environ", "message"),
    [
        (None, {}, "tulipnotch: config: BALANCER_CONFIG: "),
        ("", {}, "tulipnotch: config: BALANCER_CONFIG: "),
        (
            json.dumps(with_value(CONFIGURATION, "settings.bounds", {"sendCap": 0})),
            {},
            "tulipnotch: config: settings.bounds.sendCap: ",
        ),
        (
            json.dumps(CONFIGURATION),
            {"BALANCER_OPERATOR": "nowhere"},
            "tulipnotch: config: BALANCER_OPERATOR: ",
        ),
        (json.dumps(CONFIGURATION), {"BALANCER_INHERITED_FD": "x"}, "tulipnotch: BALANCER_INHERITED_FD: "),
    ],
)
def test_sidecar_exits_with_2_and_one_line_on_invalid_configuration(
    text: str | None, environ: dict[str, str], message: str, tmp_path: Path
) -> None:
    if text is not None:
        (tmp_path / "config.json").write_text(text)
        environ = {**environ, "BALANCER_CONFIG": str(tmp_path / "config.json")}
    result = run_failing_sidecar(**environ)
    assert (result.returncode, result.stdout, result.stderr.count("\n")) == (2, "", 1)
    assert result.stderr.startswith(message)


@pytest.fixture(scope="module", autouse=True)
def sidecar_on_used_address(tmp_path_factory: pytest.TempPathFactory) -> Iterator[subprocess.Popen[str]]:
    """Starts a sidecar on an address in use, before the other tests, because it retries for a while."""
    path = tmp_path_factory.mktemp("used_address") / "config.json"
    with socket.create_server((HOST, 0)) as listener:
        path.write_text(json.dumps({**CONFIGURATION, "listen": f"{HOST}:{listener.getsockname()[1]}"}))
        process = subprocess.Popen(
            [sys.executable, "-m", "tulipnotch.sidecar"],
            stderr=subprocess.PIPE, text=True, cwd=ROOT, env={"BALANCER_CONFIG": str(path)},
        )  # fmt: skip
        yield process
        process.kill()
        process.communicate()


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
def test_sidecar_exits_with_0_after_signal(signal_number: signal.Signals, tmp_path: Path) -> None:
    async def scenario() -> None:
        async with (
            server_with_config(OK_RESPONSE, tmp_path) as (config, server),
            running_sidecar(config, server) as running,
        ):
            running.process.send_signal(signal_number)
            assert await within_timeout(running.process.wait()) == 0

    run_async(scenario)


def test_command_run_with_files_executes_the_sidecar(tmp_path: Path) -> None:
    async def scenario() -> None:
        operator_file = tmp_path / "operator.toml"
        operator_file.write_text('[log]\nformat = "json"\n')
        async with server_with_config(OK_RESPONSE, tmp_path) as (config, _):
            process = await asyncio.create_subprocess_exec(
                *COMMAND_LINE, "run", "--config", str(config), "--operator", str(operator_file),
                stderr=asyncio.subprocess.PIPE, cwd=ROOT, env=dict(os.environ),
            )  # fmt: skip
            assert process.stderr is not None
            try:
                events = [
                    json.loads(await within_timeout(process.stderr.readline()))["event"] for _ in range(2)
                ]
                assert events == ["control_endpoint_listening", "serving"]
                process.terminate()
                assert await within_timeout(process.wait()) == 0
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    run_async(scenario)


def test_command_run_exits_with_2_on_invalid_configuration(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("{}")
    assert run_command_line("run", BALANCER_CONFIG=str(path)).returncode == 2


def test_command_check_accepts_valid_and_reports_invalid_file(tmp_path: Path) -> None:
    valid_file, invalid_file = tmp_path / "good.json", tmp_path / "bad.toml"
    valid_file.write_text(json.dumps(CONFIGURATION))
    invalid_file.write_text("[log]\nnothing = 1\n")
    result = run_command_line("check", str(valid_file))
    assert (result.returncode, result.stdout) == (0, f"{valid_file}: a good configuration\n")
    result = run_command_line("check", str(invalid_file))
    assert result.returncode == 2
    assert result.stderr.startswith(f"{invalid_file}: line 2: log.nothing: ")
    (errors,) = run_command_line("check", "--json", str(invalid_file)).stdout.splitlines()
    assert json.loads(errors).keys() == {"file", "kind", "faults"}
    assert json.loads(errors)["faults"][0].keys() == {"line", "key", "text"}


@pytest.mark.parametrize(
    ("command", "response", "code"),
    [
        ("readyz", "+OK ready\n", 0),
        ("telemetry", "+OK\napp.pending=0\n.\n", 0),
        ("level", "-ERR no levels are set\n", 1),
        ("evacuate", "+OK evacuating\n", 0),
        ("activate", "-ERR stopping\n", 1),
    ],
)
def test_command_ctl_sends_command_and_exits_by_response(command: str, response: str, code: int) -> None:
    received_lines = []
    with socket.create_server((HOST, 0)) as listener:

        def respond() -> None:
            connection, _ = listener.accept()
            with connection, connection.makefile("rb") as lines:
                received_lines.append(lines.readline())
                connection.sendall(response.encode())

        thread = threading.Thread(target=respond, daemon=True)
        thread.start()
        result = run_command_line("ctl", f"{HOST}:{listener.getsockname()[1]}", command)
        assert (result.returncode, result.stdout) == (code, response.replace("\n.\n", "\n"))
        thread.join(20)
    assert received_lines == [f"{command}\n".encode()]


def test_command_ctl_exits_with_3_without_response_and_2_on_unknown_command() -> None:
    with socket.socket() as non_listening_socket:
        non_listening_socket.bind((HOST, 0))
        assert (
            run_command_line("ctl", f"{HOST}:{non_listening_socket.getsockname()[1]}", "readyz").returncode
            == 3
        )
    assert run_command_line("ctl", f"{HOST}:9", "nonsense").returncode == 2


def test_sidecar_exits_with_1_if_address_is_in_use(sidecar_on_used_address: subprocess.Popen[str]) -> None:
    _, errors = sidecar_on_used_address.communicate(timeout=60)
    assert sidecar_on_used_address.returncode == 1
    assert "tulipnotch: can't listen: " in errors
