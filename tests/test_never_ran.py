"""Outcomes held to prove that a request never ran, and what its client is told: each seen on connections."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from contextlib import asynccontextmanager
from typing import Any

import pytest
from barriers import Fate, HeldDials, Kernel, NarrowServer, narrow_connections, reset, server_line, tell
from loopback import ERROR, FULL, HOST, OK, Client, Heard, Stage, play, reply, request, stage, until

from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.http1.messages import KEPT
from tulipnotch.sidecar.upstream import pool as upstream
from tulipnotch.sidecar.upstream.connection import UpstreamConnection

_BODY = b"x" * 60_000 + b"the end"
_REFUSED = (429, 503)


# Writes

_GOES = ["reset", "fin", "refusal"]


async def _goes(server: NarrowServer, how: str) -> None:
    """End the server's side of the connection, or turn its request away before all of it is there."""
    assert server.accepted is not None
    if how == "refusal":
        await server.send(FULL)
        return
    if how == "reset":
        server.accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        server.accepted.close()
    else:
        server.accepted.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("how", _GOES)
@pytest.mark.parametrize("used", [False, True], ids=["new connection", "used connection"])
def test_a_request_of_which_the_system_took_a_part_never_ran(
    used: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It goes elsewhere, and its first server never gets the last byte.
    narrow_connections(monkeypatch)
    monkeypatch.setattr(upstream, "_REST_US", 0)

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
            await until(lambda: len(scene.sidecar._open) == 1)
            (held,) = scene.sidecar._open.values()
            await until(lambda: held.calls[0].connection is not None)
            assert held.calls[0].is_unwritten
            await tell(scene, server_line(1, scene.servers[0].address))
            await _goes(server, how)
            assert (await client.answer()).status == 200
            assert [each.body for each in scene.heard] == [_BODY]
            if how != "reset":
                assert not (await server.read_to(_BODY)).endswith(_BODY)
        server.close()

    play(work)


@pytest.mark.parametrize("how", ["reset", "fin"])
def test_a_request_whose_last_byte_its_server_took_in_the_instant_of_its_end_may_have_run(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Most of it waited in this process; the server ends its side in the step in which it reads the last byte.
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
            await _goes(server, how)
            assert (await client.answer()).status == 502
            assert scene.heard == []
        server.close()

    play(work)


async def _sent_to_the_first(scene: Stage, patch: pytest.MonkeyPatch) -> Client:
    """Send an unsafe request whose first attempt goes to the first server, with the second one listed too."""
    first, second = scene.servers
    await tell(scene, server_line(0, first.address))
    held = HeldDials(patch)
    held.hold(first.address)
    client = await scene.client()
    client.send(request("lodge", timeout="4.0", body=b"body"))
    await until(lambda: held.waiting == 1)
    await tell(scene, server_line(1, second.address))
    held.release(first.address)
    return client


def _all_but_one(descriptor: int, piece: bytes) -> int:
    return os.write(descriptor, piece[:-1])


def _half(descriptor: int, piece: bytes) -> int:
    return os.write(descriptor, piece[: len(piece) // 2])


def _no_room(descriptor: int, piece: bytes) -> int:
    raise BlockingIOError


def _fails(fault: type[OSError]) -> Fate:
    def fate(descriptor: int, piece: bytes) -> int:
        raise fault

    return fate


def _full_memory(descriptor: int, piece: bytes) -> int:
    raise OSError(12, "no memory")


@pytest.mark.parametrize(
    "fates",
    [
        pytest.param((_fails(BrokenPipeError),), id="at once"),
        pytest.param((_fails(ConnectionResetError),), id="at once, reset"),
        pytest.param((_full_memory,), id="for want of memory"),
        pytest.param((_all_but_one, _fails(BrokenPipeError)), id="at the last byte"),
        pytest.param((_no_room, _fails(ConnectionResetError)), id="after a wait for room"),
    ],
)
def test_a_write_that_failed_leaves_an_unsafe_request_free_to_go_elsewhere(
    fates: tuple[Fate, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async with stage(OK, OK, listed=False) as scene:
            kernel = Kernel(monkeypatch, scene.servers[0].address, fates)
            client = await _sent_to_the_first(scene, monkeypatch)
            assert (await client.answer()).status == 200
            await until(lambda: scene.servers[0].closed == [0])
            assert [len(each.heard) for each in scene.servers] == [0, 1] and not kernel.left

    play(work)


@pytest.mark.parametrize("fates", [(), (_half,), (_all_but_one,), (_no_room,), (_half, _no_room, _no_room)])
def test_a_write_that_was_taken_by_and_by_is_whole_and_may_have_run(
    fates: tuple[Fate, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async def first(heard: Heard) -> None:
            reset(heard)

        async with stage(first, OK, listed=False) as scene:
            kernel = Kernel(monkeypatch, scene.servers[0].address, fates)
            client = await _sent_to_the_first(scene, monkeypatch)
            assert (await client.answer()).status == 502
            assert [len(each.heard) for each in scene.servers] == [1, 0]
            assert scene.heard[0].body == b"body" and not kernel.left

    play(work)


# Connections that never carried it


@pytest.mark.parametrize("how", ["refused", "never comes up", "ends as it comes up", "speaks first"])
def test_a_connection_that_could_not_be_used_leaves_an_unsafe_request_free_to_go_elsewhere(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    held = HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, listed=False, bounds={"dialTimeoutUs": 200_000}) as scene:
            with socket.socket() as listener:
                listener.bind((HOST, 0))
                if how != "refused":
                    listener.listen()
                address = f"{HOST}:{listener.getsockname()[1]}"
                await tell(scene, server_line(0, address))
                held.hold(address)
                client = await scene.client()
                client.send(request("lodge", timeout="4.0"))
                await until(lambda: held.waiting == 1)
                await tell(scene, server_line(1, scene.servers[0].address))
                if how == "ends as it comes up" or how == "speaks first":
                    made = UpstreamConnection.connection_made
                    accepted: list[socket.socket] = []

                    def connection_made(self: UpstreamConnection, transport: asyncio.BaseTransport) -> None:
                        # Its server has acted before the sidecar hears that it came up.
                        if transport.get_extra_info("peername") == listener.getsockname():
                            accepted.append(listener.accept()[0])
                            if how == "speaks first":
                                accepted[0].send(FULL)
                            else:
                                accepted[0].close()
                        made(self, transport)

                    monkeypatch.setattr(UpstreamConnection, "connection_made", connection_made)
                if how != "never comes up":
                    held.release(address)
                assert (await client.answer()).status == 200
                assert len(scene.heard) == 1
                if how == "speaks first":
                    accepted[0].settimeout(10.0)
                    assert accepted[0].recv(1_000) == b""
                    accepted[0].close()

    play(work)


# Answers


@asynccontextmanager
async def _two(first: Any) -> Any:
    """A stage whose first server has read an unsafe request; the second is listed only then."""
    let_go = asyncio.Event()

    async def script(heard: Heard) -> bytes | None:
        await let_go.wait()
        answer: bytes | None = await first(heard)
        return answer

    async with stage(script, OK, listed=False) as scene:
        await tell(scene, server_line(0, scene.servers[0].address))
        client = await scene.client()
        client.send(request("lodge", timeout="4.0"))
        await until(lambda: len(scene.heard) == 1)
        await tell(scene, server_line(1, scene.servers[1].address))
        let_go.set()
        yield scene, client


_SAYS_WHY = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 10\r\n\r\nqueue full"
_CUTS = [1, 12, 20, 30, 35, len(FULL) - 2, len(FULL) - 1]


@pytest.mark.parametrize("end", ["fin", "reset", "silence"])
@pytest.mark.parametrize("cut", [FULL[:at] for at in _CUTS] + [_SAYS_WHY[:-10], _SAYS_WHY[:-1]], ids=repr)
def test_a_refusal_that_is_cut_proves_nothing(cut: bytes, end: str) -> None:
    async def work() -> None:
        async def first(heard: Heard) -> bytes | None:
            if end == "silence":
                return cut
            heard.writer.write(cut)
            await heard.writer.drain()
            if end == "fin":
                heard.writer.close()
            else:
                reset(heard)
            return None

        async with _two(first) as (scene, client):
            assert (await client.answer()).status == 502
            assert scene.servers[1].heard == []

    play(work)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nNot-Started: 0\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nNot-Started:\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nNot-Started: 10\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nNot-Started: 0\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nNot-Started: 0\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 503 Full\r\nX-Not-Started: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 500 Broken\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 429 Slow\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 502 Odd\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 103 Early\r\nNot-Started: 1\r\n\r\n" + ERROR,
        b"HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nNot-Started: 1\r\n\r\n",
    ],
    ids=repr,
)
def test_what_is_no_refusal_by_the_protocol_proves_nothing(answer: bytes) -> None:
    async def work() -> None:
        async def first(heard: Heard) -> bytes:
            return answer

        async with _two(first) as (scene, client):
            assert (await client.answer()).status not in (200, *_REFUSED)
            assert scene.servers[1].heard == []

    play(work)


@pytest.mark.parametrize("status", [b"503 Full", b"504 Over"])
@pytest.mark.parametrize("name", [b"Not-Started", b"not-started", b"NOT-STARTED"])
def test_a_refusal_that_comes_twice_in_one_piece_on_a_new_connection_is_proof_once(
    name: bytes, status: bytes
) -> None:
    async def work() -> None:
        async def first(heard: Heard) -> bytes:
            return 2 * (b"HTTP/1.1 %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n" % (status, name))

        async with _two(first) as (scene, client):
            assert (await client.answer()).status == 200
            assert [len(each.heard) for each in scene.servers] == [1, 1]
            await until(lambda: scene.servers[0].closed == [0])  # of no further use

    play(work)


@pytest.mark.parametrize("kind", ["check", "lodge"])
def test_after_an_answer_that_may_be_anothers_nobody_is_served_with_the_one_that_follows_it(
    kind: str,
) -> None:
    # The first request is turned away twice.  The second answer is taken for that of the second request,
    # whose own comes when the third is written: it must not be the third one's.
    async def work() -> None:
        async def script(heard: Heard) -> bytes:
            before = scene.heard[:-1]
            if len(before) < 2:
                return FULL
            is_shared = before[0].connection == before[1].connection == heard.connection
            return reply(b"second" if is_shared else b"third")

        async with stage(script) as scene:
            client = await scene.client()
            assert (await client.ask(kind)).status == 503
            assert (await client.ask(kind)).status != 200
            answer = await client.ask(kind)
            assert (answer.status, answer.body) == (200, b"third")

    play(work)


# What the client is told


@pytest.mark.parametrize("kind", ["lodge", "amend"])
@pytest.mark.parametrize("may_cancel", [True, False], ids=["may cancel", ""])
def test_at_the_deadline_a_request_that_may_have_run_is_failed_and_not_refused(
    kind: str, may_cancel: bool
) -> None:
    async def work() -> None:
        async with stage(None, bounds={"mayCancel": may_cancel}) as scene:
            assert (await scene.ask(kind, timeout="0.2")).status == 504
            assert len(scene.heard) == 1

    play(work)


@pytest.mark.parametrize("behind", [b"", b"nonsense\r\n\r\n", request("lodge")], ids=["", "nonsense", "next"])
@pytest.mark.parametrize("limit", ["memory", ""])
def test_a_request_whose_last_byte_has_just_been_passed_on_is_not_refused(limit: str, behind: bytes) -> None:
    # The read that brings its last byte brings what else is held over the limit, or nonsense behind it.
    async def work() -> None:
        let_go = asyncio.Event()

        async def holds(heard: Heard) -> bytes:
            await let_go.wait()
            return OK

        limits = ClientLimits(most_bytes=KEPT + 12_000) if limit else None
        async with stage(holds, client_limits=limits) as scene:
            client = await scene.client()
            whole = request("lodge", timeout="4.0", body=b"x" * (KEPT + 20_000))
            client.send(whole[:-16_000])
            await until(lambda: scene.servers[0].connections == 1)
            (held,) = scene.sidecar._open.values()
            await until(lambda: held.incoming.body.size == KEPT + 4_000)
            await until(lambda: held.calls[0].connection is not None)
            client.send(whole[-16_000:] + behind)
            await until(lambda: not held.calls[0].is_unwritten)
            let_go.set()
            answer = await client.answer()
            assert answer.status not in _REFUSED

    play(work)


# A request that comes once more


async def _again(scene: Stage, raw: bytes) -> Client:
    client = await scene.client()
    client.send(raw)
    return client


def test_a_request_that_comes_once_more_while_the_first_is_open_is_not_sent_on() -> None:
    async def work() -> None:
        let_go = asyncio.Event()

        async def holds(heard: Heard) -> bytes:
            await let_go.wait()
            return OK

        async with stage(holds, holds) as scene:
            raw = request("lodge", timeout="4.0")
            first = await _again(scene, raw)
            await until(lambda: len(scene.heard) == 1)
            second = await _again(scene, raw)
            answer = await second.answer()
            assert answer.status == 409
            let_go.set()
            assert (await first.answer()).status == 200
            assert len(scene.heard) == 1

    play(work)


@pytest.mark.parametrize("may_cancel", [True, False], ids=["may cancel", ""])
@pytest.mark.parametrize("when", ["out", "ended", "reset"])
def test_an_unsafe_request_that_comes_once_more_after_its_client_went_is_not_sent_again(
    when: str, may_cancel: bool
) -> None:
    # Its connection was closed over it, and its client takes it for one that nobody had read.
    async def work() -> None:
        let_go = asyncio.Event()

        async def holds(heard: Heard) -> bytes | None:
            await let_go.wait()
            if when == "reset":
                reset(heard)
                return None
            return OK

        async with stage(holds, holds, bounds={"mayCancel": may_cancel}) as scene:
            raw = request("lodge", timeout="4.0")
            first = await _again(scene, raw)
            await until(lambda: len(scene.heard) == 1)
            first.close()
            await until(lambda: scene.sidecar.frontend.open_connections == 0)
            if when != "out":
                let_go.set()
                await until(lambda: scene.sidecar.open_requests == 0)
            second = await _again(scene, raw)
            let_go.set()
            answer = await second.answer()
            assert answer.status not in (200, *_REFUSED)
            assert len(scene.heard) == 1

    play(work)


def test_an_unsafe_request_of_which_no_server_had_the_last_byte_may_come_once_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held = HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, bounds={"mayCancel": False}) as scene:
            held.hold(scene.servers[0].address)
            raw = request("lodge", timeout="4.0")
            first = await _again(scene, raw)
            await until(lambda: held.waiting == 1)
            first.close()
            await until(lambda: scene.sidecar.open_requests == 0)
            held.release(scene.servers[0].address)
            second = await _again(scene, raw)
            assert (await second.answer()).status == 200
            assert len(scene.heard) == 1

    play(work)
