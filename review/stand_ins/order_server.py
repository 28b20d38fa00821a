"""Order servers: each reads one request at a time from a connection, runs it and answers it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from stand_ins.discovery import list_entry
from stand_ins.record import Record

_READ_BYTES = 64 << 10
_SLOW_READ_EVERY_S = 0.03
_BACKLOG = 100


@dataclass(slots=True)
class ServerRequest:
    """A request that an order server has read, at least its head."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def request_id(self) -> str:
        """The id that its client gave it."""
        return self.headers.get("request-id", "")


def whole_answer(body: bytes) -> bytes:
    """Returns a 200 with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def own_body(request: ServerRequest) -> bytes:
    """Returns the body that an order server makes for this request and for no other."""
    return f"made for {request.request_id}\n".encode()


class CountingReader(asyncio.StreamReader):
    """A stream that counts what it has received, so that its server knows whether something waits."""

    def __init__(self, limit: int = _READ_BYTES) -> None:
        """Starts with no parts, and takes some `limit` bytes ahead; requires a running event loop."""
        super().__init__(limit=limit, loop=asyncio.get_running_loop())
        self.received_parts = 0

    def feed_data(self, data: Any) -> None:
        """Counts a part (asyncio.StreamReader)."""
        self.received_parts += 1
        super().feed_data(data)


class Connection:
    """One connection of an order server."""

    def __init__(self, reader: CountingReader, writer: asyncio.StreamWriter) -> None:
        """Stores both directions."""
        self.reader, self.writer = reader, writer


Answer = Callable[["OrderServer", ServerRequest, Connection], Awaitable[None]]


class OrderServer:
    """One order server, which listens on a port of its own."""

    def __init__(self, record: Record, name: str, zone: str, cell: int, work_s: float = 0.02) -> None:
        """Starts without trouble; nothing listens before `start`."""
        self.record, self.name, self.zone, self.cell = record, name, zone, cell
        self.work_s = work_s
        self.is_running = asyncio.Event()  # cleared while the server hangs: it reads and answers nothing
        self.is_running.set()
        self.ran: list[str] = []  # ids of the requests that it has run
        # Decides whether a request that was read is run, or dropped as a repeat; None: all are run.
        self.may_run: Callable[[OrderServer, ServerRequest], bool] | None = None
        # Asked of the system for the bytes that wait to be read; None: what it gives by itself.
        self.receive_buffer_bytes: int | None = None
        self.reading_pace: float | None = None  # bytes of a body a second; None: as fast as they come
        # Called with each part of a body that was read, and its size so far.
        self.on_body: Callable[[OrderServer, ServerRequest, int], None] | None = None
        # Writes the answer to a request that has run; None: a 200 with `own_body`.
        self.answer: Answer | None = None
        self._host = ""
        self.port = 0
        self.announced_port: int | None = None  # that of a proxy in front of it; None: its own

    @property
    def entry(self) -> dict[str, object]:
        """Its entry in the list of discovery."""
        return list_entry(self.name, f"{self._host}:{self.announced_port or self.port}", self.zone, self.cell)

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        # The protocol is named, since the event loop disables the delay of small writes only then.
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        if self.receive_buffer_bytes is not None:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)
        listener.bind((host, 0))
        self._host, self.port = host, listener.getsockname()[1]
        await asyncio.get_running_loop().create_server(self._create_protocol, sock=listener, backlog=_BACKLOG)

    def _create_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = CountingReader(self.receive_buffer_bytes or _READ_BYTES)

        async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(Connection(reader, writer))

        return asyncio.StreamReaderProtocol(reader, serve)

    def hang(self) -> None:
        """Reads and answers nothing from now on; the connections stay open."""
        self.is_running.clear()
        self.record.write(self.name, "hangs")

    def recover(self) -> None:
        """Ends the hang."""
        self.is_running.set()
        self.record.write(self.name, "goes on")

    async def _serve(self, connection: Connection) -> None:
        writer = connection.writer
        try:
            while True:
                request = await self._read(connection.reader)
                await self.is_running.wait()
                if self.may_run is None or self.may_run(self, request):
                    self.ran.append(request.request_id)
                    self.record.write(self.name, f"runs     {request.request_id}")
                    await asyncio.sleep(self.work_s)
                else:
                    self.record.write(self.name, f"drops    {request.request_id}, a repeat")
                await self.is_running.wait()
                if self.answer is not None:
                    await self.answer(self, request, connection)
                else:
                    writer.write(whole_answer(own_body(request)))
                await writer.drain()
                self.record.write(self.name, f"answered {request.request_id}")
        except asyncio.CancelledError:
            pass  # the run has ended
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.write(self.name, f"connection ended: {type(error).__name__}")
        finally:
            writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> ServerRequest:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        pairs = [line.split(":", 1) for line in head[1:] if line]
        request = ServerRequest(method, target, {name.lower(): value.strip() for name, value in pairs})
        told = request.headers.get("request-timeout")
        self.record.write(self.name, f"reads    {request.request_id}, told {told} s")
        length, parts, size = int(request.headers.get("content-length", "0")), [], 0
        while size < length:
            await self.is_running.wait()
            pace = self.reading_pace
            read_bytes = _READ_BYTES if pace is None else int(pace * _SLOW_READ_EVERY_S)
            parts.append(await reader.read(min(read_bytes, length - size)))
            if not parts[-1]:
                raise asyncio.IncompleteReadError(b"", length - size)
            size += len(parts[-1])
            if pace is not None:
                await asyncio.sleep(len(parts[-1]) / pace)
            if self.on_body is not None:
                self.on_body(self, request, size)
        request.body = b"".join(parts)
        return request
