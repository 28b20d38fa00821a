"""Discovery: one endpoint list, served to each sidecar at addresses of its own, and the faults of it."""

from __future__ import annotations

import asyncio
import json
import random
import re
from enum import Enum, unique

from soak.records import Records, SidecarEvent, Withdrawal, now
from soak.servers import HOST, OrderServer, next_port


@unique
class DiscoveryFault(Enum):
    """What discovery does in place of a normal response."""

    UNRESPONSIVE = "unresponsive"  # accepts requests and responds to none, open long polls included
    OVERLOADED = "overloaded"  # 503
    RESETS = "resets"
    SLOW = "slow"


_SLOW_RESPONSE_S = 0.8
_POLL = re.compile(rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? ")


class Catalog:
    """The endpoint list and its versions."""

    def __init__(self, servers: list[OrderServer]) -> None:
        self.version = 1
        self.lines = {server.name: server.line for server in servers}
        self._changes: dict[str, tuple[int, dict[str, object]]] = {}
        self.changed = asyncio.Condition()

    async def update(self, server: OrderServer) -> None:
        """Publish the entry of a server as it is now."""
        self.version += 1
        line = server.line
        self._changes[server.name] = self.version, line
        if server.state == "left":
            self.lines.pop(server.name, None)
        else:
            self.lines[server.name] = line
        async with self.changed:
            self.changed.notify_all()

    def full_list(self) -> dict[str, object]:
        """The complete endpoint list."""
        return {"version": self.version, "full": True, "servers": list(self.lines.values())}

    def changed_servers(self) -> set[str]:
        """The names of all servers whose entry was ever updated."""
        return set(self._changes)

    def changes_since(self, version: int) -> dict[str, object]:
        """The entries that changed after a version."""
        lines = [line for at, line in self._changes.values() if at > version]
        return {"version": self.version, "full": False, "servers": lines}


class Discovery:
    """The discovery of one sidecar, at two addresses; owns its listeners and connections."""

    def __init__(self, sidecar: int, catalog: Catalog, records: Records, chance: random.Random) -> None:
        self._sidecar, self._catalog, self._records, self._chance = sidecar, catalog, records, chance
        self._fault: DiscoveryFault | None = None
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on both addresses."""
        for _ in range(2):
            self._servers.append(await asyncio.start_server(self._serve, HOST, next_port()))

    def address(self, index: int) -> str:
        """Its first or second address."""
        return f"{HOST}:{self._servers[index].sockets[0].getsockname()[1]}"

    def set_fault(self, fault: DiscoveryFault | None) -> None:
        """Begin a fault, or end it with None; resets break the connections that are open."""
        self._fault = fault
        if fault is DiscoveryFault.RESETS:
            self._records.discovery_resets.append(SidecarEvent(self._sidecar, now()))
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not await self._respond(head, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, RuntimeError):
            pass  # RuntimeError: the connection was aborted before the response
        except asyncio.CancelledError:
            return  # the run is over
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(self, head: bytes, writer: asyncio.StreamWriter) -> bool:
        if self._fault is DiscoveryFault.RESETS:
            writer.transport.abort()
            return False
        if self._fault is DiscoveryFault.OVERLOADED:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return True
        if self._fault is DiscoveryFault.SLOW:
            await asyncio.sleep(_SLOW_RESPONSE_S)
        endpoint_list = await self._list_for(head)
        if self._fault is DiscoveryFault.UNRESPONSIVE:
            return True  # the response is never written, and the connection stays open
        if writer.transport.is_closing():
            return False  # it was reset before the response
        body = json.dumps(endpoint_list).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self._record_withdrawals(endpoint_list)
        return True

    async def _list_for(self, head: bytes) -> dict[str, object]:
        poll = _POLL.match(head)
        if poll is None or poll[1] is None:
            return self._catalog.full_list()
        after, wait_s = int(poll[1]), int(poll[2]) / 1_000
        try:
            async with asyncio.timeout(wait_s):
                async with self._catalog.changed:
                    await self._catalog.changed.wait_for(lambda: self._catalog.version > after)
        except TimeoutError:
            pass
        return (
            self._catalog.full_list() if self._chance.random() < 0.2 else self._catalog.changes_since(after)
        )

    def _record_withdrawals(self, endpoint_list: dict[str, object]) -> None:
        """Record which servers the sidecar knows to be withdrawn from now on."""
        lines = endpoint_list["servers"]
        assert isinstance(lines, list)
        at = now()
        withdrawn = {line["id"] for line in lines if line["state"] != "active"}
        if endpoint_list["full"]:
            known = {
                withdrawal.server
                for withdrawal in self._records.withdrawals
                if withdrawal.sidecar == self._sidecar
            }
            listed = {line["id"] for line in lines}
            withdrawn |= (self._catalog.changed_servers() - listed) - known
        self._records.withdrawals += [Withdrawal(self._sidecar, name, at) for name in withdrawn]

    def stop(self) -> None:
        """Close the listeners and abort the connections."""
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()
