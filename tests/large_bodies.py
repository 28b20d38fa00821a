"""Request bodies of any size, and a server that a test can pause while it reads them."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import AsyncIterator

from loopback import OK_RESPONSE, ScriptedServer, listen, read_head


def pseudorandom_bytes(size: int) -> bytes:
    """Returns incompressible bytes, which differ between sizes."""
    return hashlib.shake_128(b"%d" % size).digest(size)


class BodyDigestServer(ScriptedServer):
    """Reads bodies with a length or in chunks, and keeps a digest of each; a test can pause the reading."""

    def __init__(self, response: bytes = OK_RESPONSE, receive_buffer_bytes: int | None = None) -> None:
        """Starts with reading allowed; a test pauses it by clearing `reading_allowed`.

        The system holds about `receive_buffer_bytes` for it on each connection; None: as much as it chooses.
        """
        super().__init__(None)
        self._receive_buffer_bytes = receive_buffer_bytes
        self.response = response
        self.reading_allowed = asyncio.Event()
        self.reading_allowed.set()
        self.chunk_delay_s = 0.0  # wait after each chunk of at most 64 KiB
        self.received_headers: list[dict[str, str]] = []
        self.digests: list[bytes] = []
        self.received_bytes = 0
        # Each entry aborts one connection in the middle of a body, once 60,000 bytes have arrived.
        self.pending_aborts: list[str] = []

    async def start(self, port: int = 0) -> ScriptedServer:
        """Listens on this port, or on a free port for 0."""
        listener = listen(port, self._receive_buffer_bytes)
        self._server = await asyncio.start_server(self._serve, sock=listener)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection_number, self.connection_count = self.connection_count, self.connection_count + 1
        self._writers.append(writer)
        try:
            while True:
                _, headers = await read_head(reader)
                self.received_headers.append(headers)
                digest = hashlib.sha1()
                async for chunk in self._body_chunks(reader, headers):
                    digest.update(chunk)
                    self.received_bytes += len(chunk)
                    if self.pending_aborts and self.received_bytes >= 60_000:
                        self.pending_aborts.pop()
                        writer.transport.abort()
                        return
                    await self.reading_allowed.wait()
                    await asyncio.sleep(self.chunk_delay_s)
                self.digests.append(digest.digest())
                writer.write(self.response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.closed_connections.append(connection_number)
            writer.close()

    async def _body_chunks(
        self, reader: asyncio.StreamReader, headers: dict[str, str]
    ) -> AsyncIterator[bytes]:
        if headers.get("transfer-encoding") != "chunked":
            remaining = int(headers.get("content-length", "0"))
            while remaining:
                chunk = await reader.readexactly(min(remaining, 65_536))
                remaining -= len(chunk)
                yield chunk
            return
        while size := int(await reader.readline(), 16):
            yield await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)


def chunk_encoded(body: bytes, size: int, trailer: bytes = b"") -> bytes:
    """Returns a body in chunked encoding, with a chunk extension on each chunk of this size."""
    chunks = [body[offset : offset + size] for offset in range(0, len(body), size)]
    return (
        b"".join(b"%x;x=y\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n" + trailer + b"\r\n"
    )
