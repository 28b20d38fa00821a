"""`tulipnotch lab list`, `run` and `compare`."""

from __future__ import annotations

import json
import os
import sys
import time
from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn, TimeRemainingColumn
from rich.table import Table

from tulipnotch.cli.root import format_examples
from tulipnotch.lab import play, report, results, scenario
from tulipnotch.lab.compare import metric_differences
from tulipnotch.lab.policies import POLICIES
from tulipnotch.settings.check import InvalidFileError

_MAIN_METRICS = (
    "rules.broken", "worth", "worst_10s", "served", "in_time", "refused", "failed", "latency.p50_ms",
    "latency.p99_ms", "attempts_per_request", "choked_s",
)  # fmt: skip


def exit_with_faults(error: InvalidFileError) -> None:
    """Prints all faults of a file, one a line, and exits with 2."""
    for each in error.faults:
        click.echo(f"{error.path}: {each}", err=True)
    sys.exit(2)


def load_scenario(name: str) -> scenario.Scenario:
    """Loads a scenario by name or path; if it is invalid, prints all of its faults and exits with 2."""
    try:
        return scenario.load(scenario.find(name))
    except InvalidFileError as error:
        exit_with_faults(error)
        raise


@click.command("list", epilog=format_examples("tulipnotch lab list", "tulipnotch lab list --json"))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object for each scenario.")
def list_scenarios(as_json: bool) -> None:
    """List the scenarios of the laboratory and the policies."""
    for name, path in scenario.shipped().items():
        loaded = load_scenario(str(path))
        if as_json:
            click.echo(json.dumps({"name": name, "about": loaded.about, "seconds": loaded.seconds}))
        else:
            click.echo(f"{name:18}{loaded.about}")
    if not as_json:
        click.echo(f"\npolicies: {', '.join(POLICIES)}")


@click.command(
    epilog=format_examples(
        "tulipnotch lab run calm",
        "tulipnotch lab run crash --seeds 8 --policy least-of-2 --out found/crash",
        "tulipnotch lab run my.toml --time real --seed 7",
    )
)
@click.argument("name", metavar="SCENARIO")
@click.option(
    "--time", "time_mode", type=click.Choice(("virtual", "real")), default="virtual", show_default=True
)
@click.option("--seed", type=click.IntRange(min=0), help="The first seed; by default that of the scenario.")
@click.option(
    "--seeds", type=click.IntRange(1, 1_000), default=1, show_default=True, help="The number of seeds."
)
@click.option("--policy", type=click.Choice(list(POLICIES)), default="module", show_default=True)
@click.option(
    "--processes",
    type=click.IntRange(1, 256),
    help="The number of parallel processes; by default one for each core.",
)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    help="The folder for result.json and report.html.",
)
@click.option("--json", "as_json", is_flag=True, help="Print metrics and expectations as one JSON object.")
@click.option("--quiet", is_flag=True, help="Show no progress bar.")
def run(
    name: str,
    time_mode: str,
    seed: int | None,
    seeds: int,
    policy: str,
    processes: int | None,
    out: Path | None,
    as_json: bool,
    quiet: bool,
) -> None:
    """Run SCENARIO (a name of `lab list`, or a file) and check its expectations.

    Writes result.json and a self-contained report.html.  Exits with 0 if all expectations hold for every
    seed, with 1 if one does not or if a run is invalid, with 2 if the file is invalid.
    """
    loaded = load_scenario(name)
    first_seed = loaded.seed if seed is None else seed
    seeds_to_run = list(range(first_seed, first_seed + seeds))
    if time_mode == "real" and policy != "module":
        raise click.UsageError(
            "--policy requires --time virtual: real sidecars always run the decision module"
        )
    folder = out or Path("found") / f"{loaded.name}-{policy}-{time_mode}"
    progress_bar = Progress(
        TextColumn("{task.description}"), BarColumn(), TextColumn("{task.percentage:>3.0f} %"),
        TimeElapsedColumn(), TimeRemainingColumn(), console=Console(stderr=True),
        disable=quiet or not sys.stderr.isatty(), transient=True,
    )  # fmt: skip
    started_at = time.perf_counter()
    with progress_bar:
        task = progress_bar.add_task(
            f"{loaded.name}, {len(seeds_to_run)} seed{'s' * (len(seeds_to_run) > 1)}", total=1.0
        )

        def on_progress(done: float) -> None:
            progress_bar.update(task, completed=done)

        if time_mode == "virtual":
            process_count = processes or len(os.sched_getaffinity(0))
            result = play.run_seeds(loaded, policy, seeds_to_run, process_count, on_progress)
        else:
            result = run_in_real_time(loaded, seeds_to_run, on_progress)
    elapsed_s = time.perf_counter() - started_at
    folder.mkdir(parents=True, exist_ok=True)
    results.write(result, folder / "result.json")
    report.write(result, folder / "report.html")
    if as_json:
        summary = {
            "scenario": loaded.name, "holds": result.holds, "invalid": result.invalid,
            "verdicts": msgspec.to_builtins(result.expectations), "report": str(folder / "report.html"),
            "metrics": {metric: result.mean(metric) for metric in sorted(result.runs[0].metrics)},
        }  # fmt: skip
        click.echo(json.dumps(summary))
    else:
        _print_result(result, folder, elapsed_s)
    sys.exit(0 if result.holds else 1)


def run_in_real_time(
    loaded: scenario.Scenario, seeds: list[int], on_progress: play.OnProgress | None
) -> results.Result:
    """Runs against real processes; if the platform fails, prints the reason and exits with 1."""
    from tulipnotch.lab.real import play as real  # imported only where sockets and processes are used

    try:
        return real.run_seeds(loaded, seeds, on_progress)
    except real.PlatformError as error:
        click.echo(f"the platform failed: {error}", err=True)
        sys.exit(1)


def _print_result(result: results.Result, folder: Path, elapsed_s: float) -> None:
    for metric in _MAIN_METRICS:
        low, high = min(result.values(metric)), max(result.values(metric))
        spread = f"   ({low:g} to {high:g})" if low != high else ""
        click.echo(f"{metric:24}{result.mean(metric):10.4g}{spread}")
    requests = sum(result.values("requests"))
    click.echo(f"{requests:.0f} requests in {elapsed_s:.1f} s")
    for each in result.expectations:
        click.echo(f"{'holds' if each.holds else 'DOES NOT HOLD':15}{each.text}   (worst {each.worst:g})")
    for run in result.runs:
        for rule, texts in run.violations.items():
            click.echo(f"seed {run.seed}, rule {rule}: {texts[0]}")
    if result.invalid:
        click.echo(f"INVALID: {result.invalid}")
    click.echo(f"report: {folder / 'report.html'}")


@click.command(
    epilog=format_examples(
        "tulipnotch lab compare found/calm-module-virtual found/calm-random-virtual",
        "tulipnotch lab compare A B --all --json",
    )
)
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@click.option("--all", "everything", is_flag=True, help="Compare all metrics, not only the main ones.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object for each metric.")
def compare(a: Path, b: Path, everything: bool, as_json: bool) -> None:
    """Compare two results (folders or files) seed by seed, with a 95% interval for each difference.

    A difference whose interval contains 0 is reported as noise.
    """
    try:
        first, second = results.read(a), results.read(b)
    except InvalidFileError as error:
        exit_with_faults(error)
        raise
    if first.scenario != second.scenario:
        click.echo(
            f"the results are of different scenarios: {first.scenario} and {second.scenario}", err=True
        )
    table = Table(
        title=f"{first.scenario}: A {first.policy} ({first.time}), B {second.policy} ({second.time})"
    )
    for heading in ("metric", "A", "B", "B - A, 95%", ""):
        table.add_column(heading, justify="left" if heading in ("metric", "") else "right")
    for each in metric_differences(first, second):
        if not everything and each.metric not in _MAIN_METRICS:
            continue
        if as_json:
            click.echo(json.dumps({**{k: getattr(each, k) for k in each.__slots__}, "says": each.conclusion}))
            continue
        interval = "" if each.low is None else f"{each.low:+.4g} to {each.high:+.4g}"
        table.add_row(each.metric, f"{each.a:.5g}", f"{each.b:.5g}", interval, each.conclusion)
    if not as_json:
        Console(width=110).print(table)
