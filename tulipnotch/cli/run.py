"""`tulipnotch run`: runs the sidecar in the foreground."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from tulipnotch.cli.root import format_examples


@click.command(
    epilog=format_examples(
        "BALANCER_CONFIG=config.json tulipnotch run",
        "tulipnotch run --config config.json --operator deploy/operator.toml",
    )
)
@click.option(
    "--config",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Configuration file; replaces $BALANCER_CONFIG.",
)
@click.option(
    "--operator",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Operator file; replaces $BALANCER_OPERATOR.",
)
def run(config: Path | None, operator: Path | None) -> None:
    """Run one sidecar until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Exits with 0 after SIGTERM or SIGINT, with 1 if an address cannot be bound, with 2 if a file or the
    inherited listening socket is invalid.
    """
    environ = dict(os.environ)
    if config is not None:
        environ["BALANCER_CONFIG"] = str(config.resolve())
    if operator is not None:
        environ["BALANCER_OPERATOR"] = str(operator.resolve())
    # Replaces the process image, so that the sidecar's memory contains no libraries of the command line.
    command = [sys.executable, "-m", "tulipnotch.sidecar"]
    os.execve(command[0], command, environ)
