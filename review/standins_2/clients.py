"""Stand-ins for clients: requests at a steady rate, one at a time on each connection that is kept."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from standins_2.http import encode_request, read_message
from standins_2.record import Record


@dataclass(frozen=True)
class Request:
    """What the requests of one class look like.

    Attributes:
        service_class: The class.
        method: GET, or POST.
        timeout_s: How long the client waits; it closes the connection then.
        has_key: Whether they carry an `Idempotency-Key`.
        body: The body of a POST.
    """

    service_class: str
    method: str
    timeout_s: float
    has_key: bool = False
    body: bytes = b""

    def encode(self, request_id: str) -> bytes:
        """Returns a request with this id as it is sent."""
        headers = {
            "Host": "origin.svc",
            "Request-Id": request_id,
            "Request-Class": self.service_class,
            "Tenant": "sfax-medina",
            "Request-Timeout": f"{self.timeout_s:.3f}",
        }
        if self.has_key:
            headers["Idempotency-Key"] = request_id * 2
        return encode_request(self.method, f"/api/{request_id}", headers, self.body)


class PacedClients:
    """Sends requests at a steady rate, on a connection that is at rest or on a new one."""

    def __init__(self, record: Record, address: tuple[str, int], request: Request) -> None:
        """Sends requests like `request` to `address`.

        Attributes:
            answers: The status and the body of each answer, by the request's id.
        """
        self._record = record
        self._address = address
        self._request = request
        self._resting: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self._count = 0
        self.answers: dict[str, tuple[int, bytes]] = {}

    async def run(self, duration_s: float, per_s: float) -> None:
        """Sends requests for some time, and waits for their ends."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        tasks = []
        for number in range(max(int(duration_s * per_s), 0)):
            await asyncio.sleep(max(started_at + number / per_s - loop.time(), 0.0))
            tasks.append(asyncio.create_task(self._send_one()))
        await asyncio.gather(*tasks)

    async def _send_one(self) -> None:
        self._count += 1
        request_id = f"{self._count:016x}"
        try:
            async with asyncio.timeout(self._request.timeout_s):
                await self._exchange(request_id)
        except TimeoutError:
            self._record.add("given-up", request_id)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self._record.add("broken-off", request_id, repr(error))

    async def _exchange(self, request_id: str) -> None:
        pair = self._pop_resting() or await asyncio.open_connection(*self._address)
        reader, writer = pair
        is_reusable = False
        try:
            self._record.add("sent", request_id)
            writer.write(self._request.encode(request_id))
            answer = await read_message(reader)
            self._record.add("answered", request_id, answer.status)
            self.answers[request_id] = (answer.status, answer.body)
            is_reusable = answer.headers.get("connection", "").lower() != "close"
        finally:
            if is_reusable:
                self._resting.append(pair)
            else:
                writer.close()

    def _pop_resting(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        while self._resting:
            reader, writer = self._resting.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return None
