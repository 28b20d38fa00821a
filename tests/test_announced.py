"""A drain that is announced while no watch is open: the sidecar receives it, and sends nothing there."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import Callable
from typing import Any

import pytest
from loopback import (
    HOST,
    OK,
    PATIENCE_S,
    Heard,
    ScriptedDiscovery,
    ScriptedServer,
    Stage,
    holding,
    line,
    play,
    reply,
    request,
    stage,
    until,
)
from slow_to_accept import SlowToAccept

from tulipnotch.load_balancing.events import EndpointState
from tulipnotch.load_balancing.settings import DiscoveryMode as Mode
from tulipnotch.sidecar import startup
from tulipnotch.sidecar.configuration.configuration import parse
from tulipnotch.sidecar.discovery import client as discovery
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule
from tulipnotch.sidecar.upstream.connection import parse_address

PLAN = PollSchedule(1.2)  # the users' 6 s at a fifth


def _leaving(scene: Stage) -> dict[str, Any]:
    return line("s-0", scene.servers[0].address, state="leaving")


async def _goes_elsewhere(scene: Stage) -> None:
    """Once the decisions know of the drain, every request goes to the other server."""
    await until(lambda: scene.sidecar._balancer.members() == (2, 1))
    before = len(scene.servers[0].heard)
    for _ in range(12):
        assert (await scene.ask()).status == 200
    assert len(scene.servers[0].heard) == before


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("how", ["silent", "reset", "503", "nonsense", "half", "away"])
def test_a_drain_is_received_however_the_watch_before_it_ended(
    how: str, mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The call that waited is lost with its news; it counts as announced all the same.
    if how == "silent":
        monkeypatch.setattr(discovery, "_PLAN", PLAN)

    async def work() -> None:
        async with stage(OK, OK, discovery=mode) as scene:
            agent = scene.discovery
            await until(lambda: len(agent.heard) >= 2)  # the watch waits
            agent.servers[0] = _leaving(scene)
            agent.version = 2
            if how == "reset":
                agent.hang_up()
            elif how == "503":
                agent.news.put_nowait(reply(b"", "503 Busy"))
            elif how == "nonsense":
                agent.news.put_nowait(reply(b'{"version": 2, "full": false, "servers": [{"id": 7}]}'))
            elif how == "half":
                whole = reply(json.dumps({"version": 2, "full": True, "servers": agent.servers}).encode())
                agent.heard[-1].writer.write(whole[:-20])
                await agent.heard[-1].writer.drain()
            elif how == "away":
                port = int(agent.address.rpartition(":")[2])
                agent.stop()
                again = ScriptedDiscovery()
                again.version, again.servers = 2, agent.servers
                await until(lambda: any("no list" in each for each in scene.log))
                await again.start(port)
            await _goes_elsewhere(scene)
            if how == "away":
                again.stop()

    play(work)


class Turning(ScriptedDiscovery):
    """Discovery that has the drain from `turn` on; what becomes of calls before then is chosen."""

    def __init__(self, how: str) -> None:
        super().__init__()
        self.how = how  # what becomes of calls until then: "fine", "503" or "hung"
        self.script = self._until_it_turns
        self.halves = False  # whether a watch's answer breaks off

    async def _until_it_turns(self, heard: Heard) -> bytes | None:
        if self.how == "503":
            return reply(b"", "503 Busy")
        if self.how == "hung":
            return None
        if "wait_ms" in heard.target and not heard.target.endswith("wait_ms=0"):
            if self.halves:
                heard.writer.write(reply(self.whole())[:-20])
            return None
        return reply(self.whole())

    def whole(self) -> bytes:
        return json.dumps({"version": self.version, "full": True, "servers": self.servers}).encode()

    def turn(self, drained: dict[str, Any]) -> None:
        self.how, self.version, self.servers = "fine", 2, [drained, *self.servers[1:]]


class Dials:
    """Of the dials to one address, those that never come up."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, address: str, lost: str) -> None:
        self.lose = 0  # how many of the next
        self.made = 0
        loop = asyncio.get_running_loop()
        real = loop.create_connection

        async def dial(made: Callable[[], asyncio.Protocol], host: str, port: int) -> object:
            if f"{host}:{port}" == address:
                self.made += 1
                if self.lose > 0:
                    self.lose -= 1
                    host, port = parse_address(lost)
            return await real(made, host, port)

        monkeypatch.setattr(loop, "create_connection", dial, raising=False)


ORDERS = [
    "silent from its first moment",
    "silent in the middle",
    "half an answer, then nothing",
    "refused",
    "503",
    "hung",
    "hung, and the next dial lost",
    "503, and the next dial lost",
    "dials hang",
    "moved, and the first call hung",
]


@pytest.mark.alone
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_drain_is_known_before_it_counts_as_announced_in_the_worst_order(
    mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # It counts so long after discovery had it and could be reached.  Every call that began before then is
    # lost, the last of them just before, and calls have failed so often that the rest is at its longest.
    monkeypatch.setattr(discovery, "_PLAN", PLAN)
    monkeypatch.setattr(PollSchedule, "wait_ms", lambda plan, *_: int(1_000 * plan.watch_s))  # the longest
    asking = {"askWithinUs": int(10e6 * PLAN.announced_s / PollSchedule().announced_s)}

    async def known_after(order: str) -> float:
        slow = SlowToAccept()
        await slow.fill()
        loop = asyncio.get_running_loop()
        async with stage(OK, OK, discovery=mode, guarantees=asking) as scene:
            drained, first = _leaving(scene), scene.discovery
            await until(lambda: len(first.heard) >= 2)  # its watch waits
            agent = Turning("fine" if "silent" in order or "half" in order else order[:4].strip(","))
            agent.how = "503" if "503" in order else "hung" if "hung" in order else agent.how
            agent.servers, agent.halves = first.servers, "half" in order
            port = 0 if "moved" in order else int(first.address.rpartition(":")[2])
            dials = Dials(monkeypatch, first.address, slow.address)
            if order != "moved, and the first call hung":
                first.stop()

            async def failed_often() -> None:
                await until(lambda: _failures(scene, dials) >= 4)

            async def begun(count: int) -> None:
                before = len(agent.heard)
                await until(lambda: len(agent.heard) >= before + count)

            if order == "refused":
                await failed_often()
                await agent.start(port)
            elif order == "dials hang":
                dials.lose = 1_000
                await agent.start(port)
                await failed_often()
                before = dials.made
                await until(lambda: dials.made > before)
                dials.lose = 0
            elif order == "moved, and the first call hung":
                await agent.start()
                raw = {**dict(scene.sidecar.config.file), "discovery": agent.address}
                scene.sidecar.reload(parse(raw, raw))
                await until(lambda: len(agent.heard) >= 1)
            else:
                await agent.start(port)
                if agent.how == "fine":
                    await until(lambda: any("wait_ms=0" not in each.target for each in agent.heard))
                else:
                    await failed_often()
                    await begun(1)
                dials.lose = 1 if "lost" in order else 0
            if order == "silent in the middle":
                await asyncio.sleep(PLAN.watch_s / 2)
            agent.turn(drained)
            reached = loop.time()
            await until(lambda: scene.sidecar._balancer.members() == (2, 1))
            took = loop.time() - reached
            await _goes_elsewhere(scene)
            agent.stop()
        slow.close()
        return took

    async def work() -> list[float]:
        return await asyncio.gather(*map(known_after, ORDERS))  # side by side: each has its own ends

    took = dict(zip(ORDERS, play(work), strict=True))
    print(*(f"{order}, {mode}: {each:.3f} of {PLAN.announced_s}" for order, each in took.items()), sep="\n")
    most_s = PLAN.announced_s - PLAN.answer_s  # the stand-in has no line, so its part is left over
    assert {order: each for order, each in took.items() if each >= most_s} == {}


def test_an_instance_waits_to_its_own_turn(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a fleet in step: its number is what tells its turns from the others'.
    asked: list[tuple[int, int, bool]] = []

    def wait_ms(plan: PollSchedule, now_us: int, instance: int, after_news: bool) -> int:
        asked.append((now_us, instance, after_news))
        return 2_000

    monkeypatch.setattr(PollSchedule, "wait_ms", wait_ms)

    async def work() -> None:
        async with stage(OK, OK, me=7) as scene:
            await until(lambda: len(scene.discovery.heard) >= 2)
            assert scene.discovery.heard[1].target.endswith("wait_ms=2000")
            scene.discovery.tell(_leaving(scene))
            await until(lambda: len(scene.discovery.heard) >= 3)
        assert [each[1:] for each in asked] == [(7, False), (7, True)]
        assert all(abs(now_us / 1e6 - time.time()) < PATIENCE_S for now_us, *_ in asked)  # of one clock

    play(work)


def _failures(scene: Stage, dials: Dials) -> int:
    """Calls that failed in a row where lists are asked for; where they are pushed, dials are as many."""
    asked = scene.sidecar.config.settings.discovery_mode is Mode.POLLED
    return scene.sidecar._balancer._parts.discovery_polling.failed_calls if asked else dials.made


def test_where_lists_are_pushed_a_start_receives_the_list_before_it_listens(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # What the agent has counts as announced from the first moment on; the remembered list may be older.
    monkeypatch.setattr(startup, "_ENDPOINT_LIST_TIMEOUT_S", PATIENCE_S)

    async def work() -> None:
        async with stage(OK, OK, discovery="pushed", started=False, silent_discovery=True) as scene:
            scene.discovery.servers[0] = _leaving(scene)
            scene.discovery.version = 2
            starting = asyncio.ensure_future(scene.sidecar.start())
            await until(lambda: len(scene.discovery.heard) == 1)
            assert scene.sidecar.frontend._acceptor is None
            scene.discovery.speak()
            await starting
            await _goes_elsewhere(scene)
            assert scene.servers[0].heard == []

    play(work)


def test_where_lists_are_pushed_an_agent_that_is_away_holds_no_start_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(startup, "_ENDPOINT_LIST_TIMEOUT_S", 4 * PATIENCE_S)

    async def work() -> None:
        async with stage(OK, discovery="pushed", started=False) as scene:
            scene.discovery.stop()
            await scene.sidecar.start()
            assert (await scene.ask()).status == 200

    play(work)


@pytest.mark.parametrize("back", ["active", "leaving"])
def test_a_server_that_left_and_came_back_gets_nothing_on_a_dial_from_before(back: str) -> None:
    # Under the same id, at the same address: what is there now is not what the dial was made for.
    async def work() -> None:
        slow = SlowToAccept()
        await slow.fill()
        async with stage(bounds={"dialTimeoutUs": 15_000_000}) as scene:
            await until(lambda: len(scene.discovery.heard) >= 2)
            scene.discovery.tell(line("s", slow.address))
            await until(lambda: len(scene.discovery.heard) >= 3)
            client = await scene.client()
            client.send(request("lodge", timeout="15"))
            await until(lambda: scene.sidecar.open_requests == 1)
            scene.discovery.tell({"id": "s", "state": "left"})
            await until(lambda: len(scene.discovery.heard) >= 4)
            scene.discovery.tell(line("s", slow.address, state=back, started_ms=5))
            await until(lambda: len(scene.discovery.heard) >= 5)
            accepted = await slow.let_go()
            assert (await client.answer()).status == 503
            assert await asyncio.get_running_loop().sock_recv(accepted, 1_000) == b""
            accepted.close()
        slow.close()

    play(work)


def test_a_reload_with_requests_open_changes_classes_limits_and_discovery_for_what_comes() -> None:
    async def work() -> None:
        release, hold = holding()
        async with stage(hold, OK, listed=False) as scene:
            first, second = (each.address for each in scene.servers)
            await until(lambda: len(scene.discovery.heard) >= 2)
            scene.discovery.tell(line("s-0", first))
            await until(lambda: len(scene.discovery.heard) >= 3)
            client = await scene.client()
            client.send(request("lodge", timeout="15"))
            await until(lambda: len(scene.heard) == 1)
            other = ScriptedDiscovery()
            other.version, other.servers = 0, [line("s-1", second)]  # it counts its own versions
            await other.start()
            before = scene.sidecar.config
            raw = _raw(before.name, other.address)
            scene.sidecar.reload(parse(raw, raw))
            await until(lambda: "s-1" in scene.sidecar._balancer._context.endpoints)
            assert (await scene.ask("check")).status == 503  # one open request is all that is taken now
            release.set()
            assert (await client.answer()).status == 200  # it keeps its class, its limits and its server
            assert (await scene.ask("check")).status == 200
            assert [len(each.heard) for each in scene.servers] == [1, 1]
            assert scene.sidecar._balancer._context.endpoints["s-1"].state is EndpointState.READY
            other.stop()

    play(work)


def _raw(name: str, address: str) -> dict[str, Any]:
    """A configuration with one class, one attempt, one open request, and another discovery."""
    return {
        "name": name,
        "listen": f"{HOST}:0",
        "discovery": address,
        "seed": "8c1f",
        "known": {"version": 1, "full": True, "servers": []},
        "settings": {
            "lanes": [{"name": "check", "giveUpUs": 3_000_000, "promiseUs": 750_000, "repeat": "read_like"}],
            "zone": "a",
            "quantumUs": 5_000,
            "discovery": "on_request",
            "bounds": {"sendCap": 1, "maxOpen": 1, "dialTimeoutUs": 1_000_000},
        },
    }


def test_the_last_to_listen_takes_what_the_kernel_has_accepted_for_it() -> None:
    # Its close would reset these connections, with the requests that were written to them.
    async def work() -> None:
        async with stage(OK) as scene:
            with socket.create_connection((HOST, scene.sidecar.frontend.port)) as caller:
                caller.sendall(request("lodge"))  # the event loop has had no turn since
                assert scene.sidecar.frontend.accept_pending()
                scene.sidecar.frontend.stop_listening()
                caller.setblocking(False)
                came = await asyncio.get_running_loop().sock_recv(caller, 1_000)
            assert came.startswith(b"HTTP/1.1 200 ")

    play(work)


def test_cores_that_nobody_reports_any_more_count_for_nothing() -> None:
    async def work() -> None:
        async def reports(heard: Heard) -> bytes:
            return OK.replace(b"\r\n\r\n", b"\r\nServer-Load: TEXT util=0.2\r\n\r\n")

        async with stage(await ScriptedServer(reports).start()) as scene:
            assert (await scene.ask()).status == 200
            assert scene.sidecar._balancer._parts.response_times.cores is not None
            raw = _raw(scene.sidecar.config.name, scene.discovery.address)
            scene.sidecar.reload(parse(raw, raw))
            assert scene.sidecar._balancer._parts.response_times.cores is None

    play(work)
