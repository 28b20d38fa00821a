"""The proxy in front of each order server: the faults of the network between a sidecar and a server."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from enum import StrEnum, unique
from typing import cast

import httptools

from soak.records import Records, ServerAttempt, now
from soak.servers import HOST, OrderServer, ServerConnection, next_port

_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close sends RST
_MAX_REPETITION_DELAY_S = 0.003  # of a second response
_LISTEN_RETRY_S = 0.05


@unique
class RequestFault(StrEnum):
    """What happens to one request; the values are fields of ServerFaults, in the order of the draws."""

    REJECTS = "rejects"
    RESETS_IN_REQUEST = "resets_in_request"
    RESETS_AFTER_REQUEST = "resets_after_request"
    RESETS_IN_RESPONSE = "resets_in_response"
    STALLS_IN_RESPONSE = "stalls_in_response"
    RESPONDS_TWICE = "responds_twice"


class FaultProxy:
    """The network in front of one server, and the server itself behind it; owns both listeners."""

    def __init__(self, server: OrderServer, records: Records, chance: random.Random) -> None:
        self.server, self.records, self.chance = server, records, chance
        self.connections: set[_DownstreamConnection] = set()
        self.backend_port = next_port()
        self._port = next_port()
        self._listener: asyncio.Server | None = None
        self._backend: asyncio.Server | None = None

    async def start(self) -> None:
        """Start the server and its proxy, and set the address to announce."""
        loop = asyncio.get_running_loop()
        self._backend = await loop.create_server(
            lambda: ServerConnection(self.server, self.chance), HOST, self.backend_port
        )
        await self.listen()

    async def listen(self) -> None:
        """Accept connections, at the same address as before, as soon as the system makes it available."""
        loop = asyncio.get_running_loop()
        while self._listener is None:
            try:
                self._listener = await loop.create_server(
                    lambda: _DownstreamConnection(self), HOST, self._port, reuse_address=True
                )
            except OSError:
                await asyncio.sleep(_LISTEN_RETRY_S)
        self.server.address = f"{HOST}:{self._port}"

    def crash(self) -> None:
        """Reset all connections and stop listening."""
        if self._listener is not None:
            self._listener.close()
        self._listener = None
        for connection in list(self.connections):
            connection.reset()

    def choose_fault(self) -> RequestFault | None:
        """Draw what happens to the next request."""
        faults = self.server.faults
        for fault in RequestFault:
            if self.chance.random() < getattr(faults, fault.value):
                return fault
        return None

    def stop(self) -> None:
        """End the proxy and its server."""
        self.crash()
        if self._backend is not None:
            self._backend.close()


class _DownstreamConnection(asyncio.Protocol):
    """One connection of a sidecar to the proxy."""

    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy
        self._chance = proxy.chance
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._upstream: asyncio.Transport | None = None
        self._unsent = b""  # until the upstream connection is established
        self._attempt: ServerAttempt | None = None
        self._fault: RequestFault | None = None
        self._is_stalled = False  # whether the rest of a response is dropped
        self._is_rejected = False  # whether what was just received is not forwarded

    # The sidecar's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the server, or end the connection by a fault (asyncio.Protocol)."""
        self._transport = cast(asyncio.Transport, transport)
        self._proxy.connections.add(self)
        faults = self._proxy.server.faults
        if self._chance.random() < faults.resets_at_accept:
            self.reset()
        elif self._chance.random() < faults.closes_at_accept:
            self._transport.close()
        else:
            asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, upstream = await loop.create_connection(
                lambda: _UpstreamConnection(self), HOST, self._proxy.backend_port
            )
        except OSError:
            self.reset()
            return
        self._upstream = upstream.transport
        if self._transport is None or self._transport.is_closing():
            self._abort_upstream()
        elif self._unsent and self._upstream is not None:
            self._upstream.write(self._unsent)
            self._unsent = b""

    def data_received(self, data: bytes) -> None:
        """Forward a part of a request unless a fault prevents it (asyncio.Protocol)."""
        self._is_rejected = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.reset()
            return
        if self._transport is None or self._transport.is_closing() or self._is_rejected:
            return
        self._delay_reading(self._transport)
        if self._upstream is None:
            self._unsent += data
        elif not self._upstream.is_closing():
            self._upstream.write(data)

    def _delay_reading(self, transport: asyncio.Transport) -> None:
        delay_s = self._proxy.server.faults.read_delay_s
        if delay_s > 0.0 and self._attempt is not None and not self._attempt.completed_at:
            transport.pause_reading()
            asyncio.get_running_loop().call_later(delay_s, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def connection_lost(self, _exc: Exception | None) -> None:
        """End the upstream connection too (asyncio.Protocol)."""
        self._proxy.connections.discard(self)
        self._record_end()
        self._abort_upstream()

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """A request begins: choose its fault."""
        server = self._proxy.server
        self._attempt = ServerAttempt("", server.name, server.zone, server.cell, now())
        self._fault = self._proxy.choose_fault()
        self._is_stalled = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record the header fields that the rules are about."""
        assert self._attempt is not None
        if name.lower() == b"request-id":
            self._attempt.request_id = value.decode()
            self._proxy.records.server_attempts.append(self._attempt)
        elif name.lower() == b"request-timeout":
            self._attempt.announced_timeout_s = float(value)

    def on_headers_complete(self) -> None:
        """The head of the request was received."""
        if self._fault is RequestFault.RESETS_IN_REQUEST:
            self.reset()

    def on_message_complete(self) -> None:
        """The request is complete: reject it, or let the server execute it."""
        attempt = self._attempt
        if attempt is None or self._transport is None or self._transport.is_closing():
            return
        attempt.completed_at = now()
        if self._fault is RequestFault.REJECTS:
            self._transport.write(b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            self._record_end()
            self._is_rejected = True
            self._replace_upstream()
            return
        attempt.is_executed = True
        if self._fault is RequestFault.RESETS_AFTER_REQUEST:
            self.reset()

    # The server's side

    def response_received(self, upstream: asyncio.Transport | None, data: bytes) -> None:
        """Forward a part of a response unless a fault prevents it."""
        if upstream is not self._upstream:
            return
        if self._transport is None or self._transport.is_closing() or self._is_stalled:
            return
        if self._fault is RequestFault.RESETS_IN_RESPONSE:
            self._transport.write(data[: len(data) // 2])
            self.reset()
        elif self._fault is RequestFault.STALLS_IN_RESPONSE:
            self._transport.write(data[: max(len(data) // 2, 1)])
            self._is_stalled = True
        else:
            self._transport.write(data)
            self._record_end()
            if self._fault is RequestFault.RESPONDS_TWICE:
                delay_s = self._chance.uniform(0.0, _MAX_REPETITION_DELAY_S)
                asyncio.get_running_loop().call_later(delay_s, self._repeat, data)

    def _repeat(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def upstream_closed(self, upstream: asyncio.Transport | None) -> None:
        """Close this connection after the server closed its own."""
        if upstream is not self._upstream:
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.close()

    def _record_end(self) -> None:
        if self._attempt is not None and not self._attempt.ended_at:
            self._attempt.ended_at = now()

    def reset(self) -> None:
        """Reset both connections."""
        if self._transport is not None and not self._transport.is_closing():
            own = self._transport.get_extra_info("socket")
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._transport.abort()
        self._abort_upstream()

    def _replace_upstream(self) -> None:
        """Connect anew, so that the server never receives a request that was rejected here."""
        self._unsent = b""
        self._abort_upstream()
        self._upstream = None
        asyncio.get_running_loop().create_task(self._connect())

    def _abort_upstream(self) -> None:
        if self._upstream is not None and not self._upstream.is_closing():
            self._upstream.abort()


class _UpstreamConnection(asyncio.Protocol):
    """The proxy's connection to its server, for one connection of a sidecar."""

    def __init__(self, downstream: _DownstreamConnection) -> None:
        self._downstream = downstream
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio.Protocol)."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Pass on a part of a response (asyncio.Protocol)."""
        self._downstream.response_received(self.transport, data)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Pass on the end of the connection (asyncio.Protocol)."""
        self._downstream.upstream_closed(self.transport)
