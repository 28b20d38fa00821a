"""Handover of the clients' listener: a new process takes over while the old one finishes its requests."""

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
    """The clients' listening socket, which the platform keeps open."""
    with bind_and_listen((HOST, 0)) as listening:
        yield listening


async def connect(listener: socket.socket) -> Client:
    return Client(*await asyncio.open_connection(*listener.getsockname()))


def test_new_process_takes_over_the_listener_while_the_old_one_finishes(
    listener: socket.socket, tmp_path: Path
) -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def script(received: ReceivedRequest) -> bytes:
            if received.target == "/hold":
                await release.wait()
            return OK_RESPONSE

        async with (
            server_with_config(script, tmp_path) as (config, server),
            running_sidecar(config, server, listener) as old,
        ):
            waiting_client, partial_client = await connect(listener), await connect(listener)
            waiting_client.send(http_request("lodge", target="/hold"))
            assert (await partial_client.send_request("lodge")).status == 200
            await wait_until(lambda: len(server.received_requests) == 2)
            async with running_sidecar(config, server, listener) as new:
                assert await new.send_command("readyz") == ["+OK ready"]
                request = http_request("lodge")
                partial_client.send(request[:20])  # an idle connection would be closed half a second later
                await partial_client.writer.drain()
                old.process.send_signal(signal.SIGTERM)
                await wait_for_readyz(old, "-ERR stopping")
                await _assert_new_connections_served_by(new, listener)
                partial_client.send(request[20:])
                # The old process still has this connection, so it is the one that responds.
                response = await partial_client.read_response()
                assert (response.status, response.headers["connection"]) == (200, "close")
                assert old.process.returncode is None
                release.set()
                response = await waiting_client.read_response()
                assert (response.status, response.headers["connection"]) == (200, "close")
                assert await within_timeout(old.process.wait()) == 0
                await _assert_new_connections_served_by(new, listener)
                assert new.process.returncode is None

    run_async(work)


async def _assert_new_connections_served_by(new: SidecarProcess, listener: socket.socket) -> None:
    """Checks that the new process accepts each new connection: no other has shut down the shared socket."""
    before = await _completed_requests(new)
    for _ in range(10):
        client = await connect(listener)
        assert (await client.send_request("lodge")).status == 200
        client.close()
    assert await _completed_requests(new) == before + 10


async def _completed_requests(running: SidecarProcess) -> int:
    prefix = "app.downstream_requests.lodge.completed="
    (metric,) = [each for each in await running.send_command("telemetry") if each.startswith(prefix)]
    return int(metric.removeprefix(prefix))


def test_old_process_closes_its_idle_connections_and_ends(listener: socket.socket, tmp_path: Path) -> None:
    async def work() -> None:
        async with (
            server_with_config(OK_RESPONSE, tmp_path) as (config, server),
            running_sidecar(config, server, listener) as old,
        ):
            idle_client = await connect(listener)
            assert (await idle_client.send_request("lodge")).status == 200
            old.process.send_signal(signal.SIGTERM)
            assert await within_timeout(idle_client.reader.read()) == b""
            assert await within_timeout(old.process.wait()) == 0
            waiting_client = await connect(listener)  # queued for the next process, not refused
            waiting_client.send(http_request("lodge"))
            async with running_sidecar(config, server, listener):
                assert (await waiting_client.read_response()).status == 200

    run_async(work)


@pytest.mark.parametrize("value", ["nonsense", "-1", "99999", "file", "unconnected", "datagram"])
def test_process_exits_with_code_2_when_the_inherited_descriptor_is_invalid(
    value: str, tmp_path: Path
) -> None:
    async def work() -> None:
        async with server_with_config(OK_RESPONSE, tmp_path) as (config, _):
            with (
                config.open("rb") as file,
                socket.socket() as unconnected,
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
            ):
                descriptors = {"file": file.fileno(), "unconnected": unconnected.fileno()}
                descriptors["datagram"] = datagram.fileno()
                inherited_fd = str(descriptors.get(value, value))
                process = await start_process(
                    config, tuple(descriptors.values()), BALANCER_INHERITED_FD=inherited_fd
                )
                _, stderr = await within_timeout(process.communicate())
                assert process.returncode == 2
                assert stderr.startswith(b"tulipnotch: BALANCER_INHERITED_FD: ")
                assert stderr.count(b"\n") == 1

    run_async(work)


def test_adopt_listener_does_not_close_the_descriptor_when_it_is_not_a_listener() -> None:
    with socket.socket() as other:
        with pytest.raises(ValueError, match="not a listening"):
            adopt_listener(str(other.fileno()))
        os.fstat(other.fileno())  # raises OSError if the descriptor is closed


async def health_check_status(port: int) -> int:
    client = Client(*await asyncio.open_connection(HOST, port))
    client.send(Request(b"GET", b"/_health", [(b"host", b"x")]).encode_head_and_buffered_body())
    response = await client.read_response()
    client.close()
    return response.status


def test_start_waits_for_an_endpoint_list_for_a_bounded_time_when_none_is_cached(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against an unbounded wait for a discovery that is down, while others wait until this process is
    # ready.
    async def work() -> None:
        monkeypatch.setattr("tulipnotch.sidecar.startup._ENDPOINT_LIST_TIMEOUT_S", 0.5)
        async with sidecar_harness(
            OK_RESPONSE, unresponsive_discovery=True, started=False, config_overrides={"known": None}
        ) as harness:
            start_task = asyncio.ensure_future(harness.sidecar.start())
            await asyncio.sleep(0)
            assert await health_check_status(harness.sidecar.downstream.port) == 503
            assert not start_task.done()
            await within_timeout(start_task)
            assert await health_check_status(harness.sidecar.downstream.port) == 200
            assert harness.log == ["no fresh endpoint list within 0.5 s, using the cached one"]

    run_async(work)


def test_start_does_not_wait_when_an_endpoint_list_is_cached() -> None:
    # Guards against waiting for a discovery that is down while clients wait for this process.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, unresponsive_discovery=True) as harness:
            assert await health_check_status(harness.sidecar.downstream.port) == 200
            assert (await harness.send_request()).status == 200

    run_async(work)


def test_takeover_accepts_nothing_before_it_has_a_fresh_endpoint_list(listener: socket.socket) -> None:
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, unresponsive_discovery=True, started=False) as harness:
            start_task = asyncio.ensure_future(
                harness.sidecar.start(adopt_listener(str(os.dup(listener.fileno()))))
            )
            client = await connect(listener)
            client.send(http_request("lodge"))
            await asyncio.sleep(0.1)
            assert harness.sidecar.downstream.open_connections == 0
            assert harness.sidecar.lifecycle.phase.value == "starting"
            harness.discovery.resume_responding()
            await within_timeout(start_task)
            assert (await client.read_response()).status == 200

    run_async(work)


def test_takeover_ends_without_serving_when_stopped_while_it_waits(
    listener: socket.socket, tmp_path: Path
) -> None:
    async def work() -> None:
        async with server_with_config(OK_RESPONSE, tmp_path) as (config, _):
            with bind_and_listen((HOST, 0)) as unresponsive_discovery:
                content = json.loads(config.read_text())
                content["discovery"] = f"{HOST}:{unresponsive_discovery.getsockname()[1]}"
                config.write_text(json.dumps(content))
                descriptor = listener.fileno()
                process = await start_process(config, (descriptor,), BALANCER_INHERITED_FD=str(descriptor))
                assert process.stderr is not None
                assert b"control endpoint listens on" in await within_timeout(process.stderr.readline())
                process.send_signal(signal.SIGTERM)
                later_log = await within_timeout(process.stderr.read())
                assert b"serves on" not in later_log
                assert b"drained" in later_log
                assert await within_timeout(process.wait()) == 0

    run_async(work)


def test_upstream_connection_limit_is_halved_while_two_processes_run(
    listener: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        monkeypatch.setattr("tulipnotch.sidecar.startup._TAKEOVER_OVERLAP_S", 0.2)
        async with sidecar_harness(OK_RESPONSE, started=False) as harness:
            full_limit = harness.sidecar._upstream.max_connections
            await harness.sidecar.start(adopt_listener(str(os.dup(listener.fileno()))))
            assert harness.sidecar._upstream.max_connections == full_limit // 2
            await wait_until(lambda: harness.sidecar._upstream.max_connections == full_limit)
            shutdown_task = asyncio.ensure_future(harness.sidecar.shut_down())
            await wait_until(lambda: harness.sidecar._upstream.max_connections == full_limit // 2)
            await within_timeout(shutdown_task)

    run_async(work)


def test_takeover_serves_queued_connections_when_the_old_process_was_killed(
    listener: socket.socket,
) -> None:
    # The previous process was killed and discovery does not respond: no other process accepts the connections
    # in the queue.
    async def work() -> None:
        async with sidecar_harness(OK_RESPONSE, started=False, unresponsive_discovery=True) as harness:
            client = await connect(listener)
            client.send(http_request("check", timeout="1.0"))
            start_task = asyncio.ensure_future(
                harness.sidecar.start(adopt_listener(str(os.dup(listener.fileno()))))
            )
            async with asyncio.timeout(1.0):
                assert (await client.read_response()).status == 200
            await start_task
            client.close()

    run_async(work)
