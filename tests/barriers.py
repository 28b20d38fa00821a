"""Barriers that force an order of events: a clock that only a test moves, and connections held back.

Sockets and the event loop stay real.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
import uvloop
from loopback import HOST, ReceivedRequest, SidecarHarness, endpoint_entry, wait_until

from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.upstream import connection as client


class ManualClock:
    """The sidecar's clock: it stands still until a test moves it on."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        """Stops the clock of every sidecar of this process."""
        self.now_us = 1_700_000_000_000_000
        patch.setattr(Clock, "now", lambda _clock: self.now_us)

    def advance(self, span_us: int) -> None:
        """Moves the clock on by so many microseconds."""
        self.now_us += span_us


class DelayedConnects:
    """Connections to addresses that are held are begun only once they are released."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        """Patches the event loop; no address is held yet."""
        self.pending_count = 0
        self._gates: dict[int, asyncio.Event] = {}
        create = uvloop.Loop.create_connection

        async def create_connection(
            loop: uvloop.Loop,
            factory: Callable[[], asyncio.BaseProtocol],
            host: str,
            port: int,
            **how: Any,
        ) -> Any:
            gate = self._gates.get(port)
            if gate is not None:
                self.pending_count += 1
                try:
                    await gate.wait()
                finally:
                    self.pending_count -= 1
            return await create(loop, factory, host, port, **how)

        patch.setattr(uvloop.Loop, "create_connection", create_connection)

    def hold(self, address: str) -> None:
        """Holds back every further connection to this address."""
        self._gates[int(address.rpartition(":")[2])] = asyncio.Event()

    def release(self, address: str) -> None:
        """Lets the connections to this address go on."""
        self._gates[int(address.rpartition(":")[2])].set()


class SlowReadingServer:
    """A server that takes little at a time, and nothing until it is told to."""

    def __init__(self) -> None:
        """Listens on a free port."""
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._listener.bind((HOST, 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.accepted: socket.socket | None = None

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{HOST}:{self._listener.getsockname()[1]}"

    async def accept(self) -> None:
        """Accepts the next connection."""
        self.accepted, _ = await asyncio.get_running_loop().sock_accept(self._listener)

    async def read_until(self, end: bytes) -> bytes:
        """Take all that comes, until it ends so or its connection ends."""
        assert self.accepted is not None
        loop = asyncio.get_running_loop()
        got = b""
        while not got.endswith(end):
            try:
                piece = await loop.sock_recv(self.accepted, 65_536)
            except ConnectionError:
                break
            if not piece:
                break
            got += piece
        return got

    async def send(self, raw: bytes) -> None:
        """Writes to the accepted connection."""
        assert self.accepted is not None
        await asyncio.get_running_loop().sock_sendall(self.accepted, raw)

    def close(self) -> None:
        """Closes the listener and the accepted connection."""
        self._listener.close()
        if self.accepted is not None:
            self.accepted.close()


def shrink_send_buffers(patch: pytest.MonkeyPatch) -> None:
    """Connections to servers hold little: the rest of a request waits in this process."""
    made = client.UpstreamConnection.connection_made

    def connection_made(self: client.UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        made(self, transport)

    patch.setattr(client.UpstreamConnection, "connection_made", connection_made)


def reset_connection(heard: ReceivedRequest) -> None:
    """End the connection that a request came on by a reset, at once."""
    plain = socket.socket(fileno=os.dup(heard.writer.get_extra_info("socket").fileno()))
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    plain.close()
    heard.writer.transport.abort()


async def announce_endpoints(harness: SidecarHarness, *entries: dict[str, Any]) -> None:
    """Announce changes of the list, and return once the sidecar has taken them over."""
    await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
    before = len(harness.discovery.received_requests)
    harness.discovery.announce(*entries)
    await wait_until(lambda: len(harness.discovery.received_requests) > before)


def server_entry(index: int, address: str, **changes: Any) -> dict[str, Any]:
    """Returns a line of the endpoint list for the server with this index."""
    return endpoint_entry(f"s-{index}", address, **changes)


WriteOutcome = Callable[
    [int, bytes], int
]  # given a descriptor and what is to be written: how much was, or it raises


class ScriptedWrites:
    """Writes the ends of requests; a test says what comes of the first writes to one server."""

    def __init__(self, patch: pytest.MonkeyPatch, server: str, fates: tuple[WriteOutcome, ...]) -> None:
        """`fates` are used up one a write, for this server's address only."""
        self.remaining_outcomes = list(fates)
        self._server = server
        patch.setattr(client, "os", SimpleNamespace(write=self._write))

    def _write(self, descriptor: int, piece: bytes) -> int:
        with socket.socket(fileno=os.dup(descriptor)) as own:
            host, port = own.getpeername()
        if self.remaining_outcomes and f"{host}:{port}" == self._server:
            return self.remaining_outcomes.pop(0)(descriptor, piece)
        return os.write(descriptor, piece)
