"""Pins the datagrams between sidecars: the bare payload, with at most 256 bytes."""

from __future__ import annotations

import asyncio
import socket

import pytest
from loopback import HOST, run_async, within_timeout
from outside import PeerEndpoint


def open_datagram_socket() -> socket.socket:
    bound_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound_socket.bind((HOST, 0))
    bound_socket.setblocking(False)
    return bound_socket


@pytest.mark.parametrize("payload", [b"hi 7", b"\x00", bytes(range(256))])
def test_payload_is_sent_and_received_unchanged(payload: bytes) -> None:
    async def scenario() -> None:
        with open_datagram_socket() as peer_socket:
            with open_datagram_socket() as unused_socket:
                own_address = unused_socket.getsockname()
            async with PeerEndpoint((own_address, peer_socket.getsockname()), None) as peer:
                assert peer.send(1, payload)
                received, sender = await within_timeout(
                    asyncio.get_running_loop().run_in_executor(None, _receive_datagram, peer_socket)
                )
                assert (received, sender) == (payload, own_address)
                peer_socket.sendto(payload, own_address)
                assert await within_timeout(peer.received_messages.get()) == (1, payload)

    run_async(scenario)


def _receive_datagram(bound_socket: socket.socket) -> tuple[bytes, tuple[str, int]]:
    bound_socket.settimeout(20.0)
    received, sender = bound_socket.recvfrom(4_096)
    return received, (sender[0], sender[1])


def test_payload_above_256_bytes_is_neither_sent_nor_received() -> None:
    async def scenario() -> None:
        with open_datagram_socket() as peer_socket:
            with open_datagram_socket() as unused_socket:
                own_address = unused_socket.getsockname()
            async with PeerEndpoint((own_address, peer_socket.getsockname()), None) as peer:
                assert not peer.send(1, b"x" * 257)
                assert peer.send(1, b"x" * 256)
                received, _ = await within_timeout(
                    asyncio.get_running_loop().run_in_executor(None, _receive_datagram, peer_socket)
                )
                assert received == b"x" * 256
                peer_socket.sendto(b"x" * 257, own_address)
                peer_socket.sendto(b"after", own_address)
                assert await within_timeout(peer.received_messages.get()) == (1, b"after")

    run_async(scenario)


def test_broadcast_goes_to_each_address_or_to_the_broadcast_address() -> None:
    async def scenario() -> None:
        with (
            open_datagram_socket() as first_socket,
            open_datagram_socket() as second_socket,
            open_datagram_socket() as broadcast_socket,
        ):
            with open_datagram_socket() as unused_socket:
                own_address = unused_socket.getsockname()
            loop = asyncio.get_running_loop()
            addresses = (own_address, first_socket.getsockname(), second_socket.getsockname())
            async with PeerEndpoint(addresses, None) as peer:
                assert peer.send(None, b"each")
                for bound_socket in (first_socket, second_socket):
                    assert (
                        await within_timeout(loop.run_in_executor(None, _receive_datagram, bound_socket))
                    )[0] == b"each"
            async with PeerEndpoint(addresses, broadcast_socket.getsockname()) as peer:
                assert peer.send(None, b"all")
                assert (
                    await within_timeout(loop.run_in_executor(None, _receive_datagram, broadcast_socket))
                )[0] == b"all"

    run_async(scenario)
