"""Faults of a soak run.

Each fault is a coroutine that starts the fault, waits, and ends it; several run at the same time.
"""

from __future__ import annotations

import asyncio
import errno
import random
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

from soak.discovery import DiscoveryFault, DiscoveryServer
from soak.fault_proxy import FaultProxy
from soak.servers import ServerFaults
from soak.shim import ControlWord

if TYPE_CHECKING:
    from soak.fleet import Fleet
    from soak.sidecars import ManagedSidecar

Fault = Callable[["Fleet", random.Random], Awaitable[None]]

_HOUR_NS = 3_600 * 10**9


def _sample_duration_s(rng: random.Random) -> float:
    return rng.uniform(0.3, 2.0)


async def restart(fleet: Fleet, rng: random.Random) -> None:
    """Restarts sidecars by SIGTERM, one after another or concurrently."""
    sidecars = fleet.choose_sidecars(rng, 0.4)
    if rng.random() < 0.5:
        await asyncio.gather(*(fleet.restart_sidecar(sidecar) for sidecar in sidecars))
    else:
        for sidecar in sidecars:
            await fleet.restart_sidecar(sidecar)


async def kill(fleet: Fleet, rng: random.Random) -> None:
    """Kills sidecar processes and restarts them without any state."""
    await asyncio.gather(*(fleet.kill_sidecar(sidecar) for sidecar in fleet.choose_sidecars(rng, 0.4)))


async def upgrade(fleet: Fleet, rng: random.Random) -> None:
    """Starts a new process next to the old one in the sidecars that inherit their listening socket."""
    sidecars = [sidecar for sidecar in fleet.choose_sidecars(rng, 0.8) if sidecar.inherits_listener]
    await asyncio.gather(*(fleet.upgrade_sidecar(sidecar) for sidecar in sidecars))


async def reload(fleet: Fleet, rng: random.Random) -> None:
    """Reloads configurations several times.

    Reloads change the address of discovery, the maximum number of attempts and the request classes, and some
    read a truncated file.
    """
    for _ in range(rng.randint(1, 3)):
        for sidecar in fleet.choose_sidecars(rng, 0.7):
            fleet.reload_sidecar(sidecar, rng)
        await asyncio.sleep(rng.uniform(0.05, 0.8))


async def pause_processes(fleet: Fleet, rng: random.Random) -> None:
    """Suspends processes for up to 0.15 s, several times."""
    sidecars = fleet.choose_sidecars(rng, 0.5)
    for _ in range(rng.randint(2, 8)):
        await asyncio.gather(*(sidecar.pause(rng.uniform(0.02, 0.15)) for sidecar in sidecars))
        await asyncio.sleep(rng.uniform(0.05, 0.3))


async def step_clocks(fleet: Fleet, rng: random.Random) -> None:
    """Steps wall clocks forward or back, by seconds or by an hour."""
    sidecars = fleet.choose_sidecars(rng, 0.6)
    for _ in range(rng.randint(1, 5)):
        for sidecar in sidecars:
            offset = rng.choice([-_HOUR_NS, -5 * 10**9, 0, 5 * 10**9, _HOUR_NS])
            sidecar.shim.write_word(ControlWord.WALL_OFFSET_NS, offset)
        await asyncio.sleep(rng.uniform(0.1, 0.6))


async def fail_calls(fleet: Fleet, rng: random.Random) -> None:
    """Makes accept, socket and connect fail, shortens reads and writes, and interrupts waits."""
    sidecars = fleet.choose_sidecars(rng, 0.6)
    accept_error = rng.choice([errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EPROTO])
    socket_error = rng.choice([errno.ENFILE, errno.EMFILE, errno.ENOBUFS])
    connect_error = rng.choice([errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EHOSTUNREACH])
    for sidecar in sidecars:
        shim = sidecar.shim
        shim.write_word(ControlWord.ACCEPT_ERROR, accept_error)
        shim.write_word(ControlWord.SOCKET_ERROR, socket_error)
        shim.write_word(ControlWord.CONNECT_ERROR, connect_error)
        shim.write_word(ControlWord.ACCEPT_CHANCE, rng.choice([0, 300, 1_000]))
        shim.write_word(ControlWord.SOCKET_CHANCE, rng.choice([0, 0, 200]))
        shim.write_word(ControlWord.CONNECT_CHANCE, rng.choice([0, 200, 500]))
        shim.write_word(ControlWord.SHORT_CHANCE, rng.choice([0, 200, 800]))
        shim.write_word(ControlWord.INTERRUPT_CHANCE, rng.choice([0, 200]))
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    for sidecar in sidecars:
        sidecar.shim.end_faults()


async def lose_log(fleet: Fleet, rng: random.Random) -> None:
    """Makes log writes fail with a full or broken disk, or stops reading the log."""
    sidecars = fleet.choose_sidecars(rng, 0.6)
    for sidecar in sidecars:
        if rng.random() < 0.5:
            sidecar.log_reading_enabled.clear()
        else:
            sidecar.shim.write_word(ControlWord.LOG_ERROR, rng.choice([errno.ENOSPC, errno.EIO]))
            sidecar.shim.write_word(ControlWord.LOG_CHANCE, 700)
    await asyncio.sleep(_sample_duration_s(rng))
    for sidecar in sidecars:
        sidecar.log_reading_enabled.set()
        sidecar.shim.write_word(ControlWord.LOG_CHANCE, 0)


async def hang_servers(fleet: Fleet, rng: random.Random) -> None:
    """Makes servers accept requests and respond to none."""
    await _inject_server_faults(fleet, rng, 0.4, lambda: ServerFaults(hangs=True))


async def break_network(fleet: Fleet, rng: random.Random) -> None:
    """Rejects requests, ends connections at any point, and fails, stalls or repeats responses."""

    def faults() -> ServerFaults:
        probability = rng.choice([0.05, 0.2])
        return ServerFaults(
            reject_probability=probability,
            error_probability=probability,
            accept_close_probability=rng.choice([0.0, 0.5]),
            accept_reset_probability=rng.choice([0.0, 0.3]),
            reset_after_headers_probability=probability,
            reset_after_request_probability=probability,
            reset_in_response_probability=probability,
            stall_in_response_probability=probability / 2,
            duplicate_response_probability=probability,
            mean_service_time_s=rng.choice([0.004, 0.05]),
        )

    await _inject_server_faults(fleet, rng, 0.7, faults)


async def read_slowly(fleet: Fleet, rng: random.Random) -> None:
    """Makes servers pause reading while a request is incomplete."""
    await _inject_server_faults(fleet, rng, 0.5, lambda: ServerFaults(read_delay_s=rng.uniform(0.1, 0.6)))


async def _inject_server_faults(
    fleet: Fleet, rng: random.Random, probability: float, faults: Callable[[], ServerFaults]
) -> None:
    proxies = fleet.choose_proxies(rng, probability)
    for proxy in proxies:
        proxy.server.faults = faults()
    await asyncio.sleep(_sample_duration_s(rng))
    for proxy in proxies:
        proxy.server.faults = ServerFaults()


async def crash_servers(fleet: Fleet, rng: random.Random) -> None:
    """Crashes servers and restarts them at the same address, where slow start applies to them."""

    async def crash_and_restart(proxy: FaultProxy) -> None:
        proxy.crash()
        await asyncio.sleep(_sample_duration_s(rng))
        await proxy.listen()
        await fleet.announce_server_start(proxy)

    await asyncio.gather(*(crash_and_restart(proxy) for proxy in fleet.choose_proxies(rng, 0.3)))


async def drain_servers(fleet: Fleet, rng: random.Random) -> None:
    """Drains servers, adds as many new ones, and removes the drained ones."""
    draining_proxies = fleet.choose_proxies(rng, 0.3)
    for proxy in draining_proxies:
        await fleet.drain_server(proxy)
    for _ in draining_proxies:
        await fleet.add_server()
    await asyncio.sleep(_sample_duration_s(rng))
    for proxy in draining_proxies:
        await fleet.remove_server(proxy)


async def disrupt_discovery(fleet: Fleet, rng: random.Random) -> None:
    """Makes discovery unresponsive, overloaded or slow, or makes it reset connections."""
    faults = [rng.choice(list(DiscoveryFault)) for _ in fleet.discovery_servers]
    for discovery, fault in zip(fleet.discovery_servers, faults, strict=True):
        if rng.random() < 0.8:
            discovery.set_fault(fault)
    await asyncio.sleep(2.0 * _sample_duration_s(rng))
    _set_discovery_fault(fleet.discovery_servers, None)


def _set_discovery_fault(servers: Iterable[DiscoveryServer], fault: DiscoveryFault | None) -> None:
    for server in servers:
        server.set_fault(fault)


async def queue_discovery(fleet: Fleet, rng: random.Random) -> None:
    """Holds responses of discovery while a server begins to drain, and writes them together.

    Discovery is slow for a while after that, so that no later call makes up for a response that is lost.
    """
    _set_discovery_fault(fleet.discovery_servers, DiscoveryFault.QUEUED)
    await asyncio.sleep(rng.uniform(0.5, 2.5))
    draining_proxies = fleet.choose_proxies(rng, 0.2)
    for proxy in draining_proxies:
        await fleet.drain_server(proxy)
        await fleet.add_server()
    await asyncio.sleep(rng.uniform(0.0, 1.5))
    _set_discovery_fault(fleet.discovery_servers, DiscoveryFault.SLOW)
    await asyncio.sleep(2.0)
    _set_discovery_fault(fleet.discovery_servers, None)
    for proxy in draining_proxies:
        await fleet.remove_server(proxy)


async def reload_in_trains(fleet: Fleet, rng: random.Random) -> None:
    """Reloads configurations faster than discovery responds, while servers drain."""

    async def reload_often(sidecar: ManagedSidecar) -> None:
        interval_s = rng.choice([0.05, 0.3, 0.7])
        for _ in range(rng.randint(4, 8)):
            fleet.reload_sidecar(sidecar, rng)
            await asyncio.sleep(interval_s)

    sidecars = fleet.choose_sidecars(rng, 0.4)
    discovery_servers = [fleet.discovery_servers[each.number] for each in sidecars]
    _set_discovery_fault(discovery_servers, DiscoveryFault.SLOW)
    await asyncio.gather(drain_servers(fleet, rng), *(reload_often(each) for each in sidecars))
    _set_discovery_fault(discovery_servers, None)


async def reject_restarts(fleet: Fleet, rng: random.Random) -> None:
    """Kills processes, and lets discovery reject the calls of their successors for a while."""
    sidecars = fleet.choose_sidecars(rng, 0.3)
    discovery_servers = [fleet.discovery_servers[each.number] for each in sidecars]
    _set_discovery_fault(discovery_servers, DiscoveryFault.OVERLOADED)
    restarts = [asyncio.ensure_future(fleet.kill_sidecar(each)) for each in sidecars]
    await asyncio.gather(drain_servers(fleet, rng), asyncio.sleep(rng.uniform(1.0, 4.0)))
    _set_discovery_fault(discovery_servers, None)
    await asyncio.gather(*restarts)


async def disconnect_early(fleet: Fleet, rng: random.Random) -> None:
    """Makes clients disconnect before their responses, send slowly, and exchange large bodies."""
    generators = [generator for generator in fleet.load_generators if rng.random() < 0.7]
    for generator in generators:
        generator.behavior.disconnect_probability = rng.uniform(0.1, 0.6)
        generator.behavior.slow_request_probability = rng.uniform(0.0, 0.5)
        generator.behavior.large_body_probability = generator.behavior.large_response_probability = (
            rng.uniform(0.0, 0.3)
        )
    await asyncio.sleep(_sample_duration_s(rng))
    for generator in generators:
        generator.behavior.disconnect_probability = generator.behavior.slow_request_probability = 0.0
        generator.behavior.large_body_probability = generator.behavior.large_response_probability = 0.02


async def send_incomplete(fleet: Fleet, rng: random.Random) -> None:
    """Opens client connections that send half a request or nothing and stay open."""
    await asyncio.gather(
        *(
            generator.send_incomplete_requests(rng.randint(1, 40), _sample_duration_s(rng))
            for generator in fleet.load_generators
            if rng.random() < 0.6
        )
    )


async def signal_series(fleet: Fleet, rng: random.Random) -> None:
    """Sends many signals within a short time, to serving processes and to stopping ones."""

    async def send_signals(sidecar: ManagedSidecar) -> None:
        for _ in range(rng.randint(3, 12)):
            fleet.reload_sidecar(sidecar, rng)
            await asyncio.sleep(rng.uniform(0.0, 0.03))
        if rng.random() < 0.5:
            await fleet.restart_sidecar(sidecar, repeated_signals=rng.randint(1, 8))

    await asyncio.gather(*(send_signals(sidecar) for sidecar in fleet.choose_sidecars(rng, 0.4)))


async def flood_responses(fleet: Fleet, rng: random.Random) -> None:
    """Makes servers send heads without end, and responses before large requests are complete."""
    probability = rng.choice([0.1, 0.4])
    await _inject_server_faults(
        fleet,
        rng,
        0.4,
        lambda: ServerFaults(flood_head_probability=probability, flood_early_probability=probability),
    )


async def delay_bodies(fleet: Fleet, rng: random.Random) -> None:
    """Makes servers pause between the head and the body of a response."""
    probability = rng.choice([0.3, 1.0])
    await _inject_server_faults(fleet, rng, 0.6, lambda: ServerFaults(delay_body_probability=probability))


async def flood_requests(fleet: Fleet, rng: random.Random) -> None:
    """Opens client connections that send requests without end."""
    await asyncio.gather(
        *(
            generator.send_floods(rng.randint(1, 6), _sample_duration_s(rng))
            for generator in fleet.load_generators
            if rng.random() < 0.4
        )
    )


async def reuse_ids(fleet: Fleet, rng: random.Random) -> None:
    """Sends the ids of open requests and of disconnected clients again, in part during an upgrade."""
    sidecars = fleet.choose_sidecars(rng, 0.5)
    upgrades = [fleet.upgrade_sidecar(each) for each in sidecars if each.inherits_listener]
    reuses = [fleet.load_generators[each.number].reuse_ids(_sample_duration_s(rng)) for each in sidecars]
    await asyncio.gather(*upgrades, *reuses)


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
        queue_discovery,
        reload_in_trains,
        reject_restarts,
        disconnect_early,
        send_incomplete,
        signal_series,
        flood_responses,
        delay_bodies,
        flood_requests,
        reuse_ids,
    )
}
