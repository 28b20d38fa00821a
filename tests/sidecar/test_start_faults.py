"""Starts and ends under faults: signals, failing system calls and addresses in use."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tomllib
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, OK_RESPONSE, run_async, within_timeout
from running import ROOT, running_sidecar, server_with_config, start_process

_SIGNAL_INTERVAL_S = 0.0002


def _preamble(folder: Path, source: str) -> dict[str, str]:
    """Returns an environment in which a process runs this source before it imports the program."""
    directory = folder / "preamble"
    directory.mkdir()
    (directory / "sitecustomize.py").write_text(source)
    return {
        "PYTHONPATH": os.pathsep.join([str(directory), os.environ.get("PYTHONPATH", "")]).rstrip(os.pathsep)
    }


_FAILING_CALL = """
import errno, os, socket
remaining_failures = [3]
def failing(call):
    def wrapped(*args, **kwargs):
        # Fails the creation of sockets and calls on them, but not the creation from an existing descriptor.
        if remaining_failures[0] and len(args) < 5 and "fileno" not in kwargs:
            remaining_failures[0] -= 1
            raise OSError(errno.{error}, os.strerror(errno.{error}))
        return call(*args, **kwargs)
    return wrapped
socket.socket.{call} = failing(socket.socket.{call})
"""


@pytest.mark.parametrize(
    ("call", "error"),
    [("__init__", "ENFILE"), ("__init__", "ENOBUFS"), ("bind", "EADDRINUSE"), ("bind", "EADDRNOTAVAIL")],
)
def test_start_succeeds_after_system_calls_have_failed_temporarily(
    call: str, error: str, tmp_path: Path
) -> None:
    run_async(lambda: _start_with(_FAILING_CALL.format(call=call, error=error), tmp_path))


# Sends SIGHUP while a module is being imported, and writes the name of the module to a file.
_SIGHUP_AT_IMPORT = """
import os, signal, sys
class SignalSender:
    def find_spec(self, name, path, target=None):
        if name == "tulipnotch.sidecar.{module}":
            open({record!r}, "a").write(name)
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, SignalSender())
"""


@pytest.mark.parametrize("module", ["configuration", "sidecar"])
def test_start_survives_sighup_while_the_program_is_imported(module: str, tmp_path: Path) -> None:
    record = tmp_path / "signals"
    source = _SIGHUP_AT_IMPORT.format(module=module, record=str(record))
    run_async(lambda: _start_with(source, tmp_path))
    assert record.read_text() == f"tulipnotch.sidecar.{module}"


def test_start_survives_sighup_before_the_interpreter_has_loaded_the_program(tmp_path: Path) -> None:
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    environ = _preamble(tmp_path, "import os, signal; os.kill(os.getpid(), signal.SIGHUP)")

    async def work() -> None:
        async with server_with_config(OK_RESPONSE, tmp_path) as (config, _):
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env={**os.environ, **environ, "BALANCER_CONFIG": str(config)},
                stderr=asyncio.subprocess.PIPE,
            )
            try:
                assert await _wait_until_serving(process)
            finally:
                await _kill(process)

    run_async(work)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_exit_code_is_0_when_signals_arrive_until_the_process_has_ended(
    number: signal.Signals, tmp_path: Path
) -> None:
    # The interpreter removes its handlers some milliseconds before the process ends.
    async def work() -> None:
        async with server_with_config(OK_RESPONSE, tmp_path) as (config, _):
            process = await start_process(config)
            try:
                assert await _wait_until_serving(process)
                process.send_signal(signal.SIGTERM)
                while process.returncode is None:
                    process.send_signal(number)
                    await asyncio.sleep(_SIGNAL_INTERVAL_S)
                assert process.returncode == 0
            finally:
                await _kill(process)

    run_async(work)


def test_start_succeeds_while_the_previous_version_holds_the_peer_address(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as port_finder:
            port_finder.bind((HOST, 0))
            peer_listen = f"{HOST}:{port_finder.getsockname()[1]}"
        async with server_with_config(OK_RESPONSE, tmp_path) as (config, server):
            content: dict[str, Any] = json.loads(config.read_text())
            content |= {"peer_listen": peer_listen, "peers": [peer_listen]}
            content["settings"]["bounds"] = {"mayTell": True, "sendCap": 1}
            config.write_text(json.dumps(content))
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                listener.listen()
                async with (
                    running_sidecar(config, server, listener),
                    running_sidecar(config, server, listener) as new,
                ):
                    assert (await new.send_command("readyz"))[0] == "+OK ready"

    run_async(work)


async def _start_with(source: str, folder: Path) -> None:
    """Starts a process that runs this source first, and checks that it serves."""
    environ = _preamble(folder, source)
    async with server_with_config(OK_RESPONSE, folder) as (config, _):
        process = await start_process(config, **environ)
        try:
            assert await _wait_until_serving(process)
        finally:
            await _kill(process)


async def _wait_until_serving(process: asyncio.subprocess.Process) -> bool:
    """Returns whether the process logs that it serves before it ends."""
    assert process.stderr is not None
    while log_line := await within_timeout(process.stderr.readline()):
        if b"serves on" in log_line:
            return True
    return False


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.send_signal(signal.SIGKILL)
    await process.wait()
