"""Guards against lost or reordered bytes of a request when the kernel accepts its end only in parts."""

from __future__ import annotations

import hashlib
import os

import pytest
from barriers import ScriptedWrites, WriteOutcome
from large_bodies import BodyDigestServer, chunk_encoded, pseudorandom_bytes
from loopback import http_request, run_async, sidecar_harness

from tulipnotch.sidecar.http1.body import MAX_BUFFERED_BODY_BYTES


def _accept_at_most(max_bytes: int) -> WriteOutcome:
    """Returns a write that accepts at most `max_bytes`, or fails without buffer space if that is 0."""

    def write(descriptor: int, data: bytes) -> int:
        if max_bytes == 0:
            raise BlockingIOError
        return os.write(descriptor, data[:max_bytes])

    return write


@pytest.mark.parametrize("framing", ["length", "chunked"])
# A body that exceeds the buffer is streamed, with its own framing.
@pytest.mark.parametrize("size", [12, 2 * MAX_BUFFERED_BODY_BYTES])
@pytest.mark.parametrize("accepted_bytes", [(0,), (1,), (3,), (40,), (0, 0), (0, 0, 0, 0)], ids=str)
def test_connection_writes_request_once_and_in_order_when_kernel_accepts_parts(
    monkeypatch: pytest.MonkeyPatch, framing: str, size: int, accepted_bytes: tuple[int, ...]
) -> None:
    body = pseudorandom_bytes(size)

    async def work() -> None:
        server = BodyDigestServer()
        async with sidecar_harness(server) as harness:
            scripted_writes = ScriptedWrites(
                monkeypatch, server.address, tuple(_accept_at_most(each) for each in accepted_bytes)
            )
            client = await harness.connect()
            if framing == "length":
                client.send(http_request("lodge", body=body))
            else:
                head = http_request("lodge", Content_Length="", Transfer_Encoding="chunked")
                client.send(head + chunk_encoded(body, size))
            assert (await client.read_response()).status == 200
            assert not scripted_writes.remaining_outcomes
            # No data of the first request is left on the connection.
            assert (await client.send_request("lodge", body=b"next")).status == 200
            assert server.digests == [hashlib.sha1(each).digest() for each in (body, b"next")]

    run_async(work)
