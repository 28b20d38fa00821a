"""Results of days drawn from the users' site: how many collapse, and how fast the others recover.

    python -m benchmarks.drawn LBSIM SITE --kinds big,overload --seeds 1-30 --in TREE [--also NAME ...]

LBSIM is the users' simulator, SITE their site file, and TREE the built checkout whose decision module is
measured; give `--in` twice to compare two.  Each day is run with the module and with each published policy
named by `--also`; the best result of any of them on a day is the best known.  A day has collapsed if less
than 0.9 of the best known priority weight is served.  It has recovered with the first window of 5 s that
starts no earlier than the end of the last fault and serves at least 0.95 of the best known for that window;
the resolution is that of the windows.
"""

from __future__ import annotations

import json
import math
import subprocess
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import mean
from typing import Any

import click

from benchmarks.parameters import SeedRange
from tulipnotch.lab.recorder import value_at_rank

_COLLAPSED_BELOW = 0.9  # as a fraction of the best known result
_RECOVERED_FROM = 0.95  # as a fraction of the best known result


class SimulationError(Exception):
    """The users' simulator printed no report.

    Attributes:
        kind: The kind of the day.
        seed: Its seed.
        last_line: The last line that the simulator printed.
    """

    def __init__(self, kind: str, seed: int, last_line: str) -> None:
        super().__init__(f"{kind} {seed}: {last_line}")
        self.kind, self.seed, self.last_line = kind, seed, last_line


@dataclass(frozen=True, slots=True)
class Candidate:
    """What is measured: the decision module of a checkout, or the published policy `policy` run in it."""

    name: str
    tree: Path
    policy: str | None = None


@dataclass(frozen=True, slots=True)
class Day:
    """The result of one candidate on one day."""

    served: float  # served fraction of the offered priority weight
    score: float  # G from the simulator's report, as it is: no prices are subtracted
    violations: int
    windows: Mapping[float, float]  # served fraction of the priority weight, by window start in seconds
    faults_end_at_s: float | None


@dataclass(frozen=True, slots=True)
class Simulator:
    """The users' simulator and the site that it simulates."""

    command: Path
    site: Path

    def run_day(self, candidate: Candidate, kind: str, seed: int) -> Day:
        """Runs one drawn day in the candidate's tree; raises SimulationError if there is no report."""
        reason = f"Drawn day {kind} {seed} for the distribution"
        command = [str(self.command), "run", str(self.site), "--seed", str(seed), "--kind", kind]
        command += ["--json", "--no-build"]
        command += ["--native", candidate.policy] if candidate.policy else []
        command += ["--why", reason]
        completed = subprocess.run(command, cwd=candidate.tree, capture_output=True, text=True, check=False)
        reports = [line for line in completed.stdout.splitlines() if line.startswith("{")]
        if not reports:
            lines = (completed.stderr or completed.stdout).strip().splitlines()
            raise SimulationError(kind, seed, lines[-1] if lines else "")
        return _parse_day(json.loads(reports[0]))


def _parse_day(report: Mapping[str, Any]) -> Day:
    fault_ends = [float(event["at_s"]) for event in report["happenings"] if " ends" in event["text"]]
    return Day(
        served=report["worth_served"] / report["worth_offered"],
        score=report["g"],
        violations=len(report["breaks"]),
        windows={window["from_s"]: _served_fraction(window) for window in report["windows"]},
        faults_end_at_s=max(fault_ends) if fault_ends else None,
    )


def _served_fraction(window: Mapping[str, float]) -> float:
    return window["worth_served"] / window["worth_offered"] if window["worth_offered"] else 1.0


def best_windows(days: Iterable[Day]) -> dict[float, float]:
    """Returns the maximum that any of these days of one seed served in each window."""
    best: dict[float, float] = {}
    for day in days:
        for start_s, served in day.windows.items():
            best[start_s] = max(best.get(start_s, 0.0), served)
    return best


def recovery_time_s(day: Day, best: Mapping[float, float]) -> float | None:
    """Returns the seconds from the last fault's end to recovery; infinite if never, None without an end."""
    if day.faults_end_at_s is None:
        return None
    later = [(start_s, served) for start_s, served in day.windows.items() if start_s >= day.faults_end_at_s]
    for start_s, served in later:
        if served >= _RECOVERED_FROM * best[start_s]:
            return start_s - day.faults_end_at_s
    return math.inf if later else None


def quantile(values: Iterable[float], fraction: float) -> float:
    """Returns the quantile at this fraction of the values; NaN without values."""
    ordered = sorted(values)
    return value_at_rank(ordered, fraction) if ordered else math.nan


DaysBySeed = Mapping[int, Day]


@dataclass(frozen=True, slots=True)
class BestKnown:
    """The best result of any candidate, by seed: over the day, and in each of its windows."""

    served: Mapping[int, float]
    windows: Mapping[int, Mapping[float, float]]

    @classmethod
    def from_days(cls, days_by_candidate: Sequence[DaysBySeed]) -> BestKnown:
        """Compares the days of all candidates, which ran the same seeds."""
        days_by_seed = {seed: [days[seed] for days in days_by_candidate] for seed in days_by_candidate[0]}
        return cls(
            {seed: max(day.served for day in days) for seed, days in days_by_seed.items()},
            {seed: best_windows(days) for seed, days in days_by_seed.items()},
        )


def _print_table(kind: str, days_by_candidate: Mapping[str, DaysBySeed]) -> None:
    best = BestKnown.from_days(list(days_by_candidate.values()))
    click.echo(
        f"\n{kind}, {len(best.served)} days; the best known result serves {mean(best.served.values()):.3f}"
    )
    click.echo(f"{'policy':22} served      G  tenth  collapsed recov. p50   p95 violated")
    for name, days in days_by_candidate.items():
        click.echo(_table_row(name, days, best))


def _table_row(name: str, days: DaysBySeed, best: BestKnown) -> str:
    fractions = {seed: day.served / best.served[seed] for seed, day in days.items()}
    collapsed = [seed for seed, fraction in fractions.items() if fraction < _COLLAPSED_BELOW]
    recovery_times_s = [
        time_s
        for seed, day in days.items()
        if (time_s := recovery_time_s(day, best.windows[seed])) is not None
    ]
    row = (
        f"{name:22} {mean(day.served for day in days.values()):6.3f}"
        f" {mean(day.score for day in days.values()):6.3f}"
        f" {quantile(fractions.values(), 0.1):6.3f}"
        f" {len(collapsed):6}/{len(fractions)}"
        f" {quantile(recovery_times_s, 0.5):9.1f} {quantile(recovery_times_s, 0.95):6.1f}"
        f" {sum(day.violations > 0 for day in days.values()):7}"
    )
    return f"{row}  ({' '.join(map(str, collapsed))})" if collapsed else row


def _run_all(
    simulator: Simulator, candidates: Sequence[Candidate], kind: str, seeds: range, pool: ThreadPoolExecutor
) -> dict[str, dict[int, Day]]:
    """Runs the days of one kind with all candidates, and shows the progress on stderr."""
    pending = {
        (candidate.name, seed): pool.submit(simulator.run_day, candidate, kind, seed)
        for candidate in candidates
        for seed in seeds
    }
    days: dict[str, dict[int, Day]] = {candidate.name: {} for candidate in candidates}
    for (name, seed), future in pending.items():
        days[name][seed] = future.result()
        click.echo(f"\r{kind}: {name} {seed}   ", nl=False, err=True)
    click.echo("\r", nl=False, err=True)
    return days


@click.command(
    help=(__doc__ or "").partition("\n")[0], context_settings={"help_option_names": ["-h", "--help"]}
)
@click.argument("lbsim", type=click.Path(path_type=Path, resolve_path=True))
@click.argument("site", type=click.Path(path_type=Path, resolve_path=True))
@click.option("--kinds", default="big,overload,big:crash,trouble", show_default=True, help="Kinds of days.")
@click.option("--seeds", type=SeedRange(), default="1-30", show_default=True, help="Seeds of each kind.")
@click.option(
    "--in",
    "trees",
    type=click.Path(path_type=Path),
    multiple=True,
    help="A checkout; once for each to compare.",
)
@click.option("--also", "policies", multiple=True, help="A published policy to run as well.")
@click.option("--jobs", type=int, default=6, show_default=True, help="The number of days run at a time.")
def main(
    *,
    lbsim: Path,
    site: Path,
    kinds: str,
    seeds: range,
    trees: Sequence[Path],
    policies: Sequence[str],
    jobs: int,
) -> None:
    """Run the days of each kind, and print a table for each."""
    simulator = Simulator(lbsim, site)
    trees = trees or (Path.cwd(),)
    candidates = [Candidate(tree.name, tree) for tree in trees]
    candidates += [Candidate(policy, trees[0], policy) for policy in policies]
    with ThreadPoolExecutor(jobs) as pool:
        for kind in kinds.split(","):
            _print_table(kind, _run_all(simulator, candidates, kind, seeds, pool))


if __name__ == "__main__":
    main(prog_name="python -m benchmarks.drawn")
