"""The result of a scenario: one object for all seeds, written as `result.json`, and its expectations.

In virtual time the same scenario, policy and seeds give the same bytes: nothing of the machine or the time of
day is included.  In real time each run also contains the lateness of the load generator.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Literal

import msgspec

from tulipnotch.lab.scenario import Scenario
from tulipnotch.settings.check import Fault, InvalidFileError


class Run(msgspec.Struct, kw_only=True):
    """The figures of one seed.

    Attributes:
        seed: The seed.
        metrics: Values by metric name.
        violations: The texts of the first violations, by rule.
        series: Rows a second, for plots.
        invalid: Why the figures must not be used (the load generator was late); empty if they may.
        lateness_ms: Percentiles of the load generator's lateness, in real time only.
    """

    seed: int
    metrics: dict[str, float]
    violations: dict[str, list[str]] = msgspec.field(name="breaches")
    series: dict[str, Any]
    invalid: str = ""
    lateness_ms: dict[str, float] = {}


class ExpectationResult(msgspec.Struct, kw_only=True):
    """One expectation: it holds if it holds for every seed."""

    text: str
    holds: bool
    worst: float


class Result(msgspec.Struct, kw_only=True):
    """All seeds of a scenario under one policy in one kind of time."""

    scenario: str
    about: str
    time: Literal["virtual", "real"]
    policy: str
    seconds: float
    warmup_s: float
    runs: list[Run]
    expectations: list[ExpectationResult] = msgspec.field(name="verdicts", default_factory=list)

    @property
    def holds(self) -> bool:
        """Whether every expectation holds and the figures are valid."""
        return all(each.holds for each in self.expectations) and not self.invalid

    @property
    def invalid(self) -> str:
        """Why the figures of the first invalid run must not be used; empty if all are valid."""
        return next((run.invalid for run in self.runs if run.invalid), "")

    def values(self, metric: str) -> list[float]:
        """Return the metric's value of each run."""
        return [run.metrics[metric] for run in self.runs]

    def mean(self, metric: str) -> float:
        """Return the metric's mean over the runs."""
        values = self.values(metric)
        return math.fsum(values) / len(values)


def check_expectations(scenario: Scenario, runs: Sequence[Run]) -> list[ExpectationResult]:
    """Check each expectation of the scenario against each seed."""
    found = []
    for expectation in scenario.expectations:
        values = [run.metrics[expectation.metric] for run in runs]
        worst = max(values) if expectation.comparison in ("<=", "<", "=") else min(values)
        holds = all(expectation.holds(run.metrics) for run in runs)
        found.append(ExpectationResult(text=str(expectation), holds=holds, worst=worst))
    return found


def write(result: Result, path: Path) -> None:
    """Write the result as JSON with sorted keys."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result, order="sorted"), indent=1) + b"\n")


def read(path: Path) -> Result:
    """Read a result, given its file or its folder.

    Raises:
        InvalidFileError: The file can't be read, or is no result.
    """
    file = path / "result.json" if path.is_dir() else path
    try:
        return msgspec.json.decode(file.read_bytes(), type=Result)
    except OSError as error:
        raise InvalidFileError(str(file), [Fault(0, "", f"can't be read: {error.strerror}")]) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidFileError(str(file), [Fault(0, "", f"is no result: {error}")]) from None
