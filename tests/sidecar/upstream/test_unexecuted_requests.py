"""A request counts as not executed, and may be retried, until its last byte is written to a server."""

from __future__ import annotations

import asyncio
import os
import socket
import struct

import pytest
from barriers import Fate, HeldDials, Kernel, NarrowServer, narrow_connections, reset, server_line, tell
from loopback import FULL, HOST, OK, Client, Heard, Stage, play, request, stage, until

from tulipnotch.sidecar.upstream import pool as pool_module
from tulipnotch.sidecar.upstream.connection import UpstreamConnection

_BODY = b"x" * 60_000 + b"the end"


# Writes

_ENDS = ["reset", "fin", "rejection"]


async def _end(server: NarrowServer, how: str) -> None:
    """Closes the server's side of the connection, or rejects the request before it is complete."""
    assert server.accepted is not None
    if how == "rejection":
        await server.send(FULL)
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
    # The request is retried, and its first server never gets the last byte.
    narrow_connections(monkeypatch)
    monkeypatch.setattr(pool_module, "_REUSE_DELAY_US", 0)

    async def work() -> None:
        server = NarrowServer()
        async with stage(OK, listed=False) as scene:
            await tell(scene, server_line(0, server.address))
            client = await scene.client()
            if used:
                client.send(request("lodge"))
                await server.accept()
                await server.read_to(b"\r\n\r\n")
                await server.send(OK)
                assert (await client.answer()).status == 200
            client.send(request("lodge", timeout="4.0", body=_BODY))
            if not used:
                await server.accept()
            await until(lambda: len(scene.sidecar._registry) == 1)
            (open_request,) = scene.sidecar._registry
            await until(lambda: open_request.upstream_requests[0].connection is not None)
            assert open_request.upstream_requests[0].is_unwritten
            await tell(scene, server_line(1, scene.servers[0].address))
            await _end(server, how)
            assert (await client.answer()).status == 200
            assert [each.body for each in scene.heard] == [_BODY]
            if how != "reset":
                assert not (await server.read_to(_BODY)).endswith(_BODY)
        server.close()

    play(work)


@pytest.mark.parametrize("how", ["reset", "fin"])
def test_request_may_have_executed_when_server_ends_as_it_reads_last_byte(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Most of the request was buffered in the sidecar; the server closes its side when it reads the last byte.
    narrow_connections(monkeypatch)

    async def work() -> None:
        server = NarrowServer()
        async with stage(OK, listed=False) as scene:
            await tell(scene, server_line(0, server.address))
            client = await scene.client()
            client.send(request("lodge", timeout="4.0", body=_BODY))
            await server.accept()
            await tell(scene, server_line(1, scene.servers[0].address))
            assert (await server.read_to(_BODY)).endswith(_BODY)
            await _end(server, how)
            assert (await client.answer()).status == 502
            assert scene.heard == []
        server.close()

    play(work)


async def _send_to_first(scene: Stage, patch: pytest.MonkeyPatch) -> Client:
    """Sends a non-idempotent request whose first attempt goes to the first server; then lists the second."""
    first, second = scene.servers
    await tell(scene, server_line(0, first.address))
    delayed_dials = HeldDials(patch)
    delayed_dials.hold(first.address)
    client = await scene.client()
    client.send(request("lodge", timeout="4.0", body=b"body"))
    await until(lambda: delayed_dials.waiting == 1)
    await tell(scene, server_line(1, second.address))
    delayed_dials.release(first.address)
    return client


def _all_but_last_byte(descriptor: int, piece: bytes) -> int:
    return os.write(descriptor, piece[:-1])


def _half(descriptor: int, piece: bytes) -> int:
    return os.write(descriptor, piece[: len(piece) // 2])


def _no_buffer_space(descriptor: int, piece: bytes) -> int:
    raise BlockingIOError


def _fails(fault: type[OSError]) -> Fate:
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
    fates: tuple[Fate, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async with stage(OK, OK, listed=False) as scene:
            kernel = Kernel(monkeypatch, scene.servers[0].address, fates)
            client = await _send_to_first(scene, monkeypatch)
            assert (await client.answer()).status == 200
            await until(lambda: scene.servers[0].closed == [0])
            assert [len(each.heard) for each in scene.servers] == [0, 1]
            assert not kernel.left

    play(work)


@pytest.mark.parametrize(
    "fates",
    [(), (_half,), (_all_but_last_byte,), (_no_buffer_space,), (_half, _no_buffer_space, _no_buffer_space)],
)
def test_request_may_have_executed_when_written_in_parts(
    fates: tuple[Fate, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async def first(incoming: Heard) -> None:
            reset(incoming)

        async with stage(first, OK, listed=False) as scene:
            kernel = Kernel(monkeypatch, scene.servers[0].address, fates)
            client = await _send_to_first(scene, monkeypatch)
            assert (await client.answer()).status == 502
            assert [len(each.heard) for each in scene.servers] == [1, 0]
            assert scene.heard[0].body == b"body"
            assert not kernel.left

    play(work)


# Connections that fail before the request is written


@pytest.mark.parametrize(
    "how", ["refused", "never established", "ends when established", "server writes first"]
)
def test_non_idempotent_request_is_retried_when_connection_was_unusable(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    delayed_dials = HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, listed=False, bounds={"dialTimeoutUs": 200_000}) as scene:
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                if how != "refused":
                    listener.listen()
                address = f"{HOST}:{listener.getsockname()[1]}"
                await tell(scene, server_line(0, address))
                delayed_dials.hold(address)
                client = await scene.client()
                client.send(request("lodge", timeout="4.0"))
                await until(lambda: delayed_dials.waiting == 1)
                await tell(scene, server_line(1, scene.servers[0].address))
                if how == "ends when established" or how == "server writes first":
                    made = UpstreamConnection.connection_made
                    accepted: list[socket.socket] = []

                    def connection_made(self: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
                        # The server acts before the sidecar is notified that the connection is established.
                        if transport.get_extra_info("peername") == listener.getsockname():
                            accepted.append(listener.accept()[0])
                            if how == "server writes first":
                                accepted[0].send(FULL)
                            else:
                                accepted[0].close()
                        made(self, transport)

                    monkeypatch.setattr(UpstreamConnection, "connection_made", connection_made)
                if how != "never established":
                    delayed_dials.release(address)
                assert (await client.answer()).status == 200
                assert len(scene.heard) == 1
                if how == "server writes first":
                    accepted[0].settimeout(10.0)
                    assert accepted[0].recv(1_000) == b""
                    accepted[0].close()

    play(work)
