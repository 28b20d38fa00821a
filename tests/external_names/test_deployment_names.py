"""Pins `deploy/balancer.toml` and the package metadata: keys, commands, and lists of all program files."""

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
# Before its handler is installed, SIGHUP would end the process; the shell's setting survives `exec`.
IGNORE_SIGHUP = "trap '' HUP; "
# Prints the modules that `run` and `sim` import, without those imported only if there is an operator file.
# Those of `handover` are imported only if a listening socket was inherited.
LIST_LOADED_MODULES_SCRIPT = """
import json, runpy, sys
import {run}.program, {run}.handover.handover, {sim}
print(json.dumps([each for each in sys.modules if each.split(".")[0] == {package!r}]))
"""


def module_name(command: str) -> str:
    match = re.fullmatch(r"exec (?:env PYTHONDONTWRITEBYTECODE=1 )?\.venv/bin/python -m ([a-z_.]+)", command)
    assert match is not None, command
    return match[1]


def covered_files(key: str) -> set[Path]:
    """Returns the files that a list of the deploy file names, either directly or by their folder."""
    files: set[Path] = set()
    for each in DEPLOY[key]:
        path = ROOT / each
        assert path.exists(), each
        named_files = set(path.rglob("*.py")) if path.is_dir() else {path}
        assert named_files and not named_files & files, each
        files |= named_files
    return files


def test_deploy_file_has_the_keys_of_the_platform() -> None:
    assert set(DEPLOY) == {"build", "run", "sim", "policy", "node", "packages"}
    assert all(isinstance(DEPLOY[key], str) for key in ("build", "run", "sim"))
    assert all(isinstance(DEPLOY[key], list) for key in ("policy", "node", "packages"))
    assert DEPLOY["packages"] == []


def test_run_command_is_one_exec_of_the_sidecar() -> None:
    assert DEPLOY["run"] == IGNORE_SIGHUP + "exec .venv/bin/python -m tulipnotch.sidecar"
    assert DEPLOY["run"].split().count("exec") == 1
    assert not set(DEPLOY["run"].removeprefix(IGNORE_SIGHUP)) & set(";&|$`()<>\n")


def test_build_command_compiles_existing_paths() -> None:
    compiled = DEPLOY["build"].partition("compileall -q ")[2].split()
    assert compiled
    assert all((ROOT / each).exists() for each in compiled)
    files = {file for each in compiled for file in [ROOT / each, *(ROOT / each).rglob("*.py")]}
    assert covered_files("policy") | covered_files("node") <= files
    assert (ROOT / "requirements.txt").exists()
    assert "install -r requirements.txt" in DEPLOY["build"]


def test_sim_command_responds_when_run_by_the_shell() -> None:
    shell_command = DEPLOY["sim"].replace(".venv/bin/python", sys.executable)
    result = subprocess.run(
        ["/bin/sh", "-c", shell_command], input='["FRAME",8412250]\n["COMMIT"]\n',
        cwd=ROOT, capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    assert (result.returncode, result.stdout, result.stderr) == (0, '["DONE"]\n', "")


def test_policy_and_node_list_every_file_of_the_packages_that_run_and_sim_import() -> None:
    policy, node = covered_files("policy"), covered_files("node")
    assert not policy & node
    script = LIST_LOADED_MODULES_SCRIPT.format(
        run=module_name(DEPLOY["run"].removeprefix(IGNORE_SIGHUP)),
        sim=module_name(DEPLOY["sim"]),
        package=PACKAGE,
    )
    loaded_modules = json.loads(
        subprocess.run(
            [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
        ).stdout
    )
    folders = {ROOT / each.replace(".", "/") for each in loaded_modules}
    files = {file for folder in folders if folder.is_dir() for file in folder.glob("*.py")}
    assert len(files) > 10
    assert files == policy | node


@pytest.mark.parametrize(("name", "target"), [("tulipnotch", "tulipnotch.cli:main")])
def test_package_installs_command_by_its_name(name: str, target: str) -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert project["name"] == "tulipnotch"
    assert project["scripts"] == {name: target}
    assert set(project["optional-dependencies"]) == {"operator", "cli", "lab", "dev"}
