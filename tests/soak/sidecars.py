"""Starts, stops, kills, pauses and reloads real sidecar processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from soak.records import Pause, ProcessRecord, Records, RequestClass, now
from soak.servers import HOST, allocate_port
from soak.shim import FaultShim

_ROOT = Path(__file__).parent.parent.parent
_RUN_COMMAND: str = tomllib.loads((_ROOT / "deploy" / "balancer.toml").read_text())["run"]
_MAX_DRAIN_S = 3.0  # Upper bound of the time that a process has for draining after SIGTERM.
_READINESS_POLL_S = 0.02
_KILL_DELAY_S = 0.7  # SIGKILL follows this long after the end of the drain time.
READY_TIMEOUT_S = 10.0


class SidecarNotStartedError(RuntimeError):
    """An operation needs a process, but the sidecar has not been started.

    Attributes:
        number: Number of the sidecar.
    """

    def __init__(self, number: int) -> None:
        super().__init__(f"sidecar n{number} has not been started")
        self.number = number


@dataclass(frozen=True, slots=True)
class ProcessHandle:
    """A process, which may have ended, and its record."""

    process: asyncio.subprocess.Process
    record: ProcessRecord

    @property
    def has_ended(self) -> bool:
        """Whether the exit code of the process is known."""
        return self.process.returncode is not None


class ManagedSidecar:
    """One sidecar, whose addresses and files outlive its processes; owns the processes."""

    def __init__(
        self, number: int, folder: Path, shim_library: Path, records: Records, *, inherits_listener: bool
    ) -> None:
        self.number = number
        self.folder = folder / f"n{number}"
        self.folder.mkdir()
        self.shim = FaultShim(shim_library, self.folder / "words")
        self.current_process: ProcessHandle | None = None
        self.peak_resident_mb = 0.0  # Of all processes together.
        self._handles: list[ProcessHandle] = []
        self.config: dict[str, Any] = {}
        self.log_reading_enabled = asyncio.Event()
        self.log_reading_enabled.set()
        self._records = records
        self._listener: socket.socket | None = None
        self._log_readers: set[asyncio.Task[None]] = set()
        self.address = (HOST, allocate_port())
        self.control_address = (HOST, allocate_port())
        if inherits_listener:
            self._listener = socket.create_server(self.address, backlog=1_024)

    @property
    def inherits_listener(self) -> bool:
        """Whether all processes of this sidecar inherit the same listening socket."""
        return self._listener is not None

    def update_configuration(self, **changes: Any) -> None:
        """Changes these keys of the configuration and writes its file."""
        self.config |= changes
        self._write(json.dumps(self.config))

    def write_truncated_configuration(self) -> None:
        """Writes only the first half of the configuration file, as an interrupted write would."""
        text = json.dumps(self.config)
        self._write(text[: len(text) // 2])

    def _write(self, text: str) -> None:
        (self.folder / "config.json").write_text(text)

    async def start(self) -> None:
        """Starts a process and returns when it is ready or has ended.

        Raises:
            TimeoutError: the process neither became ready nor ended within `READY_TIMEOUT_S`.
        """
        operator_file = self.folder / "operator.toml"
        operator_file.write_text("[log]\nlines_per_s = 10000.0\nlines_at_once = 100000.0\nrequests = true\n")
        environ = {
            **os.environ,
            **self.shim.environment,
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "BALANCER_OPERATOR": str(operator_file),
        }
        inherited_fds: tuple[int, ...] = ()
        if self._listener is not None:
            inherited_fds = (self._listener.fileno(),)
            environ["BALANCER_INHERITED_FD"] = str(inherited_fds[0])
        process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            _RUN_COMMAND.replace(".venv/bin/python", sys.executable),
            cwd=_ROOT,
            env=environ,
            pass_fds=inherited_fds,
            stderr=asyncio.subprocess.PIPE,
        )
        record = ProcessRecord(self.number, process.pid, now())
        self._records.processes.append(record)
        self.current_process = ProcessHandle(process, record)
        self._handles = [handle for handle in self._handles if not handle.has_ended]
        self._handles.append(self.current_process)
        self._log_readers.add(asyncio.get_running_loop().create_task(self._read_log(process, record)))
        async with asyncio.timeout(READY_TIMEOUT_S):
            while process.returncode is None:
                if await self._is_ready():
                    record.ready_at = now()
                    break
                await asyncio.sleep(_READINESS_POLL_S)

    async def _is_ready(self) -> bool:
        try:
            return await self.send_command("readyz") == ["+OK ready"]
        except (OSError, TimeoutError):
            return False

    async def _read_log(self, process: asyncio.subprocess.Process, record: ProcessRecord) -> None:
        if process.stderr is not None:
            while line := await process.stderr.readline():
                await self.log_reading_enabled.wait()
                record.log.append(line.decode(errors="replace").rstrip("\n"))
        record.exit_code = await process.wait()
        record.ended_at = now()

    def _require_process(self) -> ProcessHandle:
        if self.current_process is None:
            raise SidecarNotStartedError(self.number)
        return self.current_process

    async def stop(self) -> None:
        """Sends SIGTERM, and SIGKILL if the process outlives the time that the platform allows for draining.

        The drain time is the longest deadline of the request classes, but at most `_MAX_DRAIN_S`.
        """
        handle = self._require_process()
        if handle.has_ended:
            return  # The process ended by itself; the rule checker finds that in its record.
        handle.record.sigterm_at = now()
        handle.process.send_signal(signal.SIGTERM)
        drain_timeout_s = min(
            max(lane["giveUpUs"] for lane in self.config["settings"]["lanes"]) / 1e6, _MAX_DRAIN_S
        )
        try:
            async with asyncio.timeout(drain_timeout_s + _KILL_DELAY_S):
                await handle.process.wait()
        except TimeoutError:
            self.kill()
            await handle.process.wait()

    def kill(self) -> None:
        """Sends SIGKILL."""
        handle = self._require_process()
        handle.record.killed_at = now()
        if not handle.has_ended:
            handle.process.kill()

    async def wait_until_ended(self) -> None:
        """Waits until the process has ended."""
        await self._require_process().process.wait()

    def signal_reload(self) -> None:
        """Sends SIGHUP, upon which the process reads its configuration again."""
        handle = self._require_process()
        if not handle.has_ended:
            handle.process.send_signal(signal.SIGHUP)

    async def repeat_signals(self, count: int, rng: random.Random) -> None:
        """Sends further signals to the current process, which has received SIGTERM."""
        handle = self._require_process()
        for _ in range(count):
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            if not handle.has_ended:
                handle.process.send_signal(rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGINT]))

    def sample_memory(self) -> None:
        """Updates the highest resident memory, of each process and of all that run now together."""
        current_mb = 0.0
        for handle in self._handles:
            if handle.has_ended:
                continue
            try:
                status = Path(f"/proc/{handle.process.pid}/status").read_text()
            except OSError:
                continue
            resident_mb, peak_mb = (
                sum(int(kb) for kb in re.findall(rf"^{name}:\s+(\d+) kB$", status, re.MULTILINE)) / 1_024
                for name in ("VmRSS", "VmHWM")
            )
            current_mb += resident_mb
            self.peak_resident_mb = max(self.peak_resident_mb, peak_mb)
        self.peak_resident_mb = max(self.peak_resident_mb, current_mb)

    async def pause(self, duration_s: float) -> None:
        """Suspends the process by SIGSTOP, and resumes it by SIGCONT after `duration_s`."""
        handle = self._require_process()
        if handle.has_ended:
            return
        paused_at = now()
        handle.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        if not handle.has_ended:
            handle.process.send_signal(signal.SIGCONT)
        self._records.pauses.append(Pause(self.number, paused_at, now()))

    async def send_command(self, command: str) -> list[str]:
        """Sends a command to the control endpoint and returns the lines of its response.

        Raises:
            OSError: the connection failed.
            TimeoutError: the response was not complete within 5 s.
        """
        reader, writer = await asyncio.open_connection(*self.control_address)
        writer.write(f"{command}\n".encode())
        async with asyncio.timeout(5.0):
            response = await reader.read()
        writer.close()
        return response.decode().splitlines()

    async def read_telemetry(self) -> dict[str, int]:
        """Returns the `app.*` metrics of the telemetry command, without the prefix."""
        lines = await self.send_command("telemetry")
        pairs = (line.partition("=") for line in lines if "=" in line)
        return {name.removeprefix("app."): int(value) for name, _, value in pairs}

    def count_descriptors(self) -> int:
        """Returns the number of file descriptors that the process has open."""
        return len(os.listdir(f"/proc/{self._require_process().process.pid}/fd"))

    async def close(self) -> None:
        """Kills the process, and ends its log reader and listening socket."""
        if self.current_process is not None and not self.current_process.has_ended:
            self.kill()
            await self.wait_until_ended()
        if self._log_readers:
            self.log_reading_enabled.set()
            await asyncio.wait(self._log_readers, timeout=5.0)
        if self._listener is not None:
            self._listener.close()


def make_settings(
    classes: list[RequestClass],
    instance_index: int,
    instance_count: int,
    *,
    discovery_mode: str,
    **limit_overrides: Any,
) -> dict[str, Any]:
    """Returns the settings of one sidecar; `limit_overrides` replace keys of `bounds`."""
    return {
        "lanes": [request_class.settings_entry for request_class in classes],
        "zone": "a" if instance_index % 2 else "b",
        "me": instance_index,
        "groupSize": instance_count,
        "quantumUs": 1_000,
        "discovery": discovery_mode,
        "bounds": {
            "sendCap": 3,
            "secondCopies": True,
            "mayCancel": True,
            "retryAfter": True,
            "maxRetryAfterUs": 500_000,
            "dialTimeoutUs": 250_000,
            "idleCloseUs": 3_000_000,
            **limit_overrides,
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
