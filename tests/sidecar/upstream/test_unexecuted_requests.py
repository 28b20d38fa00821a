"""A request counts as not executed, and may be retried, until its last byte is written to a server."""

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

_SERVER_ACTIONS = ["reset", "close", "rejection"]


async def _apply_server_action(server: SlowReadingServer, action: str) -> None:
    """Closes the server's side of the connection, or rejects the request before it is complete."""
    assert server.accepted is not None
    if action == "rejection":
        await server.send(REJECTION_RESPONSE)
        return
    if action == "reset":
        server.accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        server.accepted.close()
    else:
        server.accepted.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("action", _SERVER_ACTIONS)
@pytest.mark.parametrize("is_reused", [False, True], ids=["new connection", "reused connection"])
def test_request_counts_as_unexecuted_when_kernel_accepted_a_part(
    is_reused: bool, action: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The request is retried, and its first server never gets the last byte.
    shrink_send_buffers(monkeypatch)
    monkeypatch.setattr(pool_module, "_REUSE_DELAY_US", 0)

    async def work() -> None:
        server = SlowReadingServer()
        async with sidecar_harness(OK_RESPONSE, servers_listed=False) as harness:
            await announce_endpoints(harness, server_entry(0, server.address))
            client = await harness.connect()
            if is_reused:
                client.send(http_request("lodge"))
                await server.accept()
                await server.read_until(b"\r\n\r\n")
                await server.send(OK_RESPONSE)
                assert (await client.read_response()).status == 200
            client.send(http_request("lodge", timeout="4.0", body=_BODY))
            if not is_reused:
                await server.accept()
            await wait_until(lambda: len(harness.sidecar._registry) == 1)
            (open_request,) = harness.sidecar._registry
            await wait_until(lambda: open_request.upstream_requests[0].connection is not None)
            assert open_request.upstream_requests[0].is_unwritten
            await announce_endpoints(harness, server_entry(1, harness.servers[0].address))
            await _apply_server_action(server, action)
            assert (await client.read_response()).status == 200
            assert [each.body for each in harness.received_requests] == [_BODY]
            if action != "reset":
                assert not (await server.read_until(_BODY)).endswith(_BODY)
        server.close()

    run_async(work)


@pytest.mark.parametrize("action", ["reset", "close"])
def test_request_may_have_executed_when_server_closes_after_reading_last_byte(
    action: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Most of the request was buffered in the sidecar; the server closes its side when it reads the last byte.
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
            await _apply_server_action(server, action)
            assert (await client.read_response()).status == 502
            assert harness.received_requests == []
        server.close()

    run_async(work)


async def _send_to_first_server(harness: SidecarHarness, patch: pytest.MonkeyPatch) -> Client:
    """Sends a non-idempotent request whose first attempt goes to the first server; then lists the second."""
    first_server, second_server = harness.servers
    await announce_endpoints(harness, server_entry(0, first_server.address))
    delayed_connects = DelayedConnects(patch)
    delayed_connects.hold(first_server.address)
    client = await harness.connect()
    client.send(http_request("lodge", timeout="4.0", body=b"body"))
    await wait_until(lambda: delayed_connects.pending_count == 1)
    await announce_endpoints(harness, server_entry(1, second_server.address))
    delayed_connects.release(first_server.address)
    return client


def _write_all_but_last_byte(descriptor: int, data: bytes) -> int:
    return os.write(descriptor, data[:-1])


def _write_half(descriptor: int, data: bytes) -> int:
    return os.write(descriptor, data[: len(data) // 2])


def _fail_without_buffer_space(descriptor: int, data: bytes) -> int:
    raise BlockingIOError


def _fail_with(error: type[OSError]) -> WriteOutcome:
    def write(descriptor: int, data: bytes) -> int:
        raise error

    return write


def _fail_without_memory(descriptor: int, data: bytes) -> int:
    raise OSError(12, "no memory")


@pytest.mark.parametrize(
    "write_outcomes",
    [
        pytest.param((_fail_with(BrokenPipeError),), id="broken pipe"),
        pytest.param((_fail_with(ConnectionResetError),), id="reset"),
        pytest.param((_fail_without_memory,), id="no memory"),
        pytest.param(
            (_write_all_but_last_byte, _fail_with(BrokenPipeError)), id="broken pipe at the last byte"
        ),
        pytest.param(
            (_fail_without_buffer_space, _fail_with(ConnectionResetError)),
            id="reset after waiting for buffer space",
        ),
    ],
)
def test_non_idempotent_request_is_retried_when_write_failed(
    write_outcomes: tuple[WriteOutcome, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE, servers_listed=False) as harness:
            scripted_writes = ScriptedWrites(monkeypatch, harness.servers[0].address, write_outcomes)
            client = await _send_to_first_server(harness, monkeypatch)
            assert (await client.read_response()).status == 200
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert [len(each.received_requests) for each in harness.servers] == [0, 1]
            assert not scripted_writes.remaining_outcomes

    run_async(work)


@pytest.mark.parametrize(
    "write_outcomes",
    [
        (),
        (_write_half,),
        (_write_all_but_last_byte,),
        (_fail_without_buffer_space,),
        (_write_half, _fail_without_buffer_space, _fail_without_buffer_space),
    ],
)
def test_request_may_have_executed_when_written_in_parts(
    write_outcomes: tuple[WriteOutcome, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async def reset_first(incoming: ReceivedRequest) -> None:
            reset_connection(incoming)

        async with sidecar_harness(reset_first, OK_RESPONSE, servers_listed=False) as harness:
            scripted_writes = ScriptedWrites(monkeypatch, harness.servers[0].address, write_outcomes)
            client = await _send_to_first_server(harness, monkeypatch)
            assert (await client.read_response()).status == 502
            assert [len(each.received_requests) for each in harness.servers] == [1, 0]
            assert harness.received_requests[0].body == b"body"
            assert not scripted_writes.remaining_outcomes

    run_async(work)


# Connections that fail before the request is written


@pytest.mark.parametrize(
    "action", ["refused", "never established", "closed when established", "server writes first"]
)
def test_non_idempotent_request_is_retried_when_connection_was_unusable(
    action: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    delayed_connects = DelayedConnects(monkeypatch)

    async def work() -> None:
        async with sidecar_harness(
            OK_RESPONSE, servers_listed=False, limit_overrides={"dialTimeoutUs": 200_000}
        ) as harness:
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                if action != "refused":
                    listener.listen()
                address = f"{HOST}:{listener.getsockname()[1]}"
                await announce_endpoints(harness, server_entry(0, address))
                delayed_connects.hold(address)
                client = await harness.connect()
                client.send(http_request("lodge", timeout="4.0"))
                await wait_until(lambda: delayed_connects.pending_count == 1)
                await announce_endpoints(harness, server_entry(1, harness.servers[0].address))
                if action == "closed when established" or action == "server writes first":
                    original_connection_made = UpstreamConnection.connection_made
                    accepted: list[socket.socket] = []

                    def connection_made(self: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
                        # The server acts before the sidecar is notified that the connection is established.
                        if transport.get_extra_info("peername") == listener.getsockname():
                            accepted.append(listener.accept()[0])
                            if action == "server writes first":
                                accepted[0].send(REJECTION_RESPONSE)
                            else:
                                accepted[0].close()
                        original_connection_made(self, transport)

                    monkeypatch.setattr(UpstreamConnection, "connection_made", connection_made)
                if action != "never established":
                    delayed_connects.release(address)
                assert (await client.read_response()).status == 200
                assert len(harness.received_requests) == 1
                if action == "server writes first":
                    accepted[0].settimeout(10.0)
                    assert accepted[0].recv(1_000) == b""
                    accepted[0].close()

    run_async(work)
