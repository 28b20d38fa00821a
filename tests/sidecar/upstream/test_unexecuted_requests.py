"""A request is unexecuted until its last byte is written to a server, and may be retried until then."""

from __future__ import annotations

import asyncio
import os
import socket
import struct

import pytest
from barriers import (
    DelayedConnects,
    ScriptedWrites,
    SlowReadingServer,
    WriteOutcome,
    announce_endpoints,
    reset_connection,
    server_entry,
    shrink_send_buffers,
)
from loopback import (
    HOST,
    OK_RESPONSE,
    REJECTION_RESPONSE,
    Client,
    ReceivedRequest,
    SidecarHarness,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
)

from tulipnotch.sidecar.upstream import pool as pool_module
from tulipnotch.sidecar.upstream.connection import UpstreamConnection

_BODY = b"x" * 60_000 + b"the end"


# Writes

_ENDS = ["reset", "fin", "rejection"]


async def _end(server: SlowReadingServer, how: str) -> None:
    """End the server's side of the connection, or reject the request before it is complete."""
    assert server.accepted is not None
    if how == "rejection":
        await server.send(REJECTION_RESPONSE)
        return
    if how == "reset":
        server.accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        server.accepted.close()
    else:
        server.accepted.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("how", _ENDS)
@pytest.mark.parametrize("used", [False, True], ids=["new connection", "used connection"])
def test_request_is_unexecuted_when_kernel_accepted_a_part(
    used: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It is retried, and its first server never gets the last byte.
    shrink_send_buffers(monkeypatch)
    monkeypatch.setattr(pool_module, "_REUSE_DELAY_US", 0)

    async def work() -> None:
        server = SlowReadingServer()
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as harness:
            await announce_endpoints(harness, server_entry(0, server.address))
            client = await harness.connect()
            if used:
                client.send(http_request("lodge"))
                await server.accept()
                await server.read_until(b"\r\n\r\n")
                await server.send(OK_RESPONSE)
                assert (await client.read_response()).status == 200
            client.send(http_request("lodge", timeout="4.0", body=_BODY))
            if not used:
                await server.accept()
            await wait_until(lambda: len(harness.sidecar._registry) == 1)
            (open_request,) = harness.sidecar._registry
            await wait_until(lambda: open_request.upstream_requests[0].connection is not None)
            assert open_request.upstream_requests[0].is_unwritten
            await announce_endpoints(harness, server_entry(1, harness.servers[0].address))
            await _end(server, how)
            assert (await client.read_response()).status == 200
            assert [each.body for each in harness.received_requests] == [_BODY]
            if how != "reset":
                assert not (await server.read_until(_BODY)).endswith(_BODY)
        server.close()

    run_async(work)


@pytest.mark.parametrize("how", ["reset", "fin"])
def test_request_may_have_executed_when_server_ends_as_it_reads_last_byte(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Most of it was buffered in this process; the server ends its side as it reads the last byte.
    shrink_send_buffers(monkeypatch)

    async def work() -> None:
        server = SlowReadingServer()
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as harness:
            await announce_endpoints(harness, server_entry(0, server.address))
            client = await harness.connect()
            client.send(http_request("lodge", timeout="4.0", body=_BODY))
            await server.accept()
            await announce_endpoints(harness, server_entry(1, harness.servers[0].address))
            assert (await server.read_until(_BODY)).endswith(_BODY)
            await _end(server, how)
            assert (await client.read_response()).status == 502
            assert harness.received_requests == []
        server.close()

    run_async(work)


async def _send_to_first(harness: SidecarHarness, patch: pytest.MonkeyPatch) -> Client:
    """Send a non-idempotent request whose first attempt goes to the first server; then list the second."""
    first, second = harness.servers
    await announce_endpoints(harness, server_entry(0, first.address))
    delayed_dials = DelayedConnects(patch)
    delayed_dials.hold(first.address)
    client = await harness.connect()
    client.send(http_request("lodge", timeout="4.0", body=b"body"))
    await wait_until(lambda: delayed_dials.pending_count == 1)
    await announce_endpoints(harness, server_entry(1, second.address))
    delayed_dials.release(first.address)
    return client


def _all_but_last_byte(descriptor: int, piece: bytes) -> int:
    return os.write(descriptor, piece[:-1])


def _half(descriptor: int, piece: bytes) -> int:
    return os.write(descriptor, piece[: len(piece) // 2])


def _no_buffer_space(descriptor: int, piece: bytes) -> int:
    raise BlockingIOError


def _fails(fault: type[OSError]) -> WriteOutcome:
    def fate(descriptor: int, piece: bytes) -> int:
        raise fault

    return fate


def _no_memory(descriptor: int, piece: bytes) -> int:
    raise OSError(12, "no memory")


@pytest.mark.parametrize(
    "fates",
    [
        pytest.param((_fails(BrokenPipeError),), id="at once"),
        pytest.param((_fails(ConnectionResetError),), id="at once, reset"),
        pytest.param((_no_memory,), id="for want of memory"),
        pytest.param((_all_but_last_byte, _fails(BrokenPipeError)), id="at the last byte"),
        pytest.param((_no_buffer_space, _fails(ConnectionResetError)), id="after a wait for room"),
    ],
)
def test_non_idempotent_request_is_retried_when_write_failed(
    fates: tuple[WriteOutcome, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE, servers_listed=False) as harness:
            kernel = ScriptedWrites(monkeypatch, harness.servers[0].address, fates)
            client = await _send_to_first(harness, monkeypatch)
            assert (await client.read_response()).status == 200
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert [len(each.received_requests) for each in harness.servers] == [0, 1]
            assert not kernel.remaining_outcomes

    run_async(work)


@pytest.mark.parametrize(
    "fates",
    [(), (_half,), (_all_but_last_byte,), (_no_buffer_space,), (_half, _no_buffer_space, _no_buffer_space)],
)
def test_request_may_have_executed_when_written_in_parts(
    fates: tuple[WriteOutcome, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async def first(incoming: ReceivedRequest) -> None:
            reset_connection(incoming)

        async with sidecar_harness(first, OK_RESPONSE, servers_listed=False) as harness:
            kernel = ScriptedWrites(monkeypatch, harness.servers[0].address, fates)
            client = await _send_to_first(harness, monkeypatch)
            assert (await client.read_response()).status == 502
            assert [len(each.received_requests) for each in harness.servers] == [1, 0]
            assert harness.received_requests[0].body == b"body"
            assert not kernel.remaining_outcomes

    run_async(work)


# Connections that did not carry it


@pytest.mark.parametrize(
    "how", ["refused", "never established", "ends when established", "server writes first"]
)
def test_non_idempotent_request_is_retried_when_connection_was_unusable(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    delayed_dials = DelayedConnects(monkeypatch)

    async def work() -> None:
        async with sidecar_harness(
            OK_RESPONSE, servers_listed=False, limit_overrides={"dialTimeoutUs": 200_000}
        ) as harness:
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                if how != "refused":
                    listener.listen()
                address = f"{HOST}:{listener.getsockname()[1]}"
                await announce_endpoints(harness, server_entry(0, address))
                delayed_dials.hold(address)
                client = await harness.connect()
                client.send(http_request("lodge", timeout="4.0"))
                await wait_until(lambda: delayed_dials.pending_count == 1)
                await announce_endpoints(harness, server_entry(1, harness.servers[0].address))
                if how == "ends when established" or how == "server writes first":
                    made = UpstreamConnection.connection_made
                    accepted: list[socket.socket] = []

                    def connection_made(self: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
                        # Its server has acted before the sidecar is notified that it is established.
                        if transport.get_extra_info("peername") == listener.getsockname():
                            accepted.append(listener.accept()[0])
                            if how == "server writes first":
                                accepted[0].send(REJECTION_RESPONSE)
                            else:
                                accepted[0].close()
                        made(self, transport)

                    monkeypatch.setattr(UpstreamConnection, "connection_made", connection_made)
                if how != "never established":
                    delayed_dials.release(address)
                assert (await client.read_response()).status == 200
                assert len(harness.received_requests) == 1
                if how == "server writes first":
                    accepted[0].settimeout(10.0)
                    assert accepted[0].recv(1_000) == b""
                    accepted[0].close()

    run_async(work)
