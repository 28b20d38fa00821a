"""An upgrade with real processes, in which a server holds requests until a test releases them."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

from loopback import OK_RESPONSE, Client, ReceivedRequest, Response, http_request, listen, wait_until
from running import SidecarProcess, running_sidecar, server_with_config, wait_for_readyz

from tulipnotch.sidecar.handover.listener_identity import channel_name

HELD = "held"  # requests whose id begins with this get no response before `HoldingServer.released`
_PARTIAL_BYTES = 20
UNRESPONSIVE_LOG = r"(another process of this sidecar does not answer|no fresh endpoint list)"


class HoldingServer:
    """Records the ids that were executed, and holds some of their responses."""

    def __init__(self) -> None:
        self.executed: list[str] = []
        self.released = asyncio.Event()

    async def respond(self, received: ReceivedRequest) -> bytes:
        """Handles a complete request."""
        request_id = received.headers["request-id"]
        self.executed.append(request_id)
        if request_id.startswith(HELD):
            await self.released.wait()
        return OK_RESPONSE

    async def wait_for(self, request_id: str) -> None:
        """Waits until a request with this id is executed."""
        await wait_until(lambda: request_id in self.executed)


class PartialRequest:
    """A connection on which a part of a request was sent, so that its process keeps it open."""

    def __init__(self, client: Client, raw: bytes) -> None:
        self.client, self._raw = client, raw
        client.send(raw[:_PARTIAL_BYTES])

    def send_rest(self) -> None:
        """Sends the rest of the request."""
        self.client.send(self._raw[_PARTIAL_BYTES:])

    async def complete(self) -> Response:
        """Sends the rest of the request and returns its response."""
        self.send_rest()
        return await self.client.read_response()


async def stop_accepting(process: SidecarProcess) -> None:
    """Sends SIGTERM; returns once new connections are left to the other processes."""
    process.process.send_signal(signal.SIGTERM)
    with suppress(ConnectionRefusedError):  # it has ended
        await wait_for_readyz(process, "-ERR stopping")


class Upgrade:
    """An old process, and the new one once it was started; both have inherited the same listener."""

    def __init__(
        self, config: Path, listener: socket.socket, server: HoldingServer, old: SidecarProcess
    ) -> None:
        self.config, self.listener, self.server, self.old = config, listener, server, old
        self._clients: list[Client] = []  # keeps their connections open

    @asynccontextmanager
    async def start_new(self, allowed_log_pattern: str | None = None) -> AsyncIterator[SidecarProcess]:
        """Runs a further process beside those that run."""
        async with running_sidecar(self.config, self.old.server, self.listener, allowed_log_pattern) as new:
            yield new

    async def connect(self) -> Client:
        """Connects to the process that accepts; `lodge` requests are served on the connection."""
        client = await self.old.connect()
        self._clients.append(client)
        assert (await client.send_request("lodge")).status == 200
        return client

    async def partial_request(self, service_class: str, request_id: str) -> PartialRequest:
        """Connects to the process that accepts, and sends a part of a request."""
        return PartialRequest(await self.connect(), http_request(service_class, Request_Id=request_id))

    async def hold_request(self, service_class: str, request_id: str) -> Client:
        """Has a request executed and held by the process that accepts; returns its connection."""
        client = await self.connect()
        client.send(http_request(service_class, Request_Id=request_id))
        await self.server.wait_for(request_id)
        return client

    async def send(self, service_class: str, request_id: str) -> Response:
        """Sends a request to the process that accepts, on a new connection."""
        client = await self.old.connect()
        return await client.send_request(service_class, Request_Id=request_id, timeout="1.0")

    @property
    def channel_name(self) -> bytes:
        """The address at which the processes meet."""
        return channel_name(self.listener)


@asynccontextmanager
async def running_upgrade(folder: Path) -> AsyncIterator[Upgrade]:
    """Runs the old process of an upgrade."""
    server = HoldingServer()
    listener = listen()
    try:
        async with (
            server_with_config(server.respond, folder) as (config, scripted),
            running_sidecar(config, scripted, listener) as old,
        ):
            yield Upgrade(config, listener, server, old)
    finally:
        server.released.set()
        listener.close()
