"""A discovery server that is unavailable, and returns."""

from __future__ import annotations

import socket

from loopback import HOST, ReceivedRequest, ScriptedDiscovery, http_response

DISCOVERY_FAULTS = ["refused", "503", "hung"]


class UnavailableDiscovery(ScriptedDiscovery):
    """Discovery that is unavailable in one of three ways until it returns; calls that hang never end."""

    def __init__(self, fault: str) -> None:
        super().__init__()
        self.fault: str | None = fault
        # Bound and not listening: the address stays reserved, and connections are refused.
        self._holder = socket.socket()
        self._holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._holder.bind((HOST, 0))
        self.port = int(self._holder.getsockname()[1])

    async def start_unavailable(self) -> None:
        if self.fault != "refused":
            await self.start(self.port)

    async def return_to_service(self) -> None:
        fault, self.fault = self.fault, None
        if fault == "refused":
            await self.start(self.port)

    def stop(self) -> None:
        self._holder.close()
        if self._server is not None:
            super().stop()

    async def _respond(self, heard: ReceivedRequest) -> bytes:
        if self.fault == "503":
            return http_response(b"", "503 Busy")
        if self.fault == "hung":
            return b""  # and nothing after it
        return await super()._respond(heard)
