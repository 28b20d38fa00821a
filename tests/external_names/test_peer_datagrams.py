"""Datagrams between sidecars: the payload itself, of 256 bytes at most."""

from __future__ import annotations

import asyncio
import socket

import pytest
from loopback import HOST, run_async, within_timeout
from outside import Peer


def ear() -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind((HOST, 0))
    opened.setblocking(False)
    return opened


@pytest.mark.parametrize("payload", [b"hi 7", b"\x00", bytes(range(256))])
def test_payload_goes_out_and_comes_in_unchanged(payload: bytes) -> None:
    async def work() -> None:
        with ear() as other:
            with ear() as free:
                own = free.getsockname()
            async with Peer((own, other.getsockname()), None) as peer:
                assert peer.tell(1, payload)
                received, sender = await within_timeout(
                    asyncio.get_running_loop().run_in_executor(None, _next, other)
                )
                assert (received, sender) == (payload, own)
                other.sendto(payload, own)
                assert await within_timeout(peer.heard.get()) == (1, payload)

    run_async(work)


def _next(opened: socket.socket) -> tuple[bytes, tuple[str, int]]:
    opened.settimeout(20.0)
    received, sender = opened.recvfrom(4_096)
    return received, (sender[0], sender[1])


def test_payload_of_more_than_256_bytes_is_neither_sent_nor_heard() -> None:
    async def work() -> None:
        with ear() as other:
            with ear() as free:
                own = free.getsockname()
            async with Peer((own, other.getsockname()), None) as peer:
                assert not peer.tell(1, b"x" * 257)
                assert peer.tell(1, b"x" * 256)
                received, _ = await within_timeout(
                    asyncio.get_running_loop().run_in_executor(None, _next, other)
                )
                assert received == b"x" * 256
                other.sendto(b"x" * 257, own)
                other.sendto(b"after", own)
                assert await within_timeout(peer.heard.get()) == (1, b"after")

    run_async(work)


def test_payload_for_all_goes_to_each_or_to_their_common_address() -> None:
    async def work() -> None:
        with ear() as one, ear() as two, ear() as common:
            with ear() as free:
                own = free.getsockname()
            loop = asyncio.get_running_loop()
            addresses = (own, one.getsockname(), two.getsockname())
            async with Peer(addresses, None) as peer:
                assert peer.tell(None, b"each")
                for opened in (one, two):
                    assert (await within_timeout(loop.run_in_executor(None, _next, opened)))[0] == b"each"
            async with Peer(addresses, common.getsockname()) as peer:
                assert peer.tell(None, b"all")
                assert (await within_timeout(loop.run_in_executor(None, _next, common)))[0] == b"all"

    run_async(work)
