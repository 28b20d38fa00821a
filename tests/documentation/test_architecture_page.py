"""Every module, class and function that docs/architecture.md names exists."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
# `sidecar/sidecar.py` refers to a module, `sidecar/sidecar.py:Sidecar.start` to a definition in that module.
REFERENCE = re.compile(r"`([\w/]+(?:\.py|/))(?::([\w.]+))?`")
REFERENCES = sorted({(path, name) for path, name in REFERENCE.findall(PAGE)})


def _definitions(path: Path) -> set[str]:
    """Returns the names that a module defines: functions, classes, constants, and members of classes."""
    names: set[str] = set()
    for node in ast.parse(path.read_text(encoding="utf-8")).body:
        names |= _defined_by(node)
        if isinstance(node, ast.ClassDef):
            names |= {f"{node.name}.{member}" for each in node.body for member in _defined_by(each)}
    return names


def _defined_by(node: ast.stmt) -> set[str]:
    if isinstance(node, (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)):
        return {node.name}
    if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
        return {node.target.id}
    if isinstance(node, ast.Assign):
        return {target.id for target in node.targets if isinstance(target, ast.Name)}
    return set()


def _resolve(path: str) -> Path:
    within_package = ROOT / "tulipnotch" / path
    return within_package if within_package.exists() else ROOT / path


def test_architecture_page_has_references_to_modules_and_definitions() -> None:
    assert len(REFERENCES) > 40  # guards against reading no references
    assert sum(bool(name) for _, name in REFERENCES) > 20


@pytest.mark.parametrize(("path", "name"), REFERENCES)
def test_architecture_page_reference_exists(path: str, name: str) -> None:
    module = _resolve(path)
    assert module.exists(), f"{path} does not exist"
    assert not name or name in _definitions(module), f"{path} does not define {name}"
