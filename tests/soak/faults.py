"""Faults: each begins at some moment, lasts for a while, and ends; several overlap."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from soak.discovery import DiscoveryFault
from soak.fault_proxy import FaultProxy
from soak.servers import ServerFaults
from soak.shim import Word

if TYPE_CHECKING:
    from soak.world import World

Fault = Callable[["World", random.Random], Awaitable[None]]

_HOUR_NS = 3_600 * 10**9


def _draw_duration_s(chance: random.Random) -> float:
    return chance.uniform(0.3, 2.0)


async def restart(world: World, chance: random.Random) -> None:
    """Planned restarts, one after another or concurrently."""
    places = world.some_places(chance, 0.4)
    if chance.random() < 0.5:
        await asyncio.gather(*(world.restart(place) for place in places))
    else:
        for place in places:
            await world.restart(place)


async def kill(world: World, chance: random.Random) -> None:
    """Processes are killed, and restarted without any state."""
    await asyncio.gather(*(world.kill(place) for place in world.some_places(chance, 0.4)))


async def upgrade(world: World, chance: random.Random) -> None:
    """A new version takes over where the listening socket is inherited."""
    places = [place for place in world.some_places(chance, 0.8) if place.inherits_listener]
    await asyncio.gather(*(world.take_over(place) for place in places))


async def reload(world: World, chance: random.Random) -> None:
    """New configurations in a row: discovery moves, attempts shrink, classes come and go, half a file."""
    for _ in range(chance.randint(1, 3)):
        for place in world.some_places(chance, 0.7):
            world.reload(place, chance)
        await asyncio.sleep(chance.uniform(0.05, 0.8))


async def pause_processes(world: World, chance: random.Random) -> None:
    """Processes are paused for up to 0.15 s, several times."""
    places = world.some_places(chance, 0.5)
    for _ in range(chance.randint(2, 8)):
        await asyncio.gather(*(place.pause(chance.uniform(0.02, 0.15)) for place in places))
        await asyncio.sleep(chance.uniform(0.05, 0.3))


async def step_clocks(world: World, chance: random.Random) -> None:
    """Wall clocks are stepped, by seconds or by an hour, forward or back."""
    places = world.some_places(chance, 0.6)
    for _ in range(chance.randint(1, 5)):
        for place in places:
            offset = chance.choice([-_HOUR_NS, -5 * 10**9, 0, 5 * 10**9, _HOUR_NS])
            place.shim.put(Word.WALL_OFFSET_NS, offset)
        await asyncio.sleep(chance.uniform(0.1, 0.6))


async def fail_calls(world: World, chance: random.Random) -> None:
    """accept, socket and connect fail for a moment, reads and writes are short, waits are interrupted."""
    places = world.some_places(chance, 0.6)
    accept = chance.choice([errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EPROTO])
    made = chance.choice([errno.ENFILE, errno.EMFILE, errno.ENOBUFS])
    dialled = chance.choice([errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EHOSTUNREACH])
    for place in places:
        shim = place.shim
        shim.put(Word.ACCEPT_ERROR, accept)
        shim.put(Word.SOCKET_ERROR, made)
        shim.put(Word.CONNECT_ERROR, dialled)
        shim.put(Word.ACCEPT_CHANCE, chance.choice([0, 300, 1_000]))
        shim.put(Word.SOCKET_CHANCE, chance.choice([0, 0, 200]))
        shim.put(Word.CONNECT_CHANCE, chance.choice([0, 200, 500]))
        shim.put(Word.SHORT_CHANCE, chance.choice([0, 200, 800]))
        shim.put(Word.INTERRUPT_CHANCE, chance.choice([0, 200]))
    await asyncio.sleep(chance.uniform(0.2, 1.0))
    for place in places:
        place.shim.end_faults()


async def lose_log(world: World, chance: random.Random) -> None:
    """The log's disk is full or broken, or the reader of the log does not read."""
    places = world.some_places(chance, 0.6)
    for place in places:
        if chance.random() < 0.5:
            place.reads_log.clear()
        else:
            place.shim.put(Word.LOG_ERROR, chance.choice([errno.ENOSPC, errno.EIO]))
            place.shim.put(Word.LOG_CHANCE, 700)
    await asyncio.sleep(_draw_duration_s(chance))
    for place in places:
        place.reads_log.set()
        place.shim.put(Word.LOG_CHANCE, 0)


async def hang_servers(world: World, chance: random.Random) -> None:
    """Servers accept requests and respond to none."""
    await _inject_server_faults(world, chance, 0.4, lambda: ServerFaults(hangs=True))


async def break_network(world: World, chance: random.Random) -> None:
    """Connections are reset at any point, responses stall, are repeated or missing."""

    def faults() -> ServerFaults:
        rate = chance.choice([0.05, 0.2])
        return ServerFaults(
            rejects=rate,
            errors=rate,
            closes_at_accept=chance.choice([0.0, 0.5]),
            resets_at_accept=chance.choice([0.0, 0.3]),
            resets_in_request=rate,
            resets_after_request=rate,
            resets_in_response=rate,
            stalls_in_response=rate / 2,
            responds_twice=rate,
            service_s=chance.choice([0.004, 0.05]),
        )

    await _inject_server_faults(world, chance, 0.7, faults)


async def read_slowly(world: World, chance: random.Random) -> None:
    """Servers stop reading an incomplete request for a while."""
    await _inject_server_faults(
        world, chance, 0.5, lambda: ServerFaults(read_delay_s=chance.uniform(0.1, 0.6))
    )


async def _inject_server_faults(
    world: World, chance: random.Random, part: float, faults: Callable[[], ServerFaults]
) -> None:
    proxies = world.some_proxies(chance, part)
    for proxy in proxies:
        proxy.server.faults = faults()
    await asyncio.sleep(_draw_duration_s(chance))
    for proxy in proxies:
        proxy.server.faults = ServerFaults()


async def crash_servers(world: World, chance: random.Random) -> None:
    """Servers crash, and restart at the same address with a slow start."""

    async def crash(proxy: FaultProxy) -> None:
        proxy.crash()
        await asyncio.sleep(_draw_duration_s(chance))
        await proxy.listen()
        await world.announce_start(proxy)

    await asyncio.gather(*(crash(proxy) for proxy in world.some_proxies(chance, 0.3)))


async def drain_servers(world: World, chance: random.Random) -> None:
    """Servers are drained, replaced, and removed."""
    drained = world.some_proxies(chance, 0.3)
    for proxy in drained:
        await world.drain(proxy)
    for _ in drained:
        await world.add_server()
    await asyncio.sleep(_draw_duration_s(chance))
    for proxy in drained:
        await world.remove(proxy)


async def disrupt_discovery(world: World, chance: random.Random) -> None:
    """Discovery does not respond, is overloaded, resets connections or is slow."""
    faults = [chance.choice(list(DiscoveryFault)) for _ in world.discoveries]
    for discovery, fault in zip(world.discoveries, faults, strict=True):
        if chance.random() < 0.8:
            discovery.set_fault(fault)
    await asyncio.sleep(2.0 * _draw_duration_s(chance))
    for discovery in world.discoveries:
        discovery.set_fault(None)


async def disconnect_early(world: World, chance: random.Random) -> None:
    """Clients disconnect before their responses, and send slowly or much."""
    applications = [client for client in world.applications if chance.random() < 0.7]
    for client in applications:
        client.behavior.disconnects = chance.uniform(0.1, 0.6)
        client.behavior.slow_body = chance.uniform(0.0, 0.5)
        client.behavior.large_body = client.behavior.large_response = chance.uniform(0.0, 0.3)
    await asyncio.sleep(_draw_duration_s(chance))
    for client in applications:
        client.behavior.disconnects = client.behavior.slow_body = 0.0
        client.behavior.large_body = client.behavior.large_response = 0.02


async def send_incomplete(world: World, chance: random.Random) -> None:
    """Clients that send half a request, or nothing, and stay."""
    await asyncio.gather(
        *(
            client.send_incomplete(chance.randint(1, 40), _draw_duration_s(chance))
            for client in world.applications
            if chance.random() < 0.6
        )
    )


FAULTS: dict[str, Fault] = {
    fault.__name__: fault
    for fault in (
        restart,
        kill,
        upgrade,
        reload,
        pause_processes,
        step_clocks,
        fail_calls,
        lose_log,
        hang_servers,
        break_network,
        read_slowly,
        crash_servers,
        drain_servers,
        disrupt_discovery,
        disconnect_early,
        send_incomplete,
    )
}
