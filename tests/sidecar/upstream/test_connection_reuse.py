"""Which connections to servers are reused and which are closed, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from loopback import (
    OK_RESPONSE,
    ReceivedRequest,
    SidecarHarness,
    endpoint_entry,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
)

from tulipnotch.sidecar.upstream import pool as pool_module


def open_requests(harness: SidecarHarness) -> int:
    return harness.sidecar.open_requests


_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("is_late", [False, True])
def test_connection_is_not_reused_after_excess_data(is_late: bool) -> None:
    # A duplicate of this response must not be returned for the next request.
    async def work() -> None:
        async def respond_twice(incoming: ReceivedRequest) -> bytes:
            body = incoming.target.rpartition("/")[2].encode()
            response = _STATUS_LINE + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            if is_late:
                incoming.writer.write(response)
                await incoming.writer.drain()
                await asyncio.sleep(0.02)
                return response
            return response + response

        async with sidecar_harness(respond_twice) as harness:
            client = await harness.connect()
            for number in range(10, 15):
                assert (await client.send_request("lodge", target=f"/api/{number}")).body == b"%d" % number
                await wait_until(lambda count=number - 9: len(harness.servers[0].closed_connections) == count)  # type: ignore[misc]
            assert harness.servers[0].connection_count == 5

    run_async(work)


def test_pool_discards_duplicate_response_within_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    # A response does not identify its request, so a duplicate must not be attributed to the next request.
    monkeypatch.setattr(pool_module, "_REUSE_DELAY_US", 2_000_000)

    async def work() -> None:
        send_duplicate = asyncio.Event()

        async def echo(incoming: ReceivedRequest) -> bytes:
            if len(harness.received_requests) > 1:
                await send_duplicate.wait()
            body = incoming.target.rpartition("/")[2].encode()
            return _STATUS_LINE + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)

        async with sidecar_harness(echo) as harness:
            client = await harness.connect()
            assert (await client.send_request("lodge", target="/api/10")).body == b"10"
            client.send(http_request("lodge", timeout="15", target="/api/11"))
            await wait_until(lambda: open_requests(harness) == 1)
            harness.received_requests[0].writer.write(_STATUS_LINE + b"Content-Length: 2\r\n\r\n10")
            await harness.received_requests[0].writer.drain()
            send_duplicate.set()
            assert (await client.read_response()).body == b"11"
            assert harness.servers[0].connection_count == 2

    run_async(work)


@pytest.mark.parametrize("cause", ["drains", "client disconnected", "served"])
def test_pool_checks_request_again_after_reuse_delay(cause: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_module, "_REUSE_DELAY_US", 2_000_000)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, limit_overrides={"mayCancel": False}) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            client = await harness.connect()
            assert (await client.send_request("lodge")).status == 200
            client.send(http_request("lodge", timeout="15"))
            await wait_until(lambda: len(harness.sidecar._upstream._reuse_timers) == 1)
            if cause == "drains":
                harness.discovery.announce(endpoint_entry("s-0", harness.servers[0].address, state="leaving"))
                await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
                assert (await client.read_response()).status == 503
            elif cause == "client disconnected":
                client.close()
                await wait_until(lambda: open_requests(harness) == 0)
            else:
                assert (await client.read_response()).status == 200
            await wait_until(lambda: not harness.sidecar._upstream._reuse_timers)
            assert len(harness.received_requests) == (2 if cause == "served" else 1)
            assert harness.servers[0].connection_count == 1

    run_async(work)


def test_pool_reuses_open_connection_but_not_closed_one(monkeypatch: pytest.MonkeyPatch) -> None:
    # A request that is written to a connection whose end is still unread would count as possibly executed.
    monkeypatch.setattr(pool_module, "_REUSE_DELAY_US", 0)

    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE) as harness:
            client = await harness.connect()
            for _ in range(3):
                assert (await client.send_request("lodge")).status == 200
            assert harness.servers[0].connection_count == 1
            for _ in range(20):
                harness.servers[0].close_connections()
                assert (await client.send_request("lodge")).status == 200

    run_async(work)


def test_pool_does_not_reuse_connection_near_idle_timeout() -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, limit_overrides={"idleCloseUs": 50_000}) as harness:
            client = await harness.connect()
            assert (await client.send_request("lodge")).status == 200
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert (await client.send_request("lodge")).status == 200
            assert harness.servers[0].connection_count == 2

    run_async(work)


@pytest.mark.parametrize("changed_field", ["addr", "started_ms"])
def test_pool_closes_connections_when_server_restarts_or_moves(changed_field: str) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, OK_RESPONSE, servers_listed=False) as harness:
            first, second = (each.address for each in harness.servers)
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            harness.discovery.announce(endpoint_entry("s", first))
            await wait_until(lambda: len(harness.discovery.received_requests) >= 3)
            assert (await harness.send_request()).status == 200
            if changed_field == "addr":
                harness.discovery.announce(endpoint_entry("s", second))
            else:
                harness.discovery.announce(endpoint_entry("s", first, started_ms=1))
            await wait_until(lambda: harness.servers[0].closed_connections == [0])
            assert (await harness.send_request()).status == 200
            assert len(harness.servers[1].received_requests) == (1 if changed_field == "addr" else 0)

    run_async(work)


def test_pool_closes_idle_connections_when_server_drains() -> None:
    # A draining server gets no new requests, and idle connections would use its limited capacity.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, limit_overrides={"idleCloseUs": 600_000_000}) as harness:
            await wait_until(lambda: len(harness.discovery.received_requests) >= 2)
            assert (await harness.send_request()).status == 200
            harness.discovery.announce(endpoint_entry("s-0", harness.servers[0].address, state="leaving"))
            await wait_until(lambda: harness.servers[0].closed_connections == [0])

    run_async(work)
