"""A client that leaves while its request waits: nothing of it is sent on, whatever the settings permit."""

from __future__ import annotations

import asyncio
import socket

import pytest
from loopback import FULL, OK, Client, Heard, Stage, holding, line, play, request, stage, until
from slow_to_accept import SlowToAccept

from tulipnotch.decisions.interface import NEVER, Send
from tulipnotch.sidecar import upstream
from tulipnotch.sidecar.frontend import ClientLimits

_NEVER_SWEPT = ClientLimits(sweep_s=600.0)


async def _leave(client: Client) -> None:
    """Close the connection; when this is done, its end lies in the sidecar's socket."""
    client.close()
    await client.writer.wait_closed()


async def _sent_ahead(scene: Stage) -> Client:
    """A client with a request open and a further one behind it, so that nothing is read of it any more."""
    client = await scene.client()
    client.send(request("lodge", timeout="15") + request("lodge", timeout="15"))
    await until(lambda: any(each.is_reading_paused for each in scene.sidecar.frontend.connections()))
    return client


async def _nothing_comes(accepted: socket.socket) -> bool:
    return await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("seen_by", ["the sweep", "a look before the write"])
def test_a_client_gone_during_a_dial_with_reading_paused(seen_by: str, may_cancel: bool) -> None:
    # What it sent ahead stops the reading, so that the event loop never sees its end.
    async def work() -> None:
        slow = SlowToAccept()
        await slow.fill()
        bounds = {"dialTimeoutUs": 15_000_000, "mayCancel": may_cancel}
        limits = None if seen_by == "the sweep" else _NEVER_SWEPT
        async with stage(bounds=bounds, client_limits=limits) as scene:
            await until(lambda: len(scene.discovery.heard) >= 2)
            scene.discovery.tell(line("s", slow.address))
            await until(lambda: len(scene.discovery.heard) >= 3)
            client = await _sent_ahead(scene)
            await _leave(client)
            if seen_by == "the sweep":
                await until(lambda: scene.sidecar.open_requests == 0)
            accepted = await slow.let_go()
            await until(lambda: scene.sidecar.open_requests == 0)
            scene.sidecar.close()  # the connection itself may be kept
            assert await _nothing_comes(accepted)
            accepted.close()
        slow.close()

    play(work)


def test_a_client_gone_before_a_refusal_is_redrawn() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def full(heard: Heard) -> bytes:
            await release.wait()
            return FULL

        async with stage(full, full, client_limits=_NEVER_SWEPT, bounds={"mayCancel": False}) as scene:
            client = await _sent_ahead(scene)
            await until(lambda: len(scene.heard) == 1)
            await _leave(client)
            release.set()
            await until(lambda: scene.sidecar.open_requests == 0)
            assert len(scene.heard) == 1

    play(work)


def test_what_a_client_sent_ahead_is_not_taken_once_it_has_left(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "_REST_US", 0)  # it would be written at once

    async def work() -> None:
        release, hold = holding()
        async with stage(hold, client_limits=_NEVER_SWEPT, bounds={"mayCancel": False}) as scene:
            client = await _sent_ahead(scene)
            await until(lambda: len(scene.heard) == 1)
            await _leave(client)
            release.set()
            await until(lambda: scene.sidecar.frontend.open_connections == 0)
            assert scene.sidecar.open_requests == 0 and len(scene.heard) == 1

    play(work)


def test_a_body_that_still_comes_is_not_waited_for_once_its_client_has_left() -> None:
    # No server begins what is not whole: without permission to cancel too, its place there is given back.
    async def work() -> None:
        async with stage(OK, bounds={"mayCancel": False}) as scene:
            client = await scene.client()
            whole = request("lodge", timeout="15", body=b"x" * 200_000)
            client.send(whole[:150_000])
            await until(lambda: scene.servers[0].connections == 1)
            await _leave(client)
            await until(lambda: scene.servers[0].closed == [0])
            await until(lambda: scene.sidecar.open_requests == 0)
            assert scene.heard == []

    play(work)


def test_a_second_copy_that_still_dials_goes_nowhere_once_the_first_is_answered() -> None:
    # Nothing may follow the final answer, and no permission is needed to stop what has not left.
    async def work() -> None:
        slow = SlowToAccept()
        await slow.fill()
        release, hold = holding()
        bounds = {"dialTimeoutUs": 15_000_000, "mayCancel": False, "secondCopies": True}
        async with stage(hold, bounds=bounds) as scene:
            await until(lambda: len(scene.discovery.heard) >= 2)
            client = await scene.client()
            client.send(request("check", timeout="15"))
            await until(lambda: len(scene.heard) == 1)
            (number,) = scene.sidecar._open
            scene.discovery.tell(line("s-slow", slow.address))
            await until(lambda: len(scene.discovery.heard) >= 3)
            # The decisions would send a second copy once others had answered meanwhile; it is sent here.
            scene.sidecar._send(Send(number, "s-slow", NEVER))
            release.set()
            assert (await client.answer()).status == 200
            accepted = await slow.let_go()
            await until(lambda: scene.sidecar.open_requests == 0)
            scene.sidecar.close()
            assert await _nothing_comes(accepted)
            accepted.close()
        slow.close()

    play(work)
