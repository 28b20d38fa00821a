"""`tulipnotch check`: every fault of the files that people write."""

from __future__ import annotations

import json
import os
import re
import sys
import tomllib
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path

import click

from tulipnotch.cli.root import examples
from tulipnotch.settings import operator
from tulipnotch.settings.check import Fault, InvalidFileError, line_of
from tulipnotch.sidecar.configuration import configuration as config


@click.command(
    epilog=examples(
        "tulipnotch check deploy/operator.toml",
        "tulipnotch check config.json my-scenario.toml --json",
    )
)
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON object a file.")
def check(files: tuple[Path, ...], as_json: bool) -> None:
    """Check configurations (.json), operator files and scenarios (.toml); name every fault of each.

    A .toml file that has `seconds` or `fleet` is a scenario, any other an operator file.  Exits with 2 if
    there is any fault.
    """
    bad = False
    for path in files:
        kind, faults = _faults(path)
        bad = bad or bool(faults)
        if as_json:
            told = {"file": str(path), "kind": kind, "faults": [asdict(each) for each in faults]}
            click.echo(json.dumps(told))
        elif faults:
            for each in faults:
                click.echo(f"{path}: {each}", err=True)
        else:
            click.echo(f"{path}: a good {kind}")
    sys.exit(2 if bad else 0)


def _faults(path: Path) -> tuple[str, list[Fault]]:
    if path.suffix == ".json":
        return "configuration", list(_of_configuration(path))
    kind = "scenario" if _is_scenario(path) else "operator file"
    try:
        if kind == "scenario":
            from tulipnotch.lab import scenario

            scenario.load(path)
        else:
            operator.load(path)
    except InvalidFileError as bad:
        return kind, bad.faults
    return kind, []


def _is_scenario(path: Path) -> bool:
    try:
        given = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return False
    return "fleet" in given or "seconds" in given


def _of_configuration(path: Path) -> Iterator[Fault]:
    try:
        given = config.read_object(str(path))
    except config.ConfigError as fault:
        yield Fault(0, "", str(fault).removeprefix("BALANCER_CONFIG: "))
        return
    lines = json_lines(path.read_text(encoding="utf-8"))
    for text in config.faults_of(config.with_environment(given, os.environ)):
        key, _, rest = text.partition(": ")
        yield Fault(line_of(lines, key), key, rest)


_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\]:,]|[^\s{}\[\]:,"]+')


def json_lines(text: str) -> dict[str, int]:
    """Where each key of a good JSON text stands: path to line, from 1."""
    lines: dict[str, int] = {}
    stack: list[tuple[str, int]] = []  # of each open object or array: its path, and -1 or the next index
    path, key_due, line, at = "", False, 1, 0
    for token in _TOKEN.finditer(text):
        line += text.count("\n", at, token.start())
        at = token.start()
        word = token[0]
        if word in "{[":
            stack.append((path, -1 if word == "{" else 0))
            key_due = word == "{"
            if word == "[":
                path = f"{path}[0]"
        elif word in "}]":
            path, _ = stack.pop()
            key_due = False
        elif word == ",":
            base, index = stack[-1]
            key_due = index < 0
            if index >= 0:
                stack[-1] = (base, index + 1)
                path = f"{base}[{index + 1}]"
        elif key_due and word != ":":
            base = stack[-1][0]
            name = str(json.loads(word))
            path = f"{base}.{name}" if base else name
            lines[path] = line
            key_due = False
    return lines
