"""Whether the SUM of all processes stays within the budget of servers that are warming up, in virtual time.

    python -m benchmarks.cold [--processes 5,20,30,200] [--budgets 1,3,12,50] [--seeds 1-10] [--json]

`--cases "A;B"` runs only some of the cases.  N is what the settings allow a server that is warming up within
the overload window: the multiple, times its warm-up factor now, times its capacity, in requests of mean work.
An excess of up to 2 x root N + 2 beyond N is tolerated as random.  A start of a server counts as overloaded
when any window holds more, two thirds of it from processes that had been notified of the start.  The server
then crashes and stays down, which lowers the served fraction of the priority weight.  The output has one row
for each case, number of processes and N at a server's start: the largest excess over N in roots of N, the
largest fraction of N + 2 x root N + 2 that was used, the overloaded starts, and the served fraction of the
priority weight.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import click
import msgspec

from benchmarks.parameters import IntegerList, SeedRange
from tulipnotch.lab.policies import POLICIES
from tulipnotch.lab.scenario import Scenario
from tulipnotch.lab.server import OrderServer
from tulipnotch.lab.virtual import Simulation

_START_S = 5.0  # when the servers start
_PUBLISHED_S = 5.3  # when the endpoint list first contains the starts
_INITIAL_WARM_UP_FACTOR = 0.15
_OVERLOAD_MULTIPLE = 2.5
_OVERLOAD_WINDOW_S = 1.0
_DEFAULT_CORES = 4
_CORES_BY_BUDGET = {1: 1, 3: 2, 12: 4, 50: 8}  # cores and budget determine the work of a request
_US_PER_S = 1e6
_MS_PER_S = 1e3

# Load factors from a time in seconds: a quiet stretch before the start, then a burst.
_BURST = ((0.0, 1.0), (_START_S - 1.0, 0.1), (_START_S + 2.0, 2.0))
_LATE_BURST = ((0.0, 1.0), (_START_S - 1.0, 0.05), (_START_S + 5.0, 2.5))


@dataclass(frozen=True, slots=True)
class Case:
    """The difference of a case from the default: three of eight servers start at a utilisation of 0.7.

    `fleet` and `load` hold keys of the scenario's tables of these names.
    """

    fleet: Mapping[str, Any] = field(default_factory=dict)
    load: Mapping[str, Any] = field(default_factory=dict)
    work_variation: float = 0.5  # standard deviation of a request's work, as a fraction of its mean
    has_two_classes: bool = False  # whether light and heavy requests have classes of their own
    starting_fraction: float = 0.375  # fraction of the fleet that starts
    restarts_sidecars: bool = False
    # The time over which the processes receive the endpoint list; None if all receive it at once.
    endpoint_list_spread_s: float | None = None


CASES: Mapping[str, Case] = {
    "plain": Case(),
    "heavy": Case(load={"hints": True}, work_variation=2.0),
    "classes": Case(has_two_classes=True),
    "uneven": Case(load={"skew": 2.0}),
    "late lists": Case(endpoint_list_spread_s=4.0),
    "choke": Case(
        load={"utilisation": 1.0},
        fleet={"choke": {"at": 1.0, "over_s": 0.3, "slower": 3.0}},
    ),
    "herd": Case(starting_fraction=0.9, load={"utilisation": 0.9}),
    "wide herd": Case(starting_fraction=0.9, fleet={"servers": 40}, load={"utilisation": 0.9}),
    "all cold": Case(starting_fraction=1.0),
    "restart": Case(restarts_sidecars=True),
    "burst": Case(load={"factors": _BURST}),
    "all cold, burst": Case(starting_fraction=1.0, load={"factors": _BURST}),
    "all cold, late burst": Case(starting_fraction=1.0, load={"factors": _LATE_BURST}),
    "all cold, heavy": Case(starting_fraction=1.0, load={"hints": True}, work_variation=2.0),
    "all cold, uneven": Case(starting_fraction=1.0, load={"skew": 2.0}),
    "all cold, restart": Case(starting_fraction=1.0, restarts_sidecars=True),
    "all cold, wide": Case(starting_fraction=1.0, fleet={"servers": 40}),
}


@dataclass(frozen=True, slots=True)
class CaseMeasurement:
    """One case, number of processes and N, over all seeds."""

    case: str
    processes: int
    budget: int  # N when a server has just started
    seeds: int
    starts: int
    max_excess: float  # maximum excess beyond N, in roots of N
    max_usage: float  # maximum of any overload window, as a fraction of N + 2 x root N + 2
    overloaded_starts: int
    served_weight: float  # served fraction of the priority weight, mean over the seeds

    def to_json(self) -> dict[str, str | int | float]:
        """Returns the measurement under the keys of the JSON output."""
        return {
            "case": self.case,
            "processes": self.processes,
            "budget": self.budget,
            "seeds": self.seeds,
            "starts": self.starts,
            "excess": self.max_excess,
            "of_allowed": self.max_usage,
            "fallen": self.overloaded_starts,
            "worth": self.served_weight,
        }


def build_scenario(case_name: str, processes: int, budget: int, seconds: float = 12.0) -> Scenario:
    """Returns the scenario of a case whose servers bear `budget` requests in a window when they start."""
    case = CASES[case_name]
    cores = _CORES_BY_BUDGET.get(budget, _DEFAULT_CORES)
    tables = {
        "name": "cold",
        "seconds": seconds,
        "warmup_s": 0.5,
        "classes": _request_classes(case, cores, budget),
        "faults": _faults(case),
        "fleet": {
            "servers": 8,
            "sidecars": processes,
            "kinds": [{"name": "k", "cores": cores}],
            "cold_from": _INITIAL_WARM_UP_FACTOR,
            "cold_spread": 0.0,
            "fall_multiple": _OVERLOAD_MULTIPLE,
            "fall_s": _OVERLOAD_WINDOW_S,
            **case.fleet,
        },
        "load": {"utilisation": 0.7, **case.load},
        "discovery": {
            "crash_notice_s": 0.1,
            "add_notice_s": _PUBLISHED_S - _START_S,
            "calls_per_s": 1e5
            if case.endpoint_list_spread_s is None
            else 3 * processes / case.endpoint_list_spread_s,
            "timeout_s": 20.0,
        },
    }
    return msgspec.convert(tables, Scenario)


def _request_classes(case: Case, cores: int, budget: int) -> list[dict[str, Any]]:
    work_ms = _OVERLOAD_MULTIPLE * _INITIAL_WARM_UP_FACTOR * _OVERLOAD_WINDOW_S * cores / budget * _MS_PER_S
    request_class = {
        "name": "look",
        "work_ms": work_ms,
        "work_cv": case.work_variation,
        "aim_ms": 4.0 * work_ms + 200.0,
        "deadline_ms": 10.0 * work_ms + 500.0,
    }
    if not case.has_two_classes:
        return [request_class]
    return [  # together they have the mean work of the single class
        {**request_class, "share": 0.85, "work_ms": 0.4 * work_ms},
        {**request_class, "name": "heavy", "share": 0.15, "work_ms": 4.4 * work_ms},
    ]


def _faults(case: Case) -> list[dict[str, Any]]:
    crash = {"kind": "crash", "at_s": 2.0, "for_s": _START_S - 2.0, "part": case.starting_fraction}
    if not case.restarts_sidecars:
        return [crash]
    return [crash, {"kind": "restart", "at_s": _START_S, "for_s": 0.01, "part": 1.0}]


class WarmUpObserver:
    """One simulated run, and how the work sent to its warming-up servers compares with N + 2 x root N + 2.

    Attributes:
        simulation: the simulated run.
        starts: server name and time (us) of each start after which the server was sent work.
        overloaded_starts: those of the starts that were overloaded.
        max_excess: the largest excess over N, in roots of N.
        max_usage: the largest fraction of N + 2 x root N + 2 that was used.
    """

    def __init__(self, scenario: Scenario, seed: int, policy: str = "module") -> None:
        self.simulation = Simulation(scenario, seed, POLICIES[policy])
        self._mean_work_us = scenario.mean_work_s * _US_PER_S
        self.max_excess = -math.inf
        self.max_usage = 0.0
        self.starts: set[tuple[str, int]] = set()
        self.overloaded_starts: set[tuple[str, int]] = set()
        for server in self.simulation.servers:
            server.warm_up_overload_check = self._is_overloaded

    def _is_overloaded(self, server: OrderServer, sent_us: float, bearable_us: float) -> bool:
        """Records and judges the work sent within the window, in microseconds on a standard core."""
        start = (server.name, server.started_at or 0)
        self.starts.add(start)
        if not self.simulation.history.was_notified(*start, server.warm_up_work_by_sidecar()):
            return False
        budget, sent = bearable_us / self._mean_work_us, sent_us / self._mean_work_us
        allowed = budget + 2.0 * math.sqrt(budget) + 2.0
        self.max_excess = max(self.max_excess, (sent - budget) / math.sqrt(budget))
        self.max_usage = max(self.max_usage, sent / allowed)
        if sent <= allowed:
            return False
        self.overloaded_starts.add(start)
        return True

    def served_weight(self) -> float:
        """Returns the fraction of the priority weight that was served in the run."""
        return self.simulation.recorder.metrics(self.simulation.history)["worth"]


def measure(case: str, processes: int, budget: int, seeds: Sequence[int]) -> CaseMeasurement:
    """Simulates one case with each seed."""
    scenario = build_scenario(case, processes, budget)
    observers = [WarmUpObserver(scenario, seed) for seed in seeds]
    for observer in observers:
        observer.simulation.run()
    return CaseMeasurement(
        case,
        processes,
        budget,
        seeds=len(seeds),
        starts=sum(len(observer.starts) for observer in observers),
        max_excess=round(max(observer.max_excess for observer in observers), 2),
        max_usage=round(max(observer.max_usage for observer in observers), 2),
        overloaded_starts=sum(len(observer.overloaded_starts) for observer in observers),
        served_weight=round(sum(observer.served_weight() for observer in observers) / len(observers), 4),
    )


def _table_lines(measurements: Iterable[CaseMeasurement]) -> Iterator[str]:
    yield "| case | processes | N | starts | excess, roots of N | of the allowed | overloaded | worth |"
    yield "|" + " --- |" * 8
    for measurement in measurements:
        yield (
            f"| {measurement.case} | {measurement.processes} | {measurement.budget} | {measurement.starts}"
            f" | {measurement.max_excess:.2f} | {measurement.max_usage:.2f}"
            f" | {measurement.overloaded_starts} | {measurement.served_weight:.4f} |"
        )


def _json_lines(measurements: Iterable[CaseMeasurement]) -> Iterator[str]:
    return (json.dumps(measurement.to_json()) for measurement in measurements)


@click.command(
    help=(__doc__ or "").partition("\n")[0], context_settings={"help_option_names": ["-h", "--help"]}
)
@click.option(
    "--processes", type=IntegerList(), default=(5, 20, 30, 200), help="Processes of the sidecar in a fleet."
)
@click.option("--budgets", type=IntegerList(), default=(1, 3, 12, 50), help="N when a server starts.")
@click.option("--seeds", type=SeedRange(), default="1-10", show_default=True, help="Seeds of each case.")
@click.option("--cases", default=";".join(CASES), help="Names of cases, separated by semicolons.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line for each cell instead of a table.")
def main(
    *, processes: Sequence[int], budgets: Sequence[int], seeds: Sequence[int], cases: str, as_json: bool
) -> None:
    """Measure each cell, and print it as soon as it is known."""
    measurements = (
        measure(case, process_count, budget, seeds)
        for case in cases.split(";")
        for budget in budgets
        for process_count in processes
    )
    for line in _json_lines(measurements) if as_json else _table_lines(measurements):
        click.echo(line)


if __name__ == "__main__":
    main(prog_name="python -m benchmarks.cold")
