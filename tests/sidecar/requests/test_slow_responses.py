"""Responses that their servers write slowly: as long as they may still be in time, none is cut off."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress

import pytest
from barriers import announce_endpoints, server_entry
from loopback import (
    Client,
    ReceivedRequest,
    http_request,
    read_head,
    run_async,
    sidecar_harness,
    wait_until,
    within_timeout,
)

from tulipnotch.sidecar.http1.messages import encode_chunk

_LONG_BODY = bytes(100_000)
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"


def _with_length(body: bytes) -> bytes:
    return _OK + b"Content-Length: %d\r\n\r\n" % len(body)


async def _read_body(client: Client) -> tuple[int, bytes]:
    """Returns the status and the body of a response, in whichever way it is framed."""
    status_line, headers = await within_timeout(read_head(client.reader))
    body = b""
    if "content-length" in headers:
        body = await within_timeout(client.reader.readexactly(int(headers["content-length"])))
    else:
        while size := int(await within_timeout(client.reader.readline()), 16):
            body += (await within_timeout(client.reader.readexactly(size + 2)))[:-2]
    return int(status_line.split(" ")[1]), body


class _PiecewiseServer:
    """Writes a response in pieces: the next one whenever the test continues it."""

    def __init__(self, pieces: Sequence[bytes]) -> None:
        self._pieces = pieces
        self._continued = asyncio.Semaphore(0)
        self.written = 0

    async def respond(self, received: ReceivedRequest) -> None:
        for piece in self._pieces:
            if self.written:
                await self._continued.acquire()
            received.writer.write(piece)
            with suppress(ConnectionError):
                await received.writer.drain()
            self.written += 1

    def continue_writing(self) -> None:
        """Has it write the next piece."""
        self._continued.release()


_SLOW_RESPONSES = [
    pytest.param([_with_length(_LONG_BODY), _LONG_BODY], _LONG_BODY, id="late body with length"),
    pytest.param([_CHUNKED, encode_chunk(_LONG_BODY) + b"0\r\n\r\n"], _LONG_BODY, id="late chunked body"),
    pytest.param(
        [_CHUNKED + encode_chunk(b"x" * 1_000), encode_chunk(_LONG_BODY) + b"0\r\n\r\n"],
        b"x" * 1_000 + _LONG_BODY,
        id="chunked body in pieces",
    ),
    pytest.param([_OK, b"Content-Length: 6\r\n\r\nserved"], b"served", id="head in pieces"),
    pytest.param([_with_length(b"served"), b"served"], b"served", id="late short body"),
]


@pytest.mark.parametrize(("pieces", "body"), _SLOW_RESPONSES)
def test_response_that_stalls_is_not_cut_off_while_no_other_attempt_can_replace_it(
    pieces: Sequence[bytes], body: bytes
) -> None:
    # Guards against giving up a response that has begun, of a request that may run only once.
    async def work() -> None:
        server = _PiecewiseServer(pieces)
        async with sidecar_harness(server.respond) as harness:
            client = await harness.connect()
            client.send(http_request("lodge", timeout="4.0"))
            await wait_until(lambda: any("stalled" in line for line in harness.log))
            server.continue_writing()
            assert await _read_body(client) == (200, body)
            assert len(harness.received_requests) == 1

    run_async(work)


@pytest.mark.parametrize(("pieces", "body"), [*_SLOW_RESPONSES[:3], _SLOW_RESPONSES[4]])
def test_response_that_stalls_after_its_head_is_not_cut_off_where_hedging_is_not_allowed(
    pieces: Sequence[bytes], body: bytes
) -> None:
    # Guards against a retry that stalls just as the first attempt did, until no attempt is left.
    async def work() -> None:
        servers = [_PiecewiseServer(pieces) for _ in range(2)]
        async with sidecar_harness(*(server.respond for server in servers)) as harness:
            client = await harness.connect()
            client.send(http_request("check", timeout="3.0"))
            await wait_until(lambda: any("stalled" in line for line in harness.log))
            for server in servers:
                server.continue_writing()
            assert await _read_body(client) == (200, body)
            assert len(harness.received_requests) == 1

    run_async(work)


@pytest.mark.parametrize(("pieces", "body"), [_SLOW_RESPONSES[0], _SLOW_RESPONSES[2]])
def test_response_that_may_be_long_begins_in_its_clients_time(pieces: Sequence[bytes], body: bytes) -> None:
    # Guards against a failure at the deadline: the time of a long response covers its first bytes.
    async def work() -> None:
        server = _PiecewiseServer(pieces)
        async with sidecar_harness(server.respond) as harness:
            client = await harness.connect()
            client.send(http_request("lodge", timeout="0.5"))
            # The rest is written only after the client has the beginning, which is at the deadline.
            first = await within_timeout(client.reader.readexactly(len(_OK)))
            assert first == _OK
            server.continue_writing()
            received = first + await within_timeout(client.reader.readuntil(body[-1_000:]))
            assert body[:1_000] in received

    run_async(work)


def test_stalled_response_is_accepted_beside_a_hedged_request() -> None:
    # Guards against giving up the first attempt for the second one, which may be just as slow.
    async def work() -> None:
        servers = [_PiecewiseServer([_with_length(_LONG_BODY), _LONG_BODY]) for _ in range(2)]
        async with sidecar_harness(
            *(server.respond for server in servers), limit_overrides={"secondCopies": True}
        ) as harness:
            client = await harness.connect()
            client.send(http_request("check", timeout="3.0"))
            await wait_until(lambda: len(harness.received_requests) == 2)
            assert all(not server.closed_connections for server in harness.servers)
            for server in servers:
                server.continue_writing()
            assert await _read_body(client) == (200, _LONG_BODY)

    run_async(work)


def test_beginning_of_a_response_is_passed_on_within_two_seconds() -> None:
    # Guards against holding back for a retry what its server gives; users allow 2 s.
    async def work() -> None:
        server = _PiecewiseServer([_CHUNKED + encode_chunk(b"x" * 1_000)])
        async with sidecar_harness(server.respond) as harness:
            client = await harness.connect()
            client.send(http_request("lodge", timeout="4.0"))
            await wait_until(lambda: server.written == 1)
            async with asyncio.timeout(2.0):
                assert await client.reader.readexactly(len(_OK)) == _OK

    run_async(work)


def test_head_that_stalls_is_not_cut_off_when_no_other_endpoint_is_eligible() -> None:
    # Guards against giving it up for a retry that no endpoint can take.
    async def work() -> None:
        server = _PiecewiseServer([_OK, b"Content-Length: 6\r\n\r\nserved"])
        async with sidecar_harness(server.respond, servers_listed=False) as harness:
            await announce_endpoints(
                harness,
                server_entry(0, harness.servers[0].address),
                server_entry(1, harness.servers[0].address, cell=2),
            )
            client = await harness.connect()
            client.send(http_request("amend", timeout="2.0"))
            await wait_until(lambda: any("stalled" in line for line in harness.log))
            server.continue_writing()
            assert await _read_body(client) == (200, b"served")

    run_async(work)
