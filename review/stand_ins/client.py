"""Clients: each sends one request on a connection, and waits for its answer until it gives up."""

from __future__ import annotations

import asyncio
import secrets
import socket
from dataclasses import dataclass

from stand_ins.record import Record

_READ_BYTES = 64 << 10
_WRITE_WITHIN_S = 8.0  # for a request that nobody reads


@dataclass(slots=True)
class Request:
    """A request, and what its client saw of it; times are those of the record (s)."""

    service_class: str
    timeout_s: float
    request_id: str
    key: str | None = None
    body: bytes = b""
    sent_at: float | None = None  # when its last byte was written; None: not written
    status: int | None = None  # None: no answer began
    answer: bytes | None = None  # the body of a whole answer
    answered_at: float | None = None  # when the last byte of the answer came
    end: str = ""  # how it ended, if without a whole answer

    @property
    def is_answered(self) -> bool:
        """Whether a whole answer came."""
        return self.answered_at is not None

    def encode(self) -> bytes:
        """Returns the request as it is sent."""
        lines = [
            f"{'GET' if self.key is None else 'POST'} /api/{self.request_id[:8]} HTTP/1.1",
            "Host: origin.svc",
            f"Request-Id: {self.request_id}",
            f"Request-Class: {self.service_class}",
            f"Request-Timeout: {self.timeout_s:.3f}",
        ]
        if self.key is not None:
            lines += [f"Content-Length: {len(self.body)}"]
            if self.key:
                lines += [f"Idempotency-Key: {self.key}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + self.body


def new_request(service_class: str, timeout_s: float, effect: str, body: bytes = b"") -> Request:
    """Returns a request of a class with this effect, in the words of the settings."""
    key = {"read_like": None, "idempotency_key": secrets.token_hex(16), "non_idempotent": ""}[effect]
    return Request(service_class, timeout_s, secrets.token_hex(8), key, body)


class Client:
    """One connection to the sidecar."""

    def __init__(self, record: Record, name: str, address: tuple[str, int]) -> None:
        """Connects with the first request."""
        self._record, self._name, self._address = record, name, address
        self._socket: socket.socket | None = None
        self._received = b""

    async def send(self, request: Request, patience_s: float) -> None:
        """Sends a request and reads its answer; gives up `patience_s` after its last byte was written."""
        loop = asyncio.get_running_loop()
        record, request_id = self._record, request.request_id
        try:
            plain = self._socket or await self._connect()
            what = f"{request.service_class} {len(request.body)} bytes"
            record.write(self._name, f"sends    {request_id} {what}")
            await asyncio.wait_for(loop.sock_sendall(plain, request.encode()), _WRITE_WITHIN_S)
            request.sent_at = record.write(self._name, f"has sent {request_id}, waits {request.timeout_s} s")
            await asyncio.wait_for(self._read_answer(plain, request), patience_s)
            request.answered_at = record.write(self._name, f"answer   {request_id} {request.status}")
        except TimeoutError:
            request.end = "the client has given up" if request.sent_at is not None else "never written whole"
        except (OSError, EOFError) as error:
            request.end = f"the connection ended: {error or type(error).__name__}"
        if request.end:
            record.write(self._name, f"NO WHOLE ANSWER {request_id}: {request.end}")
            self.close()

    def close(self) -> None:
        """Closes the connection."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        self._received = b""

    async def _connect(self) -> socket.socket:
        self._socket = plain = socket.socket()
        plain.settimeout(0.0)
        await asyncio.get_running_loop().sock_connect(plain, self._address)
        return plain

    async def _read(self, plain: socket.socket) -> None:
        data = await asyncio.get_running_loop().sock_recv(plain, _READ_BYTES)
        if not data:
            raise EOFError("closed by the sidecar")
        self._received += data

    async def _read_answer(self, plain: socket.socket, request: Request) -> None:
        while b"\r\n\r\n" not in self._received:
            await self._read(plain)
        head, _, self._received = self._received.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        request.status = int(lines[0].split(" ")[1])
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await self._read_chunks(plain)
        else:
            body = await self._read_bytes(plain, int(headers["content-length"]))
        request.answer = body
        if headers.get("connection") == "close":
            self.close()

    async def _read_bytes(self, plain: socket.socket, count: int) -> bytes:
        while len(self._received) < count:
            await self._read(plain)
        data, self._received = self._received[:count], self._received[count:]
        return data

    async def _read_chunks(self, plain: socket.socket) -> bytes:
        parts = []
        while True:
            while b"\r\n" not in self._received:
                await self._read(plain)
            line, _, self._received = self._received.partition(b"\r\n")
            parts.append(await self._read_bytes(plain, int(line, 16)))
            await self._read_bytes(plain, 2)
            if not parts[-1]:
                return b"".join(parts)
