"""Whether cold servers are kept within their budget by the SUM of all processes, in virtual time.

    python -m benchmarks.cold [--processes 5,20,30,200] [--budgets 1,3,12,50] [--seeds 1-10] [--json]

`--cases "A;B"` plays some of the cases only.  N is what the settings allow a cold server within the fall
time: the multiple, times its warmth now, times its capacity, in requests of mean work.  Beyond N only
2 x root N + 2 are chance; a start of a server has fallen where any fall time holds more, two thirds of it
from processes told of the start.  It then does go down and stays so, and the worth served pays for it.
For each case, number of processes and N at a server's start: the largest excess over N in roots of N, the
largest part of N + 2 x root N + 2 that was used, starts that fell, and the part of the worth served.
"""

from __future__ import annotations

import argparse
import json
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from typing import Any

import msgspec

from tulipnotch.lab.policies import POLICIES
from tulipnotch.lab.scenario import Scenario
from tulipnotch.lab.server import OrderServer
from tulipnotch.lab.virtual import World

_START_S, _LISTED_S = 5.0, 5.3  # when cold servers start, and when the list first says so
_COLD_FROM, _MULTIPLE, _FALL_S = 0.15, 2.5, 1.0
_CORES = {1: 1, 3: 2, 12: 4, 50: 8}  # by N at the start; the work of a request follows from both
_LATE_BURST = [[0.0, 1.0], [_START_S - 1.0, 0.05], [_START_S + 5.0, 2.5]]
_BURST = [[0.0, 1.0], [_START_S - 1.0, 0.1], [_START_S + 2.0, 2.0]]  # after a quiet stretch

# What each case changes in a fleet of eight, three of which start cold under seven tenths of the load.
CASES: Mapping[str, Mapping[str, Any]] = {
    "plain": {},
    "heavy": {"load": {"hints": True}, "work_cv": 2.0},
    "classes": {"unlike": True},
    "uneven": {"load": {"skew": 2.0}},
    "late lists": {"listed_over_s": 4.0},
    "choke": {
        "load": {"utilisation": 1.0},
        "fleet": {"choke": {"at": 1.0, "over_s": 0.3, "slower": 3.0}},
    },
    "herd": {"part": 0.9, "load": {"utilisation": 0.9}},
    "wide herd": {"part": 0.9, "fleet": {"servers": 40}, "load": {"utilisation": 0.9}},
    "all cold": {"part": 1.0},
    "restart": {"restart": True},
    "burst": {"load": {"factors": _BURST}},
    "all cold, burst": {"part": 1.0, "load": {"factors": _BURST}},
    "all cold, late burst": {"part": 1.0, "load": {"factors": _LATE_BURST}},
    "all cold, heavy": {"part": 1.0, "load": {"hints": True}, "work_cv": 2.0},
    "all cold, uneven": {"part": 1.0, "load": {"skew": 2.0}},
    "all cold, restart": {"part": 1.0, "restart": True},
    "all cold, wide": {"part": 1.0, "fleet": {"servers": 40}},
}


@dataclass(frozen=True, slots=True)
class Found:
    """One case, number of processes and N, over all seeds."""

    case: str
    processes: int
    budget: int  # N when the server has just started
    seeds: int
    starts: int  # of cold servers
    excess: float  # the largest, beyond N, in roots of N
    of_allowed: float  # the most that any fall time held, as a part of N + 2 x root N + 2
    fallen: int
    worth: float  # the part of the worth that was served, mean of the seeds


def world(case: str, processes: int, budget: int, seconds: float = 12.0) -> Scenario:
    """The scenario of a case whose cold servers bear `budget` requests in a fall time when they start."""
    change = CASES[case]
    cores = _CORES.get(budget, 4)
    work_ms = _MULTIPLE * _COLD_FROM * _FALL_S * cores / budget * 1e3
    one = {
        "name": "look", "work_ms": work_ms, "work_cv": change.get("work_cv", 0.5),
        "aim_ms": 4.0 * work_ms + 200.0, "deadline_ms": 10.0 * work_ms + 500.0,
    }  # fmt: skip
    classes = [one]
    if change.get("unlike"):  # a class of light requests and one of heavy ones; the mean is as before
        classes = [
            {**one, "share": 0.85, "work_ms": 0.4 * work_ms},
            {**one, "name": "heavy", "share": 0.15, "work_ms": 4.4 * work_ms},
        ]
    faults: list[dict[str, Any]] = [
        {"kind": "crash", "at_s": 2.0, "for_s": _START_S - 2.0, "part": change.get("part", 0.375)}
    ]
    if change.get("restart"):
        faults.append({"kind": "restart", "at_s": _START_S, "for_s": 0.01, "part": 1.0})
    calls = 3 * processes / change["listed_over_s"] if "listed_over_s" in change else 1e5
    given = {
        "name": "cold", "seconds": seconds, "warmup_s": 0.5, "classes": classes, "faults": faults,
        "fleet": {
            "servers": 8, "sidecars": processes, "kinds": [{"name": "k", "cores": cores}],
            "cold_from": _COLD_FROM, "cold_spread": 0.0, "fall_multiple": _MULTIPLE, "fall_s": _FALL_S,
            **change.get("fleet", {}),
        },
        "load": {"utilisation": 0.7, **change.get("load", {})},
        "discovery": {
            "crash_notice_s": 0.1, "add_notice_s": _LISTED_S - _START_S, "calls_per_s": calls,
            "timeout_s": 20.0,
        },
    }  # fmt: skip
    return msgspec.convert(given, Scenario)


class Watch:
    """Hears what cold servers are sent, and holds it against N + 2 x root N + 2."""

    def __init__(self, given: Scenario, seed: int, policy: str = "module") -> None:
        self.world = World(given, seed, POLICIES[policy])
        self._mean_us = given.mean_work_s * 1e6
        self.excess = -math.inf
        self.of_allowed = 0.0
        self.starts: set[tuple[str, int]] = set()
        self.fallen: set[tuple[str, int]] = set()
        for server in self.world.servers:
            server.falls = self._falls

    def _falls(self, server: OrderServer, sent_us: float, bearable_us: float) -> bool:
        started_at = server.started_at or 0
        self.starts.add((server.name, started_at))
        if not self.world.history.was_notified(server.name, started_at, server.sent_by()):
            return False
        bears, sent = bearable_us / self._mean_us, sent_us / self._mean_us
        allowed = bears + 2.0 * math.sqrt(bears) + 2.0
        self.excess = max(self.excess, (sent - bears) / math.sqrt(bears))
        self.of_allowed = max(self.of_allowed, sent / allowed)
        if sent <= allowed:
            return False
        self.fallen.add((server.name, started_at))
        return True


def measure(case: str, processes: int, budget: int, seeds: Sequence[int]) -> Found:
    """Play one cell of the table."""
    given = world(case, processes, budget)
    watches = [Watch(given, seed) for seed in seeds]
    worth = 0.0
    for each in watches:
        each.world.run()
        worth += each.world.recorder.metrics(each.world.history)["worth"]
    return Found(
        case, processes, budget, len(seeds),
        starts=sum(len(each.starts) for each in watches),
        excess=round(max(each.excess for each in watches), 2),
        of_allowed=round(max(each.of_allowed for each in watches), 2),
        fallen=sum(len(each.fallen) for each in watches),
        worth=round(worth / len(watches), 4),
    )  # fmt: skip


def table(found: Iterable[Found]) -> Iterable[str]:
    yield "| case | processes | N | starts | excess, roots of N | of the allowed | fell | worth |"
    yield "|" + " --- |" * 8
    for e in found:
        yield (
            f"| {e.case} | {e.processes} | {e.budget} | {e.starts} | {e.excess:.2f} | {e.of_allowed:.2f}"
            f" | {e.fallen} | {e.worth:.4f} |"
        )


def _numbers(text: str) -> list[int]:
    return [int(each) for each in text.split(",")]


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--processes", type=_numbers, default=[5, 20, 30, 200])
    parser.add_argument("--budgets", type=_numbers, default=[1, 3, 12, 50], help="N when a server starts")
    parser.add_argument("--seeds", default="1-10", help="FIRST-LAST")
    parser.add_argument("--cases", default=";".join(CASES))
    parser.add_argument("--json", action="store_true", help="one line for each cell, in place of a table")
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    cells = (
        measure(case, processes, budget, seeds)
        for case in given.cases.split(";")
        for budget in given.budgets
        for processes in given.processes
    )
    for line in (json.dumps(asdict(each)) for each in cells) if given.json else table(cells):
        print(line, flush=True)


if __name__ == "__main__":
    main()
