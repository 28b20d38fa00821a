"""Time to ready and memory of a freshly started sidecar.

    python -m benchmarks.start --runs 15 -- .venv/bin/python -m tulipnotch.sidecar

Prints the median and the range of the time from exec to the log line that reports readiness (ms), and of the
resident memory at that moment (kB).  Several commands, separated by a further `--`, run in turn, so that all
of them see the same machine.
"""

from __future__ import annotations

import json
import os
import signal
import statistics
import subprocess
import tempfile
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

import click

_CONFIGURATION = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:9",
    "seed": "1",
    "known": {
        "version": 1,
        "full": True,
        "servers": [
            {"id": f"s-{n}", "addr": f"127.0.0.1:{9_000 + n}", "zone": "a", "kind": "", "cell": 1,
             "state": "active"}
            for n in range(10)
        ],
    },
    "settings": {"lanes": [{"name": "look", "giveUpUs": 1_500_000, "promiseUs": 600_000,
                            "repeat": "read_like"}], "discovery": "on_request"},
}  # fmt: skip
_READY_TEXT = "serves on"  # part of the log line that reports readiness
_SEPARATOR = "--"


@dataclass(frozen=True, slots=True)
class StartMeasurement:
    """One start: the time to ready in milliseconds, and the resident memory at that time in kB."""

    ready_ms: float
    resident_kb: int


def measure_start(command: Sequence[str], configuration: Path) -> StartMeasurement:
    """Starts a sidecar and kills it; raises ClickException unless its first log line reports readiness."""
    started_at = time.perf_counter()
    environment = {**os.environ, "BALANCER_CONFIG": str(configuration)}
    with subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True) as process:
        first_line = "" if process.stderr is None else process.stderr.readline()
        ready_ms = (time.perf_counter() - started_at) * 1e3
        try:
            if _READY_TEXT not in first_line:
                raise click.ClickException(
                    f"{' '.join(command)} is not ready; its first line is: {first_line.strip()}"
                )
            return StartMeasurement(ready_ms, _resident_kb(process.pid))
        finally:
            process.send_signal(signal.SIGKILL)


def _resident_kb(process_id: int) -> int:
    status = Path(f"/proc/{process_id}/status").read_text(encoding="ascii")
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))


def split_commands(arguments: Iterable[str]) -> list[list[str]]:
    """Returns the commands between separators; raises ClickException if one of them is empty."""
    commands: list[list[str]] = [[]]
    for argument in arguments:
        if argument == _SEPARATOR:
            commands.append([])
        else:
            commands[-1].append(argument)
    if not all(commands):
        raise click.UsageError("there is no command between two separators")
    return commands


def _print_row(unit: str, values: Sequence[float], command: Sequence[str]) -> None:
    low, middle, high = min(values), statistics.median(values), max(values)
    click.echo(f"{middle:9.1f} {unit} ({low:.1f} to {high:.1f})  {' '.join(command)}")


@click.command(help=(__doc__ or "").partition("\n")[0])
@click.option("--runs", type=click.IntRange(1), default=15, show_default=True, help="Starts of each command.")
@click.argument("commands", nargs=-1, required=True, type=click.UNPROCESSED)
def main(runs: int, commands: tuple[str, ...]) -> None:
    """Measure each command in turn, and print the results."""
    command_lines = split_commands(commands)
    measurements: list[list[StartMeasurement]] = [[] for _ in command_lines]
    with tempfile.TemporaryDirectory() as folder:
        configuration = Path(folder) / "config.json"
        configuration.write_text(json.dumps(_CONFIGURATION), encoding="utf-8")
        for _ in range(runs):
            for command, found in zip(command_lines, measurements, strict=True):
                found.append(measure_start(command, configuration))
    for command, found in zip(command_lines, measurements, strict=True):
        _print_row("ms", [measurement.ready_ms for measurement in found], command)
        _print_row("kB", [measurement.resident_kb for measurement in found], command)


if __name__ == "__main__":
    main()
