"""The downstream server, which serves clients, over loopback sockets."""

from __future__ import annotations

import asyncio
import gc
import socket
import struct
import weakref
from pathlib import Path

import pytest
from loopback import (
    OK_RESPONSE,
    ReceivedRequest,
    blocking_script,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
    within_timeout,
)

from tulipnotch.load_balancing.admission import concurrency_limit
from tulipnotch.sidecar.downstream.client_limits import ClientLimits


@pytest.mark.parametrize(
    ("class_name", "body"), [("check", b""), ("amend", b'{"a":1}'), ("lodge", b"x" * 65_536)], ids=str
)
def test_request_is_forwarded_unchanged_and_its_response_returned(class_name: str, body: bytes) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            response = await harness.send_request(
                class_name, body=body, timeout="1.5", Request_Id="9b1f03aa5c7e2d41"
            )
            assert (response.status, response.body) == (200, b"served")
            (received,) = harness.received_requests
            assert received.method == ("GET" if class_name == "check" else "POST")
            assert received.target == "/api/7f3a?x=1"
            assert received.body == body
            assert received.headers["request-id"] == "9b1f03aa5c7e2d41"
            assert received.headers.get("idempotency-key") == ("5c0f" if class_name == "amend" else None)
            assert 0.0 < float(received.headers["request-timeout"]) <= 1.5

    run_async(work)


@pytest.mark.parametrize(
    "raw",
    [
        b"nonsense\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nbroken line\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        http_request(Request_Class=""),
        http_request(Request_Class="unheard-of"),
        http_request(Request_Id=""),
        http_request(Request_Id="two words"),
        http_request(Request_Id="a\r\nRequest-Id: b"),
        http_request(Request_Timeout=""),
        http_request(timeout="soon"),
        http_request(timeout="-1"),
        http_request(timeout="0"),
        http_request(timeout="nan"),
        http_request(timeout="1e999"),
        http_request(Work_Hint="much"),
        http_request("amend", Idempotency_Key=""),
        http_request("lodge", Idempotency_Key="5c0f"),
        http_request("lodge").replace(b"POST", b"PUT", 1),
        http_request("lodge").replace(b"POST", b"GET", 1),
        http_request(target="http://elsewhere/api"),
        http_request(Host="").replace(b"HTTP/1.1", b"HTTP/1.0"),
    ],
)
def test_request_is_rejected_with_400_when_malformed(raw: bytes) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            client = await harness.connect()
            client.send(raw)
            assert (await client.read_response()).status == 400
            assert harness.received_requests == []
            assert (await harness.send_request()).status == 200  # the sidecar still serves others

    run_async(work)


def test_responses_are_sent_in_order_when_requests_are_pipelined() -> None:
    async def work() -> None:
        async def echo(received: ReceivedRequest) -> bytes:
            return b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + received.target[-2:].encode()

        async with sidecar_harness(echo) as harness:
            client = await harness.connect()
            client.send(b"".join(http_request(target=f"/api/{number}") for number in range(10, 30)))
            assert [(await client.read_response()).body for _ in range(20)] == [
                b"%d" % n for n in range(10, 30)
            ]

    run_async(work)


def test_attempt_and_request_end_when_the_client_disconnects() -> None:
    async def work() -> None:
        async with sidecar_harness(None) as harness:
            client = await harness.connect()
            client.send(http_request("lodge"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            client.close()
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            await wait_until(lambda: harness.sidecar.open_requests == 0)

    run_async(work)


def test_request_is_rejected_at_once_when_max_open_requests_are_open() -> None:
    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold, limit_overrides={"maxOpen": 2}) as harness:
            first, second = await harness.connect(), await harness.connect()
            first.send(http_request("lodge"))
            second.send(http_request("lodge"))
            await wait_until(lambda: harness.sidecar.open_requests == 2)
            assert (await harness.send_request("lodge")).status == 503
            release.set()
            assert [(await first.read_response()).status, (await second.read_response()).status] == [200, 200]
            assert len(harness.received_requests) == 2

    run_async(work)


def test_longest_idle_connection_is_evicted_for_a_new_one() -> None:
    # With 64 descriptors the sidecar has few connections for clients: 8 at most.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, config_overrides={"limits": {"sockets": 64}}) as harness:
            clients = []
            for _ in range(20):
                client = await harness.connect()
                assert (await client.send_request()).status == 200
                clients.append(client)
            assert await clients[0].reader.read() == b""
            assert (await clients[-1].send_request()).status == 200
            await wait_until(lambda: harness.sidecar.downstream.open_connections <= 8)

    run_async(work)


def test_connection_header_does_not_remove_host_and_ids() -> None:
    # Without these headers the request could not be sent to a server, and its client would wait in vain
    # until the deadline.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            response = await harness.send_request(
                "amend", Connection="host, request-id, idempotency-key, tenant"
            )
            assert response.status == 200
            headers = harness.received_requests[0].headers
            assert headers["host"] == "origin.svc"
            assert headers["idempotency-key"] == "5c0f"
            assert "request-id" in headers
            assert "tenant" not in headers

    run_async(work)


@pytest.mark.parametrize(
    ("class_name", "body"),
    [("check", b""), ("lodge", b""), ("lodge", b"x" * 65_536), ("lodge", http_request())],
    ids=["no body", "empty body", "long body", "a request as the body"],
)
def test_request_with_an_upgrade_header_gets_one_response(class_name: str, body: bytes) -> None:
    # Guards against a 400 behind its response, which the next request takes for its own (review/8).
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            client = await harness.connect()
            upgrade = {
                "Connection": "Upgrade, HTTP2-Settings",
                "Upgrade": "h2c",
                "HTTP2_Settings": "AAEAAEAAAAIAAAAB",
            }
            assert (await client.send_request(class_name, body=body, **upgrade)).status == 200
            assert (await client.send_request(class_name, body=body)).status == 200
            first, second = harness.received_requests
            assert (first.body, second.body) == (body, body)
            assert not {"upgrade", "http2-settings"} & first.headers.keys()
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await client.reader.read(1)

    run_async(work)


def test_incomplete_request_is_evicted_for_a_new_connection() -> None:
    # Clients that never complete a body must not occupy descriptors that other clients need.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, config_overrides={"limits": {"sockets": 64}}) as harness:
            for _ in range(12):
                stalled = await harness.connect()
                stalled.send(http_request("lodge", body=b"x" * 10)[:-1])
            assert (await harness.send_request()).status == 200
            await wait_until(lambda: harness.sidecar.downstream.open_connections <= 8)

    run_async(work)


def test_close_idle_keeps_a_connection_with_an_unread_request() -> None:
    # At the end of a drain, no process listens any more for the retry of a request that is lost by a reset.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            client = await harness.connect()
            assert (await client.send_request()).status == 200
            client.send(http_request("lodge"))  # unread in the sidecar's socket: the event loop has not run
            harness.sidecar.downstream.close_idle()
            assert (await client.read_response()).status == 200

    run_async(work)


def test_health_check_is_responded_to_without_a_server() -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            client = await harness.connect()
            client.send(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await client.read_response()).status == 200
            assert (await client.send_request()).status == 200
            assert len(harness.received_requests) == 1

    run_async(work)


SMUGGLED_REQUEST = http_request("lodge", target="/api/hidden")


@pytest.mark.parametrize(
    "raw",
    [
        http_request("lodge", Content_Length="5", Transfer_Encoding="chunked")
        + b"0\r\n\r\n"
        + SMUGGLED_REQUEST,
        http_request("lodge", Content_Length="5, 5") + b"12345",
        http_request("lodge", Content_Length="5\r\nContent-Length: 5") + b"12345",
        http_request("lodge", Content_Length="5\r\nContent-Length: 6") + b"12345",
        http_request("lodge", Content_Length="+5") + b"12345",
        http_request("lodge", Content_Length="-5") + b"12345",
        http_request("lodge", Content_Length="9" * 30) + b"12345",
        http_request("lodge", Host="x\r\n folded"),
        http_request().replace(b"\r\n", b"\n"),
        http_request().replace(b"GET /api/7f3a?x=1", b"CONNECT origin.svc:80") + SMUGGLED_REQUEST,
        http_request(Request_Class="odd") + SMUGGLED_REQUEST,
        b"nonsense\r\n\r\n" + SMUGGLED_REQUEST,
    ],
)
def test_ambiguous_request_is_rejected_with_all_further_input(raw: bytes) -> None:
    # Prevents request smuggling: no server may receive a request that is hidden in the body of another.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            client = await harness.connect()
            client.send(raw)
            assert (await client.read_response()).status in (400, 413)
            assert await within_timeout(client.reader.read()) == b""
            assert harness.received_requests == []

    run_async(work)


SHORT_LIMITS = ClientLimits(
    header_timeout_s=0.15,
    stall_s=0.3,
    idle_timeout_s=0.15,
    linger_s=0.05,
    reading_s=0.3,
    sweep_s=0.01,
)


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"", None),
        (http_request()[:-2], 408),
        (http_request("lodge", body=b"half")[:-1], 408),
        (http_request("lodge", Content_Length="", Transfer_Encoding="chunked") + b"4\r\nhalf\r\n", 408),
        (http_request("lodge", body=b"x" * 70_000)[:-1], 408),
    ],
)
def test_connection_is_closed_when_no_complete_request_is_received_in_time(
    raw: bytes, status: int | None
) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, client_limits=SHORT_LIMITS) as harness:
            client = await harness.connect()
            client.send(raw)
            if status is not None:
                assert (await client.read_response()).status == status
            assert await within_timeout(client.reader.read()) == b""
            client.writer.write(b"more of it")  # the linger time ends although the client keeps sending
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            assert harness.received_requests == []

    run_async(work)


def test_idle_connection_times_out_and_one_awaiting_a_response_does_not() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(_: ReceivedRequest) -> bytes:
            if len(harness.received_requests) == 2:
                await release.wait()
            return OK_RESPONSE

        async with sidecar_harness(hold, client_limits=SHORT_LIMITS) as harness:
            idle, waiting = await harness.connect(), await harness.connect()
            assert (await idle.send_request("lodge")).status == 200
            waiting.send(http_request("lodge"))
            assert await within_timeout(idle.reader.read()) == b""
            await asyncio.sleep(2 * SHORT_LIMITS.stall_s)
            release.set()
            assert (await waiting.read_response()).status == 200

    run_async(work)


def test_max_connections_holds_when_many_clients_connect_and_send_nothing() -> None:
    # Clients with an open request keep their connections, and a further client with a request is served.
    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold, config_overrides={"limits": {"sockets": 64}}) as harness:
            waiting = await harness.connect()
            waiting.send(http_request("lodge"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            max_open = 0
            for _ in range(200):
                await harness.connect()
                max_open = max(max_open, harness.sidecar.downstream.open_connections)
            release.set()
            assert (await harness.send_request("lodge")).status == 200
            assert (await waiting.read_response()).status == 200
            assert max_open <= 8

    run_async(work)


def test_new_connection_is_closed_when_all_others_await_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Raises the concurrency limit; with the default, the balancer would reject some of the requests.
    monkeypatch.setattr(concurrency_limit, "INITIAL_LIMIT_PER_ENDPOINT", 1e9)

    async def work() -> None:
        async with sidecar_harness(None, config_overrides={"limits": {"sockets": 64}}) as harness:
            clients = [await harness.connect() for _ in range(8)]
            for client in clients:
                client.send(http_request("lodge", timeout="10"))
            await wait_until(lambda: harness.sidecar.open_requests == 8)
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await harness.send_request("lodge")
            assert harness.sidecar.open_requests == 8

    run_async(work)


def test_oldest_incomplete_request_is_rejected_when_buffered_bytes_exceed_the_limit() -> None:
    # Without the limit, many clients that each send most of a body would exhaust the memory.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, client_limits=ClientLimits(most_bytes=300_000)) as harness:
            clients = [await harness.connect() for _ in range(6)]
            for client in clients:
                client.send(http_request("lodge", body=b"x" * 65_000)[:-1])
            assert (await clients[0].read_response()).status == 503
            assert (await harness.send_request("lodge")).status == 200

    run_async(work)


def test_pipelined_requests_stay_in_the_socket_while_one_is_open() -> None:
    # While the first request is open, no more of the others is buffered than came with a single read.
    async def work() -> None:
        async with sidecar_harness(None) as harness:
            client = await harness.connect()
            client.send(http_request("lodge") * 1_000)
            await wait_until(lambda: len(harness.received_requests) == 1)
            await asyncio.sleep(0.05)
            (connection,) = harness.sidecar.downstream.connections()
            assert connection.buffered_bytes < 70_000

    run_async(work)


def test_request_is_rejected_with_409_when_its_id_is_in_use() -> None:
    async def work() -> None:
        release, hold = blocking_script()
        async with sidecar_harness(hold) as harness:
            first = await harness.connect()
            first.send(http_request("lodge", Request_Id="same"))
            await wait_until(lambda: len(harness.received_requests) == 1)
            assert (await harness.send_request("lodge", Request_Id="same")).status == 409
            release.set()
            assert (await first.read_response()).status == 200
            assert len(harness.received_requests) == 1
            assert (await harness.send_request("lodge", Request_Id="same")).status == 200

    run_async(work)


def test_buffers_are_freed_at_once_when_the_client_disconnects() -> None:
    # When hundreds of clients disconnect, their memory must not stay in use until a garbage collection.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            client = await harness.connect()
            client.send(http_request("lodge", body=b"x" * 60_000)[:-1])
            await wait_until(
                lambda: any(each.has_request_head for each in harness.sidecar.downstream.connections())
            )
            (connection,) = harness.sidecar.downstream.connections()
            reader = weakref.ref(connection._reader)
            gc.disable()
            try:
                client.close()
                await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
                del connection
                await wait_until(lambda: reader() is None)
            finally:
                gc.enable()

    run_async(work)


def test_request_timeout_is_bounded_by_the_deadline_of_its_class() -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            assert (await harness.send_request("amend", timeout="99999")).status == 200
            assert float(harness.received_requests[0].headers["request-timeout"]) <= 2.0

    run_async(work)


@pytest.mark.parametrize("sockets", [64, 1_024, 65_536])
def test_accept_queue_is_as_long_as_max_connections(sockets: int) -> None:
    # The SYN of a client that finds the queue full is dropped, and the client retries it after 1 s.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, config_overrides={"limits": {"sockets": sockets}}) as harness:
            server = harness.sidecar.downstream
            assert server._acceptor is not None
            info = server._acceptor._listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 104)
            backlog = struct.unpack_from("=I", info, 28)[0]  # tcpi_sacked, the backlog of a listening socket
            max_backlog = int(Path("/proc/sys/net/core/somaxconn").read_text())
            assert backlog == min(max(server.max_connections, 1_024), max_backlog)

    run_async(work)
