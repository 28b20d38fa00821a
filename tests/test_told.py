"""A drain that is announced while no watch is open: the sidecar hears of it, and sends nothing there."""

from __future__ import annotations

import asyncio
import json
import socket
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

from tulipnotch.decisions.interface import ServerState
from tulipnotch.sidecar import discovery, sidecar
from tulipnotch.sidecar.config import parse


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
def test_a_drain_is_heard_of_however_the_watch_before_it_ended(
    how: str, mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The call that waited is lost with its news; it counts as told all the same.
    if how == "silent":
        monkeypatch.setattr(discovery, "_WATCH_MS", 20)
        monkeypatch.setattr(discovery, "_WATCH_OVERDUE_S", 0.02)
        monkeypatch.setattr(discovery, "_WATCH_WITHIN_S", 4 * PATIENCE_S)

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


def test_where_lists_are_pushed_a_start_hears_the_agent_before_it_listens(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # What the agent has counts as told from the first moment on; the list that is remembered may be older.
    monkeypatch.setattr(sidecar, "_FRESH_WITHIN_S", PATIENCE_S)

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
    monkeypatch.setattr(sidecar, "_FRESH_WITHIN_S", 4 * PATIENCE_S)

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
            await until(lambda: scene.sidecar._balancer.members() == (1, 0))
            assert (await scene.ask("check")).status == 503  # one open request is all that is taken now
            release.set()
            assert (await client.answer()).status == 200  # it keeps its class, its limits and its server
            assert (await scene.ask("check")).status == 200
            assert [len(each.heard) for each in scene.servers] == [1, 1]
            assert scene.sidecar._balancer._servers["s-1"].state is ServerState.READY
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
                scene.sidecar.frontend.stop_listening(is_last=True)
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
            assert scene.sidecar._balancer._cores is not None
            raw = _raw(scene.sidecar.config.name, scene.discovery.address)
            scene.sidecar.reload(parse(raw, raw))
            assert scene.sidecar._balancer._cores is None

    play(work)
