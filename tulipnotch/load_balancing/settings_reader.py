"""Reads `Settings` from plain nested mappings, and names the key of each value that is invalid."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any, TypeVar

from tulipnotch.load_balancing.settings import (
    CostWeights,
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    Limits,
    NominalCapacity,
    ObjectiveWeights,
    PriorityWeightBasis,
    ReportSource,
    Rules,
    ServiceClass,
    Settings,
    Tenant,
)


def settings_from_mapping(given: Mapping[str, Any], faults: list[str] | None = None) -> Settings:
    """Read settings from plain nested mappings; raise ValueError, naming the key, on nonsense.

    Given a list, every fault is added to it instead; the settings are then of use only if it stays empty.
    """
    top = _Reader(given, "settings", faults)
    classes = tuple(_service_class(each) for each in top.parts("classes"))
    if not classes:
        top.complain("classes: at least one class of requests is needed")
    tenants = tuple(
        Tenant(each.text("name"), each.number("weight", 1.0), each.number("quota_per_s", 0.0))
        for each in top.parts("tenants")
    )
    for label, names in (("classes", [c.name for c in classes]), ("tenants", [t.name for t in tenants])):
        if len(set(names)) != len(names):
            top.complain(f"{label}: a name stands twice")
    report = top.part("report")
    limits, rules, prices = top.part("limits"), top.part("rules"), top.part("cost_weights")
    goal, habits, domain = top.part("objective_weights"), top.part("client_habits"), top.part("domain")
    return Settings(
        classes=classes,
        tenants=tenants,
        zone=top.text("zone", ""),
        instance_index=top.whole("instance_index", -1),
        instance_count=top.whole("instance_count", 1, low=1),
        clock_resolution_us=top.whole("clock_resolution_us", 1_000, low=1),
        discovery_mode=top.choice("discovery_mode", DiscoveryMode, DiscoveryMode.POLLED),
        nominal_capacity=top.choice("nominal_capacity", NominalCapacity, NominalCapacity.UNSPECIFIED),
        priority_weight_basis=top.choice(
            "priority_weight_basis", PriorityWeightBasis, PriorityWeightBasis.REQUEST
        ),
        over_quota_weight=top.number("over_quota_weight", 1.0, high=1.0),
        report_source=report.choice("source", ReportSource, ReportSource.NONE),
        report_columns=report.texts("columns"),
        limits=Limits(
            max_attempts=limits.whole("max_attempts", 1),
            hedged_requests=limits.flag("hedged_requests", False),
            may_cancel=limits.flag("may_cancel", False),
            may_health_check=limits.flag("may_health_check", False),
            may_send_peer_messages=limits.flag("may_send_peer_messages", False),
            retry_after=limits.flag("retry_after", False),
            max_retry_after_us=limits.whole("max_retry_after_us", 0),
            connect_timeout_us=limits.whole("connect_timeout_us", 250_000),
            idle_timeout_us=limits.whole("idle_timeout_us", 15_000_000),
            streams_per_connection=limits.whole("streams_per_connection", 1, low=1),
            max_open_requests=limits.optional_whole("max_open_requests"),
            cpu_us_per_s=limits.optional_whole("cpu_us_per_s"),
            cpu_us_per_request=limits.number("cpu_us_per_request", 0.0),
        ),
        rules=Rules(
            response_slack_us=rules.whole("response_slack_us", 0),
            max_poll_interval_us=rules.whole("max_poll_interval_us", 10_000_000, low=1),
            drain_grace_us=rules.whole("drain_grace_us", 0),
            initial_capacity=rules.number("initial_capacity", 0.1, low=0.001, high=1.0),
            warm_up_us=rules.whole("warm_up_us", 30_000_000),
            overload_multiple=rules.number("overload_multiple", 1.0, low=0.001),
            overload_window_us=rules.whole("overload_window_us", 2_000_000, low=1),
            overloaded_may_have_run=rules.flag("overloaded_may_have_run", False),
            close_idle_within_us=rules.optional_whole("close_idle_within_us"),
        ),
        cost_weights=CostWeights(
            cross_zone=prices.number("cross_zone", 0.0),
            health_check=prices.number("health_check", 0.0),
            peer_message=prices.number("peer_message", 0.0),
            wasted_work=prices.number("wasted_work", 0.0),
            handshake=prices.number("handshake", 0.0),
            connection=prices.number("connection", 0.0),
            discovery=prices.number("discovery", 0.0),
            late_failure=prices.number("late_failure", 0.0),
        ),
        objective_weights=ObjectiveWeights(
            overall=goal.number("overall", 0.0),
            worst_window=goal.number("worst_window", 0.0),
            worst_class=goal.number("worst_class", 0.0),
            worst_tenant=goal.number("worst_tenant", 0.0),
            tail=goal.number("tail", 0.0),
            tail_slack=goal.number("tail_slack", 0.0, high=1.0),
        ),
        machine_types=top.texts("machine_types"),
        clients_mark_retries=habits.flag("mark_retries", False),
        has_key_affinity=domain.flag("has_key_affinity", False),
    )


def _service_class(each: _Reader) -> ServiceClass:
    deadline = each.whole("deadline_us", None, low=1)
    return ServiceClass(
        name=each.text("name"),
        deadline_us=deadline,
        latency_objective_us=min(each.whole("latency_objective_us", deadline, low=1), deadline),
        priority_weight=each.number("priority_weight", 1.0),
        late_priority_weight=each.number("late_priority_weight", 0.0),
        idempotency=each.choice("idempotency", Idempotency, Idempotency.NON_IDEMPOTENT),
        deduplication_scope=each.choice("deduplication_scope", DeduplicationScope, DeduplicationScope.CELL),
        deduplication_window_us=each.whole("deduplication_window_us", 0),
        streaming=each.flag("streaming", False),
        latency_objective_stretch=each.number("latency_objective_stretch", 0.0),
    )


_Choice = TypeVar("_Choice", bound=Enum)


MAX_EXACT_INTEGER = 2**53  # every whole number up to here survives a double


class _Reader:
    """Reads one mapping; each complaint names the path of the key.  A null counts as absent."""

    def __init__(self, given: object, path: str, faults: list[str] | None) -> None:
        self._faults = faults
        if not isinstance(given, Mapping):
            self.complain(f"{path}: a mapping is needed")
            given = {}
        self._given: Mapping[str, Any] = given
        self._path = "" if path == "settings" else path + "."

    def complain(self, text: str) -> None:
        if self._faults is None:
            raise ValueError(text)
        self._faults.append(text)

    def _value(self, key: str) -> Any:
        return self._given.get(key)

    def _nonsense(self, key: str, needed: str) -> None:
        self.complain(f"{self._path}{key}: {needed} is needed, not {self._value(key)!r:.60}")

    def part(self, key: str) -> _Reader:
        value = self._value(key)
        return _Reader({} if value is None else value, self._path + key, self._faults)

    def parts(self, key: str) -> list[_Reader]:
        value = self._value(key)
        if value is None:
            return []
        if not isinstance(value, Sequence) or isinstance(value, (str, bytes)):
            self._nonsense(key, "a list")
            return []
        return [
            _Reader(each, f"{self._path}{key}[{index}]", self._faults) for index, each in enumerate(value)
        ]

    def text(self, key: str, default: str | None = None) -> str:
        value = self._value(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            self._nonsense(key, "a text")
            return default or ""
        return value

    def texts(self, key: str) -> tuple[str, ...]:
        value = self._value(key)
        if value is None:
            return ()
        if (
            not isinstance(value, Sequence)
            or isinstance(value, str)
            or not all(isinstance(each, str) for each in value)
        ):
            self._nonsense(key, "a list of texts")
            return ()
        return tuple(value)

    def flag(self, key: str, default: bool) -> bool:
        value = self._value(key)
        if value is None:
            return default
        if not isinstance(value, bool):
            self._nonsense(key, "true or false")
            return default
        return value

    def number(self, key: str, default: float, low: float = 0.0, high: float = MAX_EXACT_INTEGER) -> float:
        value = self._value(key)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
            self._nonsense(key, f"a number from {low:g} to {high:g}")
            return default
        return float(value)

    def whole(self, key: str, default: int | None, low: int = 0) -> int:
        value = self._value(key)
        if value is None and default is not None:
            return default
        if (
            isinstance(value, bool)
            or not isinstance(value, (int, float))
            or not low <= value <= MAX_EXACT_INTEGER
        ):
            self._nonsense(key, f"a whole number from {low}")
        elif value != int(value):
            self._nonsense(key, "a whole number")
        else:
            return int(value)
        return max(low, 1) if default is None else default

    def optional_whole(self, key: str) -> int | None:
        return None if self._value(key) is None else self.whole(key, None)

    def choice(self, key: str, kind: type[_Choice], default: _Choice) -> _Choice:
        value = self._value(key)
        if value is None:
            return default
        for each in kind:
            if value == each.value:
                return each
        self._nonsense(key, "one of " + ", ".join(str(each.value) for each in kind))
        return default
