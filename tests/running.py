"""The sidecar as a separate process, with one scripted server behind it."""

from __future__ import annotations

import asyncio
import json
import os
import re
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from loopback import (
    HOST,
    SERVICE_CLASSES,
    TEST_TIMEOUT_S,
    Client,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint_entry,
    within_timeout,
)

ROOT = Path(__file__).parent.parent
# Logged once for each list that discovery sends, at any time, so tests of other lines pass over it.
_ROUTINE_LOG_PATTERN = r"endpoint list applied: "
VALID_CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": f"{HOST}:0",
    "control": f"{HOST}:0",
    "discovery": f"{HOST}:9",
    "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"version": 1, "full": True, "servers": []},
    "settings": {"lanes": SERVICE_CLASSES, "zone": "a", "discovery": "on_request"},
}


class SidecarProcess:
    """A running sidecar process, its ports, its configuration file and the server behind it."""

    def __init__(
        self,
        process: asyncio.subprocess.Process,
        port: int,
        control_port: int,
        server: ScriptedServer,
        config_path: Path,
    ) -> None:
        self.process, self.port, self.control_port = process, port, control_port
        self.server, self.config_path = server, config_path

    async def send_command(self, command: str) -> list[str]:
        """Sends a command to the control endpoint; returns the lines of its response."""
        reader, writer = await asyncio.open_connection(HOST, self.control_port)
        writer.write(f"{command}\n".encode())
        response = await within_timeout(reader.read())
        writer.close()
        return response.decode().splitlines()

    async def read_log_line(self) -> str:
        """Reads the next line of the log that is none of the routine ones."""
        return await read_log_line(self.process, _ROUTINE_LOG_PATTERN)

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(HOST, self.port))


async def read_log_line(process: asyncio.subprocess.Process, skipped_pattern: str) -> str:
    """Reads the next line of the log of a process that does not match `skipped_pattern`."""
    assert process.stderr is not None
    line = (await within_timeout(process.stderr.readline())).decode()
    while re.match(skipped_pattern, line):
        line = (await within_timeout(process.stderr.readline())).decode()
    return line


async def start_process(
    config: Path, pass_fds: tuple[int, ...] = (), stderr: int = asyncio.subprocess.PIPE, /, **environment: str
) -> asyncio.subprocess.Process:
    """Starts a sidecar process; `environment` is added to the variables of this process."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tulipnotch.sidecar",
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(config), **environment},
        pass_fds=pass_fds,
        stderr=stderr,
    )


def run_expecting_failure(folder: Path, config: str, operator: str | None = None) -> str:
    """Runs the sidecar with files that must keep it from starting; returns the one line that it writes."""
    path = folder / "config.json"
    path.write_text(config)
    environment = {**os.environ, "BALANCER_CONFIG": str(path)}
    if operator is not None:
        (folder / "operator.toml").write_text(operator)
        environment["BALANCER_OPERATOR"] = str(folder / "operator.toml")
    completed = subprocess.run(
        [sys.executable, "-m", "tulipnotch.sidecar"],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stdout == ""
    assert completed.stderr.count("\n") == 1
    return completed.stderr


@asynccontextmanager
async def running_sidecar(
    config: Path,
    server: ScriptedServer,
    listener: socket.socket | None = None,
    allowed_log_pattern: str | None = None,
) -> AsyncIterator[SidecarProcess]:
    """Runs a sidecar process, and yields it once it serves.  It inherits `listener`, if there is one.

    `allowed_log_pattern` matches the other lines that the log may hold until then.  Without it, the log must
    hold no other lines than the routine ones.
    """
    skipped_pattern = _ROUTINE_LOG_PATTERN
    if allowed_log_pattern is not None:
        skipped_pattern = f"{skipped_pattern}|{allowed_log_pattern}"
    if listener is None:
        process = await start_process(config)
    else:
        descriptor = listener.fileno()
        process = await start_process(config, (descriptor,), BALANCER_INHERITED_FD=str(descriptor))
    try:
        ports = []
        for expected in ("control endpoint listens on", "serves on"):
            line = await read_log_line(process, skipped_pattern)
            match = re.search(expected + r" .*:(\d+)", line)
            assert match is not None, line
            ports.append(int(match[1]))
        yield SidecarProcess(process, ports[1], ports[0], server, config)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@asynccontextmanager
async def server_with_config(
    script: Callable[[ReceivedRequest], Any] | bytes | ScriptedServer, folder: Path
) -> AsyncIterator[tuple[Path, ScriptedServer]]:
    """Runs a server and a discovery that lists it; yields the path of a configuration file and the server."""
    server = await (script if isinstance(script, ScriptedServer) else ScriptedServer(script)).start()
    discovery = ScriptedDiscovery()
    discovery.servers = [endpoint_entry("s-1", server.address)]
    await discovery.start()
    known = {"version": 1, "full": True, "servers": discovery.servers}
    path = folder / "config.json"
    path.write_text(json.dumps({**VALID_CONFIG, "discovery": discovery.address, "known": known}))
    try:
        yield path, server
    finally:
        server.stop()
        discovery.stop()


@asynccontextmanager
async def sidecar_with_server(
    script: Callable[[ReceivedRequest], Any] | bytes | ScriptedServer, folder: Path
) -> AsyncIterator[SidecarProcess]:
    """Runs a sidecar process with discovery and one scripted server."""
    async with (
        server_with_config(script, folder) as (config, server),
        running_sidecar(config, server) as running,
    ):
        yield running


async def wait_for_readyz(running: SidecarProcess, response: str) -> None:
    """Waits until the control endpoint gives this response to `readyz`."""
    while (await running.send_command("readyz"))[0] != response:
        await asyncio.sleep(0.01)


async def read_metric(running: SidecarProcess, name: str) -> int:
    """Returns the value of a metric of the control endpoint."""
    lines = await running.send_command("telemetry")
    (value,) = [each.partition("=")[2] for each in lines if each.startswith(f"{name}=")]
    return int(value)


async def wait_for_metric(
    running: SidecarProcess, name: str, value: int, timeout_s: float = TEST_TIMEOUT_S
) -> None:
    """Waits until a metric of the control endpoint has this value; raises TimeoutError after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while await read_metric(running, name) != value:
            await asyncio.sleep(0.01)


def resident_bytes(running: SidecarProcess) -> int:
    """Returns the resident memory of the process."""
    status = Path(f"/proc/{running.process.pid}/status").read_text()
    match = re.search(r"^VmRSS:\s+(\d+) kB$", status, re.MULTILINE)
    assert match is not None
    return int(match[1]) * 1_024
