"""Records how every request of a run ended: totals, latency histograms, time series, and the metrics.

Latencies are stored in HDR histograms (3 digits, 1 us to 10 minutes) and count from the time at which the
first try should have been sent.  Requests that should have been sent during the warm-up are left out.  The
keys of metrics and series are those of result files and expectations.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, TypeVar

from hdrh.histogram import HdrHistogram

from tulipnotch.lab.history_checker import HistoryChecker
from tulipnotch.lab.load import ClientRequest, RequestOutcome
from tulipnotch.lab.scenario import Scenario

Number = TypeVar("Number", int, float)

_MAX_LATENCY_US = 600_000_000
_WORST_WINDOW_S = 10
_PERCENTILES = {"p50_ms": 50.0, "p90_ms": 90.0, "p99_ms": 99.0, "p999_ms": 99.9}


def new_latency_histogram() -> Any:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(1, _MAX_LATENCY_US, 3)


@dataclass(slots=True)
class RequestTotals:
    """Sums over a group of requests.

    Attributes:
        request_count: The number of requests.
        weight_requested: The sum of their priority weights.
        weight_in_time: The sum of the priority weights of requests served within their latency objective.
        in_time_count: The number of requests served within their latency objective.
        outcomes: The number of requests by outcome.
    """

    request_count: int = 0
    weight_requested: float = 0.0
    weight_in_time: float = 0.0
    in_time_count: int = 0
    outcomes: dict[RequestOutcome, int] = field(default_factory=lambda: dict.fromkeys(RequestOutcome, 0))

    def add(self, outcome: RequestOutcome, weight: float, *, is_in_time: bool) -> None:
        """Counts one request with its priority weight."""
        self.request_count += 1
        self.weight_requested += weight
        self.outcomes[outcome] += 1
        if is_in_time:
            self.in_time_count += 1
            self.weight_in_time += weight

    def ratio(self, outcome: RequestOutcome) -> float:
        """Returns the ratio of requests with this outcome, 0 without requests."""
        return self.outcomes[outcome] / self.request_count if self.request_count else 0.0

    @property
    def in_time_ratio(self) -> float:
        """The ratio of requests that were served within their latency objective, 0 without requests."""
        return self.in_time_count / max(self.request_count, 1)

    @property
    def weight_ratio(self) -> float:
        """The ratio of the priority weight that was served in time, 0 without requests."""
        return self.weight_in_time / self.weight_requested if self.weight_requested else 0.0


@dataclass(slots=True)
class RunCounters:
    """Counters over the whole run, including the warm-up."""

    first_tries: int = 0
    tries: int = 0
    attempts: int = 0
    cross_zone_attempts: int = 0
    handshakes: int = 0
    health_checks: int = 0
    overloaded_us: int = 0  # the time that servers were overloaded, summed over the servers


@dataclass(slots=True)
class _QuotaBucket:
    """A token bucket that holds at most one second of a tenant's quota."""

    rate_per_s: float
    tokens: float
    updated_at_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Takes a token, and returns whether there was one."""
        self.tokens = min(self.tokens + (now_s - self.updated_at_s) * self.rate_per_s, self.rate_per_s)
        self.updated_at_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class TimeSeries:
    """Owns the time series of a run: one row a second.

    A request counts in the second in which its first try should have been sent.

    Attributes:
        servers: For each server and second: the number of responses, and the maximum length of the queue.
        timeline: The fault events of the run: second and text.
    """

    def __init__(self, seconds: int, class_names: Sequence[str]) -> None:
        """Starts with empty rows for this many seconds."""
        self._rows = [
            dict.fromkeys(("asked", *(each.value for each in RequestOutcome)), 0) for _ in range(seconds)
        ]
        self._weights = [[0.0, 0.0] for _ in range(seconds)]  # requested, served in time
        self._latencies_us: dict[str, list[list[int]]] = {
            name: [[] for _ in range(seconds)] for name in class_names
        }
        self.servers: dict[str, list[tuple[int, int]]] = {}
        self.timeline: list[tuple[float, str]] = []

    def add(self, second: int, outcome: RequestOutcome, weight: float, *, is_in_time: bool) -> None:
        """Counts one request with its priority weight."""
        row = self._rows[second]
        row["asked"] += 1
        row[outcome.value] += 1
        weights = self._weights[second]
        weights[0] += weight
        if is_in_time:
            weights[1] += weight

    def add_latency(self, second: int, class_name: str, latency_us: int) -> None:
        """Adds the latency of a request that was served."""
        self._latencies_us[class_name][second].append(latency_us)

    def min_weight_ratio(self, start_s: int, end_s: int) -> float:
        """Returns the minimum ratio of priority weight served in time in any ten seconds of this interval."""
        weights = self._weights[start_s:end_s]
        window_s = min(_WORST_WINDOW_S, len(weights))
        ratios = []
        for start in range(len(weights) - window_s + 1):
            requested = sum(row[0] for row in weights[start : start + window_s])
            if requested > 0.0:
                ratios.append(sum(row[1] for row in weights[start : start + window_s]) / requested)
        return min(ratios, default=0.0)

    def to_result(self) -> dict[str, Any]:
        """Returns the series in the form of result files."""
        percentiles: dict[str, dict[str, list[float | None]]] = {}
        for name, seconds in self._latencies_us.items():
            ordered = [sorted(latencies) for latencies in seconds]
            percentiles[name] = {
                label: [
                    value_at_rank(latencies, fraction) / 1e3 if latencies else None for latencies in ordered
                ]
                for label, fraction in (("p50", 0.5), ("p90", 0.9), ("p99", 0.99))
            }
        return {
            "rows": self._rows,
            "worth": [[round(requested, 3), round(served, 3)] for requested, served in self._weights],
            "latency_ms": percentiles,
            "servers": dict(sorted(self.servers.items())),
            "timeline": self.timeline,
        }


class Recorder:
    """Owns the measurements of one run."""

    def __init__(self, scenario: Scenario, quotas: dict[str, float]) -> None:
        """Starts with no requests.

        Args:
            scenario: Gives the classes, the tenants and the length of the run.
            quotas: The quota of each tenant, requests a second.
        """
        class_names = [each.name for each in scenario.classes]
        self._scenario = scenario
        self._warm_up_end = int(scenario.warmup_s * 1e6)
        self._quotas = {name: _QuotaBucket(rate_per_s=quota, tokens=quota) for name, quota in quotas.items()}
        self.total = RequestTotals()
        self._by_class = {name: RequestTotals() for name in class_names}
        self._by_tenant = {each.name: RequestTotals() for each in scenario.tenants}
        self.latency = new_latency_histogram()
        self._latency_by_class = {name: new_latency_histogram() for name in class_names}
        self.counters = RunCounters()
        self.series = TimeSeries(int(scenario.seconds) + 1, class_names)

    def first_try_sent(self, client_request: ClientRequest) -> float:
        """Records that a client sends its first try.

        Returns:
            The request's priority weight, which is reduced beyond its tenant's quota.
        """
        self.counters.first_tries += 1
        bucket = self._quotas.get(client_request.tenant) if client_request.tenant is not None else None
        if bucket is None or bucket.take(client_request.intended_at / 1e6):
            return client_request.service_class.worth
        return client_request.service_class.worth * self._scenario.rules.over_share_worth

    def request_ended(
        self, client_request: ClientRequest, weight: float, outcome: RequestOutcome, now: int
    ) -> None:
        """Records that the client received its last response, or that none will follow.

        Args:
            client_request: The request.
            weight: Its priority weight, from `first_try_sent`.
            outcome: Its outcome.
            now: When it ended, microseconds.
        """
        self.counters.tries += client_request.try_count
        if client_request.intended_at < self._warm_up_end:
            return
        latency_us = max(now - client_request.intended_at, 1)
        is_served = outcome is RequestOutcome.SERVED
        is_in_time = is_served and latency_us <= client_request.service_class.aim_ms * 1e3
        class_name = client_request.service_class.name
        self.total.add(outcome, weight, is_in_time=is_in_time)
        self._by_class[class_name].add(outcome, weight, is_in_time=is_in_time)
        if client_request.tenant is not None:
            self._by_tenant[client_request.tenant].add(outcome, weight, is_in_time=is_in_time)
        second = client_request.intended_at // 1_000_000
        self.series.add(second, outcome, weight, is_in_time=is_in_time)
        if is_served:
            bounded_us = min(latency_us, _MAX_LATENCY_US)
            self.latency.record_value(bounded_us)
            self._latency_by_class[class_name].record_value(bounded_us)
            self.series.add_latency(second, class_name, bounded_us)

    def metrics(self, history: HistoryChecker) -> dict[str, float]:
        """Returns every metric of `scenario.metric_names`, rounded to six decimals."""
        total, counters, scenario = self.total, self.counters, self._scenario
        first_tries = max(counters.first_tries, 1)
        metrics: dict[str, float] = {
            "rules.broken": history.violated_rule_count,
            **{f"rules.{rule}": count for rule, count in history.violation_counts.items()},
            "worth": total.weight_ratio,
            "worst_10s": self.series.min_weight_ratio(int(scenario.warmup_s), int(scenario.seconds)),
            "requests": total.request_count,
            "choked_s": counters.overloaded_us / 1e6,
            "in_time": total.in_time_ratio,
            "served": total.ratio(RequestOutcome.SERVED),
            "refused": total.ratio(RequestOutcome.REJECTED),
            "failed": total.ratio(RequestOutcome.FAILED),
            "tries_per_request": counters.tries / first_tries,
            "attempts_per_request": counters.attempts / first_tries,
            "crossings_per_request": counters.cross_zone_attempts / first_tries,
            "handshakes_per_request": counters.handshakes / first_tries,
            "probes_per_request": counters.health_checks / first_tries,
            **_latency_metrics("latency", self.latency),
        }
        for name, totals in self._by_class.items():
            metrics[f"class.{name}.in_time"] = totals.in_time_ratio
            for outcome in (RequestOutcome.SERVED, RequestOutcome.REJECTED, RequestOutcome.FAILED):
                metrics[f"class.{name}.{outcome.value}"] = totals.ratio(outcome)
            metrics |= _latency_metrics(f"class.{name}", self._latency_by_class[name])
        for tenant, totals in self._by_tenant.items():
            metrics[f"tenant.{tenant}.in_time"] = totals.in_time_ratio
        return {name: round(float(value), 6) for name, value in sorted(metrics.items())}


def _latency_metrics(prefix: str, latency: Any) -> dict[str, float]:
    """Returns the percentiles of a histogram in milliseconds, by metric name."""
    return {
        f"{prefix}.{name}": latency.get_value_at_percentile(percentile) / 1e3
        for name, percentile in _PERCENTILES.items()
    }


def value_at_rank(ordered: Sequence[Number], fraction: float) -> Number:
    """Returns the quantile by rank, without interpolation; `ordered` ascends and is not empty."""
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]
