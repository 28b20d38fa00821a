"""Test doubles of the platform: order servers and discovery on loopback sockets, in a process of their own.

The servers are the models of `lab.server`, driven by the event loop's clock.  Each server and discovery
listen on one address for each sidecar, so that the sender of a request is known whatever it contains.

Real time differs from virtual time in three ways.  Delays under a millisecond are those of the loopback
interface, because timers have a resolution of whole milliseconds.  During a partition, connections are
accepted and receive no response.  A malformed response has one of four forms: random bytes, a truncated head,
an invalid content length, or a correct response that is written a few bytes at a time.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
import urllib.parse
from collections.abc import Callable
from multiprocessing.connection import Connection
from typing import Any, cast

import httptools
import uvloop

from tulipnotch.lab import fleet
from tulipnotch.lab.directory import DirectoryEntry, ListedState, to_discovery_json
from tulipnotch.lab.faults import FaultAction, FaultEvent, apply_to_server, plan_fault_events
from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.load import random_stream
from tulipnotch.lab.scenario import Scenario
from tulipnotch.lab.server import AdmissionResult, Job, JobState, OrderServer

Record = tuple[Any, ...]  # time (microseconds from the start), kind, and the fields of the kind

_DISCOVERY_PATH = "/catalog/members"
_MAX_WATCH_MS = 60_000
_DEDUPLICATION_MEMORY_US = 60_000_000  # how long requests are remembered if no records are kept
_QUEUE_FULL = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
_ERROR = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
_NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
_UNAVAILABLE = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"


def ok_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def request_target(service_class: int, work_us: float, key: int) -> str:
    """Returns the target of a request, which announces the index of its class, its work and its key."""
    return f"/api/{service_class}/{key}?w={work_us:.0f}"


class Backend:
    """All servers and discovery, and the records of what they observed."""

    def __init__(self, scenario: Scenario, seed: int, keeps_records: bool) -> None:
        self.scenario, self._keeps_records = scenario, keeps_records
        self.records: list[Record] = []
        self.counts = {"attempts": 0, "crossings": 0, "handshakes": 0, "probes": 0}
        self.rng = random_stream(seed, "backend")
        self.partitioned_zones: set[str] = set()
        # Only deduplicates; the rules are checked after the run, on the records.
        self.history = HistoryChecker(scenario)
        self.servers = fleet.build_servers(scenario, seed, self)
        self.zones = [
            scenario.fleet.zones[index % len(scenario.fleet.zones)]
            for index in range(scenario.fleet.sidecars)
        ]
        self.directory = fleet.build_directory(self.servers)
        self._publisher = fleet.DelayedPublisher(scenario, self._call_later)
        self._fault_events = plan_fault_events(scenario, seed)
        self._t0_ns = time.monotonic_ns()
        self.epoch_us = (time.time_ns() - time.monotonic_ns() + self._t0_ns) // 1_000
        self.timeline: list[tuple[float, str]] = []
        self.rows: dict[str, list[tuple[int, int]]] = {each.name: [] for each in self.servers}

    async def open(self) -> dict[str, Any]:
        """Opens all listeners; returns the addresses of discovery and the endpoint lists, by sidecar."""
        self.loop = asyncio.get_running_loop()
        sidecars = range(self.scenario.fleet.sidecars)
        self.server_listeners = [ServerListener(self, index, each) for index, each in enumerate(self.servers)]
        for each in self.server_listeners:
            each.listen()
        self.discovery_listeners = [DiscoveryListener(self, sidecar) for sidecar in sidecars]
        self.call_queue = CallQueue(self)
        addresses = [await each.listen() for each in self.discovery_listeners]
        endpoint_lists = [
            [self.list_entry(entry, sidecar) for entry in self.directory.current()] for sidecar in sidecars
        ]
        return {"discovery": addresses, "known": endpoint_lists}

    def now(self) -> int:
        return (time.monotonic_ns() - self._t0_ns) // 1_000

    def _call_later(self, delay_us: int, call: Callable[[], None]) -> None:
        self.loop.call_later(delay_us / 1e6, call)

    def start(self, t0_ns: int) -> None:
        """Sets the start of the run; records from before it get times of 0 or less."""
        shift_us = (t0_ns - self._t0_ns) // 1_000
        self.records = [(at - shift_us, *kind_and_fields) for at, *kind_and_fields in self.records]
        self._t0_ns = t0_ns
        self.epoch_us += shift_us
        for each in self._fault_events:
            if each.action is not FaultAction.RESTART_SIDECAR:
                self.loop.call_later((each.at - self.now()) / 1e6, self._apply_fault, each)
        self.loop.call_later(
            (1_000_000 - self.now()) / 1e6, self._sample_servers, dict.fromkeys(self.rows, 0), 1
        )

    def _sample_servers(self, last_completed: dict[str, int], second: int) -> None:
        for each in self.servers:
            self.rows[each.name].append((each.completed - last_completed[each.name], each.max_waiting))
            last_completed[each.name], each.max_waiting = each.completed, each.waiting
        if not self._keeps_records:
            self._discard_records()
        delay_s = ((second + 1) * 1_000_000 - self.now()) / 1e6
        self.loop.call_later(max(delay_s, 0.0), self._sample_servers, last_completed, second + 1)

    def _discard_records(self) -> None:
        """Bounds the memory of a run that no history check follows."""
        self.records.clear()
        self.timeline.clear()
        for rows in self.rows.values():
            rows.clear()
        self.history.remove_requests_executed_before(self.now() - _DEDUPLICATION_MEMORY_US)

    def list_entry(self, entry: DirectoryEntry, sidecar: int) -> dict[str, Any]:
        index = int(entry.name.removeprefix("s-"))
        return to_discovery_json(entry, self.server_listeners[index].addresses[sidecar], self.epoch_us)

    def record(self, kind: str, *fields: Any) -> None:
        self.records.append((self.now(), kind, *fields))

    def is_partitioned(self, sidecar: int, zone: str) -> bool:
        sidecar_zone = self.zones[sidecar]
        return sidecar_zone != zone and (
            sidecar_zone in self.partitioned_zones or zone in self.partitioned_zones
        )

    # Notifications of the servers (see `fleet.ServerObserver`)

    def attempt_started(self, request: int, zone: str, cell: int, now: int) -> bool:
        self.records.append((now, "begun", request, zone, cell))
        return self.history.attempt_started(request, zone, cell, now)

    def server_overloaded(self, server: str, started_at: int, work_by_sidecar: dict[int, float]) -> None:
        self.record("fell", server, started_at, dict(work_by_sidecar))
        self.timeline.append((self.now() / 1e6, f"{server} was overloaded while warming up"))
        self.loop.call_soon(self._crash_and_remove, self.server_listeners[int(server.removeprefix("s-"))])

    # Faults

    def _apply_fault(self, event: FaultEvent) -> None:
        now, discovery = self.now(), self.scenario.discovery
        listener = self.server_listeners[max(event.target, 0)]
        server = listener.server
        match event.action:
            case FaultAction.CRASH:
                if server.is_up:
                    self._crash_and_remove(listener)
            case FaultAction.START:
                server.start(now)
                listener.listen()
                self._publish_later(server, discovery.add_notice_s, ListedState.ACTIVE)
            case FaultAction.DRAIN:
                self._publish_later(server, discovery.drain_notice_s, ListedState.DRAINING)
                self.loop.call_later(discovery.drain_notice_s + 0.5, self._reject_new_requests, server)
            case FaultAction.DISCOVERY_DOWN:
                self.call_queue.is_up = False
                for each in self.discovery_listeners:
                    each.stop()
            case FaultAction.DISCOVERY_UP:
                self.call_queue.is_up = True
            case FaultAction.PARTITION_ZONE:
                self.partitioned_zones.add(event.zone)
            case FaultAction.HEAL_PARTITION:
                self.partitioned_zones.discard(event.zone)
            case _:
                listener.schedule_completions(apply_to_server(server, event, now))
        target = event.zone or (server.name if event.target >= 0 else "")
        self.timeline.append((round(now / 1e6, 3), f"{event.action.value} {target}".strip()))

    def _crash_and_remove(self, listener: ServerListener) -> None:
        listener.crash()
        self._publish_later(listener.server, self.scenario.discovery.crash_notice_s, ListedState.REMOVED)

    def _reject_new_requests(self, server: OrderServer) -> None:
        if server.is_up and self.directory.entry(server.name).state is not ListedState.ACTIVE:
            server.is_draining = True

    def _publish_later(self, server: OrderServer, delay_s: float, state: ListedState) -> None:
        started_at = server.started_at if state is ListedState.ACTIVE else None

        def publish() -> None:
            if self.directory.update(server.name, state, started_at):
                self.record("published", server.name, state is not ListedState.ACTIVE)
                for each in self.discovery_listeners:
                    each.notify_watches()

        self._publisher.publish_later(server.name, delay_s, publish)


class ServerListener:
    """One order server on its sockets, with one address for each sidecar."""

    def __init__(self, backend: Backend, index: int, server: OrderServer) -> None:
        self.backend, self.server, self._index = backend, server, index
        self.addresses: list[str] = []
        self._listeners: list[socket.socket] = []
        self.connections: set[ServerConnection] = set()
        self.jobs: dict[Job, ServerConnection] = {}

    def listen(self) -> None:
        """Opens the listeners; after a crash on the same addresses as before."""
        loop = self.backend.loop
        for sidecar in range(self.backend.scenario.fleet.sidecars):
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            if len(self.addresses) <= sidecar:
                # On an address of its own, no other process takes the port while the server is down.
                host = f"127.{100 + self._index // 250}.{sidecar % 250}.{self._index % 250 + 1}"
                listener.bind((host, 0))
                self.addresses.append(f"{host}:{listener.getsockname()[1]}")
            else:
                host, _, port = self.addresses[sidecar].rpartition(":")
                listener.bind((host, int(port)))
            listener.listen(256)
            self._listeners.append(listener)
            loop.add_reader(listener.fileno(), self._accept, listener, sidecar)

    def _accept(self, listener: socket.socket, sidecar: int) -> None:
        for _ in range(64):
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setblocking(False)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.backend.counts["handshakes"] += 1
            task = self.backend.loop.create_task(self._serve_connection(connection, sidecar))
            task.add_done_callback(lambda done: done.exception())

    async def _serve_connection(self, connection: socket.socket, sidecar: int) -> None:
        await self.backend.loop.connect_accepted_socket(lambda: ServerConnection(self, sidecar), connection)

    def schedule_completions(self, jobs: list[Job]) -> None:
        """Schedules the end of jobs that have started."""
        for job in jobs:
            delay_s = max(job.finishes_at - self.backend.now(), 0) / 1e6
            self.backend.loop.call_later(delay_s, self._finish_job, job)

    def _finish_job(self, job: Job) -> None:
        was_running = job.state is JobState.RUNNING
        self.schedule_completions(self.server.finish_job(self.backend.now(), job))
        connection = self.jobs.pop(job, None)
        if was_running and connection is not None:
            connection.respond(ok_response(b"%d" % job.request), may_corrupt=True)

    def crash(self) -> None:
        """Ends the server's process: resets its connections, and refuses new ones."""
        for listener in self._listeners:
            self.backend.loop.remove_reader(listener.fileno())
            listener.close()
        self._listeners.clear()
        self.server.crash(self.backend.now())
        self.jobs.clear()
        for each in list(self.connections):
            each.abort()


class _HttpConnection(asyncio.Protocol):
    """One accepted connection, which receives one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self.headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        self._url, self.headers = b"", {}

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        self.request_received(self._parser.get_method(), self._url.decode("latin-1"))

    def request_received(self, method: bytes, url: str) -> None:
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class ServerConnection(_HttpConnection):
    """A sidecar's connection to one server."""

    def __init__(self, listener: ServerListener, sidecar: int) -> None:
        super().__init__()
        self._listener, self._sidecar = listener, sidecar
        self._is_first_request = True
        self._job: Job | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._listener.connections.add(self)
        if not self._listener.server.is_up:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.connections.discard(self)
        job, self._job = self._job, None
        if job is not None and job.state is not JobState.ENDED:
            self._listener.jobs.pop(job, None)
            self._listener.schedule_completions(
                self._listener.server.cancel_job(self._listener.backend.now(), job)
            )

    def data_received(self, data: bytes) -> None:
        backend, server = self._listener.backend, self._listener.server
        if backend.is_partitioned(self._sidecar, server.zone):
            return  # the partition drops the bytes
        super().data_received(data)

    def request_received(self, method: bytes, url: str) -> None:
        backend, server = self._listener.backend, self._listener.server
        now = backend.now()
        if url in ("/ping", "/_load"):
            backend.counts["probes"] += 1
            if not server.is_hanging:
                self.write(
                    ok_response(b"TEXT queue=%d" % server.reported_queue(now) if url == "/_load" else b"")
                )
            return
        try:
            request = int(self.headers[b"request-id"], 16)
            split = urllib.parse.urlsplit(url)
            _, _, class_index, key = split.path.split("/")
            service_class = backend.scenario.classes[int(class_index)]
            work_us = float(urllib.parse.parse_qs(split.query)["w"][0])
        except (KeyError, ValueError, IndexError):
            self.write(_NOT_FOUND)
            return
        backend.counts["attempts"] += 1
        if backend.zones[self._sidecar] != server.zone:
            backend.counts["crossings"] += 1
        backend.record("sent", self._sidecar, server.name)
        if request not in backend.history:
            backend.history.request_received(
                request, self._sidecar, service_class, now=now, timeout_us=1 << 60
            )
        work_us *= 0.9 + 0.2 * backend.rng.random()
        if self._is_first_request:
            self._is_first_request = False
            work_us += backend.scenario.network.handshake_work_ms * 1e3
        job = self._job = Job(request, self._sidecar, work_us, service_class.work_ms * 1e3, int(key))
        result, started = server.receive_job(now, job, backend.rng.random())
        if result is AdmissionResult.REJECTED:
            self.respond(_QUEUE_FULL)
        elif result is AdmissionResult.FAILED:
            backend.loop.call_later(0.001, self.respond, _ERROR)
        else:
            self._listener.jobs[job] = self
        self._listener.schedule_completions(started)

    def respond(self, raw: bytes, may_corrupt: bool = False) -> None:
        backend, server = self._listener.backend, self._listener.server
        self._job = None
        if backend.is_partitioned(self._sidecar, server.zone):
            return
        if may_corrupt and backend.rng.random() < server.malformed_fraction:
            self._write_malformed(raw)
        else:
            self.write(raw)

    def _write_malformed(self, raw: bytes) -> None:
        form = self._listener.backend.rng.randrange(4)
        if form == 0:
            self.write(bytes(self._listener.backend.rng.randrange(128, 256) for _ in range(64)))
        elif form == 1:
            self.write(raw[:20])
            if self.transport is not None:
                self.transport.close()
        elif form == 2:
            self.write(raw.replace(b"Content-Length: ", b"Content-Length: -"))
        else:
            self._write_slowly(raw)

    def _write_slowly(self, raw: bytes) -> None:
        """Writes a response a few bytes at a time."""
        self.write(raw[:8])
        if raw[8:]:
            self._listener.backend.loop.call_later(0.01, self._write_slowly, raw[8:])


class CallQueue:
    """The calls of all sidecars to discovery: they wait in one queue, and fail after waiting too long."""

    def __init__(self, backend: Backend) -> None:
        self._backend = backend
        self._busy_until = 0.0
        self.is_up = True

    def enqueue(self, respond: Callable[[], None], fail: Callable[[], None]) -> None:
        loop, discovery = self._backend.loop, self._backend.scenario.discovery
        starts_at = max(self._busy_until, loop.time())
        if not self.is_up:
            loop.call_soon(fail)
        elif starts_at - loop.time() > discovery.timeout_s:
            loop.call_later(discovery.timeout_s, fail)
        else:
            self._busy_until = starts_at + 1.0 / discovery.calls_per_s
            loop.call_at(self._busy_until, respond)


class DiscoveryListener:
    """Discovery's listener for one sidecar."""

    def __init__(self, backend: Backend, sidecar: int) -> None:
        self.backend, self.sidecar = backend, sidecar
        self._connections: set[DiscoveryConnection] = set()

    async def listen(self) -> str:
        server = await self.backend.loop.create_server(lambda: DiscoveryConnection(self), "127.0.0.1", 0)
        self._server = server
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def connection_opened(self, connection: DiscoveryConnection) -> None:
        self._connections.add(connection)

    def connection_closed(self, connection: DiscoveryConnection) -> None:
        self._connections.discard(connection)

    def notify_watches(self) -> None:
        for each in list(self._connections):
            each.respond_to_watch()

    def stop(self) -> None:
        for each in list(self._connections):
            each.abort()


class DiscoveryConnection(_HttpConnection):
    """One connection to discovery: a call for the complete list, or a watch that waits for a change."""

    def __init__(self, listener: DiscoveryListener) -> None:
        super().__init__()
        self._listener = listener
        self._watched_version: int | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._listener.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.connection_closed(self)
        self._end_watch()
        self._listener.backend.record("asked", self._listener.sidecar, self._listener.backend.now())

    def request_received(self, method: bytes, url: str) -> None:
        split = urllib.parse.urlsplit(url)
        if split.path != _DISCOVERY_PATH:
            self.write(_NOT_FOUND)
            return
        query = urllib.parse.parse_qs(split.query)
        try:
            after = int(query["after"][0]) if "after" in query else None
            wait_ms = min(int(query.get("wait_ms", ["0"])[0]), _MAX_WATCH_MS)
        except ValueError:
            self.write(_NOT_FOUND)
            return
        backend = self._listener.backend
        backend.record("asked", self._listener.sidecar, None)
        if (
            after is not None
            and wait_ms
            and not backend.directory.changed_since(after)
            and backend.call_queue.is_up
        ):
            self._watched_version = after
            self._timer = backend.loop.call_later(wait_ms / 1e3, self.respond_to_watch)
        else:
            backend.call_queue.enqueue(lambda: self._respond(after), lambda: self.write(_UNAVAILABLE))

    def respond_to_watch(self) -> None:
        """Responds to the watch, because the list changed or the watch timed out."""
        after = self._watched_version
        if after is not None:
            self._end_watch()
            self._listener.backend.call_queue.enqueue(
                lambda: self._respond(after), lambda: self.write(_UNAVAILABLE)
            )

    def _end_watch(self) -> None:
        self._watched_version = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _respond(self, after: int | None) -> None:
        backend, sidecar = self._listener.backend, self._listener.sidecar
        directory = backend.directory
        entries = directory.current() if after is None else directory.changed_since(after)
        message = {
            "version": directory.version,
            "full": after is None,
            "servers": [backend.list_entry(entry, sidecar) for entry in entries],
        }
        if self.transport is None or self.transport.is_closing():
            return
        self.write(ok_response(json.dumps(message).encode()))
        for entry in entries if after is not None else directory.changed_since(0):
            is_draining = entry.state is not ListedState.ACTIVE
            backend.record("told", sidecar, entry.name, is_draining, entry.started_at)
        backend.record("asked", sidecar, backend.now())


async def _serve(scenario: Scenario, seed: int, keeps_records: bool, pipe: Connection) -> None:
    backend = Backend(scenario, seed, keeps_records)
    pipe.send(await backend.open())
    stopped = asyncio.Event()

    def receive_command() -> None:
        try:
            command = pipe.recv()
        except EOFError:  # the parent process has ended
            stopped.set()
            return
        if command[0] == "start":
            backend.start(command[1])
        elif command[0] == "look":
            pipe.send([(s.name, s.zone, s.machine_type, _server_state(backend, s), s.running, s.waiting,
                        s.completed) for s in backend.servers])  # fmt: skip
        else:
            stopped.set()

    backend.loop.add_reader(pipe.fileno(), receive_command)
    os.set_blocking(pipe.fileno(), True)  # the event loop made it non-blocking, which fails for long messages
    await stopped.wait()
    backend.loop.remove_reader(pipe.fileno())
    now = backend.now()
    overloaded_us = sum(
        each.overloaded_us + (now - each.overloaded_since if each.overloaded_since is not None else 0)
        for each in backend.servers
    )
    observations = {
        "records": backend.records, "counts": backend.counts, "timeline": backend.timeline,
        "rows": backend.rows, "choked_us": overloaded_us,
    }  # fmt: skip
    try:
        pipe.send(observations)
    except BrokenPipeError:
        pass


def _server_state(backend: Backend, server: OrderServer) -> str:
    if not server.is_up or server.has_failed_warm_up:
        return "down"
    if server.is_hanging:
        return "hangs"
    if server.is_overloaded:
        return "choked"
    if server.warm_up_factor(backend.now()) < 1.0:
        return "cold"
    return "leaving" if server.is_draining else "up"


def main(scenario: Scenario, seed: int, keeps_records: bool, pipe: Connection) -> None:
    """Runs the process, which serves until it is told to stop or its parent process ends.

    Args:
        scenario: The scenario.
        seed: The seed of the run.
        keeps_records: Whether records are kept for a history check; without them, the run may last for ever.
        pipe: The pipe to the parent process.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent process handles Ctrl-C and stops this one
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(scenario, seed, keeps_records, pipe))
