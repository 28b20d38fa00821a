"""The configuration's keys, the environment's names, the commands and all exit codes."""

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
from outside import COMMAND, CONFIGURATION, command, configuration, faults, put, sidecar_in_vain
from running import ROOT, running_sidecar, server_with_config

NONSENSE: list[tuple[str, Any, str]] = [
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
# Path of a key, its value, and what the program makes of it.
VALUES: list[tuple[str, Any, Any]] = [
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
def found(tmp_path_factory: pytest.TempPathFactory) -> list[set[str]]:
    texts = [json.dumps(put(CONFIGURATION, path, value)) for path, value, _ in NONSENSE]
    return [set(each) for each in faults(tmp_path_factory.mktemp("found"), texts, ".json")]


@pytest.mark.parametrize(("place", "key"), list(enumerate(each[2] for each in NONSENSE)))
def test_fault_of_the_file_names_its_key(place: int, key: str, found: list[set[str]]) -> None:
    assert key in found[place]


@pytest.mark.parametrize(("path", "value", "made"), VALUES, ids=[each[0] for each in VALUES])
def test_key_of_the_file_reaches_the_program(path: str, value: Any, made: Any) -> None:
    assert made not in configuration(CONFIGURATION)
    assert made in configuration(put(CONFIGURATION, path, value))


ENVIRONMENT = {
    "BALANCER_NAME": "n0",
    "BALANCER_LISTEN": f"{HOST}:0",
    "BALANCER_DISCOVERY": f"{HOST}:9",
    "BALANCER_CONTROL": "nowhere",
}


def test_environment_gives_what_the_file_leaves_out(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"seed": "1", "settings": CONFIGURATION["settings"]}))
    without = command("check", str(path)).stderr.splitlines()
    assert [each.split(": ")[1] for each in without] == ["name", "listen", "discovery"]
    told = command("check", str(path), **ENVIRONMENT).stderr.splitlines()
    assert [each.split(": ")[1] for each in told] == ["control"]


@pytest.mark.parametrize(
    ("text", "environ", "said"),
    [
        (None, {}, "tulipnotch: config: BALANCER_CONFIG: "),
        ("", {}, "tulipnotch: config: BALANCER_CONFIG: "),
        (
            json.dumps(put(CONFIGURATION, "settings.bounds", {"sendCap": 0})),
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
def test_bad_start_is_exit_code_2_and_one_line(
    text: str | None, environ: dict[str, str], said: str, tmp_path: Path
) -> None:
    if text is not None:
        (tmp_path / "config.json").write_text(text)
        environ = {**environ, "BALANCER_CONFIG": str(tmp_path / "config.json")}
    done = sidecar_in_vain(**environ)
    assert (done.returncode, done.stdout, done.stderr.count("\n")) == (2, "", 1)
    assert done.stderr.startswith(said)


@pytest.fixture(scope="module", autouse=True)
def shut_out(tmp_path_factory: pytest.TempPathFactory) -> Iterator[subprocess.Popen[str]]:
    """A start on an address that is taken, begun before the other tests: it tries for a while."""
    path = tmp_path_factory.mktemp("shut") / "config.json"
    with socket.create_server((HOST, 0)) as taken:
        path.write_text(json.dumps({**CONFIGURATION, "listen": f"{HOST}:{taken.getsockname()[1]}"}))
        process = subprocess.Popen(
            [sys.executable, "-m", "tulipnotch.sidecar"],
            stderr=subprocess.PIPE, text=True, cwd=ROOT, env={"BALANCER_CONFIG": str(path)},
        )  # fmt: skip
        yield process
        process.kill()
        process.communicate()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_told_to_end_is_exit_code_0(number: signal.Signals, tmp_path: Path) -> None:
    async def work() -> None:
        async with (
            server_with_config(OK_RESPONSE, tmp_path) as (config, server),
            running_sidecar(config, server) as running,
        ):
            running.process.send_signal(number)
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)


def test_run_with_files_becomes_the_sidecar(tmp_path: Path) -> None:
    async def work() -> None:
        operator = tmp_path / "operator.toml"
        operator.write_text('[log]\nformat = "json"\n')
        async with server_with_config(OK_RESPONSE, tmp_path) as (config, _):
            process = await asyncio.create_subprocess_exec(
                *COMMAND, "run", "--config", str(config), "--operator", str(operator),
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

    run_async(work)


def test_command_run_with_a_bad_configuration_is_exit_code_2(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text("{}")
    assert command("run", BALANCER_CONFIG=str(path)).returncode == 2


def test_command_check_tells_good_files_from_bad_ones(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.json", tmp_path / "bad.toml"
    good.write_text(json.dumps(CONFIGURATION))
    bad.write_text("[log]\nnothing = 1\n")
    done = command("check", str(good))
    assert (done.returncode, done.stdout) == (0, f"{good}: a good configuration\n")
    done = command("check", str(bad))
    assert done.returncode == 2
    assert done.stderr.startswith(f"{bad}: line 2: log.nothing: ")
    (told,) = command("check", "--json", str(bad)).stdout.splitlines()
    assert json.loads(told).keys() == {"file", "kind", "faults"}
    assert json.loads(told)["faults"][0].keys() == {"line", "key", "text"}


@pytest.mark.parametrize(
    ("call", "answer", "code"),
    [
        ("readyz", "+OK ready\n", 0),
        ("telemetry", "+OK\napp.pending=0\n.\n", 0),
        ("level", "-ERR no levels are set\n", 1),
        ("evacuate", "+OK evacuating\n", 0),
        ("activate", "-ERR stopping\n", 1),
    ],
)
def test_command_ctl_writes_the_call_and_ends_by_the_answer(call: str, answer: str, code: int) -> None:
    heard = []
    with socket.create_server((HOST, 0)) as listener:

        def answering() -> None:
            connection, _ = listener.accept()
            with connection, connection.makefile("rb") as lines:
                heard.append(lines.readline())
                connection.sendall(answer.encode())

        thread = threading.Thread(target=answering, daemon=True)
        thread.start()
        done = command("ctl", f"{HOST}:{listener.getsockname()[1]}", call)
        assert (done.returncode, done.stdout) == (code, answer.replace("\n.\n", "\n"))
        thread.join(20)
    assert heard == [f"{call}\n".encode()]


def test_command_ctl_without_an_answer_is_exit_code_3_and_a_wrong_call_2() -> None:
    with socket.socket() as unheard:
        unheard.bind((HOST, 0))
        assert command("ctl", f"{HOST}:{unheard.getsockname()[1]}", "readyz").returncode == 3
    assert command("ctl", f"{HOST}:9", "nonsense").returncode == 2


def test_address_in_use_is_exit_code_1(shut_out: subprocess.Popen[str]) -> None:
    _, told = shut_out.communicate(timeout=60)
    assert shut_out.returncode == 1
    assert "tulipnotch: can't listen: " in told
