"""`deploy/balancer.toml` and the package's metadata: keys, commands, and files that cover the program."""

from __future__ import annotations

import json
import re
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest
from outside import PACKAGE
from running import ROOT

DEPLOY: dict[str, Any] = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
# What `run` and `sim` load, with what they load only where an operator file is named left out.
LOADED = """
import json, runpy, sys
import {run}.program, {sim}
print(json.dumps([each for each in sys.modules if each.split(".")[0] == {package!r}]))
"""


def module(command: str) -> str:
    found = re.fullmatch(r"exec (?:env PYTHONDONTWRITEBYTECODE=1 )?\.venv/bin/python -m ([a-z_.]+)", command)
    assert found is not None, command
    return found[1]


def covered(key: str) -> set[Path]:
    """The files that a list of the deploy file names, itself or by their folder."""
    files: set[Path] = set()
    for each in DEPLOY[key]:
        path = ROOT / each
        assert path.exists(), each
        new = set(path.rglob("*.py")) if path.is_dir() else {path}
        assert new and not new & files, each
        files |= new
    return files


def test_keys_are_those_of_the_platform() -> None:
    assert set(DEPLOY) == {"build", "run", "sim", "policy", "node", "packages"}
    assert all(isinstance(DEPLOY[key], str) for key in ("build", "run", "sim"))
    assert all(isinstance(DEPLOY[key], list) for key in ("policy", "node", "packages"))
    assert DEPLOY["packages"] == []


def test_run_is_one_exec_and_names_the_sidecar() -> None:
    assert DEPLOY["run"] == "exec .venv/bin/python -m tulipnotch.sidecar"
    assert DEPLOY["run"].split().count("exec") == 1
    assert not set(DEPLOY["run"]) & set(";&|$`()<>\n")


def test_build_compiles_what_is_there() -> None:
    compiled = DEPLOY["build"].partition("compileall -q ")[2].split()
    assert compiled
    assert all((ROOT / each).exists() for each in compiled)
    files = {file for each in compiled for file in [ROOT / each, *(ROOT / each).rglob("*.py")]}
    assert covered("policy") | covered("node") <= files
    assert (ROOT / "requirements.txt").exists()
    assert "install -r requirements.txt" in DEPLOY["build"]


def test_sim_answers_from_the_root_through_the_shell() -> None:
    line = DEPLOY["sim"].replace(".venv/bin/python", sys.executable)
    done = subprocess.run(
        ["/bin/sh", "-c", line], input='["FRAME",8412250]\n["COMMIT"]\n',
        cwd=ROOT, capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    assert (done.returncode, done.stdout, done.stderr) == (0, '["DONE"]\n', "")


def test_policy_and_node_cover_every_file_of_the_packages_that_run_and_sim_import() -> None:
    policy, node = covered("policy"), covered("node")
    assert not policy & node
    script = LOADED.format(run=module(DEPLOY["run"]), sim=module(DEPLOY["sim"]), package=PACKAGE)
    loaded = json.loads(
        subprocess.run(
            [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
        ).stdout
    )
    folders = {ROOT / each.replace(".", "/") for each in loaded}
    files = {file for folder in folders if folder.is_dir() for file in folder.glob("*.py")}
    assert len(files) > 10
    assert files == policy | node


@pytest.mark.parametrize(("name", "target"), [("tulipnotch", "tulipnotch.cli:main")])
def test_command_is_installed_by_its_name(name: str, target: str) -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert project["name"] == "tulipnotch"
    assert project["scripts"] == {name: target}
    assert set(project["optional-dependencies"]) == {"operator", "cli", "lab", "dev"}
