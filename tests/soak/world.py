"""The fleet of a soak run: sidecars with their clients and discovery, and servers behind proxies."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from soak import sidecars
from soak.clients import Application
from soak.discovery import Catalog, Discovery
from soak.fault_proxy import FaultProxy
from soak.records import Idempotency, Records, RequestClass, SidecarEvent, now
from soak.servers import HOST, OrderServer, next_port
from soak.shim import compile_shim
from soak.sidecars import Place

CLASSES = [
    RequestClass("look", Idempotency.IDEMPOTENT, 1.0, 0.3),
    RequestClass("amend", Idempotency.WITH_KEY, 1.2, 0.4, "cell", 0.6),
    RequestClass("store", Idempotency.WITH_KEY, 1.2, 0.4, "all", 0.8),
    RequestClass("pay", Idempotency.NON_IDEMPOTENT, 1.5, 0.5),
]
EXTRA = RequestClass("extra", Idempotency.IDEMPOTENT, 0.8, 0.3)  # added by some reloads
DRAIN_GRACE_S = 0.4
_Item = TypeVar("_Item")


@dataclass(frozen=True, slots=True)
class Plan:
    """What a run is made of; the seed decides the rest."""

    seed: int
    sidecars: int = 10
    servers: int = 6
    seconds: float = 8.0  # during which faults begin
    requests_per_s: float = 20.0  # at each sidecar
    only: tuple[str, ...] = ()  # faults to choose from; none: all


class World:
    """Everything that a run consists of, and what faults may do to it; owns what it starts."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.chance = random.Random(plan.seed)
        self.records = Records()
        self.allows_hedging = self.chance.random() < 0.5
        self.is_discovery_pushed = self.chance.random() < 0.3
        library = compile_shim(folder)
        self.places = [
            Place(number, folder, library, self.records, inherits_listener=self.chance.random() < 0.4)
            for number in range(plan.sidecars)
        ]
        self._server_number = 0
        self.proxies = [self._new_proxy() for _ in range(plan.servers)]
        self.catalog = Catalog([])
        self.discoveries: list[Discovery] = []
        self.applications: list[Application] = []
        self._replaced: set[int] = set()  # numbers of the sidecars that are being replaced

    def _new_proxy(self) -> FaultProxy:
        self._server_number += 1
        number = self._server_number
        server = OrderServer(f"s-{number}", "a" if number % 2 else "b", number % 3)
        return FaultProxy(server, self.records, random.Random(self.plan.seed * 1_000 + number))

    async def start(self) -> None:
        """Start all, and return when each process serves; TimeoutError if one does not in time."""
        for proxy in self.proxies:
            await proxy.start()
        self.catalog = Catalog([proxy.server for proxy in self.proxies])
        for place in self.places:
            discovery = Discovery(place.number, self.catalog, self.records, self.chance)
            await discovery.start()
            self.discoveries.append(discovery)
            place.configure(
                name=f"n{place.number}",
                listen=_format_address(place.address),
                control=_format_address(place.control),
                discovery=discovery.address(0),
                seed=f"{self.chance.getrandbits(32):x}",
                limits={"cores": 1.0, "memory_mb": 96, "sockets": 256},
                known=self.catalog.full_list(),
                settings=self.settings(place),
            )
            application = Application(place.number, place.address, list(CLASSES), self.records, self.chance)
            self.applications.append(application)
        await asyncio.gather(*(place.start() for place in self.places))

    def settings(self, place: Place, **bounds: Any) -> dict[str, Any]:
        """The settings of a sidecar, with these keys of `bounds` changed."""
        return sidecars.settings(
            CLASSES,
            place.number,
            len(self.places),
            discovery="pushed" if self.is_discovery_pushed else "on_request",
            secondCopies=self.allows_hedging,
            **bounds,
        )

    # What faults choose from

    def some_places(self, chance: random.Random, part: float) -> list[Place]:
        """Each sidecar with probability `part`, at least one."""
        return _some(self.places, chance, part)

    def some_proxies(self, chance: random.Random, part: float) -> list[FaultProxy]:
        """Each active server with probability `part`, at least one; two active ones stay as they are."""
        active = [proxy for proxy in self.proxies if proxy.server.state == "active"]
        return _some(active, chance, part)[: max(len(active) - 2, 1)]

    # What faults do

    async def restart(self, place: Place) -> None:
        """Stop the process by SIGTERM and start another, unless it is being replaced already."""
        if place.number in self._replaced:
            return
        self._replaced.add(place.number)
        application = self.applications[place.number]
        stopping = asyncio.ensure_future(place.stop())
        await asyncio.sleep(0.2)
        application.may_connect = False
        await stopping
        await self._start_replacement(place)

    async def kill(self, place: Place) -> None:
        """Kill the process and start another, unless it is being replaced already."""
        if place.number in self._replaced:
            return
        self._replaced.add(place.number)
        self.applications[place.number].may_connect = False
        place.kill()
        await place.wait_ended()
        await self._start_replacement(place)

    async def _start_replacement(self, place: Place) -> None:
        place.configure(seed=f"{self.chance.getrandbits(32):x}")
        try:
            await place.start()
        finally:
            self._replaced.discard(place.number)
            self.applications[place.number].may_connect = True

    async def take_over(self, place: Place) -> None:
        """Start a new process beside the old one, and send SIGTERM to the old one when it is ready."""
        if place.number in self._replaced or place.running is None:
            return
        self._replaced.add(place.number)
        old = place.running
        try:
            place.control = (HOST, next_port())
            place.configure(control=_format_address(place.control), seed=f"{self.chance.getrandbits(32):x}")
            await place.start()
            new = place.running
            place.running = old
            await place.stop()
            place.running = new
        finally:
            self._replaced.discard(place.number)

    def reload(self, place: Place, chance: random.Random) -> None:
        """Write a new configuration, or half of one, and send SIGHUP."""
        if place.number in self._replaced:
            return
        if chance.random() < 0.2:
            place.write_half()
            place.reload()
            return
        settings = self.settings(place, sendCap=chance.choice([1, 2, 3]))
        if chance.random() < 0.5:
            settings["lanes"].append(EXTRA.settings)
        place.configure(
            settings=settings, discovery=self.discoveries[place.number].address(chance.randrange(2))
        )
        self.records.reloads.append(SidecarEvent(place.number, now()))
        place.reload()

    async def announce_start(self, proxy: FaultProxy) -> None:
        """Announce that a server has just started."""
        proxy.server.started_ms = time.time_ns() // 1_000_000
        await self.catalog.update(proxy.server)

    async def drain(self, proxy: FaultProxy) -> None:
        """Announce that a server is draining."""
        proxy.server.state = "leaving"
        await self.catalog.update(proxy.server)

    async def add_server(self) -> None:
        """Start another server and announce it."""
        proxy = self._new_proxy()
        await proxy.start()
        self.proxies.append(proxy)
        await self.announce_start(proxy)

    async def remove(self, proxy: FaultProxy) -> None:
        """Announce that a server is removed, and end it after the grace period."""
        proxy.server.state = "left"
        await self.catalog.update(proxy.server)
        await asyncio.sleep(DRAIN_GRACE_S)
        proxy.crash()

    async def close(self) -> None:
        """End all processes and servers."""
        await asyncio.gather(*(place.close() for place in self.places))
        for proxy in self.proxies:
            proxy.stop()
        for discovery in self.discoveries:
            discovery.stop()


def _some(items: Sequence[_Item], chance: random.Random, part: float) -> list[_Item]:
    chosen = [item for item in items if chance.random() < part]
    return chosen or [chance.choice(items)]


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
