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

from tulipnotch.cli.lab_run import load
from tulipnotch.cli.root import format_examples
from tulipnotch.lab.real.overhead import compare
from tulipnotch.lab.real.play import LabFault
from tulipnotch.lab.real.up import Up
from tulipnotch.lab.real.up import up as bring_up

_STATE_COLOURS = {"up": "green", "cold": "cyan", "choked": "yellow", "leaving": "blue"}


@click.command(
    epilog=format_examples(
        "tulipnotch lab up",
        "tulipnotch lab up rolling-drain",
        "tulipnotch lab up calm --no-load    # and send your own with curl",
    )
)
@click.argument("name", metavar="[SCENARIO]", default="calm")
@click.option("--seed", type=click.IntRange(min=0), help="In place of the scenario's.")
@click.option("--load/--no-load", "with_load", default=True, show_default=True, help="Whether clients send.")
@click.option("--seconds", type=click.FloatRange(min=0.1), help="End by itself after so long.")
def up(name: str, seed: int | None, with_load: bool, seconds: float | None) -> None:
    """The whole stand-in platform of SCENARIO (calm, if none is named) with real sidecars, until Ctrl-C.

    Prints every address, then a live table once a second; without a terminal, one JSON line a second.
    Exits with 0 after Ctrl-C or SIGTERM, with 1 if a part of it fails.
    """
    given = load(name)
    ended = False

    def end(number: int, frame: FrameType | None) -> None:
        nonlocal ended
        ended = True

    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, end)
    began = time.monotonic()
    console = Console()
    try:
        with bring_up(given, given.seed if seed is None else seed, with_load) as world:
            for each in world.sidecars:
                click.echo(
                    f"sidecar n{each.place} at {each.listen[0]}:{each.listen[1]}, operators' door at "
                    f"{each.control[0]}:{each.control[1]}, log in {each.log}"
                )
            with Live(console=console, auto_refresh=False) as live:
                while not ended and (seconds is None or time.monotonic() - began < seconds):
                    if console.is_terminal:
                        live.update(_table(world), refresh=True)
                    else:
                        click.echo(json.dumps(_row(world)))
                    _rest(1.0, lambda: ended)
    except LabFault as fault:
        click.echo(f"the platform failed: {fault}", err=True)
        sys.exit(1)
    click.echo("all is ended")


def _rest(seconds: float, ended: Callable[[], bool]) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until and not ended():
        time.sleep(0.05)


_ENDINGS = ("completed", "rejected", "failed")
_GAUGES = ("upstream_requests", "pending", "members", "members_unavailable")


def _totals(figures: dict[str, int]) -> dict[str, int]:
    totals = {
        each: sum(v for k, v in figures.items() if k.startswith("downstream") and k.endswith(f".{each}"))
        for each in _ENDINGS
    }
    return totals | {each: figures.get(each, 0) for each in _GAUGES}


def _row(world: Up) -> dict[str, object]:
    return {
        "sidecars": {f"n{each.place}": _totals(world.figures(each)) for each in world.sidecars},
        "servers": {each.name: dataclasses.asdict(each) for each in world.servers()},
    }


def _table(world: Up) -> Group:
    sidecars = Table(title="sidecars, by their own figures", title_justify="left")
    heads = (*_ENDINGS, *_GAUGES)
    for head in ("sidecar", *heads):
        sidecars.add_column(head.replace("_", " "), justify="left" if head == "sidecar" else "right")
    for each in world.sidecars:
        totals = _totals(world.figures(each))
        sidecars.add_row(f"n{each.place}", *(str(totals[head]) for head in heads))
    servers = Table(title="order servers, as they truly are", title_justify="left")
    for head in ("server", "building", "kind", "state", "running", "waiting", "done"):
        right = head in ("running", "waiting", "done")
        servers.add_column(head, justify="right" if right else "left")
    for row in world.servers():
        colour = _STATE_COLOURS.get(row.state, "red")
        servers.add_row(
            row.name, row.zone, row.kind, f"[{colour}]{row.state}[/]", str(row.running), str(row.waiting),
            str(row.done),
        )  # fmt: skip
    return Group(sidecars, servers)


@click.command(
    epilog=format_examples("tulipnotch lab overhead", "tulipnotch lab overhead --rate 500 --turns 5 --json")
)
@click.option("--rate", default=300.0, show_default=True, type=click.FloatRange(1.0, 5_000.0))
@click.option("--seconds", default=6.0, show_default=True, type=click.FloatRange(1.0, 600.0))
@click.option("--turns", default=3, show_default=True, type=click.IntRange(1, 100))
@click.option("--json", "as_json", is_flag=True, help="One JSON object.")
def overhead(rate: float, seconds: float, turns: int, as_json: bool) -> None:
    """CPU and latency of one sidecar for each request, against a bare byte forwarder before the same server.

    Medians over the turns; the two take turns, so that they see the same machine.
    """
    try:
        found = compare(rate, seconds, turns)
    except LabFault as fault:
        click.echo(f"the platform failed: {fault}", err=True)
        sys.exit(1)
    rows = {"sidecar": found.sidecar, "forwarder": found.forwarder}
    if as_json:
        told = {name: {k: getattr(cost, k) for k in cost.__slots__} for name, cost in rows.items()}
        click.echo(json.dumps({**told, "cpu_ratio": found.cpu_ratio, "turns": turns, "rate": rate}))
        return
    for name, cost in rows.items():
        click.echo(
            f"{name:10} {cost.cpu_us:7.0f} us CPU a request   p50 {cost.p50_ms:6.2f} ms   "
            f"p99 {cost.p99_ms:6.2f} ms   {cost.requests} requests"
        )
    click.echo(f"the sidecar takes {found.cpu_ratio:.1f} times the CPU of passing bytes on")
