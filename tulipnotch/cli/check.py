"""`tulipnotch check`: reports all faults of configurations, operator files and scenarios."""

from __future__ import annotations

import json
import os
import sys
import tomllib
from dataclasses import asdict
from enum import StrEnum, unique
from pathlib import Path

import click

from tulipnotch.cli.root import format_examples
from tulipnotch.settings import operator
from tulipnotch.settings.check import Fault, InvalidFileError
from tulipnotch.settings.source_lines import find_line, locate_json_keys
from tulipnotch.sidecar.configuration.configuration import with_environment
from tulipnotch.sidecar.configuration.errors import ConfigError
from tulipnotch.sidecar.configuration.json_file import CONFIG_FILE_VARIABLE, read_json_object
from tulipnotch.sidecar.configuration.validation import find_config_faults

_EXIT_INVALID = 2


@unique
class _FileKind(StrEnum):
    """Kind of a file; the values are shown to users."""

    CONFIGURATION = "configuration"
    OPERATOR_FILE = "operator file"
    SCENARIO = "scenario"


@click.command(
    epilog=format_examples(
        "tulipnotch check deploy/operator.toml",
        "tulipnotch check config.json my-scenario.toml --json",
    )
)
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object for each file.")
def check(*, files: tuple[Path, ...], as_json: bool) -> None:
    """Check configurations (.json), operator files and scenarios (.toml); report every fault of each.

    A .toml file that has `seconds` or `fleet` is a scenario, any other an operator file.  Exits with 2 if
    there is any fault.
    """
    is_any_invalid = False
    for path in files:
        kind = _file_kind(path)
        faults = _find_faults(path, kind)
        is_any_invalid = is_any_invalid or bool(faults)
        if as_json:
            report = {"file": str(path), "kind": kind, "faults": [asdict(each) for each in faults]}
            click.echo(json.dumps(report))
        elif faults:
            for fault in faults:
                click.echo(f"{path}: {fault}", err=True)
        else:
            click.echo(f"{path}: a good {kind}")
    sys.exit(_EXIT_INVALID if is_any_invalid else 0)


def _file_kind(path: Path) -> _FileKind:
    if path.suffix == ".json":
        return _FileKind.CONFIGURATION
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return _FileKind.OPERATOR_FILE
    is_scenario = "fleet" in table or "seconds" in table
    return _FileKind.SCENARIO if is_scenario else _FileKind.OPERATOR_FILE


def _find_faults(path: Path, kind: _FileKind) -> list[Fault]:
    if kind is _FileKind.CONFIGURATION:
        return _find_configuration_faults(path)
    try:
        if kind is _FileKind.SCENARIO:
            from tulipnotch.lab import scenario

            scenario.load(path)
        else:
            operator.load_operator_file(path)
    except InvalidFileError as error:
        return error.faults
    return []


def _find_configuration_faults(path: Path) -> list[Fault]:
    try:
        configuration = read_json_object(str(path))
    except ConfigError as error:
        return [Fault(0, "", str(error).removeprefix(f"{CONFIG_FILE_VARIABLE}: "))]
    lines = locate_json_keys(path.read_text(encoding="utf-8"))
    faults = find_config_faults(with_environment(configuration, os.environ))
    return [Fault(find_line(lines, each.key), each.key, each.problem) for each in faults]
