"""Discovery that is away, and comes back."""

from __future__ import annotations

import socket

from loopback import HOST, Heard, ScriptedDiscovery, reply

AWAY = ["refused", "503", "hung"]


class Returning(ScriptedDiscovery):
    """Discovery that is away, in one of three ways, until it is back; what hung before is never answered."""

    def __init__(self, away: str) -> None:
        super().__init__()
        self.away: str | None = away
        # Bound and not listening: the address stays ours, and who connects is refused.
        self._holder = socket.socket()
        self._holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._holder.bind((HOST, 0))
        self.port = int(self._holder.getsockname()[1])

    async def go(self) -> None:
        if self.away != "refused":
            await self.start(self.port)

    async def come_back(self) -> None:
        was, self.away = self.away, None
        if was == "refused":
            await self.start(self.port)

    def stop(self) -> None:
        self._holder.close()
        if self._server is not None:
            super().stop()

    async def _answer(self, heard: Heard) -> bytes:
        if self.away == "503":
            return reply(b"", "503 Busy")
        if self.away == "hung":
            return b""  # and nothing after it
        return await super()._answer(heard)
