"""Of both calls of pytest in `make check`: which tests may fail, and that each ran in one of them."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import known_red
import pytest


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the two options with which `make check` compares its two calls."""
    group = parser.getgroup("calls")
    group.addoption("--ran-to", metavar="FILE", help="write the ids of the tests that ran to FILE")
    group.addoption(
        "--ran-before",
        metavar="FILE",
        help="fail unless each test ran either in this call or in the one that wrote FILE; FILE is removed",
    )


def pytest_configure(config: pytest.Config) -> None:
    """Count in the process that hears of all tests, which is no worker of pytest-xdist."""
    if not _is_worker(config):
        config.pluginmanager.register(Calls(config), "calls")
        config.pluginmanager.register(
            known_red.KnownFailuresReport(known_red.read(config.rootpath)), "known_red"
        )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Let the tests of `KNOWN-RED.txt` fail, and no others."""
    known_red.mark(items, known_red.read(config.rootpath))


def pytest_runtest_setup(item: pytest.Item) -> None:
    """Refuse to run a test marked `alone` beside others."""
    if _is_worker(item.config) and item.get_closest_marker("alone") is not None:
        pytest.fail("marked `alone`, so it runs in no worker: add -m 'not alone', or leave out -n")


def _is_worker(config: pytest.Config) -> bool:
    return hasattr(config, "workerinput")


class Calls:
    """The tests that ran in this call, beside those that it collected and those of the call before."""

    def __init__(self, config: pytest.Config) -> None:
        self._to: str | None = config.getoption("--ran-to")
        self._before: str | None = config.getoption("--ran-before")
        self._collected: set[str] = set()
        self._ran: set[str] = set()
        self._faults: list[str] = []
        if self._to is not None:
            Path(self._to).unlink(missing_ok=True)

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: Sequence[pytest.Item]) -> None:
        """Note what was collected, before a marker's expression leaves any out."""
        self._collected.update(each.nodeid for each in items)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note each test that was called, skipped, or failed before its call."""
        if report.when == "call" or not report.passed:
            self._ran.add(_without_group(report.nodeid))

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Write what ran, or compare it; a difference fails a call that would have passed."""
        if self._to is not None:
            Path(self._to).parent.mkdir(parents=True, exist_ok=True)
            Path(self._to).write_text("".join(f"{each}\n" for each in sorted(self._ran)), encoding="utf-8")
        if self._before is not None:
            self._compare(Path(self._before))
        if self._faults and session.exitstatus == pytest.ExitCode.OK:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def _compare(self, path: Path) -> None:
        try:
            before = set(path.read_text(encoding="utf-8").splitlines())
        except FileNotFoundError:
            self._faults.append(f"{path} is missing: the call before did not end")
            return
        path.unlink()
        self._faults += [f"never ran: {each}" for each in sorted(self._collected - before - self._ran)]
        self._faults += [f"ran in both calls: {each}" for each in sorted(before & self._ran)]
        self._faults += [f"ran but was not collected: {each}" for each in sorted(before - self._collected)]

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Say how many ran in both calls, and what is wrong with that."""
        if self._before is not None and not self._faults:
            terminalreporter.write_line(f"all {len(self._collected)} tests ran, in two calls")
        for each in self._faults:
            terminalreporter.write_line(each, red=True)


def _without_group(nodeid: str) -> str:
    """The id without the group that pytest-xdist adds to it."""
    return nodeid[: nodeid.rfind("@")] if nodeid.rfind("@") > nodeid.rfind("]") else nodeid
