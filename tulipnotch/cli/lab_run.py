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
from tulipnotch.lab.compare import differences
from tulipnotch.lab.policies import POLICIES
from tulipnotch.settings.check import InvalidFileError

_SHOWN = (
    "rules.broken", "worth", "worst_10s", "served", "in_time", "refused", "failed", "latency.p50_ms",
    "latency.p99_ms", "attempts_per_request", "choked_s",
)  # fmt: skip


def bad(fault: InvalidFileError) -> None:
    """Say all faults of a file, one a line, and exit with 2."""
    for each in fault.faults:
        click.echo(f"{fault.path}: {each}", err=True)
    sys.exit(2)


def load(name: str) -> scenario.Scenario:
    """A scenario by name or path; on a bad one, say all of its faults and exit with 2."""
    try:
        return scenario.load(scenario.find(name))
    except InvalidFileError as fault:
        bad(fault)
        raise


@click.command("list", epilog=format_examples("tulipnotch lab list", "tulipnotch lab list --json"))
@click.option("--json", "as_json", is_flag=True, help="One JSON object a scenario.")
def list_scenarios(as_json: bool) -> None:
    """The scenarios that come with the laboratory, and the policies."""
    for name, path in scenario.shipped().items():
        given = load(str(path))
        if as_json:
            click.echo(json.dumps({"name": name, "about": given.about, "seconds": given.seconds}))
        else:
            click.echo(f"{name:18}{given.about}")
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
@click.option("--time", "kind", type=click.Choice(("virtual", "real")), default="virtual", show_default=True)
@click.option("--seed", type=click.IntRange(min=0), help="The first seed, in place of the scenario's.")
@click.option("--seeds", type=click.IntRange(1, 1_000), default=1, show_default=True, help="How many.")
@click.option("--policy", type=click.Choice(list(POLICIES)), default="module", show_default=True)
@click.option("--processes", type=click.IntRange(1, 256), help="At once; by default one a core.")
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Where result.json and report.html go."
)
@click.option("--json", "as_json", is_flag=True, help="Print metrics and verdicts as one JSON object.")
@click.option("--quiet", is_flag=True, help="No progress bar.")
def run(
    name: str,
    kind: str,
    seed: int | None,
    seeds: int,
    policy: str,
    processes: int | None,
    out: Path | None,
    as_json: bool,
    quiet: bool,
) -> None:
    """Play SCENARIO (a name of `lab list`, or a file) and judge what is expected of it.

    Writes result.json and a self-contained report.html.  Exits with 0 if all expectations hold for every
    seed, with 1 if not or if the run is not valid, with 2 on a bad file.
    """
    given = load(name)
    first = given.seed if seed is None else seed
    wanted = list(range(first, first + seeds))
    if kind == "real" and policy != "module":
        raise click.UsageError("real sidecars run the module: --policy goes with --time virtual")
    folder = out or Path("found") / f"{given.name}-{policy}-{kind}"
    bar = Progress(
        TextColumn("{task.description}"), BarColumn(), TextColumn("{task.percentage:>3.0f} %"),
        TimeElapsedColumn(), TimeRemainingColumn(), console=Console(stderr=True),
        disable=quiet or not sys.stderr.isatty(), transient=True,
    )  # fmt: skip
    began = time.perf_counter()
    with bar:
        task = bar.add_task(f"{given.name}, {len(wanted)} seed{'s' * (len(wanted) > 1)}", total=1.0)

        def progress(done: float) -> None:
            bar.update(task, completed=done)

        if kind == "virtual":
            cores = processes or len(os.sched_getaffinity(0))
            result = play.all_seeds(given, policy, wanted, cores, progress)
        else:
            result = in_real_time(given, wanted, progress)
    took = time.perf_counter() - began
    folder.mkdir(parents=True, exist_ok=True)
    results.write(result, folder / "result.json")
    report.write(result, folder / "report.html")
    if as_json:
        told = {
            "scenario": given.name, "holds": result.holds, "invalid": result.invalid,
            "verdicts": msgspec.to_builtins(result.expectations), "report": str(folder / "report.html"),
            "metrics": {metric: result.mean(metric) for metric in sorted(result.runs[0].metrics)},
        }  # fmt: skip
        click.echo(json.dumps(told))
    else:
        _show(result, folder, took)
    sys.exit(0 if result.holds else 1)


def in_real_time(
    given: scenario.Scenario, seeds: list[int], progress: play.Progress | None
) -> results.Result:
    """Play against real processes; if the platform fails, say how in one line and exit with 1."""
    from tulipnotch.lab.real import play as real  # sockets and processes, only where they are used

    try:
        return real.all_seeds(given, seeds, progress)
    except real.LabFault as fault:
        click.echo(f"the platform failed: {fault}", err=True)
        sys.exit(1)


def _show(result: results.Result, folder: Path, took: float) -> None:
    for metric in _SHOWN:
        low, high = min(result.values(metric)), max(result.values(metric))
        spread = f"   ({low:g} to {high:g})" if low != high else ""
        click.echo(f"{metric:24}{result.mean(metric):10.4g}{spread}")
    requests = sum(result.values("requests"))
    click.echo(f"{requests:.0f} requests in {took:.1f} s")
    for each in result.expectations:
        click.echo(f"{'holds' if each.holds else 'DOES NOT HOLD':15}{each.text}   (worst {each.worst:g})")
    for run in result.runs:
        for rule, texts in run.violations.items():
            click.echo(f"seed {run.seed}, rule {rule}: {texts[0]}")
    if result.invalid:
        click.echo(f"NOT VALID: {result.invalid}")
    click.echo(f"report: {folder / 'report.html'}")


@click.command(
    epilog=format_examples(
        "tulipnotch lab compare found/calm-module-virtual found/calm-random-virtual",
        "tulipnotch lab compare A B --all --json",
    )
)
@click.argument("a", type=click.Path(path_type=Path))
@click.argument("b", type=click.Path(path_type=Path))
@click.option("--all", "everything", is_flag=True, help="Every metric, not only the main ones.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a metric.")
def compare(a: Path, b: Path, everything: bool, as_json: bool) -> None:
    """Two results (folders or files) side by side, seed by seed, with a 95% interval of the difference.

    A difference whose interval holds 0 is called noise.
    """
    try:
        first, second = results.read(a), results.read(b)
    except InvalidFileError as fault:
        bad(fault)
        raise
    if first.scenario != second.scenario:
        click.echo(f"these are two scenarios: {first.scenario} and {second.scenario}", err=True)
    table = Table(
        title=f"{first.scenario}: A {first.policy} ({first.time}), B {second.policy} ({second.time})"
    )
    for head in ("metric", "A", "B", "B - A, 95%", ""):
        table.add_column(head, justify="left" if head in ("metric", "") else "right")
    for each in differences(first, second):
        if not everything and each.metric not in _SHOWN:
            continue
        if as_json:
            click.echo(json.dumps({**{k: getattr(each, k) for k in each.__slots__}, "says": each.conclusion}))
            continue
        interval = "" if each.low is None else f"{each.low:+.4g} to {each.high:+.4g}"
        table.add_row(each.metric, f"{each.a:.5g}", f"{each.b:.5g}", interval, each.conclusion)
    if not as_json:
        Console(width=110).print(table)
