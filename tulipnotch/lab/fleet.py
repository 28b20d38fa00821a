"""Builds the fleet of a scenario: the same servers in both times, from the same seed."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from tulipnotch.lab.directory import Directory, DirectoryEntry
from tulipnotch.lab.load import stream
from tulipnotch.lab.scenario import Scenario
from tulipnotch.lab.server import Job, OrderServer


class ServerObserver(Protocol):
    """Is notified by servers: the history checker, or what records for it."""

    def attempt_started(self, request: int, zone: str, cell: int, now: int) -> bool:
        """A server starts to execute an attempt; returns whether it drops it as a duplicate."""

    def server_overloaded(self, server: str, started_at: int, work_by_sidecar: dict[int, float]) -> None:
        """A server was overloaded while warming up, by this work."""


def build(given: Scenario, seed: int, observer: ServerObserver) -> list[OrderServer]:
    """All servers, warm; kinds by their shares, zones in turn, speeds drawn."""
    chance = stream(seed, "fleet")
    fleet = given.fleet

    def on_begin(server: OrderServer, job: Job, now: int) -> bool:
        return observer.attempt_started(job.request, server.zone, server.cell, now)

    def fell(server: OrderServer, started_at: int, by_sidecar: dict[int, float]) -> None:
        observer.server_overloaded(server.name, started_at, by_sidecar)

    kinds = [kind for kind in fleet.kinds for _ in range(round(1_000 * kind.share))]
    kinds = [kinds[int((place + 0.5) * len(kinds) / fleet.servers)] for place in range(fleet.servers)]
    chance.shuffle(kinds)
    servers = []
    for place, kind in enumerate(kinds):
        spread = math.log1p(kind.speed_cv**2)
        speed = kind.speed * (chance.lognormvariate(-spread / 2.0, math.sqrt(spread)) if spread else 1.0)
        zone = fleet.zones[place % len(fleet.zones)]
        server = OrderServer(
            f"s-{place:03}",
            zone,
            place // fleet.cell_size,
            kind,
            speed,
            fleet,
            given.mean_work_s * 1e6,
            on_begin,
        )
        server.fell = fell
        sooner = 1.0 + fleet.cold_spread * chance.random()
        server.cold_from = min(fleet.cold_from * sooner, 1.0)
        server.cold_s = fleet.cold_s / sooner
        servers.append(server)
    return servers


def capacity(servers: list[OrderServer]) -> float:
    """What they can do when warm, in seconds of standard work a second."""
    return sum(each.cores * each.speed for each in servers)


def directory(servers: list[OrderServer]) -> Directory:
    return Directory([DirectoryEntry(each.name, each.zone, each.kind, each.cell) for each in servers])


class Notices:
    """Which change of a server reaches the list, and after how long; `publish` carries it out."""

    def __init__(self, given: Scenario, after: Callable[[int, Callable[[], None]], None]) -> None:
        self._given = given.discovery
        self._after = after
        self._latest: dict[str, int] = {}

    def notice(self, name: str, wait_s: float, publish: Callable[[], None]) -> None:
        """Publish after this wait, unless something newer of this server was noticed meanwhile."""
        number = self._latest[name] = self._latest.get(name, 0) + 1

        def due() -> None:
            if self._latest[name] == number:
                publish()

        self._after(int(wait_s * 1e6), due)
