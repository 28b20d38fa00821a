"""Open-loop load generators, some of whose clients disconnect early or send slowly."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass

from soak.records import ClientAttempt, Idempotency, IdReuse, Records, RequestClass, now

_LINGER_ZERO = struct.pack("ii", 1, 0)  # With this SO_LINGER value, closing a socket sends RST.
_SMALL_BODY_BYTES = 300
_READ_BYTES = 65_536
_MAX_ID_BYTES = 64
_MAX_SEND_PAUSE_S = 0.3  # Longest pause of a client that sends a request in two parts.
_LARGE_BODY_BYTES = 150_000  # Larger than any buffer between client and server.
_RESPONSE_GRACE_S = 1.0  # Time for which a client waits beyond the timeout of its request.
_MAX_REUSE_DELAY_S = 0.1  # Longest time after which an id is used again.
_CROWD_INTERVAL_S = 1.0  # Mean time between two requests of one client of a crowd.
_FLOOD_HEAD = b"POST /api/flood HTTP/1.1\r\nHost: origin.svc\r\n"
# What flooding clients send: a prefix, what follows it repeatedly, and how often.
_REQUEST_FLOODS = [
    (_FLOOD_HEAD + b"X-Value: ", b"x" * 65_536, 16),
    (_FLOOD_HEAD, b"a:\r\n" * 900, 16),
    (_FLOOD_HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Trailer: ", b"x" * 65_536, 16),
    (b"", b"GET /_health HTTP/1.1\r\n\r\n" * 1_000, 1),
    (b"", b"GET /_health HTTP/1.1\r\n\r\n" * 1_000, 1_000),
    (_FLOOD_HEAD + b"Content-Length: 60000\r\n\r\n", b"x" * 900, 60),
]
_request_numbers = itertools.count(1)


@dataclass(slots=True)
class ClientBehavior:
    """Probabilities, from 0 to 1, of what a client does in each request."""

    disconnect_probability: float = 0.0  # Probability of disconnecting early, by RST or FIN.
    large_body_probability: float = 0.02  # Probability of a body of `_LARGE_BODY_BYTES`.
    large_response_probability: float = 0.02  # Probability of requesting a large response.
    slow_request_probability: float = 0.0  # Probability of sending in two parts, with a pause.


@dataclass(slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    request_count: int = 0
    is_shared: bool = True  # False if it belongs to one client of a crowd.

    @property
    def is_usable(self) -> bool:
        return not self.reader.at_eof() and not self.writer.transport.is_closing()


class LoadGenerator:
    """Sends the requests of one sidecar's clients; owns the connections and the tasks of the requests."""

    def __init__(
        self,
        sidecar_number: int,
        address: tuple[str, int],
        classes: list[RequestClass],
        records: Records,
        rng: random.Random,
    ) -> None:
        self.sidecar_number, self.address, self.classes = sidecar_number, address, classes
        self.behavior = ClientBehavior()
        self.may_connect = True  # False while the process of the sidecar is being replaced.
        self._records, self._rng = records, rng
        self._idle: list[_Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, requests_per_s: float) -> None:
        """Sends requests as a Poisson process with the given mean rate, until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(requests_per_s))
            self.start_request(self._rng.choice(self.classes))

    def start_request(self, request_class: RequestClass) -> asyncio.Task[None]:
        """Starts a request; the returned task ends when its response is complete or its connection ends."""
        task = asyncio.get_running_loop().create_task(self._run_request(request_class))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait_for_requests(self) -> None:
        """Waits until all requests have ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _run_request(self, request_class: RequestClass) -> None:
        request_id = f"{next(_request_numbers):016x}"
        if await self._send_attempt(request_id, request_class, is_retry=False):
            await self._send_attempt(request_id, request_class, is_retry=True)

    async def _acquire_connection(self, *, is_new: bool) -> _Connection | None:
        while self._idle and not is_new:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            connection.writer.close()
        return await self._connect()

    async def _connect(self, *, is_shared: bool = True) -> _Connection | None:
        if not self.may_connect:
            return None
        try:
            return _Connection(*await asyncio.open_connection(*self.address), is_shared=is_shared)
        except OSError:
            return None

    async def _send_attempt(self, request_id: str, request_class: RequestClass, *, is_retry: bool) -> bool:
        """Sends a request once; returns True if it is to be retried on a new connection."""
        connection = await self._acquire_connection(is_new=is_retry)
        if connection is None:
            return False
        attempt = self._new_attempt(connection, request_id, request_class)
        return await self._send_on(connection, attempt, is_retry=is_retry)

    def _new_attempt(
        self, connection: _Connection, request_id: str, request_class: RequestClass
    ) -> ClientAttempt:
        timeout_s = request_class.deadline_s * self._rng.uniform(0.4, 1.0)
        attempt = ClientAttempt(
            request_id, request_class, self.sidecar_number, timeout_s, connection.request_count == 0
        )
        connection.request_count += 1
        self._records.client_attempts.append(attempt)
        return attempt

    async def _send_on(self, connection: _Connection, attempt: ClientAttempt, *, is_retry: bool) -> bool:
        attempt.started_at = now()
        try:
            await self._write_request(connection, attempt)
            await self._receive_response(connection, attempt)
            return False
        # RuntimeError means that the connection was closed during the write.
        except (OSError, asyncio.IncompleteReadError, RuntimeError):
            attempt.ended_at = attempt.ended_at or now()
            connection.writer.close()
            return self._decide_retry(attempt, connection, is_retry=is_retry)

    def _decide_retry(self, attempt: ClientAttempt, connection: _Connection, *, is_retry: bool) -> bool:
        """Decides whether the client retries: once, if a reused connection ended without a response."""
        attempt.is_retried = (
            not is_retry
            and connection.request_count > 1
            and not attempt.has_partial_response
            and not attempt.disconnected_at
        )
        return attempt.is_retried

    async def _write_request(self, connection: _Connection, attempt: ClientAttempt) -> None:
        data = self._encode_request(attempt)
        if self._rng.random() < self.behavior.slow_request_probability:
            split_at = self._rng.randrange(1, len(data))
            connection.writer.write(data[:split_at])
            await asyncio.sleep(self._rng.uniform(0.0, _MAX_SEND_PAUSE_S))
            data = data[split_at:]
        connection.writer.write(data)
        await connection.writer.drain()
        attempt.sent_at = now()

    def _encode_request(self, attempt: ClientAttempt) -> bytes:
        is_large = self._rng.random() < self.behavior.large_response_probability
        body = b"" if attempt.request_class.idempotency is Idempotency.IDEMPOTENT else self._sample_body()
        return _encode(attempt, "slow" if attempt.is_slow else "large" if is_large else "small", body)

    def _sample_body(self) -> bytes:
        if self._rng.random() < self.behavior.large_body_probability:
            return b"b" * _LARGE_BODY_BYTES
        return b"b" * self._rng.choice([0, _SMALL_BODY_BYTES])

    async def _receive_response(self, connection: _Connection, attempt: ClientAttempt) -> None:
        """Receives the response, or disconnects early or after the timeout."""
        disconnect_delay_s = None
        if self._rng.random() < self.behavior.disconnect_probability:
            disconnect_delay_s = self._rng.uniform(0.0, attempt.timeout_s)
        try:
            async with asyncio.timeout(disconnect_delay_s or attempt.timeout_s + _RESPONSE_GRACE_S):
                response_header = await connection.reader.readuntil(b"\r\n\r\n")
                attempt.has_partial_response = True
                body = await self._read_body(connection.reader, response_header)
        except TimeoutError:
            self._disconnect(connection, attempt)
            return
        attempt.ended_at = now()
        attempt.status = int(response_header.split(b" ", 2)[1])
        if attempt.status == 200:
            attempt.received_id = body.partition(b"\n")[0][:_MAX_ID_BYTES].decode("latin-1")
            attempt.is_own_response = attempt.received_id == attempt.request_id
        if b"connection: close" in response_header.lower():
            connection.writer.close()
        elif connection.is_shared:
            self._idle.append(connection)

    @staticmethod
    async def _read_body(reader: asyncio.StreamReader, response_header: bytes) -> bytes:
        for header_line in response_header.lower().split(b"\r\n"):
            if header_line.startswith(b"content-length:"):
                return await reader.readexactly(int(header_line.partition(b":")[2]))
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return body

    def _disconnect(self, connection: _Connection, attempt: ClientAttempt) -> None:
        if self._rng.random() < 0.5:
            sock = connection.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            connection.writer.transport.abort()
        else:
            connection.writer.close()
        attempt.disconnected_at = now()

    async def reuse_ids(self, duration_s: float) -> None:
        """Sends slow requests, and soon after each another one with its id on a new connection."""
        ends_at = now() + duration_s
        reuses = []
        while now() < ends_at:
            reuses.append(asyncio.ensure_future(self._reuse_id()))
            await asyncio.sleep(self._rng.uniform(0.0, _MAX_REUSE_DELAY_S))
        await asyncio.gather(*reuses)

    async def _reuse_id(self) -> None:
        connection = await self._acquire_connection(is_new=False)
        if connection is None:
            return
        request_id, request_class = f"{next(_request_numbers):016x}", self._rng.choice(self.classes)
        original = self._new_attempt(connection, request_id, request_class)
        original.is_slow = True
        sending = asyncio.ensure_future(self._send_on(connection, original, is_retry=False))
        await asyncio.sleep(self._rng.uniform(0.0, _MAX_REUSE_DELAY_S))
        if self._rng.random() < 0.5 and not sending.done() and connection.is_usable:
            self._disconnect(connection, original)
        await self._send_reuse(original)
        if await sending:
            await self._send_attempt(request_id, request_class, is_retry=True)

    async def _send_reuse(self, original: ClientAttempt) -> None:
        reuse = IdReuse(original)
        connection = await self._connect(is_shared=False)
        if connection is None:
            return
        self._records.id_reuses.append(reuse)
        try:
            async with asyncio.timeout(original.timeout_s + _RESPONSE_GRACE_S):
                connection.writer.write(_encode(original, "reused", b""))
                reuse.sent_at = now()
                response_header = await connection.reader.readuntil(b"\r\n\r\n")
                await self._read_body(connection.reader, response_header)
                reuse.status = int(response_header.split(b" ", 2)[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        reuse.ended_at = now()
        connection.writer.close()

    async def run_crowd(self, count: int, duration_s: float) -> None:
        """Runs clients with a connection each, which they use until the sidecar closes it."""
        ends_at = now() + duration_s
        await asyncio.gather(*(self._run_crowd_client(ends_at) for _ in range(count)))

    async def _run_crowd_client(self, ends_at: float) -> None:
        connection: _Connection | None = None
        while now() < ends_at:
            await asyncio.sleep(self._rng.expovariate(1.0 / _CROWD_INTERVAL_S))
            if connection is None or not connection.is_usable:
                connection = await self._connect(is_shared=False)
            if connection is None:
                continue
            request_id = f"{next(_request_numbers):016x}"
            request_class = self._rng.choice(self.classes)
            attempt = self._new_attempt(connection, request_id, request_class)
            if await self._send_on(connection, attempt, is_retry=False):
                await self._send_attempt(request_id, request_class, is_retry=True)
        if connection is not None:
            connection.writer.close()

    async def send_floods(self, count: int, duration_s: float) -> None:
        """Opens connections that send requests without end or with very many parts."""
        await asyncio.gather(*(self._send_flood(duration_s) for _ in range(count)))

    async def _send_flood(self, duration_s: float) -> None:
        prefix, repeated, count = self._rng.choice(_REQUEST_FLOODS)
        ends_at = now() + duration_s
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return
        discarding = asyncio.ensure_future(_discard(reader))
        try:
            writer.write(prefix)
            for _ in range(count):
                writer.write(repeated)
                async with asyncio.timeout(max(ends_at - now(), 0.0)):
                    await writer.drain()
            await asyncio.sleep(max(ends_at - now(), 0.0))
        except (OSError, TimeoutError, RuntimeError):
            pass
        finally:
            discarding.cancel()
            writer.close()

    async def send_incomplete_requests(self, count: int, duration_s: float) -> None:
        """Opens connections that send half a request or nothing, and closes them after `duration_s`."""
        connections = []
        for number in range(count):
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                break
            if number % 2:
                writer.write(b"GET /api/half HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: ")
            connections.append((reader, writer))
        await asyncio.sleep(duration_s)
        for _, writer in connections:
            writer.close()


def _encode(attempt: ClientAttempt, target: str, body: bytes) -> bytes:
    is_idempotent = attempt.request_class.idempotency is Idempotency.IDEMPOTENT
    has_key = attempt.request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
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


async def _discard(reader: asyncio.StreamReader) -> None:
    with suppress(OSError):
        while await reader.read(_READ_BYTES):
            pass
