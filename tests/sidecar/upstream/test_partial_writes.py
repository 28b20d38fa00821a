"""Guards against lost or reordered bytes of a request when the kernel accepts its end only in parts."""

from __future__ import annotations

import hashlib
import os

import pytest
from barriers import Fate, Kernel
from large_bodies import SlowReader, chunked, pattern
from loopback import play, request, stage

from tulipnotch.sidecar.http1.body import MAX_BUFFERED_BODY_BYTES


def _accepts(max_bytes: int) -> Fate:
    """Returns a fate of a write: at most `max_bytes` are accepted, or there is no buffer space if it is 0."""

    def fate(descriptor: int, piece: bytes) -> int:
        if max_bytes == 0:
            raise BlockingIOError
        return os.write(descriptor, piece[:max_bytes])

    return fate


@pytest.mark.parametrize("form", ["length", "chunked"])
# A body that exceeds the buffer is streamed, with its own framing.
@pytest.mark.parametrize("size", [12, 2 * MAX_BUFFERED_BODY_BYTES])
@pytest.mark.parametrize("accepts", [(0,), (1,), (3,), (40,), (0, 0), (0, 0, 0, 0)], ids=str)
def test_connection_writes_request_once_and_in_order_when_kernel_accepts_parts(
    monkeypatch: pytest.MonkeyPatch, form: str, size: int, accepts: tuple[int, ...]
) -> None:
    body = pattern(size)

    async def work() -> None:
        server = SlowReader()
        async with stage(server) as scene:
            kernel = Kernel(monkeypatch, server.address, tuple(_accepts(each) for each in accepts))
            application = await scene.client()
            if form == "length":
                application.send(request("lodge", body=body))
            else:
                head = request("lodge", Content_Length="", Transfer_Encoding="chunked")
                application.send(head + chunked(body, size))
            assert (await application.answer()).status == 200
            assert not kernel.left
            # No data of the first request is left on the connection.
            assert (await application.ask("lodge", body=b"next")).status == 200
            assert server.digests == [hashlib.sha1(each).digest() for each in (body, b"next")]

    play(work)
