"""What came of every request: histograms, rows a second, and the metrics that expectations name.

Latencies are HDR histograms (3 digits, 1 us to 10 minutes) and count from the intended send of the first try.
Only requests whose intended send lies after the warm-up count.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

from hdrh.histogram import HdrHistogram

from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.load import Ask, Ending
from tulipnotch.lab.scenario import Scenario

Number = TypeVar("Number", int, float)

_LONGEST_US = 600_000_000
PERCENTILES = {"p50_ms": 50.0, "p90_ms": 90.0, "p99_ms": 99.0, "p999_ms": 99.9}


def histogram() -> Any:
    """An empty histogram of microseconds."""
    return HdrHistogram(1, _LONGEST_US, 3)


@dataclass(slots=True)
class Totals:
    """Sums over some requests."""

    asked: int = 0
    worth_asked: float = 0.0
    worth_served: float = 0.0
    in_time: int = 0
    endings: dict[Ending, int] = field(default_factory=lambda: dict.fromkeys(Ending, 0))

    def part(self, how: Ending) -> float:
        return self.endings[how] / self.asked if self.asked else 0.0


class Recorder:
    """One run's figures."""

    def __init__(self, given: Scenario, quotas: dict[str, float]) -> None:
        self._given = given
        self._from = int(given.warmup_s * 1e6)
        seconds = int(given.seconds) + 1
        names = [each.name for each in given.classes]
        self.all = Totals()
        self.by_class = {name: Totals() for name in names}
        self.by_tenant = {each.name: Totals() for each in given.tenants}
        self.latency = histogram()
        self.latency_by_class = {name: histogram() for name in names}
        self.rows = [dict.fromkeys(("asked", *(each.value for each in Ending)), 0) for _ in range(seconds)]
        self.worth_rows = [[0.0, 0.0] for _ in range(seconds)]
        self._latencies: dict[str, list[list[int]]] = {name: [[] for _ in range(seconds)] for name in names}
        self._buckets = {name: [quota, 0.0, quota] for name, quota in quotas.items()}  # left, at, rate
        self.first_tries = 0  # these five count the warm-up too
        self.tries = 0
        self.attempts = 0
        self.crossings = 0
        self.handshakes = 0
        self.probes = 0
        self.servers: dict[str, list[tuple[int, int]]] = {}  # by server and second: done, most waiting
        self.choked_us = 0
        self.timeline: list[tuple[float, str]] = []

    def _worth(self, ask: Ask) -> float:
        """What it is worth: beyond its tenant's quota (a bucket of one second of it) but a part."""
        bucket = self._buckets.get(ask.tenant) if ask.tenant is not None else None
        if bucket is None:
            return ask.kind.worth
        left, at, rate = bucket
        now = ask.at / 1e6
        left = min(left + (now - at) * rate, rate)
        within = left >= 1.0
        bucket[0], bucket[1] = left - 1.0 if within else left, now
        return ask.kind.worth * (1.0 if within else self._given.rules.over_share_worth)

    def asked(self, ask: Ask) -> float:
        """A client means to send its first try; give what it is worth."""
        self.first_tries += 1
        return self._worth(ask)

    def ended(self, ask: Ask, worth: float, how: Ending, now: int) -> None:
        """The client has its last answer, or none will come."""
        self.tries += ask.tries
        if ask.at < self._from:
            return
        took = max(now - ask.at, 1)
        in_time = how is Ending.SERVED and took <= ask.kind.aim_ms * 1e3
        name = ask.kind.name
        totals = [self.all, self.by_class[name]]
        if ask.tenant is not None:
            totals.append(self.by_tenant[ask.tenant])
        for each in totals:
            each.asked += 1
            each.worth_asked += worth
            each.endings[how] += 1
            if in_time:
                each.in_time += 1
                each.worth_served += worth
        second = ask.at // 1_000_000
        row = self.rows[second]
        row["asked"] += 1
        row[how.value] += 1
        self.worth_rows[second][0] += worth
        if in_time:
            self.worth_rows[second][1] += worth
        if how is Ending.SERVED:
            bounded = min(took, _LONGEST_US)
            self.latency.record_value(bounded)
            self.latency_by_class[name].record_value(bounded)
            self._latencies[name][second].append(bounded)

    def worst_10s(self) -> float:
        """The least part of the worth that was served in time within any ten seconds."""
        rows = self.worth_rows[int(self._given.warmup_s) : int(self._given.seconds)]
        span = min(10, len(rows))
        parts = []
        for begin in range(len(rows) - span + 1):
            asked = sum(row[0] for row in rows[begin : begin + span])
            if asked > 0.0:
                parts.append(sum(row[1] for row in rows[begin : begin + span]) / asked)
        return min(parts, default=0.0)

    def metrics(self, history: HistoryChecker) -> dict[str, float]:
        """Every metric of `scenario.metric_names`, rounded to six digits."""
        whole, count = self.all, max(self.all.asked, 1)
        first = max(self.first_tries, 1)
        found: dict[str, float] = {
            "rules.broken": history.violated_rule_count,
            **{f"rules.{rule}": broken for rule, broken in history.violation_counts.items()},
            "worth": whole.worth_served / whole.worth_asked if whole.worth_asked else 0.0,
            "worst_10s": self.worst_10s(),
            "requests": whole.asked,
            "choked_s": self.choked_us / 1e6,
            "in_time": whole.in_time / count,
            "served": whole.part(Ending.SERVED),
            "refused": whole.part(Ending.REFUSED),
            "failed": whole.part(Ending.FAILED),
            "tries_per_request": self.tries / first,
            "attempts_per_request": self.attempts / first,
            "crossings_per_request": self.crossings / first,
            "handshakes_per_request": self.handshakes / first,
            "probes_per_request": self.probes / first,
        }
        for name, percentile in PERCENTILES.items():
            found[f"latency.{name}"] = self.latency.get_value_at_percentile(percentile) / 1e3
        for kind, totals in self.by_class.items():
            found[f"class.{kind}.in_time"] = totals.in_time / max(totals.asked, 1)
            for how in (Ending.SERVED, Ending.REFUSED, Ending.FAILED):
                found[f"class.{kind}.{how.value}"] = totals.part(how)
            for name, percentile in PERCENTILES.items():
                value = self.latency_by_class[kind].get_value_at_percentile(percentile)
                found[f"class.{kind}.{name}"] = value / 1e3
        for tenant, totals in self.by_tenant.items():
            found[f"tenant.{tenant}.in_time"] = totals.in_time / max(totals.asked, 1)
        return {name: round(float(value), 6) for name, value in sorted(found.items())}

    def series(self) -> dict[str, Any]:
        """Rows a second, for plots."""
        percentiles: dict[str, dict[str, list[float | None]]] = {}
        for name, seconds in self._latencies.items():
            ordered = [sorted(each) for each in seconds]
            percentiles[name] = {
                label: [at_rank(each, part) / 1e3 if each else None for each in ordered]
                for label, part in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99))
            }
        return {
            "rows": self.rows,
            "worth": [[round(a, 3), round(b, 3)] for a, b in self.worth_rows],
            "latency_ms": percentiles,
            "servers": dict(sorted(self.servers.items())),
            "timeline": self.timeline,
        }


def at_rank(ordered: Sequence[Number], part: float) -> Number:
    """The quantile by rank, without interpolation; `ordered` ascends and is not empty."""
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]
