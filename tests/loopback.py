"""Scripted servers, discovery and clients on loopback sockets, for one sidecar that runs in this process."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager, suppress
from dataclasses import asdict, dataclass, field
from typing import Any, TypeVar

import uvloop

from tulipnotch.sidecar import logs
from tulipnotch.sidecar.configuration.configuration import parse_config
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.operator_file import OperatorOptions
from tulipnotch.sidecar.service_level_monitor import ServiceLevels
from tulipnotch.sidecar.sidecar import Sidecar

# Each pytest-xdist worker uses its own loopback address, so that no other worker can take a port that a test
# closes and opens again.
_WORKER = os.environ.get("PYTEST_XDIST_WORKER", "")
HOST = f"127.1.{int(_WORKER.removeprefix('gw'))}.1" if _WORKER else "127.0.0.1"
TEST_TIMEOUT_S = 20.0  # the maximum wait for an expected event, not a limit that a test measures
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"
ERROR_RESPONSE = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
REJECTION_RESPONSE = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"

SERVICE_CLASSES = [
    {"name": "check", "giveUpUs": 3_000_000, "promiseUs": 750_000, "repeat": "read_like"},
    {
        "name": "amend",
        "giveUpUs": 2_000_000,
        "promiseUs": 600_000,
        "repeat": "idempotency_key",
        "group": "cell",
        "memorySpanUs": 2_000_000,
    },
    {"name": "lodge", "giveUpUs": 4_000_000, "promiseUs": 1_200_000, "repeat": "non_idempotent"},
]

T = TypeVar("T")


def run_async(test: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Runs the coroutine of one test; fails a test that hangs."""

    async def run_within_timeout() -> T:
        async with asyncio.timeout(2 * TEST_TIMEOUT_S):
            return await test()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run_within_timeout())


async def within_timeout(awaitable: Awaitable[T]) -> T:
    """Returns the result of an awaitable; raises TimeoutError after `TEST_TIMEOUT_S`."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        return await awaitable


async def wait_until(condition: Callable[[], bool], timeout_s: float = TEST_TIMEOUT_S) -> None:
    """Returns once the condition holds; raises TimeoutError after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


@dataclass
class ReceivedRequest:
    """A request as a server received it, and the connection on which it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    connection_number: int
    writer: asyncio.StreamWriter


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the head of an HTTP message; returns its first line and its headers, keyed by lower-case name."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    return head[0], {name.lower(): value.strip() for name, _, value in pairs}


def listen(port: int = 0, receive_buffer_bytes: int | None = None) -> socket.socket:
    """Listens on this port, or on a free one for 0.

    The system holds about `receive_buffer_bytes` of what each connection has not read; None: as it chooses.
    """
    listener = socket.create_server((HOST, port))
    if receive_buffer_bytes is not None:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    return listener


Script = Callable[[ReceivedRequest], Awaitable[bytes | None]]


class ScriptedServer:
    """Responds to each request by its script; sends nothing if the script is None or returns None."""

    def __init__(self, script: Script | bytes | None) -> None:
        """Sets the script, which may be replaced between requests."""
        self.script = script
        self.received_requests: list[ReceivedRequest] = []
        self.closed_connections: list[int] = []  # connection numbers, in the order in which they ended
        self.connection_count = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> ScriptedServer:
        """Listens on this port, or on a free port for 0."""
        self._server = await asyncio.start_server(self._serve, HOST, port)
        return self

    @property
    def address(self) -> str:
        """The address on which the server listens."""
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection_number, self.connection_count = self.connection_count, self.connection_count + 1
        self._writers.append(writer)
        try:
            while True:
                request_line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                method, target, _ = request_line.split(" ")
                received = ReceivedRequest(method, target, headers, body, connection_number, writer)
                self.received_requests.append(received)
                script = self.script
                response = await script(received) if callable(script) else script
                if response is not None:
                    writer.write(response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_connections.append(connection_number)
            writer.close()

    def close_connections(self) -> None:
        """Shuts down all open connections at once, before the event loop runs again."""
        open_writers, self._writers = self._writers, []
        for writer in open_writers:
            if not writer.transport.is_closing():
                descriptor = os.dup(writer.get_extra_info("socket").fileno())
                # The peer may have reset the connection.
                with socket.socket(fileno=descriptor) as duplicate, suppress(OSError):
                    duplicate.shutdown(socket.SHUT_RDWR)
            writer.close()

    def stop(self) -> None:
        """Closes the listener and all connections."""
        assert self._server is not None
        self._server.close()
        self.close_connections()


class ScriptedDiscovery(ScriptedServer):
    """Responds to a long poll once `announce` is called, and to any other request with the endpoint list."""

    def __init__(self) -> None:
        """Starts with an empty endpoint list, until `servers` is set."""
        super().__init__(self._respond)
        self.version = 1
        self.servers: list[dict[str, Any]] = []
        self.watch_responses: asyncio.Queue[bytes] = asyncio.Queue()
        self._responding = asyncio.Event()
        self._responding.set()

    def stop_responding(self) -> None:
        """Holds back all responses until `resume_responding`."""
        self._responding.clear()

    def resume_responding(self) -> None:
        """Responds again, also to the requests that arrived meanwhile."""
        self._responding.set()

    async def _respond(self, received: ReceivedRequest) -> bytes:
        await self._responding.wait()
        if "wait_ms" in received.target and not received.target.endswith("wait_ms=0"):
            return await self.watch_responses.get()
        return http_response(
            json.dumps({"version": self.version, "full": True, "servers": self.servers}).encode()
        )

    def announce(self, *changed_entries: dict[str, Any]) -> None:
        """Responds to a long poll with these entries, and keeps them in the endpoint list from now on."""
        self.version += 1
        changed_ids = {entry["id"] for entry in changed_entries}
        unchanged = [entry for entry in self.servers if entry["id"] not in changed_ids]
        self.servers = [*unchanged, *(entry for entry in changed_entries if entry.get("state") != "left")]
        self.watch_responses.put_nowait(
            http_response(
                json.dumps({"version": self.version, "full": False, "servers": changed_entries}).encode()
            )
        )


def http_response(body: bytes, status: str = "200 OK") -> bytes:
    """Returns the bytes of an HTTP response with this body."""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


def endpoint_entry(name: str, address: str, **changes: Any) -> dict[str, Any]:
    """Returns an entry of discovery's endpoint list."""
    return {"id": name, "addr": address, "zone": "a", "kind": "", "cell": 1, "state": "active", **changes}


@dataclass
class Response:
    """A response that a client has read."""

    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """One connection of the application to the sidecar."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Takes over an open connection."""
        self.reader, self.writer = reader, writer

    def send(self, raw: bytes) -> None:
        """Writes bytes unchanged."""
        self.writer.write(raw)

    async def read_response(self) -> Response:
        """Reads one response from the connection."""
        status_line, headers = await within_timeout(read_head(self.reader))
        body = await within_timeout(self.reader.readexactly(int(headers["content-length"])))
        return Response(int(status_line.split(" ")[1]), headers, body)

    async def send_request(self, service_class: str = "check", **options: Any) -> Response:
        """Sends a request and returns its response."""
        self.send(http_request(service_class, **options))
        return await self.read_response()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()


def blocking_script() -> tuple[asyncio.Event, Script]:
    """Returns an event, and a script that responds to no request until the event is set."""
    release = asyncio.Event()

    async def respond_once_released(_request: ReceivedRequest) -> bytes:
        await release.wait()
        return OK_RESPONSE

    return release, respond_once_released


_METHODS = {"check": "GET", "amend": "POST", "lodge": "POST"}
_request_ids = itertools.count(1)


def http_request(
    service_class: str = "check",
    timeout: str = "2.0",
    body: bytes = b"",
    target: str = "/api/7f3a?x=1",
    **headers: str,
) -> bytes:
    """Returns the bytes of a client's request; a header given as an empty string is left out."""
    header_values = {
        "Host": "origin.svc",
        "Request-Id": f"{next(_request_ids):016x}",
        "Request-Class": service_class,
        "Tenant": "acme",
        "Request-Timeout": timeout,
        "Idempotency-Key": "5c0f" if service_class == "amend" else "",
        "Content-Length": str(len(body)) if _METHODS.get(service_class) == "POST" else "",
    }
    header_values.update({name.replace("_", "-"): value for name, value in headers.items()})
    head = "".join(f"{name}: {value}\r\n" for name, value in header_values.items() if value)
    return f"{_METHODS.get(service_class, 'GET')} {target} HTTP/1.1\r\n{head}\r\n".encode() + body


@dataclass
class SidecarHarness:
    """A sidecar, the scripted servers and discovery that it talks to, its log, and its clients."""

    sidecar: Sidecar
    discovery: ScriptedDiscovery
    servers: list[ScriptedServer]
    log: list[str]
    clients: list[Client] = field(default_factory=list)

    async def connect(self) -> Client:
        """Opens a further connection to the sidecar."""
        client = Client(*await asyncio.open_connection(HOST, self.sidecar.downstream.port))
        self.clients.append(client)
        return client

    async def send_request(self, service_class: str = "check", **options: Any) -> Response:
        """Sends a request on a new connection and returns its response."""
        return await (await self.connect()).send_request(service_class, **options)

    @property
    def received_requests(self) -> list[ReceivedRequest]:
        """All requests that the servers have received, ordered by server."""
        return [each for server in self.servers for each in server.received_requests]


@asynccontextmanager
async def sidecar_harness(
    *scripts: Script | bytes | ScriptedServer | None,
    limit_overrides: dict[str, Any] | None = None,
    config_overrides: dict[str, Any] | None = None,
    servers_listed: bool = True,
    client_limits: ClientLimits | None = None,
    started: bool = True,
    unresponsive_discovery: bool = False,
    service_levels: ServiceLevels | None = None,
    **settings: Any,
) -> AsyncIterator[SidecarHarness]:
    """Runs a sidecar with discovery and one server for each script.

    The sidecar knows the servers from its start on, unless `servers_listed` is False.  The overrides replace
    keys of the configuration and of its limits; `settings` replaces other keys of its settings.
    """
    servers = [each if isinstance(each, ScriptedServer) else ScriptedServer(each) for each in scripts]
    for server in servers:
        await server.start()
    discovery = ScriptedDiscovery()
    if servers_listed:
        discovery.servers = [endpoint_entry(f"s-{index}", each.address) for index, each in enumerate(servers)]
    if unresponsive_discovery:
        discovery.stop_responding()
    await discovery.start()
    limits = {"sendCap": 3, "mayCancel": True, "retryAfter": True, "dialTimeoutUs": 1_000_000}
    config = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": discovery.address,
        "seed": "8c1f",
        "known": {"version": 1, "full": True, "servers": discovery.servers},
        "settings": {
            "lanes": SERVICE_CLASSES,
            "zone": "a",
            "quantumUs": 5_000,
            "discovery": "on_request",
            "report": {"columns": ["qps", "util"], "source": "piggyback"},
            "bounds": {**limits, **(limit_overrides or {})},
            **settings,
        },
        **(config_overrides or {}),
    }
    log: list[str] = []

    def record_event(event: str, /, **fields: object) -> None:
        assert fields.keys() == logs.EVENTS[event].field_names
        log.append(logs.format_event(event, fields))

    options = OperatorOptions(
        log=record_event,
        client_limits=asdict(client_limits) if client_limits is not None else {},
        service_levels=service_levels,
    )
    sidecar = Sidecar(parse_config(config, config), options)
    if started:
        await sidecar.start()
    harness = SidecarHarness(sidecar, discovery, servers, log)
    try:
        yield harness
    finally:
        sidecar.close()
        for client in harness.clients:
            client.close()
        for server in (*servers, discovery):
            server.stop()
