"""Real sidecar processes: started, told to stop, killed, held up, and reloaded."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

from soak.records import Pause, ProcessRecord, Records, RequestClass, now
from soak.servers import HOST, next_port
from soak.shim import Shim

_ROOT = Path(__file__).parent.parent.parent
_LONGEST_DRAIN_S = 3.0
_POLL_S = 0.02
_KILLED_AFTER_S = 0.7
READY_WITHIN_S = 10.0


class Place:
    """Where one sidecar runs: its addresses and files stay, its processes come and go."""

    def __init__(
        self, number: int, folder: Path, library: Path, records: Records, *, is_inherited: bool
    ) -> None:
        self.number = number
        self.folder = folder / f"n{number}"
        self.folder.mkdir()
        self.shim = Shim(library, self.folder / "words")
        self.process: asyncio.subprocess.Process | None = None
        self.life: ProcessRecord | None = None
        self.config: dict[str, Any] = {}
        self.reads_log = asyncio.Event()
        self.reads_log.set()
        self._records = records
        self._listener: socket.socket | None = None
        self._logs: set[asyncio.Task[None]] = set()
        self.address = (HOST, next_port())
        self.control = (HOST, next_port())
        if is_inherited:
            self._listener = socket.create_server(self.address, backlog=1_024)

    @property
    def is_inherited(self) -> bool:
        return self._listener is not None

    def configure(self, **given: Any) -> None:
        """Write its configuration, with these keys changed."""
        self.config |= given
        self._write(json.dumps(self.config))

    def write_half(self) -> None:
        """Leave the file as a write that was cut off would."""
        text = json.dumps(self.config)
        self._write(text[: len(text) // 2])

    def _write(self, text: str) -> None:
        (self.folder / "config.json").write_text(text)

    async def start(self) -> ProcessRecord:
        """Start a process, and return once it says that it serves; raise TimeoutError where it doesn't."""
        operator = self.folder / "operator.toml"
        operator.write_text("[log]\nlines_per_s = 10000.0\nlines_at_once = 100000.0\nrequests = true\n")
        environ = {
            **os.environ,
            **self.shim.environ,
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "BALANCER_OPERATOR": str(operator),
        }
        inherited: tuple[int, ...] = ()
        if self._listener is not None:
            inherited = (self._listener.fileno(),)
            environ["BALANCER_INHERITED_FD"] = str(inherited[0])
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tulipnotch.sidecar",
            cwd=_ROOT,
            env=environ,
            pass_fds=inherited,
            stderr=asyncio.subprocess.PIPE,
        )
        life = ProcessRecord(self.number, process.pid, now())
        self._records.processes.append(life)
        self.process, self.life = process, life
        self._logs.add(asyncio.get_running_loop().create_task(self._read_log(process, life)))
        async with asyncio.timeout(READY_WITHIN_S):
            while process.returncode is None:
                if await self._is_ready():
                    life.ready_at = now()
                    break
                await asyncio.sleep(_POLL_S)
        return life

    async def _is_ready(self) -> bool:
        try:
            return await self.ask("readyz") == ["+OK ready"]
        except (OSError, TimeoutError):
            return False

    async def _read_log(self, process: asyncio.subprocess.Process, life: ProcessRecord) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            await self.reads_log.wait()
            life.log.append(line.decode(errors="replace").rstrip("\n"))
        life.exit_code = await process.wait()
        life.ended_at = now()

    async def stop(self) -> None:
        """SIGTERM, and SIGKILL no sooner than the platform's page allows."""
        assert self.process is not None
        assert self.life is not None
        process, life = self.process, self.life
        if process.returncode is not None:
            return  # it has ended by itself, which its record tells
        life.sigterm_at = now()
        process.send_signal(signal.SIGTERM)
        deadline_s = min(
            max(each["giveUpUs"] for each in self.config["settings"]["lanes"]) / 1e6, _LONGEST_DRAIN_S
        )
        try:
            async with asyncio.timeout(deadline_s + _KILLED_AFTER_S):
                await process.wait()
        except TimeoutError:
            self.kill()
            await process.wait()

    def kill(self) -> None:
        assert self.process is not None
        assert self.life is not None
        self.life.killed_at = now()
        if self.process.returncode is None:
            self.process.kill()

    def reload(self) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGHUP)

    async def hold_up(self, for_s: float) -> None:
        """Let the process stand still for a while."""
        process = self.process
        assert process is not None
        if process.returncode is not None:
            return
        began = now()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        self._records.pauses.append(Pause(self.number, began, now()))

    async def ask(self, call: str) -> list[str]:
        """What the operators' door answers."""
        reader, writer = await asyncio.open_connection(*self.control)
        writer.write(f"{call}\n".encode())
        async with asyncio.timeout(5.0):
            answer = await reader.read()
        writer.close()
        return answer.decode().splitlines()

    async def figures(self) -> dict[str, int]:
        lines = await self.ask("telemetry")
        pairs = (line.partition("=") for line in lines if "=" in line)
        return {name.removeprefix("app."): int(value) for name, _, value in pairs}

    def descriptors(self) -> int:
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.kill()
            await self.process.wait()
        if self._logs:
            self.reads_log.set()
            await asyncio.wait(self._logs, timeout=5.0)
        if self._listener is not None:
            self._listener.close()


def settings(
    classes: list[RequestClass], number: int, count: int, *, discovery: str, **bounds: Any
) -> dict[str, Any]:
    """The settings of one sidecar of so many."""
    return {
        "lanes": [each.settings for each in classes],
        "zone": "a" if number % 2 else "b",
        "me": number,
        "groupSize": count,
        "quantumUs": 1_000,
        "discovery": discovery,
        "bounds": {
            "sendCap": 3,
            "secondCopies": True,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfterUs": 500_000,
            "dialTimeoutUs": 250_000,
            "idleCloseUs": 3_000_000,
            **bounds,
        },
        "guarantees": {
            "askWithinUs": 4_000_000,
            "drainGraceUs": 400_000,
            "coldFrom": 0.3,
            "coldUs": 2_000_000,
            "fallMultiple": 3.0,
            "fallUs": 1_000_000,
            "letGoInUs": 400_000,
        },
    }
