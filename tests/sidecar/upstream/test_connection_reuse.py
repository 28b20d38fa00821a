"""Which connections to servers are reused and which are closed, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from loopback import OK, Heard, Stage, line, play, request, stage, until

from tulipnotch.sidecar.upstream import pool as pool_module


def open_requests(scene: Stage) -> int:
    return scene.sidecar.open_requests


HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("late", [False, True])
def test_connection_is_not_reused_after_excess_data(late: bool) -> None:
    # A duplicate of this response must not be returned for the next request.
    async def work() -> None:
        async def twice(incoming: Heard) -> bytes:
            body = incoming.target.rpartition("/")[2].encode()
            response = HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
            if late:
                incoming.writer.write(response)
                await incoming.writer.drain()
                await asyncio.sleep(0.02)
                return response
            return response + response

        async with stage(twice) as scene:
            client = await scene.client()
            for number in range(10, 15):
                assert (await client.ask("lodge", target=f"/api/{number}")).body == b"%d" % number
                await until(lambda count=number - 9: len(scene.servers[0].closed) == count)  # type: ignore[misc]
            assert scene.servers[0].connections == 5

    play(work)


def test_pool_discards_duplicate_response_within_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    # A response does not identify its request, so a duplicate must not be attributed to the next request.
    monkeypatch.setattr(pool_module, "_REUSE_DELAY_US", 2_000_000)

    async def work() -> None:
        send_duplicate = asyncio.Event()

        async def echo(incoming: Heard) -> bytes:
            if len(scene.heard) > 1:
                await send_duplicate.wait()
            body = incoming.target.rpartition("/")[2].encode()
            return HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)

        async with stage(echo) as scene:
            client = await scene.client()
            assert (await client.ask("lodge", target="/api/10")).body == b"10"
            client.send(request("lodge", timeout="15", target="/api/11"))
            await until(lambda: open_requests(scene) == 1)
            scene.heard[0].writer.write(HEAD + b"Content-Length: 2\r\n\r\n10")
            await scene.heard[0].writer.drain()
            send_duplicate.set()
            assert (await client.answer()).body == b"11"
            assert scene.servers[0].connections == 2

    play(work)


@pytest.mark.parametrize("cause", ["drains", "client disconnected", "served"])
def test_pool_checks_request_again_after_reuse_delay(cause: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pool_module, "_REUSE_DELAY_US", 2_000_000)

    async def work() -> None:
        async with stage(OK, bounds={"mayCancel": False}) as scene:
            await until(lambda: len(scene.discovery.heard) >= 2)
            client = await scene.client()
            assert (await client.ask("lodge")).status == 200
            client.send(request("lodge", timeout="15"))
            await until(lambda: len(scene.sidecar._upstream._reuse_timers) == 1)
            if cause == "drains":
                scene.discovery.tell(line("s-0", scene.servers[0].address, state="leaving"))
                await until(lambda: len(scene.discovery.heard) >= 3)
                assert (await client.answer()).status == 503
            elif cause == "client disconnected":
                client.close()
                await until(lambda: open_requests(scene) == 0)
            else:
                assert (await client.answer()).status == 200
            await until(lambda: not scene.sidecar._upstream._reuse_timers)
            assert len(scene.heard) == (2 if cause == "served" else 1)
            assert scene.servers[0].connections == 1

    play(work)


def test_pool_reuses_open_connection_but_not_ended_one(monkeypatch: pytest.MonkeyPatch) -> None:
    # A request that is written to a connection whose end is still unread would count as possibly executed.
    monkeypatch.setattr(pool_module, "_REUSE_DELAY_US", 0)

    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            for _ in range(3):
                assert (await client.ask("lodge")).status == 200
            assert scene.servers[0].connections == 1
            for _ in range(20):
                scene.servers[0].hang_up()
                assert (await client.ask("lodge")).status == 200

    play(work)


def test_pool_does_not_reuse_connection_near_idle_timeout() -> None:
    async def work() -> None:
        async with stage(OK, bounds={"idleCloseUs": 50_000}) as scene:
            client = await scene.client()
            assert (await client.ask("lodge")).status == 200
            await until(lambda: scene.servers[0].closed == [0])
            assert (await client.ask("lodge")).status == 200
            assert scene.servers[0].connections == 2

    play(work)


@pytest.mark.parametrize("change", ["addr", "started_ms"])
def test_pool_closes_connections_when_server_restarts_or_moves(change: str) -> None:
    async def work() -> None:
        async with stage(OK, OK, listed=False) as scene:
            first, second = (each.address for each in scene.servers)
            await until(lambda: len(scene.discovery.heard) >= 2)
            scene.discovery.tell(line("s", first))
            await until(lambda: len(scene.discovery.heard) >= 3)
            assert (await scene.ask()).status == 200
            if change == "addr":
                scene.discovery.tell(line("s", second))
            else:
                scene.discovery.tell(line("s", first, started_ms=1))
            await until(lambda: scene.servers[0].closed == [0])
            assert (await scene.ask()).status == 200
            assert len(scene.servers[1].heard) == (1 if change == "addr" else 0)

    play(work)


def test_pool_closes_idle_connections_when_server_drains() -> None:
    # A draining server gets no new requests, and idle connections would use its limited capacity.
    async def work() -> None:
        async with stage(OK, bounds={"idleCloseUs": 600_000_000}) as scene:
            await until(lambda: len(scene.discovery.heard) >= 2)
            assert (await scene.ask()).status == 200
            scene.discovery.tell(line("s-0", scene.servers[0].address, state="leaving"))
            await until(lambda: scene.servers[0].closed == [0])

    play(work)
