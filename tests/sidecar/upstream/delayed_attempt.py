"""Provides a keyed request whose first attempt is delayed, so that it is hedged at other servers."""

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
LATENCY_OBJECTIVE_US = 100 * MS
HEDGE_DELAY_US = 150 * MS  # after this time an attempt at an unresponsive server is hedged
OTHER_LOCALITIES = [("cell", {"cell": 2}), ("zone", {"zone": "b"})]
OTHER_RESPONSE_COUNT = 4  # responses of other servers, so that only the delayed one counts as unresponsive

_SERVED_AND_CLOSED = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nserved"


def service_classes(scope: str = "cell", window_us: int = WINDOW_US) -> list[dict[str, Any]]:
    """Returns `SERVICE_CLASSES` with `LATENCY_OBJECTIVE_US`; the keyed one has this scope and window."""
    classes = [{**each, "promiseUs": LATENCY_OBJECTIVE_US, "giveUpUs": 4_000_000} for each in SERVICE_CLASSES]
    classes[1] |= {"group": scope, "memorySpanUs": window_us}
    return classes


@dataclass
class DelayedAttempt:
    """A keyed request whose first attempt is not written, and whose retries were sent to other servers."""

    harness: SidecarHarness
    client: Client
    received_by_others: list[ReceivedRequest]  # attempts that other servers have read completely
    allow_responses: asyncio.Event  # makes the attempts that are still running respond

    def attempts(self) -> list[UpstreamRequest]:
        """Returns all attempts of the only open request."""
        (open_request,) = self.harness.sidecar._registry
        return open_request.upstream_requests


@asynccontextmanager
async def delayed_first_attempt(
    clock: ManualClock,
    address: str,
    *outcomes: str,
    scope: str = "cell",
    window_us: int = WINDOW_US,
    may_cancel: bool = True,
    body: bytes = b"",
    attempts: int = 3,
    wait_until_delayed: Callable[[SidecarHarness], Awaitable[None]],
    has_connection: bool = False,
    delay_others: DelayedConnects | None = None,
) -> AsyncIterator[DelayedAttempt]:
    """Sends a request whose first attempt, to the server at `address`, is delayed until it is hedged.

    The following attempts go to two other servers and have these outcomes: "rejected", "reset" (of the
    connection), or "running" until `allow_responses` is set.  `wait_until_delayed` returns once the first
    attempt waits where it is delayed.  With `delay_others`, the connections of the following attempts are
    delayed as well.
    """
    received: list[ReceivedRequest] = []
    allow_responses = asyncio.Event()

    async def serve_others(incoming: ReceivedRequest) -> bytes | None:
        if incoming.method == "GET":
            # Each attempt then opens a connection, on which a rejection proves that it was not executed.
            return _SERVED_AND_CLOSED
        if len(received) == len(outcomes):
            return REJECTION_RESPONSE
        outcome = outcomes[len(received)]
        received.append(incoming)
        if outcome == "rejected":
            return REJECTION_RESPONSE
        if outcome == "reset":
            reset_connection(incoming)
            return None
        await allow_responses.wait()
        return OK_RESPONSE

    limits = {
        "dialTimeoutUs": CONNECT_TIMEOUT_US,
        "secondCopies": True,
        "mayCancel": may_cancel,
        "sendCap": attempts,
    }
    lanes = service_classes(scope, window_us)
    async with sidecar_harness(
        serve_others, serve_others, servers_listed=False, limit_overrides=limits, lanes=lanes
    ) as harness:
        await announce_endpoints(harness, server_entry(0, address))
        if has_connection:
            assert (await harness.send_request("check")).status == 200
        client = await harness.connect()
        client.send(http_request("amend", timeout="4.0", body=body))
        await wait_until(lambda: len(harness.sidecar._registry) == 1)
        await wait_until_delayed(harness)
        await announce_endpoints(
            harness, *(server_entry(number + 1, each.address) for number, each in enumerate(harness.servers))
        )
        for _ in range(OTHER_RESPONSE_COUNT):
            assert (await harness.send_request("check")).status == 200
        if delay_others is not None:
            for each in harness.servers:
                delay_others.hold(each.address)
        clock.advance(HEDGE_DELAY_US)
        scenario = DelayedAttempt(harness, client, received, allow_responses)
        await wait_until(lambda: len(received) == len(outcomes))
        ended_count = len(outcomes) if "running" not in outcomes else outcomes.index("running")
        await wait_until(lambda: all(each.has_ended for each in scenario.attempts()[1 : 1 + ended_count]))
        yield scenario


async def assert_final_response(scenario: DelayedAttempt, scope: str, *outcomes: str) -> None:
    """Asserts that the client gets a response that the retry rules permit."""
    scenario.allow_responses.set()
    response = await scenario.client.read_response()
    if "running" in outcomes:
        assert response.status == 200
    else:
        # The request may have been executed; a rejection is harmless if all servers deduplicate its retry.
        assert response.status in ((502, 503, 504) if scope == "all" else (502, 504))
    await wait_until(lambda: scenario.harness.sidecar.open_requests == 0)


async def assert_server_received_nothing(scenario: DelayedAttempt, delayed_server: ScriptedServer) -> None:
    """Closes all connections, and asserts that the delayed server has read no request."""
    scenario.harness.sidecar.close()
    await wait_until(lambda: len(delayed_server.closed_connections) == delayed_server.connection_count)
    assert delayed_server.received_requests == []


def wait_until_dial_is_delayed(
    delayed_connects: DelayedConnects,
) -> Callable[[SidecarHarness], Awaitable[None]]:
    """Returns a `wait_until_delayed` that returns once the first attempt waits for its connection."""

    async def wait_until_delayed(harness: SidecarHarness) -> None:
        await wait_until(lambda: delayed_connects.pending_count == 1)

    return wait_until_delayed
