"""Sends and receives datagrams between the sidecars of one fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from tulipnotch.sidecar.addresses import Address

_BIND_RETRY_INTERVAL_S = 0.5
MAX_DATAGRAM_BYTES = 256  # longer datagrams are neither sent nor accepted


class PeerMessenger(asyncio.DatagramProtocol):
    """Sends datagrams to sidecars by their number in the fleet, and receives datagrams from them."""

    def __init__(
        self,
        peers: tuple[Address, ...],
        broadcast: Address | None,
        instance: int,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        """Creates a messenger that sends and receives nothing before `listen`.

        Args:
            peers: The address of each sidecar, in the order of their numbers.
            broadcast: The address that reaches all of them; None: each is sent its own datagram.
            instance: This sidecar's own number.
            on_message: Called with the sender's number and the payload of each datagram.
        """
        self.set_addresses(peers, broadcast)
        self._instance = instance
        self._on_message = on_message
        self._transport: asyncio.DatagramTransport | None = None
        self._bind_task: asyncio.Task[None] | None = None  # retries while another process uses the address

    def set_addresses(self, peers: tuple[Address, ...], broadcast: Address | None) -> None:
        """Uses these addresses of the fleet from now on."""
        self._peers = peers
        self._broadcast = broadcast
        self._number_by_address = {address: number for number, address in enumerate(peers)}

    async def listen(self, address: Address) -> None:
        """Receives datagrams at this address, at once or as soon as it can be bound.

        The previous process of this sidecar may use the address until it ends.  The start does not wait for
        that, since no response depends on a datagram.
        """
        try:
            await self._bind(address)
        except OSError:
            self._bind_task = asyncio.create_task(self._retry_bind(address))

    async def _bind(self, address: Address) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, local_addr=address)

    async def _retry_bind(self, address: Address) -> None:
        while self._transport is None:
            await asyncio.sleep(_BIND_RETRY_INTERVAL_S)  # no event reports that an address is free
            with suppress(OSError):
                await self._bind(address)

    def send(self, receiver: int | None, payload: bytes) -> bool:
        """Sends a datagram to the sidecar of this number, or to all others if `receiver` is None.

        Returns:
            Whether it was sent: not before the address is bound, not to an unknown number, and not if the
            payload is too long.
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
        """Stops sending and receiving."""
        if self._bind_task is not None:
            self._bind_task.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends through this transport from now on."""
        # The event loop's class does not derive from DatagramTransport, so `isinstance` cannot check it.
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes the datagram on if it comes from another sidecar of the fleet."""
        number = self._number_by_address.get((addr[0], addr[1]))
        if number is None or number == self._instance or len(data) > MAX_DATAGRAM_BYTES:
            return
        self._on_message(number, data)

    def error_received(self, exc: Exception) -> None:
        """Ignores the error, since datagrams may be lost without further effect."""
