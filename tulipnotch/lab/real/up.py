"""The whole platform up, for as long as somebody wants it, and what can be read of it meanwhile."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from multiprocessing.connection import Connection

import msgspec

from tulipnotch.lab.real import generator
from tulipnotch.lab.real.play import Platform, SidecarProcess, platform
from tulipnotch.lab.scenario import Scenario

_FOR_GOOD_S = 36_000.0  # the longest that a scenario may last


@dataclass(frozen=True, slots=True)
class ServerRow:
    """One order server, as it truly is."""

    name: str
    zone: str
    kind: str
    state: str
    running: int
    waiting: int
    done: int


class Up:
    """A platform that is up."""

    def __init__(self, world: Platform, clients: Connection | None) -> None:
        self.world, self._clients = world, clients

    @property
    def sidecars(self) -> list[SidecarProcess]:
        return self.world.sidecars

    def servers(self) -> list[ServerRow]:
        self.world.pipe.send(("look",))
        return [ServerRow(*row) for row in self.world.receive(self.world.pipe, "the stand-ins")]

    def figures(self, sidecar: SidecarProcess) -> dict[str, int]:
        """What its operators' door tells; nothing where it does not answer."""
        try:
            with socket.create_connection(sidecar.control, 0.5) as connection:
                connection.sendall(b"telemetry\n")
                text = b""
                while piece := connection.recv(1 << 16):
                    text += piece
        except OSError:
            return {}
        pairs = (line.partition("=") for line in text.decode().splitlines() if "=" in line)
        return {name.removeprefix("app."): int(value) for name, _, value in pairs}


@contextmanager
def up(given: Scenario, seed: int, load: bool) -> Iterator[Up]:
    """Bring it up, with the scenario's faults and, where wanted, its load; end it in good order."""
    if load:
        given = msgspec.structs.replace(given, seconds=_FOR_GOOD_S)
    with platform(given, seed, keeps=False) as world:
        clients = None
        t0_ns = time.monotonic_ns() + 300_000_000
        if load:
            listens = [each.listen for each in world.sidecars]
            clients = world.spawn(generator.main, given, seed, world.capacity, listens, False)
            world.receive(clients, "the generator")
            t0_ns = time.monotonic_ns() + 300_000_000
            clients.send(("start", t0_ns))
        world.pipe.send(("start", t0_ns))
        try:
            yield Up(world, clients)
        finally:
            for pipe in (clients, world.pipe):
                if pipe is not None:
                    try:
                        pipe.send(("stop",))
                    except OSError:
                        pass
