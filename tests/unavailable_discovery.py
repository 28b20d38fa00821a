"""A discovery server that is unavailable until a test lets it recover."""

from __future__ import annotations

import socket

from loopback import HOST, ReceivedRequest, ScriptedDiscovery, http_response

DISCOVERY_FAULTS = ["refused", "503", "hung"]


class UnavailableDiscovery(ScriptedDiscovery):
    """Discovery that is unavailable in one of three ways until it recovers; requests that hang never end."""

    def __init__(self, fault: str) -> None:
        super().__init__()
        self.fault: str | None = fault
        # The socket is bound but does not listen: the address stays reserved, and connections are refused.
        self._reserved_socket = socket.socket()
        self._reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved_socket.bind((HOST, 0))
        self.port = int(self._reserved_socket.getsockname()[1])

    async def start_unavailable(self) -> None:
        if self.fault != "refused":
            await self.start(self.port)

    async def return_to_service(self) -> None:
        fault, self.fault = self.fault, None
        if fault == "refused":
            await self.start(self.port)

    def stop(self) -> None:
        self._reserved_socket.close()
        if self._server is not None:
            super().stop()

    async def _respond(self, received: ReceivedRequest) -> bytes:
        if self.fault == "503":
            return http_response(b"", "503 Busy")
        if self.fault == "hung":
            return b""  # the request never gets a response
        return await super()._respond(received)
