"""A bare byte forwarder: what it costs to pass bytes on and do nothing else.  It takes a sidecar's
configuration.

Every connection is joined to one of the first server of the list that is known; SIGTERM ends it.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import cast

import uvloop


class Side(asyncio.Protocol):
    """One end of a pair: what comes in goes out at the other."""

    def __init__(self) -> None:
        self.other: Side | None = None
        self.transport: asyncio.Transport | None = None
        self._early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        if self.other is None or self.other.transport is None:
            self._early.append(data)
        else:
            self.other.transport.write(data)

    def join(self, other: Side) -> None:
        self.other, other.other = other, self
        for data in self._early:
            self.data_received(data)
        self._early.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


class Front(Side):
    """A client's end; the server's end is dialled when it comes."""

    def __init__(self, server: tuple[str, int]) -> None:
        super().__init__()
        self._server = server
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._task = asyncio.get_running_loop().create_task(self._dial())

    async def _dial(self) -> None:
        try:
            _, back = await asyncio.get_running_loop().create_connection(Side, *self._server)
        except OSError:
            if self.transport is not None:
                self.transport.abort()
            return
        self.join(back)

    def data_received(self, data: bytes) -> None:
        if data.startswith(b"GET /_health ") and self.transport is not None:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            self.transport.close()
            return
        super().data_received(data)


async def serve() -> None:
    config = json.loads(Path(os.environ["BALANCER_CONFIG"]).read_bytes())
    host, _, port = config["known"]["servers"][0]["addr"].rpartition(":")
    own_host, _, own_port = config["listen"].rpartition(":")
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    server = await loop.create_server(lambda: Front((host, int(port))), own_host, int(own_port))
    await stop.wait()
    server.close()


def main() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())


if __name__ == "__main__":
    main()
