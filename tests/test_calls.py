"""The check that no test falls between the two calls of `make check` finds those that do."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

CONFTEST = Path(__file__).parent / "conftest.py"
KNOWN_RED = Path(__file__).parent / "known_red.py"
TESTS = """
import pytest

@pytest.mark.xdist_group("pair")
@pytest.mark.parametrize("text", ["one@two", "three"])
def test_together(text):
    pass

@pytest.mark.alone
def test_alone():
    pass

@pytest.mark.later
def test_later():
    pass
"""
RAN_TOGETHER = ["test_it.py::test_together[one@two]", "test_it.py::test_together[three]"]


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """A project with this one's conftest, and tests of three kinds."""
    shutil.copy(CONFTEST, tmp_path)
    shutil.copy(KNOWN_RED, tmp_path)
    (tmp_path / "test_it.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\nmarkers =\n    alone: alone\n    later: later\n")
    return tmp_path


def call(folder: Path, *arguments: str) -> tuple[int, str]:
    """The exit code and the output of one call of pytest there."""
    environ = {name: each for name, each in os.environ.items() if not name.startswith("PYTEST")}
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *arguments],
        cwd=folder,
        env=environ,
        capture_output=True,
        text=True,
        timeout=100,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


def ran_before(folder: Path, selected: str, ran: list[str]) -> tuple[int, str]:
    """A second call that selects so, after a first one in which these ran."""
    (folder / "ran.txt").write_text("".join(f"{each}\n" for each in ran))
    return call(folder, "-m", selected, "--ran-before=ran.txt")


def test_calls_that_run_each_test_once_pass(folder: Path) -> None:
    workers = ("-n", "1", "--dist", "loadgroup", "-m", "not alone and not later")
    assert call(folder, *workers, "--ran-to=ran.txt")[0] == pytest.ExitCode.OK
    assert (folder / "ran.txt").read_text().splitlines() == RAN_TOGETHER
    code, told = call(folder, "-m", "alone or later", "--ran-before=ran.txt")
    assert code == pytest.ExitCode.OK, told
    assert "all 4 tests ran, in two calls" in told, told
    assert not (folder / "ran.txt").exists()  # so that no later call compares itself with this one


def test_calls_that_run_a_test_never_or_twice_fail(folder: Path) -> None:
    code, told = ran_before(
        folder, "alone", [*RAN_TOGETHER, "test_it.py::test_alone", "test_it.py::test_gone"]
    )
    assert code == pytest.ExitCode.TESTS_FAILED
    assert "tests ran, in two calls" not in told
    assert told.count("never ran: ") == 1
    assert "never ran: test_it.py::test_later" in told
    assert told.count("ran in both calls: ") == 1
    assert "ran in both calls: test_it.py::test_alone" in told
    assert "ran but was not collected: test_it.py::test_gone" in told


def test_calls_without_a_first_one_fail(folder: Path) -> None:
    code, told = call(folder, "--ran-before=ran.txt")
    assert code == pytest.ExitCode.TESTS_FAILED
    assert "ran.txt is missing" in told


def test_calls_that_select_nothing_fail(folder: Path) -> None:
    assert ran_before(folder, "alone and later", RAN_TOGETHER)[0] == pytest.ExitCode.NO_TESTS_COLLECTED
    assert call(folder, "-n", "1", "-m", "alone and later")[0] == pytest.ExitCode.NO_TESTS_COLLECTED


def test_calls_run_no_test_marked_alone_in_a_worker(folder: Path) -> None:
    code, told = call(folder, "-n", "1")
    assert code == pytest.ExitCode.TESTS_FAILED, told
    assert "add -m 'not alone'" in told
    assert "1 error" in told
    assert "3 passed" in told


def _run_with_known(folder: Path, known: str) -> subprocess.CompletedProcess[str]:
    (folder / "KNOWN-RED.txt").write_text(known)
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-m",
        "not alone",
        "-p",
        "no:cacheprovider",
        "--strict-markers",
    ]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60, check=False)


def test_known_failure_is_printed_and_passes(folder: Path) -> None:
    (folder / "test_it.py").write_text(TESTS.replace("    pass\n", "    assert False\n", 1))
    done = _run_with_known(folder, "test_it.py::test_together | pytest, seed 7 | a cause | issue 1\n")
    assert done.returncode == pytest.ExitCode.OK, done.stdout
    assert "known red: test_it.py::test_together: a cause (pytest, seed 7; issue 1)" in done.stdout


def test_known_failure_that_passes_fails(folder: Path) -> None:
    done = _run_with_known(folder, "test_it.py::test_together | pytest, seed 7 | a cause | issue 1\n")
    assert done.returncode == pytest.ExitCode.TESTS_FAILED, done.stdout


@pytest.mark.parametrize("known", ["test_it.py::test_together | a cause | issue 1\n", "a | b | c | d\n" * 4])
def test_known_failures_that_are_malformed_or_too_many_run_nothing(folder: Path, known: str) -> None:
    done = _run_with_known(folder, known)
    assert done.returncode not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED)
