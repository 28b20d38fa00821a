"""Test doubles that force an order of events: a manual clock, delayed connects and scripted writes.

Sockets and the event loop are real.
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
    """A clock for sidecars that stands still until a test advances it."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        """Replaces the clock of every sidecar in this process."""
        self.now_us = 1_700_000_000_000_000
        patch.setattr(Clock, "now", lambda _clock: self.now_us)

    def advance(self, span_us: int) -> None:
        """Advances the clock by a number of microseconds."""
        self.now_us += span_us


class DelayedConnects:
    """Delays the connects to chosen addresses until a test releases them."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        """Patches the event loop; no address is delayed yet."""
        self.pending_count = 0
        self._gates: dict[int, asyncio.Event] = {}
        create = uvloop.Loop.create_connection

        async def create_connection(
            loop: uvloop.Loop,
            factory: Callable[[], asyncio.BaseProtocol],
            host: str,
            port: int,
            **options: Any,
        ) -> Any:
            gate = self._gates.get(port)
            if gate is not None:
                self.pending_count += 1
                try:
                    await gate.wait()
                finally:
                    self.pending_count -= 1
            return await create(loop, factory, host, port, **options)

        patch.setattr(uvloop.Loop, "create_connection", create_connection)

    def hold(self, address: str) -> None:
        """Delays every further connect to this address."""
        self._gates[int(address.rpartition(":")[2])] = asyncio.Event()

    def release(self, address: str) -> None:
        """Lets the delayed connects to this address proceed."""
        self._gates[int(address.rpartition(":")[2])].set()


class SlowReadingServer:
    """A server with a small receive buffer, which accepts and reads only when a test calls it."""

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
        """The address on which the server listens."""
        return f"{HOST}:{self._listener.getsockname()[1]}"

    async def accept(self) -> None:
        """Accepts the next connection."""
        self.accepted, _ = await asyncio.get_running_loop().sock_accept(self._listener)

    async def read_until(self, end: bytes) -> bytes:
        """Reads until the data ends with `end` or the connection ends; returns all of it."""
        assert self.accepted is not None
        loop = asyncio.get_running_loop()
        received = b""
        while not received.endswith(end):
            try:
                chunk = await loop.sock_recv(self.accepted, 65_536)
            except ConnectionError:
                break
            if not chunk:
                break
            received += chunk
        return received

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
    """Shrinks the send buffers of upstream connections: the rest of a request has to wait in this process."""
    original = client.UpstreamConnection.connection_made

    def connection_made(self: client.UpstreamConnection, transport: asyncio.BaseTransport) -> None:
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        original(self, transport)

    patch.setattr(client.UpstreamConnection, "connection_made", connection_made)


def reset_connection(received: ReceivedRequest) -> None:
    """Resets the connection on which a request arrived, at once."""
    duplicate = socket.socket(fileno=os.dup(received.writer.get_extra_info("socket").fileno()))
    duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    duplicate.close()
    received.writer.transport.abort()


async def announce_endpoints(harness: SidecarHarness, *entries: dict[str, Any]) -> None:
    """Announces changes of the endpoint list; returns once the sidecar has applied them and polled again."""
    await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
    before = len(harness.discovery.received_requests)
    harness.discovery.announce(*entries)
    await wait_until(lambda: len(harness.discovery.received_requests) > before)


def server_entry(index: int, address: str, **changes: Any) -> dict[str, Any]:
    """Returns the entry of the endpoint list for the server with this index."""
    return endpoint_entry(f"s-{index}", address, **changes)


# Is called with a descriptor and the data to write; returns how many bytes were written, or raises.
WriteOutcome = Callable[[int, bytes], int]


class ScriptedWrites:
    """Replaces `os.write` for upstream connections; a test decides what the first writes to one server do."""

    def __init__(
        self, patch: pytest.MonkeyPatch, server_address: str, outcomes: tuple[WriteOutcome, ...]
    ) -> None:
        """Uses one of `outcomes` for each write to this server; all other writes are real."""
        self.remaining_outcomes = list(outcomes)
        self._server_address = server_address
        patch.setattr(client, "os", SimpleNamespace(write=self._write))

    def _write(self, descriptor: int, data: bytes) -> int:
        with socket.socket(fileno=os.dup(descriptor)) as duplicate:
            host, port = duplicate.getpeername()
        if self.remaining_outcomes and f"{host}:{port}" == self._server_address:
            return self.remaining_outcomes.pop(0)(descriptor, data)
        return os.write(descriptor, data)
