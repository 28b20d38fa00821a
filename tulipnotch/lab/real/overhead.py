"""What the sidecar costs beside the least that anybody could do: a bare byte forwarder on the same event
loop.

Both stand in front of the same stand-in server, one after the other in turns, under the same arrivals.
Measured for each request: CPU of the process between (its user and system time), and the latency that
clients saw.
"""

from __future__ import annotations

import os
import statistics
import sys
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from tulipnotch.lab.real import generator
from tulipnotch.lab.real.play import COMMAND, LabFault, Platform, platform
from tulipnotch.lab.recorder import histogram
from tulipnotch.lab.scenario import Clients, Fleet, Kind, Load, Scenario, ServiceClass

FORWARDER = (sys.executable, "-m", "tulipnotch.lab.real.forwarder")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def light(rate: float, seconds: float) -> Scenario:
    """One quick server and one sidecar: nearly all that is left is what stands between."""
    return Scenario(
        name="overhead",
        seconds=seconds,
        fleet=Fleet(servers=1, sidecars=1, kinds=(Kind(name="quick", cores=64),), queue_per_core=1_000),
        load=Load(rate=rate, skew=0.0),
        classes=(ServiceClass(name="look", work_ms=1.0, dist="constant", aim_ms=500.0, deadline_ms=2_000.0),),
        clients=Clients(retries=0, try_share=1.0),
    )


@dataclass(frozen=True, slots=True)
class Cost:
    """Of one run: CPU a request (us), latency percentiles (ms), requests answered."""

    cpu_us: float
    p50_ms: float
    p99_ms: float
    requests: int


def measure(given: Scenario, seed: int, command: Sequence[str]) -> Cost:
    """Play it once; raise LabFault where it does not serve all."""
    with platform(given, seed, command) as world:
        clients = world.spawn(generator.main, given, seed, world.capacity, [world.sidecars[0].listen], True)
        world.receive(clients, "the generator")
        before = _cpu_s(world)
        world.start(clients)
        left = world.receive(clients, "the generator", given.seconds + 60.0)[1]
        cpu_s = _cpu_s(world) - before
    latency = histogram()
    served = [each for each in left["ended"] if each.how.value == "served"]
    for each in served:
        latency.record_value(max(each.at - each.ask.at, 1))
    if len(served) < 0.99 * len(left["ended"]):
        raise LabFault(f"{command[-1]} served {len(served)} of {len(left['ended'])}")
    p50, p99 = (latency.get_value_at_percentile(part) / 1e3 for part in (50.0, 99.0))
    return Cost(cpu_s * 1e6 / len(served), p50, p99, len(served))


def _cpu_s(world: Platform) -> float:
    process = world.sidecars[0].process
    assert process is not None
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


@dataclass(frozen=True, slots=True)
class Overhead:
    """Medians over the turns, sidecar and forwarder."""

    sidecar: Cost
    forwarder: Cost
    turns: int

    @property
    def cpu_ratio(self) -> float:
        return self.sidecar.cpu_us / self.forwarder.cpu_us


def compare(rate: float, seconds: float, turns: int) -> Overhead:
    given = light(rate, seconds)
    seen: dict[Sequence[str], list[Cost]] = {COMMAND: [], FORWARDER: []}
    for turn in range(turns):
        for command in seen if turn % 2 == 0 else reversed(seen):
            seen[command].append(measure(msgspec.structs.replace(given, seed=turn), turn + 1, command))
    return Overhead(_median(seen[COMMAND]), _median(seen[FORWARDER]), turns)


def _median(costs: list[Cost]) -> Cost:
    return Cost(
        statistics.median(each.cpu_us for each in costs),
        statistics.median(each.p50_ms for each in costs),
        statistics.median(each.p99_ms for each in costs),
        sum(each.requests for each in costs),
    )
