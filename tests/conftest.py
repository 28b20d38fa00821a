"""Expects the known failures; checks that each test runs in one of the two pytest runs of `make check`."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import known_red
import pytest


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the two options with which `make check` compares its two runs of pytest."""
    group = parser.getgroup("split runs")
    group.addoption("--ran-to", metavar="FILE", help="write the ids of the tests that ran to FILE")
    group.addoption(
        "--ran-before",
        metavar="FILE",
        help="fail unless each test ran either in this run or in the one that wrote FILE; FILE is removed",
    )


def pytest_configure(config: pytest.Config) -> None:
    """Registers the plugins in the main process only: pytest-xdist workers don't see all tests."""
    if not _is_worker(config):
        config.pluginmanager.register(SplitRunCheck(config), "split_run_check")
        config.pluginmanager.register(
            known_red.KnownFailuresReport(known_red.read(config.rootpath)), "known_red"
        )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the tests of `KNOWN-RED.txt`, and no others, as expected to fail."""
    known_red.mark(items, known_red.read(config.rootpath))


def pytest_runtest_setup(item: pytest.Item) -> None:
    """Fails a test marked `alone` that would run beside others."""
    if _is_worker(item.config) and item.get_closest_marker("alone") is not None:
        pytest.fail(
            "marked `alone`, so it can't run in a pytest-xdist worker: add -m 'not alone' or remove -n"
        )


def _is_worker(config: pytest.Config) -> bool:
    return hasattr(config, "workerinput")


class SplitRunCheck:
    """Compares the tests that ran in this run and in the previous one with the tests that were collected."""

    def __init__(self, config: pytest.Config) -> None:
        self._output_file: str | None = config.getoption("--ran-to")
        self._previous_file: str | None = config.getoption("--ran-before")
        self._collected: set[str] = set()
        self._ran: set[str] = set()
        self._differences: list[str] = []
        if self._output_file is not None:
            Path(self._output_file).unlink(missing_ok=True)

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: Sequence[pytest.Item]) -> None:
        """Records what was collected, before a marker expression deselects any."""
        self._collected.update(each.nodeid for each in items)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Records each test that was called, was skipped, or failed during its setup."""
        if report.when == "call" or not report.passed:
            self._ran.add(_without_group(report.nodeid))

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Writes which tests ran, or compares them; a difference fails a run that would have passed."""
        if self._output_file is not None:
            Path(self._output_file).parent.mkdir(parents=True, exist_ok=True)
            Path(self._output_file).write_text(
                "".join(f"{each}\n" for each in sorted(self._ran)), encoding="utf-8"
            )
        if self._previous_file is not None:
            self._compare(Path(self._previous_file))
        if self._differences and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def _compare(self, path: Path) -> None:
        try:
            ran_before = set(path.read_text(encoding="utf-8").splitlines())
        except FileNotFoundError:
            self._differences.append(f"{path} is missing: the previous run did not end")
            return
        path.unlink()
        self._differences += [
            f"never ran: {each}" for each in sorted(self._collected - ran_before - self._ran)
        ]
        self._differences += [f"ran in both runs: {each}" for each in sorted(ran_before & self._ran)]
        self._differences += [
            f"ran but was not collected: {each}" for each in sorted(ran_before - self._collected)
        ]

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Prints how many tests ran in the two runs together, and each difference that was found."""
        if self._previous_file is not None and not self._differences:
            terminalreporter.write_line(f"all {len(self._collected)} tests ran, in two runs")
        for each in self._differences:
            terminalreporter.write_line(each, red=True)


def _without_group(nodeid: str) -> str:
    """Returns a test id without the group that pytest-xdist adds to it."""
    return nodeid[: nodeid.rfind("@")] if nodeid.rfind("@") > nodeid.rfind("]") else nodeid
