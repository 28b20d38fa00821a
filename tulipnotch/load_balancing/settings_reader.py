"""Reads `Settings` from plain nested mappings.

Keys are the names of the fields. A number must be 0 or more, unless `_BOUNDS` has other bounds for it. An
absent key gets the default of its field.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar

from tulipnotch.load_balancing.mapping_reader import MAX_EXACT_INTEGER, MappingReader, SettingsError
from tulipnotch.load_balancing.settings import (
    CostWeights,
    Limits,
    ObjectiveWeights,
    ReportSource,
    Rules,
    ServiceClass,
    Settings,
    Tenant,
)

_BOUNDS: Mapping[str, tuple[float, float]] = {  # minimum and maximum, keyed by field name
    "clock_resolution_us": (1, MAX_EXACT_INTEGER),
    "initial_capacity": (0.001, 1.0),
    "instance_count": (1, MAX_EXACT_INTEGER),
    "max_poll_interval_us": (1, MAX_EXACT_INTEGER),
    "over_quota_weight": (0.0, 1.0),
    "overload_multiple": (0.001, MAX_EXACT_INTEGER),
    "overload_window_us": (1, MAX_EXACT_INTEGER),
    "streams_per_connection": (1, MAX_EXACT_INTEGER),
    "tail_slack": (0.0, 1.0),
}
_UNBOUNDED = (0, MAX_EXACT_INTEGER)

_Record = TypeVar("_Record", CostWeights, Limits, ObjectiveWeights, Rules)


def settings_from_mapping(given: Mapping[str, Any], errors: list[SettingsError] | None = None) -> Settings:
    """Reads settings from plain nested mappings; ignores unknown keys.

    Args:
        given: The settings, keyed by field name.
        errors: If given, every error is appended to it; the settings are valid only if it stays empty.

    Raises:
        SettingsError: A value is missing or invalid, and `errors` is not given.
    """
    reader = MappingReader(given, errors=errors)
    classes = tuple(_service_class(each) for each in reader.mappings("classes"))
    if not classes:
        reader.add_error(SettingsError("classes", "at least one class of requests is required"))
    tenants = tuple(
        Tenant(each.string("name"), each.number("weight", 1.0), each.number("quota_per_s", 0.0))
        for each in reader.mappings("tenants")
    )
    for key, names in (("classes", [c.name for c in classes]), ("tenants", [t.name for t in tenants])):
        if len(set(names)) != len(names):
            reader.add_error(SettingsError(key, "names must be unique"))
    report = reader.mapping("report")
    return Settings(
        classes=classes,
        tenants=tenants,
        **_top_level(reader),
        report_source=report.choice("source", ReportSource, ReportSource.NONE),
        report_columns=report.strings("columns"),
        limits=_record(Limits, reader.mapping("limits")),
        rules=_record(Rules, reader.mapping("rules")),
        cost_weights=_record(CostWeights, reader.mapping("cost_weights")),
        objective_weights=_record(ObjectiveWeights, reader.mapping("objective_weights")),
        clients_mark_retries=reader.mapping("client_habits").boolean("mark_retries", default=False),
        has_key_affinity=reader.mapping("domain").boolean("has_key_affinity", default=False),
    )


_TOP_LEVEL = (
    "zone",
    "instance_index",
    "instance_count",
    "clock_resolution_us",
    "discovery_mode",
    "nominal_capacity",
    "priority_weight_basis",
    "over_quota_weight",
    "machine_types",
)


def _top_level(reader: MappingReader) -> dict[str, Any]:
    """Returns the fields of `Settings` that are plain values at the top level of the mapping."""
    defaults = {each.name: each.default for each in dataclasses.fields(Settings)}
    return {name: _value(reader, name, defaults[name]) for name in _TOP_LEVEL}


def _record(record: type[_Record], reader: MappingReader) -> _Record:
    """Returns a record whose fields are all plain values with defaults."""
    return record(
        **{each.name: _value(reader, each.name, each.default) for each in dataclasses.fields(record)}
    )


def _value(reader: MappingReader, key: str, default: object) -> Any:
    """Returns the value at this key, in the type of its default; None as default: an optional integer."""
    minimum, maximum = _BOUNDS.get(key, _UNBOUNDED)
    match default:
        case bool():
            return reader.boolean(key, default=default)
        case int():
            return reader.integer(key, default, minimum=int(minimum))
        case float():
            return reader.number(key, default, minimum=minimum, maximum=maximum)
        case str():
            return reader.string(key, default)
        case Enum():
            return reader.choice(key, type(default), default)
        case tuple():
            return reader.strings(key)
        case None:
            return reader.optional_integer(key)
        case _:
            raise TypeError(f"{key}: no reader for a default of {default!r}")


def _service_class(reader: MappingReader) -> ServiceClass:
    deadline_us = reader.integer("deadline_us", minimum=1)
    objective_us = reader.integer("latency_objective_us", deadline_us, minimum=1)
    optional = {
        each.name: _value(reader, each.name, each.default)
        for each in dataclasses.fields(ServiceClass)
        if each.default is not dataclasses.MISSING
    }
    return ServiceClass(
        name=reader.string("name"),
        deadline_us=deadline_us,
        latency_objective_us=min(objective_us, deadline_us),
        **optional,
    )
