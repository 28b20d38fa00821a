"""A request reaches its server byte for byte, however little of its end the kernel accepts at a time."""

from __future__ import annotations

import hashlib
import os

import pytest
from barriers import ScriptedWrites, WriteOutcome
from large_bodies import BodyDigestServer, chunk_encoded, pseudorandom_bytes
from loopback import http_request, run_async, sidecar_harness

from tulipnotch.sidecar.http1.body import MAX_BUFFERED_BODY_BYTES


def _accepts(max_bytes: int) -> WriteOutcome:
    """The kernel accepts so many bytes, or has no buffer space."""

    def fate(descriptor: int, piece: bytes) -> int:
        if max_bytes == 0:
            raise BlockingIOError
        return os.write(descriptor, piece[:max_bytes])

    return fate


@pytest.mark.parametrize("form", ["length", "chunked"])
@pytest.mark.parametrize(
    "size", [12, 2 * MAX_BUFFERED_BODY_BYTES]
)  # what is longer is streamed with its own framing
@pytest.mark.parametrize("accepts", [(0,), (1,), (3,), (40,), (0, 0), (0, 0, 0, 0)], ids=str)
def test_connection_writes_request_once_and_in_order_when_kernel_accepts_parts(
    monkeypatch: pytest.MonkeyPatch, form: str, size: int, accepts: tuple[int, ...]
) -> None:
    body = pseudorandom_bytes(size)

    async def work() -> None:
        server = BodyDigestServer()
        async with sidecar_harness(server) as harness:
            kernel = ScriptedWrites(monkeypatch, server.address, tuple(_accepts(each) for each in accepts))
            application = await harness.connect()
            if form == "length":
                application.send(http_request("lodge", body=body))
            else:
                head = http_request("lodge", Content_Length="", Transfer_Encoding="chunked")
                application.send(head + chunk_encoded(body, size))
            assert (await application.read_response()).status == 200
            assert not kernel.remaining_outcomes
            assert (
                await application.send_request("lodge", body=b"next")
            ).status == 200  # nothing was left in the connection
            assert server.digests == [hashlib.sha1(each).digest() for each in (body, b"next")]

    run_async(work)
