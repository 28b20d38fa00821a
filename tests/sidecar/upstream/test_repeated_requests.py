"""Requests that a client sends again with the same id."""

from __future__ import annotations

import asyncio

import pytest
from barriers import HeldDials, reset
from loopback import OK, Client, Heard, Stage, play, request, stage, until

_REJECTED = (429, 503)


async def _send(scene: Stage, raw: bytes) -> Client:
    client = await scene.client()
    client.send(raw)
    return client


def test_request_is_not_sent_when_its_id_is_in_use() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def holds(incoming: Heard) -> bytes:
            await release.wait()
            return OK

        async with stage(holds, holds) as scene:
            raw = request("lodge", timeout="4.0")
            first = await _send(scene, raw)
            await until(lambda: len(scene.heard) == 1)
            second = await _send(scene, raw)
            response = await second.answer()
            assert response.status == 409
            release.set()
            assert (await first.answer()).status == 200
            assert len(scene.heard) == 1

    play(work)


@pytest.mark.parametrize("may_cancel", [True, False], ids=["may cancel", ""])
@pytest.mark.parametrize("when", ["in flight", "ended", "reset"])
def test_non_idempotent_request_is_not_sent_again_when_its_client_disconnected(
    when: str, may_cancel: bool
) -> None:
    # The client's connection was closed, and the client assumes that its request was not read.
    async def work() -> None:
        release = asyncio.Event()

        async def holds(incoming: Heard) -> bytes | None:
            await release.wait()
            if when == "reset":
                reset(incoming)
                return None
            return OK

        async with stage(holds, holds, bounds={"mayCancel": may_cancel}) as scene:
            raw = request("lodge", timeout="4.0")
            first = await _send(scene, raw)
            await until(lambda: len(scene.heard) == 1)
            first.close()
            await until(lambda: scene.sidecar.downstream.open_connections == 0)
            if when != "in flight":
                release.set()
                await until(lambda: scene.sidecar.open_requests == 0)
            second = await _send(scene, raw)
            release.set()
            response = await second.answer()
            assert response.status not in (200, *_REJECTED)
            assert len(scene.heard) == 1

    play(work)


def test_non_idempotent_request_is_served_again_when_no_server_had_its_last_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delayed_dials = HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, bounds={"mayCancel": False}) as scene:
            delayed_dials.hold(scene.servers[0].address)
            raw = request("lodge", timeout="4.0")
            first = await _send(scene, raw)
            await until(lambda: delayed_dials.waiting == 1)
            first.close()
            await until(lambda: scene.sidecar.open_requests == 0)
            delayed_dials.release(scene.servers[0].address)
            second = await _send(scene, raw)
            assert (await second.answer()).status == 200
            assert len(scene.heard) == 1

    play(work)
