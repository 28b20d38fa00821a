"""Scenario files: a fleet, its load, its faults and the expected metrics, in TOML.

They are validated like the operator file.  Times are in the unit that a key's name ends with; a fraction is
between 0 and 1, a `share` is relative to the sum of the shares.  `docs/lab.md` explains every table.
"""

from __future__ import annotations

import operator
import re
import tomllib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from tulipnotch.load_balancing.settings import (
    DeduplicationScope,
    DiscoveryMode,
    Idempotency,
    NominalCapacityMeaning,
    PriorityWeightBasis,
    ReportSource,
)
from tulipnotch.settings.check import Fault, InvalidFileError, ValidatedFile, format_suggestion, read_toml
from tulipnotch.simulator_wire.names import settings_to_wire

Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
PositiveFloat = Annotated[float, Meta(gt=0.0, le=1e6)]
NonNegativeFloat = Annotated[float, Meta(ge=0.0, le=1e6)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._\-]+$")]


class MachineType(msgspec.Struct, frozen=True, kw_only=True):
    """A type of machine."""

    name: Name
    share: PositiveFloat = 1.0
    cores: Annotated[int, Meta(ge=1, le=256)] = 4
    speed: PositiveFloat = 1.0  # the speed of a core, relative to a standard core
    speed_cv: NonNegativeFloat = 0.0  # the coefficient of variation of the speed between machines of the type


class OverloadSlowdown(msgspec.Struct, frozen=True, kw_only=True):
    """When a long queue makes a server overloaded and therefore slow, and when it recovers."""

    at: PositiveFloat = 6.0  # waiting requests for each core; more of them for `over_s` are an overload
    over_s: PositiveFloat = 2.0  # how long the queue must stay longer than `at`
    slower: Annotated[float, Meta(ge=1.0, le=100.0)] = 2.8  # slowdown of an overloaded server, a factor
    rest_s: PositiveFloat = 3.0  # a server recovers when its cores have been lightly used for so long
    below: Fraction = 0.3  # the fraction of busy cores below which they are lightly used
    most_s: PositiveFloat = 28.0  # a server recovers after so long in any case


class KeyAffinity(msgspec.Struct, frozen=True, kw_only=True):
    """How much less work a request is at a server that recently served its key."""

    gain: Fraction = 0.5  # the fraction of the work that is saved
    span_s: PositiveFloat = 5.0  # how recently the key must have been served
    keys_per_core: Annotated[int, Meta(ge=1, le=10_000)] = 25  # how many keys a server remembers


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """The order servers and the sidecars."""

    servers: Annotated[int, Meta(ge=1, le=2_000)] = 9
    sidecars: Annotated[int, Meta(ge=1, le=5_000)] = 4
    zones: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=16)] = ("a", "b", "c")
    cell_size: Annotated[int, Meta(ge=1)] = 5
    kinds: Annotated[tuple[MachineType, ...], Meta(min_length=1)] = (MachineType(name="std-4c"),)
    queue_per_core: Annotated[int, Meta(ge=0, le=1_000_000)] = 30  # a server rejects requests beyond it
    cold_from: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.15  # minimum fraction of its capacity at its start
    cold_s: PositiveFloat = 22.0  # maximum time until it has its full capacity, which rises linearly
    # A server starts with up to this fraction more capacity, and warms up faster by the same random factor.
    cold_spread: NonNegativeFloat = 0.7
    # A server that is warming up fails and stays down if it is sent more than this multiple of its capacity
    # within the window of `fall_s`.
    fall_multiple: PositiveFloat = 2.5
    fall_s: PositiveFloat = 1.0
    error_rate: Fraction = 0.0
    stops_cancelled: bool = True  # whether a server stops work whose connection closes
    choke: OverloadSlowdown | None = None
    affinity: KeyAffinity | None = None
    report_period_s: PositiveFloat = 0.8  # how often the `queue` that health checks read is refreshed
    probe_work_ms: NonNegativeFloat = 0.13


class Network(msgspec.Struct, frozen=True, kw_only=True):
    """One-way delays, and the cost of a new connection."""

    same_ms: NonNegativeFloat = 0.2
    cross_ms: NonNegativeFloat = 0.6
    client_ms: NonNegativeFloat = 0.05
    jitter: NonNegativeFloat = 0.2  # mean of an exponential addition, as a fraction of each delay
    handshake_rtts: Annotated[int, Meta(ge=0, le=10)] = 2
    handshake_work_ms: NonNegativeFloat = 2.0
    idle_s: PositiveFloat = 10.0  # servers close a connection that has been idle for this long
    dial_timeout_ms: PositiveFloat = 250.0


class Discovery(msgspec.Struct, frozen=True, kw_only=True):
    """Discovery: the delays until it publishes changes, and its capacity."""

    drain_notice_s: NonNegativeFloat = 0.2
    crash_notice_s: NonNegativeFloat = 3.0
    add_notice_s: NonNegativeFloat = 1.0
    calls_per_s: PositiveFloat = 200.0
    timeout_s: PositiveFloat = 2.0


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The requests of the clients."""

    utilisation: PositiveFloat | None = None  # fraction of the warm fleet's capacity; excludes `rate`
    rate: PositiveFloat | None = None  # first tries a second
    shape: Literal["steady", "wave"] = "steady"
    swing: Fraction = 0.1  # amplitude of a wave, as a fraction of the rate
    period_s: PositiveFloat = 20.0
    factors: tuple[tuple[float, float], ...] = ()  # second and factor: multiplies the rate from then on
    skew: NonNegativeFloat = 0.3  # coefficient of variation of the rate between sidecars
    keys: Annotated[int, Meta(ge=1, le=10_000_000)] = 1_000
    key_zipf: NonNegativeFloat = 0.8
    hints: bool = False  # whether requests announce their work; warm-up overload is then judged by that

    def __post_init__(self) -> None:
        if (self.utilisation is None) == (self.rate is None):
            raise ValueError("utilisation: exactly one of utilisation and rate is required")
        if any(at < 0 or factor < 0 for at, factor in self.factors):
            raise ValueError("factors: must be pairs of a second and a factor, neither below 0")
        if list(self.factors) != sorted(self.factors):
            raise ValueError("factors: the seconds must increase")


class ServiceClass(msgspec.Struct, frozen=True, kw_only=True):
    """One service class."""

    name: Name
    share: PositiveFloat = 1.0
    work_ms: PositiveFloat = 60.0  # mean work on a standard core
    work_cv: NonNegativeFloat = 1.0
    dist: Literal["lognormal", "exponential", "pareto", "constant"] = "lognormal"
    aim_ms: PositiveFloat = 600.0  # latency objective
    deadline_ms: PositiveFloat = 1_500.0
    worth: PositiveFloat = 1.0  # priority weight
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "zone"  # deduplication scope of a keyed class
    window_ms: NonNegativeFloat = 4_000.0  # deduplication window of a keyed class

    def __post_init__(self) -> None:
        if self.aim_ms > self.deadline_ms:
            raise ValueError("aim_ms: must not be greater than deadline_ms")
        if self.dist == "pareto" and self.work_cv <= 0.0:
            raise ValueError("work_cv: must be greater than 0 with dist = pareto")


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A tenant: its share of the quota, and the load that it sends in proportion to its share."""

    name: Name
    share: PositiveFloat = 1.0
    usage: NonNegativeFloat = 1.0


class Clients(msgspec.Struct, frozen=True, kw_only=True):
    """How clients retry and when they disconnect."""

    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    try_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.6  # timeout of a try, as a fraction of the deadline
    backoff_ms: NonNegativeFloat = 100.0  # delay before the first retry; doubles at each retry, with jitter
    honour: Fraction = 0.6  # fraction of clients that wait as long as `Retry-After` says
    impatient: Fraction = (
        0.0  # fraction of requests whose client disconnects in the first quarter of the deadline
    )


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The tolerances of the four rules, and the limits of the sidecars."""

    drain_grace_ms: NonNegativeFloat = 250.0
    ask_within_s: PositiveFloat = 10.0  # maximum poll interval
    slack_ms: NonNegativeFloat = 50.0
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 3
    second_copies: bool = True  # whether hedged requests are allowed
    over_share_worth: Fraction = 0.05  # factor of the priority weight of requests beyond their tenant's quota
    quota_of_capacity: PositiveFloat = 0.8  # sum of all quotas, as a fraction of the warm fleet's capacity


FAULTS: Mapping[str, str] = {
    "crash": "server processes end, and new ones start to warm up after for_s",
    "hang": "servers accept requests and respond to none",
    "fast_errors": "servers fail the fraction `size` of their requests quickly",
    "slow": "servers are slower by the factor `size`",
    "garble": "the fraction `size` of the servers' responses is malformed",
    "drain": "servers drain one after another over for_s; new processes start to warm up after back_s",
    "release": "as drain, all of them at once",
    "heavy_tail": "the fraction `extra` of the first class's requests takes `size` times the work",
    "discovery_down": "calls to discovery fail and watches end",
    "cut": "nothing passes between sidecars and servers of `zone` and those of all other zones",
    "restart": "sidecars are killed and restarted, one after another over for_s",
}


class FaultSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of the scenario."""

    kind: Literal[
        "crash", "hang", "fast_errors", "slow", "garble", "drain", "release", "heavy_tail", "discovery_down",
        "cut", "restart",
    ]  # fmt: skip
    at_s: NonNegativeFloat
    for_s: PositiveFloat = 10.0
    part: Fraction = 0.2  # fraction of the servers (of the sidecars for `restart`), at least one
    size: NonNegativeFloat = 1.0
    extra: Fraction = 0.01
    back_s: NonNegativeFloat = 3.0
    zone: str = ""


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """The whole file."""

    name: Name
    about: str = ""
    seconds: Annotated[float, Meta(gt=0.0, le=36_000.0)]
    warmup_s: NonNegativeFloat = 1.0  # requests before it are simulated and not counted
    seed: Annotated[int, Meta(ge=0)] = 1
    fleet: Fleet = Fleet()
    network: Network = Network()
    discovery: Discovery = Discovery()
    load: Load
    classes: Annotated[tuple[ServiceClass, ...], Meta(min_length=1)]
    tenants: tuple[Tenant, ...] = ()
    clients: Clients = Clients()
    rules: Rules = Rules()
    faults: tuple[FaultSpec, ...] = ()
    expect: tuple[str, ...] = ()

    @property
    def mean_work_s(self) -> float:
        """The mean work of a request, in seconds on a standard core."""
        total = sum(each.share for each in self.classes)
        return sum(each.share * each.work_ms for each in self.classes) / total / 1e3

    @property
    def expectations(self) -> list[Expectation]:
        return [Expectation.parse(each) for each in self.expect]


_COMPARISONS: Mapping[str, Callable[[float, float], bool]] = {
    "<=": operator.le, ">=": operator.ge, "=": operator.eq, "<": operator.lt, ">": operator.gt,
}  # fmt: skip
_EXPECTATION = re.compile(r"^\s*([\w.\-]+)\s*(<=|>=|=|<|>)\s*(-?\d+(?:\.\d+)?)\s*$")


@dataclass(frozen=True, slots=True)
class Expectation:
    """The expectation `metric comparison number`, such as `class.commander.served >= 0.98`."""

    metric: str
    comparison: str
    bound: float

    @staticmethod
    def parse(text: str) -> Expectation:
        """Parses the text; raises ValueError if it is not an expectation."""
        match = _EXPECTATION.match(text)
        if match is None:
            raise ValueError(f"{text!r:.60} is not an expectation; an example is `rules.broken = 0`")
        return Expectation(match[1], match[2], float(match[3]))

    def holds(self, metrics: Mapping[str, float]) -> bool:
        return _COMPARISONS[self.comparison](metrics[self.metric], self.bound)

    def __str__(self) -> str:
        return f"{self.metric} {self.comparison} {self.bound:g}"


def load(path: Path) -> Scenario:
    """Reads and validates a scenario.

    With `extends = "NAME"`, keys that are missing in the file are taken from a shipped scenario, except
    `expect`, `faults` and `about`.  Tables are merged key by key; lists are replaced as a whole.

    Raises:
        InvalidFileError: The file is invalid; the error contains all of its faults.
    """
    checked = read_toml(path, Scenario, _resolve_extends)
    faults = list(_consistency_faults(checked))
    if faults:
        raise InvalidFileError(str(path), faults)
    return checked.value


def _resolve_extends(document: dict[str, Any]) -> dict[str, Any]:
    if "extends" not in document:
        return document
    base_name, known = document.pop("extends"), shipped()
    if not isinstance(base_name, str) or base_name not in known:
        raise ValueError(
            f"extends: {base_name!r:.40} is not a shipped scenario{format_suggestion(str(base_name), known)}"
        )
    base = _resolve_extends(tomllib.loads(known[base_name].read_text(encoding="utf-8")))
    for key in ("expect", "faults", "about"):
        base.pop(key, None)
    return _merge(base, document)


def _merge(base: dict[str, Any], override: Mapping[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in override.items():
        base_value = merged.get(key)
        merged[key] = (
            _merge(base_value, value) if isinstance(base_value, dict) and isinstance(value, dict) else value
        )
    for one, other in (("rate", "utilisation"), ("utilisation", "rate")):
        if one in override and other not in override:
            merged.pop(
                other, None
            )  # only one of the two is allowed, so the file's key replaces that of the base
    return merged


def _consistency_faults(checked: ValidatedFile[Scenario]) -> Iterator[Fault]:
    """Yields the faults that show only when several tables are compared."""
    scenario = checked.value
    for label, names in (
        ("classes", [each.name for each in scenario.classes]),
        ("tenants", [each.name for each in scenario.tenants]),
        ("fleet.kinds", [each.name for each in scenario.fleet.kinds]),
        ("fleet.zones", list(scenario.fleet.zones)),
    ):
        for index, name in enumerate(names):
            if name in names[:index]:
                yield checked.create_fault(f"{label}[{index}]", f"the name {name} is used twice")
    if scenario.warmup_s >= scenario.seconds:
        yield checked.create_fault("warmup_s", "must be less than seconds")
    known = metric_names(scenario)
    for index, text in enumerate(scenario.expect):
        try:
            expectation = Expectation.parse(text)
        except ValueError as error:
            yield checked.create_fault(f"expect[{index}]", str(error))
            continue
        if expectation.metric not in known:
            yield checked.create_fault(
                f"expect[{index}]",
                f"{expectation.metric} is not a metric{format_suggestion(expectation.metric, known)}",
            )
    for index, each in enumerate(scenario.faults):
        path = f"faults[{index}]"
        if each.at_s >= scenario.seconds:
            yield checked.create_fault(f"{path}.at_s", "must be before the end of the run")
        if each.kind == "cut" and each.zone not in scenario.fleet.zones:
            hint = format_suggestion(each.zone, scenario.fleet.zones)
            yield checked.create_fault(f"{path}.zone", f"{each.zone or 'nothing'} is not a zone{hint}")
        if each.kind in ("fast_errors", "garble") and each.size > 1.0:
            yield checked.create_fault(f"{path}.size", f"is a fraction for {each.kind}, must be at most 1")
        if each.kind in ("slow", "heavy_tail") and each.size < 1.0:
            yield checked.create_fault(f"{path}.size", f"must be at least 1 for {each.kind}")


RULES = ("answers", "effects", "drains", "cold")
_CLASS_METRICS = ("served", "in_time", "refused", "failed", "p50_ms", "p90_ms", "p99_ms", "p999_ms")


def metric_names(scenario: Scenario) -> set[str]:
    """Returns the names of all metrics of a run of this scenario; expectations may use only these."""
    names = {"rules.broken", *(f"rules.{rule}" for rule in RULES)}
    names |= {
        "worth",
        "worst_10s",
        "served",
        "in_time",
        "refused",
        "failed",
        "requests",
        "attempts_per_request",
    }
    names |= {f"latency.{each}" for each in _CLASS_METRICS if each.startswith("p")}
    names |= {
        "crossings_per_request",
        "handshakes_per_request",
        "probes_per_request",
        "choked_s",
        "tries_per_request",
    }
    names |= {f"class.{each.name}.{what}" for each in scenario.classes for what in _CLASS_METRICS}
    return names | {f"tenant.{each.name}.in_time" for each in scenario.tenants}


def shipped() -> dict[str, Path]:
    """Returns the paths of the scenarios that are part of the package, by name."""
    folder = Path(str(resources.files("tulipnotch.lab") / "scenarios"))
    return {each.stem: each for each in sorted(folder.glob("*.toml"))}


def find(name: str) -> Path:
    """Returns the path of a scenario, given its name or its path.

    Raises:
        InvalidFileError: There is no such scenario.
    """
    path = Path(name)
    known = shipped()
    if path.suffix == ".toml" or path.exists():
        return path
    if name in known:
        return known[name]
    raise InvalidFileError(name, [Fault(0, "", f"is not a scenario{format_suggestion(name, known)}")])


def _ms_to_us(ms: float) -> int:
    return int(ms * 1_000)


def wire_settings(scenario: Scenario, sidecar: int, capacity: float) -> dict[str, Any]:
    """Returns the settings of a sidecar, under the names of the simulator's wire format.

    Args:
        scenario: The scenario.
        sidecar: The index of the sidecar.
        capacity: The capacity of the warm fleet, in seconds of work on a standard core a second.
    """
    return settings_to_wire(_settings(scenario, sidecar, capacity))


def tenant_quotas_per_s(scenario: Scenario, capacity: float) -> dict[str, float]:
    """Returns the quota of each tenant; `capacity` is that of the warm fleet, as for `wire_settings`."""
    max_rate_per_s = capacity / scenario.mean_work_s * scenario.rules.quota_of_capacity
    total_share = _total_tenant_share(scenario)
    return {each.name: max_rate_per_s * each.share / total_share for each in scenario.tenants}


def _total_tenant_share(scenario: Scenario) -> float:
    return sum(each.share for each in scenario.tenants) or 1.0


def _settings(scenario: Scenario, sidecar: int, capacity: float) -> dict[str, Any]:
    rules, fleet, network = scenario.rules, scenario.fleet, scenario.network
    total_share = _total_tenant_share(scenario)
    quotas_per_s = tenant_quotas_per_s(scenario, capacity)
    return {
        "classes": [_class_settings(each) for each in scenario.classes],
        "tenants": [
            {
                "name": each.name,
                "weight": each.share / total_share,
                "quota_per_s": quotas_per_s[each.name],
            }
            for each in scenario.tenants
        ],
        "zone": fleet.zones[sidecar % len(fleet.zones)],
        "instance_index": sidecar,
        "instance_count": fleet.sidecars,
        "clock_resolution_us": 5_000,
        "discovery_mode": DiscoveryMode.POLLED.value,
        "nominal_capacity": NominalCapacityMeaning.UNSPECIFIED.value,
        "priority_weight_basis": PriorityWeightBasis.REQUEST.value,
        "over_quota_weight": rules.over_share_worth,
        "report": {"columns": ["queue"], "source": ReportSource.HEALTH_CHECKS.value},
        "limits": {
            "max_attempts": rules.max_attempts,
            "hedged_requests": rules.second_copies,
            "may_cancel": True,
            "may_health_check": True,
            "may_send_peer_messages": False,
            "retry_after": True,
            "max_retry_after_us": 2_000_000,
            "connect_timeout_us": _ms_to_us(network.dial_timeout_ms),
            "idle_timeout_us": int(network.idle_s * 1e6),
            "streams_per_connection": 1,
            "max_open_requests": 20_000,
        },
        "rules": {
            "response_slack_us": _ms_to_us(rules.slack_ms),
            "max_poll_interval_us": int(rules.ask_within_s * 1e6),
            "drain_grace_us": _ms_to_us(rules.drain_grace_ms),
            "initial_capacity": fleet.cold_from,
            "warm_up_us": int(fleet.cold_s * 1e6),
            "overload_multiple": fleet.fall_multiple,
            "overload_window_us": int(fleet.fall_s * 1e6),
        },
        "cost_weights": {
            "cross_zone": 0.022,
            "wasted_work": 0.015,
            "health_check": 0.01,
            "late_failure": 0.08,
            "handshake": 0.02,
        },
        "objective_weights": {
            "overall": 0.75,
            "worst_window": 0.05,
            "worst_class": 0.1,
            "worst_tenant": 0.1,
        },
        "machine_types": [each.name for each in fleet.kinds],
        "client_habits": {"mark_retries": False},
        "domain": {"has_key_affinity": fleet.affinity is not None},
    }


_IDEMPOTENCY = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENT_WITH_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}


def _class_settings(service_class: ServiceClass) -> dict[str, Any]:
    idempotency = _IDEMPOTENCY[service_class.repeat]
    is_idempotent = idempotency is Idempotency.IDEMPOTENT
    return {
        "name": service_class.name,
        "deadline_us": _ms_to_us(service_class.deadline_ms),
        "latency_objective_us": _ms_to_us(service_class.aim_ms),
        "priority_weight": service_class.worth,
        "late_priority_weight": 0.0,
        "idempotency": idempotency.value,
        "deduplication_scope": DeduplicationScope.ALL.value if is_idempotent else service_class.group,
        "deduplication_window_us": _ms_to_us(service_class.window_ms),
        "streaming": False,
    }
