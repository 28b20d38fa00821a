"""The stand-in platform: order servers and discovery on loopback sockets, in one process of its own.

The servers are the models of `lab.server`, driven by the event loop's clock.  Each server, and discovery,
listens on one address for each sidecar: so the platform knows who sends, whatever a request says of itself.

Where real time differs from virtual: delays under a millisecond are the loopback's own (timers tick in whole
milliseconds), a cut keeps accepting connections and says nothing on them, and `garble` takes one of four
forms: noise, a head that is cut short, a length that does not fit, and a good answer that drips.
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
from tulipnotch.lab.faults import Deed, Incident, plan, strike
from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.load import stream
from tulipnotch.lab.scenario import Scenario
from tulipnotch.lab.server import Job, OrderServer, Stage, Verdict

Record = tuple[Any, ...]  # the time (us from the start), the kind, and its fields

_PATH = "/catalog/members"
_MOST_WAIT_MS = 60_000
_REMEMBERED_US = 60_000_000  # for dropping repeats, where nothing is kept for the judge
_FULL = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
_ERROR = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
_NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
_UNAVAILABLE = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"


def ok(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def target(kind: int, work_us: float, key: int) -> str:
    """The path of a request: it tells the stand-ins what the request costs."""
    return f"/api/{kind}/{key}?w={work_us:.0f}"


class Backend:
    """All stand-ins, and the record of what they saw."""

    def __init__(self, given: Scenario, seed: int, keeps: bool) -> None:
        self.given, self._keeps = given, keeps
        self.records: list[Record] = []
        self.counts = {"attempts": 0, "crossings": 0, "handshakes": 0, "probes": 0}
        self.chance = stream(seed, "backend")
        self.cut_zones: set[str] = set()
        self.history = HistoryChecker(given)  # deduplicates; the rules are checked from the records
        self.servers = fleet.build(given, seed, self)
        self.zones = [
            given.fleet.zones[place % len(given.fleet.zones)] for place in range(given.fleet.sidecars)
        ]
        self.directory = fleet.directory(self.servers)
        self._notices = fleet.Notices(given, self._after)
        self._plan = plan(given, seed)
        self._t0_ns = time.monotonic_ns()
        self.epoch_us = (time.time_ns() - time.monotonic_ns() + self._t0_ns) // 1_000
        self.timeline: list[tuple[float, str]] = []
        self.rows: dict[str, list[tuple[int, int]]] = {each.name: [] for each in self.servers}

    async def open(self) -> dict[str, Any]:
        """Listen everywhere; give the addresses by sidecar."""
        self.loop = asyncio.get_running_loop()
        sidecars = range(self.given.fleet.sidecars)
        self.stands = [Stand(self, place, each) for place, each in enumerate(self.servers)]
        for each in self.stands:
            each.listen()
        self.discovery = [Discovery(self, sidecar) for sidecar in sidecars]
        self.call_queue = CallQueue(self)
        addresses = [await each.listen() for each in self.discovery]
        lists = [[self.entry(line, sidecar) for line in self.directory.current()] for sidecar in sidecars]
        return {"discovery": addresses, "known": lists}

    def now(self) -> int:
        return (time.monotonic_ns() - self._t0_ns) // 1_000

    def _after(self, wait_us: int, call: Callable[[], None]) -> None:
        self.loop.call_later(wait_us / 1e6, call)

    def start(self, t0_ns: int) -> None:
        """Time 0 is then; what happened before is kept as at time 0 or earlier."""
        shift = (t0_ns - self._t0_ns) // 1_000
        self.records = [(at - shift, *rest) for at, *rest in self.records]
        self._t0_ns = t0_ns
        self.epoch_us += shift
        for each in self._plan:
            if each.deed is not Deed.RESTART:
                self.loop.call_later((each.at - self.now()) / 1e6, self._do, each)
        self.loop.call_later((1_000_000 - self.now()) / 1e6, self._sample, dict.fromkeys(self.rows, 0), 1)

    def _sample(self, before: dict[str, int], second: int) -> None:
        for each in self.servers:
            self.rows[each.name].append((each.done - before[each.name], each.most_waiting))
            before[each.name], each.most_waiting = each.done, each.waiting
        if not self._keeps:
            self._forget()
        wait_s = ((second + 1) * 1_000_000 - self.now()) / 1e6
        self.loop.call_later(max(wait_s, 0.0), self._sample, before, second + 1)

    def _forget(self) -> None:
        """Nobody will judge: what was written down would only grow."""
        self.records.clear()
        self.timeline.clear()
        for rows in self.rows.values():
            rows.clear()
        self.history.forget_executed_before(self.now() - _REMEMBERED_US)

    def entry(self, line: DirectoryEntry, sidecar: int) -> dict[str, Any]:
        place = int(line.name.removeprefix("s-"))
        return to_discovery_json(line, self.stands[place].addresses[sidecar], self.epoch_us)

    def note(self, what: str, *given: Any) -> None:
        self.records.append((self.now(), what, *given))

    def is_cut(self, sidecar: int, zone: str) -> bool:
        own = self.zones[sidecar]
        return own != zone and (own in self.cut_zones or zone in self.cut_zones)

    # What the model's servers report

    def attempt_started(self, request: int, zone: str, cell: int, now: int) -> bool:
        self.records.append((now, "begun", request, zone, cell))
        return self.history.attempt_started(request, zone, cell, now)

    def server_overloaded(self, server: str, started_at: int, work_by_sidecar: dict[int, float]) -> None:
        self.note("fell", server, started_at, dict(work_by_sidecar))
        self.timeline.append((self.now() / 1e6, f"{server} was pushed over"))
        self.loop.call_soon(self._gone, self.stands[int(server.removeprefix("s-"))])

    # Faults

    def _do(self, incident: Incident) -> None:
        now, discovery = self.now(), self.given.discovery
        stand = self.stands[max(incident.target, 0)]
        server = stand.server
        match incident.deed:
            case Deed.CRASH:
                if server.is_up:
                    self._gone(stand)
            case Deed.START:
                server.start(now)
                stand.listen()
                self._notice(server, discovery.add_notice_s, ListedState.ACTIVE)
            case Deed.DRAIN:
                self._notice(server, discovery.drain_notice_s, ListedState.DRAINING)
                self.loop.call_later(discovery.drain_notice_s + 0.5, self._refuse_new, server)
            case Deed.DIRECTORY_DOWN:
                self.call_queue.is_up = False
                for each in self.discovery:
                    each.fall()
            case Deed.DIRECTORY_UP:
                self.call_queue.is_up = True
            case Deed.CUT:
                self.cut_zones.add(incident.zone)
            case Deed.JOIN:
                self.cut_zones.discard(incident.zone)
            case _:
                stand.begin(strike(server, incident, now))
        about = incident.zone or (server.name if incident.target >= 0 else "")
        self.timeline.append((round(now / 1e6, 3), f"{incident.deed.value} {about}".strip()))

    def _gone(self, stand: Stand) -> None:
        stand.crash()
        self._notice(stand.server, self.given.discovery.crash_notice_s, ListedState.REMOVED)

    def _refuse_new(self, server: OrderServer) -> None:
        if server.is_up and self.directory.entry(server.name).state is not ListedState.ACTIVE:
            server.is_leaving = True

    def _notice(self, server: OrderServer, wait_s: float, state: ListedState) -> None:
        started_at = server.started_at if state is ListedState.ACTIVE else None

        def publish() -> None:
            if self.directory.update(server.name, state, started_at):
                self.note("published", server.name, state is not ListedState.ACTIVE)
                for each in self.discovery:
                    each.news()

        self._notices.notice(server.name, wait_s, publish)


class Stand:
    """One order server on its sockets, an address for each sidecar."""

    def __init__(self, backend: Backend, place: int, server: OrderServer) -> None:
        self.backend, self.server, self._place = backend, server, place
        self.addresses: list[str] = []
        self._listeners: list[socket.socket] = []
        self.connections: set[ServerSide] = set()
        self.jobs: dict[Job, ServerSide] = {}

    def listen(self) -> None:
        """Open the listeners, again on the same addresses after a crash."""
        loop = self.backend.loop
        for sidecar in range(self.backend.given.fleet.sidecars):
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            if len(self.addresses) <= sidecar:
                # An address of its own: nobody else takes its port while the server is down.
                host = f"127.{100 + self._place // 250}.{sidecar % 250}.{self._place % 250 + 1}"
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
            task = self.backend.loop.create_task(self._adopt(connection, sidecar))
            task.add_done_callback(lambda done: done.exception())

    async def _adopt(self, connection: socket.socket, sidecar: int) -> None:
        await self.backend.loop.connect_accepted_socket(lambda: ServerSide(self, sidecar), connection)

    def begin(self, jobs: list[Job]) -> None:
        """Plan the ends of jobs that have begun."""
        for job in jobs:
            wait_s = max(job.until - self.backend.now(), 0) / 1e6
            self.backend.loop.call_later(wait_s, self._finish, job)

    def _finish(self, job: Job) -> None:
        ran = job.stage is Stage.RUNNING
        self.begin(self.server.finished(self.backend.now(), job))
        side = self.jobs.pop(job, None)
        if ran and side is not None:
            side.answer(ok(b"%d" % job.request), may_spoil=True)

    def crash(self) -> None:
        """The process dies: connections reset, new ones are refused."""
        for listener in self._listeners:
            self.backend.loop.remove_reader(listener.fileno())
            listener.close()
        self._listeners.clear()
        self.server.crash(self.backend.now())
        self.jobs.clear()
        for each in list(self.connections):
            each.cut()


class _HttpSide(asyncio.Protocol):
    """One accepted connection: requests in, one at a time, answers out."""

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
            self.cut()

    def on_message_begin(self) -> None:
        self._url, self.headers = b"", {}

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        self.heard(self._parser.get_method(), self._url.decode("latin-1"))

    def heard(self, method: bytes, url: str) -> None:
        raise NotImplementedError

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def cut(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class ServerSide(_HttpSide):
    """A sidecar's connection to one server."""

    def __init__(self, stand: Stand, sidecar: int) -> None:
        super().__init__()
        self._stand, self._sidecar = stand, sidecar
        self._is_new = True
        self._job: Job | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._stand.connections.add(self)
        if not self._stand.server.is_up:
            self.cut()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stand.connections.discard(self)
        job, self._job = self._job, None
        if job is not None and job.stage is not Stage.OVER:
            self._stand.jobs.pop(job, None)
            self._stand.begin(self._stand.server.cancelled(self._stand.backend.now(), job))

    def data_received(self, data: bytes) -> None:
        backend, server = self._stand.backend, self._stand.server
        if backend.is_cut(self._sidecar, server.zone):
            return  # lost on its way
        super().data_received(data)

    def heard(self, method: bytes, url: str) -> None:
        backend, server = self._stand.backend, self._stand.server
        now = backend.now()
        if url in ("/ping", "/_load"):
            backend.counts["probes"] += 1
            if not server.hangs:
                self.write(ok(b"TEXT queue=%d" % server.report(now) if url == "/_load" else b""))
            return
        try:
            request = int(self.headers[b"request-id"], 16)
            split = urllib.parse.urlsplit(url)
            _, _, place, key = split.path.split("/")
            kind = backend.given.classes[int(place)]
            work_us = float(urllib.parse.parse_qs(split.query)["w"][0])
        except (KeyError, ValueError, IndexError):
            self.write(_NOT_FOUND)
            return
        backend.counts["attempts"] += 1
        if backend.zones[self._sidecar] != server.zone:
            backend.counts["crossings"] += 1
        backend.note("sent", self._sidecar, server.name)
        if request not in backend.history:
            backend.history.request_received(request, self._sidecar, kind, now=now, timeout_us=1 << 60)
        work_us *= 0.9 + 0.2 * backend.chance.random()
        if self._is_new:
            self._is_new = False
            work_us += backend.given.network.handshake_work_ms * 1e3
        job = self._job = Job(request, self._sidecar, work_us, kind.work_ms * 1e3, int(key))
        verdict, begun = server.offer(now, job, backend.chance.random())
        if verdict is Verdict.FULL:
            self.answer(_FULL)
        elif verdict is Verdict.FAILED:
            backend.loop.call_later(0.001, self.answer, _ERROR)
        else:
            self._stand.jobs[job] = self
        self._stand.begin(begun)

    def answer(self, raw: bytes, may_spoil: bool = False) -> None:
        backend, server = self._stand.backend, self._stand.server
        self._job = None
        if backend.is_cut(self._sidecar, server.zone):
            return
        if may_spoil and backend.chance.random() < server.spoils:
            self._spoil(raw)
        else:
            self.write(raw)

    def _spoil(self, raw: bytes) -> None:
        form = self._stand.backend.chance.randrange(4)
        if form == 0:
            self.write(bytes(self._stand.backend.chance.randrange(128, 256) for _ in range(64)))
        elif form == 1:
            self.write(raw[:20])
            if self.transport is not None:
                self.transport.close()
        elif form == 2:
            self.write(raw.replace(b"Content-Length: ", b"Content-Length: -"))
        else:
            self._drip(raw)

    def _drip(self, raw: bytes) -> None:
        """A good answer, a few bytes at a time."""
        self.write(raw[:8])
        if raw[8:]:
            self._stand.backend.loop.call_later(0.01, self._drip, raw[8:])


class CallQueue:
    """Discovery is one service: calls wait in turn, and fail when they have waited too long."""

    def __init__(self, backend: Backend) -> None:
        self._backend = backend
        self._busy_until = 0.0
        self.is_up = True

    def enter(self, call: Callable[[], None], fails: Callable[[], None]) -> None:
        loop, given = self._backend.loop, self._backend.given.discovery
        begins = max(self._busy_until, loop.time())
        if not self.is_up:
            loop.call_soon(fails)
        elif begins - loop.time() > given.timeout_s:
            loop.call_later(given.timeout_s, fails)
        else:
            self._busy_until = begins + 1.0 / given.calls_per_s
            loop.call_at(self._busy_until, call)


class Discovery:
    """Discovery's address for one sidecar."""

    def __init__(self, backend: Backend, sidecar: int) -> None:
        self.backend, self.sidecar = backend, sidecar
        self._sides: set[DiscoverySide] = set()

    async def listen(self) -> str:
        server = await self.backend.loop.create_server(lambda: DiscoverySide(self), "127.0.0.1", 0)
        self._server = server
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def opened(self, side: DiscoverySide) -> None:
        self._sides.add(side)

    def closed(self, side: DiscoverySide) -> None:
        self._sides.discard(side)

    def news(self) -> None:
        for each in list(self._sides):
            each.news()

    def fall(self) -> None:
        for each in list(self._sides):
            each.cut()


class DiscoverySide(_HttpSide):
    """One connection: a call for the whole list, or a watch that waits for news."""

    def __init__(self, owner: Discovery) -> None:
        super().__init__()
        self._owner = owner
        self._watches_after: int | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._owner.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.closed(self)
        self._stop_watch()
        self._owner.backend.note("asked", self._owner.sidecar, self._owner.backend.now())

    def heard(self, method: bytes, url: str) -> None:
        split = urllib.parse.urlsplit(url)
        if split.path != _PATH:
            self.write(_NOT_FOUND)
            return
        query = urllib.parse.parse_qs(split.query)
        try:
            after = int(query["after"][0]) if "after" in query else None
            wait_ms = min(int(query.get("wait_ms", ["0"])[0]), _MOST_WAIT_MS)
        except ValueError:
            self.write(_NOT_FOUND)
            return
        backend = self._owner.backend
        backend.note("asked", self._owner.sidecar, None)
        if (
            after is not None
            and wait_ms
            and not backend.directory.changed_since(after)
            and backend.call_queue.is_up
        ):
            self._watches_after = after
            self._timer = backend.loop.call_later(wait_ms / 1e3, self.news)
        else:
            backend.call_queue.enter(lambda: self._answer(after), lambda: self.write(_UNAVAILABLE))

    def news(self) -> None:
        """Something changed, or the wait is over."""
        after = self._watches_after
        if after is not None:
            self._stop_watch()
            self._owner.backend.call_queue.enter(
                lambda: self._answer(after), lambda: self.write(_UNAVAILABLE)
            )

    def _stop_watch(self) -> None:
        self._watches_after = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _answer(self, after: int | None) -> None:
        backend, sidecar = self._owner.backend, self._owner.sidecar
        directory = backend.directory
        lines = directory.current() if after is None else directory.changed_since(after)
        told = {
            "version": directory.version,
            "full": after is None,
            "servers": [backend.entry(line, sidecar) for line in lines],
        }
        if self.transport is None or self.transport.is_closing():
            return
        self.write(ok(json.dumps(told).encode()))
        for line in lines if after is not None else directory.changed_since(0):
            leaves = line.state is not ListedState.ACTIVE
            backend.note("told", sidecar, line.name, leaves, line.started_at)
        backend.note("asked", sidecar, backend.now())


async def _serve(given: Scenario, seed: int, keeps: bool, pipe: Connection) -> None:
    backend = Backend(given, seed, keeps)
    pipe.send(await backend.open())
    stopped = asyncio.Event()

    def ordered() -> None:
        try:
            order = pipe.recv()
        except EOFError:  # the parent is gone
            stopped.set()
            return
        if order[0] == "start":
            backend.start(order[1])
        elif order[0] == "look":
            pipe.send([(s.name, s.zone, s.kind, _state(backend, s), s.running, s.waiting, s.done)
                       for s in backend.servers])  # fmt: skip
        else:
            stopped.set()

    backend.loop.add_reader(pipe.fileno(), ordered)
    os.set_blocking(pipe.fileno(), True)  # the loop made it non-blocking, and long messages go through it
    await stopped.wait()
    backend.loop.remove_reader(pipe.fileno())
    now = backend.now()
    choked_us = sum(
        each.choked_us + (now - each.choked_at if each.choked_at is not None else 0)
        for each in backend.servers
    )
    left = {
        "records": backend.records, "counts": backend.counts, "timeline": backend.timeline,
        "rows": backend.rows, "choked_us": choked_us,
    }  # fmt: skip
    try:
        pipe.send(left)
    except BrokenPipeError:
        pass


def _state(backend: Backend, server: OrderServer) -> str:
    if not server.is_up or server.has_fallen:
        return "down"
    if server.hangs:
        return "hangs"
    if server.is_choked:
        return "choked"
    if server.warmth(backend.now()) < 1.0:
        return "cold"
    return "leaving" if server.is_leaving else "up"


def main(given: Scenario, seed: int, keeps: bool, pipe: Connection) -> None:
    """The process: it serves until it is told to stop, or its parent is gone.

    Without `keeps` nothing is kept for the judge, and it may run for good.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is for the parent, which ends all in order
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(given, seed, keeps, pipe))
