"""Faults: each begins at some moment, lasts for a while, and ends; several overlap."""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from soak.discovery import Mood
from soak.fault_proxy import FaultProxy
from soak.servers import ServerFaults
from soak.shim import Word

if TYPE_CHECKING:
    from soak.world import World

Fault = Callable[["World", random.Random], Awaitable[None]]

_HOUR_NS = 3_600 * 10**9


def _span(chance: random.Random) -> float:
    return chance.uniform(0.3, 2.0)


async def restart(world: World, chance: random.Random) -> None:
    """Planned restarts, one after another or at once."""
    places = world.some_places(chance, 0.4)
    if chance.random() < 0.5:
        await asyncio.gather(*(world.restart(each) for each in places))
    else:
        for each in places:
            await world.restart(each)


async def kill(world: World, chance: random.Random) -> None:
    """Processes are killed outright, and start again from nothing."""
    await asyncio.gather(*(world.kill(each) for each in world.some_places(chance, 0.4)))


async def upgrade(world: World, chance: random.Random) -> None:
    """A new version takes over where the listening socket is inherited."""
    places = [each for each in world.some_places(chance, 0.8) if each.is_inherited]
    await asyncio.gather(*(world.take_over(each) for each in places))


async def reload(world: World, chance: random.Random) -> None:
    """New configurations in a row: discovery moves, attempts shrink, classes come and go, half a file."""
    for _ in range(chance.randint(1, 3)):
        for each in world.some_places(chance, 0.7):
            world.reload(each, chance)
        await asyncio.sleep(chance.uniform(0.05, 0.8))


async def hold_up(world: World, chance: random.Random) -> None:
    """Processes stand still for up to 0.15 s, again and again."""
    places = world.some_places(chance, 0.5)
    for _ in range(chance.randint(2, 8)):
        await asyncio.gather(*(each.hold_up(chance.uniform(0.02, 0.15)) for each in places))
        await asyncio.sleep(chance.uniform(0.05, 0.3))


async def step_clocks(world: World, chance: random.Random) -> None:
    """Wall clocks are stepped, by seconds or by an hour, forward or back."""
    places = world.some_places(chance, 0.6)
    for _ in range(chance.randint(1, 5)):
        for each in places:
            offset = chance.choice([-_HOUR_NS, -5 * 10**9, 0, 5 * 10**9, _HOUR_NS])
            each.shim.put(Word.WALL_OFFSET_NS, offset)
        await asyncio.sleep(chance.uniform(0.1, 0.6))


async def fail_calls(world: World, chance: random.Random) -> None:
    """accept, socket and connect fail for a moment, reads and writes are short, waits are interrupted."""
    places = world.some_places(chance, 0.6)
    accept = chance.choice([errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EPROTO])
    made = chance.choice([errno.ENFILE, errno.EMFILE, errno.ENOBUFS])
    dialled = chance.choice([errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EHOSTUNREACH])
    for each in places:
        shim = each.shim
        shim.put(Word.ACCEPT_ERROR, accept)
        shim.put(Word.SOCKET_ERROR, made)
        shim.put(Word.CONNECT_ERROR, dialled)
        shim.put(Word.ACCEPT_CHANCE, chance.choice([0, 300, 1_000]))
        shim.put(Word.SOCKET_CHANCE, chance.choice([0, 0, 200]))
        shim.put(Word.CONNECT_CHANCE, chance.choice([0, 200, 500]))
        shim.put(Word.SHORT_CHANCE, chance.choice([0, 200, 800]))
        shim.put(Word.INTERRUPT_CHANCE, chance.choice([0, 200]))
    await asyncio.sleep(chance.uniform(0.2, 1.0))
    for each in places:
        each.shim.end_faults()


async def lose_log(world: World, chance: random.Random) -> None:
    """The log's disk is full or broken, or whoever reads the log does not."""
    places = world.some_places(chance, 0.6)
    for each in places:
        if chance.random() < 0.5:
            each.reads_log.clear()
        else:
            each.shim.put(Word.LOG_ERROR, chance.choice([errno.ENOSPC, errno.EIO]))
            each.shim.put(Word.LOG_CHANCE, 700)
    await asyncio.sleep(_span(chance))
    for each in places:
        each.reads_log.set()
        each.shim.put(Word.LOG_CHANCE, 0)


async def hang_servers(world: World, chance: random.Random) -> None:
    """Servers take requests and answer none."""
    await _befall(world, chance, 0.4, lambda: ServerFaults(hangs=True))


async def break_network(world: World, chance: random.Random) -> None:
    """Connections break at any point, answers stall, come twice or not at all."""

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

    await _befall(world, chance, 0.7, faults)


async def read_slowly(world: World, chance: random.Random) -> None:
    """Servers leave a request that came in part where it is for a while."""
    await _befall(world, chance, 0.5, lambda: ServerFaults(read_delay_s=chance.uniform(0.1, 0.6)))


async def _befall(
    world: World, chance: random.Random, part: float, faults: Callable[[], ServerFaults]
) -> None:
    proxies = world.some_proxies(chance, part)
    for each in proxies:
        each.server.faults = faults()
    await asyncio.sleep(_span(chance))
    for each in proxies:
        each.server.faults = ServerFaults()


async def crash_servers(world: World, chance: random.Random) -> None:
    """Servers crash, and come back cold at the same address."""

    async def crash(proxy: FaultProxy) -> None:
        proxy.crash()
        await asyncio.sleep(_span(chance))
        await proxy.listen()
        await world.announce_start(proxy)

    await asyncio.gather(*(crash(each) for each in world.some_proxies(chance, 0.3)))


async def drain_servers(world: World, chance: random.Random) -> None:
    """Servers begin to drain, are replaced, and end."""
    drained = world.some_proxies(chance, 0.3)
    for each in drained:
        await world.drain(each)
    for _ in drained:
        await world.add_server()
    await asyncio.sleep(_span(chance))
    for each in drained:
        await world.remove(each)


async def trouble_discovery(world: World, chance: random.Random) -> None:
    """Discovery is silent, crowded, down or slow."""
    moods = [chance.choice([each for each in Mood if each is not Mood.WELL]) for _ in world.discoveries]
    for discovery, mood in zip(world.discoveries, moods, strict=True):
        if chance.random() < 0.8:
            discovery.fall_into(mood)
    await asyncio.sleep(2.0 * _span(chance))
    for discovery in world.discoveries:
        discovery.fall_into(Mood.WELL)


async def leave_early(world: World, chance: random.Random) -> None:
    """Clients go before their answers, and send slowly or much."""
    applications = [each for each in world.applications if chance.random() < 0.7]
    for each in applications:
        each.habits.leaves = chance.uniform(0.1, 0.6)
        each.habits.slow_body = chance.uniform(0.0, 0.5)
        each.habits.large_body = each.habits.large_answer = chance.uniform(0.0, 0.3)
    await asyncio.sleep(_span(chance))
    for each in applications:
        each.habits.leaves = each.habits.slow_body = 0.0
        each.habits.large_body = each.habits.large_answer = 0.02


async def stop_in_the_middle(world: World, chance: random.Random) -> None:
    """Clients that send half a request, or nothing, and stay."""
    await asyncio.gather(
        *(
            each.stop_in_the_middle(chance.randint(1, 40), _span(chance))
            for each in world.applications
            if chance.random() < 0.6
        )
    )


FAULTS: dict[str, Fault] = {
    each.__name__: each
    for each in (
        restart,
        kill,
        upgrade,
        reload,
        hold_up,
        step_clocks,
        fail_calls,
        lose_log,
        hang_servers,
        break_network,
        read_slowly,
        crash_servers,
        drain_servers,
        trouble_discovery,
        leave_early,
        stop_in_the_middle,
    )
}
