"""Bodies of any size, and a server that reads them as slowly as a test wants."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import AsyncIterator

from loopback import OK_RESPONSE, ScriptedServer, read_head


def pseudorandom_bytes(size: int) -> bytes:
    """Returns bytes that differ by size and hardly compress."""
    return hashlib.shake_128(b"%d" % size).digest(size)


class BodyDigestServer(ScriptedServer):
    """Reads requests in either framing, as slowly as it is let, and retains a digest of each body."""

    def __init__(self, answer: bytes = OK_RESPONSE) -> None:
        """Reads on until `reading_allowed` is cleared."""
        super().__init__(None)
        self.response = answer
        self.reading_allowed = asyncio.Event()
        self.reading_allowed.set()
        self.received_headers: list[dict[str, str]] = []
        self.digests: list[bytes] = []
        self.received_bytes = 0
        self.pending_aborts: list[str] = []  # connections still to be cut off in the middle of a body

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        try:
            while True:
                _, headers = await read_head(reader)
                self.received_headers.append(headers)
                digest = hashlib.sha1()
                async for piece in self._pieces(reader, headers):
                    digest.update(piece)
                    self.received_bytes += len(piece)
                    if self.pending_aborts and self.received_bytes >= 60_000:
                        self.pending_aborts.pop()
                        writer.transport.abort()
                        return
                    await self.reading_allowed.wait()
                self.digests.append(digest.digest())
                writer.write(self.response)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _pieces(self, reader: asyncio.StreamReader, headers: dict[str, str]) -> AsyncIterator[bytes]:
        if headers.get("transfer-encoding") != "chunked":
            left = int(headers.get("content-length", "0"))
            while left:
                piece = await reader.readexactly(min(left, 65_536))
                left -= len(piece)
                yield piece
            return
        while size := int(await reader.readline(), 16):
            yield await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)


def chunk_encoded(body: bytes, size: int, trailer: bytes = b"") -> bytes:
    """Returns the chunked form of a body, in chunks of this size with an extension each."""
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x;x=y\r\n%s\r\n" % (len(each), each) for each in pieces) + b"0\r\n" + trailer + b"\r\n"
