"""Starts in bad moments: signals and system calls that come or fail while a process is not ready yet."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, OK, play, soon
from running import running_on, started, world


def _preamble(folder: Path, source: str) -> dict[str, str]:
    """The environment in which a process runs this source before anything of the program is loaded."""
    place = folder / "preamble"
    place.mkdir()
    (place / "sitecustomize.py").write_text(source)
    return {"PYTHONPATH": os.pathsep.join([str(place), os.environ.get("PYTHONPATH", "")]).rstrip(os.pathsep)}


_FAILING = """
import errno, os, socket
left = [3]
def failing(call):
    def wrapped(*given, **named):
        if left[0] and len(given) < 5 and "fileno" not in named:  # a new socket, or a socket's own call
            left[0] -= 1
            raise OSError(errno.{error}, os.strerror(errno.{error}))
        return call(*given, **named)
    return wrapped
socket.socket.{call} = failing(socket.socket.{call})
"""


@pytest.mark.parametrize(
    ("call", "error"),
    [("__init__", "ENFILE"), ("__init__", "ENOBUFS"), ("bind", "EADDRINUSE"), ("bind", "EADDRNOTAVAIL")],
)
def test_a_start_outlives_calls_that_fail_for_a_moment(call: str, error: str, tmp_path: Path) -> None:
    play(lambda: _start_with(_FAILING.format(call=call, error=error), tmp_path))


_SIGNALLED = """
import os, signal, sys
class Signals:
    def find_spec(self, name, path, target=None):
        if name == "tulipnotch.sidecar.{module}":
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Signals())
"""


@pytest.mark.parametrize("module", ["config", "sidecar"])
def test_a_reload_that_is_asked_for_while_the_program_loads_ends_nothing(module: str, tmp_path: Path) -> None:
    play(lambda: _start_with(_SIGNALLED.format(module=module), tmp_path))


def test_a_new_version_starts_while_the_one_before_holds_the_address_for_messages(tmp_path: Path) -> None:
    async def work() -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind((HOST, 0))
            peer_listen = f"{HOST}:{free.getsockname()[1]}"
        async with world(OK, tmp_path) as (config, server):
            given: dict[str, Any] = json.loads(config.read_text())
            given |= {"peer_listen": peer_listen, "peers": [peer_listen]}
            given["settings"]["bounds"] = {"mayTell": True, "sendCap": 1}
            config.write_text(json.dumps(given))
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                listener.listen()
                async with running_on(config, server, listener):
                    async with running_on(config, server, listener) as new:
                        assert (await new.call("readyz"))[0] == "+OK ready"

    play(work)


async def _start_with(source: str, folder: Path) -> None:
    """Start a process that runs this source first, and see that it serves."""
    environ = _preamble(folder, source)
    async with world(OK, folder) as (config, _):
        process = await started(config, **environ)
        try:
            assert await _serves(process)
        finally:
            await _ended(process)


async def _serves(process: asyncio.subprocess.Process) -> bool:
    """Whether the log says that it serves, before it ends."""
    assert process.stderr is not None
    while said := await soon(process.stderr.readline()):
        if b"serves on" in said:
            return True
    return False


async def _ended(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.send_signal(signal.SIGKILL)
    await process.wait()
