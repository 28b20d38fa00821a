"""Bodies that pass through in pieces, both ways, with slow, rude and vanishing peers."""

from __future__ import annotations

import asyncio
import hashlib
import resource

import pytest
from helpers import MS, BalancerDriver, endpoint_names
from helpers import S as SECOND
from large_bodies import BodyDigestServer, chunk_encoded, pseudorandom_bytes
from loopback import (
    OK_RESPONSE,
    Client,
    ReceivedRequest,
    http_request,
    read_head,
    run_async,
    sidecar_harness,
    wait_until,
    within_timeout,
)

from tulipnotch.load_balancing.actions import FailRequest, RejectRequest
from tulipnotch.load_balancing.events import AttemptEnded, RequestArrived, RequestBodyCompleted
from tulipnotch.load_balancing.outcomes import Outcome
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.http1.body import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, Body
from tulipnotch.sidecar.sidecar import Sidecar

HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("form", ["length", "chunked"])
@pytest.mark.parametrize(
    "size", [MAX_BUFFERED_BODY_BYTES - 1, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_BODY_BYTES + 1, 3_000_000]
)
def test_large_request_body_reaches_its_server_unchanged(form: str, size: int) -> None:
    async def work() -> None:
        server = BodyDigestServer()
        async with sidecar_harness(server) as harness:
            body = pseudorandom_bytes(size)
            client = await harness.connect()
            if form == "length":
                client.send(http_request("lodge", body=body))
            else:
                head = http_request("lodge", Content_Length="", Transfer_Encoding="chunked")
                client.send(head + chunk_encoded(body, 70_001, b"X-Trailer: 1\r\n"))
            assert (await client.read_response()).status == 200
            assert server.digests == [hashlib.sha1(body).digest()]
            assert (await client.send_request("lodge", body=b"next")).status == 200  # the connection goes on
            assert figure(harness.sidecar, "app.upstream_requests") == 2

    run_async(work)


def figure(sidecar: Sidecar, name: str) -> int:
    (found,) = [each for each in sidecar.command_handlers()["telemetry"]() if each.startswith(f"{name}=")]
    return int(found.partition("=")[2])


def test_client_is_held_back_and_memory_bounded_when_a_server_reads_nothing() -> None:
    async def work() -> None:
        server = BodyDigestServer()
        async with sidecar_harness(server) as harness:
            server.reading_allowed.clear()
            size = MAX_BODY_BYTES
            client = await harness.connect()
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            piece = bytes(1 << 20)
            client.send(http_request("lodge", Content_Length=str(size)))
            sent = 0

            async def send() -> None:
                nonlocal sent
                while sent < size:
                    client.send(piece)
                    sent += len(piece)
                    await client.writer.drain()

            sending = asyncio.ensure_future(send())
            await wait_until(lambda: server.received_bytes > 0)
            await asyncio.sleep(0.3)
            assert not sending.done()
            (held,) = harness.sidecar._registry
            assert held.incoming.body.pending_bytes <= 200_000
            assert figure(harness.sidecar, "app.upstream_requests") == 0  # its last byte is not written
            assert figure(harness.sidecar, "app.pending") == 0  # nor taken
            server.reading_allowed.set()
            assert (await client.read_response()).status == 200
            await sending
            assert server.received_bytes == size
            assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before < 20_000  # KiB

    run_async(work)


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
@pytest.mark.parametrize("size", [100, MAX_BUFFERED_BODY_BYTES + 1, 3_000_000])
def test_large_response_reaches_its_client_unchanged(form: str, size: int) -> None:
    async def work() -> None:
        body = pseudorandom_bytes(size)

        async def script(heard: ReceivedRequest) -> bytes | None:
            if form == "length":
                return HEAD + b"Content-Length: %d\r\n\r\n" % size + body
            if form == "chunked":
                trailer = b"X-Trailer: 1\r\n"
                return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk_encoded(body, 70_001, trailer)
            heard.writer.write(HEAD + b"Connection: close\r\n\r\n" + body)
            heard.writer.close()
            return None

        async with sidecar_harness(script) as harness:
            client = await harness.connect()
            for _ in range(2):  # the client's connection goes on
                client.send(http_request())
                assert await whole(client) == (200, body)
            assert figure(harness.sidecar, "app.downstream_requests.check.completed") == 2
            assert figure(harness.sidecar, "app.pending") == 0

    run_async(work)


async def whole(client: Client) -> tuple[int, bytes]:
    """An answer in either framing."""
    first, headers = await within_timeout(read_head(client.reader))
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") != "chunked":
        return status, await within_timeout(client.reader.readexactly(int(headers["content-length"])))
    body = b""
    while size := int(await within_timeout(client.reader.readline()), 16):
        body += await within_timeout(client.reader.readexactly(size))
        await client.reader.readexactly(2)
    await client.reader.readexactly(2)
    return status, body


def test_server_is_held_back_and_the_client_served_when_it_reads_slowly() -> None:
    async def work() -> None:
        written = 0

        async def script(heard: ReceivedRequest) -> None:
            nonlocal written
            heard.writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES)
            for _ in range(MAX_BODY_BYTES >> 20):
                heard.writer.write(bytes(1 << 20))
                await heard.writer.drain()
                written += 1 << 20

        async with sidecar_harness(script) as harness:
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            client = await harness.connect()
            client.send(http_request(timeout="0.5"))
            await wait_until(lambda: written > 0)
            await asyncio.sleep(1.0)  # its time is up; an answer under way is not cut off for that
            assert written < MAX_BODY_BYTES
            got = await within_timeout(client.reader.readuntil(b"\r\n\r\n"))
            left = MAX_BODY_BYTES
            while left:
                got = await within_timeout(client.reader.read(1 << 20))
                assert got
                left -= len(got)
            assert resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before < 20_000  # KiB

    run_async(work)


@pytest.mark.parametrize("form", ["length", "chunked"])
def test_streamed_response_is_aborted_visibly_when_it_breaks_off(
    form: str,
) -> None:
    async def work() -> None:
        async def script(heard: ReceivedRequest) -> None:
            framing = b"Content-Length: 900000" if form == "length" else b"Transfer-Encoding: chunked"
            body = bytes(300_000)
            heard.writer.write(HEAD + framing + b"\r\n\r\n")
            heard.writer.write(body if form == "length" else b"%x\r\n%s\r\nnonsense\r\n" % (len(body), body))
            await heard.writer.drain()
            if form == "length":
                heard.writer.close()

        async with sidecar_harness(script, script) as harness:
            client = await harness.connect()
            client.send(http_request())
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                await whole(client)
            assert len(harness.received_requests) == 1  # what has begun to pass on is not asked for again
            await wait_until(lambda: figure(harness.sidecar, "app.downstream_requests.check.failed") == 1)
            assert harness.sidecar.open_requests == 0

    run_async(work)


def test_server_is_freed_when_the_client_disconnects_during_a_streamed_response() -> None:
    async def work() -> None:
        async def script(heard: ReceivedRequest) -> None:
            heard.writer.write(HEAD + b"Content-Length: 30000000\r\n\r\n" + bytes(200_000))

        async with sidecar_harness(script) as harness:
            client = await harness.connect()
            client.send(http_request())
            await within_timeout(client.reader.readexactly(100_000))
            client.writer.transport.abort()
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert harness.sidecar.downstream.open_connections == 0

    run_async(work)


@pytest.mark.parametrize(("size", "status"), [(MAX_BUFFERED_BODY_BYTES, 200), (20_000_000, 503)])
def test_request_is_retried_only_while_its_whole_body_is_retained(size: int, status: int) -> None:
    async def work() -> None:
        servers = [BodyDigestServer(), BodyDigestServer()]
        servers[0].pending_aborts = servers[1].pending_aborts = ["whichever is met first"]
        async with sidecar_harness(*servers) as harness:
            assert (await harness.send_request("amend", body=bytes(size))).status == status
            assert servers[0].pending_aborts == []
            # The large one never ran, so trying again is harmless, but the sidecar can't.
            assert sum(len(each.received_headers) for each in servers) == (2 if status == 200 else 1)
            assert figure(harness.sidecar, "app.upstream_requests") == (2 if status == 200 else 0)

    run_async(work)


@pytest.mark.parametrize("form", ["length", "chunked"])
def test_request_is_rejected_with_413_when_its_body_exceeds_32_mib(form: str) -> None:
    # Guards against a reset that takes the answer with it, when the client is still sending.
    async def work() -> None:
        server = BodyDigestServer()
        async with sidecar_harness(server) as harness:
            client = await harness.connect()
            body = bytes(MAX_BODY_BYTES + 1)
            if form == "length":
                client.send(http_request("lodge", body=body))
            else:
                client.send(http_request("lodge", Content_Length="", Transfer_Encoding="chunked"))
                client.send(chunk_encoded(body, 1 << 20))
            assert (await client.read_response()).status == 413
            assert server.digests == []  # no server had the whole of it
            await wait_until(lambda: harness.sidecar.open_requests == 0)

    run_async(work)


SHORT = ClientLimits(stall_s=0.3, trickle_s=0.5, least_in_trickle=1_000, sweep_s=0.01)


@pytest.mark.parametrize("how", ["stalls", "trickles", "leaves", "nonsense"])
def test_request_is_never_executed_when_its_body_stops_half_way(how: str) -> None:
    async def work() -> None:
        server = BodyDigestServer()
        async with sidecar_harness(server, client_limits=SHORT) as harness:
            client = await harness.connect()
            if how == "nonsense":
                head = http_request("lodge", Content_Length="", Transfer_Encoding="chunked")
                client.send(head + b"%x\r\n%s\r\n" % (200_000, bytes(200_000)))
            else:
                client.send(http_request("lodge", Content_Length="1000000") + bytes(200_000))
            await wait_until(lambda: server.received_bytes > 100_000)
            if how == "leaves":
                client.writer.transport.abort()
            elif how == "nonsense":
                client.send(b"no chunk\r\n")
                assert (await client.read_response()).status == 400
            else:
                if how == "trickles":
                    trickle = asyncio.ensure_future(trickled(client))
                assert (await client.read_response()).status == 408
                if how == "trickles":
                    trickle.cancel()
            await wait_until(lambda: harness.sidecar.open_requests == 0)
            assert server.digests == []
            await wait_until(lambda: harness.sidecar.downstream.open_connections == 0)
            assert (await harness.send_request("lodge")).status == 200

    run_async(work)


async def trickled(client: Client) -> None:
    while True:
        client.send(b"x")
        await asyncio.sleep(0.02)


def test_slow_body_may_take_longer_than_the_time_of_its_request() -> None:
    # Its time begins with its last byte; progress is all that is asked of it before.
    async def work() -> None:
        server = BodyDigestServer()
        async with sidecar_harness(server) as harness:
            client = await harness.connect()
            client.send(http_request("lodge", timeout="0.4", Content_Length="400000"))
            for _ in range(8):
                client.send(bytes(50_000))
                await asyncio.sleep(0.1)
            assert (await client.read_response()).status == 200
            assert float(server.received_headers[0]["request-timeout"]) <= 0.4

    run_async(work)


def test_rejection_is_written_while_the_body_is_incomplete() -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, limit_overrides={"maxOpen": 0}) as harness:
            client = await harness.connect()
            client.send(http_request("lodge", Content_Length="1000000") + bytes(200_000))
            assert (await client.read_response()).status == 503
            assert await within_timeout(client.reader.read()) == b""
            assert harness.received_requests == []

    run_async(work)


def test_expect_continue_is_responded_before_a_large_body() -> None:
    async def work() -> None:
        server = BodyDigestServer()
        async with sidecar_harness(server) as harness:
            client = await harness.connect()
            client.send(http_request("lodge", Content_Length="300000", Expect="100-continue"))
            assert (
                await within_timeout(client.reader.readuntil(b"\r\n\r\n")) == b"HTTP/1.1 100 Continue\r\n\r\n"
            )
            client.send(bytes(300_000))
            assert (await client.read_response()).status == 200
            assert "expect" not in server.received_headers[0]

    run_async(work)


@pytest.mark.parametrize("length", [6, 5_000_000])
def test_head_response_has_the_length_and_no_body(length: int) -> None:
    async def work() -> None:
        async def script(heard: ReceivedRequest) -> bytes:
            assert heard.method == "HEAD"
            return HEAD + b"Content-Length: %d\r\n\r\n" % length

        async with sidecar_harness(script) as harness:
            client = await harness.connect()
            for _ in range(2):
                client.send(http_request().replace(b"GET", b"HEAD", 1))
                first, headers = await within_timeout(read_head(client.reader))
                assert (first, headers["content-length"]) == ("HTTP/1.1 200 OK", str(length))

    run_async(work)


def test_http_1_0_client_gets_a_response_of_unknown_length_ended_by_its_connection() -> None:
    async def work() -> None:
        body = pseudorandom_bytes(200_000)

        async def script(_heard: ReceivedRequest) -> bytes:
            return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk_encoded(body, 10_000)

        async with sidecar_harness(script) as harness:
            client = await harness.connect()
            client.send(http_request().replace(b"HTTP/1.1", b"HTTP/1.0", 1))
            _, headers = await within_timeout(read_head(client.reader))
            assert "transfer-encoding" not in headers
            assert headers["connection"] == "close"
            assert await within_timeout(client.reader.read()) == body

    run_async(work)


def test_header_values_are_read_without_the_white_space_around_them() -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            raw = http_request("lodge", body=b"x").replace(b"\r\nRequest-", b" \t\r\nRequest-")
            assert raw.count(b" \t\r\n") >= 3
            client = await harness.connect()
            client.send(raw)
            assert (await client.read_response()).status == 200

    run_async(work)


def test_request_is_read_the_same_when_split_at_any_point() -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            client = await harness.connect()
            for raw in (http_request(), http_request("lodge", body=b"abc")):
                for at in range(len(raw)):
                    client.send(raw[at : at + 1])
                    await asyncio.sleep(0)
                assert (await client.read_response()).status == 200

    run_async(work)


# The decisions


def test_time_of_a_streamed_request_begins_with_its_last_byte() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(3))
    driver.handle(RequestArrived(1, "pay", None, None, 500 * MS, body_incomplete=True))
    assert len(driver.started_attempts(1)) == 1
    driver.advance(30 * SECOND)
    assert driver.actions_of_type(FailRequest) == []
    assert driver.actions_of_type(RejectRequest) == []
    assert driver.balancer._components.load.current() == 0  # what still comes is no work for a server
    driver.handle(RequestBodyCompleted(1, 500 * MS))
    assert driver.balancer._components.load.current() == 1
    driver.advance(499 * MS)
    assert [each.request for each in driver.actions_of_type(FailRequest)] == [1]


def test_request_fails_at_once_when_it_cannot_be_written_again() -> None:
    driver = BalancerDriver()
    driver.update_endpoints(endpoint_names(3))
    driver.handle(RequestArrived(1, "look", None, None, 500 * MS, body_incomplete=True))
    (_, send) = driver.started_attempts(1)[0]
    driver.handle(
        AttemptEnded(1, 0, send.endpoint, Outcome.CONNECT_FAILED, 0, is_responded=False, is_retryable=False)
    )
    assert len(driver.started_attempts(1)) == 1
    assert [each.request for each in driver.actions_of_type(RejectRequest)] == [1]
    assert driver.balancer._components.load.current() == 0


def test_body_retains_its_first_part_and_gives_the_rest_once() -> None:
    body = Body(is_complete=False)
    body.feed(bytes(MAX_BUFFERED_BODY_BYTES - 10))
    body.feed(b"x" * 20)
    body.feed(b"y" * 5)
    assert (len(body.buffered), body.pending_bytes, body.is_replayable) == (
        MAX_BUFFERED_BODY_BYTES - 10,
        25,
        True,
    )
    assert body.pop_pending() == b"x" * 20 + b"y" * 5
    assert (body.pop_pending(), body.is_replayable, body.size) == (b"", False, MAX_BUFFERED_BODY_BYTES + 15)
