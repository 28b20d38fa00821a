"""A TCP proxy that forwards bytes and does nothing else, as the baseline for the cost of the sidecar.

It takes a sidecar's configuration.  Every client connection is forwarded to the first server of the
configured endpoint list; SIGTERM ends the process.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import cast

import uvloop


class ForwardedConnection(asyncio.Protocol):
    """One of two paired connections: bytes that it receives are written to the other."""

    def __init__(self) -> None:
        self.peer: ForwardedConnection | None = None
        self.transport: asyncio.Transport | None = None
        self._received_before_pairing: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.peer is None or self.peer.transport is None:
            self._received_before_pairing.append(data)
        else:
            self.peer.transport.write(data)

    def pair_with(self, peer: ForwardedConnection) -> None:
        self.peer, peer.peer = peer, self
        for data in self._received_before_pairing:
            self.data_received(data)
        self._received_before_pairing.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.peer is not None and self.peer.transport is not None:
            self.peer.transport.close()


class ClientConnection(ForwardedConnection):
    """The connection of a client; opens the connection to the server when it is accepted."""

    def __init__(self, server: tuple[str, int]) -> None:
        super().__init__()
        self._server = server
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            _, server_connection = await asyncio.get_running_loop().create_connection(
                ForwardedConnection, *self._server
            )
        except OSError:
            if self.transport is not None:
                self.transport.abort()
            return
        self.pair_with(server_connection)

    def data_received(self, data: bytes) -> None:
        if data.startswith(b"GET /_health ") and self.transport is not None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            self.transport.close()
            return
        super().data_received(data)


async def serve() -> None:
    config = json.loads(Path(os.environ["BALANCER_CONFIG"]).read_bytes())
    server_host, _, server_port = config["known"]["servers"][0]["addr"].rpartition(":")
    listen_host, _, listen_port = config["listen"].rpartition(":")
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    listener = await loop.create_server(
        lambda: ClientConnection((server_host, int(server_port))), listen_host, int(listen_port)
    )
    await stopped.wait()
    listener.close()


def main() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())


if __name__ == "__main__":
    main()
