"""A new version takes over under load: two started programs share one listening socket."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest
from loopback import (
    HOST,
    OK_RESPONSE,
    Client,
    ReceivedRequest,
    http_request,
    run_async,
    sidecar_harness,
    wait_until,
    within_timeout,
)
from running import SidecarProcess, running_sidecar, server_with_config, start_process, wait_for_readyz

from tulipnotch.sidecar.downstream.listener import adopt_listener, bind_and_listen
from tulipnotch.sidecar.http1.messages import Request


@pytest.fixture
def listener() -> Iterator[socket.socket]:
    """The clients' listening socket, held by the platform."""
    with bind_and_listen((HOST, 0)) as held:
        yield held


async def connected(listener: socket.socket) -> Client:
    return Client(*await asyncio.open_connection(*listener.getsockname()))


def test_new_process_takes_over_the_listener_while_the_old_one_finishes(
    listener: socket.socket, tmp_path: Path
) -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def script(heard: ReceivedRequest) -> bytes:
            if heard.target == "/hold":
                await release.wait()
            return OK_RESPONSE

        async with (
            server_with_config(script, tmp_path) as (config, server),
            running_sidecar(config, server, listener) as old,
        ):
            held, busy = await connected(listener), await connected(listener)
            held.send(http_request("lodge", target="/hold"))
            assert (await busy.send_request("lodge")).status == 200
            await wait_until(lambda: len(server.received_requests) == 2)
            async with running_sidecar(config, server, listener) as new:
                assert await new.send_command("readyz") == ["+OK ready"]
                begun = http_request("lodge")
                busy.send(begun[:20])  # a connection at rest would be let go of half a second later
                await busy.writer.drain()
                old.process.send_signal(signal.SIGTERM)
                await wait_for_readyz(old, "-ERR stopping")
                await _all_answered_by(new, listener)
                busy.send(begun[20:])
                answer = await busy.read_response()  # its connection is open, so the old one answers
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                assert old.process.returncode is None
                release.set()
                answer = await held.read_response()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                assert await within_timeout(old.process.wait()) == 0
                await _all_answered_by(new, listener)
                assert new.process.returncode is None

    run_async(work)


async def _all_answered_by(new: SidecarProcess, listener: socket.socket) -> None:
    """New connections meet the new process, each of them: nothing that shares the socket has shut it."""
    before = await _completed(new)
    for _ in range(10):
        client = await connected(listener)
        assert (await client.send_request("lodge")).status == 200
        client.close()
    assert await _completed(new) == before + 10


async def _completed(running: SidecarProcess) -> int:
    name = "app.downstream_requests.lodge.completed="
    (figure,) = [each for each in await running.send_command("telemetry") if each.startswith(name)]
    return int(figure.removeprefix(name))


def test_old_process_closes_its_idle_connections_and_ends(listener: socket.socket, tmp_path: Path) -> None:
    async def work() -> None:
        async with (
            server_with_config(OK_RESPONSE, tmp_path) as (config, server),
            running_sidecar(config, server, listener) as old,
        ):
            idle = await connected(listener)
            assert (await idle.send_request("lodge")).status == 200
            old.process.send_signal(signal.SIGTERM)
            assert await within_timeout(idle.reader.read()) == b""
            assert await within_timeout(old.process.wait()) == 0
            waiting = await connected(listener)  # in line for the next version, not refused
            waiting.send(http_request("lodge"))
            async with running_sidecar(config, server, listener):
                assert (await waiting.read_response()).status == 200

    run_async(work)


@pytest.mark.parametrize("what", ["nonsense", "-1", "99999", "file", "unconnected", "datagram"])
def test_process_exits_with_code_2_when_the_inherited_descriptor_is_invalid(
    what: str, tmp_path: Path
) -> None:
    async def work() -> None:
        async with server_with_config(OK_RESPONSE, tmp_path) as (config, _):
            with (
                config.open("rb") as file,
                socket.socket() as unconnected,
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
            ):
                open_ones = {"file": file.fileno(), "unconnected": unconnected.fileno()}
                open_ones["datagram"] = datagram.fileno()
                told = str(open_ones.get(what, what))
                process = await start_process(config, tuple(open_ones.values()), BALANCER_INHERITED_FD=told)
                _, said = await within_timeout(process.communicate())
                assert process.returncode == 2
                assert said.startswith(b"tulipnotch: BALANCER_INHERITED_FD: ")
                assert said.count(b"\n") == 1

    run_async(work)


def test_adopt_leaves_a_descriptor_open_when_it_is_no_listener() -> None:
    with socket.socket() as other:
        with pytest.raises(ValueError, match="not a listening"):
            adopt_listener(str(other.fileno()))
        os.fstat(other.fileno())  # still open


async def health(port: int) -> int:
    client = Client(*await asyncio.open_connection(HOST, port))
    client.send(Request(b"GET", b"/_health", [(b"host", b"x")]).encode_head_and_buffered_body())
    answer = await client.read_response()
    client.close()
    return answer.status


def test_start_waits_for_an_endpoint_list_for_a_bounded_time_when_none_is_cached(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against waiting for a discovery that is down: others wait for this process.
    async def work() -> None:
        monkeypatch.setattr("tulipnotch.sidecar.startup._ENDPOINT_LIST_TIMEOUT_S", 0.5)
        async with sidecar_harness(
            OK_RESPONSE, unresponsive_discovery=True, started=False, config_overrides={"known": None}
        ) as harness:
            starting = asyncio.ensure_future(harness.sidecar.start())
            await asyncio.sleep(0)
            assert await health(harness.sidecar.downstream.port) == 503
            assert not starting.done()
            await within_timeout(starting)
            assert await health(harness.sidecar.downstream.port) == 200
            assert harness.log == ["no fresh endpoint list within 0.5 s, using the cached one"]

    run_async(work)


def test_start_waits_for_nothing_when_an_endpoint_list_is_cached() -> None:
    # Guards against waiting for a discovery that is down, while clients wait for this process.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, unresponsive_discovery=True) as harness:
            assert await health(harness.sidecar.downstream.port) == 200
            assert (await harness.send_request()).status == 200

    run_async(work)


def test_takeover_accepts_nothing_before_it_has_a_fresh_endpoint_list(listener: socket.socket) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, unresponsive_discovery=True, started=False) as harness:
            starting = asyncio.ensure_future(
                harness.sidecar.start(adopt_listener(str(os.dup(listener.fileno()))))
            )
            client = await connected(listener)
            client.send(http_request("lodge"))
            await asyncio.sleep(0.1)
            assert harness.sidecar.downstream.open_connections == 0
            assert harness.sidecar.lifecycle.phase.value == "starting"
            harness.discovery.resume_responding()
            await within_timeout(starting)
            assert (await client.read_response()).status == 200

    run_async(work)


def test_takeover_ends_without_serving_when_stopped_while_it_waits(
    listener: socket.socket, tmp_path: Path
) -> None:
    async def work() -> None:
        async with server_with_config(OK_RESPONSE, tmp_path) as (config, _):
            with bind_and_listen((HOST, 0)) as silent:
                given = json.loads(config.read_text())
                given["discovery"] = f"{HOST}:{silent.getsockname()[1]}"
                config.write_text(json.dumps(given))
                descriptor = listener.fileno()
                process = await start_process(config, (descriptor,), BALANCER_INHERITED_FD=str(descriptor))
                assert process.stderr is not None
                assert b"control endpoint listens on" in await within_timeout(process.stderr.readline())
                process.send_signal(signal.SIGTERM)
                said = await within_timeout(process.stderr.read())
                assert b"serves on" not in said
                assert b"drained" in said
                assert await within_timeout(process.wait()) == 0

    run_async(work)


def test_budget_for_servers_is_halved_while_two_processes_run(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        monkeypatch.setattr("tulipnotch.sidecar.startup._TAKEOVER_OVERLAP_S", 0.2)
        async with sidecar_harness(OK_RESPONSE, started=False) as harness:
            whole = harness.sidecar._upstream.max_connections
            await harness.sidecar.start(adopt_listener(str(os.dup(listener.fileno()))))
            assert harness.sidecar._upstream.max_connections == whole // 2
            await wait_until(lambda: harness.sidecar._upstream.max_connections == whole)
            ending = asyncio.ensure_future(harness.sidecar.shut_down())
            await wait_until(lambda: harness.sidecar._upstream.max_connections == whole // 2)
            await within_timeout(ending)

    run_async(work)


def test_takeover_serves_what_waits_on_the_socket_when_the_old_process_was_killed(
    listener: socket.socket,
) -> None:
    # The version before was killed, and discovery is silent: nobody else takes what clients write there.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, started=False, unresponsive_discovery=True) as harness:
            client = await connected(listener)
            client.send(http_request("check", timeout="1.0"))
            starting = asyncio.ensure_future(
                harness.sidecar.start(adopt_listener(str(os.dup(listener.fileno()))))
            )
            async with asyncio.timeout(1.0):
                assert (await client.read_response()).status == 200
            await starting
            client.close()

    run_async(work)
