"""A scenario: one description of a world, its load, its faults and what is expected, as a TOML file.

It is checked like the operator file.  Times are in the unit that a key's name ends with; shares and parts are
of 1.  `docs/lab.md` explains every table.
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

Part = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0, le=1e6)]
NotNegative = Annotated[float, Meta(ge=0.0, le=1e6)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._\-]+$")]


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of machine."""

    name: Name
    share: Positive = 1.0
    cores: Annotated[int, Meta(ge=1, le=256)] = 4
    speed: Positive = 1.0  # of a core, against the standard one
    speed_cv: NotNegative = 0.0


class Choke(msgspec.Struct, frozen=True, kw_only=True):
    """When a crowded server turns slow, and when it gets well."""

    at: Positive = 6.0  # requests waiting for each core
    over_s: Positive = 2.0  # for so long
    slower: Annotated[float, Meta(ge=1.0, le=100.0)] = 2.8
    rest_s: Positive = 3.0  # well again after so long
    below: Part = 0.3  # with less than this part of its slots busy
    most_s: Positive = 28.0  # or after so long in any case


class Affinity(msgspec.Struct, frozen=True, kw_only=True):
    """What a server that met a key lately saves on it."""

    gain: Part = 0.5
    span_s: Positive = 5.0
    keys_per_core: Annotated[int, Meta(ge=1, le=10_000)] = 25


class Fleet(msgspec.Struct, frozen=True, kw_only=True):
    """The order servers and the sidecars."""

    servers: Annotated[int, Meta(ge=1, le=2_000)] = 9
    sidecars: Annotated[int, Meta(ge=1, le=5_000)] = 4
    zones: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=16)] = ("a", "b", "c")
    cell_size: Annotated[int, Meta(ge=1)] = 5
    kinds: Annotated[tuple[Kind, ...], Meta(min_length=1)] = (Kind(name="std-4c"),)
    queue_per_core: Annotated[int, Meta(ge=0, le=1_000_000)] = (
        30  # the waiting room; beyond it all is turned away
    )
    cold_from: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.15  # of its capacity at its start, at the least
    cold_s: Positive = 22.0  # to the full, evenly, at the most
    cold_spread: NotNegative = 0.7  # each server starts with up to this much more, and warms as much sooner
    fall_multiple: Positive = 2.5  # sent more than this multiple of what a cold server can do
    fall_s: Positive = 1.0  # within this span, it falls over and stays down
    error_rate: Part = 0.0
    stops_cancelled: bool = True  # whether work stops when its connection closes
    choke: Choke | None = None
    affinity: Affinity | None = None
    report_period_s: Positive = 0.8  # how often the `queue` that probes read is refreshed
    probe_work_ms: NotNegative = 0.13


class Network(msgspec.Struct, frozen=True, kw_only=True):
    """Delays one way, and what a new connection costs."""

    same_ms: NotNegative = 0.2
    cross_ms: NotNegative = 0.6
    client_ms: NotNegative = 0.05
    jitter: NotNegative = 0.2  # of each delay, exponential
    handshake_rtts: Annotated[int, Meta(ge=0, le=10)] = 2
    handshake_work_ms: NotNegative = 2.0
    idle_s: Positive = 10.0  # servers close what has been idle for so long
    dial_timeout_ms: Positive = 250.0


class Discovery(msgspec.Struct, frozen=True, kw_only=True):
    """The directory of servers: late, of fixed capacity, at times down."""

    drain_notice_s: NotNegative = 0.2
    crash_notice_s: NotNegative = 3.0
    add_notice_s: NotNegative = 1.0
    calls_per_s: Positive = 200.0
    timeout_s: Positive = 2.0


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """What clients ask for."""

    utilisation: Positive | None = None  # of what the warm fleet can do; or
    rate: Positive | None = None  # first tries a second
    shape: Literal["steady", "wave"] = "steady"
    swing: Part = 0.1  # of a wave
    period_s: Positive = 20.0
    factors: tuple[tuple[float, float], ...] = ()  # from each of these seconds on, the rate times this
    skew: NotNegative = 0.3  # of the rate from sidecar to sidecar (coefficient of variation)
    keys: Annotated[int, Meta(ge=1, le=10_000_000)] = 1_000
    key_zipf: NotNegative = 0.8
    hints: bool = False  # whether requests tell their work; cold servers' budgets then count that

    def __post_init__(self) -> None:
        if (self.utilisation is None) == (self.rate is None):
            raise ValueError("utilisation: one of utilisation and rate is needed, and only one")
        if any(at < 0 or factor < 0 for at, factor in self.factors):
            raise ValueError("factors: pairs of a second and a factor are needed, neither below 0")
        if list(self.factors) != sorted(self.factors):
            raise ValueError("factors: the seconds must rise")


class ServiceClass(msgspec.Struct, frozen=True, kw_only=True):
    """One class of requests."""

    name: Name
    share: Positive = 1.0
    work_ms: Positive = 60.0  # on a standard core, mean
    work_cv: NotNegative = 1.0
    dist: Literal["lognormal", "exponential", "pareto", "constant"] = "lognormal"
    aim_ms: Positive = 600.0
    deadline_ms: Positive = 1_500.0
    worth: Positive = 1.0
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    group: Literal["all", "zone", "cell"] = "zone"  # of a keyed class: who drops repeats
    window_ms: NotNegative = 4_000.0  # and for how long

    def __post_init__(self) -> None:
        if self.aim_ms > self.deadline_ms:
            raise ValueError("aim_ms: must not be over deadline_ms")
        if self.dist == "pareto" and self.work_cv <= 0.0:
            raise ValueError("work_cv: must be above 0 with dist = pareto")


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A district: its share, and what it sends in proportion to that."""

    name: Name
    share: Positive = 1.0
    usage: NotNegative = 1.0


class Clients(msgspec.Struct, frozen=True, kw_only=True):
    """What clients do with no for an answer."""

    retries: Annotated[int, Meta(ge=0, le=20)] = 2
    try_share: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.6  # of the deadline, for one try
    backoff_ms: NotNegative = 100.0  # doubles at each retry, with jitter
    honour: Part = 0.6  # the part of clients that wait as `Retry-After` says
    impatient: Part = 0.0  # the part of requests whose client leaves within a quarter of its time


class Rules(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of the rules."""

    drain_grace_ms: NotNegative = 250.0
    ask_within_s: Positive = 10.0
    slack_ms: NotNegative = 50.0
    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 3
    second_copies: bool = True
    over_share_worth: Part = 0.05
    quota_of_capacity: Positive = 0.8


FAULTS: Mapping[str, str] = {
    "crash": "the process dies, and is back cold after for_s",
    "hang": "takes requests and answers none",
    "fast_errors": "fails the part `size` of its requests quickly",
    "slow": "works `size` times slower",
    "garble": "spoils the part `size` of its answers",
    "drain": "leaves in good order, one after another over for_s, and is back cold after back_s",
    "release": "as drain, all of them at once",
    "heavy_tail": "the part `extra` of requests costs `size` times the work",
    "discovery_down": "calls to the directory fail and watches end",
    "cut": "nothing passes between sidecars and servers of `zone` and all others",
    "restart": "sidecars are killed and start anew, one after another over for_s",
}


class FaultLine(msgspec.Struct, frozen=True, kw_only=True):
    """One fault on the time line."""

    kind: Literal[
        "crash", "hang", "fast_errors", "slow", "garble", "drain", "release", "heavy_tail", "discovery_down",
        "cut", "restart",
    ]  # fmt: skip
    at_s: NotNegative
    for_s: Positive = 10.0
    part: Part = 0.2  # of the servers (of the sidecars for `restart`), at least one
    size: NotNegative = 1.0
    extra: Part = 0.01
    back_s: NotNegative = 3.0
    zone: str = ""


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """The whole file."""

    name: Name
    about: str = ""
    seconds: Annotated[float, Meta(gt=0.0, le=36_000.0)]
    warmup_s: NotNegative = 1.0  # what comes before is played and not counted
    seed: Annotated[int, Meta(ge=0)] = 1
    fleet: Fleet = Fleet()
    network: Network = Network()
    discovery: Discovery = Discovery()
    load: Load
    classes: Annotated[tuple[ServiceClass, ...], Meta(min_length=1)]
    tenants: tuple[Tenant, ...] = ()
    clients: Clients = Clients()
    rules: Rules = Rules()
    faults: tuple[FaultLine, ...] = ()
    expect: tuple[str, ...] = ()

    @property
    def mean_work_s(self) -> float:
        """Of a request, on a standard core."""
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
    """`metric comparison number`, as in `class.commander.served >= 0.98`."""

    metric: str
    comparison: str
    bound: float

    @staticmethod
    def parse(text: str) -> Expectation:
        """Raise ValueError where the text is none."""
        found = _EXPECTATION.match(text)
        if found is None:
            raise ValueError(f"{text!r:.60} is no expectation; write it as in `rules.broken = 0`")
        return Expectation(found[1], found[2], float(found[3]))

    def holds(self, metrics: Mapping[str, float]) -> bool:
        return _COMPARISONS[self.comparison](metrics[self.metric], self.bound)

    def __str__(self) -> str:
        return f"{self.metric} {self.comparison} {self.bound:g}"


def load(path: Path) -> Scenario:
    """Read and check a scenario; raise `BadFile` with all of its faults.

    `extends = "NAME"` takes over what the file leaves out from a shipped scenario, but not what is expected:
    tables are merged key by key, lists are replaced whole.
    """
    checked = read_toml(path, Scenario, _extended)
    faults = list(_across(checked))
    if faults:
        raise InvalidFileError(str(path), faults)
    return checked.value


def _extended(given: dict[str, Any]) -> dict[str, Any]:
    if "extends" not in given:
        return given
    base, known = given.pop("extends"), shipped()
    if not isinstance(base, str) or base not in known:
        raise ValueError(f"extends: {base!r:.40} is no shipped scenario{format_suggestion(str(base), known)}")
    below = _extended(tomllib.loads(known[base].read_text(encoding="utf-8")))
    for key in ("expect", "faults", "about"):
        below.pop(key, None)
    return _merged(below, given)


def _merged(below: dict[str, Any], above: Mapping[str, Any]) -> dict[str, Any]:
    found = dict(below)
    for key, value in above.items():
        known = found.get(key)
        found[key] = _merged(known, value) if isinstance(known, dict) and isinstance(value, dict) else value
    for one, other in (("rate", "utilisation"), ("utilisation", "rate")):
        if one in above and other not in above:
            found.pop(other, None)  # one of the two, and the file's own counts
    return found


def _across(checked: ValidatedFile[Scenario]) -> Iterator[Fault]:
    """What no single table can tell."""
    given = checked.value
    for label, names in (
        ("classes", [each.name for each in given.classes]),
        ("tenants", [each.name for each in given.tenants]),
        ("fleet.kinds", [each.name for each in given.fleet.kinds]),
        ("fleet.zones", list(given.fleet.zones)),
    ):
        for index, name in enumerate(names):
            if name in names[:index]:
                yield checked.create_fault(f"{label}[{index}]", f"the name {name} stands twice")
    if given.warmup_s >= given.seconds:
        yield checked.create_fault("warmup_s", "must be under seconds")
    known = metric_names(given)
    for index, text in enumerate(given.expect):
        try:
            wanted = Expectation.parse(text)
        except ValueError as fault:
            yield checked.create_fault(f"expect[{index}]", str(fault))
            continue
        if wanted.metric not in known:
            yield checked.create_fault(
                f"expect[{index}]", f"{wanted.metric} is no metric{format_suggestion(wanted.metric, known)}"
            )
    for index, each in enumerate(given.faults):
        path = f"faults[{index}]"
        if each.at_s >= given.seconds:
            yield checked.create_fault(f"{path}.at_s", "lies after the end")
        if each.kind == "cut" and each.zone not in given.fleet.zones:
            hint = format_suggestion(each.zone, given.fleet.zones)
            yield checked.create_fault(f"{path}.zone", f"{each.zone or 'nothing'} is no zone{hint}")
        if each.kind in ("fast_errors", "garble") and each.size > 1.0:
            yield checked.create_fault(f"{path}.size", f"is a part for {each.kind}, at most 1")
        if each.kind in ("slow", "heavy_tail") and each.size < 1.0:
            yield checked.create_fault(f"{path}.size", f"must be 1 or more for {each.kind}")


RULES = ("answers", "effects", "drains", "cold")
_OF_CLASS = ("served", "in_time", "refused", "failed", "p50_ms", "p90_ms", "p99_ms", "p999_ms")


def metric_names(given: Scenario) -> set[str]:
    """Every metric that a run of this scenario yields; expectations may name these and no others."""
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
    names |= {f"latency.{each}" for each in _OF_CLASS if each.startswith("p")}
    names |= {
        "crossings_per_request",
        "handshakes_per_request",
        "probes_per_request",
        "choked_s",
        "tries_per_request",
    }
    names |= {f"class.{each.name}.{what}" for each in given.classes for what in _OF_CLASS}
    return names | {f"tenant.{each.name}.in_time" for each in given.tenants}


def shipped() -> dict[str, Path]:
    """The scenarios that come with the laboratory, by name."""
    folder = Path(str(resources.files("tulipnotch.lab") / "scenarios"))
    return {each.stem: each for each in sorted(folder.glob("*.toml"))}


def find(name: str) -> Path:
    """The path of a scenario given by its name or its path; raise BadFile where there is none."""
    path = Path(name)
    known = shipped()
    if path.suffix == ".toml" or path.exists():
        return path
    if name in known:
        return known[name]
    raise InvalidFileError(name, [Fault(0, "", f"is no scenario{format_suggestion(name, known)}")])


def _us(ms: float) -> int:
    return int(ms * 1_000)


def wire_settings(given: Scenario, sidecar: int, capacity: float) -> dict[str, Any]:
    """The settings of a sidecar, under the names of the simulator's wire.

    `capacity` is what the warm fleet can do, in seconds of work on a standard core a second.
    """
    return settings_to_wire(_plain_settings(given, sidecar, capacity))


def tenant_quotas_per_s(given: Scenario, capacity: float) -> dict[str, float]:
    """The requests a second that each tenant may send; `capacity` as for `wire_settings`."""
    max_rate_per_s = capacity / given.mean_work_s * given.rules.quota_of_capacity
    total_share = _total_share(given)
    return {each.name: max_rate_per_s * each.share / total_share for each in given.tenants}


def _total_share(given: Scenario) -> float:
    return sum(each.share for each in given.tenants) or 1.0


def _plain_settings(given: Scenario, sidecar: int, capacity: float) -> dict[str, Any]:
    rules, fleet, network = given.rules, given.fleet, given.network
    total_share = _total_share(given)
    quotas_per_s = tenant_quotas_per_s(given, capacity)
    return {
        "classes": [_plain_class(each) for each in given.classes],
        "tenants": [
            {
                "name": each.name,
                "weight": each.share / total_share,
                "quota_per_s": quotas_per_s[each.name],
            }
            for each in given.tenants
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
            "connect_timeout_us": _us(network.dial_timeout_ms),
            "idle_timeout_us": int(network.idle_s * 1e6),
            "streams_per_connection": 1,
            "max_open_requests": 20_000,
        },
        "rules": {
            "response_slack_us": _us(rules.slack_ms),
            "max_poll_interval_us": int(rules.ask_within_s * 1e6),
            "drain_grace_us": _us(rules.drain_grace_ms),
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


def _plain_class(given: ServiceClass) -> dict[str, Any]:
    idempotency = _IDEMPOTENCY[given.repeat]
    is_idempotent = idempotency is Idempotency.IDEMPOTENT
    return {
        "name": given.name,
        "deadline_us": _us(given.deadline_ms),
        "latency_objective_us": _us(given.aim_ms),
        "priority_weight": given.worth,
        "late_priority_weight": 0.0,
        "idempotency": idempotency.value,
        "deduplication_scope": DeduplicationScope.ALL.value if is_idempotent else given.group,
        "deduplication_window_us": _us(given.window_ms),
        "streaming": False,
    }
