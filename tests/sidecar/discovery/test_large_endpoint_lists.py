"""One process with lists longer than those of any fleet in use: 1,024 order servers and 1,024 peers."""

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

MANY = 1_024
FEW = 10
LISTENERS = 4  # for the addresses of all servers
ARENA_BYTES = 1 << 20  # the interpreter allocates so much at once, so figures are no more exact
# The memory of one server: its line in the configuration (retained for the comparison at a reload), the one
# in `known`, the record of the balancer and that of the pool.  2,300 servers then take 7 of the 64 MB that a
# process may have by default.
MAX_BYTES_PER_SERVER = 3_000
# The memory of one peer: its address as text, as a pair, and its number by the pair.
MAX_BYTES_PER_PEER = 600


def _lines(count: int, servers: list[ScriptedServer], **changes: Any) -> list[dict[str, Any]]:
    return [
        endpoint_entry(f"s-{number:08x}", servers[number % len(servers)].address, cell=number % 7, **changes)
        for number in range(count)
    ]


def _peer_addresses(count: int, port: int) -> list[str]:
    return [f"127.1.{number >> 8}.{number & 255}:{port}" for number in range(count)]


async def _figures(running: SidecarProcess) -> dict[str, int]:
    pairs = (each.partition("=") for each in await running.send_command("telemetry") if "=" in each)
    return {name: int(value) for name, _, value in pairs}


async def _until_shown(running: SidecarProcess, **gauges: int) -> None:
    """Wait until the control endpoint shows these figures."""

    async def work() -> None:
        while True:
            figures = await _figures(running)
            if all(figures[f"app.{name}"] == value for name, value in gauges.items()):
                return
            await asyncio.sleep(0.02)

    await within_timeout(work())


@asynccontextmanager
async def _fleet(
    folder: Path, servers: int, peers: int
) -> AsyncIterator[tuple[SidecarProcess, ScriptedDiscovery, list[ScriptedServer]]]:
    """Run a process that knows so many servers and peers; yields it, its discovery and the listeners."""
    listeners = [await ScriptedServer(OK_RESPONSE).start() for _ in range(2 * LISTENERS)]
    discovery = ScriptedDiscovery()
    discovery.servers = _lines(servers, listeners[:LISTENERS])
    await discovery.start()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
        free.bind((HOST, 0))
        port = free.getsockname()[1]
    folder.mkdir()
    config = folder / "config.json"
    given = {
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
    config.write_text(json.dumps(given))
    try:
        async with running_sidecar(config, listeners[0]) as running:
            yield running, discovery, listeners
    finally:
        for each in (*listeners, discovery):
            each.stop()


async def _assert_serving(running: SidecarProcess) -> None:
    client = await running.connect()
    statuses = [(await client.send_request()).status for _ in range(20)]
    client.close()
    assert statuses == [200] * 20


def _connections(servers: Iterable[ScriptedServer]) -> int:
    return sum(each.connection_count for each in servers)


async def _resident_after_changes(folder: Path, count: int, peers: int) -> int:
    """Apply changes of the complete list to one process; returns its resident memory afterwards (bytes)."""
    async with _fleet(folder, count, peers) as (running, discovery, listeners):
        before, after = listeners[:LISTENERS], listeners[LISTENERS:]
        await _until_shown(running, members=count, members_unavailable=0)
        await _assert_serving(running)
        assert _connections(before) > 0
        discovery.announce(*_lines(count, before, state="leaving"))
        await _until_shown(running, members=count, members_unavailable=count)
        discovery.announce(*_lines(count, after, weight=2.0))
        await _until_shown(running, members=count, members_unavailable=0)
        connections_before = _connections(before)
        await _assert_serving(running)
        assert _connections(after) > 0
        assert _connections(before) == connections_before
        memory = resident_bytes(running)
        discovery.announce(*_lines(count, after, state="left"))
        await _until_shown(running, members=0)
        running.process.terminate()
        assert await within_timeout(running.process.wait()) == 0
        assert running.process.stderr is not None
        log = (await within_timeout(running.process.stderr.read())).decode()
        assert "internal error" not in log, log
        return memory


def test_sidecar_memory_stays_in_bounds_with_1024_servers_and_1024_peers(tmp_path: Path) -> None:
    async def work() -> None:
        few = await _resident_after_changes(tmp_path / "few", FEW, FEW)
        peers = await _resident_after_changes(tmp_path / "peers", FEW, MANY)
        many = await _resident_after_changes(tmp_path / "many", MANY, MANY)
        more = MANY - FEW
        per_peer, per_server = (peers - few) / more, (many - peers) / more
        print(f"resident: {few} with 10 and 10, {peers} with 1,024 peers, {many} with 1,024 servers as well")
        print(f"a peer {per_peer:.0f} bytes, a server {per_server:.0f} bytes")
        assert peers - few < MAX_BYTES_PER_PEER * more + ARENA_BYTES
        assert many - peers < MAX_BYTES_PER_SERVER * more + ARENA_BYTES

    run_async(work)


def test_peer_messenger_sends_to_and_receives_from_1024_peers() -> None:
    async def work() -> None:
        sockets = []
        for _ in range(16):  # so that no receive buffer overflows
            receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            receiver.bind(("0.0.0.0", 0))
            receiver.settimeout(0.0)
            sockets.append(receiver)
        ports = [each.getsockname()[1] for each in sockets]
        addresses: tuple[Address, ...] = tuple(
            (f"127.1.{number >> 8}.{number & 255}", ports[number % len(ports)]) for number in range(MANY)
        )
        senders: asyncio.Queue[int] = asyncio.Queue()
        peers = PeerMessenger(addresses, None, 0, lambda sender, _: senders.put_nowait(sender))
        try:
            await peers.listen((HOST, 0))
            assert peers.send(None, b"to all")
            loop = asyncio.get_running_loop()
            for number in range(1, MANY):
                assert await within_timeout(loop.sock_recv(sockets[number % len(sockets)], 256)) == b"to all"
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as last:
                last.bind((addresses[-1][0], 0))
                peers.set_addresses((*addresses[:-1], last.getsockname()), None)
                assert peers.send(MANY - 1, b"to the last")
                assert not peers.send(MANY, b"nobody")
                data, sidecar = last.recvfrom(256)
                assert data == b"to the last"
                last.sendto(b"from the last", sidecar)
                assert await within_timeout(senders.get()) == MANY - 1
        finally:
            peers.close()
            for each in sockets:
                each.close()

    run_async(work)
