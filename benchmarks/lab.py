"""The simulator's performance, and the tables of docs/lab.md.

    python -m benchmarks.lab speed               simulated requests a second, and 8 seeds on 1 to 8 processes
    python -m benchmarks.lab policies            scenarios x policies x 10 seeds, as a table
    python -m benchmarks.lab agreement           virtual against real time over 5 seeds
    python -m benchmarks.lab lateness            the load generator at 3,000 requests a second

Times depend on the machine; compare counts and ratios.
"""

from __future__ import annotations

import os
import time

import click
import msgspec

from tulipnotch.lab import play, scenario
from tulipnotch.lab.compare import metric_differences
from tulipnotch.lab.policies import POLICIES
from tulipnotch.lab.real import play as real
from tulipnotch.lab.scenario import Fleet, Load, MachineType, Scenario

_POLICY_SCENARIOS = ("calm", "rush", "crash", "hang", "release-herd", "rolling-drain", "network-cut")
_POLICY_SEEDS = range(1, 11)
_SPEED_SEEDS = range(1, 9)
_SPEED_PROCESSES = (1, 2, 4, 8)
_AGREEMENT_SCENARIOS = ("calm", "fast-errors", "restarts")
_AGREEMENT_SEEDS = range(1, 6)
_AGREEMENT_METRICS = ("worth", "served", "latency.p50_ms", "latency.p99_ms", "attempts_per_request")
_AGREEMENT_S = 14.0  # length of each scenario
_DECISION_MODULE = "module"  # the policy that runs the decision module itself


def _load_shipped(name: str) -> Scenario:
    return scenario.load(scenario.shipped()[name])


def _available_cores() -> int:
    return len(os.sched_getaffinity(0))


@click.group(
    help=(__doc__ or "").partition("\n")[0], context_settings={"help_option_names": ["-h", "--help"]}
)
def main() -> None:
    """Print the measurement of one command."""


@main.command()
def speed() -> None:
    """Print simulated requests a second, and the time of 8 seeds on 1 to 8 processes."""
    rush = _load_shipped("rush")
    started_at = time.process_time()
    run = play.run_seed(rush, _DECISION_MODULE, 1)
    cpu_s = time.process_time() - started_at
    requests = run.metrics["requests"]
    attempts = run.metrics["attempts_per_request"]
    click.echo(
        f"rush, decision module, one core: {requests / cpu_s:.0f} requests a second"
        f" ({attempts:.2f} attempts each)"
    )
    times_s: list[float] = []
    for processes in _SPEED_PROCESSES:
        started_at = time.perf_counter()
        play.run_seeds(rush, _DECISION_MODULE, _SPEED_SEEDS, processes)
        times_s.append(time.perf_counter() - started_at)
        speedup = times_s[0] / times_s[-1]
        click.echo(f"8 seeds, {processes} processes: {times_s[-1]:.1f} s, {speedup:.1f} times as fast")


@main.command()
def policies() -> None:
    """Print a table of scenarios and policies, over 10 seeds."""
    names = list(POLICIES)
    click.echo("| scenario | " + " | ".join(names) + " |\n|" + " --- |" * (len(names) + 1))
    for scenario_name in _POLICY_SCENARIOS:
        shipped = _load_shipped(scenario_name)
        cells = [_policy_cell(shipped, policy) for policy in names]
        click.echo(f"| {scenario_name} | " + " | ".join(cells) + " |")


def _policy_cell(shipped: Scenario, policy: str) -> str:
    """Returns the mean and the minimum of the served weight, and how many runs violated a rule."""
    result = play.run_seeds(shipped, policy, _POLICY_SEEDS, _available_cores())
    violations = sum(1 for run in result.runs if run.metrics["rules.broken"])
    mark = f", {violations} violated" if violations else ""
    return f"{result.mean('worth'):.3f} ({min(result.values('worth')):.2f}{mark})"


@main.command()
def agreement() -> None:
    """Print how virtual and real time agree over 5 seeds."""
    click.echo(
        "| scenario | metric | virtual | real | real - virtual, 95% |\n| --- | --- | --- | --- | --- |"
    )
    for name in _AGREEMENT_SCENARIOS:
        shortened = real.shorten(_load_shipped(name), _AGREEMENT_S)
        in_virtual_time = play.run_seeds(shortened, _DECISION_MODULE, _AGREEMENT_SEEDS, _available_cores())
        in_real_time = real.run_seeds(shortened, _AGREEMENT_SEEDS)
        for difference in metric_differences(in_virtual_time, in_real_time):
            if difference.metric in _AGREEMENT_METRICS:
                click.echo(
                    f"| {name} | {difference.metric} | {difference.a:.4g} | {difference.b:.4g} | "
                    f"{difference.low:+.3g} to {difference.high:+.3g} |"
                )
        virtual_violations = in_virtual_time.mean("rules.broken")
        real_violations = in_real_time.mean("rules.broken")
        click.echo(f"| {name} | rules.broken | {virtual_violations:g} | {real_violations:g} | |")


@main.command()
def lateness() -> None:
    """Print the lateness of the load generator at 3,000 requests a second."""
    busy = msgspec.structs.replace(
        _load_shipped("calm"),
        seconds=10.0,
        faults=(),
        fleet=Fleet(servers=24, sidecars=8, kinds=(MachineType(name="k", cores=16),)),
        load=Load(rate=3_000.0, skew=0.0),
    )
    run = real.run_seed(busy, 1)
    late_ms = run.lateness_ms
    requests = run.metrics["requests"]
    click.echo(
        f"{requests:.0f} requests at 3,000 a second: p50 {late_ms['p50']} ms, p99 {late_ms['p99']} ms late"
    )


if __name__ == "__main__":
    main(prog_name="python -m benchmarks.lab")
