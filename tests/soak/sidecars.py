"""Real sidecar processes: started, stopped, killed, paused, and reloaded."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from soak.records import Pause, ProcessRecord, Records, RequestClass, now
from soak.servers import HOST, next_port
from soak.shim import Shim

_ROOT = Path(__file__).parent.parent.parent
_MAX_DRAIN_S = 3.0
_READINESS_POLL_S = 0.02
_KILL_DELAY_S = 0.7
READY_WITHIN_S = 10.0


class SidecarNotStartedError(RuntimeError):
    """A process was needed before the sidecar had one.

    Attributes:
        number: number of the sidecar.
    """

    def __init__(self, number: int) -> None:
        super().__init__(f"n{number} has not been started")
        self.number = number


@dataclass(frozen=True, slots=True)
class RunningProcess:
    """A process and its record; it may have ended."""

    process: asyncio.subprocess.Process
    record: ProcessRecord

    @property
    def has_ended(self) -> bool:
        """Whether its exit code is known."""
        return self.process.returncode is not None


class Place:
    """One sidecar: keeps its addresses and files while its processes are replaced; owns the processes."""

    def __init__(
        self, number: int, folder: Path, library: Path, records: Records, *, inherits_listener: bool
    ) -> None:
        self.number = number
        self.folder = folder / f"n{number}"
        self.folder.mkdir()
        self.shim = Shim(library, self.folder / "words")
        self.running: RunningProcess | None = None
        self.config: dict[str, Any] = {}
        self.reads_log = asyncio.Event()
        self.reads_log.set()
        self._records = records
        self._listener: socket.socket | None = None
        self._log_readers: set[asyncio.Task[None]] = set()
        self.address = (HOST, next_port())
        self.control = (HOST, next_port())
        if inherits_listener:
            self._listener = socket.create_server(self.address, backlog=1_024)

    @property
    def inherits_listener(self) -> bool:
        """Whether its processes inherit one listening socket."""
        return self._listener is not None

    def configure(self, **changes: Any) -> None:
        """Write its configuration file, with these keys changed."""
        self.config |= changes
        self._write(json.dumps(self.config))

    def write_half(self) -> None:
        """Write the first half of the configuration file, as an interrupted write would."""
        text = json.dumps(self.config)
        self._write(text[: len(text) // 2])

    def _write(self, text: str) -> None:
        (self.folder / "config.json").write_text(text)

    async def start(self) -> None:
        """Start a process and return when it is ready; TimeoutError if it is not within READY_WITHIN_S."""
        operator_file = self.folder / "operator.toml"
        operator_file.write_text("[log]\nlines_per_s = 10000.0\nlines_at_once = 100000.0\nrequests = true\n")
        environ = {
            **os.environ,
            **self.shim.environ,
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "BALANCER_OPERATOR": str(operator_file),
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
        record = ProcessRecord(self.number, process.pid, now())
        self._records.processes.append(record)
        self.running = RunningProcess(process, record)
        self._log_readers.add(asyncio.get_running_loop().create_task(self._read_log(process, record)))
        async with asyncio.timeout(READY_WITHIN_S):
            while process.returncode is None:
                if await self._is_ready():
                    record.ready_at = now()
                    break
                await asyncio.sleep(_READINESS_POLL_S)

    async def _is_ready(self) -> bool:
        try:
            return await self.call("readyz") == ["+OK ready"]
        except (OSError, TimeoutError):
            return False

    async def _read_log(self, process: asyncio.subprocess.Process, record: ProcessRecord) -> None:
        if process.stderr is not None:
            while line := await process.stderr.readline():
                await self.reads_log.wait()
                record.log.append(line.decode(errors="replace").rstrip("\n"))
        record.exit_code = await process.wait()
        record.ended_at = now()

    def _require_running(self) -> RunningProcess:
        if self.running is None:
            raise SidecarNotStartedError(self.number)
        return self.running

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL when the time that the platform's page allows is over."""
        running = self._require_running()
        if running.has_ended:
            return  # it ended by itself, which is in its record
        running.record.sigterm_at = now()
        running.process.send_signal(signal.SIGTERM)
        deadline_s = min(
            max(lane["giveUpUs"] for lane in self.config["settings"]["lanes"]) / 1e6, _MAX_DRAIN_S
        )
        try:
            async with asyncio.timeout(deadline_s + _KILL_DELAY_S):
                await running.process.wait()
        except TimeoutError:
            self.kill()
            await running.process.wait()

    def kill(self) -> None:
        """Send SIGKILL."""
        running = self._require_running()
        running.record.killed_at = now()
        if not running.has_ended:
            running.process.kill()

    async def wait_ended(self) -> None:
        """Wait until the process has ended."""
        await self._require_running().process.wait()

    def reload(self) -> None:
        """Send SIGHUP."""
        running = self._require_running()
        if not running.has_ended:
            running.process.send_signal(signal.SIGHUP)

    async def pause(self, duration_s: float) -> None:
        """Stop the process by SIGSTOP, and continue it after `duration_s`."""
        running = self._require_running()
        if running.has_ended:
            return
        started_at = now()
        running.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        if not running.has_ended:
            running.process.send_signal(signal.SIGCONT)
        self._records.pauses.append(Pause(self.number, started_at, now()))

    async def call(self, command: str) -> list[str]:
        """Call the control endpoint; OSError or TimeoutError if it does not respond."""
        reader, writer = await asyncio.open_connection(*self.control)
        writer.write(f"{command}\n".encode())
        async with asyncio.timeout(5.0):
            response = await reader.read()
        writer.close()
        return response.decode().splitlines()

    async def figures(self) -> dict[str, int]:
        """The `app.*` figures of its telemetry, without the prefix."""
        lines = await self.call("telemetry")
        pairs = (line.partition("=") for line in lines if "=" in line)
        return {name.removeprefix("app."): int(value) for name, _, value in pairs}

    def descriptors(self) -> int:
        """How many file descriptors its process has open."""
        return len(os.listdir(f"/proc/{self._require_running().process.pid}/fd"))

    async def close(self) -> None:
        """Kill the process, and close what was opened for it."""
        if self.running is not None and not self.running.has_ended:
            self.kill()
            await self.wait_ended()
        if self._log_readers:
            self.reads_log.set()
            await asyncio.wait(self._log_readers, timeout=5.0)
        if self._listener is not None:
            self._listener.close()


def settings(
    classes: list[RequestClass], number: int, count: int, *, discovery: str, **bounds: Any
) -> dict[str, Any]:
    """The settings of sidecar `number` in a fleet of `count`."""
    return {
        "lanes": [request_class.settings for request_class in classes],
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
