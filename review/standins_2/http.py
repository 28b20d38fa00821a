"""Reads and writes HTTP/1.1 messages on asyncio streams; strict enough for peers that send sound messages."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or a response; header names are in lower case.

    Attributes:
        start: The parts of the first line.
        received_at: When its last byte was received, in the event loop's time (s).
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    received_at: float = 0.0

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message with its body.

    Raises:
        asyncio.IncompleteReadError: The connection ended before the end of the message.
        ConnectionError: The connection was reset.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    message = Message(first.split(" ", 2))
    for line in lines:
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    if "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    elif message.headers.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    message.received_at = asyncio.get_running_loop().time()
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return body


def encode_request(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a request as it is sent; a body, or a POST without one, gets its length."""
    if body or method == "POST":
        headers = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode("latin-1") + body


def encode_response(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Returns a response with a length as it is sent."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
    head = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body
