"""Connections to servers that are closed while they are established, or paused when they become idle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
import uvloop
from loopback import (
    HOST,
    OK_RESPONSE,
    ReceivedRequest,
    ScriptedServer,
    http_response,
    run_async,
    sidecar_harness,
    wait_until,
    within_timeout,
)

from tulipnotch.sidecar.http1.body import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
from tulipnotch.sidecar.http1.messages import Request, Response
from tulipnotch.sidecar.http1.response_reader import ResponseReader
from tulipnotch.sidecar.upstream.buffered_exchange import BufferedExchangeObserver
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.errors import ConnectionNotIdleError

_LARGE = b"x" * (2 * MAX_BUFFERED_BODY_BYTES)


def _delay_connect_until_closed(monkeypatch: pytest.MonkeyPatch, ports: set[int]) -> None:
    """Delays the end of connecting to one of these ports until the server has closed the connection."""
    original_create_connection = uvloop.Loop.create_connection

    async def create_connection(
        loop: uvloop.Loop,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str,
        port: int,
        **options: Any,
    ) -> Any:
        transport: asyncio.Transport
        transport, protocol = await original_create_connection(loop, protocol_factory, host, port, **options)  # type: ignore[assignment]
        if port in ports:
            await wait_until(transport.is_closing)
        return transport, protocol

    monkeypatch.setattr(uvloop.Loop, "create_connection", create_connection)


class _ClosingServer(ScriptedServer):
    """Closes each connection as soon as it has accepted it, while `closes` is set."""

    closes = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.closes:
            self.connection_count += 1
            writer.close()
            return
        await super()._serve(reader, writer)


def test_pool_does_not_count_connection_closed_when_established(monkeypatch: pytest.MonkeyPatch) -> None:
    # After more such connections than `max_connections`, the sidecar must still be able to connect.
    async def work() -> None:
        server = _ClosingServer(OK_RESPONSE)
        async with sidecar_harness(server, config_overrides={"limits": {"sockets": 64}}) as harness:
            ports = {int(server.address.rpartition(":")[2])}
            _delay_connect_until_closed(monkeypatch, ports)
            upstream = harness.sidecar._upstream
            client = await harness.connect()
            for _ in range(4 * upstream.max_connections):
                await client.send_request("check")
            server.closes = False
            ports.clear()
            assert (await client.send_request("check")).status == 200

    run_async(work)


class _PausingConsumer:
    """Pauses reading after each part, and resumes it only while the response is incomplete."""

    def __init__(self, connection: UpstreamConnection) -> None:
        self._connection = connection
        self.received_bytes = 0

    def write_body(self, data: bytes) -> None:
        self.received_bytes += len(data)
        self._connection.pause()
        if self.received_bytes < len(_LARGE):
            asyncio.get_running_loop().call_soon(self._connection.resume)


class _StreamingExchangeObserver(BufferedExchangeObserver):
    """Observes an exchange whose response may be streamed."""

    streams_responses = True

    def __init__(self, connection: UpstreamConnection) -> None:
        super().__init__()
        self._connection = connection

    def response_started(self, _head: Response) -> _PausingConsumer:
        return _PausingConsumer(self._connection)


class _RecordingOwner:
    """Records the connections that became idle."""

    def __init__(self) -> None:
        self.idle_connections: list[UpstreamConnection] = []

    def connection_idle(self, connection: UpstreamConnection) -> None:
        self.idle_connections.append(connection)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Does nothing."""


def test_connection_is_reusable_when_last_part_of_response_paused_reading() -> None:
    async def work() -> None:
        async def script(incoming: ReceivedRequest) -> bytes:
            return http_response(_LARGE) if incoming.target == "/large" else OK_RESPONSE

        server = await ScriptedServer(script).start()
        owner = _RecordingOwner()
        host, _, port = server.address.rpartition(":")
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: UpstreamConnection(ResponseReader(MAX_BUFFERED_BODY_BYTES, MAX_BODY_BYTES), owner, 5.0),
            host,
            int(port),
        )
        assert (await _exchange(connection, "/large")).status == 200
        assert owner.idle_connections == [connection]
        assert (await _exchange(connection, "/small")).status == 200
        connection.close()
        server.stop()

    run_async(work)


async def _exchange(connection: UpstreamConnection, target: str) -> Response:
    observer = _StreamingExchangeObserver(connection)
    connection.start_exchange(Request(b"GET", target.encode(), [(b"host", HOST.encode())]), observer)
    response = await within_timeout(observer.result)
    assert isinstance(response, Response)
    return response


@pytest.mark.parametrize("is_closed", [False, True])
def test_connection_rejects_exchange_when_not_idle(is_closed: bool) -> None:
    async def work() -> None:
        connection = UpstreamConnection(ResponseReader(MAX_BUFFERED_BODY_BYTES), None, 5.0)
        if is_closed:
            connection.close()
        assert not connection.is_usable()
        with pytest.raises(ConnectionNotIdleError):
            connection.start_exchange(Request(b"GET", b"/", []), BufferedExchangeObserver())

    run_async(work)
