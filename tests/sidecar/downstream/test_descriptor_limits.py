"""Limits on descriptors and memory while idle clients hold all that clients may."""

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
IDLE_CLIENTS = 300  # clients, several for each descriptor
NEARLY_ALL = 20  # of the 24 connections that clients may have with so many descriptors
RECONNECT_S = 0.5
MAX_LIST_DELAY_S = 1.0  # from the return of discovery
MAX_BYTES_PER_CONNECTION = 4_096  # idle; buffers for requests are counted by themselves
MAX_POLL_INTERVAL_S = 40.0  # so the first delay after a failed call is 1 s at least


def _ignore_log(_: str, /, **_fields: object) -> None:
    """Log nothing."""


@asynccontextmanager
async def idle_clients(port: int) -> AsyncIterator[None]:
    """Clients that connect and send nothing, and reconnect when they are closed."""

    async def idle() -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, port)
                try:
                    await reader.read()
                finally:
                    writer.close()
            except OSError:
                pass
            await asyncio.sleep(RECONNECT_S)

    tasks = [asyncio.ensure_future(idle()) for _ in range(IDLE_CLIENTS)]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


@asynccontextmanager
async def silent_callers(port: int, count: int) -> AsyncIterator[None]:
    """Operators that connect and send nothing."""
    writers = [(await asyncio.open_connection(HOST, port))[1] for _ in range(count)]
    try:
        yield
    finally:
        for writer in writers:
            writer.close()


def _clients(running: SidecarProcess) -> int:
    """Count the descriptors of the process that are connections of clients."""
    pid = running.process.pid
    sockets = set()
    for each in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(FileNotFoundError):  # closed meanwhile
            sockets.add(os.readlink(each))
    rows = [each.split() for each in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]]
    local = f":{running.port:04X}"
    return sum(row[1].endswith(local) and row[3] == "01" and f"socket:[{row[9]}]" in sockets for row in rows)


async def _until_full(running: SidecarProcess) -> None:
    """Wait until clients have nearly all connections that they may."""

    async def work() -> None:
        while _clients(running) < NEARLY_ALL:
            await asyncio.sleep(0.01)

    await within_timeout(work())


async def _until_listed(running: SidecarProcess) -> None:
    async def work() -> None:
        while "app.members=1" not in await running.send_command("telemetry"):
            await asyncio.sleep(0.02)

    await within_timeout(work())


async def _status(running: SidecarProcess, raw: bytes) -> int:
    """Send a request on a new connection; returns the status of its response.

    Connecting and sending are one step, as in an application.  Between two steps of this event loop hundreds
    of idle clients reconnect, and a connection without a byte may be evicted.
    """
    plain = socket.create_connection((HOST, running.port), timeout=10.0)
    plain.sendall(raw)
    plain.settimeout(0.0)
    client = Client(*await asyncio.open_connection(sock=plain))
    status = (await client.read_response()).status
    client.close()
    return status


async def _health(running: SidecarProcess) -> int:
    return await _status(running, b"GET /_health HTTP/1.1\r\nHost: sidecar\r\n\r\n")


@pytest.mark.parametrize("mode", ["on_request", "pushed"])
@pytest.mark.parametrize("fault", DISCOVERY_FAULTS)
def test_idle_clients_leave_descriptors_for_discovery_servers_and_operators(
    fault: str, mode: str, tmp_path: Path
) -> None:
    # Idle clients have all connections that clients may while discovery is unavailable and there is no list.
    # On its return the first list comes, servers are connected to, and operators and clients are served.
    async def work() -> None:
        server = await ScriptedServer(OK_RESPONSE).start()
        discovery = UnavailableDiscovery(fault)
        discovery.servers = [endpoint_entry("s-1", server.address)]
        await discovery.start_unavailable()
        config = tmp_path / "config.json"
        given = {
            **VALID_CONFIG,
            "discovery": f"{HOST}:{discovery.port}",
            "limits": {**VALID_CONFIG["limits"], "sockets": DESCRIPTORS},
            "settings": {
                **VALID_CONFIG["settings"],
                "discovery": mode,
                "guarantees": {"askWithinUs": int(MAX_POLL_INTERVAL_S * 1e6)},
            },
        }
        config.write_text(json.dumps(given))
        try:
            async with running_sidecar(
                config, server, allowed_log_pattern="no fresh endpoint list |discovery failed: "
            ) as running:
                limit = (DESCRIPTORS, DESCRIPTORS)
                resource.prlimit(running.process.pid, resource.RLIMIT_NOFILE, limit)
                async with idle_clients(running.port):
                    await _until_full(running)
                    assert await running.send_command("readyz") == ["+OK ready"]
                    assert [await _health(running) for _ in range(5)] == [200] * 5
                    assert "app.members=0" in await running.send_command("telemetry")
                    await discovery.return_to_service()
                    returned_at = time.monotonic()
                    await _until_listed(running)
                    list_delay_s = time.monotonic() - returned_at
                    print(f"{mode} {fault}: listed after {list_delay_s:.2f} s")
                    assert list_delay_s < MAX_LIST_DELAY_S
                    statuses = [await _status(running, http_request()) for _ in range(10)]
                    assert statuses == [200] * 10
                    assert server.connection_count >= 1
                    await _until_full(running)
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
    # The operator file may allow the control endpoint more connections than there are descriptors for it.
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
                async with silent_callers(running.control_port, 80):
                    assert await running.send_command("readyz") == ["+OK ready"]
                    # As many as the first concurrency limit admits.
                    statuses = [asyncio.ensure_future(_status(running, http_request())) for _ in range(4)]
                    async with asyncio.timeout(10.0):
                        while len(server.received_requests) < 4:
                            await asyncio.sleep(0.01)
                    release.set()
                    assert [await each for each in statuses] == [200] * 4
                    assert await _health(running) == 200
        finally:
            discovery.stop()
            server.stop()

    run_async(work)


@pytest.mark.parametrize("sockets", [64, 96, 1_024, 65_536])
@pytest.mark.parametrize("operators", [1, 16, 80, 256])
def test_shares_of_descriptors_are_within_the_limit(sockets: int, operators: int) -> None:
    given = {**VALID_CONFIG, "limits": {**VALID_CONFIG["limits"], "sockets": sockets, "memory_mb": 2_048}}

    async def work() -> None:
        config = parse_config(given, given)
        sidecar = Sidecar(
            config,
            OperatorOptions(log=_ignore_log, control_limits=ControlLimits(max_connections=operators)),
        )
        shares = (
            sidecar.downstream.max_connections,
            sidecar._upstream.max_connections,
            sidecar.max_control_connections,
        )
        assert min(shares) >= 1
        assert sum(shares) + RESERVED_DESCRIPTORS <= sockets
        if operators == 16:
            assert shares == ((sockets - 48) // 2, (sockets - 48) - (sockets - 48) // 2, 16)
        sidecar.close()

    run_async(work)


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "connections"),
    [(1_024, 16, 976), (1_024, 64, 976), (4_096, 2_048, 4_048), (16_384, 64, 4_096), (65_536, 192, 12_288)],
)
def test_max_connections_fit_a_quarter_of_the_memory(sockets: int, memory_mb: int, connections: int) -> None:
    # With many descriptors and little memory, clients that only connect would exhaust it.
    given = {**VALID_CONFIG, "limits": {"sockets": sockets, "memory_mb": memory_mb}}

    async def work() -> None:
        sidecar = Sidecar(parse_config(given, given), OperatorOptions(log=_ignore_log))
        assert sidecar.downstream.max_connections + sidecar._upstream.max_connections == connections
        assert connections * MAX_BYTES_PER_CONNECTION <= memory_mb * (1 << 20) / 4
        sidecar.close()

    run_async(work)


def test_idle_connection_memory_is_within_its_estimate(tmp_path: Path) -> None:
    count = 1_500

    async def work() -> None:
        async with sidecar_with_server(OK_RESPONSE, tmp_path) as running:
            given = json.loads(running.config_path.read_text())
            running.config_path.write_text(
                json.dumps({**given, "limits": {**given["limits"], "sockets": 4_096}})
            )
            running.process.send_signal(signal.SIGHUP)
            assert (await running.read_log_line()).startswith("reloaded")
            before = resident_bytes(running)
            clients = [await running.connect() for _ in range(count)]
            while _clients(running) < count:
                await asyncio.sleep(0.01)
            per_connection = (resident_bytes(running) - before) / count
            print(f"{per_connection:.0f} bytes a connection")
            assert per_connection <= MAX_BYTES_PER_CONNECTION
            for each in clients:
                each.close()

    run_async(work)
