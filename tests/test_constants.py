"""The tables of docs/design.md list every constant of the sidecar and of load balancing, and no other."""

from __future__ import annotations

import ast
import dataclasses
import re
from pathlib import Path

from tulipnotch.sidecar.control.endpoint import ControlLimits
from tulipnotch.sidecar.downstream.client_limits import ClientLimits
from tulipnotch.sidecar.logs import LogLimits

ROOT = Path(__file__).parent.parent
PACKAGES = ("sidecar", "load_balancing", "simulator_wire")
HEADING = "## Constants and the settings they follow from"
# Constants that the tables leave out, since none is a time, a count or a size: keys of timers, names on the
# wire, codes of system calls, and values that mean "not set".
NON_NUMERIC = {
    "DISCOVERY",
    "UNSET_RATIO",
    "REQUEST_DEADLINE",
    "_ALL_PEERS",
    "_DISCONNECT_EVENTS",
    "_SIOCOUTQNSD",
}


def _page() -> str:
    page = (ROOT / "docs" / "design.md").read_text(encoding="utf-8")
    return page[page.index(HEADING) :].split("\n## ")[0]


def _numeric_constants(module: Path) -> set[str]:
    """Returns the names of a module's numeric constants, given as literals or computed from literals."""
    constants = set()
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
            constants |= {each for each in names if re.fullmatch(r"_?[A-Z][A-Z0-9_]*", each)}
    return constants


def test_design_page_has_every_constant() -> None:
    page = _page()
    constants = {
        name
        for package in PACKAGES
        for module in sorted((ROOT / "tulipnotch" / package).rglob("*.py"))
        for name in _numeric_constants(module)
    }
    assert len(constants) > 80  # guards against finding no modules
    assert sorted(name for name in constants - NON_NUMERIC if f"`{name}`" not in page) == []


def test_design_page_has_every_limit_that_operators_may_set() -> None:
    page = _page()
    for limits in (ClientLimits, ControlLimits, LogLimits):
        assert [each.name for each in dataclasses.fields(limits) if f"`{each.name}`" not in page] == []


def test_design_page_has_no_constant_that_was_removed() -> None:
    code = "\n".join(
        module.read_text(encoding="utf-8")
        for package in PACKAGES
        for module in (ROOT / "tulipnotch" / package).rglob("*.py")
    )
    named = set(re.findall(r"`(_?[A-Z][A-Z0-9_]{2,})`", _page()))
    assert sorted(name for name in named if not re.search(rf"^ *{name}\b", code, re.MULTILINE)) == []
