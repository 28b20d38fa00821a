"""Every constant that may decide something stands in a table of docs/design.md, with what it follows from."""

from __future__ import annotations

import ast
import dataclasses
import re
from pathlib import Path

from tulipnotch.sidecar.control.endpoint import ControlLimits
from tulipnotch.sidecar.downstream.server import ClientLimits
from tulipnotch.sidecar.logs import LogLimits

ROOT = Path(__file__).parent.parent
PARTS = ("sidecar", "load_balancing", "simulator_wire")
HEADING = "## Constants and the settings they follow from"
# These mark entries of the agenda and of the wire, and what is not set yet; they stand for nothing in time,
# count or size.
MARKS = {"DISCOVERY", "UNSET_RATIO", "REQUEST_DEADLINE", "_ALL_PEERS", "_HAS_ENDED"}


def _page() -> str:
    page = (ROOT / "docs" / "design.md").read_text(encoding="utf-8")
    return page[page.index(HEADING) :].split("\n## ")[0]


def _figures(module: Path) -> set[str]:
    """The names in upper case that a module gives a figure to, by a literal or by reckoning with some."""
    named = set()
    for statement in ast.parse(module.read_text(encoding="utf-8")).body:
        targets: list[ast.expr] = []
        if isinstance(statement, ast.Assign):
            targets = statement.targets
        elif isinstance(statement, ast.AnnAssign):
            targets = [statement.target]
        value = getattr(statement, "value", None)
        if isinstance(value, (ast.Constant, ast.BinOp, ast.UnaryOp)) and not (
            isinstance(value, ast.Constant) and isinstance(value.value, (str, bytes))
        ):
            names = [each.id for each in targets if isinstance(each, ast.Name)]
            named |= {each for each in names if re.fullmatch(r"_?[A-Z][A-Z0-9_]*", each)}
    return named


def test_every_constant_stands_in_the_table() -> None:
    page = _page()
    found = {
        name
        for part in PARTS
        for module in sorted((ROOT / "tulipnotch" / part).rglob("*.py"))
        for name in _figures(module)
    }
    assert len(found) > 80  # else nothing was read
    assert sorted(name for name in found - MARKS if f"`{name}`" not in page) == []


def test_every_limit_that_staff_may_set_stands_in_the_table() -> None:
    page = _page()
    for limits in (ClientLimits, ControlLimits, LogLimits):
        assert [each.name for each in dataclasses.fields(limits) if f"`{each.name}`" not in page] == []


def test_the_table_names_nothing_that_is_gone() -> None:
    code = "\n".join(
        module.read_text(encoding="utf-8")
        for part in PARTS
        for module in (ROOT / "tulipnotch" / part).rglob("*.py")
    )
    named = set(re.findall(r"`(_?[A-Z][A-Z0-9_]{2,})`", _page()))
    assert sorted(name for name in named if not re.search(rf"^ *{name}\b", code, re.MULTILINE)) == []
