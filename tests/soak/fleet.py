"""Fleet of a soak run: sidecars with clients and discovery servers, and order servers behind proxies."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from soak import sidecars
from soak.clients import LoadGenerator
from soak.discovery import DiscoveryServer, EndpointCatalog
from soak.fault_proxy import FaultProxy
from soak.records import Idempotency, MemoryPeak, Records, RequestClass, SidecarEvent, Stall, now
from soak.servers import HOST, OrderServer, allocate_port
from soak.shim import compile_shim
from soak.sidecars import ManagedSidecar

CLASSES = [
    RequestClass("look", Idempotency.IDEMPOTENT, 1.0, 0.3),
    RequestClass("amend", Idempotency.IDEMPOTENT_WITH_KEY, 1.2, 0.4, "cell", 0.6),
    RequestClass("store", Idempotency.IDEMPOTENT_WITH_KEY, 1.2, 0.4, "all", 0.8),
    RequestClass("pay", Idempotency.NON_IDEMPOTENT, 1.5, 0.5),
]
EXTRA_CLASS = RequestClass("extra", Idempotency.IDEMPOTENT, 0.8, 0.3)  # Some reloads add this class.
DRAIN_GRACE_S = 0.4
_SHORT_DEADLINE_FACTOR = 0.3  # Of deadlines and latency objectives in runs with short deadlines.
_CROWD_PROBABILITY = 0.3
_CROWD_SIDECARS = 2
_CROWD_CLIENTS = 100  # At each of these sidecars, fewer than the connections that a sidecar accepts.
_MAX_CONNECT_AFTER_SIGTERM_S = 0.4
_MEMORY_LIMIT_MB = 64
_SHARED_MEMORY_LIMIT_MB = 96  # Of a sidecar of which two processes may run.
_MEMORY_SAMPLE_S = 0.1
_STALL_SAMPLE_S = 0.02
_Item = TypeVar("_Item")


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Options of a run; everything else is chosen at random from the seed."""

    seed: int
    sidecar_count: int = 10
    server_count: int = 6
    fault_phase_s: float = 8.0  # New faults begin during this time; those still active then run to their end.
    requests_per_s: float = 20.0  # Mean rate at each sidecar.
    fault_names: tuple[str, ...] = ()  # Keys of `FAULTS` to choose from; empty means all.


class Fleet:
    """All components of a run and the operations that faults perform on them; owns what it starts."""

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        self.options = options
        self.rng = random.Random(options.seed)
        self.records = Records()
        self.allows_hedging = self.rng.random() < 0.5
        self.is_discovery_pushed = self.rng.random() < 0.3
        self.records.is_discovery_pushed = self.is_discovery_pushed
        factor = _SHORT_DEADLINE_FACTOR if self.rng.random() < 0.4 else 1.0
        self.classes = [each.scaled(factor) for each in CLASSES]
        self._extra_class = EXTRA_CLASS.scaled(factor)
        self._has_crowd = self.rng.random() < _CROWD_PROBABILITY
        self._tasks: set[asyncio.Task[None]] = set()
        shim_library = compile_shim(folder)
        self.sidecars = [
            ManagedSidecar(
                number, folder, shim_library, self.records, inherits_listener=self.rng.random() < 0.4
            )
            for number in range(options.sidecar_count)
        ]
        self._last_server_number = 0
        self.proxies = [self._create_proxy() for _ in range(options.server_count)]
        self.catalog = EndpointCatalog([])
        self.discovery_servers: list[DiscoveryServer] = []
        self.load_generators: list[LoadGenerator] = []
        self._being_replaced: set[int] = set()  # Numbers of the sidecars whose process is being replaced.

    def _create_proxy(self) -> FaultProxy:
        self._last_server_number += 1
        number = self._last_server_number
        server = OrderServer(f"s-{number}", "a" if number % 2 else "b", number % 3)
        return FaultProxy(server, self.records, random.Random(self.options.seed * 1_000 + number))

    async def start(self) -> None:
        """Starts everything and returns when all sidecars are ready.

        Raises:
            TimeoutError: a sidecar was not ready within `READY_TIMEOUT_S`.
        """
        for proxy in self.proxies:
            await proxy.start()
        self.catalog = EndpointCatalog([proxy.server for proxy in self.proxies])
        for sidecar in self.sidecars:
            discovery_server = DiscoveryServer(sidecar.number, self.catalog, self.records, self.rng)
            await discovery_server.start()
            self.discovery_servers.append(discovery_server)
            sidecar.update_configuration(
                name=f"n{sidecar.number}",
                listen=_format_address(sidecar.address),
                control=_format_address(sidecar.control_address),
                discovery=discovery_server.address(0),
                seed=f"{self.rng.getrandbits(32):x}",
                limits={"cores": 1.0, "memory_mb": _memory_limit_mb(sidecar), "sockets": 512},
                known=self.catalog.complete_list(),
                settings=self.make_settings(sidecar),
            )
            load_generator = LoadGenerator(
                sidecar.number, sidecar.address, self.classes, self.records, self.rng
            )
            self.load_generators.append(load_generator)
        await asyncio.gather(*(sidecar.start() for sidecar in self.sidecars))
        self._tasks.add(asyncio.ensure_future(self._sample_memory()))
        self._tasks.add(asyncio.ensure_future(self._record_stalls()))

    async def _sample_memory(self) -> None:
        while True:
            for sidecar in self.sidecars:
                sidecar.sample_memory()
            await asyncio.sleep(_MEMORY_SAMPLE_S)

    async def _record_stalls(self) -> None:
        while True:
            due_at = now() + _STALL_SAMPLE_S
            await asyncio.sleep(_STALL_SAMPLE_S)
            if now() > due_at + _STALL_SAMPLE_S:
                self.records.stalls.append(Stall(due_at, now()))

    def start_crowd(self, duration_s: float) -> list[asyncio.Task[None]]:
        """Starts the crowd of clients, if this run has one; returns its tasks."""
        generators = self.load_generators[:_CROWD_SIDECARS] if self._has_crowd else []
        return [
            asyncio.ensure_future(generator.run_crowd(_CROWD_CLIENTS, duration_s)) for generator in generators
        ]

    def make_settings(self, sidecar: ManagedSidecar, **limit_overrides: Any) -> dict[str, Any]:
        """Returns the settings of a sidecar; `limit_overrides` replace keys of `bounds`."""
        return sidecars.make_settings(
            self.classes,
            sidecar.number,
            len(self.sidecars),
            discovery_mode="pushed" if self.is_discovery_pushed else "on_request",
            secondCopies=self.allows_hedging,
            **limit_overrides,
        )

    # Random choice of the sidecars and servers that a fault affects

    def choose_sidecars(self, rng: random.Random, probability: float) -> list[ManagedSidecar]:
        """Chooses each sidecar with the given probability, and at least one."""
        return _choose_some(self.sidecars, rng, probability)

    def choose_proxies(self, rng: random.Random, probability: float) -> list[FaultProxy]:
        """Chooses each active server with the given probability, and at least one.

        Of more than two active servers, at least two are left unchosen.
        """
        active = [proxy for proxy in self.proxies if proxy.server.state == "active"]
        return _choose_some(active, rng, probability)[: max(len(active) - 2, 1)]

    # Operations that faults perform

    async def restart_sidecar(self, sidecar: ManagedSidecar, repeated_signals: int = 0) -> None:
        """Stops the process by SIGTERM and starts another, unless it is being replaced already.

        This many further signals follow SIGTERM, at random times while the process stops.
        """
        if sidecar.number in self._being_replaced:
            return
        self._being_replaced.add(sidecar.number)
        load_generator = self.load_generators[sidecar.number]
        stop_task = asyncio.ensure_future(sidecar.stop())
        signals_task = asyncio.ensure_future(sidecar.repeat_signals(repeated_signals, self.rng))
        await asyncio.sleep(self.rng.uniform(0.2, _MAX_CONNECT_AFTER_SIGTERM_S))
        load_generator.may_connect = False
        await asyncio.gather(stop_task, signals_task)
        await self._start_replacement(sidecar)

    async def kill_sidecar(self, sidecar: ManagedSidecar) -> None:
        """Kills the process and starts another, unless it is being replaced already."""
        if sidecar.number in self._being_replaced:
            return
        self._being_replaced.add(sidecar.number)
        self.load_generators[sidecar.number].may_connect = False
        sidecar.kill()
        await sidecar.wait_until_ended()
        await self._start_replacement(sidecar)

    async def _start_replacement(self, sidecar: ManagedSidecar) -> None:
        sidecar.update_configuration(seed=f"{self.rng.getrandbits(32):x}")
        try:
            await sidecar.start()
        finally:
            self._being_replaced.discard(sidecar.number)
            self.load_generators[sidecar.number].may_connect = True

    async def upgrade_sidecar(self, sidecar: ManagedSidecar) -> None:
        """Starts a new process next to the old one, and stops the old one by SIGTERM once the new is ready.

        Does nothing if the process is being replaced already.
        """
        if sidecar.number in self._being_replaced or sidecar.current_process is None:
            return
        self._being_replaced.add(sidecar.number)
        old_process = sidecar.current_process
        try:
            sidecar.control_address = (HOST, allocate_port())
            sidecar.update_configuration(
                control=_format_address(sidecar.control_address), seed=f"{self.rng.getrandbits(32):x}"
            )
            await sidecar.start()
            new_process = sidecar.current_process
            sidecar.current_process = old_process
            await sidecar.stop()
            sidecar.current_process = new_process
        finally:
            self._being_replaced.discard(sidecar.number)

    def reload_sidecar(self, sidecar: ManagedSidecar, rng: random.Random) -> None:
        """Writes a new or truncated configuration and sends SIGHUP, unless the process is being replaced."""
        if sidecar.number in self._being_replaced:
            return
        if rng.random() < 0.2:
            sidecar.write_truncated_configuration()
            sidecar.signal_reload()
            return
        settings = self.make_settings(sidecar, sendCap=rng.choice([1, 2, 3]))
        if rng.random() < 0.5:
            settings["lanes"].append(self._extra_class.settings_entry)
        sidecar.update_configuration(
            settings=settings,
            discovery=self.discovery_servers[sidecar.number].address(rng.randrange(2)),
        )
        self.records.reloads.append(SidecarEvent(sidecar.number, now()))
        sidecar.signal_reload()

    async def announce_server_start(self, proxy: FaultProxy) -> None:
        """Announces that a server has just started."""
        proxy.server.started_ms = time.time_ns() // 1_000_000
        await self.catalog.publish(proxy.server)

    async def drain_server(self, proxy: FaultProxy) -> None:
        """Announces that a server is draining."""
        proxy.server.state = "leaving"
        await self.catalog.publish(proxy.server)

    async def add_server(self) -> None:
        """Starts another server and announces it."""
        proxy = self._create_proxy()
        await proxy.start()
        self.proxies.append(proxy)
        await self.announce_server_start(proxy)

    async def remove_server(self, proxy: FaultProxy) -> None:
        """Announces that a server is removed, and stops it after the drain grace period."""
        proxy.server.state = "left"
        await self.catalog.publish(proxy.server)
        await asyncio.sleep(DRAIN_GRACE_S)
        proxy.crash()

    async def close(self) -> None:
        """Ends all processes and servers."""
        for task in self._tasks:
            task.cancel()
        self.records.memory_peaks += [
            MemoryPeak(sidecar.number, sidecar.peak_resident_mb, _memory_limit_mb(sidecar))
            for sidecar in self.sidecars
        ]
        await asyncio.gather(*(sidecar.close() for sidecar in self.sidecars))
        for proxy in self.proxies:
            proxy.stop()
        for discovery_server in self.discovery_servers:
            discovery_server.stop()


def _memory_limit_mb(sidecar: ManagedSidecar) -> int:
    return _SHARED_MEMORY_LIMIT_MB if sidecar.inherits_listener else _MEMORY_LIMIT_MB


def _choose_some(items: Sequence[_Item], rng: random.Random, probability: float) -> list[_Item]:
    chosen = [item for item in items if rng.random() < probability]
    return chosen or [rng.choice(items)]


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
