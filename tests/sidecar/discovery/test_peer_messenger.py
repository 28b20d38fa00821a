"""Datagrams between sidecars, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket

from loopback import HOST, run_async, within_timeout

from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.discovery.peers import PeerMessenger


def test_peer_messenger_receives_only_from_its_peers_when_others_send_too() -> None:
    # In operation, a socket that is never opened shows only as a line in the log.
    async def work() -> None:
        ports = []
        for _ in range(2):
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
                free.bind((HOST, 0))
                ports.append(free.getsockname()[1])
        addresses: tuple[Address, ...] = tuple((HOST, port) for port in ports)
        received: asyncio.Queue[tuple[int, int, bytes]] = asyncio.Queue()

        def create_messenger(instance: int) -> PeerMessenger:
            return PeerMessenger(
                addresses,
                None,
                instance,
                lambda sender, payload: received.put_nowait((instance, sender, payload)),
            )

        first, second = create_messenger(0), create_messenger(1)
        await first.listen(addresses[0])
        await second.listen(addresses[1])
        assert first.send(1, b"to one")
        assert await within_timeout(received.get()) == (1, 0, b"to one")
        assert second.send(None, b"to all")
        assert await within_timeout(received.get()) == (0, 1, b"to all")
        assert first.send(1, b"x" * 256)
        assert not first.send(1, b"x" * 257)
        assert not first.send(2, b"nobody")
        assert await within_timeout(received.get()) == (1, 0, b"x" * 256)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other_sender:
            other_sender.sendto(b"from a stranger", addresses[1])
        assert first.send(1, b"after it")
        assert await within_timeout(received.get()) == (1, 0, b"after it")
        first.close()
        second.close()

    run_async(work)
