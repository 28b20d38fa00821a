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
    """The results of one seed.

    Attributes:
        seed: The seed.
        metrics: Values by metric name.
        violations: The texts of the first violations, by rule.
        series: The time series for plots, one row a second.
        invalid: Why the results must not be used (the load generator was late); empty if they are valid.
        lateness_ms: Percentiles of the lateness of the load generator; only in real time.
    """

    seed: int
    metrics: dict[str, float]
    violations: dict[str, list[str]] = msgspec.field(name="breaches")
    series: dict[str, Any]
    invalid: str = ""
    lateness_ms: dict[str, float] = {}


class ExpectationResult(msgspec.Struct, kw_only=True):
    """One expectation, which holds if it holds for every seed.

    Attributes:
        text: The expectation.
        holds: Whether it holds.
        worst: The metric's worst value of all seeds.
    """

    text: str
    holds: bool
    worst: float


class Result(msgspec.Struct, kw_only=True):
    """All seeds of a scenario with one policy, in virtual or in real time."""

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
        """Whether every expectation holds and every run is valid."""
        return all(each.holds for each in self.expectations) and not self.invalid

    @property
    def invalid(self) -> str:
        """Why the results of the first invalid run must not be used; empty if all runs are valid."""
        return next((run.invalid for run in self.runs if run.invalid), "")

    def values(self, metric: str) -> list[float]:
        """Returns the metric's value of each run."""
        return [run.metrics[metric] for run in self.runs]

    def mean(self, metric: str) -> float:
        """Returns the metric's mean over the runs."""
        values = self.values(metric)
        return math.fsum(values) / len(values)


def check_expectations(scenario: Scenario, runs: Sequence[Run]) -> list[ExpectationResult]:
    """Checks each expectation of the scenario against each seed."""
    expectation_results = []
    for expectation in scenario.expectations:
        values = [run.metrics[expectation.metric] for run in runs]
        worst = max(values) if expectation.comparison in ("<=", "<", "=") else min(values)
        holds = all(expectation.holds(run.metrics) for run in runs)
        expectation_results.append(ExpectationResult(text=str(expectation), holds=holds, worst=worst))
    return expectation_results


def write(result: Result, path: Path) -> None:
    """Writes the result as JSON with sorted keys."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result, order="sorted"), indent=1) + b"\n")


def read(path: Path) -> Result:
    """Reads a result, given its file or its folder.

    Raises:
        InvalidFileError: The file cannot be read or is not a result.
    """
    file = path / "result.json" if path.is_dir() else path
    try:
        return msgspec.json.decode(file.read_bytes(), type=Result)
    except OSError as error:
        raise InvalidFileError(str(file), [Fault(0, "", f"cannot be read: {error.strerror}")]) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise InvalidFileError(str(file), [Fault(0, "", f"is not a result: {error}")]) from None
