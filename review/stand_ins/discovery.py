"""Discovery: one list of order servers, as `GET /catalog/members`, whole or as a watch on changes."""

from __future__ import annotations

import asyncio
import json
import re
from typing import Any

_CALL = re.compile(rb"GET /catalog/members(?:\?after=(\d+)&wait_ms=(\d+))? HTTP/1\.1\r\n")


def list_entry(name: str, address: str, zone: str, cell: int, state: str = "active") -> dict[str, Any]:
    """Returns the entry of one order server."""
    return {
        "id": name,
        "addr": address,
        "zone": zone,
        "kind": "k",
        "cell": cell,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


class Discovery:
    """Serves one list, which does not change."""

    def __init__(self, host: str) -> None:
        """Starts with an empty list; nothing listens before `start`."""
        self._host = host
        self.entries: list[dict[str, Any]] = []
        self.version = 1
        self.address = ""
        self._server: asyncio.Server | None = None

    def complete_list(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"version": self.version, "full": True, "servers": self.entries}

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        self.address = f"{self._host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                call = _CALL.match(await reader.readuntil(b"\r\n\r\n"))
                if call is None:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                document = self.complete_list()
                if call[1] is not None and int(call[1]) == self.version:
                    await asyncio.sleep(min(int(call[2]), 60_000) / 1_000)
                    document = {"version": self.version, "full": False, "servers": []}
                body = json.dumps(document).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the sidecar or the run has ended
        finally:
            writer.close()
