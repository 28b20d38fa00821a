"""Provides a keyed request whose first attempt is delayed, so that it is hedged at other servers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from barriers import HeldDials, ManualClock, reset, server_line, tell
from loopback import CLASSES, FULL, OK, Client, Heard, ScriptedServer, Stage, request, stage, until

from tulipnotch.sidecar.upstream.request import UpstreamRequest

MS = 1_000
WINDOW_US = 300 * MS
CONNECT_TIMEOUT_US = 1_600 * MS
OBJECTIVE_US = 100 * MS
OVERDUE_US = 150 * MS  # after this time an attempt at an unresponsive server is hedged
OTHER_GROUPS = [("cell", {"cell": 2}), ("zone", {"zone": "b"})]
OTHER_RESPONSES = 4  # responses of other servers meanwhile, so that only this one counts as unresponsive

_SERVED_AND_CLOSED = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nserved"


def service_classes(group: str = "cell", window_us: int = WINDOW_US) -> list[dict[str, Any]]:
    """Returns the common classes, with this latency objective, deduplication scope and window."""
    kinds = [{**each, "promiseUs": OBJECTIVE_US, "giveUpUs": 4_000_000} for each in CLASSES]
    kinds[1] |= {"group": group, "memorySpanUs": window_us}
    return kinds


@dataclass
class Overtaken:
    """A keyed request whose first attempt is not written, and whose retries were sent to other servers."""

    scene: Stage
    client: Client
    received: list[Heard]  # attempts that other servers have read completely
    let_finish: asyncio.Event  # makes the attempts that are still running respond

    def attempts(self) -> list[UpstreamRequest]:
        """Returns all attempts of the only open request."""
        (open_request,) = self.scene.sidecar._registry
        return open_request.upstream_requests


@asynccontextmanager
async def overtaken(
    clock: ManualClock,
    first: str,
    *ends: str,
    group: str = "cell",
    window_us: int = WINDOW_US,
    may_cancel: bool = True,
    body: bytes = b"",
    attempts: int = 3,
    first_is_late: Callable[[Stage], Awaitable[None]],
    has_connection: bool = False,
    hold_others: HeldDials | None = None,
) -> AsyncIterator[Overtaken]:
    """Sends a request whose first attempt, to the address `first`, is delayed until it is hedged.

    The following attempts go to two other servers and end as `ends` says: "full" (a rejection), "reset", or
    "runs on" until `let_finish` is set.  `first_is_late` returns once the first attempt waits where it is
    delayed.  With `hold_others`, the connections of the following attempts are delayed as well.
    """
    received: list[Heard] = []
    let_finish = asyncio.Event()

    async def other(incoming: Heard) -> bytes | None:
        if incoming.method == "GET":
            return _SERVED_AND_CLOSED  # each attempt opens a connection, on which a rejection is proof
        if len(received) == len(ends):
            return FULL
        how = ends[len(received)]
        received.append(incoming)
        if how == "full":
            return FULL
        if how == "reset":
            reset(incoming)
            return None
        await let_finish.wait()
        return OK

    bounds = {
        "dialTimeoutUs": CONNECT_TIMEOUT_US,
        "secondCopies": True,
        "mayCancel": may_cancel,
        "sendCap": attempts,
    }
    lanes = service_classes(group, window_us)
    async with stage(other, other, listed=False, bounds=bounds, lanes=lanes) as scene:
        await tell(scene, server_line(0, first))
        if has_connection:
            assert (await scene.ask("check")).status == 200
        client = await scene.client()
        client.send(request("amend", timeout="4.0", body=body))
        await until(lambda: len(scene.sidecar._registry) == 1)
        await first_is_late(scene)
        await tell(scene, *(server_line(n + 1, each.address) for n, each in enumerate(scene.servers)))
        for _ in range(OTHER_RESPONSES):
            assert (await scene.ask("check")).status == 200
        if hold_others is not None:
            for each in scene.servers:
                hold_others.hold(each.address)
        clock.advance(OVERDUE_US)
        seen = Overtaken(scene, client, received, let_finish)
        await until(lambda: len(received) == len(ends))
        done = len(ends) if "runs on" not in ends else ends.index("runs on")
        await until(lambda: all(each.has_ended for each in seen.attempts()[1 : 1 + done]))
        yield seen


async def assert_has_ended(seen: Overtaken, group: str, *ends: str) -> None:
    """Asserts that the client gets a response that the retry rules permit."""
    seen.let_finish.set()
    response = await seen.client.answer()
    if "runs on" in ends:
        assert response.status == 200
    else:
        # It may have been executed; if all servers deduplicate the client's retry, a rejection is harmless.
        assert response.status in ((502, 503, 504) if group == "all" else (502, 504))
    await until(lambda: seen.scene.sidecar.open_requests == 0)


async def assert_received_nothing(seen: Overtaken, late_server: ScriptedServer) -> None:
    """Closes all connections, and asserts that the late server has read no request."""
    seen.scene.sidecar.close()
    await until(lambda: len(late_server.closed) == late_server.connections)
    assert late_server.heard == []


def until_dial_is_delayed(delayed_dials: HeldDials) -> Callable[[Stage], Awaitable[None]]:
    """Returns a value for `first_is_late`: it waits until the first attempt waits for its connection."""

    async def first_is_late(scene: Stage) -> None:
        await until(lambda: delayed_dials.waiting == 1)

    return first_is_late
