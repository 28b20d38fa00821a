"""Bytes that arrive in the very instant of a shutdown or close: what is owed is finished first."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import struct
from collections.abc import AsyncIterator, Coroutine, Iterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any, TypeVar

import pytest
from loopback import (
    ERROR_RESPONSE,
    HOST,
    OK_RESPONSE,
    SERVICE_CLASSES,
    ReceivedRequest,
    ScriptedServer,
    SidecarHarness,
    blocking_script,
    endpoint_entry,
    http_request,
    http_response,
    run_async,
    sidecar_harness,
    wait_until,
    within_timeout,
)
from running import sidecar_with_server
from slow_to_accept import FullAcceptQueueServer

from tulipnotch.sidecar.control import endpoint as control
from tulipnotch.sidecar.downstream import listener
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.connection import ConnectionState, DownstreamConnection
from tulipnotch.sidecar.sockets import own_socket
from tulipnotch.sidecar.upstream import connection as client_module
from tulipnotch.sidecar.upstream import pool as upstream

T = TypeVar("T")

# Far less than the client's side takes at once: most of it is still with the sidecar's system when it closes.
_LARGE = bytes(range(250)) * 200
_ANSWER = http_response(_LARGE)
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
                piece = await within_timeout(loop.sock_recv(self._plain, 1 << 16))
            except ConnectionError:
                return bytes(got), True
            if not piece:
                return bytes(got), False
            got += piece


@asynccontextmanager
async def _narrow(harness: SidecarHarness) -> AsyncIterator[_Narrow]:
    with socket.socket() as plain:
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        plain.setblocking(False)
        await asyncio.get_running_loop().sock_connect(plain, (HOST, harness.sidecar.downstream.port))
        yield _Narrow(plain)


def _states(harness: SidecarHarness) -> list[ConnectionState]:
    return [each.state for each in harness.sidecar.downstream.connections()]


@pytest.mark.parametrize("how", ["asked to close", "emptying", "stopping", "passed through"])
def test_last_response_is_complete_when_bytes_are_unread_behind_its_request(how: str) -> None:
    # Guards against the reset that a close over unread bytes sends: the rest of the answer goes with it.
    async def work() -> None:
        release = asyncio.Event()
        body = 2 * _LARGE if how == "passed through" else _LARGE  # that is more than is kept

        async def script(_heard: ReceivedRequest) -> bytes:
            await release.wait()
            return http_response(body)

        async with sidecar_harness(script, client_limits=_LIMITS) as harness, _narrow(harness) as client:
            last = "" if how in ("emptying", "stopping") else "close"
            client.send(http_request("lodge", timeout="15", Connection=last) + http_request("lodge"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            await wait_until(
                lambda: all(each.is_reading_paused for each in harness.sidecar.downstream.connections())
            )
            client.send(http_request("lodge"))  # it stays in the socket
            if how == "emptying":
                harness.sidecar.lifecycle.evacuate()
            elif how == "stopping":
                harness.sidecar.lifecycle.stop()
            release.set()
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            got, was_reset = await client.rest()
            assert got.endswith(b"\r\n\r\n" + body)
            assert not was_reset
            assert len(harness.received_requests) == 1

    run_async(work)


@pytest.mark.parametrize("part", ["whole", "first half"])
@pytest.mark.parametrize("why", ["idle for long", "drain", "evacuation"])
def test_request_that_comes_as_its_connection_closes_is_not_forwarded_and_loses_no_response(
    why: str, part: str
) -> None:
    # It crosses the close, so its client sends it again; nothing may come of this copy.
    async def work() -> None:
        limits = ClientLimits(linger_s=0.05, sweep_s=600.0, idle_timeout_s=0.0, leaving_s=0.0)
        async with sidecar_harness(_ANSWER, client_limits=limits) as harness, _narrow(harness) as client:
            frontend = harness.sidecar.downstream
            client.send(http_request("lodge"))
            await wait_until(lambda: _states(harness) == [ConnectionState.IDLE])
            await wait_until(lambda: all(each.can_close_safely for each in frontend.connections()))
            if why == "drain":
                frontend.close_idle()
            else:
                if why == "evacuation":
                    harness.sidecar.lifecycle.evacuate()
                frontend._timeouts.sweep()
            again = http_request("lodge")
            at = len(again) if part == "whole" else len(again) // 2
            client.send(again[:at])  # the event loop has not run since
            await asyncio.sleep(limits.linger_s)
            client.send(again[at:])
            await asyncio.sleep(limits.linger_s)
            frontend._timeouts.sweep()
            await wait_until(lambda: frontend.open_connections == 0)
            got, was_reset = await client.rest()
            assert got.endswith(b"\r\n\r\n" + _LARGE)
            assert not was_reset
            assert len(harness.received_requests) == 1
            other = await harness.connect()
            other.send(again)
            assert (await other.read_response()).status == 200
            assert len(harness.received_requests) == 2

    run_async(work)


def test_capacity_is_made_by_closing_an_idle_connection_and_none_with_an_unread_request() -> None:
    async def work() -> None:
        limits = ClientLimits(greeting_s=0.0, sweep_s=600.0)
        async with sidecar_harness(OK_RESPONSE, client_limits=limits) as harness:
            frontend = harness.sidecar.downstream
            silent = await harness.connect()
            await wait_until(lambda: _states(harness) == [ConnectionState.CONNECTED])
            resting = await harness.connect()
            assert (await resting.send_request("lodge")).status == 200
            await wait_until(lambda: sorted(each.value for each in _states(harness)) == ["connected", "idle"])
            silent.send(
                http_request("lodge")
            )  # it lies in the sidecar's socket, and the event loop has not run
            assert frontend.connection_table.evict()
            assert (await silent.read_response()).status == 200
            assert await within_timeout(resting.reader.read()) == b""

    run_async(work)


@pytest.mark.parametrize("sent", [0, 40], ids=["unread", "read in part"])
def test_capacity_is_not_made_by_closing_a_request_whose_last_byte_is_unread(sent: int) -> None:
    # It has been taken by then; whoever connects is turned away instead.
    async def work() -> None:
        limits = ClientLimits(greeting_s=0.0, sweep_s=600.0)
        async with sidecar_harness(OK_RESPONSE, client_limits=limits) as harness:
            client = await harness.connect()
            whole = http_request("lodge")
            client.send(whole[:sent])
            await wait_until(
                lambda: _states(harness) == [ConnectionState.READING if sent else ConnectionState.CONNECTED]
            )
            client.send(whole[sent:])  # it lies in the sidecar's socket, and the event loop has not run
            assert not harness.sidecar.downstream.connection_table.evict()
            assert (await client.read_response()).status == 200

    run_async(work)


def test_first_request_is_read_when_it_comes_as_its_time_is_up() -> None:
    async def work() -> None:
        limits = ClientLimits(header_timeout_s=0.0, sweep_s=600.0)
        async with sidecar_harness(OK_RESPONSE, client_limits=limits) as harness:
            client = await harness.connect()
            await wait_until(lambda: _states(harness) == [ConnectionState.CONNECTED])
            client.send(
                http_request("lodge")
            )  # it lies in the sidecar's socket, and the event loop has not run
            harness.sidecar.downstream._timeouts.sweep()
            assert (await client.read_response()).status == 200

    run_async(work)


def test_last_response_is_complete_when_its_client_reads_slowly() -> None:
    # The time to linger begins when all is written; until then it counts that the client goes on reading.
    async def work() -> None:
        size = 8 << 20

        async def script(_heard: ReceivedRequest) -> bytes:
            return http_response(bytes(size))

        async with sidecar_harness(script, client_limits=_LIMITS) as harness, _narrow(harness) as client:
            client.send(http_request("lodge", timeout="15", Connection="close"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            await asyncio.sleep(10 * _LIMITS.linger_s)
            frontend = harness.sidecar.downstream
            assert frontend.open_connections == 1
            frontend.max_connections = 1
            assert not frontend.connection_table.evict()  # it is owed the rest
            got, was_reset = await client.rest()
            assert got.endswith(b"\r\n\r\n" + bytes(size))
            assert not was_reset

    run_async(work)


def test_connection_is_closed_in_bounded_time_when_its_client_never_closes() -> None:
    async def work() -> None:
        release, hold = blocking_script()
        release.set()
        async with sidecar_harness(hold, client_limits=_LIMITS) as harness:
            for _ in range(5):
                client = await harness.connect()
                assert (await client.send_request("lodge", Connection="close")).status == 200
                assert await within_timeout(client.reader.read()) == b""
                client.send(http_request("lodge"))  # and it stays
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            assert len(harness.received_requests) == 5

    run_async(work)


@pytest.mark.alone
@pytest.mark.parametrize("waits_for", ["a dial", "a connection's rest"])
def test_retry_is_not_written_after_the_deduplication_window(
    waits_for: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The repeat is drawn within the window, which is shorter than the deadline, and its connection is late.
    monkeypatch.setattr(upstream, "_REUSE_DELAY_US", 0)
    window_s, late_s = 0.4, 1.0
    classes = [
        {**each, "giveUpUs": 4_000_000, "memorySpanUs": int(window_s * 1e6)} for each in SERVICE_CLASSES
    ]

    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        release = asyncio.Event()

        async def fails(heard: ReceivedRequest) -> bytes:
            if heard.method == "GET":
                return OK_RESPONSE
            await release.wait()
            return ERROR_RESPONSE

        bounds = {"dialTimeoutUs": 15_000_000, "mayCancel": False}
        loop = asyncio.get_running_loop()
        async with sidecar_harness(fails, fails, limit_overrides=bounds, lanes=classes) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            while not all(each.received_requests for each in harness.servers):
                assert (await harness.send_request("check")).status == 200
            before = len(harness.received_requests)
            client = await harness.connect()
            client.send(http_request("amend", timeout="4.0"))
            began = loop.time()
            await wait_until(lambda: len(harness.received_requests) == before + 1)
            if waits_for == "a dial":
                leaving = [
                    endpoint_entry(f"s-{n}", each.address, state="left")
                    for n, each in enumerate(harness.servers)
                ]
                harness.discovery.announce(*leaving, endpoint_entry("s-slow", slow.address))
                await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            monkeypatch.setattr(upstream, "_REUSE_DELAY_US", int(late_s * 1e6))
            release.set()
            pool = harness.sidecar._upstream
            await wait_until(
                lambda: pool._dials_in_flight == 1 if waits_for == "a dial" else len(pool._reuse_timers) == 1
            )
            assert loop.time() - began < window_s  # else this machine was too slow to show anything
            await asyncio.sleep(late_s)
            if waits_for == "a dial":
                accepted = await slow.accept_sidecar_connection()
                await wait_until(lambda: pool._dials_in_flight == 0)
                accepted.settimeout(0.2)
                with pytest.raises(TimeoutError):
                    accepted.recv(1_000)  # the connection itself is kept
                accepted.close()
            assert not pool._reuse_timers
            assert (await client.read_response()).status == 502
            assert len(harness.received_requests) == before + 1
            assert harness.sidecar.open_requests == 0
        slow.close()

    run_async(work)


def _reset(writer: asyncio.StreamWriter) -> None:
    """End the connection by a reset, at once."""
    plain = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    plain.close()
    writer.transport.abort()


_NO_LENGTH = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("end", ["fin", "reset", "reset in one go"])
def test_response_without_length_is_complete_after_an_end_and_broken_after_a_reset(end: str) -> None:
    async def work() -> None:
        def reader_has_part() -> bool:
            calls = [call for each in harness.sidecar._registry for call in each.upstream_requests]
            return any(
                each.connection is not None and each.connection._reader.is_mid_message for each in calls
            )

        async def script(heard: ReceivedRequest) -> None:
            heard.writer.write(_NO_LENGTH + b"served")
            if end == "fin":
                heard.writer.close()
                return
            if end == "reset":
                await wait_until(reader_has_part)
            _reset(heard.writer)

        async with sidecar_harness(script, script) as harness:
            answer = await harness.send_request("lodge")
            assert (answer.status, answer.body) == ((200, b"served") if end == "fin" else (502, b""))
            assert len(harness.received_requests) == 1  # it may have run

    run_async(work)


@pytest.mark.parametrize("end", ["fin", "reset", "stall"])
@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_client_can_tell_how_a_streamed_response_without_length_ended(
    version: bytes, end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # For HTTP/1.0 nothing but the connection's end frames it: an orderly one would say that it is whole.
    monkeypatch.setattr(client_module, "_STREAM_STALL_TIMEOUT_S", 0.2)

    async def work() -> None:
        go_on = asyncio.Event()

        async def script(heard: ReceivedRequest) -> None:
            heard.writer.write(_NO_LENGTH + _LARGE)
            await go_on.wait()
            if end == "fin":
                heard.writer.close()
            elif end == "reset":
                _reset(heard.writer)

        limits = ClientLimits(idle_timeout_s=0.1, sweep_s=0.01)
        async with sidecar_harness(script, client_limits=limits) as harness:
            client = await harness.connect()
            client.send(http_request("lodge").replace(b"HTTP/1.1", version, 1))
            got = await within_timeout(client.reader.readexactly(len(_LARGE)))  # most of it has passed
            go_on.set()
            if end == "fin":
                got += await within_timeout(client.reader.read())
                whole = got.partition(b"\r\n\r\n")[2]
                assert whole == _LARGE if version == b"HTTP/1.0" else whole.endswith(b"\r\n0\r\n\r\n")
            elif version == b"HTTP/1.0":
                with pytest.raises(ConnectionError):
                    await within_timeout(client.reader.read())
            else:
                with suppress(ConnectionError):
                    got += await within_timeout(client.reader.read())
                assert not got.endswith(b"\r\n0\r\n\r\n")
            await wait_until(lambda: harness.sidecar.open_requests == 0)

    run_async(work)


@pytest.mark.parametrize("end", ["fin", "reset"])
def test_endpoint_list_without_length_is_accepted_after_an_end_and_not_after_a_reset(end: str) -> None:
    async def work() -> None:
        answered = 0

        async def script(heard: ReceivedRequest) -> bytes | None:
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
        async with sidecar_harness(OK_RESPONSE, config_overrides={"discovery": discovery.address}) as harness:
            await wait_until(lambda: harness.sidecar._discovery.first_call_ended.is_set())
            members = len(harness.sidecar._balancer._context.endpoints)
            if end == "fin":
                await wait_until(lambda: harness.sidecar._endpoints.received.is_set())
                assert harness.sidecar._balancer.endpoint_counts()[0] == 0
            else:
                await wait_until(lambda: answered >= 3)
                assert not harness.sidecar._endpoints.received.is_set()
                assert harness.sidecar._balancer.endpoint_counts()[0] == members == 1
                assert any("broke" in each for each in harness.log)
        discovery.stop()

    run_async(work)


def _send_now(writer: asyncio.StreamWriter, raw: bytes) -> None:
    """Send at once; on loopback it lies in the other side's socket when this is done, if that is open."""
    with own_socket(writer.transport) as own:
        own.send(raw)


@pytest.fixture
def nothing_breaks() -> Iterator[None]:
    """Exceptions that the event loop would only log fail the test."""
    found: list[object] = []
    before = asyncio.Runner.run

    def note(_loop: asyncio.AbstractEventLoop, what: dict[str, Any]) -> None:
        if not isinstance(
            what.get("exception"), asyncio.CancelledError
        ):  # a scripted end's, as it is taken down
            found.append(what)

    def run(runner: asyncio.Runner, work: Coroutine[Any, Any, T], **how: Any) -> T:
        runner.get_loop().set_exception_handler(note)
        return before(runner, work, **how)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(asyncio.Runner, "run", run)
        yield
    assert found == []


_HALF_LINES = [b"H", b"HTT", b"HTTP/1.1 20", b"HTTP/1.1 200 OK\r\nContent-Le", b"x", b"\r", b"\r\n", b"\0"]


@pytest.mark.usefixtures("nothing_breaks")
@pytest.mark.parametrize("half", _HALF_LINES)
@pytest.mark.parametrize("when", ["in one piece", "at rest", "just before use"])
def test_half_a_line_behind_a_response_breaks_no_further_request(
    half: bytes, when: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # An unsafe request must not be lost to it: the connection goes, or what came means nothing.
    monkeypatch.setattr(upstream, "_REUSE_DELAY_US", 0)

    async def work() -> None:
        async def script(heard: ReceivedRequest) -> bytes:
            answer = http_response(heard.target.rpartition("/")[2].encode())
            return answer + half if when == "in one piece" else answer

        async with sidecar_harness(script) as harness:
            client = await harness.connect()
            for number in range(10, 20):
                assert (await client.send_request("lodge", target=f"/api/{number}")).body == b"%d" % number
                if when != "in one piece":
                    _send_now(harness.received_requests[-1].writer, half)
                if when == "just before use":
                    (server,) = harness.sidecar._upstream._endpoints.values()
                    assert (
                        harness.sidecar._upstream._pop_reusable(server) is None
                    )  # the event loop has not run
                if when != "in one piece":
                    await wait_until(
                        lambda seen=number - 9: len(harness.servers[0].closed_connections) == seen
                    )  # type: ignore[misc]

    run_async(work)


@pytest.mark.usefixtures("nothing_breaks")
@pytest.mark.parametrize("when", ["given up", "idle closed", "all closed"])
def test_half_a_line_that_comes_as_a_server_connection_closes_belongs_to_no_request(
    when: str,
) -> None:
    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold) as harness:
            client = await harness.connect()
            client.send(http_request("lodge", timeout="15"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            if when == "given up":
                ((call,),) = [each.upstream_requests for each in harness.sidecar._registry]
                harness.sidecar._upstream.cancel_request(call)
            else:
                release.set()
                assert (await client.read_response()).status == 200
                if when == "idle closed":
                    harness.sidecar._upstream.close_all_idle_connections()
                else:
                    harness.sidecar._upstream.close()
            _send_now(
                harness.received_requests[0].writer, b"HTTP/1.1 200 OK\r\nContent-Le"
            )  # the event loop has not run
            release.set()
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            if when == "given up":
                assert (await client.read_response()).status != 200
            assert (await client.send_request("lodge")).status == 200
            assert harness.servers[0].connection_count == 2

    run_async(work)


def test_sockets_delay_no_small_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    # What the system still holds back goes with a reset: each socket is set before its first byte.
    found: dict[str, set[int]] = {}

    def watched(kind: type[Any]) -> None:
        made = kind.connection_made

        def connection_made(self: object, transport: asyncio.BaseTransport) -> None:
            plain = transport.get_extra_info("socket")
            peer = "discovery" if plain.getpeername()[1] == discovery_port else kind.__name__
            found.setdefault(peer, set()).add(plain.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            made(self, transport)

        monkeypatch.setattr(kind, "connection_made", connection_made)

    for kind in (DownstreamConnection, client_module.UpstreamConnection, control._ControlConnection):
        watched(kind)
    discovery_port = 0

    async def work() -> None:
        nonlocal discovery_port
        async with sidecar_harness(OK_RESPONSE, started=False) as harness:
            discovery_port = int(harness.discovery.address.rpartition(":")[2])
            await harness.sidecar.start()
            assert (await harness.send_request()).status == 200
            inherited = listener.adopt_listener(str(listener.bind_and_listen((HOST, 0)).detach()))
            harness.sidecar.downstream.stop_listening()
            harness.sidecar.downstream.listen(inherited)
            assert (await harness.send_request()).status == 200
            door = control.ControlEndpoint(harness.sidecar.command_handlers())
            door.listen((HOST, 0))
            reader, writer = await asyncio.open_connection(HOST, door.port)
            writer.write(b"readyz\n")
            assert await within_timeout(reader.read()) == b"+OK ready\n"
            writer.close()
            door.close()

    run_async(work)
    assert found == {
        each: {1}
        for each in ("DownstreamConnection", "UpstreamConnection", "discovery", "_ControlConnection")
    }


async def _asked(accepted: socket.socket) -> bytes:
    """The target of the next request on a connection that a test has accepted."""
    raw = await within_timeout(asyncio.get_running_loop().sock_recv(accepted, 16_384))
    return raw.split(b" ")[1]


@pytest.mark.alone
def test_connection_that_is_established_late_is_used_retained_and_counted() -> None:
    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        async with sidecar_harness(limit_overrides={"dialTimeoutUs": 15_000_000}) as harness:
            pool = harness.sidecar._upstream
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            harness.discovery.announce(endpoint_entry("s", slow.address))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            # Its deadline holds while the dial is under way, and no server had it.
            hasty, patient = await harness.connect(), await harness.connect()
            began = asyncio.get_running_loop().time()
            hasty.send(http_request("lodge", timeout="0.3", target="/api/hasty"))
            assert (await hasty.read_response()).status in (503, 504)
            assert 0.2 < asyncio.get_running_loop().time() - began < 0.8
            assert (pool._dials_in_flight, len(pool._endpoint_of), harness.sidecar.open_requests) == (1, 0, 0)
            # What came up for nothing is kept, and the next request, which dials as well, loses nothing.
            patient.send(http_request("lodge", timeout="15", target="/api/patient"))
            await wait_until(lambda: pool._dials_in_flight == 2)
            accepted = [await slow.accept_sidecar_connection(), await slow.accept_sidecar_connection()]
            await wait_until(lambda: pool._dials_in_flight == 0)
            assert len(pool._endpoint_of) == 2
            asked = [asyncio.ensure_future(_asked(each)) for each in accepted]
            (used,), _ = await asyncio.wait(asked, return_when=asyncio.FIRST_COMPLETED)
            assert used.result() == b"/api/patient"
            accepted[asked.index(used)].send(OK_RESPONSE)
            assert (await patient.read_response()).status == 200
            # Either serves from here on, and none is opened beside them.
            patient.send(http_request("lodge", timeout="15", target="/api/next"))
            await wait_until(lambda: len(harness.sidecar._registry) == 1)
            (waiting,) = [each for each in asked if each is not used]
            again = asyncio.ensure_future(_asked(accepted[asked.index(used)]))
            (used,), _ = await asyncio.wait((waiting, again), return_when=asyncio.FIRST_COMPLETED)
            assert used.result() == b"/api/next"
            accepted[asked.index(waiting) if used is waiting else 1 - asked.index(waiting)].send(OK_RESPONSE)
            assert (await patient.read_response()).status == 200
            assert (pool._dials_in_flight, len(pool._endpoint_of), harness.sidecar.open_requests) == (0, 2, 0)
            harness.sidecar.close()
            for each in accepted:
                each.close()
        slow.close()

    run_async(work)


def test_dial_that_takes_too_long_costs_its_request_only_time() -> None:
    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        other = await ScriptedServer(OK_RESPONSE).start()
        async with sidecar_harness(limit_overrides={"dialTimeoutUs": 400_000}) as harness:
            pool = harness.sidecar._upstream
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            harness.discovery.announce(endpoint_entry("s-slow", slow.address))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            client = await harness.connect()
            client.send(http_request("lodge", timeout="4"))
            await wait_until(lambda: pool._dials_in_flight == 1)
            harness.discovery.announce(endpoint_entry("s-other", other.address))
            assert (await client.read_response()).status == 200
            assert len(other.received_requests) == 1
            assert (
                float(other.received_requests[0].headers["request-timeout"]) < 3.7
            )  # what was left of its time
            assert (pool._dials_in_flight, len(pool._endpoint_of), harness.sidecar.open_requests) == (0, 1, 0)
        slow.close()
        other.stop()

    run_async(work)


_FLOODS = {
    "requests": http_request("lodge", timeout="15") * 1_500,
    "nonsense": b"\0" * 300_000,
    "health": b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n" * 8_000,
    "heads": b"GET /api HTTP/1.1\r\nHost: x\r\n" + b"X-Pad: 0123456789abcdef\r\n" * 12_000,
    "a body's part": http_request("lodge", timeout="15", Content_Length="30000000") + bytes(300_000),
}


@pytest.mark.parametrize("what", _FLOODS)
def test_clients_that_send_much_and_disconnect_cost_others_nothing(what: str) -> None:
    # Each sends as much as its system takes, without a pause, and leaves; some reset, some close.
    async def work() -> None:
        loop = asyncio.get_running_loop()

        async def rush(number: int) -> None:
            with socket.socket() as plain:
                plain.setblocking(False)
                await loop.sock_connect(plain, (HOST, harness.sidecar.downstream.port))
                with suppress(OSError):
                    plain.send(_FLOODS[what])
                if number % 2:
                    plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE, client_limits=_LIMITS) as harness:
            steady = await harness.connect()
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            for _ in range(10):
                await asyncio.gather(*(rush(number) for number in range(30)))
                assert (await steady.send_request("lodge", timeout="2.0")).status == 200
            frontend = harness.sidecar.downstream
            await wait_until(lambda: frontend.open_connections == 1)
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert frontend.connection_table.buffered_bytes == 0
            assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before < 30_000  # KiB

    run_async(work)


@pytest.mark.parametrize("after_s", [0.0, 0.002, 0.01])
def test_request_that_comes_as_the_process_stops_is_responded_or_never_forwarded(
    after_s: float, tmp_path: Path
) -> None:
    # Clients rest on their connections, and all of them send around the moment in which these are let go.
    async def work() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            clients = [await running.connect() for _ in range(60)]
            for client in clients:
                assert (await client.send_request("lodge")).status == 200
            before = len(running.server.received_requests)
            running.process.send_signal(signal.SIGTERM)

            async def ask(number: int) -> int:
                await asyncio.sleep(after_s * number / len(clients))
                again = http_request("lodge", Request_Id=f"again-{number}")
                client = clients[number]
                try:
                    client.send(again)
                    answer = await client.read_response()
                except (ConnectionError, asyncio.IncompleteReadError):
                    # It crossed the close: once more, on a new connection, as the protocol has it.
                    client = await running.connect()
                    client.send(again)
                    answer = await client.read_response()
                client.close()
                return answer.status

            statuses = await asyncio.gather(*(ask(number) for number in range(len(clients))))
            assert set(statuses) <= {200, 503}  # a crowd at one server: some may be refused
            served = [f"again-{number}" for number, status in enumerate(statuses) if status == 200]
            heard = [each.headers["request-id"] for each in running.server.received_requests[before:]]
            assert served
            assert sorted(heard) == sorted(served)
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)
