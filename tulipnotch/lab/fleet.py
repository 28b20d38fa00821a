"""Builds the fleet of a scenario from a seed; it has the same servers in virtual and in real time."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from tulipnotch.lab.directory import Directory, DirectoryEntry
from tulipnotch.lab.load import random_stream
from tulipnotch.lab.scenario import Scenario
from tulipnotch.lab.server import Job, OrderServer


class ServerObserver(Protocol):
    """Is notified by servers: the history checker, or a recorder of events for a later check."""

    def attempt_started(self, request: int, zone: str, cell: int, now: int) -> bool:
        """A server starts to execute an attempt; returns whether it drops it as a duplicate."""

    def server_overloaded(self, server: str, started_at: int, work_by_sidecar: dict[int, float]) -> None:
        """A server was overloaded while warming up, by this work."""


def build_servers(scenario: Scenario, seed: int, observer: ServerObserver) -> list[OrderServer]:
    """Builds all servers of the fleet, fully warm.

    Machine types are chosen in proportion to their shares, zones assigned in turn, and speeds sampled.

    Args:
        scenario: Gives the fleet.
        seed: The seed of the run.
        observer: Is notified by the servers.
    """
    rng = random_stream(seed, "fleet")
    fleet = scenario.fleet

    def on_job_started(server: OrderServer, job: Job, now: int) -> bool:
        return observer.attempt_started(job.request, server.zone, server.cell, now)

    def on_warm_up_failed(server: OrderServer, started_at: int, work_by_sidecar: dict[int, float]) -> None:
        observer.server_overloaded(server.name, started_at, work_by_sidecar)

    machine_types = [each for each in fleet.kinds for _ in range(round(1_000 * each.share))]
    machine_types = [
        machine_types[int((index + 0.5) * len(machine_types) / fleet.servers)]
        for index in range(fleet.servers)
    ]
    rng.shuffle(machine_types)
    servers = []
    for index, machine_type in enumerate(machine_types):
        variance = math.log1p(machine_type.speed_cv**2)
        speed = machine_type.speed * (
            rng.lognormvariate(-variance / 2.0, math.sqrt(variance)) if variance else 1.0
        )
        zone = fleet.zones[index % len(fleet.zones)]
        server = OrderServer(
            f"s-{index:03}",
            zone,
            index // fleet.cell_size,
            machine_type,
            speed,
            fleet,
            scenario.mean_work_s * 1e6,
            on_job_started,
        )
        server.on_warm_up_failed = on_warm_up_failed
        warm_up_speedup = 1.0 + fleet.cold_spread * rng.random()
        server.initial_capacity = min(fleet.cold_from * warm_up_speedup, 1.0)
        server.warm_up_s = fleet.cold_s / warm_up_speedup
        servers.append(server)
    return servers


def total_capacity(servers: list[OrderServer]) -> float:
    """Returns the capacity of the servers when warm, in seconds of work on a standard core a second."""
    return sum(each.cores * each.speed for each in servers)


def build_directory(servers: list[OrderServer]) -> Directory:
    return Directory([DirectoryEntry(each.name, each.zone, each.machine_type, each.cell) for each in servers])


class DelayedPublisher:
    """Publishes changes of servers after a delay; a later change of a server replaces an earlier one."""

    def __init__(self, scenario: Scenario, call_later: Callable[[int, Callable[[], None]], None]) -> None:
        """Starts with nothing scheduled.

        Args:
            scenario: Gives the delays of discovery.
            call_later: Schedules a call after a delay in microseconds.
        """
        self._discovery = scenario.discovery
        self._call_later = call_later
        self._latest_change: dict[str, int] = {}  # keyed by server: the number of its latest change

    def publish_later(self, server: str, delay_s: float, publish: Callable[[], None]) -> None:
        """Calls `publish` after this delay, unless another change of the server is scheduled meanwhile."""
        number = self._latest_change[server] = self._latest_change.get(server, 0) + 1

        def publish_if_latest() -> None:
            if self._latest_change[server] == number:
                publish()

        self._call_later(int(delay_s * 1e6), publish_if_latest)
