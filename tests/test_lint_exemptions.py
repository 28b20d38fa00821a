"""Each exemption from the stricter lint rules is still needed, and each `noqa` comment gives a reason."""

from __future__ import annotations

import json
import re
import subprocess
import sys
import tomllib
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).parent.parent
SOURCES = ("tulipnotch", "tests", "benchmarks")
BARE_NOQA = re.compile(r"#\s*noqa(?::\s*[A-Z]+\d+(?:\s*,\s*[A-Z]+\d+)*)?\s*$")


def _ruff_settings() -> dict[str, object]:
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["tool"]["ruff"]["lint"]
    assert isinstance(settings, dict)
    return settings


def _violations_without_exemptions() -> dict[str, set[str]]:
    """Returns the codes of the rules that each file breaks when all exemptions are ignored."""
    command = [
        *(sys.executable, "-m", "ruff", "check", "--no-cache", "--output-format", "json"),
        *("--config", "lint.per-file-ignores = {}"),
        *SOURCES,
    ]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=100, check=False)
    violations: dict[str, set[str]] = defaultdict(set)
    for violation in json.loads(completed.stdout):
        violations[Path(violation["filename"]).relative_to(ROOT).as_posix()].add(violation["code"])
    return violations


def test_exemptions_are_all_needed() -> None:
    exemptions = _ruff_settings()["per-file-ignores"]
    assert isinstance(exemptions, dict)
    violations = _violations_without_exemptions()
    assert violations  # guards against reading no output
    unneeded = [
        f"{path}: {code}"
        for path, codes in exemptions.items()
        if "*" not in path
        for code in codes
        if code not in violations[path]
    ]
    assert unneeded == []


def test_noqa_comments_have_a_reason() -> None:
    bare = [
        f"{path.relative_to(ROOT)}:{number}"
        for source in SOURCES
        for path in sorted((ROOT / source).rglob("*.py"))
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if BARE_NOQA.search(line)
    ]
    assert bare == []
