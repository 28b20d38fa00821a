"""Plays a scenario in real time (stand-ins, real sidecar processes, the generator) and checks its history."""

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
from tulipnotch.lab.faults import Deed, plan
from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.real import backend, generator
from tulipnotch.lab.recorder import Recorder
from tulipnotch.lab.results import Result, Run
from tulipnotch.lab.scenario import Scenario, tenant_quotas_per_s, wire_settings

LATE_MS = 10.0  # a generator later than this at its 99th percentile makes a run not valid
_READY_WITHIN_S = 20.0
_LEAD_NS = 300_000_000  # from the order to start to time 0
_ENDS_WITHIN_S = 10.0

COMMAND = (sys.executable, "-m", "tulipnotch.sidecar")  # what `deploy/balancer.toml` runs


class LabFault(Exception):
    """The platform could not be set up, or a part of it died; the text says which."""


@dataclass(slots=True)
class SidecarProcess:
    """One real sidecar."""

    place: int
    listen: tuple[str, int]
    control: tuple[str, int]
    config: Path
    command: Sequence[str] = COMMAND
    process: subprocess.Popen[bytes] | None = None
    log: Path = field(default_factory=Path)

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.command, stderr=log, stdout=log, stdin=subprocess.DEVNULL,
                env={**os.environ, "BALANCER_CONFIG": str(self.config)},
                start_new_session=True,  # Ctrl-C is for the parent, which ends all in order
            )  # fmt: skip

    def await_ready(self, within_s: float = _READY_WITHIN_S) -> None:
        """Wait until it answers its health check with yes; raise LabFault if it doesn't."""
        assert self.process is not None
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise LabFault(f"sidecar {self.place} ended with {self.process.returncode}: {self.tail()}")
            try:
                with socket.create_connection(self.listen, 1.0) as connection:
                    connection.sendall(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    if connection.recv(64).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.02)
        raise LabFault(f"sidecar {self.place} was not ready within {within_s:g} s: {self.tail()}")

    def listens(self) -> bool:
        try:
            socket.create_connection(self.listen, 0.5).close()
        except OSError:
            return False
        return True

    def tail(self) -> str:
        lines = self.log.read_text(errors="replace").splitlines()
        return lines[-1] if lines else "it said nothing"

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def end(self) -> int | None:
        """End it in good order; give its exit code, None if it had to be killed."""
        if self.process is None:
            return 0
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(_ENDS_WITHIN_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Platform:
    """The stand-ins in their process, and the sidecars; a context manager below sets it up and ends it."""

    def __init__(
        self, given: Scenario, seed: int, folder: Path, command: Sequence[str] = COMMAND, keeps: bool = True
    ) -> None:
        self.given, self.seed, self._folder, self._command = given, seed, folder, command
        self._keeps = keeps
        self.capacity = fleet.capacity(fleet.build(given, seed, HistoryChecker(given)))
        self.sidecars: list[SidecarProcess] = []
        self._context = multiprocessing.get_context("spawn")
        self._processes: list[Any] = []
        self.pipe: Connection

    def open(self) -> None:
        self.pipe = self.spawn(backend.main, self.given, self.seed, self._keeps)
        told = self.receive(self.pipe, "the stand-ins")
        self.discovery: list[str] = told["discovery"]
        self.known: list[list[dict[str, Any]]] = told["known"]
        for place in range(self.given.fleet.sidecars):
            self.sidecars.append(self._sidecar(place))
        for each in self.sidecars:
            each.start()
        for each in self.sidecars:
            each.await_ready()

    def start(self, clients: Connection | None) -> int:
        """Let time begin for the stand-ins and the clients; give its 0 on the monotonic clock (ns)."""
        t0_ns = time.monotonic_ns() + _LEAD_NS
        for pipe in (self.pipe, clients):
            if pipe is not None:
                pipe.send(("start", t0_ns))
        return t0_ns

    def spawn(self, main: Callable[..., None], *given: Any) -> Connection:
        ours, theirs = self._context.Pipe()
        process = self._context.Process(target=main, args=(*given, theirs), daemon=True)
        process.start()
        theirs.close()
        self._processes.append(process)
        return ours

    def receive(self, pipe: Connection, who: str, within_s: float = 60.0) -> Any:
        try:
            if pipe.poll(within_s):
                return pipe.recv()
        except (EOFError, OSError):
            pass
        raise LabFault(f"{who} did not answer")

    def _sidecar(self, place: int) -> SidecarProcess:
        listen, control = (_free(f"127.90.{place // 250}.{place % 250 + 1}") for _ in range(2))
        config = self._folder / f"sidecar-{place}.json"
        told = {
            "name": f"n{place}",
            "listen": f"{listen[0]}:{listen[1]}",
            "control": f"{control[0]}:{control[1]}",
            "discovery": self.discovery[place],
            "seed": f"{self.seed * 1_000 + place:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": self.known[place]},
            "settings": wire_settings(self.given, place, self.capacity),
        }
        config.write_text(json.dumps(told))
        return SidecarProcess(
            place, listen, control, config, self._command, log=self._folder / f"sidecar-{place}.log"
        )

    def close(self) -> list[int | None]:
        """End everything; give the sidecars' exit codes."""
        codes = [each.end() for each in self.sidecars]
        for process in self._processes:
            process.join(2.0)
            if process.is_alive():
                process.kill()
                process.join()
        return codes


def _free(host: str) -> tuple[str, int]:
    """A port that is free on an address of the sidecar's own."""
    with socket.socket() as one:
        one.bind((host, 0))
        port: int = one.getsockname()[1]
    return host, port


@contextmanager
def platform(
    given: Scenario, seed: int, command: Sequence[str] = COMMAND, keeps: bool = True
) -> Iterator[Platform]:
    """A platform that is up, and ended in any case.  Without `keeps` no judge follows, and it may last."""
    with tempfile.TemporaryDirectory(prefix="tulipnotch-lab-") as folder:
        found = Platform(given, seed, Path(folder), command, keeps)
        try:
            found.open()
            yield found
        finally:
            found.close()


def one_seed(
    given: Scenario, seed: int, progress: play.Progress | None = None, command: Sequence[str] = COMMAND
) -> Run:
    """Play one seed; raise LabFault if the platform fails."""
    with platform(given, seed, command) as world:
        clients = world.spawn(
            generator.main, given, seed, world.capacity, [each.listen for each in world.sidecars], True
        )
        world.receive(clients, "the generator")
        t0_ns = world.start(clients)
        kills = _watch(world, clients, t0_ns, progress)
        left = world.receive(clients, "the generator")[1]
        crashed = [each for each in world.sidecars if each.process is None or each.process.poll() is not None]
        told = "; ".join(f"sidecar {each.place} ended by itself: {each.tail()}" for each in crashed)
        codes = [each.end() for each in world.sidecars]
        if not told and any(codes):
            told = f"sidecars ended with {codes}"
        world.pipe.send(("stop",))
        seen = world.receive(world.pipe, "the stand-ins")
        return _run(given, seed, world.capacity, left, seen, kills, told)


def _watch(
    world: Platform, clients: Connection, t0_ns: int, progress: play.Progress | None
) -> list[backend.Record]:
    """Wait for the generator; restart sidecars when it is their time; give the records of these."""
    restarts = [each for each in plan(world.given, world.seed) if each.deed is Deed.RESTART]
    records: list[backend.Record] = []
    away: list[SidecarProcess] = []
    ends = t0_ns / 1e9 + world.given.seconds + 120.0
    while not clients.poll(0.05):
        now = (time.monotonic_ns() - t0_ns) // 1_000
        while restarts and restarts[0].at <= now:
            sidecar = world.sidecars[restarts.pop(0).target]
            sidecar.kill()
            records.append(((time.monotonic_ns() - t0_ns) // 1_000, "killed", sidecar.place))
            sidecar.start()
            away.append(sidecar)
        for each in [one for one in away if one.listens()]:
            records.append(((time.monotonic_ns() - t0_ns) // 1_000, "back", each.place))
            away.remove(each)
        if progress is not None:
            progress(min(max(now / 1e6 / world.given.seconds, 0.0), 1.0))
        if time.monotonic() > ends:
            raise LabFault("the generator did not end")
    return records


def _run(
    given: Scenario, seed: int, capacity: float, left: dict[str, Any], seen: dict[str, Any],
    kills: list[backend.Record], fault: str,
) -> Run:  # fmt: skip
    history = HistoryChecker(given)
    merged = sorted([*left["records"], *seen["records"], *kills], key=lambda record: record[0])
    for at, what, *rest in merged:
        replay(history, given, at, what, rest)
    end = int((given.seconds + 60.0) * 1e6)
    history.close(end)
    recorder = Recorder(given, tenant_quotas_per_s(given, capacity))
    ended: list[generator.Ended] = sorted(left["ended"], key=lambda each: (each.ask.at, each.ask.number))
    kinds = {each.name: each for each in given.classes}
    for each in ended:
        each.ask.kind = kinds[each.ask.kind.name]
        recorder.request_ended(each.ask, recorder.first_try_sent(each.ask), each.how, each.at)
    counts = seen["counts"]
    recorder.counters.attempts = counts.get("attempts", 0)
    recorder.counters.cross_zone_attempts = counts.get("crossings", 0)
    recorder.counters.handshakes = counts.get("handshakes", 0)
    recorder.counters.health_checks = counts.get("probes", 0)
    recorder.series.servers = seen["rows"]
    recorder.counters.overloaded_us = seen["choked_us"]
    recorder.series.timeline = sorted(
        [*seen["timeline"], *((round(at / 1e6, 3), f"{what} sidecar {place}") for at, what, place in kills)]
    )
    late = left["late"]
    invalid = (
        f"the generator was {late['p99']} ms late at its 99th percentile" if late["p99"] > LATE_MS else ""
    )
    violations = {rule: texts for rule, texts in history.violations.items() if texts}
    if fault:
        history.violation_counts["answers"] += 1
        violations.setdefault("answers", []).insert(0, fault)
    return Run(
        seed=seed, metrics=recorder.metrics(history), violations=violations,
        series=recorder.series.to_result(), invalid=invalid, lateness_ms=late,
    )  # fmt: skip


def replay(history: HistoryChecker, given: Scenario, at: int, what: str, rest: list[Any]) -> None:
    """Enter one record, as the clients or the stand-ins wrote it down."""
    match what, rest:
        case "taken", [request, sidecar, place, wait_us]:
            history.request_received(request, sidecar, given.classes[place], now=at, timeout_us=wait_us)
        case "answered", [request, refused]:
            history.response_received(request, at, is_rejection=refused)
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
        case "fell", [server, started_at, work]:
            history.server_overloaded(server, started_at, work)
        case "published", [server, leaves]:
            history.endpoint_published(server, is_draining=leaves, now=at)
        case "asked", [sidecar, when]:
            history.endpoints_polled(sidecar, None if when is None else at)
        case "told", [sidecar, server, leaves, started_at]:
            history.sidecar_notified(sidecar, server, is_draining=leaves, started_at=started_at, now=at)
        case _:
            raise ValueError(f"unknown record {what!r}")


def all_seeds(given: Scenario, seeds: Sequence[int], progress: play.Progress | None = None) -> Result:
    """One seed after another: in real time they would disturb each other."""
    runs = []
    for place, seed in enumerate(seeds):

        def part(done: float, before: int = place) -> None:
            if progress is not None:
                progress((before + done) / len(seeds))

        runs.append(one_seed(given, seed, part))
    return play.gather(given, "real", "module", runs)


def shorter(given: Scenario, seconds: float) -> Scenario:
    """The same scenario, cut to this length."""
    faults = tuple(each for each in given.faults if each.at_s < seconds)
    return msgspec.structs.replace(given, seconds=seconds, faults=faults)
