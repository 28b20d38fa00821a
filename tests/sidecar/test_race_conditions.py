"""Races between received bytes and a shutdown or close: every pending response is completed first."""

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

from tulipnotch.sidecar.control import endpoint as control_endpoint
from tulipnotch.sidecar.downstream import listener
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.downstream.connection import DownstreamConnection
from tulipnotch.sidecar.downstream.connection_state import ConnectionState
from tulipnotch.sidecar.sockets import borrow_socket
from tulipnotch.sidecar.upstream import connection as upstream_connection
from tulipnotch.sidecar.upstream import pool as upstream_pool

T = TypeVar("T")

# Far more than a client with a small receive buffer accepts at once: most of it is still in the send buffer
# of the sidecar's socket when the sidecar closes the connection.
_LARGE_BODY = bytes(range(250)) * 200
_LARGE_RESPONSE = http_response(_LARGE_BODY)
_LIMITS = ClientLimits(linger_s=0.05, sweep_s=0.01)


class _SlowReadingClient:
    """A client with a small receive buffer, which reads nothing before `read_until_end`."""

    def __init__(self, client_socket: socket.socket) -> None:
        self._socket = client_socket

    def send(self, raw: bytes) -> None:
        """Sends at once: on loopback, the bytes are in the sidecar's socket when this returns."""
        assert self._socket.send(raw) == len(raw)

    async def read_until_end(self) -> tuple[bytes, bool]:
        """Returns all bytes up to the end of the connection, and whether that was a reset."""
        received = bytearray()
        loop = asyncio.get_running_loop()
        while True:
            try:
                chunk = await within_timeout(loop.sock_recv(self._socket, 1 << 16))
            except ConnectionError:
                return bytes(received), True
            if not chunk:
                return bytes(received), False
            received += chunk


@asynccontextmanager
async def _connect_slow_reader(harness: SidecarHarness) -> AsyncIterator[_SlowReadingClient]:
    with socket.socket() as client_socket:
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        client_socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client_socket, (HOST, harness.sidecar.downstream.port))
        yield _SlowReadingClient(client_socket)


def _connection_states(harness: SidecarHarness) -> list[ConnectionState]:
    return [each.state for each in harness.sidecar.downstream.connections()]


@pytest.mark.parametrize("close_cause", ["client request", "evacuation", "stop", "client request, streamed"])
def test_last_response_is_complete_when_bytes_are_unread_behind_its_request(close_cause: str) -> None:
    # Guards against closing a socket that has unread bytes: the kernel then sends a reset, and the part of
    # the response that the client has not received yet is lost.
    async def work() -> None:
        release = asyncio.Event()
        # Twice the body is more than the sidecar buffers, so it is streamed.
        body = 2 * _LARGE_BODY if close_cause == "client request, streamed" else _LARGE_BODY

        async def script(_received: ReceivedRequest) -> bytes:
            await release.wait()
            return http_response(body)

        async with (
            sidecar_harness(script, client_limits=_LIMITS) as harness,
            _connect_slow_reader(harness) as client,
        ):
            connection_header = "" if close_cause in ("evacuation", "stop") else "close"
            client.send(
                http_request("lodge", timeout="15", Connection=connection_header) + http_request("lodge")
            )
            await wait_until(lambda: len(harness.received_requests) == 1)
            await wait_until(
                lambda: all(each.is_reading_paused for each in harness.sidecar.downstream.connections())
            )
            client.send(http_request("lodge"))  # stays unread in the socket
            if close_cause == "evacuation":
                harness.sidecar.lifecycle.evacuate()
            elif close_cause == "stop":
                harness.sidecar.lifecycle.stop()
            release.set()
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            received, was_reset = await client.read_until_end()
            assert received.endswith(b"\r\n\r\n" + body)
            assert not was_reset
            assert len(harness.received_requests) == 1

    run_async(work)


@pytest.mark.parametrize("sent_before_close", ["whole", "first half"])
@pytest.mark.parametrize("close_cause", ["idle timeout", "drain", "evacuation"])
def test_request_that_arrives_as_its_connection_closes_is_not_forwarded_and_loses_no_response(
    close_cause: str, sent_before_close: str
) -> None:
    # The client sends a request while the sidecar closes the connection, so it sends the request again on
    # another one; this copy must have no effect.
    async def work() -> None:
        limits = ClientLimits(linger_s=0.05, sweep_s=600.0, idle_timeout_s=0.0, leaving_s=0.0)
        async with (
            sidecar_harness(_LARGE_RESPONSE, client_limits=limits) as harness,
            _connect_slow_reader(harness) as client,
        ):
            downstream = harness.sidecar.downstream
            client.send(http_request("lodge"))
            await wait_until(lambda: _connection_states(harness) == [ConnectionState.IDLE])
            await wait_until(lambda: all(each.can_close_safely for each in downstream.connections()))
            if close_cause == "drain":
                downstream.close_idle()
            else:
                if close_cause == "evacuation":
                    harness.sidecar.lifecycle.evacuate()
                downstream._timeouts.sweep()
            second_request = http_request("lodge")
            split_at = len(second_request) if sent_before_close == "whole" else len(second_request) // 2
            client.send(second_request[:split_at])  # the event loop has not run since the close
            await asyncio.sleep(limits.linger_s)
            client.send(second_request[split_at:])
            await asyncio.sleep(limits.linger_s)
            downstream._timeouts.sweep()
            await wait_until(lambda: downstream.open_connections == 0)
            received, was_reset = await client.read_until_end()
            assert received.endswith(b"\r\n\r\n" + _LARGE_BODY)
            assert not was_reset
            assert len(harness.received_requests) == 1
            other_client = await harness.connect()
            other_client.send(second_request)
            assert (await other_client.read_response()).status == 200
            assert len(harness.received_requests) == 2

    run_async(work)


def test_eviction_closes_an_idle_connection_and_none_with_an_unread_request() -> None:
    async def work() -> None:
        limits = ClientLimits(greeting_s=0.0, sweep_s=600.0)
        async with sidecar_harness(OK_RESPONSE, client_limits=limits) as harness:
            downstream = harness.sidecar.downstream
            new_client = await harness.connect()
            await wait_until(lambda: _connection_states(harness) == [ConnectionState.CONNECTED])
            idle_client = await harness.connect()
            assert (await idle_client.send_request("lodge")).status == 200
            await wait_until(
                lambda: sorted(each.value for each in _connection_states(harness)) == ["connected", "idle"]
            )
            new_client.send(http_request("lodge"))  # unread in the sidecar's socket until the event loop runs
            assert downstream.connection_table.evict()
            assert (await new_client.read_response()).status == 200
            assert await within_timeout(idle_client.reader.read()) == b""

    run_async(work)


@pytest.mark.parametrize("read_bytes", [0, 40], ids=["unread", "partly read"])
def test_eviction_does_not_close_a_connection_when_the_last_byte_of_its_request_is_unread(
    read_bytes: int,
) -> None:
    # The kernel has accepted the request by then; a client that connects is rejected instead.
    async def work() -> None:
        limits = ClientLimits(greeting_s=0.0, sweep_s=600.0)
        async with sidecar_harness(OK_RESPONSE, client_limits=limits) as harness:
            client = await harness.connect()
            request = http_request("lodge")
            client.send(request[:read_bytes])
            await wait_until(
                lambda: (
                    _connection_states(harness)
                    == [ConnectionState.READING if read_bytes else ConnectionState.CONNECTED]
                )
            )
            client.send(request[read_bytes:])  # unread in the sidecar's socket until the event loop runs
            assert not harness.sidecar.downstream.connection_table.evict()
            assert (await client.read_response()).status == 200

    run_async(work)


def test_first_request_is_read_when_it_arrives_as_its_timeout_expires() -> None:
    async def work() -> None:
        limits = ClientLimits(header_timeout_s=0.0, sweep_s=600.0)
        async with sidecar_harness(OK_RESPONSE, client_limits=limits) as harness:
            client = await harness.connect()
            await wait_until(lambda: _connection_states(harness) == [ConnectionState.CONNECTED])
            client.send(http_request("lodge"))  # unread in the sidecar's socket until the event loop runs
            harness.sidecar.downstream._timeouts.sweep()
            assert (await client.read_response()).status == 200

    run_async(work)


def test_last_response_is_complete_when_its_client_reads_slowly() -> None:
    # The linger time begins when the whole response is written; until then the connection stays open as long
    # as the client keeps reading.
    async def work() -> None:
        body_bytes = 8 << 20

        async def script(_received: ReceivedRequest) -> bytes:
            return http_response(bytes(body_bytes))

        async with (
            sidecar_harness(script, client_limits=_LIMITS) as harness,
            _connect_slow_reader(harness) as client,
        ):
            client.send(http_request("lodge", timeout="15", Connection="close"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            await asyncio.sleep(10 * _LIMITS.linger_s)
            downstream = harness.sidecar.downstream
            assert downstream.open_connections == 1
            downstream.max_connections = 1
            assert not downstream.connection_table.evict()  # its response is not complete
            received, was_reset = await client.read_until_end()
            assert received.endswith(b"\r\n\r\n" + bytes(body_bytes))
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
                client.send(http_request("lodge"))  # the client keeps the connection open
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            assert len(harness.received_requests) == 5

    run_async(work)


@pytest.mark.alone
@pytest.mark.parametrize("waits_for", ["connect", "reuse delay"])
def test_retry_is_not_written_after_the_deduplication_window(
    waits_for: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The retry is decided within the window, which ends before the deadline, but its connection becomes
    # usable only after the window.
    monkeypatch.setattr(upstream_pool, "_REUSE_DELAY_US", 0)
    window_s, connection_delay_s = 0.4, 1.0
    classes = [
        {**each, "giveUpUs": 4_000_000, "memorySpanUs": int(window_s * 1e6)} for each in SERVICE_CLASSES
    ]

    async def work() -> None:
        slow = FullAcceptQueueServer()
        await slow.fill_accept_queue()
        release = asyncio.Event()

        async def fail_once_released(received: ReceivedRequest) -> bytes:
            if received.method == "GET":
                return OK_RESPONSE
            await release.wait()
            return ERROR_RESPONSE

        bounds = {"dialTimeoutUs": 15_000_000, "mayCancel": False}
        loop = asyncio.get_running_loop()
        async with sidecar_harness(
            fail_once_released, fail_once_released, limit_overrides=bounds, lanes=classes
        ) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            while not all(each.received_requests for each in harness.servers):
                assert (await harness.send_request("check")).status == 200
            earlier_requests = len(harness.received_requests)
            client = await harness.connect()
            client.send(http_request("amend", timeout="4.0"))
            sent_at = loop.time()
            await wait_until(lambda: len(harness.received_requests) == earlier_requests + 1)
            if waits_for == "connect":
                removed = [
                    endpoint_entry(f"s-{n}", each.address, state="left")
                    for n, each in enumerate(harness.servers)
                ]
                harness.discovery.announce(*removed, endpoint_entry("s-slow", slow.address))
                await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            monkeypatch.setattr(upstream_pool, "_REUSE_DELAY_US", int(connection_delay_s * 1e6))
            release.set()
            pool = harness.sidecar._upstream
            await wait_until(
                lambda: pool._dials_in_flight == 1 if waits_for == "connect" else len(pool._reuse_timers) == 1
            )
            assert loop.time() - sent_at < window_s  # otherwise the machine is too slow for this test
            await asyncio.sleep(connection_delay_s)
            if waits_for == "connect":
                accepted = await slow.accept_sidecar_connection()
                await wait_until(lambda: pool._dials_in_flight == 0)
                accepted.settimeout(0.2)
                with pytest.raises(TimeoutError):
                    accepted.recv(1_000)  # the connection stays open, but nothing was written to it
                accepted.close()
            assert not pool._reuse_timers
            assert (await client.read_response()).status == 502
            assert len(harness.received_requests) == earlier_requests + 1
            assert harness.sidecar.open_requests == 0
        slow.close()

    run_async(work)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Resets the connection at once."""
    duplicate = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
    duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    duplicate.close()
    writer.transport.abort()


_HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize("end", ["fin", "reset", "immediate reset"])
def test_response_without_length_is_complete_after_a_close_and_malformed_after_a_reset(end: str) -> None:
    async def work() -> None:
        def is_response_partly_read() -> bool:
            upstream_requests = [
                request for each in harness.sidecar._registry for request in each.upstream_requests
            ]
            return any(
                each.connection is not None and each.connection._reader.is_mid_message
                for each in upstream_requests
            )

        async def script(received: ReceivedRequest) -> None:
            received.writer.write(_HEAD_WITHOUT_LENGTH + b"served")
            if end == "fin":
                received.writer.close()
                return
            if end == "reset":
                await wait_until(is_response_partly_read)
            _reset(received.writer)

        async with sidecar_harness(script, script) as harness:
            response = await harness.send_request("lodge")
            assert (response.status, response.body) == ((200, b"served") if end == "fin" else (502, b""))
            assert len(harness.received_requests) == 1  # not retried, since it may have been executed

    run_async(work)


@pytest.mark.parametrize("end", ["fin", "reset", "stall"])
@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_client_can_distinguish_a_complete_from_a_truncated_response_without_length(
    version: bytes, end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # In HTTP/1.0 only the end of the connection delimits such a response: an orderly close would mean that it
    # is complete.
    monkeypatch.setattr(upstream_connection, "_STREAM_STALL_TIMEOUT_S", 0.2)

    async def work() -> None:
        end_response = asyncio.Event()

        async def script(received: ReceivedRequest) -> None:
            received.writer.write(_HEAD_WITHOUT_LENGTH + _LARGE_BODY)
            await end_response.wait()
            if end == "fin":
                received.writer.close()
            elif end == "reset":
                _reset(received.writer)

        limits = ClientLimits(idle_timeout_s=0.1, sweep_s=0.01)
        async with sidecar_harness(script, client_limits=limits) as harness:
            client = await harness.connect()
            client.send(http_request("lodge").replace(b"HTTP/1.1", version, 1))
            # Reads as many bytes as the body has.  The head is among them, so the end of the body remains.
            response = await within_timeout(client.reader.readexactly(len(_LARGE_BODY)))
            end_response.set()
            if end == "fin":
                response += await within_timeout(client.reader.read())
                body = response.partition(b"\r\n\r\n")[2]
                assert body == _LARGE_BODY if version == b"HTTP/1.0" else body.endswith(b"\r\n0\r\n\r\n")
            elif version == b"HTTP/1.0":
                with pytest.raises(ConnectionError):
                    await within_timeout(client.reader.read())
            else:
                with suppress(ConnectionError):
                    response += await within_timeout(client.reader.read())
                assert not response.endswith(b"\r\n0\r\n\r\n")
            await wait_until(lambda: harness.sidecar.open_requests == 0)

    run_async(work)


@pytest.mark.parametrize("end", ["fin", "reset"])
def test_endpoint_list_without_length_is_accepted_after_a_close_and_not_after_a_reset(end: str) -> None:
    async def work() -> None:
        response_count = 0

        async def script(received: ReceivedRequest) -> bytes | None:
            nonlocal response_count
            if "wait_ms=2" in received.target:
                await asyncio.Event().wait()  # a watch without an event
            response_count += 1
            endpoint_list = json.dumps({"version": 2, "full": True, "servers": []}).encode()
            received.writer.write(_HEAD_WITHOUT_LENGTH + endpoint_list)
            await received.writer.drain()
            if end == "fin":
                received.writer.close()
            else:
                _reset(received.writer)
            return None

        discovery = await ScriptedServer(script).start()
        async with sidecar_harness(OK_RESPONSE, config_overrides={"discovery": discovery.address}) as harness:
            await wait_until(lambda: response_count >= 1)
            endpoint_count = len(harness.sidecar._balancer._context.endpoints)
            if end == "fin":
                await wait_until(lambda: harness.sidecar._endpoint_updates.received.is_set())
                assert harness.sidecar._balancer.endpoint_counts()[0] == 0
            else:
                await wait_until(lambda: response_count >= 3)
                assert not harness.sidecar._endpoint_updates.received.is_set()
                assert harness.sidecar._balancer.endpoint_counts()[0] == endpoint_count == 1
                assert any(
                    "the connection was lost before the response was complete" in each for each in harness.log
                )
        discovery.stop()

    run_async(work)


def _send_now(writer: asyncio.StreamWriter, raw: bytes) -> None:
    """Sends at once: on loopback, the bytes are in the peer's socket when this returns, if that is open."""
    with borrow_socket(writer.transport) as borrowed:
        borrowed.send(raw)


@pytest.fixture
def no_uncaught_exceptions() -> Iterator[None]:
    """Fails the test for each exception that the event loop would only log."""
    uncaught: list[object] = []
    original_run = asyncio.Runner.run

    def record(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        # Closing a scripted server cancels its scripts.
        if not isinstance(context.get("exception"), asyncio.CancelledError):
            uncaught.append(context)

    def run(runner: asyncio.Runner, work: Coroutine[Any, Any, T], **options: Any) -> T:
        runner.get_loop().set_exception_handler(record)
        return original_run(runner, work, **options)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(asyncio.Runner, "run", run)
        yield
    assert uncaught == []


_PARTIAL_LINES = [b"H", b"HTT", b"HTTP/1.1 20", b"HTTP/1.1 200 OK\r\nContent-Le", b"x", b"\r", b"\r\n", b"\0"]


@pytest.mark.usefixtures("no_uncaught_exceptions")
@pytest.mark.parametrize("partial_line", _PARTIAL_LINES)
@pytest.mark.parametrize("sent_when", ["with the response", "connection idle", "just before reuse"])
def test_partial_line_after_a_response_fails_no_later_request(
    partial_line: bytes, sent_when: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against losing a non-idempotent request on a connection with unexpected bytes: either the
    # connection is closed, or the bytes are ignored.
    monkeypatch.setattr(upstream_pool, "_REUSE_DELAY_US", 0)

    async def work() -> None:
        async def script(received: ReceivedRequest) -> bytes:
            response = http_response(received.target.rpartition("/")[2].encode())
            return response + partial_line if sent_when == "with the response" else response

        async with sidecar_harness(script) as harness:
            client = await harness.connect()
            for number in range(10, 20):
                assert (await client.send_request("lodge", target=f"/api/{number}")).body == b"%d" % number
                if sent_when != "with the response":
                    _send_now(harness.received_requests[-1].writer, partial_line)
                if sent_when == "just before reuse":
                    (server,) = harness.sidecar._upstream._endpoints.values()
                    # The event loop has not run since the bytes were sent.
                    assert harness.sidecar._upstream._pop_reusable(server) is None
                if sent_when != "with the response":
                    await wait_until(
                        lambda closed=number - 9: (  # type: ignore[misc]
                            len(harness.servers[0].closed_connections) == closed
                        )
                    )

    run_async(work)


@pytest.mark.usefixtures("no_uncaught_exceptions")
@pytest.mark.parametrize("close_cause", ["request cancelled", "idle closed", "all closed"])
def test_partial_line_that_arrives_as_a_server_connection_closes_belongs_to_no_request(
    close_cause: str,
) -> None:
    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold) as harness:
            client = await harness.connect()
            client.send(http_request("lodge", timeout="15"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            if close_cause == "request cancelled":
                ((upstream_request,),) = [each.upstream_requests for each in harness.sidecar._registry]
                harness.sidecar._upstream.cancel_request(upstream_request)
            else:
                release.set()
                assert (await client.read_response()).status == 200
                if close_cause == "idle closed":
                    harness.sidecar._upstream.close_all_idle_connections()
                else:
                    harness.sidecar._upstream.close()
            # The event loop has not run since the close.
            _send_now(harness.received_requests[0].writer, b"HTTP/1.1 200 OK\r\nContent-Le")
            release.set()
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            if close_cause == "request cancelled":
                assert (await client.read_response()).status != 200
            assert (await client.send_request("lodge")).status == 200
            assert harness.servers[0].connection_count == 2

    run_async(work)


def test_all_connections_disable_the_delay_of_small_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    # Small writes that the kernel delays are lost if the connection is reset, so TCP_NODELAY has to be set on
    # each socket before its first byte.
    no_delay_values: dict[str, set[int]] = {}

    def record_no_delay(connection_class: type[Any]) -> None:
        original = connection_class.connection_made

        def connection_made(self: object, transport: asyncio.BaseTransport) -> None:
            sock = transport.get_extra_info("socket")
            name = "discovery" if sock.getpeername()[1] == discovery_port else connection_class.__name__
            no_delay_values.setdefault(name, set()).add(
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            )
            original(self, transport)

        monkeypatch.setattr(connection_class, "connection_made", connection_made)

    for connection_class in (
        DownstreamConnection,
        upstream_connection.UpstreamConnection,
        control_endpoint._ControlConnection,
    ):
        record_no_delay(connection_class)
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
            endpoint = control_endpoint.ControlEndpoint(harness.sidecar.command_handlers())
            endpoint.listen((HOST, 0))
            reader, writer = await asyncio.open_connection(HOST, endpoint.port)
            writer.write(b"readyz\n")
            assert await within_timeout(reader.read()) == b"+OK ready\n"
            writer.close()
            endpoint.close()

    run_async(work)
    assert no_delay_values == {
        each: {1}
        for each in ("DownstreamConnection", "UpstreamConnection", "discovery", "_ControlConnection")
    }


async def _read_target(accepted: socket.socket) -> bytes:
    """Returns the target of the next request on a connection that a test has accepted."""
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
            # A request fails at its deadline while a connection for it is being established; no server has
            # received the request.
            hasty_client, patient_client = await harness.connect(), await harness.connect()
            sent_at = asyncio.get_running_loop().time()
            hasty_client.send(http_request("lodge", timeout="0.3", target="/api/hasty"))
            assert (await hasty_client.read_response()).status in (503, 504)
            assert 0.2 < asyncio.get_running_loop().time() - sent_at < 0.8
            assert (pool._dials_in_flight, len(pool._endpoint_of), harness.sidecar.open_requests) == (1, 0, 0)
            # The connection that this request no longer needs is kept.  The next request also starts to
            # connect, and uses whichever connection is established first.
            patient_client.send(http_request("lodge", timeout="15", target="/api/patient"))
            await wait_until(lambda: pool._dials_in_flight == 2)
            accepted = [await slow.accept_sidecar_connection(), await slow.accept_sidecar_connection()]
            await wait_until(lambda: pool._dials_in_flight == 0)
            assert len(pool._endpoint_of) == 2
            reads = [asyncio.ensure_future(_read_target(each)) for each in accepted]
            (completed,), _ = await asyncio.wait(reads, return_when=asyncio.FIRST_COMPLETED)
            assert completed.result() == b"/api/patient"
            accepted[reads.index(completed)].send(OK_RESPONSE)
            assert (await patient_client.read_response()).status == 200
            # Either connection may serve later requests, and no other one is opened.
            patient_client.send(http_request("lodge", timeout="15", target="/api/next"))
            await wait_until(lambda: len(harness.sidecar._registry) == 1)
            (first_read,) = [each for each in reads if each is not completed]
            second_read = asyncio.ensure_future(_read_target(accepted[reads.index(completed)]))
            (completed,), _ = await asyncio.wait(
                (first_read, second_read), return_when=asyncio.FIRST_COMPLETED
            )
            assert completed.result() == b"/api/next"
            accepted[
                reads.index(first_read) if completed is first_read else 1 - reads.index(first_read)
            ].send(OK_RESPONSE)
            assert (await patient_client.read_response()).status == 200
            assert (pool._dials_in_flight, len(pool._endpoint_of), harness.sidecar.open_requests) == (0, 2, 0)
            harness.sidecar.close()
            for each in accepted:
                each.close()
        slow.close()

    run_async(work)


def test_request_is_served_by_another_server_when_a_connect_times_out() -> None:
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
            # The timeout that is sent on is the time that remains of the 4 s.
            assert float(other.received_requests[0].headers["request-timeout"]) < 3.7
            assert (pool._dials_in_flight, len(pool._endpoint_of), harness.sidecar.open_requests) == (0, 1, 0)
        slow.close()
        other.stop()

    run_async(work)


_FLOODS = {
    "requests": http_request("lodge", timeout="15") * 1_500,
    "invalid bytes": b"\0" * 300_000,
    "health checks": b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n" * 8_000,
    "long header section": b"GET /api HTTP/1.1\r\nHost: x\r\n" + b"X-Pad: 0123456789abcdef\r\n" * 12_000,
    "partial body": http_request("lodge", timeout="15", Content_Length="30000000") + bytes(300_000),
}


@pytest.mark.parametrize("flood", _FLOODS)
def test_other_clients_are_served_when_many_send_much_and_disconnect(flood: str) -> None:
    # Each client sends as much as its kernel accepts at once and disconnects, half of them with a reset.
    async def work() -> None:
        loop = asyncio.get_running_loop()

        async def send_and_disconnect(number: int) -> None:
            with socket.socket() as client_socket:
                client_socket.setblocking(False)
                await loop.sock_connect(client_socket, (HOST, harness.sidecar.downstream.port))
                with suppress(OSError):
                    client_socket.send(_FLOODS[flood])
                if number % 2:
                    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE, client_limits=_LIMITS) as harness:
            steady_client = await harness.connect()
            max_rss_before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            for _ in range(10):
                await asyncio.gather(*(send_and_disconnect(number) for number in range(30)))
                assert (await steady_client.send_request("lodge", timeout="2.0")).status == 200
            downstream = harness.sidecar.downstream
            await wait_until(lambda: downstream.open_connections == 1)
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert downstream.connection_table.buffered_bytes == 0
            assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - max_rss_before < 30_000  # KiB

    run_async(work)


@pytest.mark.parametrize("spread_s", [0.0, 0.002, 0.01])
def test_request_that_arrives_as_the_process_stops_is_responded_or_never_forwarded(
    spread_s: float, tmp_path: Path
) -> None:
    # All clients have idle connections, and send a request at about the time when the sidecar closes these.
    async def work() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            clients = [await running.connect() for _ in range(60)]
            for client in clients:
                assert (await client.send_request("lodge")).status == 200
            earlier_requests = len(running.server.received_requests)
            running.process.send_signal(signal.SIGTERM)

            async def send_late_request(number: int) -> int:
                await asyncio.sleep(spread_s * number / len(clients))
                request = http_request("lodge", Request_Id=f"late-{number}")
                client = clients[number]
                try:
                    client.send(request)
                    response = await client.read_response()
                except (ConnectionError, asyncio.IncompleteReadError):
                    # The connection was closed meanwhile; the protocol lets a client retry on a new one.
                    client = await running.connect()
                    client.send(request)
                    response = await client.read_response()
                client.close()
                return response.status

            statuses = await asyncio.gather(*(send_late_request(number) for number in range(len(clients))))
            assert set(statuses) <= {200, 503}  # one server for all: some requests may be rejected
            served = [f"late-{number}" for number, status in enumerate(statuses) if status == 200]
            received = [
                each.headers["request-id"] for each in running.server.received_requests[earlier_requests:]
            ]
            assert served
            assert sorted(received) == sorted(served)
            assert await within_timeout(running.process.wait()) == 0

    run_async(work)
