"""`tulipnotch lab`: the laboratory."""

from __future__ import annotations

import click

from tulipnotch.cli.root import LazyGroup, examples


@click.group(cls=LazyGroup, places={}, epilog=examples("tulipnotch lab --help"))
def lab() -> None:
    """A model of the platform, in virtual and in real time."""
