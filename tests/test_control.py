"""The operators' door, over loopback sockets: whole calls, broken ones, and callers that hold it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest
from loopback import HOST, OK, Client, Heard, play, request, soon, stage, until

from tulipnotch.sidecar.control.endpoint import CommandRejectedError, ControlEndpoint, ControlLimits
from tulipnotch.sidecar.control.telemetry import Result, Telemetry
from tulipnotch.sidecar.http1.messages import Request

SHORT = ControlLimits(line_timeout_s=0.2, linger_s=0.1, most_connections=4)


def _refused() -> list[str]:
    raise CommandRejectedError("starting")


@asynccontextmanager
async def door(limits: ControlLimits | None = None) -> AsyncIterator[ControlEndpoint]:
    calls = {"readyz": lambda: ["ready"], "figures": lambda: ["", "a=1", "."], "refused": _refused}
    control = ControlEndpoint(calls, limits)
    control.listen((HOST, 0))
    try:
        yield control
    finally:
        control.close()


async def call(port: int, *pieces: bytes, end: bool = False) -> bytes:
    reader, writer = await asyncio.open_connection(HOST, port)
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(0.01)
    if end:
        writer.write_eof()
    answer = await soon(reader.read())
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("pieces", "answer"),
    [
        ((b"readyz\n",), b"+OK ready\n"),
        ((b"readyz\r\n",), b"+OK ready\n"),
        ((b"re", b"ady", b"z", b"\n"), b"+OK ready\n"),
        ((b"figures\n",), b"+OK\na=1\n.\n"),
        ((b"refused\n",), b"-ERR starting\n"),
        ((b"readyz\nreadyz\nreadyz\n",), b"+OK ready\n"),  # one call a connection
    ],
)
def test_a_whole_call_gets_its_answer(pieces: tuple[bytes, ...], answer: bytes) -> None:
    async def work() -> None:
        async with door() as control:
            assert await call(control.port, *pieces) == answer
            await until(lambda: control.open_connections == 0)

    play(work)


@pytest.mark.parametrize(
    "pieces",
    [
        (b"\n",),
        (b"  \r\n",),
        (b"unheard-of\n",),
        (b"READYZ\n",),
        (b"readyz now\n",),
        ("r\u00e9adyz\n".encode(),),
        (b"\x00\xff\n",),
        (b"x" * 300 + b"\n",),
        (b"x" * 200, b"x" * 200),
        (b"x" * 100_000,),
    ],
)
def test_anything_else_gets_one_line_with_a_reason(pieces: tuple[bytes, ...]) -> None:
    async def work() -> None:
        async with door() as control:
            answer = await call(control.port, *pieces)
            assert answer.startswith(b"-ERR ") and answer.count(b"\n") == 1 and len(answer) > 8
            assert await call(control.port, b"readyz\n") == b"+OK ready\n"

    play(work)


@pytest.mark.parametrize("part", [b"", b"ready", b"readyz"])
def test_a_line_without_its_end_is_no_call(part: bytes) -> None:
    # Guards against carrying out what was cut off on the way: `evacuate` may be the start of another word.
    async def work() -> None:
        async with door(SHORT) as control:
            assert (await call(control.port, part, end=True)).startswith(b"-ERR ")
            assert (await call(control.port, part)).startswith(b"-ERR ")  # when its time is up

    play(work)


def test_silent_callers_delay_nobody_and_the_stalest_goes() -> None:
    async def work() -> None:
        async with door(ControlLimits(line_timeout_s=600.0, most_connections=4)) as control:
            held = []
            for number in range(12):
                held.append(await asyncio.open_connection(HOST, control.port))
                held[-1][1].write(b"read")
                most = min(number + 1, 4)
                await until(lambda most=most: control.open_connections == most)  # type: ignore[misc]
            assert await call(control.port, b"readyz\n") == b"+OK ready\n"
            for reader, _ in held[:8]:
                with suppress(ConnectionResetError):
                    assert await soon(reader.read()) == b""
            held[-1][1].write(b"yz\n")  # the youngest was spared
            assert await soon(held[-1][0].read()) == b"+OK ready\n"
            for _, writer in held:
                writer.close()

    play(work)


def test_a_caller_that_never_reads_is_cut_off() -> None:
    async def work() -> None:
        async with door(SHORT) as control:
            _, writer = await asyncio.open_connection(HOST, control.port)
            writer.write(b"readyz\n")
            await until(lambda: control.open_connections == 1)
            await until(lambda: control.open_connections == 0)
            writer.close()

    play(work)


def test_every_class_shows_from_the_start_and_one_that_left_stays() -> None:
    figures = Telemetry(["look", "odd name=\n"])
    assert "app.downstream_requests.look.rejected=0" in figures.lines({})
    assert "app.downstream_requests.odd_name__.failed=0" in figures.lines({})
    figures.request_ended("look", Result.FAILED)
    figures.add_classes(["new"])
    lines = figures.lines({"pending": 3})
    assert "app.downstream_requests.look.failed=1" in lines
    assert "app.downstream_requests.new.completed=0" in lines
    assert "app.pending=3" in lines
    assert "app.upstream_requests_withheld=0" in lines
    assert len(lines) == 3 * 3 + 5 + 29


def figures_of(answer: list[str]) -> dict[str, int]:
    assert (answer[0], answer[-1]) == ("", ".")
    return {name: int(value) for name, _, value in (each.partition("=") for each in answer[1:-1])}


def test_the_figures_tell_what_became_of_each_request() -> None:
    # Early refusals count too, and an attempt counts once its last byte is written, not before.
    async def work() -> None:
        release = asyncio.Event()

        async def script(heard: Heard) -> bytes:
            if heard.target.endswith("hold"):
                await release.wait()
            return OK if heard.method == "GET" else b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"

        async with stage(script, bounds={"maxOpen": 2}) as scene:

            def figures() -> dict[str, int]:
                return figures_of(list(scene.sidecar.calls()["telemetry"]()))

            assert figures()["app.downstream_requests.amend.completed"] == 0
            assert (await scene.ask("check")).status == 200
            assert (await scene.ask("lodge")).status == 502
            holding = [await scene.client(), await scene.client()]
            for client in holding:
                client.send(request("check", target="/hold"))
            await until(lambda: len(scene.heard) == 4)
            assert (await scene.ask("check")).status == 503
            now = figures()
            assert now["app.downstream_requests.check.completed"] == 1
            assert now["app.downstream_requests.check.rejected"] == 1
            assert now["app.downstream_requests.lodge.failed"] == 1
            assert now["app.pending"] == 2
            assert now["app.upstream_requests"] == 4
            assert (now["app.members"], now["app.members_unavailable"]) == (1, 0)
            release.set()
            for client in holding:
                assert (await client.answer()).status == 200
            assert figures()["app.pending"] == 0

    play(work)


async def health(client: Client) -> tuple[int, str | None]:
    client.send(Request(b"GET", b"/_health", [(b"host", b"x")]).encode_start())
    answer = await client.answer()
    return answer.status, answer.headers.get("connection")


def test_an_evacuated_sidecar_empties_itself_and_activate_undoes_it() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def hold(heard: Heard) -> bytes:
            if heard.target.endswith("hold"):
                await release.wait()
            return OK

        async with stage(hold) as scene:
            calls = scene.sidecar.calls()
            idle, silent, working = [await scene.client() for _ in range(3)]
            assert (await idle.ask()).status == 200
            working.send(request("lodge", target="/hold"))
            await until(lambda: len(scene.heard) == 2)
            for _ in range(2):
                assert calls["evacuate"]() == ["evacuating"]
            with pytest.raises(CommandRejectedError):
                calls["readyz"]()
            assert await health(await scene.client()) == (503, "close")  # the listener stays open
            for client in (idle, silent):
                assert await soon(client.reader.read()) == b""
            late = await scene.ask()
            assert (late.status, late.headers["connection"]) == (200, "close")
            release.set()
            answer = await working.answer()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            await until(lambda: scene.sidecar.frontend.open_connections == 0)
            for _ in range(2):
                assert calls["activate"]() == ["serving"]
            assert calls["readyz"]() == ["ready"]
            client = await scene.client()
            assert await health(client) == (200, None)
            assert "connection" not in (await client.ask()).headers

    play(work)


def test_a_client_at_work_on_an_evacuated_sidecar_meets_no_closed_connection() -> None:
    # Guards against closing under a request: the next one is answered, with word that the connection ends.
    async def work() -> None:
        async with stage(OK) as scene:
            client = await scene.client()
            assert (await client.ask()).status == 200
            scene.sidecar.calls()["evacuate"]()
            answer = await client.ask()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await soon(client.reader.read()) == b""

    play(work)
