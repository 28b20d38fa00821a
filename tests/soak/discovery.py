"""Discovery: one endpoint list, served to each sidecar at separate addresses, with injected faults."""

from __future__ import annotations

import asyncio
import json
import random
import re
from enum import Enum, unique

from soak.records import Records, SidecarEvent, Withdrawal, now
from soak.servers import HOST, OrderServer, allocate_port


@unique
class DiscoveryFault(Enum):
    """Faults that replace or delay a normal response of discovery."""

    UNRESPONSIVE = "unresponsive"  # No request gets a response, not even a long poll that is already open.
    OVERLOADED = "overloaded"  # Each request gets a 503.
    RESETS = "resets"  # Open connections and those of new requests are reset.
    SLOW = "slow"  # Each response is delayed by `_SLOW_RESPONSE_S`.
    QUEUED = "queued"  # Responses are held until the fault ends, and are then written together.


_SLOW_RESPONSE_S = 0.8
_POLL_REQUEST = re.compile(rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? ")


class EndpointCatalog:
    """The endpoint list, its version, and the version at which each entry was last updated."""

    def __init__(self, servers: list[OrderServer]) -> None:
        self.version = 1
        self.entries = {server.name: server.list_entry for server in servers}
        self._updated_entries: dict[str, tuple[int, dict[str, object]]] = {}
        self.version_changed = asyncio.Condition()

    async def publish(self, server: OrderServer) -> None:
        """Publishes the current entry of a server as a new version of the list."""
        self.version += 1
        entry = server.list_entry
        self._updated_entries[server.name] = self.version, entry
        if server.state == "left":
            self.entries.pop(server.name, None)
        else:
            self.entries[server.name] = entry
        async with self.version_changed:
            self.version_changed.notify_all()

    def complete_list(self) -> dict[str, object]:
        """Returns the complete endpoint list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def updated_server_names(self) -> set[str]:
        """Returns the names of all servers whose entry was ever updated."""
        return set(self._updated_entries)

    def delta_since(self, version: int) -> dict[str, object]:
        """Returns a delta with the entries that were updated after `version`."""
        entries = [entry for updated_in, entry in self._updated_entries.values() if updated_in > version]
        return {"version": self.version, "full": False, "servers": entries}


class DiscoveryServer:
    """Discovery server of one sidecar, listening on two addresses; owns its listeners and connections."""

    def __init__(
        self, sidecar_number: int, catalog: EndpointCatalog, records: Records, rng: random.Random
    ) -> None:
        self._sidecar_number, self._catalog, self._records, self._rng = sidecar_number, catalog, records, rng
        self._fault: DiscoveryFault | None = None
        self._released = asyncio.Event()  # Ends the wait of responses that are queued.
        self._released.set()
        self._servers: list[asyncio.Server] = []
        self._writers: dict[asyncio.StreamWriter, float] = {}  # with the times at which they were opened

    async def start(self) -> None:
        """Starts to listen on both addresses."""
        for _ in range(2):
            self._servers.append(await asyncio.start_server(self._serve, HOST, allocate_port()))

    def address(self, index: int) -> str:
        """Returns the first (index 0) or the second (index 1) address."""
        return f"{HOST}:{self._servers[index].sockets[0].getsockname()[1]}"

    def set_fault(self, fault: DiscoveryFault | None) -> None:
        """Starts a fault, or ends it with None; RESETS also resets all open connections at once."""
        self._fault = fault
        if fault is DiscoveryFault.QUEUED:
            self._released.clear()
        else:
            self._released.set()
        if fault is DiscoveryFault.RESETS:
            self._records.discovery_resets.append(SidecarEvent(self._sidecar_number, now()))
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers[writer] = now()
        try:
            while True:
                request_header = await reader.readuntil(b"\r\n\r\n")
                if not await self._respond(request_header, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, RuntimeError):
            pass  # RuntimeError means that the connection was aborted before the response was written.
        except asyncio.CancelledError:
            return  # The run has ended.
        finally:
            self._writers.pop(writer, None)
            writer.close()

    async def _respond(self, request_header: bytes, writer: asyncio.StreamWriter) -> bool:
        if self._fault is DiscoveryFault.RESETS:
            writer.transport.abort()
            return False
        if self._fault is DiscoveryFault.OVERLOADED:
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
            return True
        if self._fault is DiscoveryFault.SLOW:
            await asyncio.sleep(_SLOW_RESPONSE_S)
        endpoint_list = await self._wait_for_list(request_header)
        updated_names = self._catalog.updated_server_names()  # others may be added while the list is held
        await self._released.wait()
        if self._fault is DiscoveryFault.UNRESPONSIVE:
            return True  # The response is never written, and the connection stays open.
        if writer.transport.is_closing():
            return False  # The connection was reset before the response.
        body = json.dumps(endpoint_list).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        self._record_withdrawals(endpoint_list, updated_names, self._writers[writer])
        return True

    async def _wait_for_list(self, request_header: bytes) -> dict[str, object]:
        poll_request = _POLL_REQUEST.match(request_header)
        if poll_request is None or poll_request[1] is None:
            return self._catalog.complete_list()
        after, wait_s = int(poll_request[1]), int(poll_request[2]) / 1_000
        try:
            async with asyncio.timeout(wait_s):
                async with self._catalog.version_changed:
                    await self._catalog.version_changed.wait_for(lambda: self._catalog.version > after)
        except TimeoutError:
            pass
        return self._catalog.complete_list() if self._rng.random() < 0.2 else self._catalog.delta_since(after)

    def _record_withdrawals(
        self, endpoint_list: dict[str, object], updated_names: set[str], connection_opened_at: float
    ) -> None:
        """Records the servers that this list withdraws, because they are not active or no longer listed.

        `updated_names` are the servers whose entries had been updated when the list was made.
        """
        entries = endpoint_list["servers"]
        assert isinstance(entries, list)
        written_at = now()
        withdrawn = {entry["id"] for entry in entries if entry["state"] != "active"}
        if endpoint_list["full"]:
            listed = {entry["id"] for entry in entries}
            withdrawn |= updated_names - listed
        self._records.withdrawals += [
            Withdrawal(self._sidecar_number, name, written_at, connection_opened_at) for name in withdrawn
        ]

    def stop(self) -> None:
        """Closes the listeners and aborts the connections."""
        for server in self._servers:
            server.close()
        for writer in list(self._writers):
            writer.transport.abort()
