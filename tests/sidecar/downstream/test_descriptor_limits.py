"""Limits on descriptors and memory while idle clients use all connections that clients may have."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest
from loopback import (
    HOST,
    OK_RESPONSE,
    Client,
    ScriptedDiscovery,
    ScriptedServer,
    blocking_script,
    endpoint_entry,
    http_request,
    run_async,
    within_timeout,
)
from running import VALID_CONFIG, SidecarProcess, resident_bytes, running_sidecar, sidecar_with_server
from unavailable_discovery import DISCOVERY_FAULTS, UnavailableDiscovery

from tulipnotch.sidecar.configuration.configuration import parse_config
from tulipnotch.sidecar.control.endpoint import ControlLimits
from tulipnotch.sidecar.descriptor_budget import RESERVED_DESCRIPTORS
from tulipnotch.sidecar.operator_file import OperatorOptions
from tulipnotch.sidecar.sidecar import Sidecar

pytestmark = pytest.mark.alone

DESCRIPTORS = 96
IDLE_CLIENTS = 300  # several clients for each descriptor
MIN_CLIENT_CONNECTIONS = 20  # most of the 24 connections that clients may have with these descriptors
RECONNECT_DELAY_S = 0.5
MAX_ENDPOINT_LIST_DELAY_S = 1.0  # from discovery's return to service to the first endpoint list
MAX_BYTES_PER_CONNECTION = 4_096  # for an idle connection; buffers of requests are counted separately
MAX_POLL_INTERVAL_S = 40.0  # long enough that the first delay after a failed call is at least 1 s


def _ignore_log(_: str, /, **_fields: object) -> None:
    """Discards the event."""


@asynccontextmanager
async def idle_clients(port: int) -> AsyncIterator[None]:
    """Runs clients that connect and send nothing, and that reconnect when they are disconnected."""

    async def stay_connected() -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, port)
                try:
                    await reader.read()
                finally:
                    writer.close()
            except OSError:
                pass
            await asyncio.sleep(RECONNECT_DELAY_S)

    tasks = [asyncio.ensure_future(stay_connected()) for _ in range(IDLE_CLIENTS)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def idle_control_connections(port: int, count: int) -> AsyncIterator[None]:
    """Opens connections to the control endpoint and sends nothing on them."""
    writers = [(await asyncio.open_connection(HOST, port))[1] for _ in range(count)]
    try:
        yield
    finally:
        for writer in writers:
            writer.close()


def _count_client_connections(running: SidecarProcess) -> int:
    """Returns how many descriptors of the process are connections of clients."""
    pid = running.process.pid
    sockets = set()
    for each in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(FileNotFoundError):  # the descriptor was closed in the meantime
            sockets.add(os.readlink(each))
    rows = [each.split() for each in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]]
    local = f":{running.port:04X}"
    return sum(row[1].endswith(local) and row[3] == "01" and f"socket:[{row[9]}]" in sockets for row in rows)


async def _wait_until_clients_are_connected(running: SidecarProcess) -> None:
    """Waits until clients have nearly all connections that they may have."""

    async def work() -> None:
        while _count_client_connections(running) < MIN_CLIENT_CONNECTIONS:
            await asyncio.sleep(0.01)

    await within_timeout(work())


async def _wait_until_endpoint_is_listed(running: SidecarProcess) -> None:
    async def work() -> None:
        while "app.members=1" not in await running.send_command("telemetry"):
            await asyncio.sleep(0.02)

    await within_timeout(work())


async def _request_status(running: SidecarProcess, raw: bytes) -> int:
    """Sends a request on a new connection; returns the status of its response.

    Connects and sends without yielding to the event loop, as an application would.  Otherwise hundreds of
    idle clients would reconnect in between, and a connection that has sent nothing may be evicted.
    """
    plain_socket = socket.create_connection((HOST, running.port), timeout=10.0)
    plain_socket.sendall(raw)
    plain_socket.settimeout(0.0)
    client = Client(*await asyncio.open_connection(sock=plain_socket))
    status = (await client.read_response()).status
    client.close()
    return status


async def _health_status(running: SidecarProcess) -> int:
    return await _request_status(running, b"GET /_health HTTP/1.1\r\nHost: sidecar\r\n\r\n")


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("fault", DISCOVERY_FAULTS)
def test_idle_clients_leave_descriptors_for_discovery_servers_and_operators(
    fault: str, mode: str, tmp_path: Path
) -> None:
    # Idle clients use all connections that clients may have while discovery is unavailable and there is no
    # endpoint list.  Once discovery returns, the first list has to arrive, servers have to be connected to,
    # and operators and clients have to be served.
    async def work() -> None:
        server = await ScriptedServer(OK_RESPONSE).start()
        discovery = UnavailableDiscovery(fault)
        discovery.servers = [endpoint_entry("s-1", server.address)]
        await discovery.start_unavailable()
        config = tmp_path / "config.json"
        raw_config = {
            **VALID_CONFIG,
            "discovery": f"{HOST}:{discovery.port}",
            "limits": {**VALID_CONFIG["limits"], "sockets": DESCRIPTORS},
            "settings": {
                **VALID_CONFIG["settings"],
                "discovery": mode,
                "guarantees": {"askWithinUs": int(MAX_POLL_INTERVAL_S * 1e6)},
            },
        }
        config.write_text(json.dumps(raw_config))
        try:
            async with running_sidecar(
                config,
                server,
                # Discovery is unavailable: the wait for a list ends, calls fail, and the oldest are ended.
                allowed_log_pattern="no fresh endpoint list |discovery failed: |call to discovery ended: ",
            ) as running:
                limit = (DESCRIPTORS, DESCRIPTORS)
                resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, limit)
                async with idle_clients(running.port):
                    await _wait_until_clients_are_connected(running)
                    assert await running.send_command("readyz") == ["+OK ready"]
                    assert [await _health_status(running) for _ in range(5)] == [200] * 5
                    assert "app.members=0" in await running.send_command("telemetry")
                    await discovery.return_to_service()
                    returned_at = time.monotonic()
                    await _wait_until_endpoint_is_listed(running)
                    list_delay_s = time.monotonic() - returned_at
                    print(f"{mode} {fault}: listed after {list_delay_s:.2f} s")
                    assert list_delay_s < MAX_ENDPOINT_LIST_DELAY_S
                    statuses = [await _request_status(running, http_request()) for _ in range(10)]
                    assert statuses == [200] * 10
                    assert server.connection_count >= 1
                    await _wait_until_clients_are_connected(running)
                    assert await running.send_command("readyz") == ["+OK ready"]
                running.process.kill()
                assert running.process.stderr is not None
                log = (await within_timeout(running.process.stderr.read())).decode()
                assert "internal error" not in log
                assert "Errno 24" not in log
        finally:
            discovery.stop()
            server.stop()

    run_async(work)


def test_operators_leave_descriptors_for_clients_and_servers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The operator file may allow the control endpoint more connections than it has descriptors for.
    operator = tmp_path / "operator.toml"
    operator.write_text("[door]\nmost_connections = 80\nline_timeout_s = 60.0\n")
    monkeypatch.setenv("BALANCER_OPERATOR", str(operator))

    async def work() -> None:
        release, hold = blocking_script()
        server, discovery = await ScriptedServer(hold).start(), ScriptedDiscovery()
        discovery.servers = [endpoint_entry("s-1", server.address)]
        await discovery.start()
        config = tmp_path / "config.json"
        known = {"version": 1, "full": True, "servers": discovery.servers}
        limits = {**VALID_CONFIG["limits"], "sockets": DESCRIPTORS}
        config.write_text(
            json.dumps({**VALID_CONFIG, "discovery": discovery.address, "limits": limits, "known": known})
        )
        try:
            async with running_sidecar(config, server) as running:
                resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
                async with idle_control_connections(running.control_port, 80):
                    assert await running.send_command("readyz") == ["+OK ready"]
                    # As many requests as the initial concurrency limit admits.
                    statuses = [
                        asyncio.ensure_future(_request_status(running, http_request())) for _ in range(4)
                    ]
                    async with asyncio.timeout(10.0):
                        while len(server.received_requests) < 4:
                            await asyncio.sleep(0.01)
                    release.set()
                    assert [await each for each in statuses] == [200] * 4
                    assert await _health_status(running) == 200
        finally:
            discovery.stop()
            server.stop()

    run_async(work)


@pytest.mark.parametrize("sockets", [64, 96, 1_024, 65_536])
@pytest.mark.parametrize("operator_connections", [1, 16, 80, 256])
def test_descriptor_shares_stay_within_the_limit(sockets: int, operator_connections: int) -> None:
    raw_config = {
        **VALID_CONFIG,
        "limits": {**VALID_CONFIG["limits"], "sockets": sockets, "memory_mb": 2_048},
    }

    async def work() -> None:
        config = parse_config(raw_config, raw_config)
        sidecar = Sidecar(
            config,
            OperatorOptions(
                log=_ignore_log, control_limits=ControlLimits(max_connections=operator_connections)
            ),
        )
        shares = (
            sidecar.downstream.max_connections,
            sidecar._upstream.max_connections,
            sidecar.max_control_connections,
        )
        assert min(shares) >= 1
        assert sum(shares) + RESERVED_DESCRIPTORS <= sockets
        if operator_connections == 16:
            assert shares == ((sockets - 48) // 2, (sockets - 48) - (sockets - 48) // 2, 16)
        sidecar.close()

    run_async(work)


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "connections"),
    [(1_024, 16, 976), (1_024, 64, 976), (4_096, 2_048, 4_048), (16_384, 64, 4_096), (65_536, 192, 12_288)],
)
def test_max_connections_use_at_most_a_quarter_of_the_memory(
    sockets: int, memory_mb: int, connections: int
) -> None:
    # With many descriptors and little memory, clients that only connect would exhaust the memory.
    raw_config = {**VALID_CONFIG, "limits": {"sockets": sockets, "memory_mb": memory_mb}}

    async def work() -> None:
        sidecar = Sidecar(parse_config(raw_config, raw_config), OperatorOptions(log=_ignore_log))
        assert sidecar.downstream.max_connections + sidecar._upstream.max_connections == connections
        assert connections * MAX_BYTES_PER_CONNECTION <= memory_mb * (1 << 20) / 4
        sidecar.close()

    run_async(work)


def test_idle_connection_memory_is_within_its_estimate(tmp_path: Path) -> None:
    count = 1_500

    async def work() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            raw_config = json.loads(running.config_path.read_text())
            running.config_path.write_text(
                json.dumps({**raw_config, "limits": {**raw_config["limits"], "sockets": 4_096}})
            )
            running.process.send_signal(signal.SIGHUP)
            assert (await running.read_log_line()).startswith("reloaded")
            before = resident_bytes(running)
            clients = [await running.connect() for _ in range(count)]
            while _count_client_connections(running) < count:
                await asyncio.sleep(0.01)
            per_connection = (resident_bytes(running) - before) / count
            print(f"{per_connection:.0f} bytes for each connection")
            assert per_connection <= MAX_BYTES_PER_CONNECTION
            for each in clients:
                each.close()

    run_async(work)
