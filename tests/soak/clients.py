"""The applications: open-loop clients of each sidecar, some of which disconnect early or send slowly."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import struct
from dataclasses import dataclass

from soak.records import ClientAttempt, Idempotency, Records, RequestClass, now

_RESET = struct.pack("ii", 1, 0)
_SMALL_BODY_BYTES = 300
_MAX_SEND_PAUSE_S = 0.3  # of a client that sends slowly
_LARGE_BODY_BYTES = 150_000  # larger than any buffer on the way
_RESPONSE_WAIT_S = 1.0  # beyond the timeout of a request
_request_numbers = itertools.count(1)


@dataclass(slots=True)
class ClientBehavior:
    """Probabilities from 0 to 1, for each request of a client."""

    disconnects: float = 0.0  # before the response, by a reset or in order
    large_body: float = 0.02
    large_response: float = 0.02
    slow_body: float = 0.0


@dataclass(slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    requests: int = 0


class Application:
    """The clients of one sidecar; owns their connections and the tasks of their requests."""

    def __init__(
        self,
        sidecar: int,
        address: tuple[str, int],
        classes: list[RequestClass],
        records: Records,
        chance: random.Random,
    ) -> None:
        self.sidecar, self.address, self.classes = sidecar, address, classes
        self.behavior = ClientBehavior()
        self.may_connect = True  # False while the process is being replaced
        self._records, self._chance = records, chance
        self._idle: list[_Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, requests_per_s: float) -> None:
        """Send `requests_per_s` requests in the mean, at random times, until cancelled."""
        while True:
            await asyncio.sleep(self._chance.expovariate(requests_per_s))
            self.begin(self._chance.choice(self.classes))

    def begin(self, request_class: RequestClass) -> asyncio.Task[None]:
        """Send a request; the task ends with its response or with its connection."""
        task = asyncio.get_running_loop().create_task(self._request(request_class))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def settle(self) -> None:
        """Wait until all requests have ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _request(self, request_class: RequestClass) -> None:
        request_id = f"{next(_request_numbers):016x}"
        if await self._send_once(request_id, request_class, is_retry=False):
            await self._send_once(request_id, request_class, is_retry=True)

    async def _connect(self, *, is_new: bool) -> _Connection | None:
        while self._idle and not is_new:
            connection = self._idle.pop()
            if not connection.reader.at_eof() and not connection.writer.transport.is_closing():
                return connection
            connection.writer.close()
        if not self.may_connect:
            return None
        try:
            return _Connection(*await asyncio.open_connection(*self.address))
        except OSError:
            return None

    async def _send_once(self, request_id: str, request_class: RequestClass, *, is_retry: bool) -> bool:
        """Send a request once; True if its connection ended between requests, so that it is retried."""
        connection = await self._connect(is_new=is_retry)
        if connection is None:
            return False
        timeout_s = request_class.deadline_s * self._chance.uniform(0.4, 1.0)
        attempt = ClientAttempt(request_id, request_class, self.sidecar, timeout_s, connection.requests == 0)
        connection.requests += 1
        self._records.client_attempts.append(attempt)
        try:
            await self._send(connection, attempt)
            await self._receive(connection, attempt)
            return False
        except (OSError, asyncio.IncompleteReadError, RuntimeError):  # RuntimeError: closed during the write
            attempt.ended_at = attempt.ended_at or now()
            connection.writer.close()
            return self._is_retried(attempt, connection, is_retry=is_retry)

    def _is_retried(self, attempt: ClientAttempt, connection: _Connection, *, is_retry: bool) -> bool:
        attempt.is_retried = (
            not is_retry
            and connection.requests > 1
            and not attempt.has_partial_response
            and not attempt.disconnected_at
        )
        return attempt.is_retried

    async def _send(self, connection: _Connection, attempt: ClientAttempt) -> None:
        data = self._encode_request(attempt)
        if self._chance.random() < self.behavior.slow_body:
            middle = self._chance.randrange(1, len(data))
            connection.writer.write(data[:middle])
            await asyncio.sleep(self._chance.uniform(0.0, _MAX_SEND_PAUSE_S))
            data = data[middle:]
        connection.writer.write(data)
        await connection.writer.drain()
        attempt.sent_at = now()

    def _encode_request(self, attempt: ClientAttempt) -> bytes:
        is_idempotent = attempt.request_class.idempotency is Idempotency.IDEMPOTENT
        body = b"" if is_idempotent else self._choose_body()
        target = "large" if self._chance.random() < self.behavior.large_response else "small"
        has_key = attempt.request_class.idempotency is Idempotency.WITH_KEY
        headers = {
            "Host": "origin.svc",
            "Request-Id": attempt.request_id,
            "Request-Class": attempt.request_class.name,
            "Request-Timeout": f"{attempt.timeout_s:.3f}",
            "Idempotency-Key": attempt.request_id if has_key else "",
            "Content-Length": "" if is_idempotent else str(len(body)),
        }
        method = "GET" if is_idempotent else "POST"
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value)
        return f"{method} /api/{attempt.request_id}/{target} HTTP/1.1\r\n{lines}\r\n".encode() + body

    def _choose_body(self) -> bytes:
        if self._chance.random() < self.behavior.large_body:
            return b"b" * _LARGE_BODY_BYTES
        return b"b" * self._chance.choice([0, _SMALL_BODY_BYTES])

    async def _receive(self, connection: _Connection, attempt: ClientAttempt) -> None:
        """Receive the response, or disconnect early or after the timeout."""
        disconnects_in_s = None
        if self._chance.random() < self.behavior.disconnects:
            disconnects_in_s = self._chance.uniform(0.0, attempt.timeout_s)
        try:
            async with asyncio.timeout(disconnects_in_s or attempt.timeout_s + _RESPONSE_WAIT_S):
                head = await connection.reader.readuntil(b"\r\n\r\n")
                attempt.has_partial_response = True
                body = await self._read_body(connection.reader, head)
        except TimeoutError:
            self._disconnect(connection, attempt)
            return
        attempt.ended_at = now()
        attempt.status = int(head.split(b" ", 2)[1])
        if attempt.status == 200:
            attempt.is_own_response = body.startswith(attempt.request_id.encode() + b"\n")
        if b"connection: close" in head.lower():
            connection.writer.close()
        else:
            self._idle.append(connection)

    @staticmethod
    async def _read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return await reader.readexactly(int(line.partition(b":")[2]))
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return body

    def _disconnect(self, connection: _Connection, attempt: ClientAttempt) -> None:
        if self._chance.random() < 0.5:
            own = connection.writer.get_extra_info("socket")
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            connection.writer.transport.abort()
        else:
            connection.writer.close()
        attempt.disconnected_at = now()

    async def send_incomplete(self, count: int, duration_s: float) -> None:
        """Open connections that send half a request or nothing; close them after `duration_s`."""
        opened = []
        for number in range(count):
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                break
            if number % 2:
                writer.write(b"GET /api/half HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: ")
            opened.append((reader, writer))
        await asyncio.sleep(duration_s)
        for _, writer in opened:
            writer.close()
