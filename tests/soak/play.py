"""One run of the soak: a fleet, its servers and clients, troubles that overlap, and the verdict."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import uvloop

from soak import sidecars
from soak.clients import Application
from soak.discovery import Catalog, Discovery
from soak.oracle import Oracle
from soak.records import Effect, Records, RequestClass, now
from soak.servers import HOST, FaultProxy, OrderServer, next_port
from soak.shim import Word, built
from soak.sidecars import Place
from soak.troubles import TROUBLES

CLASSES = [
    RequestClass("look", Effect.SAFE, 1.0, 0.3),
    RequestClass("amend", Effect.KEYED, 1.2, 0.4, "cell", 0.6),
    RequestClass("store", Effect.KEYED, 1.2, 0.4, "all", 0.8),
    RequestClass("pay", Effect.UNSAFE, 1.5, 0.5),
]
EXTRA = RequestClass("extra", Effect.SAFE, 0.8, 0.3)
_Item = TypeVar("_Item")
_GRACE_S = 0.4
_QUIET_S = 1.0  # before the first trouble
_RECOVERS_S = 8.0  # after the last one, each sidecar serves again within this
_SERVED_IN_A_ROW = 20
_MOST_DESCRIPTORS = 120  # at rest: far more than the few clients and servers need


@dataclass(frozen=True, slots=True)
class Plan:
    """What a run is made of; the seed gives the rest."""

    seed: int
    sidecars: int = 10
    servers: int = 6
    seconds: float = 8.0  # of troubles
    per_s: float = 20.0  # requests at each sidecar
    only: tuple[str, ...] = ()  # troubles to choose from; none: all


@dataclass(slots=True)
class Verdict:
    """How a run ended."""

    plan: Plan
    breaches: list[str]
    tries: int
    answers: dict[int, int] = field(default_factory=dict)  # by status; 0: none
    injected: int = 0  # system calls that the shim let fail
    processes: int = 0
    troubles: list[str] = field(default_factory=list)
    took_s: float = 0.0

    def __str__(self) -> str:
        counts = " ".join(f"{status}:{count}" for status, count in sorted(self.answers.items()))
        return (
            f"seed {self.plan.seed}: {len(self.breaches)} breaches, {self.tries} tries ({counts}), "
            f"{self.processes} processes, {self.injected} calls failed, {self.took_s:.1f} s; "
            f"{', '.join(self.troubles)}"
        )


class World:
    """Everything that a run consists of, and what troubles may do to it."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.plan = plan
        self.chance = random.Random(plan.seed)
        self.records = Records()
        self.second_copies = self.chance.random() < 0.5
        self.pushed = self.chance.random() < 0.3
        library = built(folder)
        self.places = [
            Place(number, folder, library, self.records, is_inherited=self.chance.random() < 0.4)
            for number in range(plan.sidecars)
        ]
        self._server_number = 0
        self.proxies = [self._new_proxy() for _ in range(plan.servers)]
        self.catalog = Catalog([])
        self.discoveries: list[Discovery] = []
        self.applications: list[Application] = []
        self._busy: set[int] = set()  # places that are being replaced

    def _new_proxy(self) -> FaultProxy:
        self._server_number += 1
        number = self._server_number
        server = OrderServer(f"s-{number}", "a" if number % 2 else "b", number % 3)
        return FaultProxy(server, self.records, random.Random(self.plan.seed * 1_000 + number))

    async def start(self) -> None:
        """Start all; return once each process serves."""
        for proxy in self.proxies:
            await proxy.start()
        self.catalog = Catalog([each.server for each in self.proxies])
        for place in self.places:
            discovery = Discovery(place.number, self.catalog, self.records, self.chance)
            await discovery.start()
            self.discoveries.append(discovery)
            place.configure(
                name=f"n{place.number}",
                listen=_text(place.address),
                control=_text(place.control),
                discovery=discovery.address(0),
                seed=f"{self.chance.getrandbits(32):x}",
                limits={"cores": 1.0, "memory_mb": 96, "sockets": 256},
                known=self.catalog.whole(),
                settings=self.settings(place),
            )
            application = Application(place.number, place.address, list(CLASSES), self.records, self.chance)
            self.applications.append(application)
        await asyncio.gather(*(each.start() for each in self.places))

    def settings(self, place: Place, **bounds: Any) -> dict[str, Any]:
        return sidecars.settings(
            CLASSES,
            place.number,
            len(self.places),
            discovery="pushed" if self.pushed else "on_request",
            secondCopies=self.second_copies,
            **bounds,
        )

    # What troubles choose from

    def some_places(self, chance: random.Random, part: float) -> list[Place]:
        return _some(self.places, chance, part)

    def some_proxies(self, chance: random.Random, part: float) -> list[FaultProxy]:
        ready = [each for each in self.proxies if each.server.state == "active"]
        return _some(ready, chance, part)[: max(len(ready) - 2, 1)]

    # What troubles do

    async def restart(self, place: Place) -> None:
        if place.number in self._busy:
            return
        self._busy.add(place.number)
        application = self.applications[place.number]
        stopping = asyncio.ensure_future(place.stop())
        await asyncio.sleep(0.2)
        application.may_connect = False
        await stopping
        await self._start_again(place)

    async def kill(self, place: Place) -> None:
        if place.number in self._busy:
            return
        self._busy.add(place.number)
        self.applications[place.number].may_connect = False
        place.kill()
        assert place.process is not None
        await place.process.wait()
        await self._start_again(place)

    async def _start_again(self, place: Place) -> None:
        place.configure(seed=f"{self.chance.getrandbits(32):x}")
        try:
            await place.start()
        finally:
            self._busy.discard(place.number)
            self.applications[place.number].may_connect = True

    async def take_over(self, place: Place) -> None:
        """Start a new version, and tell the old one to end once that is ready."""
        if place.number in self._busy or place.process is None or place.life is None:
            return
        self._busy.add(place.number)
        old, old_life = place.process, place.life
        try:
            place.control = (HOST, next_port())
            place.configure(control=_text(place.control), seed=f"{self.chance.getrandbits(32):x}")
            await place.start()
            new, new_life = place.process, place.life
            place.process, place.life = old, old_life
            await place.stop()
            place.process, place.life = new, new_life
        finally:
            self._busy.discard(place.number)

    def reload(self, place: Place, chance: random.Random) -> None:
        if place.number in self._busy:
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
        self.records.reloads.append((place.number, now()))
        place.reload()

    async def started_anew(self, proxy: FaultProxy) -> None:
        proxy.server.started_ms = time.time_ns() // 1_000_000
        await self.catalog.tell(proxy.server)

    async def drain(self, proxy: FaultProxy) -> None:
        proxy.server.state = "leaving"
        await self.catalog.tell(proxy.server)

    async def add_server(self, chance: random.Random) -> None:
        proxy = self._new_proxy()
        await proxy.start()
        self.proxies.append(proxy)
        await self.started_anew(proxy)

    async def remove(self, proxy: FaultProxy) -> None:
        proxy.server.state = "left"
        await self.catalog.tell(proxy.server)
        await asyncio.sleep(_GRACE_S)
        proxy.crash()

    async def close(self) -> None:
        await asyncio.gather(*(each.close() for each in self.places))
        for proxy in self.proxies:
            proxy.stop()
        for discovery in self.discoveries:
            discovery.stop()


def _some(items: Sequence[_Item], chance: random.Random, part: float) -> list[_Item]:
    chosen = [each for each in items if chance.random() < part]
    return chosen or [chance.choice(items)]


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


async def play(plan: Plan) -> Verdict:
    """Run once; everything that was started has ended when this returns."""
    began = now()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        world = World(plan, Path(folder))
        extra: list[str] = []
        try:
            await world.start()
            loads = [asyncio.ensure_future(each.run(plan.per_s)) for each in world.applications]
            await asyncio.sleep(_QUIET_S)
            names = await _trouble(world, plan, extra)
            for load in loads:
                load.cancel()
            await asyncio.gather(*(each.settle() for each in world.applications))
            extra += await _aftermath(world)
        finally:
            await world.close()
    oracle = Oracle(world.records, _GRACE_S, second_copies=world.second_copies)
    verdict = Verdict(plan, [*oracle.breaches(), *extra], len(world.records.tries))
    for each in world.records.tries:
        verdict.answers[each.status] = verdict.answers.get(each.status, 0) + 1
    verdict.processes = len(world.records.lives)
    verdict.injected = sum(place.shim.get(Word.INJECTED) for place in world.places)
    verdict.troubles = names
    verdict.took_s = now() - began
    return verdict


async def _trouble(world: World, plan: Plan, extra: list[str]) -> list[str]:
    """Let two or three troubles overlap at any time, until the time is up and all have ended."""
    chance = random.Random(plan.seed + 1)
    ends_at = now() + plan.seconds
    running: set[asyncio.Task[None]] = set()
    names: list[str] = []

    async def suffer(name: str) -> None:
        try:
            await TROUBLES[name](world, random.Random(chance.getrandbits(32)))
        except TimeoutError:
            extra.append(f"process: not ready in time, in {name}")

    while now() < ends_at:
        while len(running) < chance.choice([2, 3]):
            name = chance.choice(plan.only or tuple(TROUBLES))
            names.append(name)
            running.add(asyncio.ensure_future(suffer(name)))
        _, running = await asyncio.wait(running, timeout=0.2, return_when=asyncio.FIRST_COMPLETED)
    if running:
        await asyncio.wait(running)
    return names


async def _aftermath(world: World) -> list[str]:
    """What each sidecar must show once all troubles have ended: it serves, owes nothing and holds little."""
    breaches: list[str] = []
    for place in world.places:
        place.shim.calm()
        place.reads_log.set()
        place.configure(settings=world.settings(place))
        world.records.reloads.append((place.number, now()))
        place.reload()
    await asyncio.sleep(0.2)
    breaches += [
        each for each in await asyncio.gather(*(_recovers(world, place) for place in world.places)) if each
    ]
    await asyncio.sleep(2.0)
    for place in world.places:
        name = f"n{place.number}"
        try:
            figures = await place.figures()
        except (OSError, TimeoutError) as fault:
            breaches.append(f"aftermath: {name} does not answer its operators: {fault!r}")
            continue
        if figures["pending"]:
            breaches.append(f"aftermath: {name} has {figures['pending']} requests pending")
        if figures["invariant_violations"]:
            breaches.append(f"aftermath: {name} counts {figures['invariant_violations']} violations")
        if place.descriptors() > _MOST_DESCRIPTORS:
            breaches.append(f"aftermath: {name} holds {place.descriptors()} descriptors")
    await asyncio.gather(*(each.stop() for each in world.places))
    return breaches


async def _recovers(world: World, place: Place) -> str:
    """Ask until so many in a row are served; say what is wrong where that does not come about in time."""
    application = world.applications[place.number]
    began, in_a_row, asked = now(), 0, 0
    while in_a_row < _SERVED_IN_A_ROW:
        if now() > began + _RECOVERS_S:
            figures = {name: count for name, count in (await place.figures()).items() if count}
            return f"aftermath: n{place.number} serves {in_a_row} in a row after {asked}: {figures}"
        before = len(world.records.tries)
        await application.begin(CLASSES[0])
        asked += 1
        own = [each for each in world.records.tries[before:] if each.sidecar == place.number]
        in_a_row = in_a_row + 1 if own and own[-1].status == 200 else 0
        await asyncio.sleep(0.02)
    return ""


def main() -> int:
    """Run seeds from the command line; exit with 1 if a rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m soak.play", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--sidecars", type=int, default=Plan.__dataclass_fields__["sidecars"].default)
    parser.add_argument("--seconds", type=float, default=Plan.__dataclass_fields__["seconds"].default)
    parser.add_argument("--only", default="", help="troubles to choose from, with commas between them")
    parser.add_argument("--json", type=Path, help="add one line for each run to this file")
    given = parser.parse_args()
    only = tuple(each for each in given.only.split(",") if each)
    failed = False
    for seed in range(given.seed, given.seed + given.seeds):
        plan = Plan(seed, given.sidecars, seconds=given.seconds, only=only)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            verdict = runner.run(play(plan))
        print(verdict, flush=True)
        for breach in verdict.breaches:
            print("   ", breach, flush=True)
        failed = failed or bool(verdict.breaches)
        if given.json is not None:
            line = {"seed": seed, "breaches": verdict.breaches, "troubles": verdict.troubles}
            with given.json.open("a") as out:
                out.write(json.dumps(line) + "\n")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
