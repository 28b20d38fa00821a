"""Discovery: one list, told to each sidecar at an address of its own, and what goes wrong with it."""

from __future__ import annotations

import asyncio
import json
import random
import re
from enum import Enum, unique

from soak.records import Records, SidecarEvent, Withdrawal, now
from soak.servers import HOST, OrderServer, next_port


@unique
class Mood(Enum):
    """How discovery answers."""

    WELL = "well"
    SILENT = "silent"  # it takes calls and answers none; watches that are open fall silent too
    TURNS_AWAY = "turns away"  # 503
    RESETS = "resets"
    SLOW = "slow"


_SLOW_S = 0.8
_CALL = re.compile(rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? ")


class Catalog:
    """The list and its versions."""

    def __init__(self, servers: list[OrderServer]) -> None:
        self.version = 1
        self.lines = {each.name: each.line for each in servers}
        self._changed: dict[str, tuple[int, dict[str, object]]] = {}
        self.news = asyncio.Condition()

    async def tell(self, server: OrderServer) -> None:
        """Take over a server's line as it is now."""
        self.version += 1
        line = server.line
        self._changed[server.name] = self.version, line
        if server.state == "left":
            self.lines.pop(server.name, None)
        else:
            self.lines[server.name] = line
        async with self.news:
            self.news.notify_all()

    def whole(self) -> dict[str, object]:
        return {"version": self.version, "full": True, "servers": list(self.lines.values())}

    def since(self, version: int) -> dict[str, object]:
        lines = [line for at, line in self._changed.values() if at > version]
        return {"version": self.version, "full": False, "servers": lines}


class Discovery:
    """What one sidecar is told; it can be reached at two addresses, of which one serves."""

    def __init__(self, sidecar: int, catalog: Catalog, records: Records, chance: random.Random) -> None:
        self._sidecar, self._catalog, self._records, self._chance = sidecar, catalog, records, chance
        self.mood = Mood.WELL
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        for _ in range(2):
            self._servers.append(await asyncio.start_server(self._serve, HOST, next_port()))

    def address(self, place: int) -> str:
        """Its first or second address."""
        return f"{HOST}:{self._servers[place].sockets[0].getsockname()[1]}"

    def fall_into(self, mood: Mood) -> None:
        self.mood = mood
        if mood is Mood.RESETS:
            self._records.discovery_resets.append(SidecarEvent(self._sidecar, now()))
            for each in list(self._writers):
                each.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not await self._answer(head, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, RuntimeError):
            pass  # RuntimeError: the connection was aborted while its answer was due
        except asyncio.CancelledError:
            return  # the run is over
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> bool:
        if self.mood is Mood.RESETS:
            writer.transport.abort()
            return False
        if self.mood is Mood.TURNS_AWAY:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return True
        if self.mood is Mood.SLOW:
            await asyncio.sleep(_SLOW_S)
        told = await self._told(head)
        if self.mood is Mood.SILENT:
            return True  # what is due is never written, and the connection stays
        if writer.transport.is_closing():
            return False  # it was reset while the answer was due
        body = json.dumps(told).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self._note(told)
        return True

    async def _told(self, head: bytes) -> dict[str, object]:
        call = _CALL.match(head)
        if call is None or call[1] is None:
            return self._catalog.whole()
        after, wait_s = int(call[1]), int(call[2]) / 1_000
        try:
            async with asyncio.timeout(wait_s):
                async with self._catalog.news:
                    await self._catalog.news.wait_for(lambda: self._catalog.version > after)
        except TimeoutError:
            pass
        return self._catalog.whole() if self._chance.random() < 0.2 else self._catalog.since(after)

    def _note(self, told: dict[str, object]) -> None:
        """Keep what the sidecar knows from now on of servers that may get nothing more."""
        lines = told["servers"]
        assert isinstance(lines, list)
        at = now()
        gone = {each["id"] for each in lines if each["state"] != "active"}
        if told["full"]:
            known = {each.server for each in self._records.withdrawals if each.sidecar == self._sidecar}
            listed = {each["id"] for each in lines}
            gone |= (set(self._catalog._changed) - listed) - known
        self._records.withdrawals += [Withdrawal(self._sidecar, name, at) for name in gone]

    def stop(self) -> None:
        for each in self._servers:
            each.close()
        for writer in list(self._writers):
            writer.transport.abort()
