"""Proxy in front of each order server, which injects the network faults between a sidecar and the server."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from enum import StrEnum, unique
from typing import cast

import httptools

from soak.records import DuplicateResponse, Records, ServerAttempt, now
from soak.servers import HOST, OrderServer, ServerConnection, allocate_port
from tulipnotch.sidecar.http1.body import MAX_BUFFERED_BODY_BYTES

_LINGER_ZERO = struct.pack("ii", 1, 0)  # With this SO_LINGER value, closing a socket sends RST.
_MAX_DUPLICATE_DELAY_S = 0.003  # Longest delay of a duplicate response.
_LISTEN_RETRY_S = 0.05
_FLOOD_RETRY_S = 0.01
_MAX_BODY_DELAY = 0.6  # Longest pause before the body of a response, as a part of the announced timeout.
_MAX_FLOOD_BYTES = 1 << 20  # Of each flood; the connection is reset after it.
_FLOOD_HEAD_UNIT = (b"X-Filler: " + b"x" * 1_000 + b"\r\n") * 64


@unique
class RequestFault(StrEnum):
    """Fault of one request; the order is that in which the faults are sampled.

    Each value names the field of `ServerFaults` that holds the probability of the fault.
    """

    REJECTION = "reject_probability"
    RESET_AFTER_HEADERS = "reset_after_headers_probability"
    RESET_AFTER_REQUEST = "reset_after_request_probability"
    RESET_IN_RESPONSE = "reset_in_response_probability"
    STALL_IN_RESPONSE = "stall_in_response_probability"
    DUPLICATE_RESPONSE = "duplicate_response_probability"
    FLOOD_HEAD = "flood_head_probability"
    FLOOD_EARLY = "flood_early_probability"
    DELAY_BODY = "delay_body_probability"


class FaultProxy:
    """Proxy in front of one server, and the server itself; owns the listeners of both."""

    def __init__(self, server: OrderServer, records: Records, rng: random.Random) -> None:
        self.server, self.records, self.rng = server, records, rng
        self.connections: set[_DownstreamConnection] = set()
        self.backend_port = allocate_port()
        self._port = allocate_port()
        self._listener: asyncio.Server | None = None
        self._backend: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts the server and its proxy, and sets the address to announce."""
        loop = asyncio.get_running_loop()
        self._backend = await loop.create_server(
            lambda: ServerConnection(self.server, self.rng), HOST, self.backend_port
        )
        await self.listen()

    async def listen(self) -> None:
        """Listens on the same address as before, as soon as the operating system makes it available."""
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
        """Resets all connections and stops listening."""
        if self._listener is not None:
            self._listener.close()
        self._listener = None
        for connection in list(self.connections):
            connection.reset()

    def sample_request_fault(self) -> RequestFault | None:
        """Samples the fault of the next request; None means that it has no fault."""
        faults = self.server.faults
        for fault in RequestFault:
            if self.rng.random() < getattr(faults, fault.value):
                return fault
        return None

    def stop(self) -> None:
        """Stops the proxy and its server."""
        self.crash()
        if self._backend is not None:
            self._backend.close()


class _DownstreamConnection(asyncio.Protocol):
    """Connection of a sidecar to the proxy, and the faults of its requests."""

    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy
        self._rng = proxy.rng
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._upstream: asyncio.Transport | None = None
        self._unsent_data = b""  # Received before the upstream connection was established.
        self._attempt: ServerAttempt | None = None
        self._fault: RequestFault | None = None
        self._is_large = False  # True if the body is longer than what a sidecar buffers of it.
        self._delayed_data: bytes | None = None  # Rest of a response whose body is delayed; None: it is not.
        self._is_stalled = False  # True while the rest of a response is discarded.
        self._is_reset = False  # True if the proxy has reset the connection to the sidecar.
        self._is_rejected = False  # True if the data just received ended a request that was rejected here.

    # Connection to the sidecar

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connects to the server, or ends the connection if such a fault was sampled (asyncio.Protocol)."""
        self._transport = cast(asyncio.Transport, transport)
        self._proxy.connections.add(self)
        faults = self._proxy.server.faults
        if self._rng.random() < faults.accept_reset_probability:
            self.reset()
        elif self._rng.random() < faults.accept_close_probability:
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
        elif self._unsent_data and self._upstream is not None:
            self._upstream.write(self._unsent_data)
            self._unsent_data = b""

    def data_received(self, data: bytes) -> None:
        """Forwards a part of a request unless a fault prevents it (asyncio.Protocol)."""
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
            self._unsent_data += data
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
        """Records the end of the attempt and aborts the upstream connection (asyncio.Protocol)."""
        self._proxy.connections.discard(self)
        if self._delayed_data is not None and self._attempt is not None and not self._is_reset:
            self._attempt.is_body_lost = True
        self._record_attempt_end()
        self._abort_upstream()

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Starts the record of a request and samples its fault."""
        server = self._proxy.server
        self._attempt = ServerAttempt("", server.name, server.zone, server.cell, now())
        self._fault = self._proxy.sample_request_fault()
        self._is_stalled = self._is_large = False
        self._delayed_data = None

    def on_url(self, url: bytes) -> None:
        """Records whether the request reuses the id of another one."""
        assert self._attempt is not None
        self._attempt.is_id_reused = url.endswith(b"reused")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records the headers that the rules are checked against."""
        assert self._attempt is not None
        if name.lower() == b"request-id":
            self._attempt.request_id = value.decode()
            self._proxy.records.server_attempts.append(self._attempt)
        elif name.lower() == b"content-length":
            self._is_large = int(value) > MAX_BUFFERED_BODY_BYTES
        elif name.lower() == b"request-timeout":
            self._attempt.announced_timeout_s = float(value)

    def on_headers_complete(self) -> None:
        """Resets the connection if that is the fault of the request."""
        if self._fault is RequestFault.RESET_AFTER_HEADERS:
            self.reset()
        elif self._fault is RequestFault.FLOOD_EARLY and self._transport is not None and self._is_large:
            self._transport.pause_reading()
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n"
            assert self._attempt is not None
            self._transport.write(head + self._attempt.request_id.encode() + b"\n")
            self._flood(b"x" * 65_536, _MAX_FLOOD_BYTES)

    def on_message_complete(self) -> None:
        """Rejects the complete request, or records that the server executes it."""
        attempt = self._attempt
        if attempt is None or self._transport is None or self._transport.is_closing():
            return
        attempt.completed_at = now()
        if self._fault is RequestFault.REJECTION:
            self._transport.write(b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
            self._record_attempt_end()
            self._is_rejected = True
            self._replace_upstream()
            return
        attempt.is_executed = True
        if self._fault is RequestFault.RESET_AFTER_REQUEST:
            self.reset()
        elif self._fault is RequestFault.FLOOD_HEAD:
            self._is_stalled = True
            self._transport.write(b"HTTP/1.1 200 OK\r\n")
            self._flood(_FLOOD_HEAD_UNIT, _MAX_FLOOD_BYTES)

    def _flood(self, unit: bytes, remaining_bytes: int) -> None:
        """Sends `unit` again and again, as fast as the sidecar reads, and then resets the connection."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if remaining_bytes <= 0:
            self.reset()
            return
        is_full = transport.get_write_buffer_size() > len(unit)
        if not is_full:
            transport.write(unit)
            remaining_bytes -= len(unit)
        asyncio.get_running_loop().call_later(
            _FLOOD_RETRY_S if is_full else 0.0, self._flood, unit, remaining_bytes
        )

    # Connection to the server

    def response_received(self, upstream: asyncio.Transport | None, data: bytes) -> None:
        """Forwards a part of a response unless a fault prevents it."""
        if upstream is not self._upstream:
            return
        if self._transport is None or self._transport.is_closing() or self._is_stalled:
            return
        if self._delayed_data is not None:
            self._delayed_data += data
        elif self._fault is RequestFault.DELAY_BODY and data.startswith(b"HTTP/1.1 200"):
            self._delay_body(data)
        elif self._fault is RequestFault.RESET_IN_RESPONSE:
            self._transport.write(data[: len(data) // 2])
            self.reset()
        elif self._fault is RequestFault.STALL_IN_RESPONSE:
            self._transport.write(data[: max(len(data) // 2, 1)])
            self._is_stalled = True
        else:
            self._transport.write(data)
            self._record_attempt_end()
            if self._fault is RequestFault.DUPLICATE_RESPONSE:
                delay_s = self._rng.uniform(0.0, _MAX_DUPLICATE_DELAY_S)
                asyncio.get_running_loop().call_later(delay_s, self._repeat_response, data, now())

    def _delay_body(self, data: bytes) -> None:
        """Forwards the head of a response, and its body after a pause that leaves time for it."""
        assert self._attempt is not None
        assert self._transport is not None
        head, separator, self._delayed_data = data.partition(b"\r\n\r\n")
        self._transport.write(head + separator)
        self._attempt.is_body_delayed = True
        delay_s = self._attempt.announced_timeout_s * self._rng.uniform(0.2, _MAX_BODY_DELAY)
        asyncio.get_running_loop().call_later(delay_s, self._forward_delayed_body, self._attempt)

    def _forward_delayed_body(self, attempt: ServerAttempt) -> None:
        if attempt is not self._attempt or self._transport is None or self._transport.is_closing():
            return
        self._transport.write(self._delayed_data or b"")
        self._delayed_data, self._fault = None, None  # What follows is forwarded at once.
        self._record_attempt_end()

    def _repeat_response(self, data: bytes, first_sent_at: float) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        request_id = data.partition(b"\r\n\r\n")[2].partition(b"\n")[0].decode("latin-1")
        sent_at = now()
        self._proxy.records.duplicates.append(DuplicateResponse(request_id, sent_at, sent_at - first_sent_at))
        self._transport.write(data)

    def upstream_closed(self, upstream: asyncio.Transport | None) -> None:
        """Closes the connection to the sidecar after the server closed its connection."""
        if upstream is not self._upstream:
            return
        if self._transport is not None and not self._transport.is_closing():
            self._transport.close()

    def _record_attempt_end(self) -> None:
        if self._attempt is not None and not self._attempt.ended_at:
            self._attempt.ended_at = now()

    def reset(self) -> None:
        """Resets the connection to the sidecar and aborts the upstream connection."""
        self._is_reset = True
        if self._transport is not None and not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            self._transport.abort()
        self._abort_upstream()

    def _replace_upstream(self) -> None:
        """Reconnects to the server, so that it never receives a request that was rejected here."""
        self._unsent_data = b""
        self._abort_upstream()
        self._upstream = None
        asyncio.get_running_loop().create_task(self._connect())

    def _abort_upstream(self) -> None:
        if self._upstream is not None and not self._upstream.is_closing():
            self._upstream.abort()


class _UpstreamConnection(asyncio.Protocol):
    """Connection of the proxy to its server, for one connection of a sidecar."""

    def __init__(self, downstream: _DownstreamConnection) -> None:
        self._downstream = downstream
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport (asyncio.Protocol)."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Passes a part of a response to the connection of the sidecar (asyncio.Protocol)."""
        self._downstream.response_received(self.transport, data)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Passes the end of the connection to the connection of the sidecar (asyncio.Protocol)."""
        self._downstream.upstream_closed(self.transport)
