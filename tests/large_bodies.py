"""Bodies of any size, and a server that reads them as slowly as a test wants."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import AsyncIterator

from loopback import OK, ScriptedServer, read_head


def pattern(size: int) -> bytes:
    """Returns bytes that differ by size and hardly compress."""
    return hashlib.shake_128(b"%d" % size).digest(size)


class SlowReader(ScriptedServer):
    """Reads requests in either framing, as slowly as it is let, and retains a digest of each body."""

    def __init__(self, answer: bytes = OK) -> None:
        """Reads on until `go_on` is cleared."""
        super().__init__(None)
        self.answer = answer
        self.go_on = asyncio.Event()
        self.go_on.set()
        self.heads: list[dict[str, str]] = []
        self.digests: list[bytes] = []
        self.got = 0
        self.cuts: list[str] = []  # connections still to be cut off in the middle of a body

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        try:
            while True:
                _, headers = await read_head(reader)
                self.heads.append(headers)
                digest = hashlib.sha1()
                async for piece in self._pieces(reader, headers):
                    digest.update(piece)
                    self.got += len(piece)
                    if self.cuts and self.got >= 60_000:
                        self.cuts.pop()
                        writer.transport.abort()
                        return
                    await self.go_on.wait()
                self.digests.append(digest.digest())
                writer.write(self.answer)
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


def chunked(body: bytes, size: int, trailer: bytes = b"") -> bytes:
    """Returns the chunked form of a body, in chunks of this size with an extension each."""
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    return b"".join(b"%x;x=y\r\n%s\r\n" % (len(each), each) for each in pieces) + b"0\r\n" + trailer + b"\r\n"
