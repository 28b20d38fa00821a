"""The whole platform up, for as long as somebody wants it, and what can be read of it meanwhile."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec

from tulipnotch.lab.real import generator
from tulipnotch.lab.real.play import Platform, SidecarProcess, platform
from tulipnotch.lab.scenario import Scenario
from tulipnotch.sidecar.control.client import parse_metrics, send_command

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

    def __init__(self, world: Platform) -> None:
        self.world = world

    @property
    def sidecars(self) -> list[SidecarProcess]:
        return self.world.sidecars

    def servers(self) -> list[ServerRow]:
        self.world.pipe.send(("look",))
        return [ServerRow(*row) for row in self.world.receive(self.world.pipe, "the stand-ins")]

    def figures(self, sidecar: SidecarProcess) -> dict[str, int]:
        """What its operators' door tells; nothing where it does not answer."""
        try:
            lines = send_command(sidecar.control, "telemetry", 0.5)
        except OSError:
            return {}
        return {name.removeprefix("app."): value for name, value in parse_metrics(lines).items()}


@contextmanager
def up(given: Scenario, seed: int, load: bool) -> Iterator[Up]:
    """Bring it up, with the scenario's faults and, where wanted, its load; end it in good order."""
    if load:
        given = msgspec.structs.replace(given, seconds=_FOR_GOOD_S)
    with platform(given, seed, keeps=False) as world:
        clients = None
        if load:
            listens = [each.listen for each in world.sidecars]
            clients = world.spawn(generator.main, given, seed, world.capacity, listens, False)
            world.receive(clients, "the generator")
        world.start(clients)
        try:
            yield Up(world)
        finally:
            for pipe in (clients, world.pipe):
                if pipe is not None:
                    try:
                        pipe.send(("stop",))
                    except OSError:
                        pass
