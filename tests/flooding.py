"""Servers and clients that send without end, and the peak memory of the sidecar process between them."""

from __future__ import annotations

import asyncio
import json
import re
import socket
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

from loopback import (
    HOST,
    OK_RESPONSE,
    SERVICE_CLASSES,
    Client,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint_entry,
    http_request,
    within_timeout,
)
from running import VALID_CONFIG, SidecarProcess, running_sidecar

MEMORY_LIMIT_MB = 64
_SERVER_COUNT = 6
_UNIT_BYTES = 64 << 10  # bytes that a flooding server writes at a time
_KERNEL_BUFFER_BYTES = 4_096  # receive buffers of clients and servers; the kernel doubles it
_CONNECT_BATCH = 50  # connections that are opened at once, fewer than an accept queue holds


@dataclass(frozen=True, slots=True)
class Flood:
    """What a server sends in response to each request."""

    prefix: bytes
    repeated: bytes = b""
    max_bytes: int = 4 << 20  # of the repeated part, on each connection
    awaits_body: bool = True  # whether it begins after the request, not after the request's head
    reads_requests: bool = True  # if not, a request stays in the buffers of the kernel and of the sidecar


class FloodingServer:
    """Sends its flood in response to each request, or a normal response while it has none."""

    def __init__(self, flood: Flood | None) -> None:
        self.flood = flood
        self.sent_bytes = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> FloodingServer:
        """Listens on a free port."""
        listener = socket.create_server((HOST, 0), backlog=1_024)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_BUFFER_BYTES)  # inherited
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _FloodingConnection(self), sock=listener
        )
        return self

    @property
    def address(self) -> str:
        """The address on which it listens."""
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()


class _FloodingConnection(asyncio.Protocol):
    def __init__(self, server: FloodingServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._received = b""
        self._flood: Flood | None = None  # the flood that has begun on this connection
        self._remaining_bytes = 0
        self._is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        flood = self._server.flood
        if flood is not None and not flood.reads_requests:
            self._transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        if self._flood is not None:
            return
        self._received += data
        head, separator, body = self._received.partition(b"\r\n\r\n")
        flood = self._server.flood
        if not separator or self._transport is None:
            return
        length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
        is_complete = len(body) >= (int(length[1]) if length else 0)
        if flood is None and is_complete:
            self._received = b""
            self._transport.write(OK_RESPONSE)
        elif flood is not None and (is_complete or not flood.awaits_body):
            self._received = b""
            self._flood = flood
            self._remaining_bytes = flood.max_bytes if flood.repeated else 0
            self._transport.write(flood.prefix)
            self._continue()

    def pause_writing(self) -> None:
        self._is_paused = True

    def resume_writing(self) -> None:
        self._is_paused = False
        self._continue()

    def _continue(self) -> None:
        transport, flood = self._transport, self._flood
        if transport is None or transport.is_closing() or self._is_paused or flood is None:
            return
        if self._remaining_bytes > 0:
            unit = flood.repeated * max(_UNIT_BYTES // len(flood.repeated), 1)
            self._remaining_bytes -= len(unit)
            self._server.sent_bytes += len(unit)
            transport.write(unit)
            asyncio.get_running_loop().call_soon(self._continue)


@dataclass(slots=True)
class FloodedSidecar:
    """A running sidecar process with six flooding servers behind it."""

    running: SidecarProcess
    servers: Sequence[FloodingServer]
    discovery: ScriptedDiscovery
    memory_mb: int
    clients: list[Client] = field(default_factory=list)

    def set_flood(self, flood: Flood | None) -> None:
        """Changes what all servers send."""
        for server in self.servers:
            server.flood = flood

    async def connect(self, count: int) -> list[Client]:
        """Opens client connections."""
        opened: list[Client] = []
        while len(opened) < count:
            batch = min(count - len(opened), _CONNECT_BATCH)
            opened += await asyncio.gather(*(self._connect_client() for _ in range(batch)))
        self.clients += opened
        return opened

    async def _connect_client(self) -> Client:
        client_socket = socket.socket()
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_BUFFER_BYTES)
        client_socket.setblocking(False)  # noqa: FBT003 - the argument has no name
        await asyncio.get_running_loop().sock_connect(client_socket, (HOST, self.running.port))
        # The small limit keeps the reader from taking what the client doesn't read.
        return Client(*await asyncio.open_connection(sock=client_socket, limit=_KERNEL_BUFFER_BYTES))

    async def send_to_all(self, count: int, service_class: str = "check", **options: Any) -> list[Client]:
        """Opens connections, and sends one request on each."""
        clients = await self.connect(count)
        for client in clients:
            client.send(http_request(service_class, **options))
        return clients

    async def wait_for_responses(self, clients: Sequence[Client]) -> list[int]:
        """Returns the status of each response; 0 if the connection ended without one."""
        return await asyncio.gather(*(_read_status(client) for client in clients))

    async def wait_until_served(self) -> None:
        """Returns once a request gets a response of a server; servers may be ejected until then."""
        self.set_flood(None)
        async with asyncio.timeout(15.0):
            while True:
                (client,) = await self.connect(1)
                if (await client.send_request("check")).status == 200:
                    return
                await asyncio.sleep(0.05)

    @property
    def peak_mb(self) -> float:
        """The highest resident memory that the process has had."""
        status = Path(f"/proc/{self.running.process.pid}/status").read_text()
        match = re.search(r"^VmHWM:\s+(\d+) kB$", status, re.MULTILINE)
        assert match is not None
        return int(match[1]) / 1_024

    def assert_within_memory_limit(self) -> None:
        """Fails if the process has ended or has exceeded its memory limit."""
        exit_code = self.running.process.returncode
        assert exit_code is None, f"the process has ended with {exit_code}"
        peak_mb = self.peak_mb
        assert peak_mb <= self.memory_mb, f"{peak_mb:.1f} MB of {self.memory_mb} MB"


async def _read_status(client: Client) -> int:
    try:
        return (await client.read_response()).status
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, KeyError):
        return 0


@asynccontextmanager
async def flooded_sidecar(
    folder: Path,
    flood: Flood | None,
    memory_mb: int = MEMORY_LIMIT_MB,
    discovery_response: bytes | None = None,
) -> AsyncIterator[FloodedSidecar]:
    """Runs a sidecar process with a low memory limit, whose servers all send this flood.

    Each call to discovery gets `discovery_response`, if it is given.
    """
    servers = [await FloodingServer(flood).start() for _ in range(_SERVER_COUNT)]
    discovery = ScriptedDiscovery()
    discovery.servers = [endpoint_entry(f"s-{index}", each.address) for index, each in enumerate(servers)]
    if discovery_response is not None:
        discovery.script = discovery_response
    await discovery.start()
    config = {
        **VALID_CONFIG,
        "discovery": discovery.address,
        "known": {"version": 1, "full": True, "servers": discovery.servers},
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1_024},
        "settings": {
            "lanes": SERVICE_CLASSES,
            "zone": "a",
            "quantumUs": 5_000,
            "discovery": "on_request",
            "bounds": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "dialTimeoutUs": 1_000_000},
        },
    }
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    unused_server = ScriptedServer(None)
    async with running_sidecar(path, unused_server, allowed_log_pattern="discovery failed") as running:
        sidecar = FloodedSidecar(running, servers, discovery, memory_mb)
        log = asyncio.ensure_future(_discard_log(running))
        try:
            yield sidecar
        finally:
            log.cancel()
            for client in sidecar.clients:
                client.close()
            for server in servers:
                server.stop()
            discovery.stop()


async def _discard_log(running: SidecarProcess) -> None:
    with suppress(asyncio.CancelledError):
        while await within_timeout(_read_line(running)):
            pass


async def _read_line(running: SidecarProcess) -> bytes:
    assert running.process.stderr is not None
    return await running.process.stderr.readline()
