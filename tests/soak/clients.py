"""The applications: open-loop clients of one sidecar, well behaved and not."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from dataclasses import dataclass
from itertools import count

from soak.records import ClientAttempt, Idempotency, Records, RequestClass, now

_RESET = struct.pack("ii", 1, 0)
_LARGE = 150_000  # bytes of a body that passes through
_WAITS_S = 1.0  # beyond its time, for an answer
_idents = count(1)


@dataclass(slots=True)
class Habits:
    """Chances from 0 to 1, for each request of a client."""

    leaves: float = 0.0  # closes early, by a reset or in order
    large_body: float = 0.02
    large_answer: float = 0.02
    slow_body: float = 0.0


@dataclass(slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    requests: int = 0


class Application:
    """One sidecar's clients."""

    def __init__(
        self,
        sidecar: int,
        address: tuple[str, int],
        classes: list[RequestClass],
        records: Records,
        chance: random.Random,
    ) -> None:
        self.sidecar, self.address, self.classes = sidecar, address, classes
        self.habits = Habits()
        self.may_connect = True  # not while the process is being replaced
        self._records, self._chance = records, chance
        self._resting: list[_Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, per_s: float) -> None:
        """Begin requests at random, so many a second in the mean, until cancelled."""
        while True:
            await asyncio.sleep(self._chance.expovariate(per_s))
            self.begin(self._chance.choice(self.classes))

    def begin(self, request_class: RequestClass) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(self._ask(request_class))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def settle(self) -> None:
        """Wait for all requests that were begun."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _ask(self, request_class: RequestClass) -> None:
        ident = f"{next(_idents):016x}"
        again = await self._try(ident, request_class, is_second=False)
        if again:
            await self._try(ident, request_class, is_second=True)

    async def _connection(self, is_fresh: bool) -> _Connection | None:
        while self._resting and not is_fresh:
            resting = self._resting.pop()
            if not resting.reader.at_eof() and not resting.writer.transport.is_closing():
                return resting
            resting.writer.close()
        if not self.may_connect:
            return None
        try:
            return _Connection(*await asyncio.open_connection(*self.address))
        except OSError:
            return None

    async def _try(self, ident: str, request_class: RequestClass, *, is_second: bool) -> bool:
        """Ask once; say whether the connection ended between requests, so that the same is asked again."""
        connection = await self._connection(is_second)
        if connection is None:
            return False
        timeout_s = request_class.deadline_s * self._chance.uniform(0.4, 1.0)
        attempt = ClientAttempt(ident, request_class, self.sidecar, timeout_s, connection.requests == 0)
        connection.requests += 1
        self._records.client_attempts.append(attempt)
        try:
            await self._send(connection, attempt)
            return await self._await(connection, attempt, is_second=is_second)
        except (OSError, asyncio.IncompleteReadError, RuntimeError):  # RuntimeError: closed as it was written
            attempt.ended_at = attempt.ended_at or now()
            connection.writer.close()
            return self._asks_again(attempt, connection, is_second=is_second)

    def _asks_again(self, attempt: ClientAttempt, connection: _Connection, *, is_second: bool) -> bool:
        again = (
            not is_second
            and connection.requests > 1
            and not attempt.has_partial_response
            and not attempt.disconnected_at
        )
        attempt.is_retried = again
        return again

    async def _send(self, connection: _Connection, attempt: ClientAttempt) -> None:
        chance, request_class = self._chance, attempt.request_class
        is_large = (
            request_class.idempotency is not Idempotency.IDEMPOTENT
            and chance.random() < self.habits.large_body
        )
        body = (
            b""
            if request_class.idempotency is Idempotency.IDEMPOTENT
            else b"b" * (_LARGE if is_large else chance.choice([0, 300]))
        )
        target = "large" if chance.random() < self.habits.large_answer else "small"
        headers = {
            "Host": "origin.svc",
            "Request-Id": attempt.request_id,
            "Request-Class": request_class.name,
            "Request-Timeout": f"{attempt.timeout_s:.3f}",
            "Idempotency-Key": attempt.request_id
            if request_class.idempotency is Idempotency.WITH_KEY
            else "",
            "Content-Length": "" if request_class.idempotency is Idempotency.IDEMPOTENT else str(len(body)),
        }
        method = "GET" if request_class.idempotency is Idempotency.IDEMPOTENT else "POST"
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value)
        raw = f"{method} /api/{attempt.request_id}/{target} HTTP/1.1\r\n{lines}\r\n".encode() + body
        if chance.random() < self.habits.slow_body:
            middle = chance.randrange(1, len(raw))
            connection.writer.write(raw[:middle])
            await asyncio.sleep(chance.uniform(0.0, 0.3))
            raw = raw[middle:]
        connection.writer.write(raw)
        await connection.writer.drain()
        attempt.sent_at = now()

    async def _await(self, connection: _Connection, attempt: ClientAttempt, *, is_second: bool) -> bool:
        leaves_in_s = None
        if self._chance.random() < self.habits.leaves:
            leaves_in_s = self._chance.uniform(0.0, attempt.timeout_s)
        try:
            async with asyncio.timeout(leaves_in_s or attempt.timeout_s + _WAITS_S):
                head = await connection.reader.readuntil(b"\r\n\r\n")
                attempt.has_partial_response = True
                body = await self._body(connection.reader, head)
        except TimeoutError:
            self._leave(connection, attempt)
            return False
        attempt.ended_at = now()
        attempt.status = int(head.split(b" ", 2)[1])
        if attempt.status == 200:
            attempt.is_own_response = body.startswith(attempt.request_id.encode() + b"\n")
        if b"connection: close" in head.lower():
            connection.writer.close()
        else:
            self._resting.append(connection)
        return False

    @staticmethod
    async def _body(reader: asyncio.StreamReader, head: bytes) -> bytes:
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return await reader.readexactly(int(line.partition(b":")[2]))
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return body

    def _leave(self, connection: _Connection, attempt: ClientAttempt) -> None:
        if self._chance.random() < 0.5:
            own = connection.writer.get_extra_info("socket")
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            connection.writer.transport.abort()
        else:
            connection.writer.close()
        attempt.disconnected_at = now()

    async def stop_in_the_middle(self, many: int, for_s: float) -> None:
        """Open connections that send half a request, or nothing, and stay."""
        opened = []
        for number in range(many):
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                break
            if number % 2:
                writer.write(b"GET /api/half HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: ")
            opened.append((reader, writer))
        await asyncio.sleep(for_s)
        for _, writer in opened:
            writer.close()
