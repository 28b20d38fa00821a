"""Runs the whole platform for an unlimited time, and reads its state meanwhile."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec

from tulipnotch.lab.real import generator
from tulipnotch.lab.real.play import Platform, SidecarProcess, running_platform
from tulipnotch.lab.scenario import Scenario
from tulipnotch.sidecar.control.client import parse_metrics, send_command

_UNLIMITED_S = 36_000.0  # the maximum length of a scenario


@dataclass(frozen=True, slots=True)
class ServerRow:
    """The state of one order server, as the server itself knows it.

    The names of the fields are keys of the command line's output.
    """

    name: str
    zone: str
    kind: str
    state: str
    running: int
    waiting: int
    done: int


class PlatformView:
    """Reads the state of a running platform."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform

    @property
    def sidecars(self) -> list[SidecarProcess]:
        return self.platform.sidecars

    def servers(self) -> list[ServerRow]:
        self.platform.backend_pipe.send(("look",))
        return [
            ServerRow(*row) for row in self.platform.receive(self.platform.backend_pipe, "the test servers")
        ]

    def sidecar_metrics(self, sidecar: SidecarProcess) -> dict[str, int]:
        """Returns the metrics of its control endpoint; none if it does not respond."""
        try:
            lines = send_command(sidecar.control, "telemetry", 0.5)
        except OSError:
            return {}
        return {name.removeprefix("app."): value for name, value in parse_metrics(lines).items()}


@contextmanager
def run_platform(scenario: Scenario, seed: int, has_load: bool) -> Iterator[PlatformView]:
    """Starts the platform with the scenario's faults, and its load if wanted; stops it at the end."""
    if has_load:
        scenario = msgspec.structs.replace(scenario, seconds=_UNLIMITED_S)
    with running_platform(scenario, seed, keeps_records=False) as platform:
        load_generator = None
        if has_load:
            sidecar_addresses = [each.listen for each in platform.sidecars]
            load_generator = platform.spawn(
                generator.main, scenario, seed, platform.capacity, sidecar_addresses, False
            )
            platform.receive(load_generator, "the load generator")
        platform.start(load_generator)
        try:
            yield PlatformView(platform)
        finally:
            for pipe in (load_generator, platform.backend_pipe):
                if pipe is not None:
                    try:
                        pipe.send(("stop",))
                    except OSError:
                        pass
