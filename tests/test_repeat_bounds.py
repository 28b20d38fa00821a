"""No attempt begins outside its class's bounds for repeats, however late it begins; and what proves nothing.

Every bad order is forced: the clock moves only when a test says so, connections are held back until they are
released, and servers report what they have read.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import pytest
from barriers import HeldDials, ManualClock, NarrowServer, narrow_connections, reset, server_line, tell
from loopback import CLASSES, FULL, OK, Client, Heard, ScriptedServer, Stage, play, request, stage, until
from slow_to_accept import SlowToAccept

from tulipnotch.load_balancing.events import TimerFired
from tulipnotch.sidecar.configuration.configuration import parse
from tulipnotch.sidecar.http1.messages import KEPT
from tulipnotch.sidecar.upstream import connection as client
from tulipnotch.sidecar.upstream import pool as upstream
from tulipnotch.sidecar.upstream.request import UpstreamRequest

MS = 1_000
WINDOW_US = 300 * MS
DIAL_US = 1_600 * MS
AIM_US = 100 * MS
OVERDUE_US = 150 * MS  # from here on an attempt at a server that answers nobody is overtaken
PEERS_ANSWERS = 4  # from others meanwhile, so that its server's silence is its own

_CHECKED = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nserved"


def _classes(group: str = "cell", window_us: int = WINDOW_US) -> list[dict[str, Any]]:
    kinds = [{**each, "promiseUs": AIM_US, "giveUpUs": 4_000_000} for each in CLASSES]
    kinds[1] |= {"group": group, "memorySpanUs": window_us}
    return kinds


@dataclass
class Overtaken:
    """A keyed request whose first attempt has not begun, and whose further ones went elsewhere."""

    scene: Stage
    client: Client
    ran: list[Heard]  # attempts that others than the first server have read whole
    let_run: asyncio.Event  # ends those that run on

    def attempts(self) -> list[UpstreamRequest]:
        (held,) = self.scene.sidecar._registry
        return held.upstream_requests


@asynccontextmanager
async def _overtaken(
    clock: ManualClock,
    first: str,
    *ends: str,
    group: str = "cell",
    window_us: int = WINDOW_US,
    may_cancel: bool = True,
    body: bytes = b"",
    attempts: int = 3,
    begun: Callable[[Stage], Awaitable[None]],
    warm: bool = False,
    hold_back: HeldDials | None = None,
) -> AsyncIterator[Overtaken]:
    """Send a request whose first attempt goes to the address `first` and is overtaken there.

    The attempts that follow go to two others and end so: "full", "reset", or "runs on" until it is let go.
    `begun` returns once the first attempt stands where it is to be late.  With `hold_back`, the connections
    of those that follow are held back as well, and none of them has begun.
    """
    ran: list[Heard] = []
    let_run = asyncio.Event()

    async def other(heard: Heard) -> bytes | None:
        if heard.method == "GET":
            return _CHECKED  # so that each attempt here opens a connection: a refusal on it is proof
        if len(ran) == len(ends):
            return FULL
        how = ends[len(ran)]
        ran.append(heard)
        if how == "full":
            return FULL
        if how == "reset":
            reset(heard)
            return None
        await let_run.wait()
        return OK

    bounds = {
        "dialTimeoutUs": DIAL_US,
        "secondCopies": True,
        "mayCancel": may_cancel,
        "sendCap": attempts,
    }
    lanes = _classes(group, window_us)
    async with stage(other, other, listed=False, bounds=bounds, lanes=lanes) as scene:
        await tell(scene, server_line(0, first))
        if warm:
            assert (await scene.ask("check")).status == 200
        client = await scene.client()
        client.send(request("amend", timeout="4.0", body=body))
        await until(lambda: len(scene.sidecar._registry) == 1)
        await begun(scene)
        await tell(scene, *(server_line(n + 1, each.address) for n, each in enumerate(scene.servers)))
        for _ in range(PEERS_ANSWERS):
            assert (await scene.ask("check")).status == 200
        if hold_back is not None:
            for each in scene.servers:
                hold_back.hold(each.address)
        clock.advance(OVERDUE_US)
        seen = Overtaken(scene, client, ran, let_run)
        await until(lambda: len(ran) == len(ends))
        done = len(ends) if "runs on" not in ends else ends.index("runs on")
        await until(lambda: all(each.has_ended for each in seen.attempts()[1 : 1 + done]))
        yield seen


async def _is_over(seen: Overtaken, group: str, *ends: str) -> None:
    """The client has what it may be told."""
    seen.let_run.set()
    answer = await seen.client.answer()
    if "runs on" in ends:
        assert answer.status == 200
    else:
        # It may have run; where every server drops the repeat, a refusal is harmless.
        assert answer.status in ((502, 503, 504) if group == "all" else (502, 504))
    await until(lambda: seen.scene.sidecar.open_requests == 0)


async def _heard_nothing(seen: Overtaken, late: ScriptedServer) -> None:
    """Let go of all connections; the server whose connection came up late has read no request on any."""
    seen.scene.sidecar.close()
    await until(lambda: len(late.closed) == late.connections)
    assert late.heard == []


# A connection that comes up late


def _dials(held: HeldDials) -> Callable[[Stage], Awaitable[None]]:
    async def begun(scene: Stage) -> None:
        await until(lambda: held.waiting == 1)

    return begun


_ENDS = [
    pytest.param(("reset",), id="reset"),
    pytest.param(("runs on",), id="runs on"),
    pytest.param(("full", "reset"), id="second of three"),
    pytest.param(("reset", "runs on"), id="two ran"),
]


@pytest.mark.parametrize("ends", _ENDS)
@pytest.mark.parametrize("may_cancel", [True, False], ids=["may cancel", ""])
@pytest.mark.parametrize("group", ["zone", "cell", "all"])
def test_an_overtaken_attempt_whose_connection_comes_up_after_the_window_is_not_written(
    group: str, may_cancel: bool, ends: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, held = ManualClock(monkeypatch), HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, listed=False) as aside:
            late = aside.servers[0]
            held.hold(late.address)
            options: dict[str, Any] = {"group": group, "may_cancel": may_cancel}
            async with _overtaken(clock, late.address, *ends, begun=_dials(held), **options) as seen:
                pool = seen.scene.sidecar._upstream
                clock.advance(WINDOW_US)
                held.release(late.address)
                await until(lambda: pool._dialling == 0)
                await _is_over(seen, group, *ends)
                assert len(seen.ran) == len(ends)
                seen.scene.sidecar.close()
                await until(lambda: len(late.closed) == late.connections)
                assert late.heard == []

    play(work)


@pytest.mark.parametrize("window_us", [150 * MS, 250 * MS, 600 * MS])
def test_the_bound_follows_the_class_and_not_the_time_to_connect(
    window_us: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # All are shorter than the time to connect; the first is as long as a first attempt waits.
    clock, held = ManualClock(monkeypatch), HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, listed=False) as aside:
            late = aside.servers[0]
            held.hold(late.address)
            options: dict[str, Any] = {"window_us": window_us + OVERDUE_US}
            async with _overtaken(clock, late.address, "reset", begun=_dials(held), **options) as seen:
                clock.advance(window_us + OVERDUE_US)
                held.release(late.address)
                await until(lambda: seen.scene.sidecar._upstream._dialling == 0)
                await _is_over(seen, "cell", "reset")
                await _heard_nothing(seen, late)

    play(work)


@pytest.mark.parametrize("ends", _ENDS)
@pytest.mark.parametrize("group", ["zone", "cell", "all"])
def test_an_overtaken_attempt_whose_connection_comes_up_within_the_window_is_used(
    group: str, ends: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, held = ManualClock(monkeypatch), HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, listed=False) as aside:
            late = aside.servers[0]
            held.hold(late.address)
            async with _overtaken(clock, late.address, *ends, group=group, begun=_dials(held)) as seen:
                clock.advance(WINDOW_US - 50 * MS)
                held.release(late.address)
                assert (await seen.client.answer()).status == 200
                assert len(late.heard) == 1 and len(seen.ran) == len(ends)
                seen.let_run.set()
                await until(lambda: seen.scene.sidecar.open_requests == 0)

    play(work)


@pytest.mark.parametrize("end", ["reset", "runs on"])
def test_an_attempt_that_overtook_and_comes_up_after_the_window_of_the_first_is_not_written(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The other way round: the first attempt has begun meanwhile, and bounds those that were to replace it.
    clock, held = ManualClock(monkeypatch), HeldDials(monkeypatch)

    async def work() -> None:
        release = asyncio.Event()

        async def first(heard: Heard) -> bytes | None:
            if end == "reset":
                reset(heard)
                return None
            await release.wait()
            return OK

        async with stage(first, listed=False) as aside:
            late = aside.servers[0]
            held.hold(late.address)
            async with _overtaken(clock, late.address, begun=_dials(held), hold_back=held) as seen:
                pool = seen.scene.sidecar._upstream
                await until(lambda: held.waiting == 2)
                held.release(late.address)
                await until(lambda: len(late.heard) == 1)
                if end == "reset":
                    await until(lambda: seen.attempts()[0].has_ended)
                clock.advance(WINDOW_US)
                for each in seen.scene.servers:
                    held.release(each.address)
                await until(lambda: pool._dialling == 0)
                release.set()
                assert (await seen.client.answer()).status == (200 if end == "runs on" else 502)
                seen.scene.sidecar.close()
                await until(lambda: all(len(each.closed) == each.connections for each in seen.scene.servers))
                assert [each for each in seen.scene.heard if each.method == "POST"] == []

    play(work)


def test_the_window_begins_as_the_last_byte_is_given_to_the_system(monkeypatch: pytest.MonkeyPatch) -> None:
    # The process is held up between its call for the write and what follows it: its server has all meanwhile.
    clock, held = ManualClock(monkeypatch), HeldDials(monkeypatch)
    held_up_us = 100 * MS
    posts: list[bytes] = []

    def write(descriptor: int, piece: bytes) -> int:
        taken = os.write(descriptor, piece)
        if piece.startswith(b"POST"):
            posts.append(piece)
            if len(posts) == 1:
                clock.advance(held_up_us)
        return taken

    async def work() -> None:
        async with stage(OK, listed=False) as aside:
            late = aside.servers[0]
            held.hold(late.address)
            monkeypatch.setattr(client, "os", SimpleNamespace(write=write))
            async with _overtaken(clock, late.address, "reset", begun=_dials(held)) as seen:
                clock.advance(WINDOW_US - held_up_us)
                held.release(late.address)
                await until(lambda: seen.scene.sidecar._upstream._dialling == 0)
                await _is_over(seen, "cell", "reset")
                await _heard_nothing(seen, late)

    play(work)


@pytest.mark.parametrize("end", ["reset", "runs on"])
def test_in_real_time_a_connection_held_back_by_a_full_backlog_gets_nothing_after_the_window(
    end: str,
) -> None:
    # The system repeats its own call for the connection after a second: the window has passed by then.
    async def work() -> None:
        slow = SlowToAccept()
        await slow.fill()

        async def begun(scene: Stage) -> None:
            await until(lambda: scene.sidecar._upstream._dialling == 1)

        class RealClock:
            def advance(self, span_us: int) -> None:
                pass

        clock: Any = RealClock()
        async with _overtaken(clock, slow.address, end, begun=begun) as seen:
            loop = asyncio.get_running_loop()
            ran_at = loop.time()
            pool = seen.scene.sidecar._upstream
            accepted = await slow.let_go()
            assert loop.time() - ran_at > WINDOW_US / 1e6, "the connection came up too early to show anything"
            await until(lambda: pool._dialling == 0)
            await _is_over(seen, "cell", end)
            seen.scene.sidecar.close()
            assert await loop.sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow.close()

    play(work)


# A last byte that the network takes late


_BODY = b"x" * 60_000 + b"the end"  # all of it is kept, so that it can be sent again


@asynccontextmanager
async def _stuck(clock: ManualClock, *ends: str, group: str) -> AsyncIterator[tuple[Overtaken, NarrowServer]]:
    """An attempt of which its server has taken a part."""
    server = NarrowServer()

    async def begun(scene: Stage) -> None:
        await server.accept()
        (held,) = scene.sidecar._registry
        await until(lambda: held.upstream_requests[0].connection is not None)
        assert held.upstream_requests[0].is_unwritten

    try:
        async with _overtaken(clock, server.address, *ends, group=group, body=_BODY, begun=begun) as seen:
            yield seen, server
    finally:
        server.close()


@pytest.mark.parametrize("end", ["reset", "runs on"])
@pytest.mark.parametrize("group", ["zone", "all"])
def test_the_last_byte_of_an_overtaken_attempt_is_not_written_after_the_window(
    group: str, end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The server reads on in the instant in which the window is over: no timer has had its turn.
    narrow_connections(monkeypatch)
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _stuck(clock, end, group=group) as (seen, server):
            clock.advance(WINDOW_US)
            got = await server.read_to(_BODY)
            assert got and not got.endswith(_BODY)
            await _is_over(seen, group, end)

    play(work)


@pytest.mark.parametrize("end", ["reset", "runs on"])
def test_an_overtaken_attempt_with_a_part_unwritten_ends_with_the_window(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # As above, where timers come in time; the clock runs from here on.
    narrow_connections(monkeypatch)
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _stuck(clock, end, group="cell") as (seen, server):
            first = seen.attempts()[0]
            loop = asyncio.get_running_loop()
            began, clock_began = loop.time(), clock.now_us
            while loop.time() - began < WINDOW_US / 1e6 + 0.1:
                await asyncio.sleep(0.01)
                clock.now_us = clock_began + int((loop.time() - began) * 1e6)
            assert first.has_ended
            got = await server.read_to(_BODY)
            assert not got.endswith(_BODY)
            await _is_over(seen, "cell", end)

    play(work)


def test_the_last_byte_of_an_overtaken_attempt_is_written_within_the_window(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    narrow_connections(monkeypatch)
    # The time that its head told is another bound, and a closer one (`test_passed_deadline.py`).
    monkeypatch.setattr(upstream, "_TOLD_LATE_US", 10 * WINDOW_US)
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _stuck(clock, "reset", group="zone") as (seen, server):
            clock.advance(WINDOW_US - 50 * MS)
            got = await server.read_to(_BODY)
            assert got.endswith(_BODY)
            await server.send(OK)
            assert (await seen.client.answer()).status == 200

    play(work)


# A connection at rest that is waited for


@pytest.mark.parametrize("end", ["reset", "runs on"])
@pytest.mark.parametrize("when", ["within the window", "after it"])
def test_an_overtaken_attempt_that_waits_for_a_connection_to_rest(
    when: str, end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock(monkeypatch)
    monkeypatch.setattr(upstream, "_REST_US", 400 * MS)

    async def begun(scene: Stage) -> None:
        await until(lambda: len(scene.sidecar._upstream._resting) == 1)

    async def work() -> None:
        async with stage(OK, listed=False) as aside:
            first = aside.servers[0]
            async with _overtaken(clock, first.address, end, begun=begun, warm=True) as seen:
                clock.advance(WINDOW_US if when == "after it" else WINDOW_US - 50 * MS)
                await until(lambda: not seen.scene.sidecar._upstream._resting)
                if when == "after it":
                    await _is_over(seen, "cell", end)
                    seen.scene.sidecar.close()
                    await until(lambda: len(first.closed) == first.connections)
                    assert [each.method for each in first.heard] == ["GET"]
                else:
                    assert (await seen.client.answer()).status == 200
                    assert [each.method for each in first.heard] == ["GET", "POST"]

    play(work)


# A last byte that the client sends late


@pytest.mark.parametrize("first", ["connected", "held back"])
def test_a_body_whose_last_byte_comes_late_begins_at_one_server_only(
    first: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # What is more than is kept passes through to one server, and its last byte follows once it has come.
    clock, held = ManualClock(monkeypatch), HeldDials(monkeypatch)
    bounds = {"dialTimeoutUs": DIAL_US, "secondCopies": True}
    body = b"x" * (KEPT + 2)  # no more waits here than is read on for, while its connection comes up

    async def work() -> None:
        async with stage(OK, OK, OK, listed=False, bounds=bounds, lanes=_classes()) as scene:
            late = scene.servers[0]
            if first == "held back":
                held.hold(late.address)
            await tell(scene, server_line(0, late.address))
            client = await scene.client()
            whole = request("amend", timeout="4.0", body=body)
            client.send(whole[:-1])
            if first == "held back":
                await until(lambda: held.waiting == 1)
            else:
                await until(lambda: late.connections == 1)
            await tell(scene, *(server_line(n, each.address) for n, each in enumerate(scene.servers) if n))
            clock.advance(2 * OVERDUE_US)
            scene.sidecar._events.post(TimerFired("due"))
            assert [each for each in scene.heard if each.method == "POST"] == []
            (at_sidecar,) = scene.sidecar._registry
            client.send(whole[-1:])
            await until(lambda: at_sidecar.body_completed_at > 0)
            for _ in range(PEERS_ANSWERS):
                assert (await scene.ask("check")).status == 200
            clock.advance(OVERDUE_US)
            if first == "held back":
                scene.sidecar._events.post(TimerFired("due"))
                clock.advance(WINDOW_US)
                held.release(late.address)
            assert (await client.answer()).status == 200
            (post,) = [each for each in scene.heard if each.method == "POST"]
            assert post.body == body and post in late.heard

    play(work)


# An answer that belongs to the request before


@dataclass
class Strayed:
    """A request whose server has read all of it, and then answered the one before once more."""

    scene: Stage
    client: Client
    is_shared: bool  # whether it came on the connection of the request before


@asynccontextmanager
async def _strayed(
    kind: str, clock: ManualClock | None = None, after_us: int = 0, group: str = "cell", **other: Any
) -> AsyncIterator[Strayed]:
    """Send a request to a server that turned one away before; answer that one again once this one is read.

    Meanwhile another server is listed, as `other` says: that is where this one could go.
    """
    read = asyncio.Event()
    again = asyncio.Event()

    async def twice(heard: Heard) -> bytes:
        if len(scene.servers[0].heard) == 1:
            return FULL
        read.set()
        await again.wait()
        before = scene.servers[0].heard[0]
        if heard.connection == before.connection:
            return FULL  # the same answer once more
        before.writer.write(FULL)
        return OK

    async with stage(twice, OK, listed=False, lanes=_classes(group)) as scene:
        await tell(scene, server_line(0, scene.servers[0].address))
        assert (await scene.ask(kind)).status == 503
        client = await scene.client()
        client.send(request(kind, timeout="4.0"))
        await until(read.is_set)
        await tell(scene, server_line(1, scene.servers[1].address, **other))
        if clock is not None:
            clock.advance(after_us)
        again.set()
        first, second = scene.servers[0].heard
        yield Strayed(scene, client, first.connection == second.connection)


def test_an_answer_to_the_request_before_does_not_send_an_unsafe_request_elsewhere() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        async with _strayed("lodge") as seen:
            began = loop.time()
            answer = await seen.client.answer()
            assert answer.status == (502 if seen.is_shared else 200)
            assert loop.time() - began < 1.0  # at once, and not at its deadline
            assert seen.scene.servers[1].heard == []
            await until(lambda: seen.scene.sidecar.open_requests == 0)

    play(work)


def test_a_refusal_as_the_first_answer_on_a_connection_still_sends_an_unsafe_request_elsewhere() -> None:
    async def work() -> None:
        let_go = asyncio.Event()

        async def full(heard: Heard) -> bytes:
            await let_go.wait()
            return FULL

        async with stage(full, OK, listed=False, lanes=_classes()) as scene:
            await tell(scene, server_line(0, scene.servers[0].address))
            client = await scene.client()
            client.send(request("lodge", timeout="4.0"))
            await until(lambda: len(scene.heard) == 1)
            await tell(scene, server_line(1, scene.servers[1].address))
            let_go.set()
            assert (await client.answer()).status == 200
            assert [len(each.heard) for each in scene.servers] == [1, 1]

    play(work)


def test_nobody_else_is_there_and_a_refusal_as_the_first_answer_is_passed_on() -> None:
    async def work() -> None:
        async with stage(FULL, lanes=_classes()) as scene:
            assert (await scene.ask("lodge")).status == 503

    play(work)


_ELSEWHERE = [("cell", {"cell": 2}), ("zone", {"zone": "b"})]


@pytest.mark.parametrize(("group", "other"), _ELSEWHERE, ids=["cell", "zone"])
def test_an_answer_to_the_request_before_does_not_send_a_keyed_request_to_another_group(
    group: str, other: dict[str, Any]
) -> None:
    async def work() -> None:
        async with _strayed("amend", group=group, **other) as seen:
            answer = await seen.client.answer()
            assert answer.status == (502 if seen.is_shared else 200)
            assert seen.scene.servers[1].heard == []

    play(work)


@pytest.mark.parametrize("group", ["cell", "zone", "all"])
def test_an_answer_to_the_request_before_does_not_send_a_keyed_request_on_after_the_window(
    group: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _strayed("amend", clock, WINDOW_US, group) as seen:
            answer = await seen.client.answer()
            refused = (503,) if group == "all" else ()
            assert answer.status in ((502, *refused) if seen.is_shared else (200,))
            assert seen.scene.servers[1].heard == []

    play(work)


@pytest.mark.parametrize("group", ["cell", "zone", "all"])
def test_an_answer_to_the_request_before_leaves_a_keyed_request_its_own_group_and_window(
    group: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = ManualClock(monkeypatch)

    async def work() -> None:
        async with _strayed("amend", clock, WINDOW_US - 50 * MS, group) as seen:
            assert (await seen.client.answer()).status == 200
            assert len(seen.scene.servers[1].heard) == (1 if seen.is_shared else 0)

    play(work)


# The configuration changes under a request


def _reload(scene: Stage, **changes: Any) -> None:
    """Change settings in the running sidecar."""
    before = dict(scene.sidecar.config.file)
    raw = {**before, "settings": {**before["settings"], **changes}}
    scene.sidecar.reload(parse(raw, raw))


def _with_class(**changes: Any) -> dict[str, Any]:
    kinds = _classes("cell")
    kinds[1] = {key: each for key, each in (kinds[1] | changes).items() if each is not None}
    return {"lanes": kinds}


_RELOADS = [
    pytest.param(_with_class(memorySpanUs=3_000_000), id="a longer window"),
    pytest.param(_with_class(group="all"), id="a wider group"),
    pytest.param(_with_class(repeat="read_like", group=None, memorySpanUs=None), id="safe"),
    pytest.param({"lanes": [_classes()[0]]}, id="the class goes"),
]


@pytest.mark.parametrize("changes", _RELOADS)
def test_a_reload_does_not_loosen_the_bounds_of_a_request_that_has_begun(
    changes: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, held = ManualClock(monkeypatch), HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, listed=False) as aside:
            late = aside.servers[0]
            held.hold(late.address)
            async with _overtaken(clock, late.address, "reset", begun=_dials(held)) as seen:
                _reload(seen.scene, **changes)
                clock.advance(WINDOW_US)
                held.release(late.address)
                await until(lambda: seen.scene.sidecar._upstream._dialling == 0)
                await _is_over(seen, "cell", "reset")
                await _heard_nothing(seen, late)

    play(work)


def test_a_reload_that_forbids_second_copies_holds_for_an_attempt_that_has_not_begun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock, held = ManualClock(monkeypatch), HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, listed=False) as aside:
            late = aside.servers[0]
            held.hold(late.address)
            async with _overtaken(clock, late.address, "runs on", begun=_dials(held)) as seen:
                bounds = seen.scene.sidecar.config.file["settings"]["bounds"]
                _reload(seen.scene, bounds={**bounds, "secondCopies": False})
                held.release(late.address)
                await until(lambda: seen.scene.sidecar._upstream._dialling == 0)
                await _is_over(seen, "cell", "runs on")
                await _heard_nothing(seen, late)

    play(work)


@pytest.mark.parametrize("kind", ["lodge", "amend"])
def test_a_reload_under_a_request_that_may_have_run_lets_it_go_nowhere_else(kind: str) -> None:
    # By its class as it was, nothing may follow: unsafe, or keyed with nobody else in the group.
    async def work() -> None:
        let_go = asyncio.Event()

        async def first(heard: Heard) -> None:
            await let_go.wait()
            reset(heard)

        async with stage(first, OK, listed=False, lanes=_classes("cell")) as scene:
            await tell(scene, server_line(0, scene.servers[0].address))
            client = await scene.client()
            client.send(request(kind, timeout="4.0"))
            await until(lambda: len(scene.heard) == 1)
            keyed = {"repeat": "idempotency_key", "group": "all", "memorySpanUs": 3_000_000}
            free = [_classes()[0], *({**each, **keyed} for each in _classes()[1:])]
            _reload(scene, lanes=free)
            await tell(scene, server_line(1, scene.servers[1].address, cell=2))
            let_go.set()
            assert (await client.answer()).status == 502
            assert scene.servers[1].heard == []

    play(work)


@pytest.mark.parametrize("kind", ["check", "amend"])
def test_a_request_of_a_class_that_has_just_gone_is_sent_once(kind: str) -> None:
    # Requests of it are on their way; what the settings do not name is held to be unsafe.
    async def work() -> None:
        async def resets(heard: Heard) -> None:
            reset(heard)

        async with stage(resets, resets, lanes=_classes()) as scene:
            _reload(scene, lanes=[_classes()[2]])
            assert (await scene.ask(kind)).status == 502
            assert len(scene.heard) == 1

    play(work)


# The list changes a server's place under a request


@pytest.mark.parametrize(("group", "place"), _ELSEWHERE, ids=["cell", "zone"])
def test_an_overtaken_attempt_is_not_written_where_its_server_has_left_the_group(
    group: str, place: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock, held = ManualClock(monkeypatch), HeldDials(monkeypatch)

    async def work() -> None:
        async with stage(OK, listed=False) as aside:
            late = aside.servers[0]
            held.hold(late.address)
            async with _overtaken(clock, late.address, "runs on", group=group, begun=_dials(held)) as seen:
                await tell(seen.scene, server_line(0, late.address, **place))
                held.release(late.address)
                await until(lambda: seen.scene.sidecar._upstream._dialling == 0)
                await _is_over(seen, group, "runs on")
                await _heard_nothing(seen, late)

    play(work)


@pytest.mark.parametrize(("group", "place"), _ELSEWHERE, ids=["cell", "zone"])
def test_the_group_of_an_attempt_is_that_of_its_server_as_its_last_byte_left(
    group: str, place: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Its server moves between the decision and the last byte; one is left where it was, one is where it is.
    held = HeldDials(monkeypatch)
    ManualClock(monkeypatch)

    async def work() -> None:
        async def first(heard: Heard) -> None:
            reset(heard)

        async with stage(first, OK, OK, listed=False, lanes=_classes(group)) as scene:
            address, before, now = (each.address for each in scene.servers)
            held.hold(address)
            await tell(scene, server_line(0, address))
            client = await scene.client()
            client.send(request("amend", timeout="4.0"))
            await until(lambda: held.waiting == 1)
            await tell(
                scene,
                server_line(0, address, **place),
                server_line(1, before),
                server_line(2, now, **place),
            )
            held.release(address)
            assert (await client.answer()).status == 200
            assert [len(each.heard) for each in scene.servers] == [1, 0, 1]

    play(work)


@pytest.mark.parametrize("why", ["moves", "restarts elsewhere", "leaves"])
@pytest.mark.parametrize(("group", "place"), _ELSEWHERE, ids=["cell", "zone"])
def test_the_group_of_an_attempt_that_ran_stays_as_its_server_moves(
    group: str, place: dict[str, Any], why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    ManualClock(monkeypatch)

    async def work() -> None:
        let_go = asyncio.Event()

        async def first(heard: Heard) -> None:
            await let_go.wait()
            reset(heard)

        async with stage(first, OK, listed=False, lanes=_classes(group)) as scene:
            address, other = (each.address for each in scene.servers)
            await tell(scene, server_line(0, address))
            client = await scene.client()
            client.send(request("amend", timeout="4.0"))
            await until(lambda: len(scene.heard) == 1)
            changes = dict(place)
            if why == "restarts elsewhere":
                changes["started_ms"] = 1_600_000_000_000
            elif why == "leaves":
                changes = {"state": "left"}
            await tell(scene, server_line(0, address, **changes), server_line(1, other, **place))
            let_go.set()
            assert (await client.answer()).status == 502
            assert scene.servers[1].heard == []

    play(work)
