"""The deduplication scope of an attempt whose server moves to another zone or cell."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from barriers import HeldDials, ManualClock, reset, server_line, tell
from loopback import OK, Heard, play, request, stage, until
from overtaken import (
    OTHER_GROUPS,
    assert_has_ended,
    assert_received_nothing,
    overtaken,
    service_classes,
    until_dial_is_delayed,
)


@pytest.mark.parametrize(("group", "locality"), OTHER_GROUPS, ids=["cell", "zone"])
def test_attempt_is_not_written_when_server_left_deduplication_group(
    group: str, locality: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, delayed_dials = ManualClock(monkeypatch), HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, listed=False) as other_stage:
            late_server = other_stage.servers[0]
            delayed_dials.hold(late_server.address)
            async with overtaken(
                clock,
                late_server.address,
                "runs on",
                group=group,
                first_is_late=until_dial_is_delayed(delayed_dials),
            ) as seen:
                await tell(seen.scene, server_line(0, late_server.address, **locality))
                delayed_dials.release(late_server.address)
                await until(lambda: seen.scene.sidecar._upstream._dials_in_flight == 0)
                await assert_has_ended(seen, group, "runs on")
                await assert_received_nothing(seen, late_server)

    play(work)


@pytest.mark.parametrize(("group", "locality"), OTHER_GROUPS, ids=["cell", "zone"])
def test_attempt_group_is_that_of_server_when_last_byte_is_written(
    group: str, locality: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    # The server moves after the attempt was started and before its last byte is written.  One other server is
    # in its old zone or cell, one in the new.
    delayed_dials = HeldDials(monkeypatch)
    ManualClock(monkeypatch)

    async def work() -> None:
        async def first(incoming: Heard) -> None:
            reset(incoming)

        async with stage(first, OK, OK, listed=False, lanes=service_classes(group)) as scene:
            address, before, now = (each.address for each in scene.servers)
            delayed_dials.hold(address)
            await tell(scene, server_line(0, address))
            client = await scene.client()
            client.send(request("amend", timeout="4.0"))
            await until(lambda: delayed_dials.waiting == 1)
            await tell(
                scene,
                server_line(0, address, **locality),
                server_line(1, before),
                server_line(2, now, **locality),
            )
            delayed_dials.release(address)
            assert (await client.answer()).status == 200
            assert [len(each.heard) for each in scene.servers] == [1, 0, 1]

    play(work)


@pytest.mark.parametrize("why", ["moves", "restarts in another group", "removed"])
@pytest.mark.parametrize(("group", "locality"), OTHER_GROUPS, ids=["cell", "zone"])
def test_attempt_group_is_unchanged_when_server_moves(
    group: str, locality: dict[str, Any], why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    ManualClock(monkeypatch)

    async def work() -> None:
        release = asyncio.Event()

        async def first(incoming: Heard) -> None:
            await release.wait()
            reset(incoming)

        async with stage(first, OK, listed=False, lanes=service_classes(group)) as scene:
            address, other = (each.address for each in scene.servers)
            await tell(scene, server_line(0, address))
            client = await scene.client()
            client.send(request("amend", timeout="4.0"))
            await until(lambda: len(scene.heard) == 1)
            changes = dict(locality)
            if why == "restarts in another group":
                changes["started_ms"] = 1_600_000_000_000
            elif why == "removed":
                changes = {"state": "left"}
            await tell(scene, server_line(0, address, **changes), server_line(1, other, **locality))
            release.set()
            assert (await client.answer()).status == 502
            assert scene.servers[1].heard == []

    play(work)
