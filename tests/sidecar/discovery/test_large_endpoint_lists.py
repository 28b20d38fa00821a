"""One sidecar with longer lists than any fleet in use has: 1,024 order servers and 1,024 peers."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from loopback import (
    HOST,
    OK_RESPONSE,
    ScriptedDiscovery,
    ScriptedServer,
    endpoint_entry,
    run_async,
    within_timeout,
)
from running import VALID_CONFIG, SidecarProcess, resident_bytes, running_sidecar

from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.discovery.peers import PeerMessenger

MANY_COUNT = 1_024
FEW_COUNT = 10
LISTENER_COUNT = 4  # listeners that share the addresses of all servers
ARENA_BYTES = 1 << 20  # unit in which the interpreter allocates memory, and so the error of a measurement
# Memory of one server: its entry in the configuration (kept for the comparison at a reload), the entry in
# `known`, and the records of the balancer and of the upstream pool.  2,300 servers then take 7 of the 64 MB
# that a process may use by default.
MAX_BYTES_PER_SERVER = 3_000
# Memory of one peer: its address as text and as a tuple, and its number, keyed by the tuple.
MAX_BYTES_PER_PEER = 600


def _server_entries(count: int, servers: list[ScriptedServer], **changes: Any) -> list[dict[str, Any]]:
    return [
        endpoint_entry(f"s-{number:08x}", servers[number % len(servers)].address, cell=number % 7, **changes)
        for number in range(count)
    ]


def _peer_addresses(count: int, port: int) -> list[str]:
    return [f"127.1.{number >> 8}.{number & 255}:{port}" for number in range(count)]


async def _read_metrics(sidecar: SidecarProcess) -> dict[str, int]:
    pairs = (each.partition("=") for each in await sidecar.send_command("telemetry") if "=" in each)
    return {name: int(value) for name, _, value in pairs}


async def _wait_until_metrics_are(sidecar: SidecarProcess, **expected: int) -> None:
    """Waits until the control endpoint reports these values of metrics."""

    async def work() -> None:
        while True:
            metrics = await _read_metrics(sidecar)
            if all(metrics[f"app.{name}"] == value for name, value in expected.items()):
                return
            await asyncio.sleep(0.02)

    await within_timeout(work())


@asynccontextmanager
async def _running_sidecar_with_lists(
    folder: Path, servers: int, peers: int
) -> AsyncIterator[tuple[SidecarProcess, ScriptedDiscovery, list[ScriptedServer]]]:
    """Runs a sidecar with this many servers and peers; yields it, its discovery and the listeners."""
    listeners = [await ScriptedServer(OK_RESPONSE).start() for _ in range(2 * LISTENER_COUNT)]
    discovery = ScriptedDiscovery()
    discovery.servers = _server_entries(servers, listeners[:LISTENER_COUNT])
    await discovery.start()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    folder.mkdir()
    config = folder / "config.json"
    raw_config = {
        **VALID_CONFIG,
        "discovery": discovery.address,
        "known": {"version": 1, "full": True, "servers": discovery.servers},
        "peer_listen": f"{HOST}:{port}",
        "peers": _peer_addresses(peers, port),
        "settings": {
            **VALID_CONFIG["settings"],
            "bounds": {"mayTell": True},
            "me": 0,
            "groupSize": max(peers, 1),
        },
    }
    config.write_text(json.dumps(raw_config))
    try:
        async with running_sidecar(config, listeners[0]) as sidecar:
            yield sidecar, discovery, listeners
    finally:
        for each in (*listeners, discovery):
            each.stop()


async def _assert_serving(sidecar: SidecarProcess) -> None:
    client = await sidecar.connect()
    statuses = [(await client.send_request()).status for _ in range(20)]
    client.close()
    assert statuses == [200] * 20


def _connection_count(servers: Iterable[ScriptedServer]) -> int:
    return sum(each.connection_count for each in servers)


async def _resident_after_changes(folder: Path, count: int, peers: int) -> int:
    """Changes all entries of one sidecar's list; returns its resident memory afterwards (bytes)."""
    async with _running_sidecar_with_lists(folder, count, peers) as (sidecar, discovery, listeners):
        before, after = listeners[:LISTENER_COUNT], listeners[LISTENER_COUNT:]
        await _wait_until_metrics_are(sidecar, members=count, members_unavailable=0)
        await _assert_serving(sidecar)
        assert _connection_count(before) > 0
        discovery.announce(*_server_entries(count, before, state="leaving"))
        await _wait_until_metrics_are(sidecar, members=count, members_unavailable=count)
        discovery.announce(*_server_entries(count, after, weight=2.0))
        await _wait_until_metrics_are(sidecar, members=count, members_unavailable=0)
        connections_before = _connection_count(before)
        await _assert_serving(sidecar)
        assert _connection_count(after) > 0
        assert _connection_count(before) == connections_before
        memory = resident_bytes(sidecar)
        discovery.announce(*_server_entries(count, after, state="left"))
        await _wait_until_metrics_are(sidecar, members=0)
        sidecar.process.terminate()
        assert await within_timeout(sidecar.process.wait()) == 0
        assert sidecar.process.stderr is not None
        log = (await within_timeout(sidecar.process.stderr.read())).decode()
        assert "internal error" not in log, log
        return memory


def test_sidecar_memory_stays_within_bounds_when_there_are_1024_servers_and_1024_peers(
    tmp_path: Path,
) -> None:
    async def work() -> None:
        base_bytes = await _resident_after_changes(tmp_path / "few", FEW_COUNT, FEW_COUNT)
        with_peers_bytes = await _resident_after_changes(tmp_path / "peers", FEW_COUNT, MANY_COUNT)
        all_bytes = await _resident_after_changes(tmp_path / "many", MANY_COUNT, MANY_COUNT)
        added_count = MANY_COUNT - FEW_COUNT
        per_peer, per_server = (
            (with_peers_bytes - base_bytes) / added_count,
            (all_bytes - with_peers_bytes) / added_count,
        )
        print(
            f"resident: {base_bytes} with 10 and 10, {with_peers_bytes} with 1,024 peers, "
            f"{all_bytes} with 1,024 servers as well"
        )
        print(f"a peer {per_peer:.0f} bytes, a server {per_server:.0f} bytes")
        assert with_peers_bytes - base_bytes < MAX_BYTES_PER_PEER * added_count + ARENA_BYTES
        assert all_bytes - with_peers_bytes < MAX_BYTES_PER_SERVER * added_count + ARENA_BYTES

    run_async(work)


def test_peer_messenger_sends_and_receives_when_there_are_1024_peers() -> None:
    async def work() -> None:
        sockets = []
        for _ in range(16):  # several sockets, so that no receive buffer overflows
            receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            receiver.bind(("0.0.0.0", 0))
            receiver.settimeout(0.0)
            sockets.append(receiver)
        ports = [each.getsockname()[1] for each in sockets]
        addresses: tuple[Address, ...] = tuple(
            (f"127.1.{number >> 8}.{number & 255}", ports[number % len(ports)])
            for number in range(MANY_COUNT)
        )
        sender_numbers: asyncio.Queue[int] = asyncio.Queue()
        peers = PeerMessenger(addresses, None, 0, lambda sender, _: sender_numbers.put_nowait(sender))
        try:
            await peers.listen((HOST, 0))
            assert peers.send(None, b"to all")
            loop = asyncio.get_running_loop()
            for number in range(1, MANY_COUNT):
                assert await within_timeout(loop.sock_recv(sockets[number % len(sockets)], 256)) == b"to all"
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as last:
                last.bind((addresses[-1][0], 0))
                peers.set_addresses((*addresses[:-1], last.getsockname()), None)
                assert peers.send(MANY_COUNT - 1, b"to the last")
                assert not peers.send(MANY_COUNT, b"nobody")
                data, sidecar = last.recvfrom(256)
                assert data == b"to the last"
                last.sendto(b"from the last", sidecar)
                assert await within_timeout(sender_numbers.get()) == MANY_COUNT - 1
        finally:
            peers.close()
            for each in sockets:
                each.close()

    run_async(work)
