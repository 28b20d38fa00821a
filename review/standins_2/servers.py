"""A stand-in for an order server, which runs each whole request and answers it as its case tells it to."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from standins_2.http import Message, encode_response, read_message
from standins_2.record import Record

HOST = "127.0.0.1"
Answer = Callable[["OrderServer", Message, asyncio.StreamWriter], Awaitable[None]]


def body_for(request: Message) -> bytes:
    """Returns the body of the answer made for a request: it names the request's id."""
    return f"made for {request.headers['request-id']}\n".encode()


async def answer_at_once(_server: OrderServer, request: Message, writer: asyncio.StreamWriter) -> None:
    """Answers 200 after 20 ms of work."""
    await asyncio.sleep(0.02)
    writer.write(encode_response(200, body_for(request)))


class OrderServer:
    """One order server on an address of its own.

    Attributes:
        answer: What it does with a request whose last byte has come.
        runs: The requests that it has begun, with the time of the record.
    """

    def __init__(self, name: str, record: Record, answer: Answer = answer_at_once) -> None:
        """Creates a server that does not listen yet."""
        self.name = name
        self.answer = answer
        self.runs: list[tuple[float, Message]] = []
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Ends the server and its connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                request_id = request.headers.get("request-id", "-")
                timeout = request.headers.get("request-timeout", "-")
                at = self._record.add("run", self.name, request_id, f"timeout={timeout}")
                self.runs.append((at, request))
                await self.answer(self, request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
