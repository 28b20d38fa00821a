"""Datagrams between the sidecars of one fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from tulipnotch.sidecar.addresses import Address

_BIND_RETRY_S = 0.5
MAX_DATAGRAM_BYTES = 256  # a longer one is neither sent nor received


class PeerMessenger(asyncio.DatagramProtocol):
    """Sends to sidecars by their number in the fleet, and says which one a datagram came from."""

    def __init__(
        self,
        peers: tuple[Address, ...],
        broadcast: Address | None,
        instance: int,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        """Send and receive nothing before `listen`.

        Args:
            peers: The address of each sidecar, in the order of their numbers.
            broadcast: The address that reaches all of them; None: each is sent to.
            instance: This sidecar's own number.
            on_message: Called with the sender's number and the payload of each datagram.
        """
        self.set_addresses(peers, broadcast)
        self._instance = instance
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self._binding: asyncio.Task[None] | None = None  # while the address is in use elsewhere

    def set_addresses(self, peers: tuple[Address, ...], broadcast: Address | None) -> None:
        """Use these addresses of the fleet from now on."""
        self._peers = peers
        self._broadcast = broadcast
        self._numbers = {address: number for number, address in enumerate(peers)}

    async def listen(self, address: Address) -> None:
        """Receive datagrams at this address, at once or as soon as it can be bound.

        The version of the sidecar before this one may use it until it ends, and no response depends on a
        datagram.
        """
        try:
            await self._bind(address)
        except OSError:
            self._binding = asyncio.create_task(self._bind_later(address))

    async def _bind(self, address: Address) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)

    async def _bind_later(self, address: Address) -> None:
        while self._transport is None:
            await asyncio.sleep(_BIND_RETRY_S)  # the system reports no event when an address becomes free
            with suppress(OSError):
                await self._bind(address)

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Send to the sidecar of this number, or to all others with None.

        Returns:
            Whether it could be sent: not before the address is bound, not to an unknown number, and not if
            the payload is too long.
        """
        if self._transport is None or len(payload) > MAX_DATAGRAM_BYTES:
            return False
        if receiver is not None:
            if not 0 <= receiver < len(self._peers):
                return False
            self._transport.sendto(payload, self._peers[receiver])
        elif self._broadcast is not None:
            self._transport.sendto(payload, self._broadcast)
        else:
            for number, address in enumerate(self._peers):
                if number != self._instance:
                    self._transport.sendto(payload, address)
        return True

    def close(self) -> None:
        """Receive and send nothing any more."""
        if self._binding is not None:
            self._binding.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send through this transport."""
        # The event loop's own class does not derive from DatagramTransport, so it can't be checked.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass the datagram on if it comes from another sidecar of the fleet."""
        number = self._numbers.get((addr[0], addr[1]))
        if number is None or number == self._instance or len(data) > MAX_DATAGRAM_BYTES:
            return
        self._on_message(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: a datagram may be lost, and nothing more follows from it."""
