"""`tulipnotch lab`: the group of commands that simulate the platform."""

from __future__ import annotations

import click

from tulipnotch.cli.root import LazyGroup, format_examples


@click.group(
    cls=LazyGroup,
    locations={
        "list": ("tulipnotch.cli.lab_run", "list_scenarios"),
        "run": ("tulipnotch.cli.lab_run", "run"),
        "compare": ("tulipnotch.cli.lab_run", "compare"),
        "up": ("tulipnotch.cli.lab_real", "up"),
        "overhead": ("tulipnotch.cli.lab_real", "overhead"),
    },
    epilog=format_examples(
        "tulipnotch lab list",
        "tulipnotch lab up crash",
        "tulipnotch lab run crash --seeds 8",
        "tulipnotch lab run calm --time real --out found/calm",
        "tulipnotch lab compare found/module found/random",
    ),
)
def lab() -> None:
    """Simulate the platform in virtual time, or run it with real processes."""
