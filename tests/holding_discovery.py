"""Discovery that holds every call after the first until a test writes its response, over real connections."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from loopback import HOST, ReceivedRequest, ScriptedServer, endpoint_entry, http_response, wait_until

SERVER_ADDRESS = f"{HOST}:9"
VERSION_BEFORE = 45  # of the list that the first call gets
VERSION_OF_DRAIN = 46


def list_json(version: int, *entries: dict[str, Any], is_complete: bool = False) -> bytes:
    """Returns the body of a response with these entries."""
    return json.dumps({"version": version, "full": is_complete, "servers": entries}).encode()


def ready_entry(name: str = "s-1") -> dict[str, Any]:
    """Returns the entry of a server that is ready."""
    return endpoint_entry(name, SERVER_ADDRESS)


def draining_entry(name: str = "s-1") -> dict[str, Any]:
    """Returns the entry of a server that is draining."""
    return endpoint_entry(name, SERVER_ADDRESS, state="leaving")


class HoldingDiscovery(ScriptedServer):
    """Responds to the first call with a complete list, and holds all others.

    So only the responses that a test writes can announce a change.
    """

    def __init__(self, *entries: dict[str, Any]) -> None:
        """Holds no call; the complete list has these entries, or one server that is ready."""
        super().__init__(self._respond)
        self.servers = list(entries) or [ready_entry()]
        self.held: list[ReceivedRequest] = []

    async def _respond(self, received: ReceivedRequest) -> bytes | None:
        if len(self.received_requests) == 1:
            return http_response(list_json(VERSION_BEFORE, *self.servers, is_complete=True))
        self.held.append(received)
        await asyncio.Event().wait()
        return None

    async def wait_for_held(self, count: int) -> None:
        """Waits until this many calls are outstanding."""
        await wait_until(lambda: len(self.held) >= count)

    def write(self, index: int, body: bytes) -> None:
        """Writes the response to a held call."""
        self.held[index].writer.write(http_response(body))

    def write_part(self, index: int, body: bytes, *, is_first: bool) -> None:
        """Writes the first or the second half of the response to a held call."""
        response = http_response(body)
        middle = len(response) - len(body) // 2
        self.held[index].writer.write(response[:middle] if is_first else response[middle:])
