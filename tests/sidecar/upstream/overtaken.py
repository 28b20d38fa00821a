"""A keyed request whose first attempt is late, so that further ones are sent elsewhere."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from barriers import DelayedConnects, ManualClock, announce_endpoints, reset_connection, server_entry
from loopback import (
    OK_RESPONSE,
    REJECTION_RESPONSE,
    SERVICE_CLASSES,
    Client,
    ReceivedRequest,
    ScriptedServer,
    SidecarHarness,
    http_request,
    sidecar_harness,
    wait_until,
)

from tulipnotch.sidecar.upstream.request import UpstreamRequest

MS = 1_000
WINDOW_US = 300 * MS
CONNECT_TIMEOUT_US = 1_600 * MS
OBJECTIVE_US = 100 * MS
OVERDUE_US = 150 * MS  # from here on an attempt at an unresponsive server is hedged
OTHER_GROUPS = [("cell", {"cell": 2}), ("zone", {"zone": "b"})]
OTHER_RESPONSES = 4  # by other servers meanwhile, so that only this one counts as unresponsive

_SERVED_AND_CLOSED = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nserved"


def service_classes(group: str = "cell", window_us: int = WINDOW_US) -> list[dict[str, Any]]:
    """The classes of the other tests, with this objective and deduplication."""
    kinds = [{**each, "promiseUs": OBJECTIVE_US, "giveUpUs": 4_000_000} for each in SERVICE_CLASSES]
    kinds[1] |= {"group": group, "memorySpanUs": window_us}
    return kinds


@dataclass
class Overtaken:
    """A keyed request whose first attempt is not written, and whose further ones went elsewhere."""

    harness: SidecarHarness
    client: Client
    received: list[ReceivedRequest]  # attempts that the other servers have read completely
    let_finish: asyncio.Event  # ends the attempts that run on

    def attempts(self) -> list[UpstreamRequest]:
        """All attempts of the only open request."""
        (open_request,) = self.harness.sidecar._registry
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
    first_is_late: Callable[[SidecarHarness], Awaitable[None]],
    has_connection: bool = False,
    hold_others: DelayedConnects | None = None,
) -> AsyncIterator[Overtaken]:
    """Send a request whose first attempt goes to the address `first` and is overtaken there.

    The attempts that follow go to two other servers and end as `ends` says: "full" (a rejection), "reset", or
    "runs on" until `let_finish` is set.  `first_is_late` returns once the first attempt waits where it is to
    be late.  With `hold_others`, the connections of those that follow are held back as well.
    """
    received: list[ReceivedRequest] = []
    let_finish = asyncio.Event()

    async def other(incoming: ReceivedRequest) -> bytes | None:
        if incoming.method == "GET":
            return _SERVED_AND_CLOSED  # so that each attempt opens a connection: a rejection is proof there
        if len(received) == len(ends):
            return REJECTION_RESPONSE
        how = ends[len(received)]
        received.append(incoming)
        if how == "full":
            return REJECTION_RESPONSE
        if how == "reset":
            reset_connection(incoming)
            return None
        await let_finish.wait()
        return OK_RESPONSE

    bounds = {
        "dialTimeoutUs": CONNECT_TIMEOUT_US,
        "secondCopies": True,
        "mayCancel": may_cancel,
        "sendCap": attempts,
    }
    lanes = service_classes(group, window_us)
    async with sidecar_harness(
        other, other, servers_listed=False, limit_overrides=bounds, lanes=lanes
    ) as harness:
        await announce_endpoints(harness, server_entry(0, first))
        if has_connection:
            assert (await harness.send_request("check")).status == 200
        client = await harness.connect()
        client.send(http_request("amend", timeout="4.0", body=body))
        await wait_until(lambda: len(harness.sidecar._registry) == 1)
        await first_is_late(harness)
        await announce_endpoints(
            harness, *(server_entry(n + 1, each.address) for n, each in enumerate(harness.servers))
        )
        for _ in range(OTHER_RESPONSES):
            assert (await harness.send_request("check")).status == 200
        if hold_others is not None:
            for each in harness.servers:
                hold_others.hold(each.address)
        clock.advance(OVERDUE_US)
        seen = Overtaken(harness, client, received, let_finish)
        await wait_until(lambda: len(received) == len(ends))
        done = len(ends) if "runs on" not in ends else ends.index("runs on")
        await wait_until(lambda: all(each.has_ended for each in seen.attempts()[1 : 1 + done]))
        yield seen


async def assert_has_ended(seen: Overtaken, group: str, *ends: str) -> None:
    """The client has a response that the rules permit."""
    seen.let_finish.set()
    response = await seen.client.read_response()
    if "runs on" in ends:
        assert response.status == 200
    else:
        # It may have executed; where every server discards the retry, a rejection is harmless.
        assert response.status in ((502, 503, 504) if group == "all" else (502, 504))
    await wait_until(lambda: seen.harness.sidecar.open_requests == 0)


async def assert_received_nothing(seen: Overtaken, late_server: ScriptedServer) -> None:
    """Close all connections; the late server has read no request on any."""
    seen.harness.sidecar.close()
    await wait_until(lambda: len(late_server.closed_connections) == late_server.connection_count)
    assert late_server.received_requests == []


def until_dial_is_delayed(delayed_dials: DelayedConnects) -> Callable[[SidecarHarness], Awaitable[None]]:
    """For `first_is_late`: the first attempt waits for its connection."""

    async def first_is_late(harness: SidecarHarness) -> None:
        await wait_until(lambda: delayed_dials.pending_count == 1)

    return first_is_late
