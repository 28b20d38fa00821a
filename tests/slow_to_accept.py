"""A server whose accept queue is full until a test drains it."""

from __future__ import annotations

import asyncio
import socket

from loopback import HOST


class FullAcceptQueueServer:
    """A server whose connections are established late: its accept queue is full until a test drains it."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(0)
        self.fillers: list[socket.socket] = []

    @property
    def address(self) -> str:
        return f"{HOST}:{self.listener.getsockname()[1]}"

    async def fill_accept_queue(self) -> None:
        """Fills the accept queue, so that further connects have to wait."""
        for _ in range(3):
            filler = socket.socket()
            filler.settimeout(0.0)
            filler.connect_ex(self.listener.getsockname())
            self.fillers.append(filler)
        await asyncio.sleep(0.05)

    async def accept_sidecar_connection(self) -> socket.socket:
        """Accepts connections until that of the sidecar is established; returns it."""
        fillers = {each.getsockname() for each in self.fillers}
        self.listener.settimeout(0.0)
        loop = asyncio.get_running_loop()
        while True:
            accepted, address = await loop.sock_accept(self.listener)
            if address not in fillers:
                return accepted
            self.fillers.append(accepted)

    def close(self) -> None:
        for each in (self.listener, *self.fillers):
            each.close()
