"""Guards against conclusions from a response that may be a duplicate of an earlier one.

A response does not identify its request, so on a connection with earlier requests it may belong to one of
them.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest
from barriers import ManualClock, server_line, tell
from loopback import FULL, OK, Client, Heard, Stage, play, request, stage, until
from overtaken import MS, OTHER_GROUPS, WINDOW_US, service_classes


@dataclass
class DuplicateResponse:
    """A request that its server has read, before it sent a duplicate of the previous response."""

    scene: Stage
    client: Client
    is_shared: bool  # whether both requests were on the same connection


@asynccontextmanager
async def _duplicate_response(
    request_class: str, clock: ManualClock | None = None, after_us: int = 0, group: str = "cell", **other: Any
) -> AsyncIterator[DuplicateResponse]:
    """Sends a request to a server that rejected an earlier one; the server repeats that rejection.

    Before that, another server is listed with the changes `other`: a retry could be sent to it.
    """
    read = asyncio.Event()
    send_duplicate = asyncio.Event()

    async def twice(incoming: Heard) -> bytes:
        if len(scene.servers[0].heard) == 1:
            return FULL
        read.set()
        await send_duplicate.wait()
        before = scene.servers[0].heard[0]
        if incoming.connection == before.connection:
            return FULL  # a duplicate of the previous response
        before.writer.write(FULL)
        return OK

    async with stage(twice, OK, listed=False, lanes=service_classes(group)) as scene:
        await tell(scene, server_line(0, scene.servers[0].address))
        assert (await scene.ask(request_class)).status == 503
        client = await scene.client()
        client.send(request(request_class, timeout="4.0"))
        await until(read.is_set)
        await tell(scene, server_line(1, scene.servers[1].address, **other))
        if clock is not None:
            clock.advance(after_us)
        send_duplicate.set()
        first, second = scene.servers[0].heard
        yield DuplicateResponse(scene, client, first.connection == second.connection)


def test_duplicate_response_does_not_retry_non_idempotent_request() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        async with _duplicate_response("lodge") as seen:
            started_at = loop.time()
            response = await seen.client.answer()
            assert response.status == (502 if seen.is_shared else 200)
            assert loop.time() - started_at < 1.0  # immediately, not at the deadline
            assert seen.scene.servers[1].heard == []
            await until(lambda: seen.scene.sidecar.open_requests == 0)

    play(work)


def test_rejection_retries_non_idempotent_request_when_first_response_on_connection() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def full(incoming: Heard) -> bytes:
            await release.wait()
            return FULL

        async with stage(full, OK, listed=False, lanes=service_classes()) as scene:
            await tell(scene, server_line(0, scene.servers[0].address))
            client = await scene.client()
            client.send(request("lodge", timeout="4.0"))
            await until(lambda: len(scene.heard) == 1)
            await tell(scene, server_line(1, scene.servers[1].address))
            release.set()
            assert (await client.answer()).status == 200
            assert [len(each.heard) for each in scene.servers] == [1, 1]

    play(work)


def test_rejection_is_passed_on_when_there_is_no_other_server() -> None:
    async def work() -> None:
        async with stage(FULL, lanes=service_classes()) as scene:
            assert (await scene.ask("lodge")).status == 503

    play(work)


@pytest.mark.parametrize(("group", "other"), OTHER_GROUPS, ids=["cell", "zone"])
def test_duplicate_response_does_not_retry_keyed_request_in_another_group(
    group: str, other: dict[str, Any]
) -> None:
    async def work() -> None:
        async with _duplicate_response("amend", group=group, **other) as seen:
            response = await seen.client.answer()
            assert response.status == (502 if seen.is_shared else 200)
            assert seen.scene.servers[1].heard == []

    play(work)


@pytest.mark.parametrize("group", ["cell", "zone", "all"])
def test_duplicate_response_does_not_retry_keyed_request_after_window(
    group: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _duplicate_response("amend", clock, WINDOW_US, group) as seen:
            response = await seen.client.answer()
            refused = (503,) if group == "all" else ()
            assert response.status in ((502, *refused) if seen.is_shared else (200,))
            assert seen.scene.servers[1].heard == []

    play(work)


@pytest.mark.parametrize("group", ["cell", "zone", "all"])
def test_duplicate_response_permits_retry_of_keyed_request_within_group_and_window(
    group: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _duplicate_response("amend", clock, WINDOW_US - 50 * MS, group) as seen:
            assert (await seen.client.answer()).status == 200
            assert len(seen.scene.servers[1].heard) == (1 if seen.is_shared else 0)

    play(work)
