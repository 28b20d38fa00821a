"""The program as a started process, with one server behind it."""

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
    Client,
    ReceivedRequest,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint_entry,
    within_timeout,
)

ROOT = Path(__file__).parent.parent
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
    """The running program, with one server behind it."""

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

    async def send_command(self, name: str) -> list[str]:
        """What the operators' door answers."""
        reader, writer = await asyncio.open_connection(HOST, self.control_port)
        writer.write(f"{name}\n".encode())
        answer = await within_timeout(reader.read())
        writer.close()
        return answer.decode().splitlines()

    async def read_log_line(self) -> str:
        """The next line of its log."""
        assert self.process.stderr is not None
        return (await within_timeout(self.process.stderr.readline())).decode()

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection(HOST, self.port))


async def start_process(
    config: Path, pass_fds: tuple[int, ...] = (), stderr: int = asyncio.subprocess.PIPE, /, **environ: str
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tulipnotch.sidecar",
        cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(config), **environ},
        pass_fds=pass_fds,
        stderr=stderr,
    )


def run_expecting_failure(folder: Path, config: str, operator: str | None = None) -> str:
    """What the program says in its one line where it must not start, with these files."""
    path = folder / "config.json"
    path.write_text(config)
    environ = {**os.environ, "BALANCER_CONFIG": str(path)}
    if operator is not None:
        (folder / "operator.toml").write_text(operator)
        environ["BALANCER_OPERATOR"] = str(folder / "operator.toml")
    done = subprocess.run(
        [sys.executable, "-m", "tulipnotch.sidecar"],
        cwd=ROOT,
        env=environ,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    assert done.stdout == ""
    assert done.stderr.count("\n") == 1
    return done.stderr


@asynccontextmanager
async def running_sidecar(
    config: Path,
    server: ScriptedServer,
    listener: socket.socket | None = None,
    allowed_log_pattern: str | None = None,
) -> AsyncIterator[SidecarProcess]:
    """The program, from the moment in which it serves, with the listening socket that it inherits, if any.

    `allowed_log_pattern` matches the other lines that the log may hold until then.  Without it, the log must
    hold none.
    """
    if listener is None:
        process = await start_process(config)
    else:
        descriptor = listener.fileno()
        process = await start_process(config, (descriptor,), BALANCER_INHERITED_FD=str(descriptor))
    try:
        assert process.stderr is not None
        ports = []
        for what in ("control endpoint listens on", "serves on"):
            said = (await within_timeout(process.stderr.readline())).decode()
            while allowed_log_pattern is not None and re.match(allowed_log_pattern, said):
                said = (await within_timeout(process.stderr.readline())).decode()
            told = re.search(what + r" .*:(\d+)", said)
            assert told is not None, said
            ports.append(int(told[1]))
        yield SidecarProcess(process, ports[1], ports[0], server, config)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@asynccontextmanager
async def server_with_config(
    script: Callable[[ReceivedRequest], Any] | bytes, folder: Path
) -> AsyncIterator[tuple[Path, ScriptedServer]]:
    """One server, a discovery that lists it, and a configuration that names both."""
    server = await ScriptedServer(script).start()
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
    script: Callable[[ReceivedRequest], Any] | bytes, folder: Path
) -> AsyncIterator[SidecarProcess]:
    async with (
        server_with_config(script, folder) as (config, server),
        running_sidecar(config, server) as running,
    ):
        yield running


async def wait_for_readyz(running: SidecarProcess, answer: str) -> None:
    """Wait for `readyz` to answer so."""
    while (await running.send_command("readyz"))[0] != answer:
        await asyncio.sleep(0.01)


def resident_bytes(running: SidecarProcess) -> int:
    """The memory that the process holds now."""
    status = Path(f"/proc/{running.process.pid}/status").read_text()
    found = re.search(r"^VmRSS:\s+(\d+) kB$", status, re.MULTILINE)
    assert found is not None
    return int(found[1]) * 1_024
