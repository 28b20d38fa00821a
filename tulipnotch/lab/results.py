"""What a run leaves: one object for all seeds, written as `result.json`, and what was expected of it.

In virtual time the same scenario, policy and seeds give the same bytes: nothing of the machine or the hour
is in it.  In real time each run also carries how late the generator was.
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
    """One seed's figures."""

    seed: int
    metrics: dict[str, float]
    breaches: dict[str, list[str]]  # by rule: the first of them, in words
    series: dict[str, Any]
    invalid: str = ""  # why the figures say nothing: the generator ran late
    lateness_ms: dict[str, float] = {}  # of the generator, in real time


class Verdict(msgspec.Struct, kw_only=True):
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
    verdicts: list[Verdict] = []

    @property
    def holds(self) -> bool:
        return all(each.holds for each in self.verdicts) and not self.invalid

    @property
    def invalid(self) -> str:
        return next((each.invalid for each in self.runs if each.invalid), "")

    def values(self, metric: str) -> list[float]:
        return [each.metrics[metric] for each in self.runs]

    def mean(self, metric: str) -> float:
        values = self.values(metric)
        return math.fsum(values) / len(values)


def judge(given: Scenario, runs: Sequence[Run]) -> list[Verdict]:
    """Each expectation against each seed."""
    found = []
    for each in given.expectations:
        values = [run.metrics[each.metric] for run in runs]
        worst = max(values) if each.comparison in ("<=", "<", "=") else min(values)
        holds = all(each.holds(run.metrics) for run in runs)
        found.append(Verdict(text=str(each), holds=holds, worst=worst))
    return found


def write(result: Result, path: Path) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result, order="sorted"), indent=1) + b"\n")


def read(path: Path) -> Result:
    """Read a result, given its file or its folder; raise `BadFile` on nonsense."""
    file = path / "result.json" if path.is_dir() else path
    try:
        return msgspec.json.decode(file.read_bytes(), type=Result)
    except OSError as fault:
        raise InvalidFileError(str(file), [Fault(0, "", f"can't be read: {fault.strerror}")]) from None
    except (msgspec.DecodeError, UnicodeDecodeError) as fault:
        raise InvalidFileError(str(file), [Fault(0, "", f"is no result: {fault}")]) from None
