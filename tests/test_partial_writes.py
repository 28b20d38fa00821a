"""A request reaches its server byte for byte, however little of its end the kernel takes at a time."""

from __future__ import annotations

import hashlib
import os

import pytest
from barriers import Fate, Kernel
from large_bodies import SlowReader, chunked, pattern
from loopback import play, request, stage

from tulipnotch.sidecar.http1.messages import KEPT


def _takes(most: int) -> Fate:
    """The kernel takes so many bytes, or has no room."""

    def fate(descriptor: int, piece: bytes) -> int:
        if most == 0:
            raise BlockingIOError
        return os.write(descriptor, piece[:most])

    return fate


@pytest.mark.parametrize("form", ["length", "chunked"])
@pytest.mark.parametrize("size", [12, 2 * KEPT])  # what outgrows that is passed on as it was framed
@pytest.mark.parametrize("takes", [(0,), (1,), (3,), (40,), (0, 0), (0, 0, 0, 0)], ids=str)
def test_a_request_is_written_once_and_in_order(
    monkeypatch: pytest.MonkeyPatch, form: str, size: int, takes: tuple[int, ...]
) -> None:
    body = pattern(size)

    async def work() -> None:
        server = SlowReader()
        async with stage(server) as scene:
            kernel = Kernel(monkeypatch, server.address, tuple(_takes(each) for each in takes))
            application = await scene.client()
            if form == "length":
                application.send(request("lodge", body=body))
            else:
                head = request("lodge", Content_Length="", Transfer_Encoding="chunked")
                application.send(head + chunked(body, size))
            assert (await application.answer()).status == 200
            assert not kernel.left
            assert (await application.ask("lodge", body=b"next")).status == 200  # nothing is left behind
            assert server.digests == [hashlib.sha1(each).digest() for each in (body, b"next")]

    play(work)
