"""The pool of connections to servers and its requests, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest
from loopback import CLASSES, ERROR, FULL, OK, Heard, Stage, holding, line, play, request, soon, stage, until
from slow_to_accept import SlowToAccept

from tulipnotch.load_balancing.admission import concurrency_limit
from tulipnotch.sidecar.upstream import timeouts


def open_requests(scene: Stage) -> int:
    return scene.sidecar.open_requests


@pytest.mark.parametrize(
    ("response", "status"),
    [
        (ERROR, 502),
        (FULL, 503),  # not executed, and there is no other server
        (b"HTTP/1.1 503 Odd\r\nContent-Length: 0\r\n\r\n", 502),
        (b"HTTP/1.1 404 Odd\r\nContent-Length: 0\r\n\r\n", 502),
        (b"HTTP/1.1 504 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", 503),
        (b"garbage\r\n\r\n", 502),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n" + b"x" * 70_000, 502),
        (b"HTTP/1.1 500 Broken\r\nContent-Length: 70000\r\n\r\n" + b"x" * 70_000, 502),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, 200),
    ],
)
def test_pool_ends_non_idempotent_request_after_one_attempt_for_each_response(
    response: bytes, status: int
) -> None:
    async def work() -> None:
        async with stage(response) as scene:
            assert (await scene.ask("lodge")).status == status
            assert len(scene.heard) == 1
            assert open_requests(scene) == 0

    play(work)


@pytest.mark.parametrize("part", [b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"])
def test_pool_sends_non_idempotent_request_once_when_its_connection_breaks(part: bytes) -> None:
    async def work() -> None:
        async def close_connection(incoming: Heard) -> None:
            incoming.writer.write(part)
            incoming.writer.close()

        async with stage(close_connection, close_connection) as scene:
            assert (await scene.ask("lodge")).status == 502
            assert len(scene.heard) == 1

    play(work)


HEAD = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    "malformed",
    [
        HEAD + b"\r\nserved",  # delimited only by the end of the connection, so it may be truncated
        HEAD + b"Content-Length: 3000000000\r\n\r\n" + b"x" * 1_000,
        HEAD + b"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\nserved",
        HEAD + b"Content-Length: 6\r\nContent-Length: 6\r\n\r\nserved",
        HEAD + b"Content-Length: 6, 6\r\n\r\nserved",
        HEAD + b"Content-Length: -6\r\n\r\nserved",
        HEAD + b"Content-Length: 9\r\n\r\nserved",
        HEAD + b"X-Pad: never ends\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n",
        b"HTTP/1.1 103 Early\r\n\r\n" * 50,
        b"HTTP/1.1 OK 200\r\nContent-Length: 6\r\n\r\nserved",
        b"HTT",
    ],
)
def test_pool_retries_idempotent_request_soon_after_malformed_response(malformed: bytes) -> None:
    # The retry must not wait for the deadline while the connection stays open, and the malformed response
    # must not be interpreted.
    async def work() -> None:
        async def once(incoming: Heard) -> bytes:
            return malformed if len(scene.heard) == 1 else OK

        async with stage(once, once) as scene:
            response = await scene.ask("check", timeout="3.0")
            assert (response.status, response.body) == (200, b"served")
            first, second = scene.heard
            assert float(second.headers["request-timeout"]) > 1.5
            assert (await scene.ask("lodge")).status == 200
            # The connection can't be reused.
            await until(lambda: sum(len(each.closed) for each in scene.servers) == 1)
            assert first.target == second.target

    play(work)


def test_pool_retries_after_stalled_response_while_another_server_can_respond(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With a short deadline, a fixed minimum of the stall timeout would leave no time for another server.  All
    # times are ten to twenty times as long as in production, so that a busy machine makes no difference.
    monkeypatch.setattr(timeouts, "_MIN_STALL_TIMEOUT_S", 2.0)

    async def work() -> None:
        async def once(incoming: Heard) -> bytes:
            return HEAD + b"Content-Length: 9\r\n\r\nhalf" if len(scene.heard) == 1 else OK

        service_class = {**CLASSES[0], "promiseUs": 200_000, "giveUpUs": 2_000_000}
        async with stage(once, once, lanes=[service_class]) as scene:
            assert (await scene.ask("check", timeout="2.0")).status == 200
            assert len(scene.heard) == 2

    play(work)


def test_pool_counts_request_as_unexecuted_only_when_reset_before_its_last_byte() -> None:
    async def work() -> None:
        async def reset(incoming: Heard) -> None:
            incoming.writer.transport.abort()

        async with stage(reset, reset) as scene:
            client = await scene.client()
            raw = request("lodge", timeout="15", body=b"x" * 200_000)
            client.send(raw[:150_000])
            await until(lambda: sum(each.connections for each in scene.servers) == 1)
            for server in scene.servers:
                server.hang_up()
            # It was not executed, but a part of it was streamed, so it can't be retried.
            assert (await client.answer()).status == 503
            assert scene.heard == []
            assert (await scene.ask("lodge")).status == 502
            assert len(scene.heard) == 1

    play(work)


def test_pool_uses_another_server_when_connection_is_refused() -> None:
    async def work() -> None:
        async with stage(OK, OK, OK) as scene:
            scene.servers[0].stop()
            scene.servers[1].stop()
            responses = [await scene.ask("lodge") for _ in range(4)]
            assert [each.status for each in responses] == [200] * 4

    play(work)


def test_pool_closes_connection_at_deadline_without_response() -> None:
    async def work() -> None:
        async with stage(None) as scene:
            assert (await scene.ask("lodge", timeout="0.3")).status == 504
            await until(lambda: scene.servers[0].closed == [0])
            assert open_requests(scene) == 0

    play(work)


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("cause", ["drains", "removed", "client disconnected"])
def test_pool_writes_nothing_when_connection_is_established_too_late(cause: str, may_cancel: bool) -> None:
    # The server drains or is removed, or the attempt is cancelled, while its connection is being established.
    async def work() -> None:
        slow = SlowToAccept()
        await slow.fill()
        async with stage(bounds={"dialTimeoutUs": 15_000_000, "mayCancel": may_cancel}) as scene:
            await until(lambda: len(scene.discovery.heard) >= 2)
            scene.discovery.tell(line("s", slow.address))
            await until(lambda: len(scene.discovery.heard) >= 3)
            client = await scene.client()
            client.send(request("lodge", timeout="15"))
            await until(lambda: open_requests(scene) == 1)
            if cause == "client disconnected":
                client.close()
                await until(lambda: open_requests(scene) == 0)
            else:
                scene.discovery.tell(
                    line("s", slow.address, state="leaving" if cause == "drains" else "left")
                )
                await until(lambda: len(scene.discovery.heard) >= 4)
            accepted = await slow.let_go()
            if cause == "client disconnected":
                scene.sidecar.close()  # the connection is usable, so it was kept for later requests
            else:
                assert (await client.answer()).status == 503
            assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow.close()

    play(work)


def test_pool_rejects_requests_beyond_max_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    # Descriptors are limited.  A request that gets no connection was not sent, so it is rejected.
    # Admission control would otherwise reject some of the requests first.
    monkeypatch.setattr(concurrency_limit, "INITIAL_LIMIT_PER_ENDPOINT", 1e9)

    async def work() -> None:
        release, hold = holding()
        async with stage(hold, given={"limits": {"sockets": 80}}) as scene:
            scene.sidecar.downstream.max_connections = 32
            clients = []
            for number in range(20):
                clients.append(await scene.client())
                clients[-1].send(request("lodge", timeout="10"))
                await soon(clients[-1].writer.drain())
                if number < 16:
                    await until(lambda sent=number + 1: len(scene.heard) == sent)  # type: ignore[misc]
            await until(lambda: open_requests(scene) == 16)
            release.set()
            statuses = sorted([(await client.answer()).status for client in clients])
            assert statuses == [200] * 16 + [503] * 4

    play(work)
