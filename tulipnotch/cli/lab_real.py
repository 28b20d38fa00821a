"""`tulipnotch lab up` and `overhead`: real processes on loopback sockets."""

from __future__ import annotations

import dataclasses
import json
import signal
import sys
import time
from collections.abc import Callable
from types import FrameType

import click
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table

from tulipnotch.cli.lab_run import load_scenario
from tulipnotch.cli.root import format_examples
from tulipnotch.lab.real.overhead import measure_overhead
from tulipnotch.lab.real.play import PlatformError
from tulipnotch.lab.real.up import PlatformView, run_platform

_STATE_COLORS = {"up": "green", "cold": "cyan", "choked": "yellow", "leaving": "blue"}


@click.command(
    epilog=format_examples(
        "tulipnotch lab up",
        "tulipnotch lab up rolling-drain",
        "tulipnotch lab up calm --no-load    # and send your own with curl",
    )
)
@click.argument("name", metavar="[SCENARIO]", default="calm")
@click.option("--seed", type=click.IntRange(min=0), help="The seed; by default that of the scenario.")
@click.option(
    "--load/--no-load", "with_load", default=True, show_default=True, help="Whether clients send requests."
)
@click.option("--seconds", type=click.FloatRange(min=0.1), help="Stop after this many seconds.")
def up(name: str, seed: int | None, with_load: bool, seconds: float | None) -> None:
    """Run the platform of SCENARIO (default: calm) with real sidecars until Ctrl-C.

    Prints all addresses, then updates a table once a second; without a terminal, prints a JSON line a second.
    Exits with 0 after Ctrl-C or SIGTERM, with 1 if a part of the platform fails.
    """
    scenario = load_scenario(name)
    is_stopping = False

    def stop(number: int, frame: FrameType | None) -> None:
        nonlocal is_stopping
        is_stopping = True

    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, stop)
    started_at = time.monotonic()
    console = Console()
    try:
        with run_platform(scenario, scenario.seed if seed is None else seed, with_load) as view:
            for each in view.sidecars:
                click.echo(
                    f"sidecar n{each.index} at {each.listen[0]}:{each.listen[1]}, control endpoint at "
                    f"{each.control[0]}:{each.control[1]}, log in {each.log}"
                )
            with Live(console=console, auto_refresh=False) as live:
                while not is_stopping and (seconds is None or time.monotonic() - started_at < seconds):
                    if console.is_terminal:
                        live.update(_table(view), refresh=True)
                    else:
                        click.echo(json.dumps(_state_json(view)))
                    _sleep(1.0, lambda: is_stopping)
    except PlatformError as error:
        click.echo(f"the platform failed: {error}", err=True)
        sys.exit(1)
    click.echo("all processes have stopped")


def _sleep(seconds: float, is_stopping: Callable[[], bool]) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline and not is_stopping():
        time.sleep(0.05)


_OUTCOMES = ("completed", "rejected", "failed")
_GAUGES = ("upstream_requests", "pending", "members", "members_unavailable")


def _totals(metrics: dict[str, int]) -> dict[str, int]:
    totals = {
        each: sum(v for k, v in metrics.items() if k.startswith("downstream") and k.endswith(f".{each}"))
        for each in _OUTCOMES
    }
    return totals | {each: metrics.get(each, 0) for each in _GAUGES}


def _state_json(view: PlatformView) -> dict[str, object]:
    return {
        "sidecars": {f"n{each.index}": _totals(view.sidecar_metrics(each)) for each in view.sidecars},
        "servers": {each.name: dataclasses.asdict(each) for each in view.servers()},
    }


def _table(view: PlatformView) -> Group:
    sidecars = Table(title="sidecars, according to their metrics", title_justify="left")
    headings = (*_OUTCOMES, *_GAUGES)
    for heading in ("sidecar", *headings):
        sidecars.add_column(heading.replace("_", " "), justify="left" if heading == "sidecar" else "right")
    for each in view.sidecars:
        totals = _totals(view.sidecar_metrics(each))
        sidecars.add_row(f"n{each.index}", *(str(totals[heading]) for heading in headings))
    servers = Table(title="order servers, actual state", title_justify="left")
    for heading in ("server", "building", "kind", "state", "running", "waiting", "done"):
        is_number = heading in ("running", "waiting", "done")
        servers.add_column(heading, justify="right" if is_number else "left")
    for row in view.servers():
        color = _STATE_COLORS.get(row.state, "red")
        servers.add_row(
            row.name, row.zone, row.kind, f"[{color}]{row.state}[/]", str(row.running), str(row.waiting),
            str(row.done),
        )  # fmt: skip
    return Group(sidecars, servers)


@click.command(
    epilog=format_examples("tulipnotch lab overhead", "tulipnotch lab overhead --rate 500 --turns 5 --json")
)
@click.option("--rate", default=300.0, show_default=True, type=click.FloatRange(1.0, 5_000.0))
@click.option("--seconds", default=6.0, show_default=True, type=click.FloatRange(1.0, 600.0))
@click.option("--turns", default=3, show_default=True, type=click.IntRange(1, 100))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def overhead(rate: float, seconds: float, turns: int, as_json: bool) -> None:
    """Compare CPU and latency per request of a sidecar and of a byte forwarder in front of the same server.

    Prints medians over the turns; the two run in turns, so that they see the same state of the machine.
    """
    try:
        result = measure_overhead(rate, seconds, turns)
    except PlatformError as error:
        click.echo(f"the platform failed: {error}", err=True)
        sys.exit(1)
    costs = {"sidecar": result.sidecar, "forwarder": result.forwarder}
    if as_json:
        output = {name: {k: getattr(cost, k) for k in cost.__slots__} for name, cost in costs.items()}
        click.echo(json.dumps({**output, "cpu_ratio": result.cpu_ratio, "turns": turns, "rate": rate}))
        return
    for name, cost in costs.items():
        click.echo(
            f"{name:10} {cost.cpu_us:7.0f} us CPU a request   p50 {cost.p50_ms:6.2f} ms   "
            f"p99 {cost.p99_ms:6.2f} ms   {cost.requests} requests"
        )
    click.echo(f"the sidecar uses {result.cpu_ratio:.1f} times the CPU of the forwarder")
