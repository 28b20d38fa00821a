"""Bytes that arrive in the very instant of a shutdown or close: what is owed is finished first."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from loopback import (
    CLASSES,
    ERROR,
    HOST,
    OK,
    Heard,
    ScriptedServer,
    Stage,
    holding,
    line,
    play,
    reply,
    request,
    soon,
    stage,
    until,
)
from slow_to_accept import SlowToAccept

from tulipnotch.sidecar import client as client_module
from tulipnotch.sidecar import upstream
from tulipnotch.sidecar.frontend import ClientLimits, State

# Far less than the client's side takes at once: most of it is still with the sidecar's system when it closes.
_LARGE = bytes(range(250)) * 200
_ANSWER = reply(_LARGE)
_LIMITS = ClientLimits(linger_s=0.05, sweep_s=0.01)


class _Narrow:
    """A client that takes a few KiB at a time, and reads nothing until it is told to."""

    def __init__(self, plain: socket.socket) -> None:
        self._plain = plain

    def send(self, raw: bytes) -> None:
        """Send at once; on loopback it lies in the sidecar's socket when this is done."""
        assert self._plain.send(raw) == len(raw)

    async def rest(self) -> tuple[bytes, bool]:
        """All that comes up to the connection's end, and whether that was a reset."""
        got = bytearray()
        loop = asyncio.get_running_loop()
        while True:
            try:
                piece = await soon(loop.sock_recv(self._plain, 1 << 16))
            except ConnectionError:
                return bytes(got), True
            if not piece:
                return bytes(got), False
            got += piece


@asynccontextmanager
async def _narrow(scene: Stage) -> AsyncIterator[_Narrow]:
    with socket.socket() as plain:
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        plain.setblocking(False)
        await asyncio.get_running_loop().sock_connect(plain, (HOST, scene.sidecar.frontend.port))
        yield _Narrow(plain)


def _states(scene: Stage) -> list[State]:
    return [each.state for each in scene.sidecar.frontend.connections()]


@pytest.mark.parametrize("how", ["asked to close", "emptying", "stopping", "passed through"])
def test_a_last_answer_is_whole_with_more_unread_behind_its_request(how: str) -> None:
    # Guards against the reset that a close over unread bytes sends: the rest of the answer goes with it.
    async def work() -> None:
        release = asyncio.Event()
        body = 2 * _LARGE if how == "passed through" else _LARGE  # that is more than is kept

        async def script(heard: Heard) -> bytes:
            await release.wait()
            return reply(body)

        async with stage(script, client_limits=_LIMITS) as scene, _narrow(scene) as client:
            last = "" if how in ("emptying", "stopping") else "close"
            client.send(request("lodge", timeout="15", Connection=last) + request("lodge"))
            await until(lambda: len(scene.heard) == 1)
            await until(lambda: all(each.is_reading_paused for each in scene.sidecar.frontend.connections()))
            client.send(request("lodge"))  # it stays in the socket
            if how == "emptying":
                scene.sidecar.lifecycle.evacuate()
            elif how == "stopping":
                scene.sidecar.lifecycle.stop()
            release.set()
            await until(lambda: scene.sidecar.frontend.open_connections == 0)
            got, was_reset = await client.rest()
            assert got.endswith(b"\r\n\r\n" + body) and not was_reset
            assert len(scene.heard) == 1

    play(work)


@pytest.mark.parametrize("why", ["idle for long", "drain", "evacuation"])
def test_a_request_in_the_instant_of_a_close_takes_no_answer_with_it_and_is_not_sent_on(why: str) -> None:
    # It crosses the close, so its client sends it again; nothing may come of this copy.
    async def work() -> None:
        limits = ClientLimits(linger_s=0.05, sweep_s=600.0, idle_timeout_s=0.0, leaving_s=0.0)
        async with stage(_ANSWER, client_limits=limits) as scene, _narrow(scene) as client:
            frontend = scene.sidecar.frontend
            client.send(request("lodge"))
            await until(lambda: _states(scene) == [State.RESTING])
            await until(lambda: all(each.is_idle for each in frontend.connections()))
            if why == "drain":
                frontend.close_idle()
            else:
                if why == "evacuation":
                    scene.sidecar.lifecycle.evacuate()
                frontend._close_overdue()
            again = request("lodge")
            client.send(again)  # the event loop has not run since
            await asyncio.sleep(2 * limits.linger_s)
            frontend._close_overdue()
            await until(lambda: frontend.open_connections == 0)
            got, was_reset = await client.rest()
            assert got.endswith(b"\r\n\r\n" + _LARGE) and not was_reset
            assert len(scene.heard) == 1
            other = await scene.client()
            other.send(again)
            assert (await other.answer()).status == 200
            assert len(scene.heard) == 2

    play(work)


def test_room_is_made_at_the_cost_of_who_rests_and_not_of_a_request_unread() -> None:
    async def work() -> None:
        limits = ClientLimits(greeting_s=0.0, sweep_s=600.0)
        async with stage(OK, client_limits=limits) as scene:
            frontend = scene.sidecar.frontend
            silent = await scene.client()
            await until(lambda: _states(scene) == [State.SILENT])
            resting = await scene.client()
            assert (await resting.ask("lodge")).status == 200
            await until(lambda: sorted(each.value for each in _states(scene)) == ["resting", "silent"])
            silent.send(request("lodge"))  # it lies in the sidecar's socket, and the event loop has not run
            assert frontend._make_room()
            assert (await silent.answer()).status == 200
            assert await soon(resting.reader.read()) == b""

    play(work)


def test_an_answer_that_its_client_takes_slowly_is_not_cut_off_while_it_is_the_last() -> None:
    # The time to linger begins when all is written; until then it counts that the client goes on reading.
    async def work() -> None:
        size = 8 << 20

        async def script(heard: Heard) -> bytes:
            return reply(bytes(size))

        async with stage(script, client_limits=_LIMITS) as scene, _narrow(scene) as client:
            client.send(request("lodge", timeout="15", Connection="close"))
            await until(lambda: len(scene.heard) == 1)
            await asyncio.sleep(10 * _LIMITS.linger_s)
            frontend = scene.sidecar.frontend
            assert frontend.open_connections == 1
            frontend.most = 1
            assert not frontend._make_room()  # it is owed the rest
            got, was_reset = await client.rest()
            assert got.endswith(b"\r\n\r\n" + bytes(size)) and not was_reset

    play(work)


def test_a_client_that_never_ends_its_side_is_let_go_in_bounded_time() -> None:
    async def work() -> None:
        release, hold = holding()
        release.set()
        async with stage(hold, client_limits=_LIMITS) as scene:
            for _ in range(5):
                client = await scene.client()
                assert (await client.ask("lodge", Connection="close")).status == 200
                assert await soon(client.reader.read()) == b""
                client.send(request("lodge"))  # and it stays
            await until(lambda: scene.sidecar.frontend.open_connections == 0)
            assert len(scene.heard) == 5

    play(work)


@pytest.mark.parametrize("waits_for", ["a dial", "a connection's rest"])
def test_no_repeat_is_written_once_its_window_is_over(
    waits_for: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The repeat is drawn within the window, which is shorter than the deadline, and its connection is late.
    monkeypatch.setattr(upstream, "_REST_US", 0)
    window_s, late_s = 0.4, 1.0
    classes = [{**each, "giveUpUs": 4_000_000, "memorySpanUs": int(window_s * 1e6)} for each in CLASSES]

    async def work() -> None:
        slow = SlowToAccept()
        await slow.fill()
        release = asyncio.Event()

        async def fails(heard: Heard) -> bytes:
            if heard.method == "GET":
                return OK
            await release.wait()
            return ERROR

        bounds = {"dialTimeoutUs": 15_000_000, "mayCancel": False}
        loop = asyncio.get_running_loop()
        async with stage(fails, fails, bounds=bounds, lanes=classes) as scene:
            await until(lambda: len(scene.discovery.heard) >= 2)
            while not all(each.heard for each in scene.servers):
                assert (await scene.ask("check")).status == 200
            before = len(scene.heard)
            client = await scene.client()
            client.send(request("amend", timeout="4.0"))
            began = loop.time()
            await until(lambda: len(scene.heard) == before + 1)
            if waits_for == "a dial":
                leaving = [line(f"s-{n}", each.address, state="left") for n, each in enumerate(scene.servers)]
                scene.discovery.tell(*leaving, line("s-slow", slow.address))
                await until(lambda: len(scene.discovery.heard) >= 3)
            monkeypatch.setattr(upstream, "_REST_US", int(late_s * 1e6))
            release.set()
            pool = scene.sidecar._upstream
            await until(lambda: pool._dialling == 1 if waits_for == "a dial" else len(pool._resting) == 1)
            assert loop.time() - began < window_s  # else this machine was too slow to show anything
            await asyncio.sleep(late_s)
            if waits_for == "a dial":
                accepted = await slow.let_go()
                await until(lambda: pool._dialling == 0)
                accepted.settimeout(0.2)
                with pytest.raises(TimeoutError):
                    accepted.recv(1_000)  # the connection itself is kept
                accepted.close()
            assert not pool._resting
            assert (await client.answer()).status == 502
            assert len(scene.heard) == before + 1
            assert scene.sidecar.open_requests == 0
        slow.close()

    play(work)


def _reset(writer: asyncio.StreamWriter) -> None:
    """End the connection by a reset, at once."""
    plain = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    plain.close()
    writer.transport.abort()


_NO_LENGTH = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("end", ["fin", "reset", "reset in one go"])
def test_an_answer_of_no_length_is_whole_after_an_end_and_broken_after_a_reset(end: str) -> None:
    async def work() -> None:
        def reader_has_part() -> bool:
            calls = [call for each in scene.sidecar._open.values() for call in each.calls]
            return any(each.connection is not None and each.connection._reader.has_part for each in calls)

        async def script(heard: Heard) -> None:
            heard.writer.write(_NO_LENGTH + b"served")
            if end == "fin":
                heard.writer.close()
                return
            if end == "reset":
                await until(reader_has_part)
            _reset(heard.writer)

        async with stage(script, script) as scene:
            answer = await scene.ask("lodge")
            assert (answer.status, answer.body) == ((200, b"served") if end == "fin" else (502, b""))
            assert len(scene.heard) == 1  # it may have run

    play(work)


@pytest.mark.parametrize("end", ["fin", "reset", "stall"])
@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_a_client_can_tell_how_an_answer_of_no_length_ended_that_passed_through(
    version: bytes, end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # For HTTP/1.0 nothing but the connection's end frames it: an orderly one would say that it is whole.
    monkeypatch.setattr(client_module, "_PASSING_TIMEOUT_S", 0.2)

    async def work() -> None:
        go_on = asyncio.Event()

        async def script(heard: Heard) -> None:
            heard.writer.write(_NO_LENGTH + _LARGE)
            await go_on.wait()
            if end == "fin":
                heard.writer.close()
            elif end == "reset":
                _reset(heard.writer)

        async with stage(script) as scene:
            client = await scene.client()
            client.send(request("lodge").replace(b"HTTP/1.1", version, 1))
            got = await soon(client.reader.readexactly(len(_LARGE)))  # most of it has passed
            go_on.set()
            if end == "fin":
                got += await soon(client.reader.read())
                whole = got.partition(b"\r\n\r\n")[2]
                assert whole == _LARGE if version == b"HTTP/1.0" else whole.endswith(b"\r\n0\r\n\r\n")
            elif version == b"HTTP/1.0":
                with pytest.raises(ConnectionError):
                    await soon(client.reader.read())
            else:
                try:
                    got += await soon(client.reader.read())
                except ConnectionError:
                    pass
                assert not got.endswith(b"\r\n0\r\n\r\n")
            await until(lambda: scene.sidecar.open_requests == 0)

    play(work)


@pytest.mark.parametrize("end", ["fin", "reset"])
def test_a_list_of_no_length_is_taken_after_an_end_and_not_after_a_reset(end: str) -> None:
    async def work() -> None:
        answered = 0

        async def script(heard: Heard) -> bytes | None:
            nonlocal answered
            if "wait_ms=2" in heard.target:
                await asyncio.Event().wait()  # a watch: no news
            answered += 1
            listed = json.dumps({"version": 2, "full": True, "servers": []}).encode()
            heard.writer.write(_NO_LENGTH + listed)
            await heard.writer.drain()
            if end == "fin":
                heard.writer.close()
            else:
                _reset(heard.writer)
            return None

        discovery = await ScriptedServer(script).start()
        async with stage(OK, given={"discovery": discovery.address}) as scene:
            await until(lambda: scene.sidecar._discovery.has_tried.is_set())
            members = len(scene.sidecar._balancer._servers)
            if end == "fin":
                await until(lambda: scene.sidecar._has_fresh_list.is_set())
                assert scene.sidecar._balancer.members()[0] == 0
            else:
                await until(lambda: answered >= 3)
                assert not scene.sidecar._has_fresh_list.is_set()
                assert scene.sidecar._balancer.members()[0] == members == 1
                assert any("broke" in each for each in scene.log)
        discovery.stop()

    play(work)
