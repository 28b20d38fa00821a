"""The platform: starts one sidecar by the `run` line of the deploy file, and ends it."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from stand_ins.record import Record
from stand_ins.site import ROOT

_READY_WITHIN_S = 30.0


def free_port(host: str) -> int:
    """Returns a port that nobody uses now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class CannotRunError(Exception):
    """The case could not run; says nothing about the rule."""


class Sidecar:
    """One sidecar process, with its folder for temporary files."""

    def __init__(self, host: str, settings: dict[str, Any], discovery: str, known: dict[str, Any]) -> None:
        """Writes the configuration; nothing runs before `start`."""
        self.host, self.port = host, free_port(host)
        self._discovery = discovery
        # Removed at the end; the sidecar's own TMPDIR is a folder within it.
        self._folder = tempfile.TemporaryDirectory()
        self._path = Path(self._folder.name)
        (self._path / "tmp").mkdir()
        self._config = {
            "name": "n0",
            "listen": f"{host}:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1_024},
            "known": known,
            "settings": settings,
        }
        (self._path / "config.json").write_text(json.dumps(self._config))
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, record: Record) -> None:
        """Starts the process; returns once `GET /_health` is answered 200.

        Raises:
            CannotRunError: It is not ready in time.
        """
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            **os.environ,
            "BALANCER_NAME": "n0",
            "BALANCER_LISTEN": f"{self.host}:{self.port}",
            "BALANCER_DISCOVERY": self._discovery,
            "BALANCER_CONFIG": str(self._path / "config.json"),
            "TMPDIR": str(self._path / "tmp"),
        }
        with (self._path / "log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        for _ in range(int(_READY_WITHIN_S / 0.1)):
            await asyncio.sleep(0.1)
            if self._process.returncode is not None:
                raise CannotRunError(f"the sidecar ended:\n{self.log()}")
            if await self._is_healthy():
                record.write("sidecar", f"ready, process {self._process.pid}")
                return
        raise CannotRunError("the sidecar is not ready in time")

    async def _is_healthy(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            return False
        writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
        try:
            return b" 200 " in await asyncio.wait_for(reader.readline(), 2.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    def log(self) -> str:
        """Returns what the sidecar has written."""
        return (self._path / "log").read_text()

    async def stop(self) -> None:
        """Ends the process and removes its folder."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
            await self._process.wait()
        self._folder.cleanup()
