"""Measures the overhead of the sidecar against that of a bare byte forwarder on the same event loop.

Both stand in front of the same test server and receive the same arrivals; they run in turns.  Measured for
each request are the CPU time of the process in between (user and system) and the latency at the clients.
"""

from __future__ import annotations

import os
import statistics
import sys
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from tulipnotch.lab.real import generator
from tulipnotch.lab.real.play import SIDECAR_COMMAND, Platform, PlatformError, running_platform
from tulipnotch.lab.recorder import new_latency_histogram
from tulipnotch.lab.scenario import Clients, Fleet, Load, MachineType, Scenario, ServiceClass

FORWARDER_COMMAND = (sys.executable, "-m", "tulipnotch.lab.real.forwarder")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def light_scenario(rate_per_s: float, seconds: float) -> Scenario:
    """Returns a scenario with one fast server and one sidecar, whose overhead is then most of the latency."""
    return Scenario(
        name="overhead",
        seconds=seconds,
        fleet=Fleet(
            servers=1, sidecars=1, kinds=(MachineType(name="quick", cores=64),), queue_per_core=1_000
        ),
        load=Load(rate=rate_per_s, skew=0.0),
        classes=(ServiceClass(name="look", work_ms=1.0, dist="constant", aim_ms=500.0, deadline_ms=2_000.0),),
        clients=Clients(retries=0, try_share=1.0),
    )


@dataclass(frozen=True, slots=True)
class Cost:
    """The cost of one run.

    The names of the fields are keys of the command line's output.

    Attributes:
        cpu_us: CPU time for each request.
        p50_ms: Median latency.
        p99_ms: 99th percentile of the latency.
        requests: The number of requests that were served.
    """

    cpu_us: float
    p50_ms: float
    p99_ms: float
    requests: int


def measure_cost(scenario: Scenario, seed: int, command: Sequence[str]) -> Cost:
    """Runs the scenario once with this command in place of the sidecar.

    Raises:
        PlatformError: The platform failed, or less than 99% of the requests were served.
    """
    with running_platform(scenario, seed, command) as platform:
        load_generator = platform.spawn(
            generator.main, scenario, seed, platform.capacity, [platform.sidecars[0].listen], True
        )
        platform.receive(load_generator, "the load generator")
        cpu_s_before = _cpu_s(platform)
        platform.start(load_generator)
        load_results = platform.receive(load_generator, "the load generator", scenario.seconds + 60.0)[1]
        cpu_s = _cpu_s(platform) - cpu_s_before
    latency = new_latency_histogram()
    served = [each for each in load_results["ended"] if each.outcome.value == "served"]
    for each in served:
        latency.record_value(max(each.ended_at - each.client_request.intended_at, 1))
    if len(served) < 0.99 * len(load_results["ended"]):
        raise PlatformError(
            f"{command[-1]} served only {len(served)} of {len(load_results['ended'])} requests"
        )
    p50, p99 = (latency.get_value_at_percentile(percentile) / 1e3 for percentile in (50.0, 99.0))
    return Cost(cpu_s * 1e6 / len(served), p50, p99, len(served))


def _cpu_s(platform: Platform) -> float:
    """Returns the CPU time that the sidecar's process has used."""
    process = platform.sidecars[0].process
    assert process is not None
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


@dataclass(frozen=True, slots=True)
class Overhead:
    """The costs of the sidecar and of the forwarder: medians over the turns, and the sum of the requests."""

    sidecar: Cost
    forwarder: Cost
    turns: int

    @property
    def cpu_ratio(self) -> float:
        return self.sidecar.cpu_us / self.forwarder.cpu_us


def measure_overhead(rate_per_s: float, seconds: float, turns: int) -> Overhead:
    """Measures the sidecar and the forwarder once in each turn, in alternating order."""
    scenario = light_scenario(rate_per_s, seconds)
    costs: dict[Sequence[str], list[Cost]] = {SIDECAR_COMMAND: [], FORWARDER_COMMAND: []}
    for turn in range(turns):
        for command in costs if turn % 2 == 0 else reversed(costs):
            costs[command].append(
                measure_cost(msgspec.structs.replace(scenario, seed=turn), turn + 1, command)
            )
    return Overhead(_median_cost(costs[SIDECAR_COMMAND]), _median_cost(costs[FORWARDER_COMMAND]), turns)


def _median_cost(costs: list[Cost]) -> Cost:
    return Cost(
        statistics.median(each.cpu_us for each in costs),
        statistics.median(each.p50_ms for each in costs),
        statistics.median(each.p99_ms for each in costs),
        sum(each.requests for each in costs),
    )
