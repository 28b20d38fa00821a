"""Runs a scenario in real time with test servers, sidecars and a load generator, and checks its history."""

from __future__ import annotations

import json
import multiprocessing
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import msgspec

from tulipnotch.lab import fleet, play
from tulipnotch.lab.faults import FaultAction, plan_fault_events
from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.real import backend, generator
from tulipnotch.lab.recorder import Recorder
from tulipnotch.lab.results import Result, Run
from tulipnotch.lab.scenario import Scenario, tenant_quotas_per_s, wire_settings

MAX_LATENESS_MS = 10.0  # the run is invalid if the load generator's 99th percentile is beyond it
_READY_TIMEOUT_S = 20.0
_START_LEAD_NS = 300_000_000  # time between the start command and time 0 of the run
_STOP_TIMEOUT_S = 10.0

SIDECAR_COMMAND = (sys.executable, "-m", "tulipnotch.sidecar")  # the command in `deploy/balancer.toml`


class PlatformError(Exception):
    """The platform could not be started, or a part of it failed; the text says which."""


@dataclass(slots=True)
class SidecarProcess:
    """The process of one real sidecar.

    Attributes:
        index: The index of the sidecar.
        listen: The address at which it listens for requests.
        control: The address of its control endpoint.
        config: Its configuration file.
        command: The command that starts it.
        process: The process, if it has been started.
        log: The file that its output is appended to.
    """

    index: int
    listen: tuple[str, int]
    control: tuple[str, int]
    config: Path
    command: Sequence[str] = SIDECAR_COMMAND
    process: subprocess.Popen[bytes] | None = None
    log: Path = field(default_factory=Path)

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, stderr=log, stdout=log, stdin=subprocess.DEVNULL,
                env={**os.environ, "BALANCER_CONFIG": str(self.config)},
                start_new_session=True,  # the parent process handles Ctrl-C and stops this one
            )  # fmt: skip

    def wait_until_ready(self, timeout_s: float = _READY_TIMEOUT_S) -> None:
        """Waits until its health check succeeds; raises PlatformError if it does not in time."""
        assert self.process is not None
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise PlatformError(
                    f"sidecar {self.index} exited with {self.process.returncode}: {self.last_log_line()}"
                )
            try:
                with socket.create_connection(self.listen, 1.0) as connection:
                    connection.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    if connection.recv(64).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.02)
        raise PlatformError(
            f"sidecar {self.index} was not ready within {timeout_s:g} s: {self.last_log_line()}"
        )

    def is_listening(self) -> bool:
        try:
            socket.create_connection(self.listen, 0.5).close()
        except OSError:
            return False
        return True

    def last_log_line(self) -> str:
        lines = self.log.read_text(errors="replace").splitlines()
        return lines[-1] if lines else "its log is empty"

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def stop(self) -> int | None:
        """Stops it with SIGTERM; returns its exit code, None if it had to be killed."""
        if self.process is None:
            return 0
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Platform:
    """The process of servers and discovery, and the sidecars; `running_platform` starts and stops it."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        command: Sequence[str] = SIDECAR_COMMAND,
        keeps_records: bool = True,
    ) -> None:
        self.scenario, self.seed, self._folder, self._command = scenario, seed, folder, command
        self._keeps_records = keeps_records
        self.capacity = fleet.total_capacity(fleet.build_servers(scenario, seed, HistoryChecker(scenario)))
        self.sidecars: list[SidecarProcess] = []
        self._context = multiprocessing.get_context("spawn")
        self._processes: list[Any] = []
        self.backend_pipe: Connection

    def open(self) -> None:
        self.backend_pipe = self.spawn(backend.main, self.scenario, self.seed, self._keeps_records)
        addresses = self.receive(self.backend_pipe, "the test servers")
        self.discovery_addresses: list[str] = addresses["discovery"]
        self.endpoint_lists: list[list[dict[str, Any]]] = addresses["known"]
        for index in range(self.scenario.fleet.sidecars):
            self.sidecars.append(self._configure_sidecar(index))
        for each in self.sidecars:
            each.start()
        for each in self.sidecars:
            each.wait_until_ready()

    def start(self, load_generator: Connection | None) -> int:
        """Starts the run at the servers and the load generator; returns its time 0, monotonic nanoseconds."""
        t0_ns = time.monotonic_ns() + _START_LEAD_NS
        for pipe in (self.backend_pipe, load_generator):
            if pipe is not None:
                pipe.send(("start", t0_ns))
        return t0_ns

    def spawn(self, main: Callable[..., None], *arguments: Any) -> Connection:
        """Starts a process that runs `main`; returns this end of the pipe to it."""
        parent_pipe, child_pipe = self._context.Pipe()
        process = self._context.Process(target=main, args=(*arguments, child_pipe), daemon=True)
        process.start()
        child_pipe.close()
        self._processes.append(process)
        return parent_pipe

    def receive(self, pipe: Connection, sender: str, timeout_s: float = 60.0) -> Any:
        """Receives a message; raises PlatformError if none comes in time."""
        try:
            if pipe.poll(timeout_s):
                return pipe.recv()
        except (EOFError, OSError):
            pass
        raise PlatformError(f"{sender} did not respond")

    def _configure_sidecar(self, index: int) -> SidecarProcess:
        listen, control = (_free_address(f"127.90.{index // 250}.{index % 250 + 1}") for _ in range(2))
        config = self._folder / f"sidecar-{index}.json"
        configuration = {
            "name": f"n{index}",
            "listen": f"{listen[0]}:{listen[1]}",
            "control": f"{control[0]}:{control[1]}",
            "discovery": self.discovery_addresses[index],
            "seed": f"{self.seed * 1_000 + index:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": self.endpoint_lists[index]},
            "settings": wire_settings(self.scenario, index, self.capacity),
        }
        config.write_text(json.dumps(configuration))
        return SidecarProcess(
            index, listen, control, config, self._command, log=self._folder / f"sidecar-{index}.log"
        )

    def close(self) -> list[int | None]:
        """Stops all processes; returns the exit codes of the sidecars."""
        exit_codes = [each.stop() for each in self.sidecars]
        for process in self._processes:
            process.join(2.0)
            if process.is_alive():
                process.kill()
                process.join()
        return exit_codes


def _free_address(host: str) -> tuple[str, int]:
    """Returns an address with a free port on a host address that only this sidecar uses."""
    with socket.socket() as temporary_socket:
        temporary_socket.bind((host, 0))
        port: int = temporary_socket.getsockname()[1]
    return host, port


@contextmanager
def running_platform(
    scenario: Scenario, seed: int, command: Sequence[str] = SIDECAR_COMMAND, keeps_records: bool = True
) -> Iterator[Platform]:
    """Starts a platform, and stops it in any case.

    Args:
        scenario: The scenario.
        seed: The seed of the run.
        command: The command that starts a sidecar.
        keeps_records: Whether records are kept for a history check; without them, the run may last for ever.
    """
    with tempfile.TemporaryDirectory(prefix="tulipnotch-lab-") as folder:
        platform = Platform(scenario, seed, Path(folder), command, keeps_records)
        try:
            platform.open()
            yield platform
        finally:
            platform.close()


def run_seed(
    scenario: Scenario,
    seed: int,
    on_progress: play.OnProgress | None = None,
    command: Sequence[str] = SIDECAR_COMMAND,
) -> Run:
    """Runs one seed in real time; raises PlatformError if the platform fails."""
    with running_platform(scenario, seed, command) as platform:
        load_generator = platform.spawn(
            generator.main,
            scenario,
            seed,
            platform.capacity,
            [each.listen for each in platform.sidecars],
            True,
        )
        platform.receive(load_generator, "the load generator")
        t0_ns = platform.start(load_generator)
        restart_records = _await_load_generator(platform, load_generator, t0_ns, on_progress)
        load_results = platform.receive(load_generator, "the load generator")[1]
        exited = [
            each for each in platform.sidecars if each.process is None or each.process.poll() is not None
        ]
        sidecar_fault = "; ".join(
            f"sidecar {each.index} exited during the run: {each.last_log_line()}" for each in exited
        )
        exit_codes = [each.stop() for each in platform.sidecars]
        if not sidecar_fault and any(exit_codes):
            sidecar_fault = f"the exit codes of the sidecars were {exit_codes}"
        platform.backend_pipe.send(("stop",))
        observations = platform.receive(platform.backend_pipe, "the test servers")
        return _build_run(
            scenario, seed, platform.capacity, load_results, observations, restart_records, sidecar_fault
        )


def _await_load_generator(
    platform: Platform, load_generator: Connection, t0_ns: int, on_progress: play.OnProgress | None
) -> list[backend.Record]:
    """Waits for the load generator and restarts sidecars as planned; returns the records of the restarts."""
    restarts = [
        each
        for each in plan_fault_events(platform.scenario, platform.seed)
        if each.action is FaultAction.RESTART_SIDECAR
    ]
    records: list[backend.Record] = []
    starting: list[SidecarProcess] = []
    deadline = t0_ns / 1e9 + platform.scenario.seconds + 120.0
    while not load_generator.poll(0.05):
        now = (time.monotonic_ns() - t0_ns) // 1_000
        while restarts and restarts[0].at <= now:
            sidecar = platform.sidecars[restarts.pop(0).target]
            sidecar.kill()
            records.append(((time.monotonic_ns() - t0_ns) // 1_000, "killed", sidecar.index))
            sidecar.start()
            starting.append(sidecar)
        for each in [process for process in starting if process.is_listening()]:
            records.append(((time.monotonic_ns() - t0_ns) // 1_000, "back", each.index))
            starting.remove(each)
        if on_progress is not None:
            on_progress(min(max(now / 1e6 / platform.scenario.seconds, 0.0), 1.0))
        if time.monotonic() > deadline:
            raise PlatformError("the load generator did not end in time")
    return records


def _build_run(
    scenario: Scenario, seed: int, capacity: float, load_results: dict[str, Any],
    observations: dict[str, Any], restart_records: list[backend.Record], sidecar_fault: str,
) -> Run:  # fmt: skip
    """Checks the merged history, and returns the results of the run."""
    history = HistoryChecker(scenario)
    records = sorted(
        [*load_results["records"], *observations["records"], *restart_records], key=lambda record: record[0]
    )
    for at, kind, *fields in records:
        replay_record(history, scenario, at, kind, fields)
    end = int((scenario.seconds + 60.0) * 1e6)
    history.finish(end)
    recorder = Recorder(scenario, tenant_quotas_per_s(scenario, capacity))
    ended: list[generator.EndedRequest] = sorted(
        load_results["ended"],
        key=lambda each: (each.client_request.intended_at, each.client_request.number),
    )
    classes = {each.name: each for each in scenario.classes}
    for each in ended:
        each.client_request.service_class = classes[each.client_request.service_class.name]
        recorder.request_ended(
            each.client_request,
            recorder.first_try_sent(each.client_request),
            each.outcome,
            each.ended_at,
        )
    counts = observations["counts"]
    recorder.counters.attempts = counts.get("attempts", 0)
    recorder.counters.cross_zone_attempts = counts.get("crossings", 0)
    recorder.counters.handshakes = counts.get("handshakes", 0)
    recorder.counters.health_checks = counts.get("probes", 0)
    recorder.series.servers = observations["rows"]
    recorder.counters.overloaded_us = observations["choked_us"]
    recorder.series.timeline = sorted(
        [
            *observations["timeline"],
            *((round(at / 1e6, 3), f"{kind} sidecar {index}") for at, kind, index in restart_records),
        ]
    )
    lateness_ms = load_results["late"]
    invalid = (
        f"the load generator was {lateness_ms['p99']} ms late at its 99th percentile"
        if lateness_ms["p99"] > MAX_LATENESS_MS
        else ""
    )
    violations = {rule: texts for rule, texts in history.violations.items() if texts}
    if sidecar_fault:
        history.violation_counts["answers"] += 1
        violations.setdefault("answers", []).insert(0, sidecar_fault)
    return Run(
        seed=seed, metrics=recorder.metrics(history), violations=violations,
        series=recorder.series.to_result(), invalid=invalid, lateness_ms=lateness_ms,
    )  # fmt: skip


def replay_record(history: HistoryChecker, scenario: Scenario, at: int, kind: str, fields: list[Any]) -> None:
    """Passes one record of the load generator, the servers or the restarts to the history checker."""
    match kind, fields:
        case "taken", [request, sidecar, class_index, timeout_us]:
            history.request_received(
                request, sidecar, scenario.classes[class_index], now=at, timeout_us=timeout_us
            )
        case "answered", [request, is_rejection]:
            history.response_received(request, at, is_rejection=is_rejection)
        case "wrong", [request]:
            history.foreign_response_received(request)
        case "excused", [request]:
            history.client_disconnected(request)
        case "killed", [sidecar]:
            history.sidecar_killed(sidecar)
        case "back", [sidecar]:
            history.sidecar_listening(sidecar)
        case "begun", [request, zone, cell]:
            history.attempt_started(request, zone, cell, at)
        case "sent", [sidecar, server]:
            history.attempt_sent(sidecar, server, at)
        case "fell", [server, started_at, work_by_sidecar]:
            history.server_overloaded(server, started_at, work_by_sidecar)
        case "published", [server, is_draining]:
            history.endpoint_published(server, is_draining=is_draining, now=at)
        case "asked", [sidecar, polled_at]:
            history.endpoints_polled(sidecar, None if polled_at is None else at)
        case "told", [sidecar, server, is_draining, started_at]:
            history.sidecar_notified(sidecar, server, is_draining=is_draining, started_at=started_at, now=at)
        case _:
            raise ValueError(f"unknown kind of record {kind!r}")


def run_seeds(scenario: Scenario, seeds: Sequence[int], on_progress: play.OnProgress | None = None) -> Result:
    """Runs the seeds one after another, because runs in real time would disturb each other."""
    runs = []
    for index, seed in enumerate(seeds):

        def on_seed_progress(done: float, seeds_done: int = index) -> None:
            if on_progress is not None:
                on_progress((seeds_done + done) / len(seeds))

        runs.append(run_seed(scenario, seed, on_seed_progress))
    return play.build_result(scenario, "real", "module", runs)


def shorten(scenario: Scenario, seconds: float) -> Scenario:
    """Returns the scenario with this length, and without the faults that start later."""
    faults = tuple(each for each in scenario.faults if each.at_s < seconds)
    return msgspec.structs.replace(scenario, seconds=seconds, faults=faults)
